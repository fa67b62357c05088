package rollout

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_000_000, 0)

// newSettled returns a Registry of a node that has run for a while.
func newSettled(seed uint64) *Registry {
	r := New(Config{Share: 0.1, Slack: 50}, seed)
	r.Step(start.Add(-time.Minute), nil)
	return r
}

// TestSettle guards against a node that has just started and ends a roll-out since it knows
// no targets or members yet.
func TestSettle(t *testing.T) {
	c := qt.New(t)
	r := New(Config{Share: 0.1, Slack: 50}, 1)
	r.Adopt(start, State{Service: "s", Order: 1, Target: "v2", Current: "v1", Duration: 10 * time.Second, StartedAt: start.Add(-9900 * time.Millisecond)}, true)
	none := func(string) Fleet { return Fleet{Members: 1} }
	c.Check(r.Step(start, none), qt.HasLen, 0)
	c.Check(r.Step(start.Add(settleTime/2), none), qt.HasLen, 0)
	c.Check(r.Step(start.Add(settleTime), none), qt.HasLen, 1)
}

// TestMerge guards against a node that falls back to an older order or phase, and against
// an order that takes the version of an unfinished order for the one in use.
func TestMerge(t *testing.T) {
	base := State{Service: "s", Order: 5, Target: "v2", Current: "v1", Duration: 12 * time.Second, StartedAt: start}
	with := func(f func(*State)) State {
		s := base
		f(&s)
		return s
	}
	for _, test := range []struct {
		name       string
		a, b, want State
	}{
		{"later phase", base, with(func(s *State) { s.Phase = RolledBack }), with(func(s *State) { s.Phase = RolledBack })},
		{"rolled back before switched", with(func(s *State) { s.Phase = Switched }), with(func(s *State) { s.Phase = RolledBack }), with(func(s *State) { s.Phase = RolledBack })},
		{"written completed before rolled back", with(func(s *State) { s.Phase = RolledBack }), with(func(s *State) { s.Phase = Completed }), with(func(s *State) { s.Phase = Completed })},
		{"written", with(func(s *State) { s.Phase = RolledBack }), with(func(s *State) { s.Phase, s.Written = RolledBack, true }), with(func(s *State) { s.Phase, s.Written = RolledBack, true })},
		{"earlier start", base, with(func(s *State) { s.StartedAt = start.Add(-time.Second) }), with(func(s *State) { s.StartedAt = start.Add(-time.Second) })},
		{
			"replaced while open", with(func(s *State) { s.Phase = Ramping }),
			State{Service: "s", Order: 6, Target: "v3"},
			State{Service: "s", Order: 6, Target: "v3", Current: "v1"},
		},
		{
			"replaced after completion", with(func(s *State) { s.Phase = Completed }),
			State{Service: "s", Order: 6, Target: "v1"},
			State{Service: "s", Order: 6, Target: "v1", Current: "v2"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(Merge(test.a, test.b), qt.DeepEquals, test.want)
			c.Check(Merge(test.b, test.a), qt.DeepEquals, test.want)
		})
	}
}

// TestAllows guards against a request at a version that no order allows.
func TestAllows(t *testing.T) {
	for _, test := range []struct {
		name             string
		state            State
		next             bool
		allowed, refused []string
	}{
		{"current", State{Target: "v2", Current: "v1"}, false, []string{"v1", ""}, []string{"v2", "v3"}},
		{"target", State{Target: "v2", Current: "v1"}, true, []string{"v2"}, []string{"v1", "v3", ""}},
		{"current unknown", State{Target: "v2"}, false, []string{"v1", ""}, []string{"v2"}},
		{"back to the version in use", State{Target: "v1", Current: "v1"}, false, []string{"v1", ""}, []string{"v2"}},
		{"completed", State{Target: "v2", Current: "v1", Phase: Completed}, true, []string{"v2", "v3", "v0"}, []string{"v1", ""}},
		{"rolled back", State{Target: "v2", Current: "v1", Phase: RolledBack}, false, []string{"v1", "v3", ""}, []string{"v2"}},
		{"withdrawn, the version in use", State{Target: "v1", Current: "v1", Phase: RolledBack}, false, []string{"v1", "v2", ""}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for _, v := range test.allowed {
				c.Check(test.state.allows(v, test.next), qt.IsTrue, qt.Commentf("%q", v))
			}
			for _, v := range test.refused {
				c.Check(test.state.allows(v, test.next), qt.IsFalse, qt.Commentf("%q", v))
			}
		})
	}
}

