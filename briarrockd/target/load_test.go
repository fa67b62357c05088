package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// flow describes the calls of one route: one each interval, which runs for work.
type flow struct {
	route          string
	priority       snapshot.Priority
	interval, work time.Duration
	aim, deadline  time.Duration // after the arrival
}

// tally counts the outcomes of a flow's calls.
type tally struct{ started, refused, inTime int }

// simulate sends flows to a gate for a duration, in steps of a millisecond. Each call that is
// started ends after its work.
func simulate(g *Gate, flows []flow, duration time.Duration) []tally {
	type run struct {
		flow      int
		arrivedAt time.Time
		startedAt time.Time
		endsAt    time.Time
	}
	const step = time.Millisecond
	out := make([]tally, len(flows))
	calls := make(map[CallID]*run)
	next := CallID(0)
	start := time.Unix(0, 0)
	handle := func(now time.Time, cmds []Cmd) {
		for _, c := range cmds {
			switch c := c.(type) {
			case Start:
				r := calls[c.ID]
				out[r.flow].started++
				r.startedAt, r.endsAt = now, now.Add(flows[r.flow].work)
				if !r.endsAt.After(r.arrivedAt.Add(flows[r.flow].aim)) {
					out[r.flow].inTime++
				}
			case Refuse:
				out[calls[c.ID].flow].refused++
				delete(calls, c.ID)
			}
		}
	}
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		for id := CallID(1); id <= next; id++ {
			r := calls[id]
			if r == nil || r.endsAt.IsZero() || r.endsAt.After(now) {
				continue
			}
			delete(calls, id)
			f := flows[r.flow]
			handle(now, g.Step(now, Completed{ID: id, Route: f.route, Duration: f.work}))
		}
		for i, f := range flows {
			for n := at / f.interval; n*f.interval >= at && n*f.interval < at+step; n++ {
				next++
				calls[next] = &run{flow: i, arrivedAt: now}
				handle(now, g.Step(now, Arrival{
					ID: next, Route: f.route, Priority: f.priority, Aim: now.Add(f.aim), Deadline: now.Add(f.deadline),
				}))
			}
		}
		handle(now, g.Step(now, Tick{}))
	}
	return out
}

// TestShortBehindLong sends more reports of 180 ms than a target can run, and lookups of 12 ms with
// an aim of 60 ms. Outer calls at other targets wait for the lookups.
//
// A lookup that finds all slots taken by reports fails the outer call that needs it. Reports cause
// the overload, so reports must be refused and lookups not, while the slots stay in use.
func TestShortBehindLong(t *testing.T) {
	c := qt.New(t)
	const slots, last = 15, 10 * time.Second
	flows := []flow{
		{"lookup", snapshot.Urgent, 6 * time.Millisecond, 12 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond},
		{"report", snapshot.Bulk, 8 * time.Millisecond, 180 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond},
	}
	got := simulate(NewGate(Limits{Slots: slots, Queue: 2 * slots}), flows, last)
	lookups, reports := got[0], got[1]
	c.Check(float64(lookups.inTime) >= 0.99*float64(lookups.started+lookups.refused), qt.IsTrue, qt.Commentf("%+v", lookups))
	busy := time.Duration(lookups.started)*flows[0].work + time.Duration(reports.started)*flows[1].work
	c.Check(float64(busy) >= 0.85*float64(slots*last), qt.IsTrue, qt.Commentf("slots in use %.2f", float64(busy)/float64(slots*last)))
	c.Check(float64(reports.inTime) >= 0.99*float64(reports.started), qt.IsTrue, qt.Commentf("%+v", reports))
}

// TestTwiceTheCapacity sends twice as many calls of one kind as a target can run, with urgent
// ones among them.
//
// Calls that can't run must be refused at once. All urgent calls run in time, the slots are never
// idle, and nearly all other calls that run are in time too. A long queue would make them late
// without running more of them.
func TestTwiceTheCapacity(t *testing.T) {
	c := qt.New(t)
	const slots, last = 15, 10 * time.Second
	flows := []flow{
		{"order", snapshot.Urgent, 20 * time.Millisecond, 78 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond},
		{"read", snapshot.Bulk, 3 * time.Millisecond, 78 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond},
	}
	got := simulate(NewGate(Limits{Slots: slots, Queue: 2 * slots}), flows, last)
	orders, reads := got[0], got[1]
	c.Check(orders.refused, qt.Equals, 0)
	c.Check(orders.inTime, qt.Equals, orders.started)
	busy := time.Duration(orders.started+reads.started) * flows[0].work
	c.Check(float64(busy) >= 0.97*float64(slots*last), qt.IsTrue, qt.Commentf("slots in use %.2f", float64(busy)/float64(slots*last)))
	c.Check(float64(reads.inTime) >= 0.95*float64(reads.started), qt.IsTrue, qt.Commentf("%+v", reads))
}

// TestColdTargetUsesAllSlots restarts a whole service after a loss of power: every target is
// cold and takes twice as long for a while, and all callers are there at once. Calls must get
// all slots from the start, as no warm target could run them instead.
func TestColdTargetUsesAllSlots(t *testing.T) {
	c := qt.New(t)
	const slots = 15
	x := &Targets{deps: Deps{}}
	g := NewGate(x.limits(Announcement{Slots: slots, State: StateCold}))
	flows := []flow{{"read", snapshot.Normal, 4 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond}}
	got := simulate(g, flows, time.Second)[0]
	c.Check(got.started >= slots*7, qt.IsTrue, qt.Commentf("%+v", got))
}
