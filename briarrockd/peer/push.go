package peer

import (
	"time"

	"briarrock.example/mesh/snapshot"
)

// peerBehind tells a peer of the version in use if it does not have it. A
// notice that was lost is told again when the peer's heartbeat still shows an
// older version.
func (h *Core) peerBehind(l *link, number uint64) {
	if number >= h.version.number {
		return
	}
	if l.told == h.version.number && h.now.Sub(l.toldAt) < beatEvery {
		return
	}
	out := h.version.outside >= h.version.number || l.domain != h.self.Domain
	// Where the platform's adapter reads, the peer may watch as well and be about
	// to have the version: the notice of it is enough, and who wants it asks.
	if h.cfg.DelegatePolling || !h.push(l, number, out) {
		h.send(l, VersionNotice{h.version.number, h.version.hash, out})
	}
	l.told = h.version.number
	l.toldAt = h.now
}

// push sends the version in use itself instead of a notice of it, where the
// peer has the version before and the difference is small: that spares it the
// round trip of a fetch. A difference is mostly smaller than the notice.
func (h *Core) push(l *link, has uint64, out bool) bool {
	v := &h.version
	base, ok := v.content[v.before]
	if !ok || has != v.numberBefore {
		return false
	}
	p, err := h.packOnce(v.before, v.hash, base, v.content[v.hash])
	if err != nil || len(p) > h.pushMost(l) {
		return false
	}
	h.send(l, Content{Version: v.number, Hash: v.hash, Base: v.before, Packed: p, HeldRemotely: out, Push: true})
	h.sawUse(l, v.number)
	return true
}

// pushMost bounds what is pushed over a link. Within a region a peer may get
// the same push from several links; over the paid link there is one copy.
func (h *Core) pushMost(l *link) int {
	if l.region != h.self.Region {
		return pushPaid
	}
	return pushNear
}

// have takes a peer's word that a push has arrived.
func (h *Core) have(l *link, f VersionAck) {
	l.version = max(l.version, f.Version)
	h.sawUse(l, f.Version)
	h.remoteFloor(l, f.Version)
	h.remembered(l, f.Version)
}

// pushed takes a version that was not asked for. Its sender waits to hear
// that it has arrived, unless ours has crossed it on the way.
func (h *Core) pushed(l *link, f Content) {
	h.notice(l, VersionNotice{f.Version, f.Hash, f.HeldRemotely})
	h.acknowledge(l, f.Version)
}

// acknowledge tells who sent a version that it has arrived, unless it has been
// told of the same version from here meanwhile.
func (h *Core) acknowledge(l *link, number uint64) {
	if l.told < number {
		l.told, l.toldAt = number, h.now
		h.send(l, VersionAck{number})
	}
}

// notice takes a peer's word that it holds a version. It may be about to
// serve it, so that is remembered as its floor.
func (h *Core) notice(l *link, f VersionNotice) {
	h.sawUse(l, f.Version)
	h.remoteFloor(l, f.Version)
	if f.HeldRemotely {
		h.version.outside = max(h.version.outside, f.Version)
	}
	h.heardVersion(l, f.Version, f.Hash)
	h.remembered(l, f.Version)
}

// tellLazy tells a lazy link of the version in use, after a delay in which
// the other carriers' link has mostly done it at no cost here.
func (h *Core) tellLazy(l *link) {
	if !l.lazy || l.version >= h.version.number {
		l.owed = time.Time{}
		return
	}
	if l.owed.IsZero() {
		l.owed = h.now.Add(lazyAfter + h.jitter(lazyAfter))
		return
	}
	if !h.now.Before(l.owed) {
		h.peerBehind(l, l.version)
	}
}

func (h *Core) packOnce(baseHash, hash snapshot.Hash, base, b []byte) ([]byte, error) {
	p := &h.version.pack
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
func (h *Core) unpackPush(f Content) bool {
	base, ok := h.version.content[f.Base]
	if !ok {
		return false
	}
	if f.HeldRemotely {
		h.version.outside = max(h.version.outside, f.Version)
	}
	return h.unpack("", base, f)
}

// unpack puts a version that came from a peer into use, if it is whole. The
// difference is passed on as it came, so that only the first node packs it.
func (h *Core) unpack(from string, base []byte, f Content) bool {
	b, err := snapshot.Unpack(base, f.Packed)
	if err != nil {
		h.refuse(from, f.Version, err)
		return false
	}
	before := h.version.pack
	h.version.pack = packed{f.Base, f.Hash, f.Packed}
	if h.arrived(f.Version, f.Hash, b) {
		return true
	}
	h.version.pack = before
	return false
}
