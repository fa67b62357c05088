package peer

import (
	"time"

	"briarrock.example/mesh/snapshot"
)

// notifyIfBehind pushes or announces the version in use to a peer whose version,
// peerVersion, is older. A lost notice is sent again when the peer's heartbeat still
// shows an older version.
func (c *Core) notifyIfBehind(l *link, peerVersion uint64) {
	if peerVersion >= c.version.number {
		return
	}
	if l.announced == c.version.number && c.now.Sub(l.announcedAt) < heartbeatInterval {
		return
	}
	heldRemotely := c.version.remoteFloor >= c.version.number || l.domain != c.self.Domain
	// With delegated polling the peer may poll the platform too and receive the
	// version that way. A notice is enough: a peer that needs the version fetches it.
	if c.cfg.DelegatePolling || !c.pushVersion(l, peerVersion, heldRemotely) {
		c.send(l, VersionNotice{c.version.number, c.version.hash, heldRemotely})
	}
	l.announced = c.version.number
	l.announcedAt = c.now
}

// pushVersion sends a delta to the version in use instead of a notice, if the peer
// holds the previous version and the delta is small. This saves the round trip of a
// fetch, and the delta is mostly smaller than the notice. It reports whether the
// delta was sent.
func (c *Core) pushVersion(l *link, peerVersion uint64, heldRemotely bool) bool {
	v := &c.version
	base, ok := v.content[v.previousHash]
	if !ok || peerVersion != v.previousNumber {
		return false
	}
	packed, err := c.cachedDelta(v.previousHash, v.hash, base, v.content[v.hash])
	if err != nil || len(packed) > c.maxPush(l) {
		return false
	}
	c.send(l, Content{Version: v.number, Hash: v.hash, Base: v.previousHash, Packed: packed, HeldRemotely: heldRemotely, Push: true})
	c.recordPeerVersion(l, v.number)
	return true
}

// maxPush returns the size limit in bytes of a delta pushed over a link. It is lower
// within a region, where a peer may get the same push over several links, than over
// a paid inter-region link, which carries one copy.
func (c *Core) maxPush(l *link) int {
	if l.region != c.self.Region {
		return maxPushInterRegion
	}
	return maxPushInRegion
}

// onVersionAck handles a peer's acknowledgement that a version has arrived there.
func (c *Core) onVersionAck(l *link, f VersionAck) {
	l.version = max(l.version, f.Version)
	c.recordPeerVersion(l, f.Version)
	c.noteRemoteVersion(l, f.Version)
	c.confirmInDomain(l, f.Version)
}

// onPush handles a pushed version as a notice and acknowledges it: the sender waits
// for the acknowledgement, unless this node's own notice of the version crossed the
// push in transit.
func (c *Core) onPush(l *link, f Content) {
	c.onVersionNotice(l, VersionNotice{f.Version, f.Hash, f.HeldRemotely})
	c.acknowledge(l, f.Version)
}

// acknowledge sends a VersionAck to the peer that sent a version, unless this node
// has already announced that version to the peer.
func (c *Core) acknowledge(l *link, number uint64) {
	if l.announced < number {
		l.announced, l.announcedAt = number, c.now
		c.send(l, VersionAck{number})
	}
}

// onVersionNotice handles a peer's notice that it holds a version. The peer may be
// about to serve it, so the version is recorded as the peer's floor.
func (c *Core) onVersionNotice(l *link, f VersionNotice) {
	c.recordPeerVersion(l, f.Version)
	c.noteRemoteVersion(l, f.Version)
	if f.HeldRemotely {
		c.version.remoteFloor = max(c.version.remoteFloor, f.Version)
	}
	c.onPeerVersion(l, f.Version, f.Hash)
	c.confirmInDomain(l, f.Version)
}

// notifyLazy announces the version in use over a lazy link, if the peer is still
// behind after a random delay of one to two times lazyDelay. By then the link between
// the regions' other gateway nodes has mostly delivered the version, and this link
// carries nothing.
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

// cachedDelta returns b packed against base, from the cache if the last delta was
// for the same pair of hashes. A nil base packs the full snapshot.
func (c *Core) cachedDelta(baseHash, hash snapshot.Hash, base, b []byte) ([]byte, error) {
	last := &c.version.lastDelta
	if last.bytes != nil && last.base == baseHash && last.hash == hash {
		return last.bytes, nil
	}
	packed, err := snapshot.Pack(base, b)
	if err != nil {
		return nil, err
	}
	*last = delta{baseHash, hash, packed}
	return packed, nil
}

// applyPush puts a pushed version into use. It returns false if this node doesn't
// hold the base or the delta is invalid; the caller then treats the push as a notice.
func (c *Core) applyPush(l *link, f Content) bool {
	base, ok := c.version.content[f.Base]
	if !ok {
		return false
	}
	if f.HeldRemotely {
		c.version.remoteFloor = max(c.version.remoteFloor, f.Version)
	}
	return c.applyContent(l.host, base, f)
}

// applyContent unpacks a version received from a peer and puts it into use if it is
// valid; from is the host that sent it. The received delta is cached and
// forwarded as it is, so that only the first node packs it.
func (c *Core) applyContent(from string, base []byte, f Content) bool {
	b, err := snapshot.Unpack(base, f.Packed)
	if err != nil {
		c.logRefused(from, f.Version, err)
		return false
	}
	previous := c.version.lastDelta
	c.version.lastDelta = delta{f.Base, f.Hash, f.Packed}
	if c.acceptVersion(f.Version, f.Hash, b, from) {
		return true
	}
	c.version.lastDelta = previous
	return false
}
