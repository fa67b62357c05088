package caller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// Parameters of the choice of an upstream. Costs are in units of the service's median
// duration of a request.
const (
	// otherDomainCost and otherRegionCost are the costs of an upstream in another domain
	// of the own region, and in another region. Bytes between domains and regions are
	// billed. So a call leaves the own domain only for a target that is sooner by about
	// half a request, and the region only for one that is sooner by more than two.
	otherDomainCost = 0.5
	otherRegionCost = 2.5
	// normalSamples is how many upstreams of each tier are compared if none was full
	// recently; with more samples faster ones are found. overloadSamples is the number if
	// some were full: reported load is then outdated sooner, and with many samples all
	// nodes would send to the same few upstreams.
	normalSamples   = 4
	overloadSamples = 2
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = 500 * time.Millisecond
	// loadKnee is the load above which a target is expected to slow down. Below it a
	// request finds a free slot, so load costs next to nothing.
	loadKnee = 0.75
	// loadCostBelowKnee is the cost for each unit of load, loadCostAboveKnee the
	// additional cost for each unit above the knee.
	loadCostBelowKnee = 0.1
	loadCostAboveKnee = 2.0
	// failureWeight is the weight of the newest attempt in an upstream's failure rate.
	// failureCost is the cost of an upstream whose attempts all fail: more than that of
	// another region.
	failureWeight = 0.1
	failureCost   = 6.0
	// nestedShedCost is the cost for a nested call of an upstream whose target refuses all
	// calls. A refusal takes a retry from the budget, and without one the work of the
	// outer call is lost.
	nestedShedCost = 8.0
	// failureHalfLife is the age at which the failure rate counts half, so that an
	// upstream that gets no attempts because of it is tried again.
	failureHalfLife = 2 * time.Second
)

// Ejection of failing upstreams, and how long full or leaving ones are avoided.
const (
	// ejectAfterFailures is the number of consecutive failures after which an upstream is
	// ejected.
	ejectAfterFailures = 3
	// minEjection is how long an upstream is ejected for the first time. The time doubles
	// with each consecutive ejection, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// unreachableTTL is how long an upstream is not picked after a connection to its node
	// failed: about the time in which a killed process is back.
	unreachableTTL = 500 * time.Millisecond
	// minHealthyDivisor bounds ejection: it is ignored if less than 1/minHealthyDivisor
	// of a set would be left. The fault is then likely not the targets'.
	minHealthyDivisor = 2
	// minFullTTL and maxFullTTL bound how long a full upstream is not picked: about the
	// time until one of its slots becomes free. So a caller is refused at once, with most
	// of its time left, and not after attempts at one full target after another.
	minFullTTL = 2 * time.Millisecond
	maxFullTTL = 20 * time.Millisecond
	// maxOtherRegionFullTTL is the upper bound for an upstream in another region, which
	// reports how long it has no spare capacity. The round trip there is long, and its
	// bytes are billed.
	maxOtherRegionFullTTL = 500 * time.Millisecond
	// maxRateLimitedTTL is the upper bound for an upstream whose target has set a rate
	// limit. Its node reports when the next request is allowed.
	maxRateLimitedTTL = 2 * time.Second
	// leavingTTL is how long an upstream is not picked after it reported that it is
	// leaving.
	leavingTTL = 3 * time.Second
	// maxStates bounds the number of upstreams whose state is kept.
	maxStates = 16384
)

// Balancer picks upstreams. It samples a few at random from each of the own domain, the
// own region and the other regions, and picks the one with the lowest cost. The cost
// depends on the load that responses report, the target's mean duration, its distance,
// the attempts in flight to it from this node, and the outcome of earlier attempts.
// Announced health is not used: only failures of attempts count.
//
// It is a pure data structure with a lock; the time is an argument of its methods.
type Balancer struct {
	domain, region string
	mu             sync.Mutex
	rng            *rand.Rand
	// states are by service and host, stateCount is their number.
	states     map[string]map[string]*state
	stateCount int
	// usual is the usual duration of each route's calls in seconds, by service and route.
	usual map[string]map[string]float64
}

// NewBalancer returns a Balancer for a node in the given domain and region.
func NewBalancer(domain, region string, seed uint64) *Balancer {
	return &Balancer{
		domain: domain, region: region,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		states: make(map[string]map[string]*state), usual: make(map[string]map[string]float64),
	}
}

