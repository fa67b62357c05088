package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// configBound is the time within which a change must be in force.
	configBound = 2500 * time.Millisecond
	// changeInterval is the time between two changes of a quick series.
	changeInterval = 230 * time.Millisecond
)

// serveChanges announces a version to a Core over its first link each changeInterval for d,
// and answers each fetch after the time latency. It returns the greatest delay from the
// notice of a version until the Core served it or a newer one.
func serveChanges(c *qt.C, core *Core, now time.Time, d, latency time.Duration) time.Duration {
	type answer struct {
		at    time.Time
		frame Content
	}
	var answers []answer
	noticed := make(map[uint64]time.Time) // versions that are not served yet
	longest := time.Duration(0)
	step := func(m Msg) {
		for _, x := range core.Step(now, m) {
			switch x := x.(type) {
			case Send:
				if f, ok := x.Frame.(Fetch); ok {
					answers = append(answers, answer{now.Add(latency), fullContent(c, f.Version, int(f.Version))})
				}
			case ServeVersion:
				for v, at := range noticed {
					if v <= x.Version {
						longest = max(longest, now.Sub(at))
						delete(noticed, v)
					}
				}
			}
		}
	}
	const tick = 10 * time.Millisecond
	version, _ := core.Version()
	for elapsed := time.Duration(0); elapsed < d; elapsed += tick {
		now = now.Add(tick)
		for len(answers) > 0 && !answers[0].at.After(now) {
			next := answers[0]
			answers = answers[1:]
			step(Received{1, next.frame})
		}
		if elapsed%changeInterval == 0 {
			version++
			noticed[version] = now
			step(Received{1, VersionNotice{version, fullContent(c, version, int(version)).Hash, true}})
		}
		if elapsed%TickInterval == 0 {
			step(Tick{})
		}
	}
	for _, at := range noticed {
		longest = max(longest, now.Sub(at))
	}
	return longest
}

// TestFetchInSeries guards against a node that fetches nothing during a series of changes,
// since each newer version starts the wait for the node's own poll anew.
func TestFetchInSeries(t *testing.T) {
	c := qt.New(t)
	core, now := delegatingCore(c)
	b, hash := encodeSample(c, 1)
	core.Step(now, Committed{Version: 1, Hash: hash, Content: b, At: now})
	now, _ = runTicks(core, now, time.Second)
	got := serveChanges(c, core, now, 2*configBound, 2*time.Millisecond)
	c.Check(got <= configBound, qt.IsTrue, qt.Commentf("%v", got))
}

// TestFetchOverSlowLink guards against a node that drops each version that it has fetched,
// since a newer one has been announced by the time it arrives.
func TestFetchOverSlowLink(t *testing.T) {
	c := qt.New(t)
	core, now := largeDomainCore(c, 25)
	now, _ = runWithNotices(core, now, 10*time.Second, pollNotice(1, 40))
	got := serveChanges(c, core, now, 2*configBound, changeInterval+100*time.Millisecond)
	c.Check(got <= configBound, qt.IsTrue, qt.Commentf("%v", got))
}

// TestFallbackFetchesAtOnce guards against changes that come late over a series of hosts, each of
// which waits for its own poll, which isn't answered, before it requests the version from a peer.
func TestFallbackFetchesAtOnce(t *testing.T) {
	c := qt.New(t)
	core, now := largeDomainCore(c, 25)
	now, _ = runWithNotices(core, now, 5*time.Second, pollNotice(1, 40))
	var w Watch
	for range 40 {
		var cmds []Cmd
		now, cmds = runTicks(core, now, TickInterval)
		if x, ok := lastWatch(cmds); ok {
			w = x
		}
		if w.On {
			break
		}
	}
	c.Assert(w.On && w.Fallback, qt.IsTrue)
	cmds := core.Step(now, Received{1, VersionNotice{2, fullContent(c, 2, 2).Hash, true}})
	c.Check(countFetches(cmds), qt.Equals, 1)
}
