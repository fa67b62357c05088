package rollout

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Registry holds a node's roll-outs by service. Its methods are safe for concurrent use; the
// time is an argument of them. A nil Registry allows all versions.
type Registry struct {
	cfg  Config
	seed uint64
	// active is set once a request has to ask the Registry: there are roll-outs, or it is not
	// known yet whether there are any.
	active atomic.Bool

	mu        sync.Mutex
	confirmed bool
	services  map[string]*tracker
	// steppedAt is the time of the first Step.
	steppedAt time.Time
	// running has the numbers of attempts in flight by service and version. The map is
	// replaced, not modified, so that attempts are counted without the mutex, also those
	// that begin before the first order.
	running atomic.Pointer[map[attemptKey]*atomic.Int64]
}

type attemptKey struct{ service, version string }

// New returns a Registry that knows no order. seed distinguishes this node from others. With
// a Share of 0, a deployment without roll-outs, it allows all versions until it is told of
// an order.
func New(cfg Config, seed uint64) *Registry {
	r := &Registry{
		cfg: cfg, seed: seed, confirmed: cfg.Share <= 0,
		services: make(map[string]*tracker),
	}
	r.running.Store(&map[attemptKey]*atomic.Int64{})
	if cfg.Share <= 0 {
		r.cfg.Share = defaultShare
	}
	r.active.Store(!r.confirmed)
	return r
}

// defaultShare is the share of a deployment that sets none.
const defaultShare = 0.1

// Confirm records that a peer or the store has told this node all orders.
func (r *Registry) Confirm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = true
	r.updateActive()
}

// Confirmed reports whether the node knows all orders.
func (r *Registry) Confirmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// updateActive sets active after a change. Step finds the orders that are over by then.
func (r *Registry) updateActive() { r.active.Store(!r.confirmed || len(r.services) > 0) }

// Adopt takes a state that comes from the store or a peer. fromPeer is set if a peer has
// sent it just now. It reports whether this node learned something.
func (r *Registry) Adopt(now time.Time, s State, fromPeer bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.services[s.Service]
	if t == nil {
		r.services[s.Service] = newTracker(now, r.cfg, s, r.seed)
		r.updateActive()
		return true
	}
	if fromPeer && s.Order == t.state.Order {
		t.heardAt = now
	}
	merged := Merge(t.state, s)
	if merged.Order == t.state.Order {
		t.state.Members = merged.Members // no news by itself
	}
	if merged == t.state {
		return false
	}
	if merged.Order != t.state.Order {
		r.services[s.Service] = newTracker(now, r.cfg, merged, r.seed)
		r.updateActive()
		return true
	}
	phase := merged.Phase
	merged.Phase = t.state.Phase
	t.state = merged
	t.enter(now, phase)
	return true
}

// KeepStart returns states from the store with the starts that this node knows of their
// orders. A start from the store is by the wall clock, which may jump.
func (r *Registry) KeepStart(states []State) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(states)
	for i := range out {
		if t := r.services[out[i].Service]; t != nil && t.state.Order == out[i].Order {
			out[i].StartedAt = t.state.StartedAt
		}
	}
	return out
}

