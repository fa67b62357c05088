package caller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// TestBothRegionsPressed has no room in either region.
//
// A caller is refused at once. Asking the other region's targets for each call
// would cost it two ways between the regions, and take room from that region's
// own callers, who then would come here: nobody more would be served. So a far
// refusal is remembered for long, and a near one for a moment.
func TestBothRegionsPressed(t *testing.T) {
	c := qt.New(t)
	set := table(members()).sets["orderdesk"]
	ch := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	asked, again := 0, time.Second
	ask := func() {
		for {
			u, _, ok := ch.pick(now, "orderdesk", set, nil, snapshot.Normal)
			if !ok {
				return
			}
			asked++
			ch.done(now, "orderdesk", u.host, Feedback{Load: 1, Full: true, Priority: snapshot.Normal, Again: again})
		}
	}
	ask()
	c.Check(asked, qt.Equals, len(set))
	_, none, ok := ch.pick(now, "orderdesk", set, nil, snapshot.Normal)
	c.Check(ok, qt.IsFalse)
	c.Check(none.kind, qt.Equals, kind.Full)
	now = now.Add(maxFullTTL)
	asked = 0
	ask()
	c.Check(asked, qt.Equals, 8, qt.Commentf("only the own region's"))
	now = now.Add(maxFarFullTTL)
	asked, again = 0, 50*time.Millisecond
	ask()
	c.Check(asked, qt.Equals, len(set))
	// Now the other region was only out of room for a moment.
	now = now.Add(again)
	asked = 0
	ask()
	c.Check(asked, qt.Equals, len(set))
}

// TestRegionLost takes all of a region's targets away: its calls go to the other
// region at once, and back as soon as one of the own targets is there again.
func TestRegionLost(t *testing.T) {
	c := qt.New(t)
	set := table(members()).sets["orderdesk"]
	ch := NewBalancer("riverside", "south-line", 1)
	now := time.Unix(100, 0)
	var north, south []upstream
	for _, u := range set {
		if u.region == "north-line" {
			north = append(north, u)
		} else {
			south = append(south, u)
		}
	}
	c.Check(count(ch, north, 10, now, Feedback{})["none"], qt.Equals, 0)
	c.Check(count(ch, append(north, south[0]), 10, now, Feedback{}), qt.DeepEquals, map[string]int{"riverside": 10})
}

// TestFullByPriority refuses a call of low priority: more urgent ones, for which
// a gate makes room, still ask there.
func TestFullByPriority(t *testing.T) {
	c := qt.New(t)
	set := table(members()).sets["orderdesk"][:1]
	ch := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	ch.done(now, "orderdesk", set[0].host, Feedback{Load: 1, Full: true, Priority: snapshot.Bulk})
	_, _, ok := ch.pick(now, "orderdesk", set, nil, snapshot.Bulk)
	c.Check(ok, qt.IsFalse)
	_, _, ok = ch.pick(now, "orderdesk", set, nil, snapshot.Normal)
	c.Check(ok, qt.IsTrue)
	// The more urgent one is refused too, and after that a lesser one: the
	// first's word holds on.
	ch.done(now, "orderdesk", set[0].host, Feedback{Load: 1, Full: true, Priority: snapshot.Normal})
	ch.done(now, "orderdesk", set[0].host, Feedback{Load: 1, Full: true, Priority: snapshot.Bulk})
	_, _, ok = ch.pick(now, "orderdesk", set, nil, snapshot.Normal)
	c.Check(ok, qt.IsFalse)
}

// TestFasterFirst has targets of different speed and little load: most calls go to
// the faster ones. When some are full, two are compared, so that not all nodes
// send to the same target.
func TestFasterFirst(t *testing.T) {
	c := qt.New(t)
	set := table(members()).sets["orderdesk"][:4] // of one domain
	share := func(full bool) int {
		ch := NewBalancer("northgate", "north-line", 1)
		now := time.Unix(100, 0)
		for i, u := range set {
			usual := 100 * time.Millisecond
			if i == 0 {
				usual /= 2
			}
			ch.done(now, "orderdesk", u.host, Feedback{Usual: usual})
		}
		if full {
			ch.done(now, "orderdesk", set[1].host, Feedback{Load: -1, Full: true})
			now = now.Add(maxFullTTL)
		}
		fastest := 0
		for range 200 {
			u, _, ok := ch.pick(now, "orderdesk", set, nil, snapshot.Normal)
			c.Assert(ok, qt.IsTrue)
			if u.host == set[0].host {
				fastest++
			}
			ch.done(now, "orderdesk", u.host, Feedback{})
		}
		return fastest
	}
	c.Check(share(false), qt.Equals, 200)
	overloaded := share(true)
	c.Check(overloaded > 60 && overloaded < 140, qt.IsTrue, qt.Commentf("%d", overloaded))
}

// TestBackAgain restarts a node, as all are after a loss of power.
//
// Calls reach the new process before its target has been heard of, and it answers
// that there is none to go to. As soon as its record says that the target is open it
// is asked again: left alone for seconds, as one that leaves is, a whole service would
// be taken for empty although all of its targets are back.
func TestBackAgain(t *testing.T) {
	c := qt.New(t)
	ms := members()
	ch := NewBalancer("northgate", "north-line", 1)
	now := time.Unix(100, 0)
	set := table(ms).sets["orderdesk"]
	for range set {
		u, _, ok := ch.pick(now, "orderdesk", set, nil, snapshot.Normal)
		c.Assert(ok, qt.IsTrue)
		ch.done(now, "orderdesk", u.host, Feedback{Load: -1, Leaving: true})
	}
	_, _, ok := ch.pick(now, "orderdesk", set, nil, snapshot.Normal)
	c.Check(ok, qt.IsFalse)
	ms[5].Incarnation++
	u, _, ok := ch.pick(now, "orderdesk", table(ms).sets["orderdesk"], nil, snapshot.Normal)
	c.Check(ok, qt.IsTrue)
	c.Check(u.host, qt.Equals, ms[5].Host)
}
