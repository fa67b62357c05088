package peer

import (
	"time"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

const (
	// maxKeptVersions is how many versions' contents a node keeps, to make
	// differences from and to answer peers that are behind, maxKeptBytes how many
	// bytes of them at most beside the newest two: eight of 400 KB would be the
	// largest thing in a node's memory.
	maxKeptVersions = 8
	maxKeptBytes    = 512 << 10
	// hedgeDelay is how long a fetch may take before another source is asked.
	hedgeDelay = 400 * time.Millisecond
	// lazyDelay is how much later a lazy link is told of a version.
	lazyDelay = 400 * time.Millisecond
	// maxSources bounds the links that are remembered as having a version.
	maxSources = 16
	// maxFetchTries bounds the attempts at one version, after which the node goes
	// back to believing its peers and the head anew.
	maxFetchTries = 12
	// minTriesBeforeDrop is the number of attempts from which on a version that the
	// head has not reached is given up; before, the head may have been read
	// just before the version was accepted.
	minTriesBeforeDrop = 4
	// maxPushInRegion and maxPushInterRegion bound the differences that are pushed unasked, in
	// bytes, within a region and over the paid link.
	maxPushInRegion    = 256
	maxPushInterRegion = 4 << 10
	// confirmTimeout bounds the wait for a neighbour to remember a version.
	confirmTimeout = 250 * time.Millisecond
	// startServeDelay is how long a node that has just started waits for word that
	// is newer than its start, before it serves what its peers hold.
	startServeDelay = 3 * time.Second
	// linkSettleTime is how long a link is open until all that its peer remembers has
	// come over it.
	linkSettleTime = 500 * time.Millisecond
)

// versions is what a node holds of the configuration.
type versions struct {
	number       uint64
	hash         snapshot.Hash
	content      map[snapshot.Hash][]byte
	contentOrder []snapshot.Hash // the keys of content, oldest first
	// previousHash and previousNumber are the version that was in use before.
	previousHash   snapshot.Hash
	previousNumber uint64
	// floor is the highest version that this host is known to have served,
	// before a restart too.
	floor uint64
	// ready is set once the node may serve; it is never unset.
	ready bool
	// startedAt is the time of the first Tick.
	startedAt time.Time
	// everLinked is set once any peer has been linked with.
	everLinked bool
	// peerVersions is the highest version that each neighbour was seen to use.
	peerVersions map[string]uint64
	pending      pendingFetch
	lastDelta    delta
	// staged is verified but not yet served: the node is not ready, or nobody
	// else is known to remember it yet.
	staged   *snapshot.Snapshot
	stagedAt time.Time
	// confirmedInDomain is set once another node of the domain is known to remember that
	// this one holds the version.
	confirmedInDomain bool
	// remoteFloor is the highest version that is known to be held in another
	// domain, with the knowledge that this one uses it.
	remoteFloor uint64
	// domainVersions is the highest version that each domain was seen to use.
	domainVersions map[string]uint64
}

// pendingFetch is a version that is being fetched.
type pendingFetch struct {
	number      uint64
	hash        snapshot.Hash
	sources     []LinkID // who has it, best last
	requested   bool
	requestedAt time.Time
	tries       int
	// fullOnly is set when a difference turned out not to fit.
	fullOnly bool
	// readingStore is set while the object store is asked.
	readingStore bool
}

// delta is the last difference that was made: the children of a node mostly
// ask for the same one.
type delta struct {
	base, hash snapshot.Hash
	bytes      []byte
}

func newVersions() versions {
	return versions{
		content:        make(map[snapshot.Hash][]byte),
		peerVersions:   make(map[string]uint64),
		domainVersions: make(map[string]uint64),
	}
}

func (v *versions) keep(hash snapshot.Hash, b []byte) {
	if _, ok := v.content[hash]; ok {
		return
	}
	v.content[hash] = b
	v.contentOrder = append(v.contentOrder, hash)
	for len(v.contentOrder) > maxKeptVersions || (len(v.contentOrder) > 2 && v.keptBytes() > maxKeptBytes) {
		delete(v.content, v.contentOrder[0])
		v.contentOrder = v.contentOrder[1:]
	}
}

func (v *versions) keptBytes() int {
	n := 0
	for _, b := range v.content {
		n += len(b)
	}
	return n
}

// dropAboveHead gives up a version above the head: the head is the authority, and
// a number that it has not reached can only have come from a peer in error.
func (v *versions) dropAboveHead(head uint64) {
	if v.pending.number > head && v.pending.tries >= minTriesBeforeDrop {
		v.pending = pendingFetch{}
	}
}

func (v *versions) removeSource(id LinkID) {
	for i, s := range v.pending.sources {
		if s == id {
			v.pending.sources = append(v.pending.sources[:i:i], v.pending.sources[i+1:]...)
			return
		}
	}
}

// onPeerVersion notes that a peer holds a version.
func (c *Core) onPeerVersion(l *link, number uint64, hash snapshot.Hash) {
	l.version = max(l.version, number)
	if number > c.version.number {
		c.requestVersion(number, hash, l.id)
		return
	}
	c.notifyIfBehind(l, number)
}

// requestVersion starts to fetch a version, or adds one more source for it.
func (c *Core) requestVersion(number uint64, hash snapshot.Hash, from LinkID) {
	w := &c.version.pending
	if number < w.number || number <= c.version.number {
		return
	}
	if number > w.number || hash != w.hash {
		c.version.pending = pendingFetch{number: number, hash: hash}
		w = &c.version.pending
	}
	if from != 0 && len(w.sources) < maxSources {
		w.sources = append(w.sources, from)
	}
	if b, ok := c.version.content[hash]; ok {
		c.acceptVersion(number, hash, b)
		return
	}
	if w.requested {
		return
	}
	if at := c.earliestFetch(); at.After(c.now) {
		// As if it had been asked for then in vain: retryFetch goes on from there.
		w.requested, w.requestedAt, w.tries = true, at.Add(-hedgeDelay), 1
		return
	}
	c.requestFromNext()
}

// requestFromNext asks the next source for the wanted version, in the end the store.
func (c *Core) requestFromNext() {
	w := &c.version.pending
	w.requested = true
	w.requestedAt = c.now
	w.tries++
	for len(w.sources) > 0 {
		id := w.sources[len(w.sources)-1]
		w.sources = w.sources[:len(w.sources)-1]
		l := c.links[id]
		if l == nil {
			continue
		}
		have := c.version.hash
		if w.fullOnly {
			have = snapshot.Hash{}
		}
		c.send(l, Fetch{w.number, w.hash, have})
		return
	}
	if w.readingStore || c.cfg.DelegatePolling {
		return
	}
	w.readingStore = true
	c.emit(ReadObject{w.hash})
}

func (c *Core) tickVersion() {
	v := &c.version
	if v.startedAt.IsZero() {
		v.startedAt = c.now
	}
	c.retryFetch()
	for _, l := range c.sortedLinks() {
		c.notifyLazy(l)
	}
	c.becomeReady()
	c.serve()
}

// retryFetch goes on to the next source when one has not answered in time. A
// version that nobody can give in the end is given up: its number may have
// come from a peer in error, and must not keep the node from the true head.
func (c *Core) retryFetch() {
	w := &c.version.pending
	if !w.requested || c.now.Sub(w.requestedAt) <= hedgeDelay*time.Duration(w.tries) {
		return
	}
	if w.tries >= maxFetchTries {
		c.log(event.VersionNotFound, event.Fields{"version": w.number, "tries": w.tries})
		c.version.pending = pendingFetch{}
		return
	}
	if len(w.sources) == 0 {
		c.addSources()
	}
	c.requestFromNext()
}

// addSources collects the links whose peers are known to have the version.
func (c *Core) addSources() {
	w := &c.version.pending
	for _, l := range c.sortedLinks() {
		if l.version >= w.number && len(w.sources) < maxSources {
			w.sources = append(w.sources, l.id)
		}
	}
}

// onFetch answers a peer that asks for a version.
func (c *Core) onFetch(l *link, f Fetch) {
	c.confirmInDomain(l, f.Version)
	b, ok := c.version.content[f.Hash]
	if !ok {
		c.send(l, Content{Version: f.Version, Hash: f.Hash})
		return
	}
	out := Content{Version: f.Version, Hash: f.Hash}
	var base []byte
	if have, ok := c.version.content[f.Base]; ok {
		base = have
		out.Base = f.Base
	}
	p, err := c.cachedDelta(out.Base, f.Hash, base, b)
	if err != nil {
		return
	}
	out.Packed = p
	c.recordPeerVersion(l, f.Version)
	c.send(l, out)
}

// onContent takes a version from a peer. What doesn't fit is dropped whole: the
// node goes on with the version that it has and asks somebody else.
func (c *Core) onContent(l *link, f Content) {
	if f.Push && f.Version > c.version.number && c.applyPush(f) {
		c.onPush(l, f)
		return
	}
	if f.Push {
		c.onPush(l, f)
	}
	w := &c.version.pending
	if f.Push || f.Version != w.number || f.Hash != w.hash || f.Version <= c.version.number {
		return
	}
	if len(f.Packed) == 0 {
		c.requestFromNext()
		return
	}
	base := c.version.content[f.Base]
	if !f.Base.IsZero() && base == nil {
		w.fullOnly = true
		c.requestFull(l)
		return
	}
	if !c.applyContent(l.host, base, f) {
		w.fullOnly = true
		c.requestFromNext()
		return
	}
	c.acknowledge(l, f.Version)
	c.confirmInDomain(l, f.Version)
}

// requestFull asks the same source once more, for the whole this time.
func (c *Core) requestFull(l *link) {
	c.version.pending.sources = append(c.version.pending.sources, l.id)
	c.requestFromNext()
}

func (c *Core) logRefused(from string, number uint64, err error) {
	c.log(event.VersionRefused, event.Fields{event.Subject: from, "version": number, "error": err.Error()})
}

func (c *Core) onObjectRead(m ObjectRead) {
	w := &c.version.pending
	if m.Hash != w.hash || w.number <= c.version.number {
		return
	}
	w.readingStore = false
	if m.Err != nil {
		c.log(event.VersionNotFound, event.Fields{"version": w.number, "error": m.Err.Error()})
		return
	}
	c.acceptVersion(w.number, m.Hash, m.Content)
}

func (c *Core) onCommitted(m Committed) {
	c.acceptVersion(m.Version, m.Hash, m.Content)
	at := m.At
	if at.IsZero() {
		at = c.now
	}
	c.watch.cursor = max(c.watch.cursor, m.Cursor)
	c.recordHeadRead(m.Version, at)
	if m.Cursor > 0 {
		c.broadcastPoll(at)
	}
}

// acceptVersion verifies a version and, if it is whole and newer, puts it into use.
// It tells whether the content was whole.
func (c *Core) acceptVersion(number uint64, hash snapshot.Hash, b []byte) bool {
	s, err := snapshot.Open(b, hash)
	if err != nil {
		c.logRefused("", number, err)
		return false
	}
	if number <= c.version.number {
		c.log(event.VersionOld, event.Fields{"version": number, "inuse": c.version.number})
		return true
	}
	c.version.keep(hash, b)
	c.setVersion(number, hash, s)
	return true
}
