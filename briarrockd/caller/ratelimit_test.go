package caller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// TestRateLimited guards against attempts at upstreams whose targets' rate limits are
// used up, and against refusals due to rate limits that count as overload or as failures.
func TestRateLimited(t *testing.T) {
	c := qt.New(t)
	const service = "orderdesk"
	set := table(members()).upstreams[service]
	b := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	for i := range set {
		u, _, ok := b.pick(now, service, set, nil, snapshot.Normal)
		c.Assert(ok, qt.IsTrue)
		retryAfter := 300*time.Millisecond + time.Duration(i)*time.Millisecond
		b.done(now, service, u.host, Feedback{Load: 1, Full: true, RateLimited: true, Priority: snapshot.Normal, RetryAfter: retryAfter})
	}
	_, ref, ok := b.pick(now, service, set, nil, snapshot.Normal)
	c.Check(ok, qt.IsFalse)
	c.Check(ref, qt.Equals, refusal{kind.Rate, 300 * time.Millisecond})
	_, _, ok = b.pick(now, service, set, nil, snapshot.Urgent)
	c.Check(ok, qt.IsTrue, qt.Commentf("more urgent calls may be allowed by the rate limit"))
	c.Check(b.overloaded(now, service, set), qt.IsFalse)
	c.Check(b.Ejected(now), qt.Equals, 0)
	now = now.Add(ref.retryAfter)
	_, _, ok = b.pick(now, service, set, nil, snapshot.Normal)
	c.Check(ok, qt.IsTrue)
}

// TestNoticesKept guards against a later notice of a process that revokes its leaving, an
// older rate that replaces a newer one, and an unbounded number of notices.
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
	c.Check(s.notices, qt.HasLen, maxNotices)
	c.Check(s.notices[maxNotices-1].Process, qt.Equals, "e/1")
}
