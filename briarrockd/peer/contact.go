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
	// contactsPerDomain is how many addresses a domain leaves: one more than a domain
	// has whose members all watch the platform, so that a node which starts can
	// tell whether its domain is one of these.
	contactsPerDomain = smallDomainSize + 1
	// contactsInterval is how often the root of a domain looks whether the row
	// still names the right addresses, and writes it if not.
	contactsInterval = 5 * time.Second
	// isolatedDelay is about how long a node is without any link before it reads the
	// rows: all of its contacts would have answered by then. One that was given no
	// contacts reads them at once. Until it knows the others it can serve nobody.
	// minContactsRetry is how long after that it reads them again, at first and at
	// most.
	isolatedDelay    = 300 * time.Millisecond
	minContactsRetry = 2200 * time.Millisecond
	maxContactsRetry = 20 * time.Second
	// bootstrapJitter is the time over which nodes that all start for the first time
	// spread their reads: the first of them finds nothing and leaves its
	// address, and most of the others find that. Of 83 that read within 0.3 s
	// each would write as well, and read again.
	bootstrapJitter = time.Second
	// rootSettleTime is how long a node must have been the first of its domain before
	// it writes the row: while it gets to know the others, it may think so for a
	// moment.
	rootSettleTime = 2 * time.Second
	// maxContacts bounds what is taken from the table.
	maxContacts = 256
)

// contactRows is what a node knows of the rows.
type contactRows struct {
	written   []string
	nextWrite time.Time
	lastRead  time.Time
	addrs     []string
	// readAfter is from when on a node without links reads the rows.
	readAfter time.Time
	// rootSince is since when this node has been the first of its domain.
	rootSince time.Time
	// reads counts the reads since the node was last linked, and came is set
	// once one has been answered.
	reads  int
	loaded bool
	// smallDomain is set where the row of the own domain names no more members than
	// may all watch the platform.
	smallDomain bool
}

func (c *Core) tickContacts() {
	if c.self.State == Leaving {
		return
	}
	c.publishContacts()
	if len(c.links) > 0 {
		c.contacts.readAfter = time.Time{}
		c.contacts.reads = 0
		return
	}
	if c.contacts.readAfter.IsZero() {
		c.contacts.readAfter = c.now.Add(c.contactsReadDelay())
	}
	again := min(minContactsRetry<<min(c.contacts.reads, 3), maxContactsRetry)
	if c.now.Before(c.contacts.readAfter) || c.now.Sub(c.contacts.lastRead) < again {
		return
	}
	c.contacts.lastRead = c.now
	c.contacts.reads++
	c.emit(ReadContacts{})
}

// contactsReadDelay is how long a node that has lost its last link, or has none yet,
// waits before it reads the rows.
func (c *Core) contactsReadDelay() time.Duration {
	if c.readContactsAtOnce() {
		return 0
	}
	spread, pause := startJitter, time.Duration(0)
	if c.cfg.Bootstrap {
		spread = bootstrapJitter
	}
	if len(c.cfg.Contacts) > 0 {
		pause = isolatedDelay
	}
	return pause + c.jitter(spread)
}

// readContactsAtOnce tells whether this node has just been started, beside others that may
// have been stopped with it. The rows then also tell it whether it may read the
// configuration at once, instead of waiting for a peer that has it: after the
// loss of a whole mesh nobody has.
func (c *Core) readContactsAtOnce() bool {
	return c.cfg.DelegatePolling && !c.cfg.Bootstrap && !c.version.everLinked && !c.contacts.loaded
}

// publishContacts writes the row of this domain, at its root, when the first
// members are others than those in it. A node that has read the rows and still
// has no link may be the first of all: it leaves its address for the others.
func (c *Core) publishContacts() {
	s := &c.contacts
	if !c.isRoot() {
		s.rootSince = time.Time{}
		return
	}
	if s.rootSince.IsZero() {
		s.rootSince = c.now
	}
	first := len(c.links) == 0 && s.loaded && len(s.addrs) == 0
	if c.now.Before(s.nextWrite) || (!first && c.now.Sub(s.rootSince) < rootSettleTime) || (len(c.links) == 0 && !s.loaded) {
		return
	}
	s.nextWrite = c.now.Add(contactsInterval + c.jitter(contactsInterval/4))
	var addrs []string
	for _, r := range c.table.members(c.self.Domain) {
		if len(addrs) < contactsPerDomain {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	if slices.Equal(addrs, s.written) {
		return
	}
	s.written = addrs
	c.emit(WriteContacts{addrs})
}

func (c *Core) onContactsRead(m ContactsRead) {
	addrs := m.Addrs
	c.contacts.loaded = true
	c.contacts.smallDomain = m.OwnDomain > 0 && m.OwnDomain <= smallDomainSize
	for _, a := range addrs[:min(len(addrs), maxContacts)] {
		if len(a) <= maxNameSize && a != c.self.PeerAddr {
			c.contacts.addrs = append(c.contacts.addrs, a)
		}
	}
	if extra := len(c.contacts.addrs) - maxContacts; extra > 0 {
		c.contacts.addrs = c.contacts.addrs[extra:]
	}
	if !c.cfg.DelegatePolling || len(c.links) > 0 {
		return
	}
	// Callers wait for a node that has just been started, so it doesn't wait for
	// the next tick.
	c.updatePollRole()
	c.rejoin()
}
