package peer

import (
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

// digestMismatchLimit is how many heartbeats in a row must differ before the tables
// are compared: news that is on its way makes two sides differ for a moment.
const digestMismatchLimit = 2

// sweepInterval is how often tombstones are polled over.
const sweepInterval = 5 * time.Second

// raiseIncarnation makes this process younger than any that a peer remembers.
//
// A host's clock may have gone back between two of its processes. Then the
// new one would count as the older, and its peers would ignore it for as long
// as they remember the other. Going above what they know is enough, since
// only the newest process of a host can still speak for it.
func (c *Core) raiseIncarnation(known uint64) {
	if known <= c.self.Incarnation {
		return
	}
	c.self.Incarnation = known + 1
	c.self.Seq = 0
	c.announceSelf()
}

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

func (c *Core) queueUpdate(host string, from LinkID) {
	c.pendingUpdates[host] = true
	c.updateSource[host] = from
	c.membersChanged = true
}

// merge takes one record from a peer.
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

// refuteSelf answers what others hold of this node. A suspicion or an obituary
// is objected to with a higher sequence; a record of a later incarnation that
// is not ours can only be from before this process, with a clock ahead.
func (c *Core) refuteSelf(m Member) {
	if c.self.State == Leaving {
		return
	}
	if m.Incarnation > c.self.Incarnation {
		c.raiseIncarnation(m.Incarnation)
		return
	}
	if m.Incarnation < c.self.Incarnation {
		return
	}
	if m.State != Alive && m.Seq >= c.self.Seq {
		c.self.Seq = m.Seq + 1
		c.announceSelf()
	}
}

func (c *Core) onRecords(l *link, f Records) {
	for i := range f.Members {
		c.merge(l.id, f.Members[i])
	}
}

// flushUpdates sends the records that changed since the last tick on every link
// but the one that each came over. Gathering them for one tick turns the
// return of a whole domain into a few frames.
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
		if !l.lazy && !c.introductionOnly(l) {
			c.sendRecords(l, hosts, true)
		}
	}
	clear(c.pendingUpdates)
	clear(c.updateSource)
}

// sendRecords sends the records of hosts in frames of bounded size; with
// fresh set, not those that came over this very link.
func (c *Core) sendRecords(l *link, hosts []string, fresh bool) {
	var batch []Member
	for _, host := range hosts {
		r := c.table.byHost[host]
		if r == nil || (fresh && c.updateSource[host] == l.id) {
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
	c.onPeerPoll(poll{version: f.Version, cursor: f.Cursor, at: c.ago(f.HeadAge)})
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

// onDigests compares tables, domain by domain. A domain of which one side has
// nothing is sent whole or asked for whole; of another that differs, the
// listing of ranks goes first, since it is much smaller than the records.
func (c *Core) onDigests(l *link, f Digests) {
	if c.introductionOnly(l) {
		return
	}
	theirs := make(map[string]DomainDigest, len(f.Domains))
	for _, d := range f.Domains {
		theirs[d.Name] = d
		own := c.table.domains[d.Name]
		if own == nil || own.digest != d.Digest {
			c.send(l, c.newListing(d.Name))
		}
	}
	for _, name := range c.table.names() {
		if _, ok := theirs[name]; !ok {
			c.sendRecords(l, c.hostsOf(name), false)
		}
	}
}

func (c *Core) hostsOf(name string) []string {
	order := c.table.members(name)
	hosts := make([]string, 0, len(order))
	for _, r := range order {
		hosts = append(hosts, r.Host)
	}
	return hosts
}

// newListing lists all of a domain's records, tombstones included.
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

// onListing answers with what the peer lacks and asks for what it has better.
func (c *Core) onListing(l *link, f Listing) {
	listed := make(map[string]bool, len(f.Entries))
	var wants, better []string
	for _, e := range f.Entries {
		listed[e.Host] = true
		own := c.table.byHost[e.Host]
		switch {
		case own == nil || e.rank().supersedes(own.rank()):
			wants = append(wants, e.Host)
		case own.rank().supersedes(e.rank()):
			better = append(better, e.Host)
		}
	}
	for _, host := range c.hostsOf(f.Domain) {
		if !listed[host] {
			better = append(better, host)
		}
	}
	c.sendRecords(l, better, false)
	for len(wants) > 0 {
		n := min(len(wants), maxRequestedHosts)
		c.send(l, RecordRequest{wants[:n]})
		wants = wants[n:]
	}
}

func (c *Core) onRecordRequest(l *link, f RecordRequest) { c.sendRecords(l, f.Hosts, false) }

// tickMembers suspects neighbours that have no link, declares suspects dead
// and forgets tombstones.
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
		}
	}
	for addr, d := range c.dials {
		if !d.inProgress && c.now.Sub(d.nextAt) > time.Minute {
			delete(c.dials, addr)
		}
	}
}

// neighbours are the members of the own domain that should have a link with
// this node, whichever side dials it.
func (c *Core) neighbours() []*record {
	i := c.orderIndex()
	if i < 0 || c.self.State == Leaving {
		return nil
	}
	order := c.table.members(c.self.Domain)
	var out []*record
	add := func(j int) {
		if j >= 0 && j < len(order) && j != i {
			out = append(out, order[j])
		}
	}
	if i > 0 {
		add((i - 1) / treeDegree)
		add(i - 1)
	}
	add(i + 1)
	for k := range treeDegree {
		add(treeDegree*i + 1 + k)
	}
	return out
}

func (c *Core) checkNeighbours() {
	near := make(map[string]bool)
	for _, r := range c.neighbours() {
		near[r.Host] = true
		if c.linkByHost[r.Host] != nil {
			continue
		}
		since, ok := c.missingSince[r.Host]
		if !ok {
			c.missingSince[r.Host] = c.now
			continue
		}
		if c.now.Sub(since) > reverseDialDelay {
			// The other side should dial, but may have just been started by
			// contacts that know nobody: it can't know that it should.
			c.dial(r.PeerAddr, r.Host, false)
		}
		if c.now.Sub(since) > suspectDelay && r.State == Alive && c.now.Sub(r.since) > suspectDelay {
			c.suspect(r)
		}
	}
	for host := range c.missingSince {
		if !near[host] {
			delete(c.missingSince, host)
		}
	}
}

// suspect says that a member of the own domain can't be reached. It is said
// in the member's own incarnation and sequence, so that the member's
// objection, with a higher sequence, takes it back everywhere.
func (c *Core) suspect(r *record) {
	m := r.Member
	m.State = Suspect
	if c.table.put(c.now, m) {
		c.queueUpdate(m.Host, 0)
		c.log(event.MemberSuspect, event.Fields{event.Subject: m.Host, "domain": m.Domain})
	}
}

// declareDead declares suspects of the own domain dead. Other domains are left
// to their own members, who hear of them first: a domain that is cut off as a
// whole would otherwise be declared dead from afar, and keep nothing.
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
