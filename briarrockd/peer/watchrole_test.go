package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// largeDomainCore returns a Core with delegated polling, in a domain of n members, and
// the time. The Core is the last in the domain's order, is linked to the first two, which
// poll for the region, and uses version 1.
func largeDomainCore(c *qt.C, n int) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	hosts := make([]string, 0, n)
	for i := range n {
		hosts = append(hosts, fmt.Sprintf("h%02d", i))
	}
	table := newTable()
	for _, host := range hosts {
		table.put(now, member(host))
	}
	order := table.members("erie-a")
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

// runWithNotices steps a Core for d while its first peer sends the poll notice f, with
// increasing serials, each shortPollWait.
func runWithNotices(core *Core, now time.Time, d time.Duration, f PollNotice) (time.Time, []Cmd) {
	var out []Cmd
	for end := now.Add(d); now.Before(end); {
		f.Serial++
		out = append(out, core.Step(now, Received{1, f})...)
		var cmds []Cmd
		now, cmds = runTicks(core, now, shortPollWait)
		out = append(out, cmds...)
	}
	return now, out
}

// pollNotice returns the notice of a poll 20 ms ago. The cursor also serves as the
// incarnation, so notices with different cursors come from different processes.
func pollNotice(version, cursor uint64) PollNotice {
	return PollNotice{Version: version, Cursor: cursor, HeadAge: 20, Host: "watcher", Incarnation: cursor}
}

// lastWatch returns the last Watch command among cmds, if there is one.
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

// TestFallbackPolling runs one node of a large domain first with poll notices from
// polling nodes, then without, then with them again.
//
// While notices arrive the node must not poll the platform. When all polling nodes are
// gone no change would reach it, and without any error. It must then poll itself, soon
// enough for a change to be in force in time, and from its cursor, so that only new
// changes are read. Its first poll must not wait for a change, so that its notice
// reaches the other nodes of the domain before they start to poll as well.
func TestFallbackPolling(t *testing.T) {
	c := qt.New(t)
	core, now := largeDomainCore(c, 25)
	now, cmds := runWithNotices(core, now, 10*time.Second, pollNotice(1, 40))
	w, ok := lastWatch(cmds)
	c.Assert(ok, qt.IsTrue)
	c.Check(w.On, qt.IsFalse)

	silentSince := now
	for ok = false; !ok || !w.On; {
		now, cmds = runTicks(core, now, TickInterval)
		w, ok = lastWatch(cmds)
		c.Assert(now.Sub(silentSince) <= pollNoticeTimeout+pollNoticeTimeoutSpread, qt.IsTrue)
	}
	c.Check(now.Sub(silentSince) >= pollNoticeTimeout-shortPollWait, qt.IsTrue)
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

// TestPollNoticeBeforeVersion sends poll notices that name a version which this node
// doesn't hold yet.
//
// Those polls don't confirm the version that the node serves. If they were recorded at
// once, they would keep the node from polling while it is behind. They must be recorded
// when the version has arrived.
func TestPollNoticeBeforeVersion(t *testing.T) {
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

// TestFetchWithoutPolling announces a version to a node that doesn't poll.
//
// The node can get the version only from a peer, so it must fetch it at once. The fetch
// of a version that follows closely must be delayed by minFetchInterval, so that a small
// host has time for its calls while many changes are made.
func TestFetchWithoutPolling(t *testing.T) {
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

// TestPollAtStart starts a node with a peer that serves already, and one without.
//
// With a peer, the node must fetch the version from it at once. Before it serves, it must
// confirm by one small poll of the platform, started in the step in which the version
// arrives, that the version is the newest. Without peers it must read the full snapshot
// itself, but only after startReadDelay, in which peers could have answered.
func TestPollAtStart(t *testing.T) {
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

// TestRepeatedPollNotice sends a node the same poll notice repeatedly, from another peer
// and with the same age as the first time.
//
// Notices repeat in this way over slow links. Each must be recorded once. Otherwise the
// nodes of a domain whose polling nodes are gone would never poll, and would serve an old
// version without any error.
func TestRepeatedPollNotice(t *testing.T) {
	c := qt.New(t)
	core, now := largeDomainCore(c, 25)
	f := pollNotice(1, 40)
	f.Serial = 7
	cmds := core.Step(now, Received{1, f})
	c.Check(countCmds[Send](cmds) > 0, qt.IsTrue)
	silentSince := now
	on := false
	for !on {
		c.Check(countCmds[Send](core.Step(now, Received{2, f})), qt.Equals, 0)
		var w Watch
		now, cmds = runTicks(core, now, TickInterval)
		w, _ = lastWatch(cmds)
		on = w.On && w.Fallback
		c.Assert(now.Sub(silentSince) <= pollNoticeTimeout+pollNoticeTimeoutSpread+TickInterval, qt.IsTrue)
	}
}
