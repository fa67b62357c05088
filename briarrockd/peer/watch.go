package peer

import (
	"time"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// How old the last read of the head, by anybody, may grow before this node
// reads it, by its place. The first of the list reads as a rule; the others
// only notice that nobody else has, and so the role needs no handover.
const (
	leadReads   = 1 * time.Second
	rootReads   = 5 * time.Second
	bridgeReads = 8 * time.Second
	otherReads  = 20 * time.Second
	// otherSpread spreads out those who are left when all bridges are gone.
	otherSpread = 30 * time.Second
	// firstSpread is the time over which firstPer nodes that start together
	// spread their first read, if no peer spares them it: together they take a
	// quarter of the platform's two thousand reads a second.
	firstSpread = time.Second
	firstPer    = 500
	// freshMargin is how much later than this node's start a peer's read must
	// seem to be to count as later: more than a message is ever on its way.
	freshMargin = time.Second
	// maxBackoff bounds the pause after reads that failed.
	maxBackoff = 20 * time.Second
)

// watch is what a node knows of the head row.
type watch struct {
	startedAt time.Time
	// freshAt is when the head was last read by anybody, as far as is known.
	// This node's version is never below what the head was then: a read counts
	// only once the version that it named has arrived, here and at whoever
	// passes the time on.
	freshAt time.Time
	// own is set once a read of this node itself has counted.
	own bool
	// ahead is a poll that named a version which has not arrived.
	ahead poll
	// seen is the position in the platform's record of changes up to which this
	// node holds everything; 0 where that is not known or not used.
	seen    uint64
	role    role
	nextAt  time.Time
	reading bool
	readAt  time.Time
	fails   int
}

func newWatch(now time.Time, spread time.Duration) watch {
	return watch{startedAt: now, nextAt: now.Add(spread)}
}

// poll is one read of the head, by this node or another one.
type poll struct {
	version uint64 // the newest version at that time
	seen    uint64 // position in the platform's record of changes
	at      time.Time
	own     bool
	// told is when a freshness notice of the poll came; zero for one that is a part
	// of what a peer knows.
	told time.Time
}

// ago is the time that a peer says was so many milliseconds ago; zero for 0,
// which stands for never. The age counts from the peer's sending, so the way
// here only makes it look younger by the delay of one message, which the
// thresholds are far above.
func (c *Core) ago(ms uint64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return c.now.Add(-time.Duration(ms) * time.Millisecond)
}

// heardFresh takes a peer's word of a read of the head.
//
// The peer's version is at least the head of that time, so the word counts
// only once this node has that version too.
func (c *Core) heardFresh(k poll) {
	if k.at.IsZero() || k.at.After(c.now) {
		return
	}
	if k.version > c.version.number {
		if k.at.After(c.watch.ahead.at) {
			c.watch.ahead = k
		}
		return
	}
	c.counts(k)
}

// counts takes in a poll whose version this node has.
func (c *Core) counts(k poll) {
	w := &c.watch
	if k.at.After(w.freshAt) {
		w.freshAt = k.at
	}
	w.seen = max(w.seen, k.seen)
	if k.own {
		w.own = true
		w.fails = 0
		w.role.ownAt = later(w.role.ownAt, k.at)
		return
	}
	w.role.heardAt = later(w.role.heardAt, k.told)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// threshold is how old the last read may be before this node reads itself.
func (c *Core) threshold() time.Duration {
	i := c.orderIndex()
	switch {
	case i == 0 && c.leads():
		return leadReads
	case i == 0:
		return rootReads
	case i > 0 && i < bridgesPerDomain:
		return bridgeReads
	default:
		return otherReads
	}
}

// Leads tells whether this node is the one that reads the head as a rule, and
// does the mesh's other small regular work at the platform.
func (c *Core) IsLeader() bool { return c.isRoot() && c.leads() }

// leads tells whether this node's domain is the first of all, those in the
// store's region before the others.
func (c *Core) leads() bool {
	first := ""
	for _, name := range c.table.names() {
		d := c.table.domains[name]
		if first == "" || (d.region == c.cfg.StoreRegion && c.table.domains[first].region != c.cfg.StoreRegion) {
			first = name
		}
	}
	return first == c.self.Domain
}

// tickWatch reads the head when nobody else seems to.
func (c *Core) tickWatch() {
	w := &c.watch
	if c.cfg.DelegatePolling || w.reading || c.now.Before(w.nextAt) || c.self.State == Leaving {
		return
	}
	if c.version.ready && c.now.Sub(w.freshAt) < c.threshold() {
		return
	}
	if c.now.Sub(w.startedAt) < c.firstRead() {
		return
	}
	w.reading = true
	w.readAt = c.now
	c.emit(ReadHead{})
}

// firstRead spreads the first reads of a herd that starts together, by the
// number of nodes and this node's place among the hosts.
func (c *Core) firstRead() time.Duration {
	n := time.Duration(max(c.Members(), c.cfg.ExpectedHosts))
	whole := firstSpread * n / firstPer
	return whole * time.Duration(score(c.self.Host)%1000) / 1000
}

func (c *Core) onHeadRead(m HeadRead) {
	w := &c.watch
	w.reading = false
	if m.Err != nil {
		c.headFailed(m.Err)
		return
	}
	if w.fails > 0 {
		c.log(event.StoreUp, event.Fields{"fails": w.fails})
	}
	w.fails = 0
	w.nextAt = c.now.Add(leadReads/2 + c.jitter(leadReads/4))
	if c.orderIndex() >= bridgesPerDomain {
		w.nextAt = c.now.Add(c.jitter(otherSpread))
	}
	c.version.quarantine(m.Version)
	if m.Version > c.version.number {
		w.ahead = poll{version: m.Version, at: w.readAt, own: true}
		c.headAhead(m.Version, m.Hash)
		return
	}
	c.headIs(c.version.number, w.readAt)
}

// headIs notes that the head was read no earlier than at, and that this node
// has the version that it named.
func (c *Core) headIs(version uint64, at time.Time) {
	if c.version.number < version {
		return
	}
	c.counts(poll{version: version, at: at, own: true})
	c.becomeReady()
}

// caughtUp lets a poll count once the version that it named has arrived.
func (c *Core) caughtUp() {
	k := c.watch.ahead
	if k.version == 0 || c.version.number < k.version {
		return
	}
	c.watch.ahead = poll{}
	c.counts(k)
}

func (c *Core) headFailed(err error) {
	w := &c.watch
	if w.fails == 0 {
		c.log(event.StoreDown, event.Fields{"error": err.Error()})
	}
	w.fails++
	pause := min(leadReads<<min(w.fails, 6), maxBackoff)
	if c.orderIndex() >= bridgesPerDomain {
		pause = otherSpread
	}
	w.nextAt = c.now.Add(pause/2 + c.jitter(pause))
}

// headAhead fetches a version that the head names: from a peer that is known
// to have it, or else from the store.
func (c *Core) headAhead(number uint64, hash snapshot.Hash) {
	for _, l := range c.sortedLinks() {
		if l.version >= number {
			c.wantVersion(number, hash, l.id)
		}
	}
	c.wantVersion(number, hash, 0)
}
