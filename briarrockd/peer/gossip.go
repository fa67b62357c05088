package peer

import (
	"slices"
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

// digestMismatchLimit is how many consecutive heartbeats must carry a differing digest
// before the tables are compared: two digests also differ briefly while changed records
// are in flight.
const digestMismatchLimit = 2

// sweepInterval is the interval between sweeps for expired tombstones.
const sweepInterval = 5 * time.Second

// raiseIncarnation raises this process's incarnation above known, an incarnation of
// this host that a peer has recorded.
//
// The host's clock may have been set back between two processes. The new process would
// then start with the lower incarnation, and its peers would ignore its records for as
// long as they keep the old one. It is enough to go above what the peers have recorded,
// since only the newest process of a host still publishes records for it.
func (c *Core) raiseIncarnation(known uint64) {
	if known < c.self.Incarnation || known >= maxRevision-1 {
		return
	}
	c.self.Incarnation = known + 1
	c.self.Seq = 0
	c.announceSelf()
}

// announceSelf stores this node's own record in the table and queues it for flooding.
func (c *Core) announceSelf() {
	if c.table.put(c.now, c.self) {
		c.queueUpdate(c.self.Host, 0)
	}
}

func (c *Core) onTargetsChanged(targets []Target) {
	if len(targets) > maxTargets {
		targets = targets[:maxTargets]
	}
	c.self.Targets = targets
	c.self.Seq++
	c.announceSelf()
	c.flushUpdates()
}

func (c *Core) leave() {
	c.self.State = Leaving
	c.self.Seq++
	c.announceSelf()
	c.flushUpdates()
}

// queueUpdate marks a host's record for flooding over all links except from, the link
// over which it arrived; 0 for a change made by this node.
func (c *Core) queueUpdate(host string, from LinkID) {
	c.pendingUpdates[host] = true
	c.updateSource[host] = from
	c.membersChanged = true
}

// merge applies a record received from a peer.
func (c *Core) merge(from LinkID, m Member) {
	if m.Host == c.self.Host {
		c.refuteSelf(m)
		return
	}
	old := c.table.byHost[m.Host]
	wasLive := old == nil || old.live()
	if !c.table.put(c.now, m) {
		return
	}
	if !m.live() && wasLive {
		delete(c.missingSince, m.Host)
		delete(c.version.peerVersions, m.Host)
		c.logDeparture(m)
	}
	c.queueUpdate(m.Host, from)
}

func (c *Core) logDeparture(m Member) {
	e := event.MemberDead
	if m.State == Leaving {
		e = event.MemberLeft
	}
	c.log(e, event.Fields{event.Subject: m.Host, "domain": m.Domain})
}

// refuteSelf handles a record of this node that a peer sent. Only this node publishes
// records of itself, so one that supersedes its own is refuted. If the record says suspected
// or dead, a higher sequence number is enough. One with a higher incarnation can come from an
// earlier process whose clock was ahead, one that is leaving or has a higher sequence number
// only from a faulty peer; both need a higher incarnation.
func (c *Core) refuteSelf(m Member) {
	if c.self.State == Leaving || !m.rank().supersedes(c.self.rank()) {
		return
	}
	if m.Incarnation > c.self.Incarnation || m.State == Leaving || m.Seq > c.self.Seq {
		c.raiseIncarnation(m.Incarnation)
		return
	}
	c.self.Seq++
	c.announceSelf()
}

func (c *Core) onRecords(l *link, f Records) {
	for i := range f.Members {
		c.merge(l.id, f.Members[i])
	}
}

// flushUpdates sends the records that changed since the last tick on every link except
// the one over which each arrived. Batching them per tick means that the return of a
// whole domain takes only a few frames.
func (c *Core) flushUpdates() {
	if len(c.pendingUpdates) == 0 {
		return
	}
	hosts := make([]string, 0, len(c.pendingUpdates))
	for host := range c.pendingUpdates {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	for _, l := range c.sortedLinks() {
		if c.floodsRecords(l) {
			c.sendRecords(l, hosts, true)
		}
	}
	clear(c.pendingUpdates)
	clear(c.updateSource)
}

// floodsRecords reports whether changed records are sent over a link. They are not sent
// over links by which this node has joined or which it is about to close: each contact
// would get all changes from all nodes that have just started.
func (c *Core) floodsRecords(l *link) bool {
	if l.lazy || c.introductionOnly(l) {
		return false
	}
	return len(c.links) == 1 || (!l.joining && l.unwantedSince.IsZero())
}

// sendRecords sends the records of hosts in frames of bounded size. If skipSource is
// set, it omits pending updates that arrived over l.
func (c *Core) sendRecords(l *link, hosts []string, skipSource bool) {
	var batch []Member
	for _, host := range hosts {
		r := c.table.byHost[host]
		if r == nil || (skipSource && c.updateSource[host] == l.id) {
			continue
		}
		batch = append(batch, r.Member)
		if len(batch) == maxRecords {
			c.send(l, Records{batch})
			batch = nil
		}
	}
	if len(batch) > 0 {
		c.send(l, Records{batch})
	}
}

func (c *Core) onHeartbeat(l *link, f Heartbeat) {
	c.onPeerPoll(poll{host: l.host, version: f.Version, cursor: f.Cursor, at: c.ago(f.HeadAge)})
	c.recordPeerVersion(l, f.Version)
	c.noteRemoteVersion(l, f.Version)
	l.version = max(l.version, f.Version)
	c.notifyIfBehind(l, f.Version)
	c.confirmInDomain(l, f.Version)
	if f.Root == c.table.rootDigest() {
		l.digestMismatches = 0
		return
	}
	l.digestMismatches++
	if l.digestMismatches >= digestMismatchLimit && l.host < c.self.Host && !c.introductionOnly(l) {
		l.digestMismatches = 0
		c.send(l, c.ownDigests())
	}
}

func (c *Core) ownDigests() Digests {
	var f Digests
	for _, name := range c.table.names() {
		d := c.table.domains[name]
		f.Domains = append(f.Domains, DomainDigest{name, d.digest, d.count})
	}
	return f
}

// onDigests compares the peer's digests with the local table, domain by domain. It sends
// all records of a domain that only this node has. For any other domain that differs it
// sends a Listing, which is much smaller than the records. For a domain that only the
// peer has, the Listing is empty, and the peer answers with all of its records.
func (c *Core) onDigests(l *link, f Digests) {
	if c.introductionOnly(l) {
		return
	}
	remote := make(map[string]DomainDigest, len(f.Domains))
	for _, d := range f.Domains {
		remote[d.Name] = d
		local := c.table.domains[d.Name]
		if local == nil || local.digest != d.Digest {
			c.send(l, c.newListing(d.Name))
		}
	}
	for _, name := range c.table.names() {
		if _, ok := remote[name]; !ok {
			c.sendRecords(l, c.hostsOf(name), false)
		}
	}
}

func (c *Core) hostsOf(name string) []string { return hostNames(c.table.members(name)) }

func hostNames(records []*record) []string {
	hosts := make([]string, 0, len(records))
	for _, r := range records {
		hosts = append(hosts, r.Host)
	}
	return hosts
}

// newListing lists all records of a domain, tombstones included.
func (c *Core) newListing(name string) Listing {
	f := Listing{Domain: name}
	for _, host := range c.hosts() {
		r := c.table.byHost[host]
		if r.Domain == name {
			f.Entries = append(f.Entries, Entry{r.Host, r.Incarnation, r.Seq, r.State})
		}
	}
	return f
}

// onListing sends the records that the peer lacks or has in an older revision, and
// requests those that are newer on the peer's side.
func (c *Core) onListing(l *link, f Listing) {
	listed := make(map[string]bool, len(f.Entries))
	var requested, newer []string
	for _, e := range f.Entries {
		listed[e.Host] = true
		stored := c.table.byHost[e.Host]
		switch {
		case stored == nil || e.rank().supersedes(stored.rank()):
			requested = append(requested, e.Host)
		case stored.rank().supersedes(e.rank()):
			newer = append(newer, e.Host)
		}
	}
	for _, host := range c.hostsOf(f.Domain) {
		if !listed[host] {
			newer = append(newer, host)
		}
	}
	c.sendRecords(l, newer, false)
	for len(requested) > 0 {
		n := min(len(requested), maxRequestedHosts)
		c.send(l, RecordRequest{requested[:n]})
		requested = requested[n:]
	}
}

func (c *Core) onRecordRequest(l *link, f RecordRequest) { c.sendRecords(l, f.Hosts, false) }

// tickMembers suspects neighbours that have no link, declares suspected members dead,
// and deletes expired tombstones and the states of dials that have not been repeated.
func (c *Core) tickMembers() {
	c.checkNeighbours()
	c.declareDead()
	if c.now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = c.now.Add(sweepInterval)
	for _, host := range c.hosts() {
		r := c.table.byHost[host]
		if !r.live() && c.now.Sub(r.since) > tombstoneTTL && host != c.self.Host {
			c.table.forget(host)
			delete(c.version.peerVersions, host)
		}
	}
	for addr, d := range c.dials {
		if !d.inProgress && c.now.Sub(d.nextAt) > time.Minute {
			delete(c.dials, addr)
		}
	}
}

// neighbours returns the members of this node's domain that should have a link with
// this node, whichever side dials.
func (c *Core) neighbours() []*record {
	if c.self.State == Leaving {
		return nil
	}
	return c.table.neighbours(c.self.Domain, c.self.Host)
}

func (c *Core) isNeighbour(host string) bool {
	return slices.ContainsFunc(c.neighbours(), func(r *record) bool { return r.Host == host })
}

// checkNeighbours dials neighbours that have had no link for reverseDialDelay and
// suspects those that have had none for suspectDelay.
func (c *Core) checkNeighbours() {
	current := make(map[string]bool)
	for _, r := range c.neighbours() {
		current[r.Host] = true
		if c.linkByHost[r.Host] != nil {
			continue
		}
		since, ok := c.missingSince[r.Host]
		if !ok {
			c.missingSince[r.Host] = c.now
			continue
		}
		if c.now.Sub(since) > reverseDialDelay {
			// The other side has to dial, but if it has just started and its contacts
			// know no other members, it does not know this node yet.
			c.dial(r.PeerAddr, r.Host, false)
		}
		if c.now.Sub(since) > suspectDelay && r.State == Alive && c.now.Sub(r.since) > suspectDelay {
			c.suspect(r)
		}
	}
	for host := range c.missingSince {
		if !current[host] {
			delete(c.missingSince, host)
		}
	}
}

// suspect marks a member of this node's domain as suspected, because it can't be
// reached. The record keeps the member's incarnation and sequence number, so that the
// member refutes it everywhere with a higher sequence number.
func (c *Core) suspect(r *record) {
	m := r.Member
	m.State = Suspect
	if c.table.put(c.now, m) {
		c.queueUpdate(m.Host, 0)
		c.log(event.MemberSuspect, event.Fields{event.Subject: m.Host, "domain": m.Domain})
	}
}

// declareDead declares suspected members of this node's domain dead. Members of other
// domains are left to their own domain, which detects a failure first. Otherwise the
// other domains would declare a domain dead that is only cut off as a whole, and would
// lose all of its records.
func (c *Core) declareDead() {
	for _, r := range c.table.members(c.self.Domain) {
		if r.State != Suspect || c.now.Sub(r.since) < suspicionTimeout || r.Host == c.self.Host {
			continue
		}
		m := r.Member
		m.State = Dead
		c.merge(0, m)
	}
}
