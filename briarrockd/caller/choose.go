package caller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// How an upstream is chosen. Costs are in units of a usual request's time.
const (
	// farDomain and farRegion are what it costs to go further away. Bytes
	// between domains and regions are billed, so work leaves the own domain
	// only for a target that is about half a request sooner, and the region
	// only for one that is more than two sooner.
	farDomain = 0.5
	farRegion = 2.5
	// calmSamples is how many upstreams of each distance are compared while none has
	// been full of late: more of them find the faster ones. overloadSamples is the
	// same when some have: what is known of load is then old sooner, and with
	// many samples all nodes would send to the same few.
	calmSamples     = 4
	overloadSamples = 2
	// loadHalf is the time after which a reported load counts half.
	loadHalf = 500 * time.Millisecond
	// loadKnee is the load from which on a target is expected to slow down;
	// below it a request finds a free slot, so load costs next to nothing.
	loadKnee = 0.75
	// loadFlat and loadSteep are the costs of load below and above the knee.
	loadFlat  = 0.1
	loadSteep = 2.0
	// failPart is the weight of the newest attempt in the share that fails,
	// failCost what a target costs whose every attempt fails: more than the
	// way to another region.
	failPart = 0.1
	failCost = 6.0
	// failHalf is the time after which that share counts half, so that an
	// upstream which gets no attempts for it is tried again.
	failHalf = 2 * time.Second
)

// Ejection of upstreams that fail.
const (
	// ejectAfter is the number of failures in a row.
	ejectAfter  = 3
	ejectFirst  = time.Second
	maxEjection = 30 * time.Second
	// unreachedFor is how long an upstream is left alone whose node could not
	// be connected to: about the time in which a killed process is back.
	unreachedFor = 500 * time.Millisecond
	// minHealthyShare bounds ejection to a part of a set, as 1/minHealthyShare: if more
	// fails, the fault is likely not the targets'.
	minHealthyShare = 2
	// An upstream that had no room is not asked again for about as long as it
	// takes until one of its slots comes free, within these bounds: a caller is
	// refused at once, with most of its time left, instead of after asking one
	// full target after the other.
	minFullTTL = 2 * time.Millisecond
	maxFullTTL = 20 * time.Millisecond
	// maxFarFullTTL is the most for one in another region, which says itself how
	// long it has no room to spare; the way there is long, and paid.
	maxFarFullTTL = 500 * time.Millisecond
	// maxPacedTTL is the most for one whose target names a rate, and which says itself
	// when the next of its turns is free.
	maxPacedTTL = 2 * time.Second
	// leavingFor is how long an upstream that leaves is left alone.
	leavingFor = 3 * time.Second
	// maxStates bounds the table of upstreams that are remembered.
	maxStates = 16384
)

// Balancer picks upstreams: the cheapest of a few at random from each of the own
// domain, the own region and elsewhere. What counts is the load that answers
// carry, how long the target's work takes, how far it is, what is in flight to
// it from here and what came of it.
// Announced health plays no part; failures are believed only when seen.
//
// It is a pure data structure with a lock; times come from its callers.
type Balancer struct {
	domain, region string
	mu             sync.Mutex
	rng            *rand.Rand
	// states are by service and host, count is how many there are.
	states map[string]map[string]*state
	count  int
}

// NewBalancer returns a Balancer for a node in the given place.
func NewBalancer(domain, region string, seed uint64) *Balancer {
	return &Balancer{
		domain: domain, region: region,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		states: make(map[string]map[string]*state),
	}
}

// view is what is known of a service's upstreams at one time. States are looked up once
// for a choice, since it goes over all of them several times.
type view struct {
	now     time.Time
	service string
	set     []upstream
	states  []*state // nil for an upstream that nothing is known of
}

func (c *Balancer) view(now time.Time, service string, set []upstream) *view {
	v := &view{now: now, service: service, set: set, states: make([]*state, len(set))}
	known := c.states[service]
	for i := range set {
		v.states[i] = known[set[i].host]
	}
	return v
}

// pick chooses an upstream that is not in tried and counts it as in flight. It returns
// false when the set has none that may be used, and what that is for want of: known a
// moment later it could be another one.
func (c *Balancer) pick(now time.Time, service string, set []upstream, tried []string, priority snapshot.Priority) (upstream, refusal, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view(now, service, set)
	best, found := c.best(v, tried, priority)
	if !found {
		return upstream{}, v.shortage(priority), false
	}
	s := c.state(service, best.host)
	if s.inflight == 0 {
		s.stalledSince = now
	}
	s.inflight++
	s.since++
	best.notices = s.notices
	best.far = c.tier(&best) == tierCount-1
	s.far, s.slots, s.process = best.far, best.slots, best.process
	return best, refusal{}, true
}

// tierCount is the number of distances that are told apart.
const tierCount = 3

func (c *Balancer) tier(u *upstream) int {
	switch {
	case u.domain == c.domain:
		return 0
	case u.region == c.region:
		return 1
	default:
		return 2
	}
}

