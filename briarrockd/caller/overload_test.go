package caller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// TestBothRegionsFull has full targets in both regions.
//
// A call must be refused at once. Attempts in the other region for each call would cost
// two trips between the regions and take capacity from that region's own callers. Those
// would then send their calls here. No more calls would be served. So a refusal from
// another region is remembered for long, and one from the own region for a moment.
func TestBothRegionsFull(t *testing.T) {
	c := qt.New(t)
	set := table(members()).upstreams["orderdesk"]
	b := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	attempts, retryAfter := 0, time.Second
	pickUntilRefused := func() {
		for {
			u, _, ok := b.pick(now, "orderdesk", set, nil, snapshot.Normal)
			if !ok {
				return
			}
			attempts++
			b.done(now, "orderdesk", u.host, Feedback{Load: 1, Full: true, Priority: snapshot.Normal, RetryAfter: retryAfter})
		}
	}
	pickUntilRefused()
	c.Check(attempts, qt.Equals, len(set))
	_, ref, ok := b.pick(now, "orderdesk", set, nil, snapshot.Normal)
	c.Check(ok, qt.IsFalse)
	c.Check(ref.kind, qt.Equals, kind.Full)
	now = now.Add(maxFullTTL)
	attempts = 0
	pickUntilRefused()
	c.Check(attempts, qt.Equals, 8, qt.Commentf("only the own region's targets are tried"))
	now = now.Add(maxOtherRegionFullTTL)
	attempts, retryAfter = 0, 50*time.Millisecond
	pickUntilRefused()
	c.Check(attempts, qt.Equals, len(set))
	// The other region had reported a short retry delay.
	now = now.Add(retryAfter)
	attempts = 0
	pickUntilRefused()
	c.Check(attempts, qt.Equals, len(set))
}

// TestRegionLost removes all targets of a region: its calls go to the other region at
// once, and back as soon as one of the own targets returns.
func TestRegionLost(t *testing.T) {
	c := qt.New(t)
	set := table(members()).upstreams["orderdesk"]
	b := NewBalancer("riverside", "south-line", 1)
	now := time.Unix(100, 0)
	var north, south []upstream
	for _, u := range set {
		if u.region == "north-line" {
			north = append(north, u)
		} else {
			south = append(south, u)
		}
	}
	c.Check(picksByDomain(b, north, 10, now, Feedback{})["none"], qt.Equals, 0)
	c.Check(picksByDomain(b, append(north, south[0]), 10, now, Feedback{}), qt.DeepEquals, map[string]int{"riverside": 10})
}

// TestFullByPriority has an upstream that refuses a call of low priority: more urgent
// calls, for which a Gate makes room, must still be sent to it.
func TestFullByPriority(t *testing.T) {
	c := qt.New(t)
	set := table(members()).upstreams["orderdesk"][:1]
	b := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	b.done(now, "orderdesk", set[0].host, Feedback{Load: 1, Full: true, Priority: snapshot.Bulk})
	_, _, ok := b.pick(now, "orderdesk", set, nil, snapshot.Bulk)
	c.Check(ok, qt.IsFalse)
	_, _, ok = b.pick(now, "orderdesk", set, nil, snapshot.Normal)
	c.Check(ok, qt.IsTrue)
	// The more urgent call is refused too, and after it one of lower priority: the first
	// refusal still counts.
	b.done(now, "orderdesk", set[0].host, Feedback{Load: 1, Full: true, Priority: snapshot.Normal})
	b.done(now, "orderdesk", set[0].host, Feedback{Load: 1, Full: true, Priority: snapshot.Bulk})
	_, _, ok = b.pick(now, "orderdesk", set, nil, snapshot.Normal)
	c.Check(ok, qt.IsFalse)
}

// TestFasterFirst has targets of different speed at low load: most calls go to the faster
// ones. When some are full only two are compared, so that not all nodes send to the same
// target.
func TestFasterFirst(t *testing.T) {
	c := qt.New(t)
	set := table(members()).upstreams["orderdesk"][:4] // of one domain
	share := func(full bool) int {
		b := NewBalancer("northgate", "north-line", 1)
		now := time.Unix(100, 0)
		for i, u := range set {
			usual := 100 * time.Millisecond
			if i == 0 {
				usual /= 2
			}
			b.done(now, "orderdesk", u.host, Feedback{MeanDuration: usual})
		}
		if full {
			b.done(now, "orderdesk", set[1].host, Feedback{Load: -1, Full: true})
			now = now.Add(maxFullTTL)
		}
		fastest := 0
		for range 200 {
			u, _, ok := b.pick(now, "orderdesk", set, nil, snapshot.Normal)
			c.Assert(ok, qt.IsTrue)
			if u.host == set[0].host {
				fastest++
			}
			b.done(now, "orderdesk", u.host, Feedback{})
		}
		return fastest
	}
	c.Check(share(false), qt.Equals, 200)
	overloaded := share(true)
	c.Check(overloaded > 60 && overloaded < 140, qt.IsTrue, qt.Commentf("%d", overloaded))
}

// TestRestartedNode restarts a node, as all nodes are after a power loss.
//
// Calls reach the new process before its target's announcement has arrived, and it
// reports that it has no target. It must be picked again as soon as its member record
// says that the target takes calls. If it were avoided for seconds, as a leaving one is,
// a whole service would count as empty although all of its targets are back.
func TestRestartedNode(t *testing.T) {
	c := qt.New(t)
	ms := members()
	b := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	set := table(ms).upstreams["orderdesk"]
	for range set {
		u, _, ok := b.pick(now, "orderdesk", set, nil, snapshot.Normal)
		c.Assert(ok, qt.IsTrue)
		b.done(now, "orderdesk", u.host, Feedback{Load: -1, Leaving: true})
	}
	_, _, ok := b.pick(now, "orderdesk", set, nil, snapshot.Normal)
	c.Check(ok, qt.IsFalse)
	ms[5].Incarnation++
	u, _, ok := b.pick(now, "orderdesk", table(ms).upstreams["orderdesk"], nil, snapshot.Normal)
	c.Check(ok, qt.IsTrue)
	c.Check(u.host, qt.Equals, ms[5].Host)
}
