package caller

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// Parameters of the simulated fleet: the real Balancers of all nodes and the real Gates
// of all targets, with only delays between them.
const (
	fleetDomains   = 8
	fleetTargets   = 128
	fleetSlots     = 11
	fleetWork      = 270 * time.Millisecond // at a target with slowdown 1
	fleetAim       = time.Second
	fleetTimeout   = 2500 * time.Millisecond
	fleetSpread    = 0.7 // standard deviation of the logarithm of the work
	fleetDuration  = 3 * time.Second
	fleetWarmup    = time.Second // not recorded
	fleetService   = "ledger"
	fleetNearDelay = time.Millisecond
	fleetFarDelay  = 20 * time.Millisecond
)

// fleetSlowdowns are factors on the work of the targets, assigned in turn: a fleet has
// hosts of several generations.
var fleetSlowdowns = []float64{0.7, 0.7, 1.6}

// fleetEvent is an action at a simulated time.
type fleetEvent struct {
	at time.Time
	n  int
	do func()
}

type fleetEvents []fleetEvent

func (a fleetEvents) Len() int { return len(a) }
func (a fleetEvents) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].n < a[j].n
}
func (a fleetEvents) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *fleetEvents) Push(x any)   { *a = append(*a, x.(fleetEvent)) }
func (a *fleetEvents) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// server is a simulated target with its Gate.
type server struct {
	gate     *target.Gate
	slowdown float64
	calls    map[target.CallID]func(target.Cmd)
	starts   int
}

// fleetStats counts the outcomes of the calls of a simulation.
type fleetStats struct {
	calls, inAim, late, refused, refusedIdle int
	maxRelativeLoad                          float64 // most calls started at a target, relative to the mean
}

func (t fleetStats) inAimShare() float64 { return float64(t.inAim) / float64(t.calls) }

// fleet is one simulation.
type fleet struct {
	rng        *rand.Rand
	now        time.Time
	events     fleetEvents
	n          int
	set        []upstream
	servers    map[string]*server
	nodes      []*Balancer
	policy     string
	lastID     target.CallID
	stats      fleetStats
	recordFrom time.Time
}

func newFleet(nodes int, policy string) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), servers: make(map[string]*server), policy: policy}
	f.recordFrom = f.now.Add(fleetWarmup)
	var members []peer.Member
	for i := range fleetTargets {
		domain := i % fleetDomains
		host := fmt.Sprintf("h%03d", i)
		members = append(members, peer.Member{
			Host: host, Domain: fmt.Sprint("d", domain), Region: fmt.Sprint("r", domain%2), PeerAddr: host, CallAddr: host,
			Targets: []peer.Target{{Service: fleetService, Slots: fleetSlots}},
		})
		f.servers[host] = &server{
			gate: target.NewGate(target.Limits{Slots: fleetSlots, Queue: 2 * fleetSlots}), slowdown: fleetSlowdowns[i/fleetDomains%len(fleetSlowdowns)],
			calls: make(map[target.CallID]func(target.Cmd)),
		}
	}
	s := &snapshot.Snapshot{Services: []snapshot.Service{{Name: fleetService, Slots: fleetSlots}}}
	f.set = NewTable(1, s, members).upstreams[fleetService]
	for i := range nodes {
		domain := i % fleetDomains
		f.nodes = append(f.nodes, NewBalancer(fmt.Sprint("d", domain), fmt.Sprint("r", domain%2), uint64(i)))
	}
	return f
}

func (f *fleet) schedule(t time.Time, do func()) {
	f.n++
	heap.Push(&f.events, fleetEvent{t, f.n, do})
}

// run simulates calls that use the share load of all slots.
func (f *fleet) run(load float64) fleetStats {
	capacity := 0.0
	for _, s := range f.servers {
		capacity += fleetSlots / s.slowdown / fleetWork.Seconds()
	}
	gap := time.Duration(float64(time.Second) / (capacity * load))
	end := f.now.Add(fleetDuration)
	var arrive func()
	arrive = func() {
		if f.now.After(end) {
			return
		}
		f.schedule(f.now.Add(time.Duration(f.rng.ExpFloat64()*float64(gap))), arrive)
		f.call(f.nodes[f.rng.IntN(len(f.nodes))])
	}
	arrive()
	for len(f.events) > 0 {
		o := heap.Pop(&f.events).(fleetEvent)
		f.now = o.at
		o.do()
	}
	total := 0
	for _, s := range f.servers {
		total += s.starts
		f.stats.maxRelativeLoad = max(f.stats.maxRelativeLoad, float64(s.starts)*fleetTargets)
	}
	f.stats.maxRelativeLoad /= float64(total)
	return f.stats
}

// fleetCall is a call in progress.
type fleetCall struct {
	f        *fleet
	b        *Balancer
	began    time.Time
	work     time.Duration
	tried    []string
	reroutes int
}

func (f *fleet) call(b *Balancer) {
	work := time.Duration(float64(fleetWork) * math.Exp(fleetSpread*f.rng.NormFloat64()-fleetSpread*fleetSpread/2))
	(&fleetCall{f: f, b: b, began: f.now, work: work}).sendAttempt()
}

func (c *fleetCall) sendAttempt() {
	f := c.f
	u, _, ok := c.b.pick(f.now, fleetService, f.set, c.tried, snapshot.Normal)
	if f.policy == "oracle" {
		u, ok = f.bestUpstream(c.b, c.tried), true
	}
	if !ok {
		c.record(false)
		return
	}
	c.tried = append(c.tried, u.host)
	hop := fleetNearDelay
	if u.otherRegion {
		hop = fleetFarDelay
	}
	f.schedule(f.now.Add(hop), func() { c.arrive(u, hop) })
}