func (c *Balancer) best(v *view, tried []string, priority snapshot.Priority) (upstream, bool) {
	usable := v.usable(tried, priority)
	typicalLatency := v.typicalLatency(usable)
	samples, overloaded := calmSamples, v.anyOverloaded()
	if overloaded {
		samples = overloadSamples
	}
	var tiers [tierCount][]int
	for _, i := range usable {
		t := c.tier(&v.set[i])
		tiers[t] = append(tiers[t], i)
	}
	best, found, least := 0, false, 0.0
	for t, list := range tiers {
		for _, i := range c.sample(list, samples) {
			cost := v.cost(i, typicalLatency) + [tierCount]float64{0, farDomain, farRegion}[t]
			if !found || cost < least {
				best, found, least = i, true, cost
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

// typicalLatency is the time that a request takes as a rule at the service: the median
// of what some of its upstreams say, 0 if none has.
func (v *view) typicalLatency(list []int) time.Duration {
	known := make([]time.Duration, 0, len(list))
	for _, i := range list {
		if s := v.states[i]; s != nil && s.usual > 0 {
			known = append(known, s.usual)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// sample takes up to n different elements of a list at random.
func (c *Balancer) sample(list []int, n int) []int {
	if len(list) <= n {
		return list
	}
	out := slices.Clone(list)
	for i := range n {
		j := i + c.rng.IntN(len(out)-i)
		out[i], out[j] = out[j], out[i]
	}
	return out[:n]
}

// usable lists those that were not tried and are not ejected. If ejection
// would leave less than its share of the set, it is not heeded: misleading
// failures must not empty a set.
func (v *view) usable(tried []string, priority snapshot.Priority) []int {
	sound, rest := make([]int, 0, len(v.set)), make([]int, 0, len(v.set))
	for i, s := range v.states {
		if slices.Contains(tried, v.set[i].host) {
			continue
		}
		if s != nil && (s.leaves(v.now, &v.set[i]) || s.isFull(v.now, priority)) {
			continue
		}
		rest = append(rest, i)
		if s == nil || !s.until.After(v.now) {
			sound = append(sound, i)
		}
	}
	if len(sound)*minHealthyShare < len(rest) {
		return rest
	}
	return sound
}

// shortage is why a set has no upstream for a call: their targets' rates are used up, until
// the first has a turn, or they have no room, or there are none but those that leave.
func (v *view) shortage(priority snapshot.Priority) refusal {
	none := refusal{kind: kind.Empty}
	for i, s := range v.states {
		if s == nil || s.leaves(v.now, &v.set[i]) || !s.isFull(v.now, priority) {
			continue
		}
		left := s.fullTTL() - v.now.Sub(s.fullAt)
		switch {
		case !s.paced:
			return refusal{kind: kind.Full}
		case none.kind == kind.Empty || left < none.after:
			none = refusal{kind.Rate, left}
		}
	}
	return none
}

// cost is what a request at an upstream is expected to cost, its distance
// aside, in units of the service's usual time.
func (v *view) cost(i int, typicalLatency time.Duration) float64 {
	s := v.states[i]
	if s == nil {
		return 0
	}
	pace := 1.0
	if typicalLatency > 0 && s.usual > 0 {
		pace = float64(s.usual) / float64(typicalLatency)
	}
	cost := pace*(1+waitCost(s.expected(v.now, v.set[i].slots))) - 1
	rate := s.degraded(v.now)
	cost += failCost * rate * rate
	if s.stalled(v.now) {
		cost += stallCost
	}
	return cost
}

// waitCost is what the load of a target costs.
func waitCost(load float64) float64 {
	return loadFlat*load + loadSteep*max(0, load-loadKnee)
}

func (c *Balancer) state(service, host string) *state {
	known := c.states[service]
	if s := known[host]; s != nil {
		return s
	}
	if c.count >= maxStates {
		c.forget()
	}
	if known = c.states[service]; known == nil {
		known = make(map[string]*state)
		c.states[service] = known
	}
	s := new(state)
	known[host] = s
	c.count++
	return s
}

// forget drops states that nothing is in flight to.
func (c *Balancer) forget() {
	for service, known := range c.states {
		for host, s := range known {
			if s.inflight == 0 {
				delete(known, host)
				c.count--
			}
		}
		if len(known) == 0 {
			delete(c.states, service)
		}
	}
}

// done takes what an attempt that pick counted has told.
func (c *Balancer) done(now time.Time, service, host string, f Feedback) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(service, host)
	s.inflight = max(0, s.inflight-1)
	s.observeFeedback(now, f)
	if f.Leaving {
		s.leaving, s.leavingProcess = now.Add(leavingFor), s.process
	}
	if f.Full {
		s.markFull(now, f)
	}
	if f.Unreached {
		s.until = later(s.until, now.Add(unreachedFor))
	}
	if !f.Failed {
		s.fails, s.ejected = 0, 0
		return
	}
	s.fails++
	if s.fails < ejectAfter {
		return
	}
	s.fails = 0
	s.until = now.Add(min(ejectFirst<<min(s.ejected, 6), maxEjection))
	s.ejected++
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// overloaded tells whether an upstream of a set had no room of late.
func (c *Balancer) overloaded(now time.Time, service string, set []upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view(now, service, set).anyOverloaded()
}

func (v *view) anyOverloaded() bool {
	return v.any(func(s *state) bool { return !s.paced && v.now.Sub(s.fullAt) < overloadedFor })
}

func (v *view) any(is func(*state) bool) bool {
	return slices.ContainsFunc(v.states, func(s *state) bool { return s != nil && is(s) })
}

// Ejected returns how many upstreams are ejected now.
func (c *Balancer) Ejected(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, known := range c.states {
		for _, s := range known {
			if s.until.After(now) {
				n++
			}
		}
	}
	return n
}
