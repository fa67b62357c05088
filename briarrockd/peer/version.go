package peer

import (
	"time"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

const (
	// keepVersions is how many versions' contents a node keeps, to make
	// differences from and to answer peers that are behind, keepBytes how many
	// bytes of them at most beside the newest two: eight of 400 KB would be the
	// largest thing in a node's memory.
	keepVersions = 8
	keepBytes    = 512 << 10
	// hedgeAfter is how long a fetch may take before another source is asked.
	hedgeAfter = 400 * time.Millisecond
	// lazyAfter is how much later a lazy link is told of a version.
	lazyAfter = 400 * time.Millisecond
	// maxSources bounds the links that are remembered as having a version.
	maxSources = 16
	// maxTries bounds the attempts at one version, after which the node goes
	// back to believing its peers and the head anew.
	maxTries = 12
	// quarantineAfter is the number of attempts from which on a version that the
	// head has not reached is given up; before, the head may have been read
	// just before the version was accepted.
	quarantineAfter = 4
	// pushNear and pushPaid bound the differences that are pushed unasked, in
	// bytes, within a region and over the paid link.
	pushNear = 256
	pushPaid = 4 << 10
	// confirmWithin bounds the wait for a neighbour to remember a version.
	confirmWithin = 250 * time.Millisecond
	// serveAfter is how long a node that has just started waits for word that
	// is newer than its start, before it serves what its peers hold.
	serveAfter = 3 * time.Second
	// joinedAfter is how long a link is open until all that its peer remembers has
	// come over it.
	joinedAfter = 500 * time.Millisecond
)

// versions is what a node holds of the configuration.
type versions struct {
	number  uint64
	hash    snapshot.Hash
	content map[snapshot.Hash][]byte
	kept    []snapshot.Hash // the keys of content, oldest first
	// before and numberBefore are the version that was in use before.
	before       snapshot.Hash
	numberBefore uint64
	// floor is the highest version that this host is known to have served,
	// before a restart too.
	floor uint64
	// ready is set once the node may serve; it is never unset.
	ready bool
	// started is the time of the first Tick.
	started time.Time
	// peered is set once any peer has been linked with.
	peered bool
	// seen is the highest version that each neighbour was seen to use.
	seen map[string]uint64
	want want
	pack packed
	// staged is verified but not yet served: the node is not ready, or nobody
	// else is known to remember it yet.
	staged   *snapshot.Snapshot
	stagedAt time.Time
	// known is set once another node of the domain is known to remember that
	// this one holds the version.
	known bool
	// outside is the highest version that is known to be held in another
	// domain, with the knowledge that this one uses it.
	outside uint64
	// domains is the highest version that each domain was seen to use.
	domains map[string]uint64
}

// want is a version that is being fetched.
type want struct {
	number  uint64
	hash    snapshot.Hash
	sources []LinkID // who has it, best last
	asked   bool
	askedAt time.Time
	tries   int
	// whole is set when a difference turned out not to fit.
	whole bool
	// reading is set while the object store is asked.
	reading bool
}

// packed is the last difference that was made: the children of a node mostly
// ask for the same one.
type packed struct {
	base, hash snapshot.Hash
	bytes      []byte
}

func newVersions() versions {
	return versions{
		content: make(map[snapshot.Hash][]byte),
		seen:    make(map[string]uint64),
		domains: make(map[string]uint64),
	}
}

func (v *versions) keep(hash snapshot.Hash, b []byte) {
	if _, ok := v.content[hash]; ok {
		return
	}
	v.content[hash] = b
	v.kept = append(v.kept, hash)
	for len(v.kept) > keepVersions || (len(v.kept) > 2 && v.keptBytes() > keepBytes) {
		delete(v.content, v.kept[0])
		v.kept = v.kept[1:]
	}
}

func (v *versions) keptBytes() int {
	n := 0
	for _, b := range v.content {
		n += len(b)
	}
	return n
}

// quarantine gives up a version above the head: the head is the authority, and
// a number that it has not reached can only have come from a peer in error.
func (v *versions) quarantine(head uint64) {
	if v.want.number > head && v.want.tries >= quarantineAfter {
		v.want = want{}
	}
}

func (v *versions) linkGone(id LinkID) {
	for i, s := range v.want.sources {
		if s == id {
			v.want.sources = append(v.want.sources[:i:i], v.want.sources[i+1:]...)
			return
		}
	}
}

// heardVersion notes that a peer holds a version.
func (c *Core) heardVersion(l *link, number uint64, hash snapshot.Hash) {
	l.version = max(l.version, number)
	if number > c.version.number {
		c.wantVersion(number, hash, l.id)
		return
	}
	c.peerBehind(l, number)
}

// wantVersion starts to fetch a version, or adds one more source for it.
func (c *Core) wantVersion(number uint64, hash snapshot.Hash, from LinkID) {
	w := &c.version.want
	if number < w.number || number <= c.version.number {
		return
	}
	if number > w.number || hash != w.hash {
		c.version.want = want{number: number, hash: hash}
		w = &c.version.want
	}
	if from != 0 && len(w.sources) < maxSources {
		w.sources = append(w.sources, from)
	}
	if b, ok := c.version.content[hash]; ok {
		c.arrived(number, hash, b)
		return
	}
	if w.asked {
		return
	}
	if at := c.fetchAt(); at.After(c.now) {
		// As if it had been asked for then in vain: retryRequest goes on from there.
		w.asked, w.askedAt, w.tries = true, at.Add(-hedgeAfter), 1
		return
	}
	c.ask()
}

// ask asks the next source for the wanted version, in the end the store.
func (c *Core) ask() {
	w := &c.version.want
	w.asked = true
	w.askedAt = c.now
	w.tries++
	for len(w.sources) > 0 {
		id := w.sources[len(w.sources)-1]
		w.sources = w.sources[:len(w.sources)-1]
		l := c.links[id]
		if l == nil {
			continue
		}
		have := c.version.hash
		if w.whole {
			have = snapshot.Hash{}
		}
		c.send(l, Fetch{w.number, w.hash, have})
		return
	}
	if w.reading || c.cfg.DelegatePolling {
		return
	}
	w.reading = true
	c.emit(ReadObject{w.hash})
}

func (c *Core) tickVersion() {
	v := &c.version
	if v.started.IsZero() {
		v.started = c.now
	}
	c.retryRequest()
	for _, l := range c.sortedLinks() {
		c.tellLazy(l)
	}
	c.becomeReady()
	c.serve()
}

// retryRequest goes on to the next source when one has not answered in time. A
// version that nobody can give in the end is given up: its number may have
// come from a peer in error, and must not keep the node from the true head.
func (c *Core) retryRequest() {
	w := &c.version.want
	if !w.asked || c.now.Sub(w.askedAt) <= hedgeAfter*time.Duration(w.tries) {
		return
	}
	if w.tries >= maxTries {
		c.log(event.VersionNotFound, event.Fields{"version": w.number, "tries": w.tries})
		c.version.want = want{}
		return
	}
	if len(w.sources) == 0 {
		c.addSources()
	}
	c.ask()
}

// addSources collects the links whose peers are known to have the version.
func (c *Core) addSources() {
	w := &c.version.want
	for _, l := range c.sortedLinks() {
		if l.version >= w.number && len(w.sources) < maxSources {
			w.sources = append(w.sources, l.id)
		}
	}
}

// fetch answers a peer that asks for a version.
func (c *Core) onFetch(l *link, f Fetch) {
	c.remembered(l, f.Version)
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
	p, err := c.packOnce(out.Base, f.Hash, base, b)
	if err != nil {
		return
	}
	out.Packed = p
	c.sawUse(l, f.Version)
	c.send(l, out)
}

// content takes a version from a peer. What doesn't fit is dropped whole: the
// node goes on with the version that it has and asks somebody else.
func (c *Core) onContent(l *link, f Content) {
	if f.Push && f.Version > c.version.number && c.unpackPush(f) {
		c.pushed(l, f)
		return
	}
	if f.Push {
		c.pushed(l, f)
	}
	w := &c.version.want
	if f.Push || f.Version != w.number || f.Hash != w.hash || f.Version <= c.version.number {
		return
	}
	if len(f.Packed) == 0 {
		c.ask()
		return
	}
	base := c.version.content[f.Base]
	if !f.Base.IsZero() && base == nil {
		w.whole = true
		c.requestAgain(l)
		return
	}
	if !c.unpack(l.host, base, f) {
		w.whole = true
		c.ask()
		return
	}
	c.acknowledge(l, f.Version)
	c.remembered(l, f.Version)
}

// requestAgain asks the same source once more, for the whole this time.
func (c *Core) requestAgain(l *link) {
	c.version.want.sources = append(c.version.want.sources, l.id)
	c.ask()
}

func (c *Core) refuse(from string, number uint64, err error) {
	c.log(event.VersionRefused, event.Fields{event.Subject: from, "version": number, "error": err.Error()})
}

func (c *Core) onObjectRead(m ObjectRead) {
	w := &c.version.want
	if m.Hash != w.hash || w.number <= c.version.number {
		return
	}
	w.reading = false
	if m.Err != nil {
		c.log(event.VersionNotFound, event.Fields{"version": w.number, "error": m.Err.Error()})
		return
	}
	c.arrived(w.number, m.Hash, m.Content)
}

func (c *Core) onCommitted(m Committed) {
	c.arrived(m.Version, m.Hash, m.Content)
	at := m.At
	if at.IsZero() {
		at = c.now
	}
	c.watch.seen = max(c.watch.seen, m.Cursor)
	c.headIs(m.Version, at)
	if m.Cursor > 0 {
		c.broadcastPoll(at)
	}
}

// arrived verifies a version and, if it is whole and newer, puts it into use.
// It tells whether the content was whole.
func (c *Core) arrived(number uint64, hash snapshot.Hash, b []byte) bool {
	s, err := snapshot.Open(b, hash)
	if err != nil {
		c.refuse("", number, err)
		return false
	}
	if number <= c.version.number {
		c.log(event.VersionOld, event.Fields{"version": number, "inuse": c.version.number})
		return true
	}
	c.version.keep(hash, b)
	c.use(number, hash, s)
	return true
}