// TestUnconfirmed guards against a restarted node that sends to all versions before it knows
// whether there is an order, against one that refuses requests for good if neither the store
// nor a peer tells it, and against a deployment without roll-outs that waits for that.
func TestUnconfirmed(t *testing.T) {
	c := qt.New(t)
	r := New(Config{Share: 0.1, Slack: 50}, 1)
	choice := r.Begin(start, "s")
	c.Check(choice.Barred(), qt.IsTrue)
	r.Step(start, func(string) Fleet { return Fleet{} })
	choice = r.Begin(start.Add(settleTime-1), "s")
	c.Check(choice.Barred(), qt.IsTrue)
	choice = r.Begin(start.Add(settleTime), "s")
	c.Check(choice.Barred(), qt.IsFalse)
	c.Check(r.Confirmed(), qt.IsFalse)
	r.Confirm()
	choice = r.Begin(start, "s")
	c.Check(choice.Barred(), qt.IsFalse)
	c.Check(choice.Limited(), qt.IsFalse)
	choice = New(Config{}, 1).Begin(start, "s")
	c.Check(choice.Barred(), qt.IsFalse)
	choice = (*Registry)(nil).Begin(start, "s")
	c.Check(choice.Limited(), qt.IsFalse)
}

// TestEndedForgotten guards against an order that restricts versions for ever after it has
// ended: replacements by another version would get no requests. Until endedKept after the
// time limit, and while the status is not written, the excluded version stays excluded.
func TestEndedForgotten(t *testing.T) {
	for _, phase := range []Phase{RolledBack, Completed} {
		c := qt.New(t)
		r := New(Config{}, 1)
		s := State{Service: "s", Order: 1, Target: "v2", Current: "v1", Duration: 12 * time.Second, StartedAt: start, Phase: phase}
		r.Adopt(start, s, false)
		at := func(d time.Duration) Choice {
			r.Step(start.Add(d), func(string) Fleet { return Fleet{} })
			return r.Begin(start.Add(d), "s")
		}
		long := s.Duration + endedKept + time.Second
		choice := at(long)
		c.Check(choice.Limited(), qt.IsTrue)
		c.Check(choice.Pinned(), qt.IsFalse)
		s.Written = true
		r.Adopt(start.Add(long), s, false)
		choice = at(s.Duration + endedKept - time.Second)
		c.Check(choice.Limited(), qt.IsTrue)
		choice = r.Again(start.Add(long), choice)
		c.Check(choice.Limited(), qt.IsFalse)
		choice = at(long)
		c.Check(choice.Limited(), qt.IsFalse)
		c.Check(r.Active(), qt.IsFalse)
		s.Order, s.Phase, s.Written, s.StartedAt = 2, Observing, false, start.Add(long)
		r.Adopt(start.Add(long), s, false)
		c.Check(r.Active(), qt.IsTrue)
	}
}

// TestUnsettledRollback guards against a bad version that gets requests until a node that was
// restarted has settled, against one that takes the fault of a single target for one of the
// version since it knows no other targets yet, and against slack that is spent once more.
func TestUnsettledRollback(t *testing.T) {
	c := qt.New(t)
	f := Fleet{Versions: map[string]int{"v1": 6, "v2": 6}, Targets: map[string]int{"v1": 1, "v2": 1}, Members: 1}
	now := start.Add(4 * time.Second)
	s := State{Service: "s", Order: 1, Target: "v2", Current: "v1", Duration: 12 * time.Second, StartedAt: start}
	for failing, want := range map[int]Phase{1: Observing, 10: RolledBack} {
		r := New(Config{Share: 0.1, Slack: 50}, 1)
		r.Adopt(now, s, false)
		for i := range 100 {
			host := i % 10
			r.Observe(Outcome{Service: "s", Route: "r", Version: "v1", Host: "a", Duration: time.Second})
			r.Observe(Outcome{Service: "s", Route: "r", Version: "v2", Host: "b" + strconv.Itoa(host), Duration: time.Second, Failed: host < failing})
		}
		r.SetSums(now, r.Counters(now), 1)
		r.Step(now, func(string) Fleet { return f })
		c.Check(r.States()[0].Phase, qt.Equals, want)
	}
	t.Run("slack", func(t *testing.T) {
		for _, test := range []struct {
			age   time.Duration
			slack bool
		}{{time.Second, true}, {3 * time.Second, false}} {
			x := newTracker(start.Add(test.age), Config{Share: 0.1, Slack: 50}, s, 1)
			x.hasTarget, x.sumsAt, x.sums, x.slackCredit = true, start.Add(4*time.Second), meshSums{nodes: 1, calls: 40}, 0.9
			qt.Check(t, x.useSlack(start.Add(4*time.Second)), qt.Equals, test.slack)
		}
	})
}

