package caller

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

func members() []peer.Member {
	var out []peer.Member
	for _, place := range [][2]string{{"northgate", "north-line"}, {"millbank", "north-line"}, {"riverside", "south-line"}} {
		for i := range 4 {
			out = append(out, peer.Member{
				Host: fmt.Sprintf("%s-%d", place[0], i), Domain: place[0], Region: place[1], CallAddr: "x:1",
				Targets: []peer.Target{{Service: "orderdesk", Slots: 6}},
			})
		}
	}
	return out
}

func table(members []peer.Member) *Table {
	s := &snapshot.Snapshot{Services: []snapshot.Service{
		{Name: "ledgerline", Slots: 6},
		{Name: "orderdesk", Slots: 6, Routes: []snapshot.Route{
			{Path: "/", Mode: snapshot.Repeatable, Deadline: time.Second},
			{Path: "/orders", Methods: []string{"POST"}, Mode: snapshot.Once, Deadline: time.Second},
			{Path: "/orders/old"},
		}},
	}}
	return NewTable(7, s, members)
}

// picksByDomain picks n times and returns the number of picks of each domain.
func picksByDomain(b *Balancer, set []upstream, n int, now time.Time, f Feedback) map[string]int {
	out := make(map[string]int)
	for range n {
		u, _, ok := b.pick(now, "orderdesk", set, nil, 0)
		if !ok {
			out["none"]++
			continue
		}
		out[u.domain]++
		b.done(now, "orderdesk", u.host, f)
	}
	return out
}

func TestTable(t *testing.T) {
	c := qt.New(t)
	ms := members()
	ms[0].State = peer.Suspect
	ms[1].Targets[0].Draining = true
	ms = append(ms, peer.Member{Host: "x", Targets: []peer.Target{{Service: "unknown"}}})
	tab := table(ms)
	c.Check(tab.upstreams["orderdesk"], qt.HasLen, 10)
	// A service without any target has an empty set, not a nil one.
	c.Check(tab.upstreams["ledgerline"], qt.Not(qt.IsNil))
	for _, x := range []struct {
		method, path, want string
	}{
		{"POST", "/orders", "POST /orders"},
		{"POST", "/orders/9", "POST /orders"},
		{"GET", "/orders", "* /"},
		{"POST", "/ordersX", "* /"},
		{"POST", "/orders/old/1", "* /orders/old"},
	} {
		r, ok := tab.services["orderdesk"].route(x.method, x.path)
		c.Check(ok, qt.IsTrue)
		c.Check(r.Name(), qt.Equals, x.want, qt.Commentf("%s %s", x.method, x.path))
	}
}

func TestNearFirst(t *testing.T) {
	c := qt.New(t)
	set := table(members()).upstreams["orderdesk"]
	b := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	c.Check(picksByDomain(b, set, 100, now, Feedback{}), qt.DeepEquals, map[string]int{"northgate": 100})
	// All targets of the own domain report a load of 2: calls go to the other domain of
	// the region, and not over the billed link to the other region.
	for i := range 4 {
		b.done(now, "orderdesk", fmt.Sprintf("northgate-%d", i), Feedback{Load: 2})
	}
	got := picksByDomain(b, set, 100, now, Feedback{Load: -1})
	c.Check(got["millbank"], qt.Equals, 100, qt.Commentf("%v", got))
}

// TestEjection guards against ejection that empties a set: misleading failures would
// refuse all callers although the targets are healthy. At least half of the set must stay
// in use.
func TestEjection(t *testing.T) {
	c := qt.New(t)
	set := table(members()).upstreams["orderdesk"]
	b := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	for range ejectAfterFailures {
		b.done(now, "orderdesk", "northgate-0", Feedback{Load: -1, Failed: true})
	}
	c.Check(b.Ejected(now), qt.Equals, 1)
	for range 200 {
		u, _, ok := b.pick(now, "orderdesk", set, nil, 0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(u.host, qt.Not(qt.Equals), "northgate-0")
		b.done(now, "orderdesk", u.host, Feedback{})
	}
	for _, u := range set {
		for range ejectAfterFailures {
			b.done(now, "orderdesk", u.host, Feedback{Load: -1, Failed: true})
		}
	}
	_, _, ok := b.pick(now, "orderdesk", set, nil, 0)
	c.Check(ok, qt.IsTrue)
	c.Check(b.Ejected(now.Add(maxEjection)), qt.Equals, 0)
}

// TestLeaving checks that an upstream that reported that it is leaving is not picked, and
// that a set of only such upstreams counts as empty.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	set := table(members()).upstreams["orderdesk"][:2]
	b := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	b.done(now, "orderdesk", set[0].host, Feedback{Load: -1, Leaving: true})
	for range 50 {
		u, _, ok := b.pick(now, "orderdesk", set, nil, 0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(u.host, qt.Equals, set[1].host)
	}
	_, _, ok := b.pick(now, "orderdesk", set, []string{set[1].host}, 0)
	c.Check(ok, qt.IsFalse)
}

// TestBudget simulates a service that is down: the attempts must stay within 1.1 times
// the calls, plus the one retry that the budget has at the start.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	b := NewBudget()
	const calls = 1000
	retries := 0
	for range calls {
		b.addCall("orderdesk")
		for range 3 {
			if b.takeRetry("orderdesk") {
				retries++
			}
		}
	}
	c.Check(retries <= calls/10+1, qt.IsTrue, qt.Commentf("%d", retries))
	c.Check(b.takeRetry("another"), qt.IsFalse)
}

// TestMayRetry checks every kind of failure: a request that may have run is sent again
// only if its route allows repeats.
func TestMayRetry(t *testing.T) {
	c := qt.New(t)
	for _, k := range append(kind.All(), kind.None) {
		for _, ran := range []kind.Ran{kind.RanNo, kind.RanYes, kind.RanUnknown} {
			if ran != kind.RanNo {
				c.Check(mayRetry(k, ran, snapshot.Once, true), qt.IsFalse, qt.Commentf("%s %s", string(k), ran))
			}
			c.Check(mayRetry(k, ran, snapshot.Repeatable, false), qt.IsFalse)
		}
	}
	c.Check(mayRetry(kind.Full, kind.RanNo, snapshot.Once, true), qt.IsTrue)
	c.Check(mayRetry(kind.Broken, kind.RanUnknown, snapshot.Repeatable, true), qt.IsTrue)
	// A target's own response is final, whatever its status.
	c.Check(mayRetry(kind.None, kind.RanYes, snapshot.Repeatable, true), qt.IsFalse)
}
