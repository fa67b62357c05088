package peer

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStaleContacts restarts a node whose contacts have all been replaced.
//
// Its callers are refused until it knows the targets of others, and its own
// target gets no work until the others know of it. Nobody answers at the
// addresses from its settings, so it soon reads those that the members left in
// the table, and tries them at once.
func TestStaleContacts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a"), DelegatePolling: true, Contacts: []string{"gone:1", "gone:2"}}, rand.New(rand.NewPCG(1, 1)), now)
	now, cmds := runTicks(core, now, isolatedDelay+startJitter+2*TickInterval)
	c.Check(countCmds[ReadContacts](cmds), qt.Equals, 1)
	cmds = core.Step(now, ContactsRead{Addrs: []string{"b:1", "c:1", "d:1"}})
	_, more := runTicks(core, now, time.Second)
	cmds = append(cmds, more...)
	dialed := make(map[string]bool)
	for _, x := range cmds {
		if d, ok := x.(Dial); ok {
			dialed[d.Addr] = true
		}
	}
	for _, addr := range []string{"b:1", "c:1", "d:1"} {
		c.Check(dialed[addr], qt.IsTrue, qt.Commentf("%s", addr))
	}
}

// TestAllStopped starts a node after its whole mesh was stopped at once.
//
// Nobody holds the configuration, so waiting for a peer that has it only keeps the
// callers waiting. The rows tell how many members its domain has: in a small one it
// reads the configuration at once, in a large one, where all would read it over
// the same links, it gives its peers the usual time.
func TestAllStopped(t *testing.T) {
	c := qt.New(t)
	for near, want := range map[int]bool{1: true, smallDomainSize: true, contactsPerDomain: false, 0: false} {
		now := time.Unix(1000, 0)
		core := New(Config{Self: member("a"), DelegatePolling: true, Contacts: []string{"gone:1"}}, rand.New(rand.NewPCG(1, 1)), now)
		now, cmds := runTicks(core, now, 2*TickInterval)
		c.Check(countCmds[ReadContacts](cmds), qt.Equals, 1)
		cmds = core.Step(now, ContactsRead{Addrs: []string{"b:1"}, OwnDomain: near})
		c.Check(startsPolling(cmds), qt.Equals, want, qt.Commentf("%d near", near))
		_, more := runTicks(core, now, startReadDelay)
		c.Check(startsPolling(append(cmds, more...)), qt.IsTrue)
	}
}

// startsPolling tells whether a Core has decided to poll the platform.
func startsPolling(cmds []Cmd) bool {
	on := false
	for _, x := range cmds {
		if w, ok := x.(Watch); ok {
			on = on || w.On
		}
	}
	return on
}

// TestRestartInOutage restarts a node of a running mesh while the platform's store
// gives no answer.
//
// Until it serves, its callers are refused and its target stands idle. It may not
// serve less than before; but whoever remembers that has told it, half a second
// after it has met them all, so it need not wait any longer. As long as the store
// may still answer it waits for that.
func TestRestartInOutage(t *testing.T) {
	c := qt.New(t)
	for _, failed := range []bool{true, false} {
		now := time.Unix(1000, 0)
		core := New(Config{Self: member("a"), DelegatePolling: true}, rand.New(rand.NewPCG(1, 1)), now)
		version := fullContent(c, 4, 4)
		core.Step(now, Tick{})
		core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: member("b"), Version: 4, Hash: version.Hash}, Addr: "b:1"})
		core.Step(now, Received{1, version})
		if failed {
			core.Step(now, PollFailed{})
		}
		_, cmds := runTicks(core, now, linkSettleTime+confirmTimeout+2*TickInterval)
		c.Check(len(servedVersions(cmds)) > 0, qt.Equals, failed)
	}
}