// TestStarted guards against attempts that wait for the Registry in a deployment without
// roll-outs, and against one that began before the first order and isn't counted.
func TestStarted(t *testing.T) {
	c := qt.New(t)
	r := New(Config{}, 1)
	r.Started("s", "v1")()
	r.mu.Lock()
	counted := make(chan func(), 1)
	go func() { counted <- r.Started("s", "v1") }()
	select {
	case ended := <-counted:
		defer ended()
	case <-time.After(5 * time.Second):
		c.Error("an attempt waits for the mutex")
	}
	r.mu.Unlock()
	r.Adopt(start, State{Service: "s", Order: 1, Target: "v2", Current: "v1", Duration: 12 * time.Second, StartedAt: start}, false)
	c.Check(r.drained(r.services["s"]), qt.IsFalse)
	ended := r.Started("s", "v2")
	ended()
	ended()
	c.Check((*r.running.Load())[attemptKey{"s", "v2"}].Load(), qt.Equals, int64(0))
}

// TestIsolated guards against a node that is cut off, holds all others for dead, and completes
// the roll-out for the whole mesh; also one that was told the size of the mesh by the record.
func TestIsolated(t *testing.T) {
	for _, phase := range []Phase{Observing, Mostly, Switched} {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprint(phase, restarted), func(t *testing.T) {
				c := qt.New(t)
				r := newSettled(1)
				s := State{Service: "s", Order: 1, Target: "v2", Current: "v1", Duration: 12 * time.Second, StartedAt: start, Phase: phase}
				f := Fleet{Versions: map[string]int{"v1": 6, "v2": 6}, Targets: map[string]int{"v1": 1, "v2": 1}, Members: 60}
				if restarted {
					s.Members = 60
				}
				r.Adopt(start, s, true)
				if !restarted {
					r.Step(start, func(string) Fleet { return f })
				}
				f.Members = 1
				for at := time.Second; at < 12*time.Second; at += 100 * time.Millisecond {
					now := start.Add(at)
					r.SetSums(now, r.Counters(now), 1)
					r.Step(now, func(string) Fleet { return f })
					c.Assert(r.Completable(now, "s", 1, f), qt.IsFalse)
				}
				c.Check(r.States()[0].Phase, qt.Equals, phase)
			})
		}
	}
}

// TestCutOff guards against a node that is cut off and sends more than its share to the
// target version: also if it knows of no other targets, and if the others have switched. Once
// it has switched, it guards against refusals where there are no other targets or these may be
// stopping, and against a node that takes a short gap in the sums for a cut.
func TestCutOff(t *testing.T) {
	both := Fleet{Versions: map[string]int{"v1": 6, "v2": 6}, Targets: map[string]int{"v1": 1, "v2": 1}, Members: 9}
	for _, test := range []struct {
		name  string
		phase Phase
		fleet Fleet
		at    time.Duration
		min   int // of 1000 requests
		max   int
	}{
		{"both versions", Observing, Fleet{Versions: map[string]int{"v1": 6, "v2": 6}, Targets: map[string]int{"v1": 1, "v2": 1}, Members: 9}, 3 * time.Second, 0, 0},
		{"only the target version", Observing, Fleet{Versions: map[string]int{"v2": 6}, Targets: map[string]int{"v2": 1}, Members: 9}, 3 * time.Second, 0, 1},
		{"ramping", Ramping, Fleet{Versions: map[string]int{"v2": 6}, Targets: map[string]int{"v2": 1}, Members: 9}, 3 * time.Second, 0, 21},
		{"switched", Switched, both, 7 * time.Second, 0, 21},
		{"switched, a gap", Switched, both, 3 * time.Second, 1000, 1000},
		{"switched, only the target version", Switched, Fleet{Versions: map[string]int{"v2": 6}, Targets: map[string]int{"v2": 1}, Members: 9}, 7 * time.Second, 1000, 1000},
		{"switched, near the time limit", Switched, both, 11900 * time.Millisecond, 1000, 1000},
		{"rolled back", RolledBack, Fleet{Versions: map[string]int{"v2": 6}, Targets: map[string]int{"v2": 1}, Members: 9}, 3 * time.Second, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := New(Config{Share: 0.1, Slack: 50}, 1)
			r.Adopt(start, State{Service: "s", Order: 1, Target: "v2", Current: "v1", Duration: 12 * time.Second, StartedAt: start, Phase: test.phase}, true)
			now := start.Add(test.at)
			r.Step(now, func(string) Fleet { return test.fleet })
			next := 0
			for range 1000 {
				choice := r.Begin(now, "s")
				if choice.Next() {
					next++
				}
				if choice.Next() || test.fleet.Targets["v1"] > 0 {
					r.Reached(now, "s")
				}
			}
			c.Check(next >= test.min && next <= test.max, qt.IsTrue, qt.Commentf("%d requests at the target version", next))
		})
	}
}

