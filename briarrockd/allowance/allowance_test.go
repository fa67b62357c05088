package allowance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/allowance"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newLimiter(limit allowance.Limit) *allowance.Limiter {
	l := allowance.New(allowance.Config{}, rand.New(rand.NewPCG(1, 2)), start)
	l.SetLimits(start, map[string]allowance.Limit{"x": limit})
	return l
}

// run runs demand requests a second at a Limiter that is alone in its mesh, and returns
// how many were admitted and the shortest time that was named to a refused caller.
func run(l *allowance.Limiter, from time.Duration, seconds, demand int) (admitted int, shortest time.Duration) {
	shortest = time.Hour
	for i := range seconds * demand {
		now := start.Add(from + time.Duration(i)*time.Second/time.Duration(demand))
		if i%max(demand/4, 1) == 0 {
			l.SetMembers(now, 1, 0, 0)
			l.SetSums(now, l.Counters(now))
		}
		retryAfter, ok := l.Take(now, "x")
		if ok {
			admitted++
			continue
		}
		shortest = min(shortest, retryAfter)
	}
	return admitted, shortest
}

// TestNewProcess guards against a new process that mints a burst: the one before it may
// have used the allowance up.
func TestNewProcess(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(allowance.Limit{Rate: 100, Burst: 100})
	admitted, _ := run(l, 0, 1, 1000)
	c.Check(admitted <= 60, qt.IsTrue, qt.Commentf("%d admitted in the first second", admitted))
}

// TestOverload guards against an allowance that a workspace far beyond it can't use, and
// against times to retry that are too short for the tokens of this node.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(allowance.Limit{Rate: 50, Burst: 50})
	run(l, 0, 20, 500)
	for i := range 4 {
		admitted, shortest := run(l, time.Duration(20+5*i)*time.Second, 5, 500)
		c.Check(admitted >= 50*5 && admitted <= (50*5+50)*11/10+20, qt.IsTrue, qt.Commentf("%d admitted", admitted))
		c.Check(shortest >= time.Second/50/2, qt.IsTrue, qt.Commentf("%v", shortest))
	}
}

// TestReturn guards against requests that did not run and count all the same.
func TestReturn(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(allowance.Limit{Rate: 5, Burst: 5})
	run(l, 0, 20, 4)
	for i := range 1000 {
		now := start.Add(20*time.Second + time.Duration(i)*time.Millisecond)
		if i%250 == 0 {
			l.SetSums(now, l.Counters(now))
		}
		_, ok := l.Take(now, "x")
		c.Assert(ok, qt.IsTrue, qt.Commentf("request %d", i))
		l.Return(now, "x")
	}
	l.Return(start, "unknown")
}

// TestWithoutLimits guards against counters, and so frames, of deployments without
// allowances.
func TestWithoutLimits(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(allowance.Limit{Burst: 5})
	for range 1000 {
		_, ok := l.Take(start, "x")
		c.Assert(ok, qt.IsTrue)
	}
	c.Check(l.Limited(), qt.IsFalse)
	c.Check(l.Counters(start), qt.IsNil)
}

// TestRetryAfter guards against times to retry that are longer than it takes until the
// window has room: callers of a workspace within its allowance wait for a second at most,
// also at a node that has hardly any share.
func TestRetryAfter(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(allowance.Limit{Rate: 19, Burst: 19})
	for i := range 20000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if i%250 == 0 {
			l.SetMembers(now, 60, 0, 0)
			sums := l.Counters(now)
			sums[allowance.Prefix] = []uint64{60, 7}
			sums[allowance.Prefix+"x"] = []uint64{100, 0, 20_000, 0}
			l.SetSums(now, sums)
		}
		if retryAfter, ok := l.Take(now, "x"); !ok && i > 10000 { // a new process knows the use by then
			c.Assert(retryAfter <= time.Second, qt.IsTrue, qt.Commentf("%v", retryAfter))
		}
	}
}

// TestReturnedDemand guards against requests that did not run and count as demand.
func TestReturnedDemand(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(allowance.Limit{Rate: 50, Burst: 50})
	run(l, 0, 20, 4)
	before := l.Counters(start.Add(20 * time.Second))[allowance.Prefix+"x"][2]
	for i := range 400 {
		now := start.Add(20*time.Second + time.Duration(i)*time.Millisecond)
		if _, ok := l.Take(now, "x"); ok {
			l.Return(now, "x")
		}
	}
	after := l.Counters(start.Add(20*time.Second + 400*time.Millisecond))[allowance.Prefix+"x"][2]
	c.Check(after <= before+before/5, qt.IsTrue, qt.Commentf("%d, before %d", after, before))
}
