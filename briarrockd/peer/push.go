package peer

import (
	"time"

	"briarrock.example/mesh/snapshot"
)

// notifyIfBehind tells a peer of the version in use if it does not have it. A
// notice that was lost is told again when the peer's heartbeat still shows an
// older version.
func (c *Core) notifyIfBehind(l *link, number uint64) {
	if number >= c.version.number {
		return
	}
	if l.announced == c.version.number && c.now.Sub(l.announcedAt) < heartbeatInterval {
		return
	}
	out := c.version.remoteFloor >= c.version.number || l.domain != c.self.Domain
	// Where the platform's adapter reads, the peer may watch as well and be about
	// to have the version: the notice of it is enough, and who wants it asks.
	if c.cfg.DelegatePolling || !c.pushVersion(l, number, out) {
		c.send(l, VersionNotice{c.version.number, c.version.hash, out})
	}
	l.announced = c.version.number
	l.announcedAt = c.now
}

// pushVersion sends the version in use itself instead of a notice of it, where the
// peer has the version before and the difference is small: that spares it the
// round trip of a fetch. A difference is mostly smaller than the notice.
func (c *Core) pushVersion(l *link, has uint64, out bool) bool {
	v := &c.version
	base, ok := v.content[v.previousHash]
	if !ok || has != v.previousNumber {
		return false
	}
	p, err := c.cachedDelta(v.previousHash, v.hash, base, v.content[v.hash])
	if err != nil || len(p) > c.maxPush(l) {
		return false
	}
	c.send(l, Content{Version: v.number, Hash: v.hash, Base: v.previousHash, Packed: p, HeldRemotely: out, Push: true})
	c.recordPeerVersion(l, v.number)
	return true
}

// maxPush bounds what is pushed over a link. Within a region a peer may get
// the same push from several links; over the paid link there is one copy.
func (c *Core) maxPush(l *link) int {
	if l.region != c.self.Region {
		return maxPushInterRegion
	}
	return maxPushInRegion
}

// onVersionAck takes a peer's word that a push has arrived.
func (c *Core) onVersionAck(l *link, f VersionAck) {
	l.version = max(l.version, f.Version)
	c.recordPeerVersion(l, f.Version)
	c.noteRemoteVersion(l, f.Version)
	c.confirmInDomain(l, f.Version)
}

// onPush takes a version that was not asked for. Its sender waits to hear
// that it has arrived, unless ours has crossed it on the way.
func (c *Core) onPush(l *link, f Content) {
	c.onVersionNotice(l, VersionNotice{f.Version, f.Hash, f.HeldRemotely})
	c.acknowledge(l, f.Version)
}

// acknowledge tells who sent a version that it has arrived, unless it has been
// told of the same version from here meanwhile.
func (c *Core) acknowledge(l *link, number uint64) {
	if l.announced < number {
		l.announced, l.announcedAt = number, c.now
		c.send(l, VersionAck{number})
	}
}

// onVersionNotice takes a peer's word that it holds a version. It may be about to
// serve it, so that is remembered as its floor.
func (c *Core) onVersionNotice(l *link, f VersionNotice) {
	c.recordPeerVersion(l, f.Version)
	c.noteRemoteVersion(l, f.Version)
	if f.HeldRemotely {
		c.version.remoteFloor = max(c.version.remoteFloor, f.Version)
	}
	c.onPeerVersion(l, f.Version, f.Hash)
	c.confirmInDomain(l, f.Version)
}

// notifyLazy tells a lazy link of the version in use, after a delay in which
// the other carriers' link has mostly done it at no cost here.
func (c *Core) notifyLazy(l *link) {
	if !l.lazy || l.version >= c.version.number {
		l.lazyNoticeAt = time.Time{}
		return
	}
	if l.lazyNoticeAt.IsZero() {
		l.lazyNoticeAt = c.now.Add(lazyDelay + c.jitter(lazyDelay))
		return
	}
	if !c.now.Before(l.lazyNoticeAt) {
		c.notifyIfBehind(l, l.version)
	}
}

func (c *Core) cachedDelta(baseHash, hash snapshot.Hash, base, b []byte) ([]byte, error) {
	p := &c.version.lastDelta
	if p.bytes != nil && p.base == baseHash && p.hash == hash {
		return p.bytes, nil
	}
	out, err := snapshot.Pack(base, b)
	if err != nil {
		return nil, err
	}
	*p = delta{baseHash, hash, out}
	return out, nil
}

// applyPush tries to put a pushed version into use. If it doesn't fit, it
// counts as a notice.
func (c *Core) applyPush(f Content) bool {
	base, ok := c.version.content[f.Base]
	if !ok {
		return false
	}
	if f.HeldRemotely {
		c.version.remoteFloor = max(c.version.remoteFloor, f.Version)
	}
	return c.applyContent("", base, f)
}

// applyContent puts a version that came from a peer into use, if it is whole. The
// difference is passed on as it came, so that only the first node packs it.
func (c *Core) applyContent(from string, base []byte, f Content) bool {
	b, err := snapshot.Unpack(base, f.Packed)
	if err != nil {
		c.logRefused(from, f.Version, err)
		return false
	}
	before := c.version.lastDelta
	c.version.lastDelta = delta{f.Base, f.Hash, f.Packed}
	if c.acceptVersion(f.Version, f.Hash, b) {
		return true
	}
	c.version.lastDelta = before
	return false
}