// TestRefused guards against a share of all requests, also of those that every target of the
// current version refuses: the target version would get most of the rest.
func TestRefused(t *testing.T) {
	c := qt.New(t)
	r := New(Config{Share: 0.1, Slack: 50}, 1)
	r.Adopt(start, State{Service: "s", Order: 1, Target: "v2", Current: "v1", Duration: 10 * time.Second, StartedAt: start}, false)
	next, reached := 0, 0
	for i := range 10000 {
		choice := r.Begin(start, "s")
		if choice.Next() {
			next++
		}
		if choice.Next() || i%10 == 0 {
			reached++
			r.Reached(start, "s")
		}
	}
	c.Check(float64(next) <= 0.1*float64(reached), qt.IsTrue, qt.Commentf("%d of %d", next, reached))
	c.Check(float64(next) >= 0.07*float64(reached), qt.IsTrue, qt.Commentf("%d of %d", next, reached))
}

// TestNeverStarts guards against a version that is completed although no target of it runs.
func TestNeverStarts(t *testing.T) {
	c := qt.New(t)
	r := newSettled(1)
	r.Adopt(start, State{Service: "s", Order: 1, Target: "v2", Duration: 10 * time.Second, StartedAt: start}, false)
	fleet := func(string) Fleet {
		return Fleet{Versions: map[string]int{"v1": 6}, Targets: map[string]int{"v1": 1}, Members: 1}
	}
	for at := time.Duration(0); at < 9*time.Second; at += 100 * time.Millisecond {
		r.Step(start.Add(at), fleet)
	}
	c.Check(r.States()[0].Phase, qt.Equals, Observing)
	c.Check(r.States()[0].Current, qt.Equals, "v1")
	changes := r.Step(start.Add(9500*time.Millisecond), fleet)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].State.Phase, qt.Equals, RolledBack)
	c.Check(changes[0].Verdict.Cause, qt.Equals, "no target")
}

// TestOrdersInTurn guards against requests at the version of an order that was replaced, and
// against an order back to the version in use that waits for evidence.
func TestOrdersInTurn(t *testing.T) {
	c := qt.New(t)
	r := newSettled(1)
	fleet := func(string) Fleet {
		return Fleet{Versions: map[string]int{"v1": 6, "v2": 6, "v3": 6}, Targets: map[string]int{"v1": 1, "v2": 1, "v3": 1}, Members: 1}
	}
	r.Adopt(start, State{Service: "s", Order: 1, Target: "v2", Current: "v1", Duration: 10 * time.Second, StartedAt: start}, false)
	r.Adopt(start, State{Service: "s", Order: 5, Target: "v3", Duration: 10 * time.Second, StartedAt: start}, false)
	r.Adopt(start, State{Service: "s", Order: 1, Target: "v2", Current: "v1", Phase: Completed, Written: true}, false)
	allows := func() (out []string) {
		seen := make(map[string]bool)
		for range 100 {
			choice := r.Begin(start, "s")
			r.Reached(start, "s")
			for _, v := range []string{"v1", "v2", "v3"} {
				if choice.Allows(v) && !seen[v] {
					seen[v] = true
					out = append(out, v)
				}
			}
		}
		return out
	}
	c.Check(allows(), qt.ContentEquals, []string{"v1", "v3"})
	r.Adopt(start, State{Service: "s", Order: 7, Target: "v1", Duration: 10 * time.Second, StartedAt: start}, false)
	r.Step(start, fleet)
	c.Check(r.States()[0].Phase, qt.Equals, Switched)
	c.Check(allows(), qt.DeepEquals, []string{"v1"})
	r.SetSums(start, r.Counters(start), 1)
	c.Check(r.Completable(start, "s", 7, fleet("s")), qt.IsTrue)
	ended := r.Started("s", "v3")
	r.SetSums(start, r.Counters(start), 1)
	c.Check(r.Completable(start, "s", 7, fleet("s")), qt.IsFalse)
	ended()
	r.SetSums(start, r.Counters(start), 1)
	c.Check(r.Completable(start, "s", 7, fleet("s")), qt.IsTrue)
}

