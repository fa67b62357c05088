package peer

import (
	"maps"

	"briarrock.example/mesh/snapshot"
)

// recordPeerVersion records the version that a peer uses, so that this node can send
// it as a floor after the peer restarts. It is recorded for the peer itself if it
// belongs to this node's domain, and for the peer's whole domain in case all nodes
// there restart.
func (c *Core) recordPeerVersion(l *link, version uint64) {
	v := &c.version
	v.everLinked = true
	v.domainVersions[l.domain] = max(v.domainVersions[l.domain], version)
	if len(v.domainVersions) > 2*maxDomains {
		maps.DeleteFunc(v.domainVersions, func(name string, _ uint64) bool { return c.table.domains[name] == nil })
	}
	if l.domain == c.self.Domain && c.table.byHost[l.host] != nil {
		v.peerVersions[l.host] = max(v.peerVersions[l.host], version)
	}
}

// raiseFloor raises this host's version floor to the one that a peer has recorded.
func (c *Core) raiseFloor(floor uint64) {
	c.version.floor = max(c.version.floor, floor)
}

// noteRemoteVersion raises the remote floor to a version that a peer of another
// domain holds: that peer has recorded that this domain uses the version. The peer
// may hold a version that this node does not use yet, so the floor is not raised
// above the version in use.
func (c *Core) noteRemoteVersion(l *link, version uint64) {
	if l.domain == c.self.Domain || version == 0 {
		return
	}
	c.raiseRemoteFloor(l.id, min(version, max(c.version.number, c.version.remoteFloor)))
}

// raiseRemoteFloor raises the remote floor and floods it within the domain, except
// over the link that it came from. A node that is not ready raises its own floor to
// it as well.
func (c *Core) raiseRemoteFloor(from LinkID, version uint64) {
	v := &c.version
	if version <= v.remoteFloor {
		return
	}
	v.remoteFloor = version
	if !v.ready {
		c.raiseFloor(version)
	}
	for _, l := range c.sortedLinks() {
		if l.id != from && l.domain == c.self.Domain {
			c.send(l, FloorNotice{version})
		}
	}
	c.serve()
}

// setVersion puts a version from source into use. Only setVersion changes the number in
// use, and the one check against going back to an older version is in acceptVersion.
func (c *Core) setVersion(number uint64, hash snapshot.Hash, s *snapshot.Snapshot, source string) {
	v := &c.version
	v.previousHash, v.previousNumber = v.hash, v.number
	v.number = number
	v.hash = hash
	v.staged = s
	v.stagedAt = c.now
	v.confirmedInDomain = false
	c.endLag(source)
	maps.DeleteFunc(v.asked, func(_ snapshot.Hash, n uint64) bool { return n <= number })
	if v.pending.number <= number {
		v.pending = pendingFetch{}
	}
	for _, l := range c.sortedLinks() {
		if !l.lazy {
			c.notifyIfBehind(l, l.version)
		}
	}
	c.recordPendingPoll()
	c.becomeReady()
	if !v.ready {
		c.updatePollRole() // callers wait for the poll that confirms the version
	}
	c.serve()
	c.markReportDirty()
}

// serve passes the newest verified version to the proxy, once the node is ready and
// the version is confirmed.
//
// If the host crashed right after serving a version, while the store was down, it
// could restart among peers that had not received the version, and would then
// serve an older one than before. So a version is served only once it is recorded
// by another node of the domain (the one that sent the content or fetched it) and,
// in case the whole domain fails, by another domain. This costs one or two round
// trips, and only in the domain where the version arrives first. If no peer
// answers, the node serves after confirmTimeout. docs/design/floor.md lists the
// cases that remain.
func (c *Core) serve() {
	v := &c.version
	if !v.ready || v.staged == nil {
		return
	}
	if !c.confirmed() {
		return
	}
	c.emit(ServeVersion{v.number, v.hash, v.staged})
	c.logInUse()
	c.useProofs(v.number, v.staged)
	v.staged = nil
}

// confirmed reports whether the staged version may be served: other nodes have
// recorded that this node holds it, or confirmTimeout has passed.
func (c *Core) confirmed() bool {
	v := &c.version
	if c.now.Sub(v.stagedAt) >= confirmTimeout {
		return true
	}
	if !v.confirmedInDomain && c.hasNeighbour() {
		return false
	}
	return v.remoteFloor >= v.number || len(c.table.names()) < 2
}

// hasNeighbour reports whether any link within the domain is open.
func (c *Core) hasNeighbour() bool {
	for _, l := range c.linkByHost {
		if l.domain == c.self.Domain {
			return true
		}
	}
	return false
}

// confirmInDomain marks the version in use as confirmed in the domain if the peer
// belongs to it and has recorded that this node holds that version.
func (c *Core) confirmInDomain(l *link, number uint64) {
	v := &c.version
	if l.domain != c.self.Domain || number < v.number || v.number == 0 {
		return
	}
	v.confirmedInDomain = true
	c.serve()
}

// linkedToAll reports whether polls of the platform fail, and this node has had links
// for linkSettleTime to all peers that could have recorded the versions it served.
// These are its neighbours in the domain and, if it is a bridge node, one member of
// each other domain of the region. A version is served only once one of these peers
// holds it.
func (c *Core) linkedToAll() bool {
	if len(c.links) == 0 || c.watch.failures == 0 {
		return false
	}
	settled := func(l *link) bool { return l != nil && c.now.Sub(l.openedAt) >= linkSettleTime }
	for _, r := range c.neighbours() {
		if !settled(c.linkByHost[r.Host]) {
			return false
		}
	}
	linkedDomains := make(map[string]bool)
	for _, l := range c.linkByHost {
		linkedDomains[l.domain] = linkedDomains[l.domain] || settled(l)
	}
	otherDomains := 0
	for _, name := range c.table.names() {
		if name == c.self.Domain || c.table.domains[name].region != c.self.Region {
			continue
		}
		otherDomains++
		if !linkedDomains[name] && c.orderIndex() < bridgesPerDomain {
			return false
		}
	}
	return otherDomains > 0 || len(c.table.members(c.self.Domain)) > 1
}

// becomeReady marks a node that has just started as ready once it may serve.
//
// A host stores nothing on disk, so after a restart it doesn't know which version it
// served before. If the first peer it links to is behind, it could serve an older
// version than before the restart, and a committed change would disappear on that
// host. A head read after this process started is at least as new as any version
// the host has served, since a version is served only after it is the head. If the
// store is unreachable, the node waits for the peers of its domain, and never serves
// a version below the floor they report. After a failed poll it waits until it is
// linked to all peers that could have recorded such a version (linkedToAll), or else
// for startServeDelay. The node's own read of the head counts more than a floor, which
// may come from a faulty peer.
func (c *Core) becomeReady() {
	v := &c.version
	if v.ready || v.number == 0 || (v.number < v.floor && !c.watch.ownPollCounted) {
		return
	}
	fresh := c.watch.headReadAt.After(c.watch.startedAt.Add(headAgeMargin)) || c.watch.ownPollCounted
	waited := !v.startedAt.IsZero() && c.now.Sub(v.startedAt) >= startServeDelay
	if !fresh && !c.linkedToAll() && (!waited || !v.everLinked) {
		return
	}
	v.ready = true
	c.watch.role.noticedAt = laterOf(c.watch.role.noticedAt, c.now)
	c.serve()
}
