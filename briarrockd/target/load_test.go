package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// flow is one route's calls at a gate: one each every, that take work.
type flow struct {
	route       string
	priority    snapshot.Priority
	every, work time.Duration
	aim, most   time.Duration // aim and deadline, from the arrival on
}

// tally is what became of a flow's calls.
type tally struct{ started, refused, inTime int }

// play drives a gate with flows for some time, in steps of a millisecond. Each
// call that is started ends after its work.
func play(g *Gate, flows []flow, last time.Duration) []tally {
	type run struct {
		flow   int
		came   time.Time
		began  time.Time
		ending time.Time
	}
	const step = time.Millisecond
	out := make([]tally, len(flows))
	calls := make(map[CallID]*run)
	next := CallID(0)
	start := time.Unix(0, 0)
	take := func(now time.Time, cmds []Cmd) {
		for _, c := range cmds {
			switch c := c.(type) {
			case Start:
				r := calls[c.ID]
				out[r.flow].started++
				r.began, r.ending = now, now.Add(flows[r.flow].work)
				if !r.ending.After(r.came.Add(flows[r.flow].aim)) {
					out[r.flow].inTime++
				}
			case Refuse:
				out[calls[c.ID].flow].refused++
				delete(calls, c.ID)
			}
		}
	}
	for at := time.Duration(0); at < last; at += step {
		now := start.Add(at)
		for id := CallID(1); id <= next; id++ {
			r := calls[id]
			if r == nil || r.ending.IsZero() || r.ending.After(now) {
				continue
			}
			delete(calls, id)
			f := flows[r.flow]
			take(now, g.Step(now, Completed{ID: id, Route: f.route, Duration: f.work}))
		}
		for i, f := range flows {
			for n := at / f.every; n*f.every >= at && n*f.every < at+step; n++ {
				next++
				calls[next] = &run{flow: i, came: now}
				take(now, g.Step(now, Arrival{
					ID: next, Route: f.route, Priority: f.priority, Aim: now.Add(f.aim), Deadline: now.Add(f.most),
				}))
			}
		}
		take(now, g.Step(now, Tick{}))
	}
	return out
}

// TestShortBehindLong has more reports of 180 ms than a target can run, beside
// lookups of 12 ms with 60 ms of time, which other targets' runs wait for.
//
// A lookup that finds all slots taken by reports fails the run that needs it.
// The reports are what there is too much of: they are refused, the lookups are
// not, and the slots are at work all the same.
func TestShortBehindLong(t *testing.T) {
	c := qt.New(t)
	const slots, last = 15, 10 * time.Second
	flows := []flow{
		{"lookup", snapshot.Urgent, 6 * time.Millisecond, 12 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond},
		{"report", snapshot.Bulk, 8 * time.Millisecond, 180 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond},
	}
	got := play(NewGate(Limits{Slots: slots, Queue: 2 * slots}), flows, last)
	lookups, reports := got[0], got[1]
	c.Check(float64(lookups.inTime) >= 0.99*float64(lookups.started+lookups.refused), qt.IsTrue, qt.Commentf("%+v", lookups))
	busy := time.Duration(lookups.started)*flows[0].work + time.Duration(reports.started)*flows[1].work
	c.Check(float64(busy) >= 0.85*float64(slots*last), qt.IsTrue, qt.Commentf("slots at work %.2f", float64(busy)/float64(slots*last)))
	c.Check(float64(reports.inTime) >= 0.99*float64(reports.started), qt.IsTrue, qt.Commentf("%+v", reports))
}

// TestTwiceTheCapacity has twice as many calls of one kind as a target can run,
// and urgent ones among them.
//
// What can't be run is told at once. The urgent ones all run in time, the slots
// are never idle, and of the others nearly all that run are in time as well: a
// long queue would make them late and run no more of them.
func TestTwiceTheCapacity(t *testing.T) {
	c := qt.New(t)
	const slots, last = 15, 10 * time.Second
	flows := []flow{
		{"order", snapshot.Urgent, 20 * time.Millisecond, 78 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond},
		{"read", snapshot.Bulk, 3 * time.Millisecond, 78 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond},
	}
	got := play(NewGate(Limits{Slots: slots, Queue: 2 * slots}), flows, last)
	orders, reads := got[0], got[1]
	c.Check(orders.refused, qt.Equals, 0)
	c.Check(orders.inTime, qt.Equals, orders.started)
	busy := time.Duration(orders.started+reads.started) * flows[0].work
	c.Check(float64(busy) >= 0.97*float64(slots*last), qt.IsTrue, qt.Commentf("slots at work %.2f", float64(busy)/float64(slots*last)))
	c.Check(float64(reads.inTime) >= 0.95*float64(reads.started), qt.IsTrue, qt.Commentf("%+v", reads))
}

// TestAllBackAtOnce has a whole service come back after a loss of power: every
// target is cold, takes twice as long for a while, and its callers are all there.
//
// Calls get all of the slots from the first moment on, as there is no warm target
// that could run them instead.
func TestAllBackAtOnce(t *testing.T) {
	c := qt.New(t)
	const slots = 15
	x := &Targets{deps: Deps{}}
	g := NewGate(x.limits(Announcement{Slots: slots, State: StateCold}))
	flows := []flow{{"read", snapshot.Normal, 4 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond}}
	got := play(g, flows, time.Second)[0]
	c.Check(got.started >= slots*7, qt.IsTrue, qt.Commentf("%+v", got))
}
