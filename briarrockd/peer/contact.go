package peer

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"time"
)

// Rows of contacts in the platform's table are the second means to join the mesh, after
// the contacts in the settings. All hosts are replaced over time, so none of the
// contacts in the settings may be left when a node starts long after they were written.
// Without the rows that node would stay isolated.
const (
	// contactsPerDomain is how many addresses a domain publishes at most. It is one more
	// than the size of a domain in which all members poll the platform, so that a
	// starting node can tell whether its domain is one of these.
	contactsPerDomain = smallDomainSize + 1
	// contactsInterval is the interval at which the root of a domain checks whether its
	// row still has the right addresses. It writes the row if not.
	contactsInterval = 5 * time.Second
	// contactsRewriteInterval is the interval at which the root writes the row also if its
	// addresses are the same. Another writer may have replaced it, and a node that starts
	// finds no member then.
	contactsRewriteInterval = 30 * time.Second
	// isolatedDelay is the approximate time that a node is without any link before it
	// reads the rows: by then all of its contacts would have answered. A node without
	// contacts reads them at once, since it can't serve calls until it knows other
	// members. minContactsRetry and maxContactsRetry bound the interval between further
	// reads.
	isolatedDelay    = 300 * time.Millisecond
	minContactsRetry = 2200 * time.Millisecond
	maxContactsRetry = 20 * time.Second
	// bootstrapJitter is the time over which nodes that all start for the first time
	// spread their reads. The first of them finds no row and publishes its address, and
	// most of the others find that. Of 83 nodes that read within 0.3 s each would write
	// the row as well, and read again.
	bootstrapJitter = time.Second
	// rootSettleTime is how long a node must have been the root of its domain before it
	// writes the row. Until a starting node knows the other members, it may take itself
	// for the root.
	rootSettleTime = 2 * time.Second
	// maxContacts is the maximum number of addresses that are taken from the rows.
	maxContacts = 256
)

// contactRows is the state of reading and writing the rows of contacts.
type contactRows struct {
	written   []string  // addresses that this node last wrote
	writtenAt time.Time // when it wrote them
	nextWrite time.Time // earliest time of the next write
	lastRead  time.Time
	addrs     []string // addresses from the rows
	// readAfter is the earliest time at which a node without links reads the rows; zero
	// while it has links.
	readAfter time.Time
	// rootSince is when this node became the root of its domain; zero if it is not.
	rootSince time.Time
	// reads counts the reads since this node last had a link. loaded is set once a read
	// has been answered.
	reads  int
	loaded bool
	// smallDomain is set if the row of this node's domain has at most smallDomainSize
	// addresses, so that all of its members may poll the platform.
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
	retry := min(minContactsRetry<<min(c.contacts.reads, 3), maxContactsRetry)
	if c.now.Before(c.contacts.readAfter) || c.now.Sub(c.contacts.lastRead) < retry {
		return
	}
	c.contacts.lastRead = c.now
	c.contacts.reads++
	c.emit(ReadContacts{})
}

// contactsReadDelay returns how long a node without links waits before it reads the
// rows.
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

// readContactsAtOnce reports whether this process has just started and has neither had
// a link nor read the rows. Other nodes may have been stopped with it. The rows then
// also show whether this node may read the configuration at once instead of waiting for
// a peer that has it: after the loss of a whole mesh no peer has it.
func (c *Core) readContactsAtOnce() bool {
	return c.cfg.DelegatePolling && !c.cfg.Bootstrap && !c.version.everLinked && !c.contacts.loaded
}

// publishContacts writes the row of this domain, at its root, if its first members
// differ from the row. A node that has read the rows, found no address and has no link
// may be the first node of the mesh: it publishes its own address without waiting.
func (c *Core) publishContacts() {
	s := &c.contacts
	if !c.isRoot() {
		s.rootSince = time.Time{}
		return
	}
	if s.rootSince.IsZero() {
		s.rootSince = c.now
	}
	firstNode := len(c.links) == 0 && s.loaded && len(s.addrs) == 0
	if c.now.Before(s.nextWrite) || (!firstNode && c.now.Sub(s.rootSince) < rootSettleTime) || (len(c.links) == 0 && !s.loaded) {
		return
	}
	s.nextWrite = c.now.Add(contactsInterval + c.jitter(contactsInterval/4))
	var addrs []string
	for _, r := range c.table.members(c.self.Domain) {
		if len(addrs) < contactsPerDomain {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	if slices.Equal(addrs, s.written) && c.now.Sub(s.writtenAt) < contactsRewriteInterval {
		return
	}
	s.written, s.writtenAt = addrs, c.now
	c.emit(WriteContacts{addrs})
}

// parseContacts returns the addresses in a domain's row. Rows may come from other writers:
// entries that are no address are left out, and no row takes the place of the others.
func parseContacts(value []byte) []string {
	var entries []json.RawMessage
	if json.Unmarshal(value, &entries) != nil {
		return nil
	}
	var addrs []string
	for _, entry := range entries {
		var addr string
		if json.Unmarshal(entry, &addr) == nil && isAddr(addr) && len(addrs) < contactsPerDomain {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// isAddr reports whether s is a host and a port at which a node may listen.
func isAddr(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, perr := strconv.ParseUint(port, 10, 16)
	return err == nil && perr == nil && host != "" && n > 0 && len(s) <= maxNameSize
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
	// Callers are waiting for a node that has just started, so it doesn't wait for the
	// next tick.
	c.updatePollRole()
	c.rejoin()
}
