package peer

import (
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// recordPeerVersion remembers what a peer uses, so that it can be told its floor after a
// restart: the peer itself if it is of the own domain, and its whole domain,
// in case all of its nodes restart.
func (c *Core) recordPeerVersion(l *link, version uint64) {
	v := &c.version
	v.everLinked = true
	v.domainVersions[l.domain] = max(v.domainVersions[l.domain], version)
	if l.domain == c.self.Domain {
		v.peerVersions[l.host] = max(v.peerVersions[l.host], version)
	}
}

// raiseFloor takes a peer's word for what this host has served before.
func (c *Core) raiseFloor(floor uint64) {
	c.version.floor = max(c.version.floor, floor)
}

// noteRemoteVersion notes that a peer of another domain holds a version, and so
// remembers that this domain uses it.
func (c *Core) noteRemoteVersion(l *link, version uint64) {
	if l.domain == c.self.Domain || version == 0 {
		return
	}
	c.raiseRemoteFloor(l.id, min(version, max(c.version.number, c.version.remoteFloor)))
}

// raiseRemoteFloor takes in that other domains know that this one uses a version,
// and passes it on within the domain. A node that has not served yet takes it
// for its floor.
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

// setVersion puts a version into use. It is the only place where the number changes,
// and the one check that keeps a node from ever going back stands in arrived.
func (c *Core) setVersion(number uint64, hash snapshot.Hash, s *snapshot.Snapshot) {
	v := &c.version
	v.previousHash, v.previousNumber = v.hash, v.number
	v.number = number
	v.hash = hash
	v.staged = s
	v.stagedAt = c.now
	v.confirmedInDomain = false
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

// serve hands the newest verified version to the proxy, once the node may.
//
// The host could die right after, while the store is down, and come back to
// peers that have never heard of the version: it would then serve an older
// one than before. So a version is served only once it is remembered: by
// another node of the domain, whoever sent the content here or asked for it,
// and, in case the whole domain dies, by another domain. That costs a round
// trip or two, and only in the domain where the version came in; where nobody
// answers, a node waits confirmTimeout. docs/design/floor.md has what is left.
func (c *Core) serve() {
	v := &c.version
	if !v.ready || v.staged == nil {
		return
	}
	if !c.confirmed() {
		return
	}
	c.emit(ServeVersion{v.number, v.hash, v.staged})
	c.log(event.VersionInUse, event.Fields{event.Subject: v.hash.Short(), "version": v.number})
	v.staged = nil
}

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

// hasNeighbour tells whether there is a link within the domain.
func (c *Core) hasNeighbour() bool {
	for _, l := range c.linkByHost {
		if l.domain == c.self.Domain {
			return true
		}
	}
	return false
}

// confirmInDomain notes that a peer knows that this node holds a version.
func (c *Core) confirmInDomain(l *link, number uint64) {
	v := &c.version
	if l.domain != c.self.Domain || number < v.number || v.number == 0 {
		return
	}
	v.confirmedInDomain = true
	c.serve()
}

// linkedToAll tells whether this node has been linked for a while with everybody who
// remembers what it served, while the platform can't be asked: its neighbours in
// the domain, and one member of each other domain of the region. A version is
// served only once one of them holds it.
func (c *Core) linkedToAll() bool {
	if len(c.links) == 0 || c.watch.failures == 0 {
		return false
	}
	long := func(l *link) bool { return l != nil && c.now.Sub(l.openedAt) >= linkSettleTime }
	for _, r := range c.neighbours() {
		if !long(c.linkByHost[r.Host]) {
			return false
		}
	}
	met := make(map[string]bool)
	for _, l := range c.linkByHost {
		met[l.domain] = met[l.domain] || long(l)
	}
	others := 0
	for _, name := range c.table.names() {
		if name == c.self.Domain || c.table.domains[name].region != c.self.Region {
			continue
		}
		others++
		if !met[name] && c.orderIndex() < bridgesPerDomain {
			return false
		}
	}
	return others > 0 || len(c.table.members(c.self.Domain)) > 1
}

// becomeReady decides when a node that has just started may serve.
//
// Its host keeps nothing, so it can't know what it served before. The fault
// would be to serve an older version than before the restart, if the peer it
// meets first is behind; the symptom, an accepted change that goes away again
// on one host. A head that was read after this process started is at least as
// new as anything that it ever served, since versions are served only after
// they are the head. Where the store can't be reached, the node waits for its
// domain's peers and never goes below what they saw it use: once a poll has failed,
// until it has met all of those who would remember, or else for startServeDelay.
func (c *Core) becomeReady() {
	v := &c.version
	if v.ready || v.number == 0 || v.number < v.floor {
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
