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

// The fleet that is played: the real Balancers of all nodes and the real Gates of all
// targets, with nothing but delays between them.
const (
	fleetDomains = 8
	fleetTargets = 128
	fleetSlots   = 11
	fleetWork    = 270 * time.Millisecond // at a target of middling speed
	fleetAim     = time.Second
	fleetLimit   = 2500 * time.Millisecond
	fleetSpread  = 0.7 // of the logarithm of the work
	fleetFor     = 3 * time.Second
	fleetWarm    = time.Second // not counted
	fleetService = "ledger"
	fleetHop     = time.Millisecond
	fleetFar     = 20 * time.Millisecond
)

// fleetPace are the times that targets take, in turns: a fleet has hosts of several
// generations.
var fleetPace = []float64{0.7, 0.7, 1.6}

// occurrence is something that happens at a time.
type occurrence struct {
	at time.Time
	n  int
	do func()
}

type agenda []occurrence

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].n < a[j].n
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occurrence)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// server is a target with its Gate.
type server struct {
	gate   *target.Gate
	pace   float64
	calls  map[target.CallID]func(target.Cmd)
	starts int
}

// tally is what came of the calls of a play.
type tally struct {
	calls, inAim, late, refused, idle int
	busiest                           float64
}

func (t tally) share() float64 { return float64(t.inAim) / float64(t.calls) }

// fleet is one play.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	agenda  agenda
	n       int
	set     []upstream
	servers map[string]*server
	nodes   []*Balancer
	policy  string
	lastID  target.CallID
	tally   tally
	counted time.Time
}

func newFleet(nodes int, policy string) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), servers: make(map[string]*server), policy: policy}
	f.counted = f.now.Add(fleetWarm)
	var members []peer.Member
	for i := range fleetTargets {
		domain := i % fleetDomains
		host := fmt.Sprintf("h%03d", i)
		members = append(members, peer.Member{
			Host: host, Domain: fmt.Sprint("d", domain), Region: fmt.Sprint("r", domain%2), PeerAddr: host, CallAddr: host,
			Targets: []peer.Target{{Service: fleetService, Slots: fleetSlots}},
		})
		f.servers[host] = &server{
			gate: target.NewGate(target.Limits{Slots: fleetSlots, Queue: 2 * fleetSlots}), pace: fleetPace[i/fleetDomains%len(fleetPace)],
			calls: make(map[target.CallID]func(target.Cmd)),
		}
	}
	s := &snapshot.Snapshot{Services: []snapshot.Service{{Name: fleetService, Slots: fleetSlots}}}
	f.set = NewTable(1, s, members).sets[fleetService]
	for i := range nodes {
		domain := i % fleetDomains
		f.nodes = append(f.nodes, NewBalancer(fmt.Sprint("d", domain), fmt.Sprint("r", domain%2), uint64(i)))
	}
	return f
}

func (f *fleet) at(t time.Time, do func()) {
	f.n++
	heap.Push(&f.agenda, occurrence{t, f.n, do})
}

// play sends calls that take up a part of all slots.
func (f *fleet) play(load float64) tally {
	capacity := 0.0
	for _, s := range f.servers {
		capacity += fleetSlots / s.pace / fleetWork.Seconds()
	}
	gap := time.Duration(float64(time.Second) / (capacity * load))
	end := f.now.Add(fleetFor)
	var arrive func()
	arrive = func() {
		if f.now.After(end) {
			return
		}
		f.at(f.now.Add(time.Duration(f.rng.ExpFloat64()*float64(gap))), arrive)
		f.call(f.nodes[f.rng.IntN(len(f.nodes))])
	}
	arrive()
	for len(f.agenda) > 0 {
		o := heap.Pop(&f.agenda).(occurrence)
		f.now = o.at
		o.do()
	}
	total := 0
	for _, s := range f.servers {
		total += s.starts
		f.tally.busiest = max(f.tally.busiest, float64(s.starts)*fleetTargets)
	}
	f.tally.busiest /= float64(total)
	return f.tally
}

// fleetCall is one call on its way.
type fleetCall struct {
	f     *fleet
	ch    *Balancer
	began time.Time
	work  time.Duration
	tried []string
	moves int
}

func (f *fleet) call(ch *Balancer) {
	work := time.Duration(float64(fleetWork) * math.Exp(fleetSpread*f.rng.NormFloat64()-fleetSpread*fleetSpread/2))
	(&fleetCall{f: f, ch: ch, began: f.now, work: work}).try()
}

func (c *fleetCall) try() {
	f := c.f
	u, _, ok := c.ch.pick(f.now, fleetService, f.set, c.tried, snapshot.Normal)
	if f.policy == "oracle" {
		u, ok = f.best(c.ch, c.tried), true
	}
	if !ok {
		c.end(false)
		return
	}
	c.tried = append(c.tried, u.host)
	hop := fleetHop
	if u.far {
		hop = fleetFar
	}
	f.at(f.now.Add(hop), func() { c.reach(u, hop) })
}