// TestRepeat guards against a repeat at the version that has just failed, and against one at
// the current version once this node has said that it runs nothing there.
func TestRepeat(t *testing.T) {
	for _, test := range []struct {
		phase Phase
		next  bool
	}{{Observing, false}, {Ramping, false}, {Mostly, false}, {Switched, true}, {RolledBack, false}, {Completed, true}} {
		t.Run(test.phase.String(), func(t *testing.T) {
			c := qt.New(t)
			r := New(Config{Share: 0.1, Slack: 50}, 1)
			r.Adopt(start, State{Service: "s", Order: 1, Target: "v2", Current: "v1", Duration: 12 * time.Second, StartedAt: start, Phase: test.phase}, true)
			choice := r.Again(start, r.Begin(start, "s"))
			c.Check(choice.Next(), qt.Equals, test.next)
		})
	}
}

// TestJudge guards against versions that are judged wrongly by clear evidence: a fault of both
// versions, of one target, or slow hosts are not the version's.
func TestJudge(t *testing.T) {
	// In the order of the fields: answers, failed, broken, timed, slow, very slow.
	current := counts{1000, 5, 5, 1000, 50, 10}
	spreadOver := func(c counts) (out [targetGroups]counts) {
		for g := range out {
			for i := range c {
				out[g][i] = c[i] / targetGroups
			}
		}
		return out
	}
	oneTarget := spreadOver(counts{80, 0, 0, 80, 4, 1})
	oneTarget[3] = counts{30, 0, 30, 0, 0, 0}
	oneFails := spreadOver(counts{80, 0, 0, 80, 4, 1})
	oneFails[3] = counts{20, 20, 0, 0, 0, 0}
	for _, test := range []struct {
		name  string
		e     routeEvidence
		cause string
	}{
		{"good", routeEvidence{current: current, groups: spreadOver(counts{160, 1, 1, 150, 8, 2})}, ""},
		{"fails", routeEvidence{current: current, groups: spreadOver(counts{80, 16, 0, 60, 3, 0})}, "failed"},
		{"both fail", routeEvidence{current: counts{1000, 200, 5, 800, 50, 10}, groups: spreadOver(counts{80, 16, 0, 60, 3, 0})}, ""},
		{"breaks", routeEvidence{current: current, groups: spreadOver(counts{80, 0, 40, 40, 3, 0})}, "broken"},
		{"slow", routeEvidence{current: current, groups: spreadOver(counts{80, 0, 0, 80, 70, 0})}, "slow"},
		{"very slow in part", routeEvidence{current: current, groups: spreadOver(counts{80, 0, 0, 80, 30, 30})}, "very slow"},
		{"slow hosts", routeEvidence{current: current, groups: spreadOver(counts{80, 0, 0, 80, 28, 4})}, ""},
		{"one target breaks", routeEvidence{current: current, groups: oneTarget}, ""},
		{"one target fails", routeEvidence{current: current, groups: oneFails}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := judge("r", ratios(&test.e, &test.e.current, Observing), &test.e, 8)
			qt.New(t).Check(v.Cause, qt.Equals, test.cause, qt.Commentf("%+v", v))
		})
	}
}

// TestSharedFault guards against a fault of both versions that is held against the target
// version, since it had a greater share of the requests then than at other times.
func TestSharedFault(t *testing.T) {
	c := qt.New(t)
	var x judgement
	e := routeEvidence{}
	add := func(current, next counts) {
		e.current.add(&current)
		for g := range e.groups {
			part := next
			for i := range part {
				part[i] /= targetGroups
			}
			e.groups[g].add(&part)
		}
	}
	now := start
	for i := range 16 {
		now = now.Add(periodLength)
		if i == 4 || i == 5 {
			add(counts{50, 20, 0, 30, 3, 0}, counts{450, 180, 0, 270, 27, 0}) // 40 % of both fail
		} else {
			add(counts{495, 0, 0, 495, 50, 0}, counts{5, 0, 0, 5, 0, 0})
		}
		routes := map[string]routeEvidence{"r": e}
		x.update(now, routes, Mostly)
		v := x.judge(routes, 8, Mostly)
		c.Check(v.Bad, qt.IsFalse, qt.Commentf("period %d: %+v", i, v))
	}
}

// TestSlowThreshold guards against a median that is taken from the wrong bucket.
func TestSlowThreshold(t *testing.T) {
	c := qt.New(t)
	v := make([]uint64, vectorSize)
	c.Check(slowThreshold(v), qt.Equals, time.Duration(0))
	for range 100 {
		v[fieldCount+bucket(100*time.Millisecond)]++
	}
	got := slowThreshold(v)
	c.Check(got >= 200*time.Millisecond && got <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
}
