package peer

import (
	"time"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

const (
	// maxKeptVersions is the number of versions whose encoded snapshots a node
	// caches, as delta bases and to answer fetches from peers with an older
	// version. maxKeptBytes bounds the cache in bytes; the newest two versions
	// are kept even above it. Eight snapshots of 400 KB would be the largest
	// part of a node's memory.
	maxKeptVersions = 8
	maxKeptBytes    = 512 << 10
	// hedgeDelay is how long a fetch may take before it is sent to another source.
	hedgeDelay = 400 * time.Millisecond
	// lazyDelay is the minimum delay before a version is announced over a lazy
	// link; see notifyLazy.
	lazyDelay = 400 * time.Millisecond
	// maxSources bounds the links recorded as sources of the pending version.
	maxSources = 16
	// maxAsked bounds the versions that peers have been asked for and that are not in use.
	maxAsked = 64
	// maxFetchTries bounds the attempts to fetch one version. After that the
	// version is dropped, and the next notice or head read starts a new fetch.
	maxFetchTries = 12
	// minTriesBeforeDrop is the number of fetch attempts before a version above
	// the head is dropped. With fewer attempts, the head may have been read just
	// before the version was committed.
	minTriesBeforeDrop = 4
	// maxPushInRegion and maxPushInterRegion bound, in bytes, the deltas that are
	// pushed without a fetch: within a region, and over a paid inter-region link.
	maxPushInRegion    = 256
	maxPushInterRegion = 4 << 10
	// confirmTimeout bounds how long a version waits to be served until other
	// nodes have recorded that this one holds it; see serve.
	confirmTimeout = 250 * time.Millisecond
	// startServeDelay is how long a restarted node waits for a head read that is
	// newer than its start before it serves the version of its peers.
	startServeDelay = 3 * time.Second
	// linkSettleTime is the time after the opening of a link by which the version
	// floors known to its peer have arrived over it.
	linkSettleTime = 500 * time.Millisecond
)

// versions is a node's state of the configuration: the version in use, cached
// snapshots, the pending fetch, and the version floor.
type versions struct {
	number       uint64
	hash         snapshot.Hash
	content      map[snapshot.Hash][]byte // cached encoded snapshots
	contentOrder []snapshot.Hash          // the keys of content, oldest first
	// previousHash and previousNumber identify the version in use before this one.
	previousHash   snapshot.Hash
	previousNumber uint64
	// floor is the highest version that this host is known to have served,
	// including before a restart. A node below its floor is not ready.
	floor uint64
	// ready is set once the node may serve, and stays set.
	ready bool
	// startedAt is the time of the first Tick.
	startedAt time.Time
	// everLinked is set once a link to any peer has been open.
	everLinked bool
	// peerVersions is, by host, the highest version recorded for each peer of
	// this node's domain.
	peerVersions map[string]uint64
	pending      pendingFetch
	// lower is a version below the pending one; see fetchLower.
	lower lowerVersion
	// asked has, by hash, the versions above the one in use that peers or the object store
	// were asked for. An answer is used even if a newer version has become known since.
	asked     map[snapshot.Hash]uint64
	lastDelta delta
	// staged is verified but not yet served, because the node is not ready or
	// because no other node has confirmed the version; see serve. It was staged
	// at stagedAt.
	staged   *snapshot.Snapshot
	stagedAt time.Time
	// confirmedInDomain is set once another node of the domain has recorded that
	// this node holds the version in use.
	confirmedInDomain bool
	// remoteFloor is the highest version that nodes of another domain hold and
	// have recorded as used by this node's domain.
	remoteFloor uint64
	// domainVersions is, by domain, the highest version recorded for any of its
	// nodes.
	domainVersions map[string]uint64
	lag            versionLag
}

// Sources of versions that no peer has sent: this node's own polls, and its cache.
const (
	platformSource = "platform"
	cacheSource    = "cache"
)

// pendingFetch is the version that is being fetched; its number is 0 if none is.
type pendingFetch struct {
	number  uint64
	hash    snapshot.Hash
	sources []LinkID // links whose peers hold it, preferred last
	from    LinkID   // the link of the last fetch
	// fetchAt is the time of the first fetch, while it is in the future; else zero.
	fetchAt     time.Time
	requested   bool
	requestedAt time.Time
	tries       int // attempts so far
	// fullOnly is set after a delta could not be applied: the next fetch requests
	// the full snapshot.
	fullOnly bool
	// readingStore is set while a read from the object store is outstanding.
	readingStore bool
}

// lowerVersion is a version above the one in use that a peer holds, and that is not fetched
// because a higher one has been named. Its number is 0 if there is none.
type lowerVersion struct {
	number uint64
	hash   snapshot.Hash
	source LinkID
	since  time.Time
}

// delta is a packed delta from one snapshot to another. The last one is cached,
// since the children of a node in the tree mostly fetch the same delta.
type delta struct {
	base, hash snapshot.Hash
	bytes      []byte
}

func newVersions() versions {
	return versions{
		content:        make(map[snapshot.Hash][]byte),
		asked:          make(map[snapshot.Hash]uint64),
		peerVersions:   make(map[string]uint64),
		domainVersions: make(map[string]uint64),
	}
}

// keep caches the encoded snapshot b, and evicts the oldest snapshots beyond
// maxKeptVersions and maxKeptBytes.
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

// dropAboveHead drops the pending fetch if its version is above the head. The
// head is authoritative, so a higher number can only come from a faulty peer.
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

// onPeerVersion handles the information that a peer holds a version: it starts a
// fetch if the version is newer than the one in use, and else notifies the peer
// if it is behind.
func (c *Core) onPeerVersion(l *link, number uint64, hash snapshot.Hash) {
	l.version = max(l.version, number)
	if number > c.version.number {
		c.requestVersion(number, hash, l.id)
		return
	}
	c.notifyIfBehind(l, number)
}

// requestVersion starts to fetch a version, or adds a source to the fetch that is
// pending for it. A from of 0 adds no source.
func (c *Core) requestVersion(number uint64, hash snapshot.Hash, from LinkID) {
	c.nameVersion(number, c.linkSource(from))
	p := &c.version.pending
	if number <= c.version.number {
		return
	}
	if number < p.number {
		c.keepLower(number, hash, from)
		return
	}
	if number > p.number || hash != p.hash {
		if len(p.sources) > 0 {
			c.keepLower(p.number, p.hash, p.sources[len(p.sources)-1])
		} else if p.requested {
			c.keepLower(p.number, p.hash, p.from)
		}
		// The first fetch keeps its time: in a series of changes it would be put off until
		// the series ends.
		c.version.pending = pendingFetch{number: number, hash: hash, fetchAt: p.fetchAt}
		p = &c.version.pending
	}
	if from != 0 && len(p.sources) < maxSources {
		p.sources = append(p.sources, from)
	}
	if b, ok := c.version.content[hash]; ok {
		c.acceptVersion(number, hash, b, cacheSource)
		return
	}
	if !p.requested && p.fetchAt.IsZero() {
		c.scheduleFetch()
	}
}

// keepLower keeps a version that is not to be fetched now, unless a still lower one is kept.
func (c *Core) keepLower(number uint64, hash snapshot.Hash, source LinkID) {
	x := &c.version.lower
	if source == 0 || (x.number > c.version.number && x.number <= number) {
		return
	}
	since := c.now
	if x.number > c.version.number {
		since = x.since
	}
	*x = lowerVersion{number, hash, source, since}
}

// fetchLower fetches the kept version if the higher ones have not arrived within hedgeDelay. They
// may not exist: their numbers may come from a faulty peer.
func (c *Core) fetchLower() {
	x := c.version.lower
	if x.number > c.version.number && c.now.Sub(x.since) <= hedgeDelay {
		return
	}
	c.version.lower = lowerVersion{}
	if l := c.links[x.source]; l != nil && x.number > c.version.number {
		c.ask(x.number, x.hash)
		c.send(l, Fetch{x.number, x.hash, c.version.hash})
	}
}

// ask records that peers or the object store are asked for a version. Beyond maxAsked the
// highest one is forgotten.
func (c *Core) ask(number uint64, hash snapshot.Hash) {
	c.version.lag.recordFetch(number, c.now)
	asked := c.version.asked
	asked[hash] = number
	if len(asked) <= maxAsked {
		return
	}
	highest := hash
	for h, n := range asked {
		if n > asked[highest] {
			highest = h
		}
	}
	delete(asked, highest)
}

// scheduleFetch sends the first fetch for the pending version, or sets its time.
func (c *Core) scheduleFetch() {
	if at := c.earliestFetch(); at.After(c.now) {
		c.version.pending.fetchAt = at
		return
	}
	c.requestFromNext()
}

// requestFromNext sends a fetch for the pending version to the next source. With no
// source left, it reads the version from the object store, unless polling is delegated.
func (c *Core) requestFromNext() {
	p := &c.version.pending
	p.fetchAt = time.Time{}
	p.requested = true
	p.requestedAt = c.now
	p.tries++
	c.ask(p.number, p.hash)
	for len(p.sources) > 0 {
		id := p.sources[len(p.sources)-1]
		p.sources = p.sources[:len(p.sources)-1]
		l := c.links[id]
		if l == nil {
			continue
		}
		base := c.version.hash
		if p.fullOnly {
			base = snapshot.Hash{}
		}
		p.from = id
		c.send(l, Fetch{p.number, p.hash, base})
		return
	}
	if p.readingStore || c.cfg.DelegatePolling {
		return
	}
	p.readingStore = true
	c.emit(ReadObject{p.hash})
}

func (c *Core) tickVersion() {
	v := &c.version
	if v.startedAt.IsZero() {
		v.startedAt = c.now
	}
	c.retryFetch()
	c.fetchLower()
	c.logLag()
	for _, l := range c.sortedLinks() {
		c.notifyLazy(l)
	}
	c.becomeReady()
	c.serve()
}

// retryFetch requests the pending version from the next source if the last one has
// not answered in time; the timeout grows by hedgeDelay with each attempt. After
// maxFetchTries the version is dropped: its number may come from a faulty peer,
// and must not block the fetch of the true head.
func (c *Core) retryFetch() {
	p := &c.version.pending
	if !p.fetchAt.IsZero() && !c.now.Before(p.fetchAt) {
		if len(p.sources) == 0 {
			c.addSources()
		}
		c.requestFromNext()
		return
	}
	if !p.requested || c.now.Sub(p.requestedAt) <= hedgeDelay*time.Duration(p.tries) {
		return
	}
	if p.tries >= maxFetchTries {
		c.log(event.VersionNotFound, event.Fields{"version": p.number, "tries": p.tries})
		c.version.pending = pendingFetch{}
		return
	}
	if len(p.sources) == 0 {
		c.addSources()
	}
	c.requestFromNext()
}

// addSources adds the links whose peers are known to hold the pending version.
func (c *Core) addSources() {
	p := &c.version.pending
	for _, l := range c.sortedLinks() {
		if l.version >= p.number && len(p.sources) < maxSources {
			p.sources = append(p.sources, l.id)
		}
	}
}

// onFetch answers a peer's fetch: with a delta if this node holds the base that the
// peer named, else with the full snapshot, or empty if it doesn't hold the version.
func (c *Core) onFetch(l *link, f Fetch) {
	c.confirmInDomain(l, f.Version)
	b, ok := c.version.content[f.Hash]
	if !ok {
		c.send(l, Content{Version: f.Version, Hash: f.Hash})
		return
	}
	resp := Content{Version: f.Version, Hash: f.Hash}
	var base []byte
	if cached, ok := c.version.content[f.Base]; ok {
		base = cached
		resp.Base = f.Base
	}
	packed, err := c.cachedDelta(resp.Base, f.Hash, base, b)
	if err != nil {
		return
	}
	resp.Packed = packed
	c.recordPeerVersion(l, f.Version)
	c.send(l, resp)
}

// onContent handles a version sent by a peer, pushed or in answer to a fetch.
// Content that can't be applied is dropped as a whole: the node keeps the version
// in use and requests the new one from another source.
func (c *Core) onContent(l *link, f Content) {
	if f.Push && f.Version > c.version.number && c.applyPush(l, f) {
		c.onPush(l, f)
		return
	}
	if f.Push {
		c.onPush(l, f)
	}
	if f.Push || f.Version <= c.version.number || c.version.asked[f.Hash] != f.Version {
		return
	}
	p := &c.version.pending
	current := f.Version == p.number && f.Hash == p.hash
	base := c.version.content[f.Base]
	missingBase := !f.Base.IsZero() && base == nil
	switch {
	case len(f.Packed) > 0 && !missingBase && c.applyContent(l.host, base, f):
	case !current:
		return // the newer version is being fetched
	case len(f.Packed) == 0:
		c.requestFromNext()
		return
	case missingBase:
		p.fullOnly = true
		c.requestFull(l)
		return
	default:
		p.fullOnly = true
		c.requestFromNext()
		return
	}
	c.acknowledge(l, f.Version)
	c.confirmInDomain(l, f.Version)
}

// requestFull repeats the fetch at the same source, for the full snapshot.
func (c *Core) requestFull(l *link) {
	c.version.pending.sources = append(c.version.pending.sources, l.id)
	c.requestFromNext()
}

func (c *Core) logRefused(from string, number uint64, err error) {
	c.log(event.VersionRefused, event.Fields{event.Subject: from, "version": number, "error": err.Error()})
}

func (c *Core) onObjectRead(m ObjectRead) {
	number := c.version.asked[m.Hash]
	if number <= c.version.number {
		return
	}
	if p := &c.version.pending; p.hash == m.Hash {
		p.readingStore = false
	}
	if m.Err != nil {
		c.log(event.VersionNotFound, event.Fields{"version": number, "error": m.Err.Error()})
		return
	}
	c.acceptVersion(number, m.Hash, m.Content, platformSource)
}

func (c *Core) onCommitted(m Committed) {
	if !c.acceptVersion(m.Version, m.Hash, m.Content, platformSource) {
		return // the read shows nothing about the version in use
	}
	at := m.At
	if at.IsZero() {
		at = c.now
	}
	c.watch.cursor = max(c.watch.cursor, m.Cursor)
	c.addOwnProof(m.Version, m.Sent)
	c.recordHeadRead(m.Version, at)
	if m.Cursor > 0 {
		c.broadcastPoll(at)
	}
}

// acceptVersion verifies the encoded snapshot b of a version and puts it into use
// if it is newer than the one in use. source is the peer that sent it, or platformSource.
// It reports whether b is valid.
func (c *Core) acceptVersion(number uint64, hash snapshot.Hash, b []byte, source string) bool {
	s, err := snapshot.Open(b, hash)
	if err != nil {
		c.logRefused(source, number, err)
		return false
	}
	if number <= c.version.number {
		c.log(event.VersionOld, event.Fields{"version": number, "inuse": c.version.number})
		return true
	}
	c.version.keep(hash, b)
	c.setVersion(number, hash, s, source)
	return true
}
