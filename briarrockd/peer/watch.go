package peer

import (
	"time"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// The head is the platform's row that names the newest accepted version. A node reads it
// when the last known read, by any node, is older than the node's threshold below.
// Normally only the leader reads. Any other node takes over when the last read gets too
// old, so the role needs no handover. The thresholds are for the leader, the roots of
// the other domains, the second bridge node of each domain, and all other nodes; see
// readThreshold.
const (
	leaderReadAge = 1 * time.Second
	rootReadAge   = 5 * time.Second
	bridgeReadAge = 8 * time.Second
	otherReadAge  = 20 * time.Second
	// otherReadJitter spreads out the reads of the remaining nodes when all bridge
	// nodes are gone.
	otherReadJitter = 30 * time.Second
	// startReadSpread is the time over which startReadsPerSpread nodes that start
	// together spread their first reads, unless a peer's read makes them unnecessary.
	// Together they use a quarter of the platform's limit of 2000 reads a second.
	startReadSpread     = time.Second
	startReadsPerSpread = 500
	// headAgeMargin is how much later than this node's start a peer's read must
	// appear to be to count as later. It exceeds the transit time of any message.
	headAgeMargin = time.Second
	// maxReadBackoff bounds the backoff after failed reads.
	maxReadBackoff = 20 * time.Second
)

// headWatch is a node's state of reading the head.
type headWatch struct {
	startedAt time.Time
	// headReadAt is the time of the last known read of the head, by any node.
	// This node's version is never below the head of that time: this node, and each
	// node that forwards the time of the read, records it only once it holds the
	// version that the read found.
	headReadAt time.Time
	// ownPollCounted is set once a read by this node itself has been recorded.
	ownPollCounted bool
	// pendingPoll is a poll that found a version which has not arrived yet.
	pendingPoll poll
	// cursor is the position in the platform's change feed up to which this node
	// holds all changes; 0 if it is unknown or not used.
	cursor   uint64
	role     pollRole
	nextRead time.Time // earliest time of the next read by this node
	reading  bool      // a ReadHead has not been answered yet
	lastRead time.Time // when this node last sent a ReadHead
	// readSent is the reading of the boot clock at lastRead.
	readSent time.Duration
	failures int // consecutive failed reads or polls by this node
}

func newWatch(now time.Time, firstDelay time.Duration) headWatch {
	return headWatch{startedAt: now, nextRead: now.Add(firstDelay)}
}

// poll is one read of the head, by this node or another one.
type poll struct {
	host    string // that reported it, if it is a peer's
	version uint64 // the newest version at that time
	cursor  uint64 // position in the platform's change feed
	at      time.Time
	own     bool // by this node
	// noticedAt is when a PollNotice of the poll arrived; zero if the poll is known
	// from a peer's Hello or Heartbeat, or is this node's own.
	noticedAt time.Time
}

// ago converts an age in milliseconds, received from a peer, to a time; an age of 0
// stands for never and gives the zero time. The age counts from when the peer sent
// it, so the time is too late by the delay of one message. The thresholds are far
// above that delay.
func (c *Core) ago(ms uint64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return c.now.Add(-time.Duration(ms) * time.Millisecond)
}

// onPeerPoll handles a peer's report of a read of the head. The peer's version is at
// least the head of that time, so the read is recorded only once this node holds that
// version too.
func (c *Core) onPeerPoll(p poll) {
	if p.at.IsZero() || p.at.After(c.now) {
		return
	}
	if p.version > c.version.number {
		c.nameVersion(p.version, p.host)
		if p.at.After(c.watch.pendingPoll.at) {
			c.watch.pendingPoll = p
		}
		return
	}
	c.recordPoll(p)
}

// recordPoll records a poll whose version this node holds.
func (c *Core) recordPoll(p poll) {
	w := &c.watch
	if p.at.After(w.headReadAt) {
		w.headReadAt = p.at
	}
	w.cursor = max(w.cursor, p.cursor)
	if p.own {
		w.ownPollCounted = true
		w.failures = 0
		w.role.ownPollAt = laterOf(w.role.ownPollAt, p.at)
		return
	}
	w.role.noticedAt = laterOf(w.role.noticedAt, p.noticedAt)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readThreshold returns how old the last read may be before this node reads the head.
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

// IsLeader reports whether this node is the one that normally reads the head, and does
// the mesh's other small periodic work at the platform.
func (c *Core) IsLeader() bool { return c.isRoot() && c.inLeaderDomain() }

// inLeaderDomain reports whether this node's domain sorts first of all domains. The
// domains in the store's region sort before the others.
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

// tickWatch reads the head if the last known read, by any node, is older than this node's
// threshold. A node that is not ready reads it in any case.
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
	w.lastRead, w.readSent = c.now, c.proofs.clock
	c.emit(ReadHead{})
}

// firstReadDelay returns the delay of this node's first read. It spreads the reads of
// nodes that start together: the spread grows with the number of nodes, and a node's
// delay within it is set by the hash of its host name.
func (c *Core) firstReadDelay() time.Duration {
	n := time.Duration(max(c.Members(), c.cfg.ExpectedHosts))
	spread := startReadSpread * n / startReadsPerSpread
	return spread * time.Duration(score(c.self.Host)%1000) / 1000
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
	c.addOwnProof(m.Version, w.readSent)
	if m.Version > c.version.number {
		w.pendingPoll = poll{version: m.Version, at: w.lastRead, own: true}
		c.fetchHead(m.Version, m.Hash)
		return
	}
	c.recordHeadRead(c.version.number, w.lastRead)
}

// recordHeadRead records this node's own read of the head, if the version it found has
// arrived. The read took place at the given time or later.
func (c *Core) recordHeadRead(version uint64, at time.Time) {
	if c.version.number < version {
		return
	}
	c.recordPoll(poll{version: version, at: at, own: true})
	c.becomeReady()
}

// recordPendingPoll records the pending poll once the version it found has arrived.
func (c *Core) recordPendingPoll() {
	p := c.watch.pendingPoll
	if p.version == 0 || c.version.number < p.version {
		return
	}
	c.watch.pendingPoll = poll{}
	c.recordPoll(p)
}

func (c *Core) headFailed(err error) {
	w := &c.watch
	if w.failures == 0 {
		c.log(event.StoreDown, event.Fields{"error": err.Error()})
	}
	w.failures++
	backoff := min(leaderReadAge<<min(w.failures, 6), maxReadBackoff)
	if c.orderIndex() >= bridgesPerDomain {
		backoff = otherReadJitter
	}
	w.nextRead = c.now.Add(backoff/2 + c.jitter(backoff))
}

// fetchHead fetches the version that the head names from a peer that is known to
// hold it, or else from the store.
func (c *Core) fetchHead(number uint64, hash snapshot.Hash) {
	for _, l := range c.sortedLinks() {
		if l.version >= number {
			c.requestVersion(number, hash, l.id)
		}
	}
	c.requestVersion(number, hash, 0)
}
