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
	leaderReadAge = 1 * time.Second
	rootReadAge   = 5 * time.Second
	bridgeReadAge = 8 * time.Second
	otherReadAge  = 20 * time.Second
	// otherReadJitter spreads out those who are left when all bridges are gone.
	otherReadJitter = 30 * time.Second
	// startReadSpread is the time over which startReadsPerSpread nodes that start together
	// spread their first read, if no peer spares them it: together they take a
	// quarter of the platform's two thousand reads a second.
	startReadSpread     = time.Second
	startReadsPerSpread = 500
	// headAgeMargin is how much later than this node's start a peer's read must
	// seem to be to count as later: more than a message is ever on its way.
	headAgeMargin = time.Second
	// maxReadBackoff bounds the pause after reads that failed.
	maxReadBackoff = 20 * time.Second
)

// headWatch is what a node knows of the head row.
type headWatch struct {
	startedAt time.Time
	// headReadAt is when the head was last read by anybody, as far as is known.
	// This node's version is never below what the head was then: a read counts
	// only once the version that it named has arrived, here and at whoever
	// passes the time on.
	headReadAt time.Time
	// ownPollCounted is set once a read of this node itself has counted.
	ownPollCounted bool
	// pendingPoll is a poll that named a version which has not arrived.
	pendingPoll poll
	// cursor is the position in the platform's record of changes up to which this
	// node holds everything; 0 where that is not known or not used.
	cursor   uint64
	role     pollRole
	nextRead time.Time
	reading  bool
	lastRead time.Time
	failures int
}

func newWatch(now time.Time, spread time.Duration) headWatch {
	return headWatch{startedAt: now, nextRead: now.Add(spread)}
}

// poll is one read of the head, by this node or another one.
type poll struct {
	version uint64 // the newest version at that time
	cursor  uint64 // position in the platform's record of changes
	at      time.Time
	own     bool
	// noticedAt is when a freshness notice of the poll came; zero for one that is a part
	// of what a peer knows.
	noticedAt time.Time
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

// onPeerPoll takes a peer's word of a read of the head.
//
// The peer's version is at least the head of that time, so the word counts
// only once this node has that version too.
func (c *Core) onPeerPoll(k poll) {
	if k.at.IsZero() || k.at.After(c.now) {
		return
	}
	if k.version > c.version.number {
		if k.at.After(c.watch.pendingPoll.at) {
			c.watch.pendingPoll = k
		}
		return
	}
	c.recordPoll(k)
}

// recordPoll takes in a poll whose version this node has.
func (c *Core) recordPoll(k poll) {
	w := &c.watch
	if k.at.After(w.headReadAt) {
		w.headReadAt = k.at
	}
	w.cursor = max(w.cursor, k.cursor)
	if k.own {
		w.ownPollCounted = true
		w.failures = 0
		w.role.ownPollAt = laterOf(w.role.ownPollAt, k.at)
		return
	}
	w.role.noticedAt = laterOf(w.role.noticedAt, k.noticedAt)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readThreshold is how old the last read may be before this node reads itself.
func (c *Core) readThreshold() time.Duration {
	i := c.orderIndex()
	switch {
	case i == 0 && c.inLeaderDomain():
		return leaderReadAge
	case i == 0:
		return rootReadAge
	case i > 0 && i < bridgesPerDomain:
		return bridgeReadAge
	default:
		return otherReadAge
	}
}

// Leads tells whether this node is the one that reads the head as a rule, and
// does the mesh's other small regular work at the platform.
func (c *Core) IsLeader() bool { return c.isRoot() && c.inLeaderDomain() }

// inLeaderDomain tells whether this node's domain is the first of all, those in the
// store's region before the others.
func (c *Core) inLeaderDomain() bool {
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
	if c.cfg.DelegatePolling || w.reading || c.now.Before(w.nextRead) || c.self.State == Leaving {
		return
	}
	if c.version.ready && c.now.Sub(w.headReadAt) < c.readThreshold() {
		return
	}
	if c.now.Sub(w.startedAt) < c.firstReadDelay() {
		return
	}
	w.reading = true
	w.lastRead = c.now
	c.emit(ReadHead{})
}

// firstReadDelay spreads the first reads of a herd that starts together, by the
// number of nodes and this node's place among the hosts.
func (c *Core) firstReadDelay() time.Duration {
	n := time.Duration(max(c.Members(), c.cfg.ExpectedHosts))
	whole := startReadSpread * n / startReadsPerSpread
	return whole * time.Duration(score(c.self.Host)%1000) / 1000
}

func (c *Core) onHeadRead(m HeadRead) {
	w := &c.watch
	w.reading = false
	if m.Err != nil {
		c.headFailed(m.Err)
		return
	}
	if w.failures > 0 {
		c.log(event.StoreUp, event.Fields{"fails": w.failures})
	}
	w.failures = 0
	w.nextRead = c.now.Add(leaderReadAge/2 + c.jitter(leaderReadAge/4))
	if c.orderIndex() >= bridgesPerDomain {
		w.nextRead = c.now.Add(c.jitter(otherReadJitter))
	}
	c.version.dropAboveHead(m.Version)
	if m.Version > c.version.number {
		w.pendingPoll = poll{version: m.Version, at: w.lastRead, own: true}
		c.fetchHead(m.Version, m.Hash)
		return
	}
	c.recordHeadRead(c.version.number, w.lastRead)
}

// recordHeadRead notes that the head was read no earlier than at, and that this node
// has the version that it named.
func (c *Core) recordHeadRead(version uint64, at time.Time) {
	if c.version.number < version {
		return
	}
	c.recordPoll(poll{version: version, at: at, own: true})
	c.becomeReady()
}

// recordPendingPoll lets a poll count once the version that it named has arrived.
func (c *Core) recordPendingPoll() {
	k := c.watch.pendingPoll
	if k.version == 0 || c.version.number < k.version {
		return
	}
	c.watch.pendingPoll = poll{}
	c.recordPoll(k)
}

func (c *Core) headFailed(err error) {
	w := &c.watch
	if w.failures == 0 {
		c.log(event.StoreDown, event.Fields{"error": err.Error()})
	}
	w.failures++
	pause := min(leaderReadAge<<min(w.failures, 6), maxReadBackoff)
	if c.orderIndex() >= bridgesPerDomain {
		pause = otherReadJitter
	}
	w.nextRead = c.now.Add(pause/2 + c.jitter(pause))
}

// fetchHead fetches a version that the head names: from a peer that is known
// to have it, or else from the store.
func (c *Core) fetchHead(number uint64, hash snapshot.Hash) {
	for _, l := range c.sortedLinks() {
		if l.version >= number {
			c.requestVersion(number, hash, l.id)
		}
	}
	c.requestVersion(number, hash, 0)
}
