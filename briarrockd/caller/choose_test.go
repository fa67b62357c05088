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
			{Path: "/", Mode: snapshot.Repeatable},
			{Path: "/orders", Methods: []string{"POST"}, Mode: snapshot.Once},
			{Path: "/orders/old"},
		}},
	}}
	return NewTable(7, s, members)
}

// count picks n times and returns how the picks fall on domains.
func count(ch *Balancer, set []upstream, n int, now time.Time, f Feedback) map[string]int {
	out := make(map[string]int)
	for range n {
		u, _, ok := ch.pick(now, "orderdesk", set, nil, 0)
		if !ok {
			out["none"]++
			continue
		}
		out[u.domain]++
		ch.done(now, "orderdesk", u.host, f)
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
	c.Check(tab.sets["orderdesk"], qt.HasLen, 10)
	// A service without any target has an empty set, not none.
	c.Check(tab.sets["ledgerline"], qt.Not(qt.IsNil))
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
	set := table(members()).sets["orderdesk"]
	ch := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	c.Check(count(ch, set, 100, now, Feedback{}), qt.DeepEquals, map[string]int{"northgate": 100})
	// The own domain says that it is full: work goes to the next one, and
	// only a part of it over the paid link.
	for i := range 4 {
		ch.done(now, "orderdesk", fmt.Sprintf("northgate-%d", i), Feedback{Load: 2})
	}
	got := count(ch, set, 100, now, Feedback{Load: -1})
	c.Check(got["millbank"], qt.Equals, 100, qt.Commentf("%v", got))
}

// TestEjection lets all targets of a set fail.
//
// Health that misleads must not empty a set: callers would be refused by a
// mesh whose targets are all well. At least half of it stays in use.
func TestEjection(t *testing.T) {
	c := qt.New(t)
	set := table(members()).sets["orderdesk"]
	ch := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	for range ejectAfter {
		ch.done(now, "orderdesk", "northgate-0", Feedback{Load: -1, Failed: true})
	}
	c.Check(ch.Ejected(now), qt.Equals, 1)
	for range 200 {
		u, _, ok := ch.pick(now, "orderdesk", set, nil, 0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(u.host, qt.Not(qt.Equals), "northgate-0")
		ch.done(now, "orderdesk", u.host, Feedback{})
	}
	for _, u := range set {
		for range ejectAfter {
			ch.done(now, "orderdesk", u.host, Feedback{Load: -1, Failed: true})
		}
	}
	_, _, ok := ch.pick(now, "orderdesk", set, nil, 0)
	c.Check(ok, qt.IsTrue)
	c.Check(ch.Ejected(now.Add(maxEjection)), qt.Equals, 0)
}

// TestLeaving checks that an upstream which said that it leaves gets nothing
// more, and that a set of only such ones is empty.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	set := table(members()).sets["orderdesk"][:2]
	ch := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	ch.done(now, "orderdesk", set[0].host, Feedback{Load: -1, Leaving: true})
	for range 50 {
		u, _, ok := ch.pick(now, "orderdesk", set, nil, 0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(u.host, qt.Equals, set[1].host)
	}
	_, _, ok := ch.pick(now, "orderdesk", set, []string{set[1].host}, 0)
	c.Check(ok, qt.IsFalse)
}

// TestBudget takes a whole service down: the attempts must stay within 1.1
// times the calls, beside the one retry that is in hand at the start.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	b := NewBudget()
	const calls = 1000
	retries := 0
	for range calls {
		b.call("orderdesk")
		for range 3 {
			if b.retry("orderdesk") {
				retries++
			}
		}
	}
	c.Check(retries <= calls/10+1, qt.IsTrue, qt.Commentf("%d", retries))
	c.Check(b.retry("another"), qt.IsFalse)
}

// TestMayRetry goes through every kind: a request that may have run is sent
// again only if its route says that it may be repeated.
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
	// A target's own answer is final, whatever its status.
	c.Check(mayRetry(kind.None, kind.RanYes, snapshot.Repeatable, true), qt.IsFalse)
}