// Begin decides for one request which versions it may run at.
func (r *Registry) Begin(now time.Time, service string) Choice {
	if r == nil || !r.active.Load() {
		return Choice{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.services[service]
	if t == nil {
		return Choice{barred: !r.confirmed && !r.settled(now)}
	}
	if t.state.over(now) {
		return Choice{}
	}
	return t.begin(now)
}

// Reached counts a request that has reached a target.
func (r *Registry) Reached(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.services[service]; t != nil {
		t.reached(now)
	}
}

// Unsent tells that no target of the target version could take the request. It returns the
// choice for the other version, if that may be tried.
func (r *Registry) Unsent(c Choice) (Choice, bool) {
	if !c.limited || !c.next || c.strict {
		return c, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.services[c.state.Service]; t != nil && t.state.Order == c.state.Order && t.sent > 0 {
		t.sent--
		t.credit = min(t.credit+1, maxCredit)
	}
	c.next = false
	return c, true
}

// Again returns the choice for a further attempt at a request: a request that failed at the
// target version is repeated at the current one. The roll-out may have gone on meanwhile.
func (r *Registry) Again(now time.Time, c Choice) Choice {
	if !c.limited {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.services[c.state.Service]
	if t == nil || t.state.over(now) {
		return Choice{}
	}
	c.state = t.state
	c.next = t.state.Phase == Completed || t.onlyTarget(now)
	c.strict = true
	return c
}

// Started counts an attempt at a version as running until the returned function is called.
func (r *Registry) Started(service, version string) (ended func()) {
	if r == nil {
		return func() {}
	}
	n := r.counter(attemptKey{service, version})
	n.Add(1)
	var done atomic.Bool
	return func() {
		if !done.Swap(true) {
			n.Add(-1)
		}
	}
}

func (r *Registry) counter(key attemptKey) *atomic.Int64 {
	if n := (*r.running.Load())[key]; n != nil {
		return n
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := (*r.running.Load())[key]; n != nil {
		return n
	}
	next := maps.Clone(*r.running.Load())
	n := new(atomic.Int64)
	next[key] = n
	r.running.Store(&next)
	return n
}

// Observe counts the end of an attempt that reached a target.
func (r *Registry) Observe(o Outcome) {
	if r == nil || !r.active.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.services[o.Service]; t != nil {
		t.observe(o)
	}
}

// Counters returns this node's contributions to the mesh-wide sums.
func (r *Registry) Counters(now time.Time) map[string][]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]uint64)
	for _, t := range r.services {
		t.counters(now, r.drained(t), out)
	}
	return out
}

// drained reports whether no attempt is in flight at another version than the target one.
func (r *Registry) drained(t *tracker) bool {
	for key, n := range *r.running.Load() {
		if key.service == t.state.Service && key.version != t.state.Target && n.Load() > 0 {
			return false
		}
	}
	return true
}

// SetSums takes the mesh-wide sums, and the number of nodes that they include.
func (r *Registry) SetSums(now time.Time, sums map[string][]uint64, nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.services {
		t.setSums(now, sums, nodes)
	}
}

// Change is a decision of this node.
type Change struct {
	State   State
	Verdict Verdict
}

// Step makes the decisions that are due, and returns them for the other nodes. fleet
// returns the targets of a service.
func (r *Registry) Step(now time.Time, fleet func(service string) Fleet) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.steppedAt.IsZero() {
		r.steppedAt = now
	}
	var out []Change
	active := !r.confirmed
	for _, service := range slices.Sorted(maps.Keys(r.services)) {
		t := r.services[service]
		active = active || !t.state.over(now)
		before := t.state
		f := fleet(service)
		t.look(f)
		t.decide(now, f, r.settled(now))
		if before.Members = t.state.Members; t.state != before {
			out = append(out, Change{t.state, t.verdict})
		}
	}
	r.active.Store(active)
	return out
}

// Active reports whether a request has to ask the Registry.
func (r *Registry) Active() bool { return r.active.Load() }

// settleTime is how long a node that has just started leaves all decisions but a rollback for
// bad answers to the others: it may not know all members and targets yet. It also bounds how long requests are refused
// because no order is known: with the store down and no peer nothing would ever confirm that.
const settleTime = 3 * time.Second

func (r *Registry) settled(now time.Time) bool {
	return !r.steppedAt.IsZero() && now.Sub(r.steppedAt) >= settleTime
}

// States returns the states of all services, sorted by name.
func (r *Registry) States() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]State, 0, len(r.services))
	for _, service := range slices.Sorted(maps.Keys(r.services)) {
		out = append(out, r.services[service].state)
	}
	return out
}

// Completable reports whether the status of an order may say that it is completed.
func (r *Registry) Completable(now time.Time, service string, order uint64, f Fleet) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.services[service]
	return t != nil && r.settled(now) && t.state.Order == order && t.completable(now, f)
}