// view holds the states of a service's upstreams at one time. They are looked up once for
// each pick, because a pick iterates over them several times.
type view struct {
	now     time.Time
	service string
	set     []upstream
	states  []*state // nil for an upstream without recorded state
	nested  bool     // the pick is for a nested call
}

func (b *Balancer) view(now time.Time, service string, set []upstream) *view {
	v := &view{now: now, service: service, set: set, states: make([]*state, len(set))}
	byHost := b.states[service]
	for i := range set {
		v.states[i] = byHost[set[i].host]
	}
	return v
}

// pick chooses an upstream that is not in tried, and counts an attempt in flight to it.
// If there is none it returns false and the reason. The reason is found under the same
// lock, because a moment later it could be a different one.
func (b *Balancer) pick(now time.Time, service string, set []upstream, tried []string, priority snapshot.Priority) (upstream, refusal, bool) {
	return b.pickFor(now, service, set, tried, priority, false)
}

// pickFor is pick for a call that may be a nested one. A nested call avoids targets that
// refuse calls themselves.
func (b *Balancer) pickFor(now time.Time, service string, set []upstream, tried []string, priority snapshot.Priority, nested bool) (upstream, refusal, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.view(now, service, set)
	v.nested = nested
	best, found := b.best(v, tried, priority)
	if !found {
		return upstream{}, v.refusalReason(priority), false
	}
	s := b.state(service, best.host)
	if s.inFlight == 0 {
		s.stalledSince = now
	}
	s.inFlight++
	s.picksSinceReport++
	best.notices = s.notices
	best.otherRegion = b.tier(&best) == tierCount-1
	s.otherRegion, s.slots, s.incarnation = best.otherRegion, best.slots, best.incarnation
	return best, refusal{}, true
}

// tierCount is the number of tiers, by distance: own domain, own region, other regions.
const tierCount = 3

func (b *Balancer) tier(u *upstream) int {
	switch {
	case u.domain == b.domain:
		return 0
	case u.region == b.region:
		return 1
	default:
		return 2
	}
}

func (b *Balancer) best(v *view, tried []string, priority snapshot.Priority) (upstream, bool) {
	usable := v.usable(tried, priority)
	medianDuration := v.medianDuration(usable)
	samples, overloaded := normalSamples, v.anyOverloaded()
	if overloaded {
		samples = overloadSamples
	}
	var tiers [tierCount][]int
	for _, i := range usable {
		t := b.tier(&v.set[i])
		tiers[t] = append(tiers[t], i)
	}
	best, found, lowest := 0, false, 0.0
	for t, list := range tiers {
		for _, i := range b.sample(list, samples) {
			cost := v.cost(i, medianDuration) + [tierCount]float64{0, otherDomainCost, otherRegionCost}[t]
			if !found || cost < lowest {
				best, found, lowest = i, true, cost
			}
		}
	}
	if !found {
		return upstream{}, false
	}
	u := v.set[best]
	u.overloaded = overloaded
	return u, true
}

// medianDuration returns the median of the mean durations that the listed upstreams have
// reported; 0 if none has.
func (v *view) medianDuration(list []int) time.Duration {
	durations := make([]time.Duration, 0, len(list))
	for _, i := range list {
		if s := v.states[i]; s != nil && s.meanDuration > 0 {
			durations = append(durations, s.meanDuration)
		}
	}
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}

// sample returns up to n different elements of a list, chosen at random.
func (b *Balancer) sample(list []int, n int) []int {
	if len(list) <= n {
		return list
	}
	out := slices.Clone(list)
	for i := range n {
		j := i + b.rng.IntN(len(out)-i)
		out[i], out[j] = out[j], out[i]
	}
	return out[:n]
}

// usable returns the indexes of the upstreams that were not tried and are not ejected,
// full or leaving. Ejection is ignored if it would leave less than 1/minHealthyDivisor of
// the set, so that misleading failures can't empty a set.
func (v *view) usable(tried []string, priority snapshot.Priority) []int {
	healthy, candidates := make([]int, 0, len(v.set)), make([]int, 0, len(v.set))
	for i, s := range v.states {
		if slices.Contains(tried, v.set[i].host) {
			continue
		}
		if s != nil && (s.isLeaving(v.now, &v.set[i]) || s.isFull(v.now, priority)) {
			continue
		}
		candidates = append(candidates, i)
		if s == nil || !s.ejectedUntil.After(v.now) {
			healthy = append(healthy, i)
		}
	}
	if len(healthy)*minHealthyDivisor < len(candidates) {
		return candidates
	}
	return healthy
}

