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

func (c *Core) tickContacts() {
	if c.self.State == Leaving {
		return
	}
	c.leaveContacts()
	if len(c.links) > 0 {
		c.stored.readFrom = time.Time{}
		c.stored.reads = 0
		return
	}
	if c.stored.readFrom.IsZero() {
		c.stored.readFrom = c.now.Add(c.readPause())
	}
	again := min(contactsAgain<<min(c.stored.reads, 3), maxContactsAgain)
	if c.now.Before(c.stored.readFrom) || c.now.Sub(c.stored.readAt) < again {
		return
	}
	c.stored.readAt = c.now
	c.stored.reads++
	c.do(ReadContacts{})
}

// readPause is how long a node that has lost its last link, or has none yet,
// waits before it reads the rows.
func (c *Core) readPause() time.Duration {
	if c.askFirst() {
		return 0
	}
	spread, pause := joinSpread, time.Duration(0)
	if c.cfg.Bootstrap {
		spread = bootSpread
	}
	if len(c.cfg.Contacts) > 0 {
		pause = isolatedAfter
	}
	return pause + c.jitter(spread)
}

// askFirst tells whether this node has just been started, beside others that may
// have been stopped with it. The rows then also tell it whether it may read the
// configuration at once, instead of waiting for a peer that has it: after the
// loss of a whole mesh nobody has.
func (c *Core) askFirst() bool {
	return c.cfg.DelegatePolling && !c.cfg.Bootstrap && !c.version.peered && !c.stored.came
}

// leaveContacts writes the row of this domain, at its root, when the first
// members are others than those in it. A node that has read the rows and still
// has no link may be the first of all: it leaves its address for the others.
func (c *Core) leaveContacts() {
	s := &c.stored
	if !c.isRoot() {
		s.rootAt = time.Time{}
		return
	}
	if s.rootAt.IsZero() {
		s.rootAt = c.now
	}
	first := len(c.links) == 0 && s.came && len(s.addrs) == 0
	if c.now.Before(s.writeAt) || (!first && c.now.Sub(s.rootAt) < rootFor) || (len(c.links) == 0 && !s.came) {
		return
	}
	s.writeAt = c.now.Add(contactsEvery + c.jitter(contactsEvery/4))
	var addrs []string
	for _, r := range c.table.members(c.self.Domain) {
		if len(addrs) < keptContacts {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	if slices.Equal(addrs, s.written) {
		return
	}
	s.written = addrs
	c.do(WriteContacts{addrs})
}

func (c *Core) contactsRead(m ContactsRead) {
	addrs := m.Addrs
	c.stored.came = true
	c.stored.small = m.OwnDomain > 0 && m.OwnDomain <= wholeDomain
	for _, a := range addrs[:min(len(addrs), maxContacts)] {
		if len(a) <= maxNameSize && a != c.self.PeerAddr {
			c.stored.addrs = append(c.stored.addrs, a)
		}
	}
	if extra := len(c.stored.addrs) - maxContacts; extra > 0 {
		c.stored.addrs = c.stored.addrs[extra:]
	}
	if !c.cfg.DelegatePolling || len(c.links) > 0 {
		return
	}
	// Callers wait for a node that has just been started, so it doesn't wait for
	// the next tick.
	c.updateWatchRole()
	c.rejoin()
}
