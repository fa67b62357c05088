package peer

import (
	"time"

	"briarrock.example/mesh/snapshot"
)

// peerBehind tells a peer of the version in use if it does not have it. A
// notice that was lost is told again when the peer's heartbeat still shows an
// older version.
func (c *Core) peerBehind(l *link, number uint64) {
	if number >= c.version.number {
		return
	}
	if l.announced == c.version.number && c.now.Sub(l.announcedAt) < heartbeatInterval {
		return
	}
	out := c.version.outside >= c.version.number || l.domain != c.self.Domain
	// Where the platform's adapter reads, the peer may watch as well and be about
	// to have the version: the notice of it is enough, and who wants it asks.
	if c.cfg.DelegatePolling || !c.push(l, number, out) {
		c.send(l, VersionNotice{c.version.number, c.version.hash, out})
	}
	l.announced = c.version.number
	l.announcedAt = c.now
}

// push sends the version in use itself instead of a notice of it, where the
// peer has the version before and the difference is small: that spares it the
// round trip of a fetch. A difference is mostly smaller than the notice.
func (c *Core) push(l *link, has uint64, out bool) bool {
	v := &c.version
	base, ok := v.content[v.before]
	if !ok || has != v.numberBefore {
		return false
	}
	p, err := c.packOnce(v.before, v.hash, base, v.content[v.hash])
	if err != nil || len(p) > c.pushMost(l) {
		return false
	}
	c.send(l, Content{Version: v.number, Hash: v.hash, Base: v.before, Packed: p, HeldRemotely: out, Push: true})
	c.sawUse(l, v.number)
	return true
}

// pushMost bounds what is pushed over a link. Within a region a peer may get
// the same push from several links; over the paid link there is one copy.
func (c *Core) pushMost(l *link) int {
	if l.region != c.self.Region {
		return pushPaid
	}
	return pushNear
}

// have takes a peer's word that a push has arrived.
func (c *Core) onVersionAck(l *link, f VersionAck) {
	l.version = max(l.version, f.Version)
	c.sawUse(l, f.Version)
	c.remoteFloor(l, f.Version)
	c.remembered(l, f.Version)
}

// pushed takes a version that was not asked for. Its sender waits to hear
// that it has arrived, unless ours has crossed it on the way.
func (c *Core) pushed(l *link, f Content) {
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

// notice takes a peer's word that it holds a version. It may be about to
// serve it, so that is remembered as its floor.
func (c *Core) onVersionNotice(l *link, f VersionNotice) {
	c.sawUse(l, f.Version)
	c.remoteFloor(l, f.Version)
	if f.HeldRemotely {
		c.version.outside = max(c.version.outside, f.Version)
	}
	c.heardVersion(l, f.Version, f.Hash)
	c.remembered(l, f.Version)
}

// tellLazy tells a lazy link of the version in use, after a delay in which
// the other carriers' link has mostly done it at no cost here.
func (c *Core) tellLazy(l *link) {
	if !l.lazy || l.version >= c.version.number {
		l.lazyNoticeAt = time.Time{}
		return
	}
	if l.lazyNoticeAt.IsZero() {
		l.lazyNoticeAt = c.now.Add(lazyAfter + c.jitter(lazyAfter))
		return
	}
	if !c.now.Before(l.lazyNoticeAt) {
		c.peerBehind(l, l.version)
	}
}

func (c *Core) packOnce(baseHash, hash snapshot.Hash, base, b []byte) ([]byte, error) {
	p := &c.version.pack
	if p.bytes != nil && p.base == baseHash && p.hash == hash {
		return p.bytes, nil
	}
	out, err := snapshot.Pack(base, b)
	if err != nil {
		return nil, err
	}
	*p = packed{baseHash, hash, out}
	return out, nil
}

// unpackPush tries to put a pushed version into use. If it doesn't fit, it
// counts as a notice.
func (c *Core) unpackPush(f Content) bool {
	base, ok := c.version.content[f.Base]
	if !ok {
		return false
	}
	if f.HeldRemotely {
		c.version.outside = max(c.version.outside, f.Version)
	}
	return c.unpack("", base, f)
}

// unpack puts a version that came from a peer into use, if it is whole. The
// difference is passed on as it came, so that only the first node packs it.
func (c *Core) unpack(from string, base []byte, f Content) bool {
	b, err := snapshot.Unpack(base, f.Packed)
	if err != nil {
		c.refuse(from, f.Version, err)
		return false
	}
	before := c.version.pack
	c.version.pack = packed{f.Base, f.Hash, f.Packed}
	if c.arrived(f.Version, f.Hash, b) {
		return true
	}
	c.version.pack = before
	return false
}