// best is the target at which a call ends first, of those that it has not tried.
func (f *fleet) best(ch *Balancer, tried []string) upstream {
	var best upstream
	least := math.Inf(1)
	for _, u := range f.set {
		s := f.servers[u.host]
		cost := s.pace * (1 + max(0, s.gate.Load(f.now)-1+1.0/fleetSlots))
		if slices.Contains(tried, u.host) {
			continue
		}
		u.far = ch.tier(&u) == tierCount-1
		if u.far {
			cost += farRegion
		}
		if cost += 0.01 * s.gate.Load(f.now); cost < least {
			best, least = u, cost
		}
	}
	return best
}

// reach brings a call to its target's node.
func (c *fleetCall) reach(u upstream, hop time.Duration) {
	f := c.f
	s := f.servers[u.host]
	f.lastID++
	id := f.lastID
	s.calls[id] = func(cmd target.Cmd) {
		switch cmd := cmd.(type) {
		case target.Start:
			s.starts++
			took := time.Duration(float64(c.work) * s.pace)
			f.at(f.now.Add(took), func() { c.ended(u, s, id, took, hop) })
		case target.Refuse:
			c.refused(u, s, cmd, hop)
		}
	}
	f.step(s, target.Arrival{ID: id, Route: "view", Priority: snapshot.Normal, Deadline: c.began.Add(fleetLimit), Aim: c.began.Add(fleetAim), CrossRegion: u.far})
}

// step gives a Gate a message and hands on what it decides.
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
	return Feedback{Load: s.gate.Load(f.now), Usual: s.gate.MeanDuration(), Priority: snapshot.Normal}
}

func (c *fleetCall) ended(u upstream, s *server, id target.CallID, took, hop time.Duration) {
	f := c.f
	f.step(s, target.Completed{ID: id, Route: "view", Duration: took})
	fb := f.feedback(s)
	f.at(f.now.Add(hop), func() {
		c.ch.done(f.now, fleetService, u.host, fb)
		c.end(true)
	})
}

func (c *fleetCall) refused(u upstream, s *server, r target.Refuse, hop time.Duration) {
	f := c.f
	fb := f.feedback(s)
	fb.Full, fb.Again = r.Kind == kind.Full, r.RetryAfter
	f.at(f.now.Add(hop), func() {
		c.ch.done(f.now, fleetService, u.host, fb)
		if c.moves++; c.moves > maxReroutes {
			c.end(false)
			return
		}
		c.try()
	})
}

// end counts a call. A refusal counts as idle if a tenth of the slots were free.
func (c *fleetCall) end(answered bool) {
	f := c.f
	if c.began.Before(f.counted) {
		return
	}
	f.tally.calls++
	took := f.now.Sub(c.began)
	switch {
	case answered && took <= fleetAim:
		f.tally.inAim++
	case answered:
		f.tally.late++
	default:
		f.tally.refused++
		running := 0
		for _, s := range f.servers {
			running += s.gate.Running()
		}
		if running < fleetTargets*fleetSlots*9/10 {
			f.tally.idle++
		}
	}
}

// TestFleet guards against choices by knowledge that is old at the size of the fleet: a
// few targets that get more than their slots take, and more than one call in a hundred
// that is refused while a tenth of the slots are free. A choice that knows everything is
// played beside it.
func TestFleet(t *testing.T) {
	datadriven.RunTest(t, "testdata/fleet", func(t *testing.T, d *datadriven.TestData) string {
		c := qt.New(t)
		nodes, load := 0, 0
		d.ScanArgs(t, "nodes", &nodes)
		d.ScanArgs(t, "load", &load)
		policies := []string{"reported", "oracle"}
		got := make([]tally, len(policies))
		var wg sync.WaitGroup
		for i, policy := range policies {
			wg.Go(func() { got[i] = newFleet(nodes, policy).play(float64(load) / 100) })
		}
		wg.Wait()
		for i, policy := range policies {
			t.Logf("%d nodes at %d %%: %-8s %.4f in aim, busiest %.2f, late %d, refused %d, of these %d beside free slots",
				nodes, load, policy, got[i].share(), got[i].busiest, got[i].late, got[i].refused, got[i].idle)
		}
		reported := got[0]
		c.Check(reported.idle*100 <= reported.calls, qt.IsTrue)
		// Above all slots the Gates keep to them.
		c.Check(load > 100 || reported.busiest*float64(load)/100*slices.Min(fleetPace) <= 1, qt.IsTrue, qt.Commentf("a target got more than its slots take"))
		return "ok\n"
	})
}