// bestUpstream returns the target that would end a call first, among those that were not
// tried.
func (f *fleet) bestUpstream(b *Balancer, tried []string) upstream {
	var best upstream
	lowest := math.Inf(1)
	for _, u := range f.set {
		s := f.servers[u.host]
		cost := s.slowdown * (1 + max(0, s.gate.Load(f.now)-1+1.0/fleetSlots))
		if slices.Contains(tried, u.host) {
			continue
		}
		u.otherRegion = b.tier(&u) == tierCount-1
		if u.otherRegion {
			cost += otherRegionCost
		}
		if cost += 0.01 * s.gate.Load(f.now); cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

// arrive delivers a call to its target's node.
func (c *fleetCall) arrive(u upstream, hop time.Duration) {
	f := c.f
	s := f.servers[u.host]
	f.lastID++
	id := f.lastID
	s.calls[id] = func(cmd target.Cmd) {
		switch cmd := cmd.(type) {
		case target.Start:
			s.starts++
			took := time.Duration(float64(c.work) * s.slowdown)
			f.schedule(f.now.Add(took), func() { c.finish(u, s, id, took, hop) })
		case target.Refuse:
			c.refused(u, s, cmd, hop)
		}
	}
	f.step(s, target.Arrival{ID: id, Route: "view", Priority: snapshot.Normal, Deadline: c.began.Add(fleetTimeout), Aim: c.began.Add(fleetAim), CrossRegion: u.otherRegion})
}

// step passes a message to a Gate and executes the commands that it returns.
func (f *fleet) step(s *server, m target.Msg) {
	for _, cmd := range s.gate.Step(f.now, m) {
		id := target.CallID(0)
		switch cmd := cmd.(type) {
		case target.Start:
			id = cmd.ID
		case target.Refuse:
			id = cmd.ID
		}
		do := s.calls[id]
		delete(s.calls, id)
		do(cmd)
	}
}

func (f *fleet) feedback(s *server) Feedback {
	return Feedback{Load: s.gate.Load(f.now), TypicalLatency: s.gate.MeanDuration(), Priority: snapshot.Normal}
}

func (c *fleetCall) finish(u upstream, s *server, id target.CallID, took, hop time.Duration) {
	f := c.f
	f.step(s, target.Completed{ID: id, Route: "view", Duration: took})
	fb := f.feedback(s)
	f.schedule(f.now.Add(hop), func() {
		c.b.done(f.now, fleetService, u.host, fb)
		c.record(true)
	})
}

func (c *fleetCall) refused(u upstream, s *server, r target.Refuse, hop time.Duration) {
	f := c.f
	fb := f.feedback(s)
	fb.Full, fb.RetryAfter = r.Kind == kind.Full, r.RetryAfter
	f.schedule(f.now.Add(hop), func() {
		c.b.done(f.now, fleetService, u.host, fb)
		if c.reroutes++; c.reroutes > maxReroutes {
			c.record(false)
			return
		}
		c.sendAttempt()
	})
}

// record counts a call. A refusal counts as refusedIdle if at least a tenth of the slots
// were free.
func (c *fleetCall) record(answered bool) {
	f := c.f
	if c.began.Before(f.recordFrom) {
		return
	}
	f.stats.calls++
	took := f.now.Sub(c.began)
	switch {
	case answered && took <= fleetAim:
		f.stats.inAim++
	case answered:
		f.stats.late++
	default:
		f.stats.refused++
		running := 0
		for _, s := range f.servers {
			running += s.gate.Running()
		}
		if running < fleetTargets*fleetSlots*9/10 {
			f.stats.refusedIdle++
		}
	}
}

// TestFleet guards against outdated load information in a large fleet: a few targets get
// more than their slots can process, or more than one call in a hundred is refused while
// a tenth of the slots are free. A Balancer with complete and current information is
// simulated for comparison.
func TestFleet(t *testing.T) {
	datadriven.RunTest(t, "testdata/fleet", func(t *testing.T, d *datadriven.TestData) string {
		c := qt.New(t)
		nodes, load := 0, 0
		d.ScanArgs(t, "nodes", &nodes)
		d.ScanArgs(t, "load", &load)
		policies := []string{"reported", "oracle"}
		got := make([]fleetStats, len(policies))
		var wg sync.WaitGroup
		for i, policy := range policies {
			wg.Go(func() { got[i] = newFleet(nodes, policy).run(float64(load) / 100) })
		}
		wg.Wait()
		for i, policy := range policies {
			t.Logf("%d nodes at %d %%: %-8s %.4f in aim, highest relative load %.2f, late %d, refused %d, of these %d while slots were free",
				nodes, load, policy, got[i].inAimShare(), got[i].maxRelativeLoad, got[i].late, got[i].refused, got[i].refusedIdle)
		}
		reported := got[0]
		c.Check(reported.refusedIdle*100 <= reported.calls, qt.IsTrue)
		// At a load above 100 % the Gates enforce the slots.
		c.Check(load > 100 || reported.maxRelativeLoad*float64(load)/100*slices.Min(fleetSlowdowns) <= 1, qt.IsTrue, qt.Commentf("a target got more calls than its slots can process"))
		return "ok\n"
	})
}
