package peer

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// delegatingCore returns a Core with delegated polling and one link, and the time. Its
// domain is small, so the node polls the platform for itself.
func delegatingCore(c *qt.C) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a"), DelegatePolling: true}, rand.New(rand.NewPCG(1, 1)), now)
	core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: member("b")}, Addr: "b:1"})
	c.Assert(core.Links(), qt.Equals, 1)
	return core, now
}

// runTicks steps a Core with Ticks for d. It returns the time after that and the commands.
func runTicks(core *Core, now time.Time, d time.Duration) (time.Time, []Cmd) {
	var out []Cmd
	for end := now.Add(d); now.Before(end); {
		now = now.Add(TickInterval)
		out = append(out, core.Step(now, Tick{})...)
	}
	return now, out
}

func countCmds[T Cmd](cmds []Cmd) int {
	n := 0
	for _, x := range cmds {
		if _, ok := x.(T); ok {
			n++
		}
	}
	return n
}

func countFetches(cmds []Cmd) int {
	n := 0
	for _, x := range cmds {
		if s, ok := x.(Send); ok {
			if _, ok := s.Frame.(Fetch); ok {
				n++
			}
		}
	}
	return n
}

// TestDelegatedPolling checks that a Core with delegated polling reads nothing from the
// platform itself, and fetches a version from its peer only if its own poll has not
// delivered it.
//
// Here every node polls the platform. If each also sent every version to its neighbours,
// a change would be packed and sent many times without need. If none did, a host that is
// partitioned from the platform would never get it.
func TestDelegatedPolling(t *testing.T) {
	c := qt.New(t)
	core, now := delegatingCore(c)
	b, hash := encodeSample(c, 4)
	core.Step(now, Committed{Version: 4, Hash: hash, Content: b})
	now, _ = runTicks(core, now, time.Second)
	b, hash = encodeSample(c, 5)
	cmds := core.Step(now, Received{1, VersionNotice{5, hash, true}})
	c.Check(countFetches(cmds), qt.Equals, 0)
	committedAt := now.Add(hedgeDelay / 2)
	cmds = core.Step(committedAt, Committed{Version: 5, Hash: hash, Content: b})
	now, more := runTicks(core, committedAt, 3*time.Second)
	cmds = append(cmds, more...)
	c.Check(servedVersions(cmds), qt.DeepEquals, []uint64{5})
	c.Check(countFetches(cmds), qt.Equals, 0)
	c.Check(countCmds[ReadHead](cmds), qt.Equals, 0)

	// The next version arrives only from the peer: this host can't reach the platform.
	next := fullContent(c, 6, 6)
	core.Step(now, Received{1, VersionNotice{6, next.Hash, true}})
	now, cmds = runTicks(core, now, hedgeDelay+2*TickInterval)
	c.Check(countFetches(cmds), qt.Equals, 1)
	cmds = core.Step(now, Received{1, next})
	_, more = runTicks(core, now, time.Second)
	cmds = append(cmds, more...)
	c.Check(servedVersions(cmds), qt.DeepEquals, []uint64{6})
	c.Check(countCmds[ReadObject](cmds), qt.Equals, 0)
}

// TestOlderCommitIgnored delivers an older version after a newer one, as a store that was
// restored to an earlier state could. The version in use must stay.
func TestOlderCommitIgnored(t *testing.T) {
	c := qt.New(t)
	core, now := delegatingCore(c)
	for _, v := range []uint64{5, 4} {
		b, hash := encodeSample(c, int(v))
		core.Step(now, Committed{Version: v, Hash: hash, Content: b})
		now, _ = runTicks(core, now, time.Second)
	}
	got, hash := core.Version()
	c.Check(got, qt.Equals, uint64(5))
	_, want := encodeSample(c, 5)
	c.Check(hash, qt.Equals, want)
	c.Check(snapshot.Hash{} == hash, qt.IsFalse)
}

// TestFirstNode starts a node without contacts while the table holds none either.
//
// It is the first node, or all nodes start at once. It must read the contact rows at
// once, since it has no other way to find peers, and then write its own address. Other
// nodes find that address when they read the rows again, so it must also read them again.
func TestFirstNode(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a"), DelegatePolling: true}, rand.New(rand.NewPCG(1, 1)), now)
	now, cmds := runTicks(core, now, startJitter+2*TickInterval)
	c.Check(countCmds[ReadContacts](cmds), qt.Equals, 1)
	c.Check(countCmds[WriteContacts](cmds), qt.Equals, 0)
	core.Step(now, ContactsRead{})
	now, cmds = runTicks(core, now, TickInterval)
	c.Check(countCmds[WriteContacts](cmds), qt.Equals, 1)
	_, cmds = runTicks(core, now, 15*time.Second)
	reads := countCmds[ReadContacts](cmds)
	c.Check(reads >= 2 && reads <= 4, qt.IsTrue, qt.Commentf("%d", reads))
}

// TestBootstrapContacts starts a node at the first start of a mesh with many nodes. It
// finds an address that another node has written, so it must not write its own.
// Otherwise each node would write the row, at the cost of a billed call each.
func TestBootstrapContacts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a"), DelegatePolling: true, Bootstrap: true}, rand.New(rand.NewPCG(1, 1)), now)
	now, cmds := runTicks(core, now, bootstrapJitter+2*TickInterval)
	c.Check(countCmds[ReadContacts](cmds), qt.Equals, 1)
	cmds = core.Step(now, ContactsRead{Addrs: []string{"b:1"}})
	now, more := runTicks(core, now, minDialBackoff+2*TickInterval)
	c.Check(countCmds[Dial](append(cmds, more...)) > 0, qt.IsTrue)
	cmds = core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: member("b")}, Addr: "b:1"})
	_, more = runTicks(core, now, rootSettleTime-2*TickInterval)
	c.Check(countCmds[WriteContacts](append(cmds, more...)), qt.Equals, 0)
}
