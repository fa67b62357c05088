package peer

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// delegatingCore is a Core whose node watches the platform itself, with one link.
func delegatingCore(c *qt.C) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a"), DelegatePolling: true}, rand.New(rand.NewPCG(1, 1)), now)
	core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: member("b")}, Addr: "b:1"})
	c.Assert(core.Links(), qt.Equals, 1)
	return core, now
}

// runTicks steps a Core through a time and returns what it did.
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

// TestFed checks that a Core which is fed asks the platform for nothing, and
// its peer only if its own watch has not brought a version that the peer has.
//
// Every node watches the platform. If each also sent every version to its
// neighbours, a change would be packed and sent many times for nothing; if none
// did, a host that is cut off from the platform would never get it.
func TestFed(t *testing.T) {
	c := qt.New(t)
	core, now := delegatingCore(c)
	b, hash := encodeSample(c, 4)
	core.Step(now, Committed{Version: 4, Hash: hash, Content: b})
	now, _ = runTicks(core, now, time.Second)
	b, hash = encodeSample(c, 5)
	cmds := core.Step(now, Received{1, VersionNotice{5, hash, true}})
	c.Check(countFetches(cmds), qt.Equals, 0)
	brought := now.Add(hedgeDelay / 2)
	cmds = core.Step(brought, Committed{Version: 5, Hash: hash, Content: b})
	now, more := runTicks(core, brought, 3*time.Second)
	cmds = append(cmds, more...)
	c.Check(servedVersions(cmds), qt.DeepEquals, []uint64{5})
	c.Check(countFetches(cmds), qt.Equals, 0)
	c.Check(countCmds[ReadHead](cmds), qt.Equals, 0)

	// The next one comes from the peer alone: this host is cut off.
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

// TestFedBack feeds a Core an older version, as a store that is restored
// could: what is served stays.
func TestFedBack(t *testing.T) {
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

// TestFirst starts a node without contacts where nobody has left any.
//
// It is the first of all, or all start at once. It reads the rows at once, since
// nobody else can tell it of the others, and then leaves its own address; the
// others find that when they read the rows again.
func TestFirst(t *testing.T) {
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

// TestFirstOfMany starts a node with many others for the first time. It finds
// an address that another one has left, and so leaves none itself: the row
// would be written by each of them otherwise, for a billed call each.
func TestFirstOfMany(t *testing.T) {
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
