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
	h := New(Config{Self: member("a"), HeadFed: true, Contacts: []string{"gone:1", "gone:2"}}, rand.New(rand.NewPCG(1, 1)), now)
	now, cmds := ticks(h, now, aloneFor+joinSpread+2*TickEvery)
	c.Check(count[ReadContacts](cmds), qt.Equals, 1)
	h.Step(now, ContactsRead{Addrs: []string{"b:1", "c:1", "d:1"}})
	_, cmds = ticks(h, now, time.Second)
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
