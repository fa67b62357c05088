package peer

import (
	"slices"
	"time"
)

// Contacts in the table are the second way to find the others, after those of
// the settings. A node that was started long after its settings were written
// may find none of its contacts any more: all hosts are replaced in time. Its
// symptom would be a host that stays by itself.
const (
	// keptContacts is how many addresses a domain leaves: one more than a domain
	// has whose members all watch the platform, so that a node which starts can
	// tell whether its domain is one of these.
	keptContacts = wholeDomain + 1
	// contactsEvery is how often the root of a domain looks whether the row
	// still names the right addresses, and writes it if not.
	contactsEvery = 5 * time.Second
	// isolatedAfter is about how long a node is without any link before it reads the
	// rows: all of its contacts would have answered by then. One that was given no
	// contacts reads them at once. Until it knows the others it can serve nobody.
	// contactsAgain is how long after that it reads them again, at first and at
	// most.
	isolatedAfter    = 300 * time.Millisecond
	contactsAgain    = 2200 * time.Millisecond
	maxContactsAgain = 20 * time.Second
	// bootSpread is the time over which nodes that all start for the first time
	// spread their reads: the first of them finds nothing and leaves its
	// address, and most of the others find that. Of 83 that read within 0.3 s
	// each would write as well, and read again.
	bootSpread = time.Second
	// rootFor is how long a node must have been the first of its domain before
	// it writes the row: while it gets to know the others, it may think so for a
	// moment.
	rootFor = 2 * time.Second
	// maxContacts bounds what is taken from the table.
	maxContacts = 256
)

// contacts is what a node knows of the rows.
type contacts struct {
	written []string
	writeAt time.Time
	readAt  time.Time
	addrs   []string
	// readFrom is from when on a node without links reads the rows.
	readFrom time.Time
	// rootAt is since when this node has been the first of its domain.
	rootAt time.Time
	// reads counts the reads since the node was last linked, and came is set
	// once one has been answered.
	reads int
	came  bool
	// small is set where the row of the own domain names no more members than
	// may all watch the platform.
	small bool
}

func (h *Core) tickContacts() {
	if h.self.State == Leaving {
		return
	}
	h.leaveContacts()
	if len(h.links) > 0 {
		h.stored.readFrom = time.Time{}
		h.stored.reads = 0
		return
	}
	if h.stored.readFrom.IsZero() {
		h.stored.readFrom = h.now.Add(h.readPause())
	}
	again := min(contactsAgain<<min(h.stored.reads, 3), maxContactsAgain)
	if h.now.Before(h.stored.readFrom) || h.now.Sub(h.stored.readAt) < again {
		return
	}
	h.stored.readAt = h.now
	h.stored.reads++
	h.do(ReadContacts{})
}

// readPause is how long a node that has lost its last link, or has none yet,
// waits before it reads the rows.
func (h *Core) readPause() time.Duration {
	if h.askFirst() {
		return 0
	}
	spread, pause := joinSpread, time.Duration(0)
	if h.cfg.Bootstrap {
		spread = bootSpread
	}
	if len(h.cfg.Contacts) > 0 {
		pause = isolatedAfter
	}
	return pause + h.jitter(spread)
}

// askFirst tells whether this node has just been started, beside others that may
// have been stopped with it. The rows then also tell it whether it may read the
// configuration at once, instead of waiting for a peer that has it: after the
// loss of a whole mesh nobody has.
func (h *Core) askFirst() bool {
	return h.cfg.DelegatePolling && !h.cfg.Bootstrap && !h.version.peered && !h.stored.came
}

// leaveContacts writes the row of this domain, at its root, when the first
// members are others than those in it. A node that has read the rows and still
// has no link may be the first of all: it leaves its address for the others.
func (h *Core) leaveContacts() {
	c := &h.stored
	if !h.isRoot() {
		c.rootAt = time.Time{}
		return
	}
	if c.rootAt.IsZero() {
		c.rootAt = h.now
	}
	first := len(h.links) == 0 && c.came && len(c.addrs) == 0
	if h.now.Before(c.writeAt) || (!first && h.now.Sub(c.rootAt) < rootFor) || (len(h.links) == 0 && !c.came) {
		return
	}
	c.writeAt = h.now.Add(contactsEvery + h.jitter(contactsEvery/4))
	var addrs []string
	for _, r := range h.table.members(h.self.Domain) {
		if len(addrs) < keptContacts {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	if slices.Equal(addrs, c.written) {
		return
	}
	c.written = addrs
	h.do(WriteContacts{addrs})
}

func (h *Core) contactsRead(m ContactsRead) {
	addrs := m.Addrs
	h.stored.came = true
	h.stored.small = m.OwnDomain > 0 && m.OwnDomain <= wholeDomain
	for _, a := range addrs[:min(len(addrs), maxContacts)] {
		if len(a) <= maxNameSize && a != h.self.PeerAddr {
			h.stored.addrs = append(h.stored.addrs, a)
		}
	}
	if extra := len(h.stored.addrs) - maxContacts; extra > 0 {
		h.stored.addrs = h.stored.addrs[extra:]
	}
	if !h.cfg.DelegatePolling || len(h.links) > 0 {
		return
	}
	// Callers wait for a node that has just been started, so it doesn't wait for
	// the next tick.
	h.updateWatchRole()
	h.rejoin()
}
