package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// largeDomainCore is a fed Core in a domain of n members, linked to the two that watch
// there, with version 1 in use.
func largeDomainCore(c *qt.C, n int) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	hosts := make([]string, 0, n)
	for i := range n {
		hosts = append(hosts, fmt.Sprintf("h%02d", i))
	}
	probe := newTable()
	for _, host := range hosts {
		probe.put(now, member(host))
	}
	order := probe.members("erie-a")
	self := order[n-1].Host
	core := New(Config{Self: member(self), DelegatePolling: true}, rand.New(rand.NewPCG(1, 1)), now)
	for i := range bridgesPerDomain {
		m := member(order[i].Host)
		core.Step(now, LinkUp{Link: LinkID(i + 1), Hello: Hello{Member: m}, Addr: m.PeerAddr})
	}
	for _, host := range hosts {
		core.Step(now, Received{1, Records{[]Member{member(host)}}})
	}
	b, hash := encodeSample(c, 1)
	core.Step(now, Committed{Version: 1, Hash: hash, Content: b, Cursor: 10, At: now})
	c.Assert(core.Members(), qt.Equals, n)
	return core, now
}

// runWithNotices steps a Core while its first peer tells of polls of the platform.
func runWithNotices(core *Core, now time.Time, d time.Duration, f PollNotice) (time.Time, []Cmd) {
	var out []Cmd
	for end := now.Add(d); now.Before(end); {
		f.Serial++
		out = append(out, core.Step(now, Received{1, f})...)
		var cmds []Cmd
		now, cmds = runTicks(core, now, pollNoticeInterval)
		out = append(out, cmds...)
	}
	return now, out
}

// pollNotice is word of a poll 20 ms ago by a process that is new each time.
func pollNotice(version, seen uint64) PollNotice {
	return PollNotice{Version: version, Cursor: seen, HeadAge: 20, Host: "watcher", Incarnation: seen}
}

func lastWatch(cmds []Cmd) (Watch, bool) {
	var last Watch
	found := false
	for _, x := range cmds {
		if w, ok := x.(Watch); ok {
			last, found = w, true
		}
	}
	return last, found
}

// TestDuty takes one node of a large domain from hearing of others' polls, to
// hearing of none, and back.
//
// While the watchers are there it asks the platform for nothing. When both are
// gone no change would reach it, and no error would say so; it then polls by
// itself soon enough for a change to be in force in time, from the position that
// it has, so that only what is new is read. The first poll is answered at once,
// so that the rest of the domain hears of it before they lapse as well.
func TestDuty(t *testing.T) {
	c := qt.New(t)
	core, now := largeDomainCore(c, 25)
	now, cmds := runWithNotices(core, now, 10*time.Second, pollNotice(1, 40))
	w, ok := lastWatch(cmds)
	c.Assert(ok, qt.IsTrue)
	c.Check(w.On, qt.IsFalse)

	quiet := now
	for ok = false; !ok || !w.On; {
		now, cmds = runTicks(core, now, TickInterval)
		w, ok = lastWatch(cmds)
		c.Assert(now.Sub(quiet) <= pollNoticeTimeout+pollNoticeTimeoutSpread, qt.IsTrue)
	}
	c.Check(now.Sub(quiet) >= pollNoticeTimeout-pollNoticeInterval, qt.IsTrue)
	c.Check(w, qt.Equals, Watch{On: true, Cursor: 40, Fallback: true})
	core.Step(now, Polled{Cursor: 41, At: now})
	now, cmds = runTicks(core, now, TickInterval)
	w, _ = lastWatch(cmds)
	c.Check(w, qt.Equals, Watch{On: true, Cursor: 41, Wait: shortPollWait, Fallback: true})

	_, cmds = runWithNotices(core, now, minFallbackPolling+2*time.Second, pollNotice(1, 41))
	w, ok = lastWatch(cmds)
	c.Assert(ok, qt.IsTrue)
	c.Check(w.On, qt.IsFalse)
}

