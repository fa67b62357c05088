package caller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// TestPaced guards against upstreams that are asked in vain while their targets' rates are
// used up, and against refusals for rate that count as overload or as failures.
func TestPaced(t *testing.T) {
	c := qt.New(t)
	const service = "orderdesk"
	set := table(members()).sets[service]
	ch := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	for i := range set {
		u, _, ok := ch.pick(now, service, set, nil, snapshot.Normal)
		c.Assert(ok, qt.IsTrue)
		again := 300*time.Millisecond + time.Duration(i)*time.Millisecond
		ch.done(now, service, u.host, Feedback{Load: 1, Full: true, Paced: true, Priority: snapshot.Normal, Again: again})
	}
	_, none, ok := ch.pick(now, service, set, nil, snapshot.Normal)
	c.Check(ok, qt.IsFalse)
	c.Check(none, qt.Equals, refusal{kind.Rate, 300 * time.Millisecond})
	_, _, ok = ch.pick(now, service, set, nil, snapshot.Urgent)
	c.Check(ok, qt.IsTrue, qt.Commentf("more urgent calls may have a turn"))
	c.Check(ch.overloaded(now, service, set), qt.IsFalse)
	c.Check(ch.Ejected(now), qt.Equals, 0)
	now = now.Add(none.after)
	_, _, ok = ch.pick(now, service, set, nil, snapshot.Normal)
	c.Check(ok, qt.IsTrue)
}

// TestNoticesKept guards against a leaving that a later notice of the same process takes
// back, an older rate that replaces a newer one, and notices without a bound.
func TestNoticesKept(t *testing.T) {
	c := qt.New(t)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	s := new(state)
	s.observeNotice(target.Notice{Process: "a/1", Rate: target.NewRate(20), Leaving: true, At: at(2)})
	s.observeNotice(target.Notice{Process: "b/1", Rate: target.NewRate(5), At: at(2)})
	s.observeNotice(target.Notice{Process: "a/1", Rate: target.NewRate(40), At: at(1)})
	c.Assert(s.notices, qt.HasLen, 2)
	c.Check(s.notices[1] == target.Notice{Process: "a/1", Rate: target.NewRate(20), Leaving: true, At: at(2)}, qt.IsTrue)
	s.observeNotice(target.Notice{Process: "b/1", At: at(3)})
	c.Check(s.notices[1] == target.Notice{Process: "b/1", At: at(3)}, qt.IsTrue)
	for _, process := range []string{"c/1", "d/1", "e/1"} {
		s.observeNotice(target.Notice{Process: process, At: at(4)})
	}
	c.Check(s.notices, qt.HasLen, maxTold)
	c.Check(s.notices[maxTold-1].Process, qt.Equals, "e/1")
}
