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
func (h *Core) ago(ms uint64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return h.now.Add(-time.Duration(ms) * time.Millisecond)
}

// heardFresh takes a peer's word of a read of the head.
//
// The peer's version is at least the head of that time, so the word counts
// only once this node has that version too.
func (h *Core) heardFresh(k poll) {
	if k.at.IsZero() || k.at.After(h.now) {
		return
	}
	if k.version > h.version.number {
		if k.at.After(h.watch.ahead.at) {
			h.watch.ahead = k
		}
		return
	}
	h.counts(k)
}

// counts takes in a poll whose version this node has.
func (h *Core) counts(k poll) {
	w := &h.watch
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
func (h *Core) threshold() time.Duration {
	i := h.position()
	switch {
	case i == 0 && h.leads():
		return leadReads
	case i == 0:
		return rootReads
	case i > 0 && i < bridges:
		return bridgeReads
	default:
		return otherReads
	}
}

// Leads tells whether this node is the one that reads the head as a rule, and
// does the mesh's other small regular work at the platform.
func (h *Core) IsLeader() bool { return h.isRoot() && h.leads() }

// leads tells whether this node's domain is the first of all, those in the
// store's region before the others.
func (h *Core) leads() bool {
	first := ""
	for _, name := range h.table.names() {
		d := h.table.domains[name]
		if first == "" || (d.region == h.cfg.StoreRegion && h.table.domains[first].region != h.cfg.StoreRegion) {
			first = name
		}
	}
	return first == h.self.Domain
}

// tickWatch reads the head when nobody else seems to.
func (h *Core) tickWatch() {
	w := &h.watch
	if h.cfg.DelegatePolling || w.reading || h.now.Before(w.nextAt) || h.self.State == Leaving {
		return
	}
	if h.version.ready && h.now.Sub(w.freshAt) < h.threshold() {
		return
	}
	if h.now.Sub(w.startedAt) < h.firstRead() {
		return
	}
	w.reading = true
	w.readAt = h.now
	h.do(ReadHead{})
}

// firstRead spreads the first reads of a herd that starts together, by the
// number of nodes and this node's place among the hosts.
func (h *Core) firstRead() time.Duration {
	n := time.Duration(max(h.Members(), h.cfg.ExpectedHosts))
	whole := firstSpread * n / firstPer
	return whole * time.Duration(score(h.self.Host)%1000) / 1000
}

func (h *Core) headRead(m HeadRead) {
	w := &h.watch
	w.reading = false
	if m.Err != nil {
		h.headFailed(m.Err)
		return
	}
	if w.fails > 0 {
		h.log(event.StoreUp, event.Fields{"fails": w.fails})
	}
	w.fails = 0
	w.nextAt = h.now.Add(leadReads/2 + h.jitter(leadReads/4))
	if h.position() >= bridges {
		w.nextAt = h.now.Add(h.jitter(otherSpread))
	}
	h.version.quarantine(m.Version)
	if m.Version > h.version.number {
		w.ahead = poll{version: m.Version, at: w.readAt, own: true}
		h.headAhead(m.Version, m.Hash)
		return
	}
	h.headIs(h.version.number, w.readAt)
}

// headIs notes that the head was read no earlier than at, and that this node
// has the version that it named.
func (h *Core) headIs(version uint64, at time.Time) {
	if h.version.number < version {
		return
	}
	h.counts(poll{version: version, at: at, own: true})
	h.becomeReady()
}

// caughtUp lets a poll count once the version that it named has arrived.
func (h *Core) caughtUp() {
	k := h.watch.ahead
	if k.version == 0 || h.version.number < k.version {
		return
	}
	h.watch.ahead = poll{}
	h.counts(k)
}

func (h *Core) headFailed(err error) {
	w := &h.watch
	if w.fails == 0 {
		h.log(event.StoreDown, event.Fields{"error": err.Error()})
	}
	w.fails++
	pause := min(leadReads<<min(w.fails, 6), maxBackoff)
	if h.position() >= bridges {
		pause = otherSpread
	}
	w.nextAt = h.now.Add(pause/2 + h.jitter(pause))
}

// headAhead fetches a version that the head names: from a peer that is known
// to have it, or else from the store.
func (h *Core) headAhead(number uint64, hash snapshot.Hash) {
	for _, l := range h.sortedLinks() {
		if l.version >= number {
			h.wantVersion(number, hash, l.id)
		}
	}
	h.wantVersion(number, hash, 0)
}