// TestDutyBehind has peers tell of a version that this node has not got.
//
// Their polls say nothing of the version that it serves: counted at once they
// would keep it from looking by itself while it is behind. They count when the
// version has come.
func TestDutyBehind(t *testing.T) {
	c := qt.New(t)
	core, now := largeDomainCore(c, 25)
	now, cmds := runWithNotices(core, now, 4*time.Second, pollNotice(2, 50))
	w, _ := lastWatch(cmds)
	c.Check(w.On, qt.IsTrue)
	c.Check(w.Cursor, qt.Equals, uint64(10))
	next := fullContent(c, 2, 2)
	core.Step(now, Received{1, VersionNotice{2, next.Hash, true}})
	now, _ = runTicks(core, now, hedgeDelay+2*TickInterval)
	core.Step(now, Received{1, pollNotice(2, 50)})
	core.Step(now, Received{1, next})
	c.Check(core.watch.cursor, qt.Equals, uint64(50))
}

// TestDutyFetch has a peer tell of a version to a node that does not watch.
//
// Nothing else will bring the version, so it is asked for at once; the next one
// that follows closely waits a little, so that a storm of changes leaves a small
// node the time for its calls.
func TestDutyFetch(t *testing.T) {
	c := qt.New(t)
	core, now := largeDomainCore(c, 25)
	now, _ = runWithNotices(core, now, 10*time.Second, pollNotice(1, 40))
	next := fullContent(c, 2, 2)
	c.Check(countFetches(core.Step(now, Received{1, VersionNotice{2, next.Hash, true}})), qt.Equals, 1)
	core.Step(now, Received{1, next})
	after := fullContent(c, 3, 3)
	c.Check(countFetches(core.Step(now, Received{1, VersionNotice{3, after.Hash, true}})), qt.Equals, 0)
	_, cmds := runTicks(core, now, minFetchInterval+2*TickInterval)
	c.Check(countFetches(cmds), qt.Equals, 1)
}

// TestDutyStart starts a node among peers that serve already.
//
// It takes the version from them at once, and confirms by one small poll at the
// platform, asked for in the same step, that it is the newest, before it serves; without peers it reads the
// whole by itself, though not before they have had a moment to answer.
func TestDutyStart(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a"), DelegatePolling: true}, rand.New(rand.NewPCG(1, 1)), now)
	now, cmds := runTicks(core, now, TickInterval)
	w, _ := lastWatch(cmds)
	c.Check(w.On, qt.IsFalse)
	next := fullContent(c, 7, 7)
	cmds = core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: member("b"), Version: 7, Hash: next.Hash, Cursor: 30, HeadAge: 100}, Addr: "b:1"})
	c.Check(countFetches(cmds), qt.Equals, 1)
	cmds = core.Step(now, Received{1, next})
	w, _ = lastWatch(cmds)
	c.Check(w, qt.Equals, Watch{On: true, Cursor: 30})
	c.Check(core.Ready(), qt.IsFalse)
	core.Step(now, Polled{Cursor: 31, At: now})
	c.Check(core.Ready(), qt.IsTrue)

	core = New(Config{Self: member("a"), DelegatePolling: true}, rand.New(rand.NewPCG(1, 1)), now)
	_, cmds = runTicks(core, now, startReadDelay+2*TickInterval)
	w, _ = lastWatch(cmds)
	c.Check(w, qt.Equals, Watch{On: true})
}

// TestDutyEcho gives a node the same poll again and again, from another peer and
// looking as young as the first time.
//
// That is how a poll comes back over slow links. It counts once: otherwise a
// domain whose watchers are gone would go on believing for good that somebody
// polls, and serve an old version with no error anywhere.
func TestDutyEcho(t *testing.T) {
	c := qt.New(t)
	core, now := largeDomainCore(c, 25)
	f := pollNotice(1, 40)
	f.Serial = 7
	cmds := core.Step(now, Received{1, f})
	c.Check(countCmds[Send](cmds) > 0, qt.IsTrue)
	quiet := now
	on := false
	for !on {
		c.Check(countCmds[Send](core.Step(now, Received{2, f})), qt.Equals, 0)
		var w Watch
		now, cmds = runTicks(core, now, TickInterval)
		w, _ = lastWatch(cmds)
		on = w.On && w.Fallback
		c.Assert(now.Sub(quiet) <= pollNoticeTimeout+pollNoticeTimeoutSpread+TickInterval, qt.IsTrue)
	}
}