// refusalReason returns why a set has no upstream for a call. The kind is Full if one of
// them has no free slot or queue place. It is Rate if all full ones are limited by their
// targets' rates, with the time until the first of them allows a request. It is Empty if
// there are none, or only leaving ones.
func (v *view) refusalReason(priority snapshot.Priority) refusal {
	ref := refusal{kind: kind.Empty}
	for i, s := range v.states {
		if s == nil || s.isLeaving(v.now, &v.set[i]) || !s.isFull(v.now, priority) {
			continue
		}
		remaining := s.fullTTL() - v.now.Sub(s.fullAt)
		switch {
		case !s.rateLimited:
			return refusal{kind: kind.Full}
		case ref.kind == kind.Empty || remaining < ref.retryAfter:
			ref = refusal{kind.Rate, remaining}
		}
	}
	return ref
}

// cost returns the expected cost of a request at upstream i, in units of medianDuration
// and without the cost of distance.
func (v *view) cost(i int, medianDuration time.Duration) float64 {
	s := v.states[i]
	if s == nil {
		return 0
	}
	durationRatio := 1.0
	if s.slowness > 0 {
		durationRatio = s.slowness
	} else if medianDuration > 0 && s.meanDuration > 0 {
		durationRatio = float64(s.meanDuration) / float64(medianDuration)
	}
	cost := durationRatio*(1+loadCost(s.expectedLoad(v.now, v.set[i].slots))) - 1
	failureRate := s.decayedFailureRate(v.now)
	cost += failureCost * failureRate * failureRate
	if v.nested {
		cost += nestedShedCost * s.shedShare
	}
	if s.stalled(v.now) {
		cost += stallCost
	}
	return cost
}

// loadCost returns the cost of a target's load.
func loadCost(load float64) float64 {
	return loadCostBelowKnee*load + loadCostAboveKnee*max(0, load-loadKnee)
}

func (b *Balancer) state(service, host string) *state {
	byHost := b.states[service]
	if s := byHost[host]; s != nil {
		return s
	}
	if b.stateCount >= maxStates {
		b.evictIdle()
	}
	if byHost = b.states[service]; byHost == nil {
		byHost = make(map[string]*state)
		b.states[service] = byHost
	}
	s := new(state)
	byHost[host] = s
	b.stateCount++
	return s
}

// evictIdle removes the states of upstreams without attempts in flight.
func (b *Balancer) evictIdle() {
	for service, byHost := range b.states {
		for host, s := range byHost {
			if s.inFlight == 0 {
				delete(byHost, host)
				b.stateCount--
			}
		}
		if len(byHost) == 0 {
			delete(b.states, service)
		}
	}
}

// done records the feedback of an attempt that pick counted.
func (b *Balancer) done(now time.Time, service, host string, f Feedback) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(service, host)
	s.inFlight = max(0, s.inFlight-1)
	s.observeFeedback(now, f)
	if f.RouteDuration > 0 {
		s.observeSlowness(b.observeRoute(service, f))
	}
	if f.Leaving {
		s.leavingUntil, s.leavingIncarnation = now.Add(leavingTTL), s.incarnation
	}
	if f.Full {
		s.markFull(now, f)
	}
	if f.Unreachable {
		s.ejectedUntil = later(s.ejectedUntil, now.Add(unreachableTTL))
	}
	if !f.Failed {
		s.consecutiveFailures, s.ejections = 0, 0
		return
	}
	s.consecutiveFailures++
	if s.consecutiveFailures < ejectAfterFailures {
		return
	}
	s.consecutiveFailures = 0
	s.ejectedUntil = now.Add(min(minEjection<<min(s.ejections, 6), maxEjection))
	s.ejections++
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// overloaded reports whether an upstream of a set was full within overloadWindow, other
// than by its target's rate limit.
func (b *Balancer) overloaded(now time.Time, service string, set []upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view(now, service, set).anyOverloaded()
}

func (v *view) anyOverloaded() bool {
	return v.any(func(s *state) bool { return !s.rateLimited && v.now.Sub(s.fullAt) < overloadWindow })
}

func (v *view) any(match func(*state) bool) bool {
	return slices.ContainsFunc(v.states, func(s *state) bool { return s != nil && match(s) })
}

// Ejected returns the number of upstreams that are ejected at now.
func (b *Balancer) Ejected(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, byHost := range b.states {
		for _, s := range byHost {
			if s.ejectedUntil.After(now) {
				n++
			}
		}
	}
	return n
}
