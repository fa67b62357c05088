package peer

import (
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

// repairAfter is how many heartbeats in a row must differ before the tables
// are compared: news that is on its way makes two sides differ for a moment.
const repairAfter = 2

// sweepEvery is how often tombstones are polled over.
const sweepEvery = 5 * time.Second

// reincarnate makes this process younger than any that a peer remembers.
//
// A host's clock may have gone back between two of its processes. Then the
// new one would count as the older, and its peers would ignore it for as long
// as they remember the other. Going above what they know is enough, since
// only the newest process of a host can still speak for it.
func (h *Core) reincarnate(known uint64) {
	if known <= h.self.Incarnation {
		return
	}
	h.self.Incarnation = known + 1
	h.self.Seq = 0
	h.announceSelf()
}

func (h *Core) announceSelf() {
	if h.table.put(h.now, h.self) {
		h.queueUpdate(h.self.Host, 0)
	}
}

func (h *Core) targetsChanged(targets []Target) {
	if len(targets) > maxTargets {
		targets = targets[:maxTargets]
	}
	h.self.Targets = targets
	h.self.Seq++
	h.announceSelf()
	h.flushUpdates()
}

func (h *Core) leave() {
	h.self.State = Leaving
	h.self.Seq++
	h.announceSelf()
	h.flushUpdates()
}

func (h *Core) queueUpdate(host string, from LinkID) {
	h.updates[host] = true
	h.updateFrom[host] = from
	h.changed = true
}

// merge takes one record from a peer.
func (h *Core) merge(from LinkID, m Member) {
	if m.Host == h.self.Host {
		h.refuteSelf(m)
		return
	}
	old := h.table.byHost[m.Host]
	wasLive := old == nil || old.live()
	if !h.table.put(h.now, m) {
		return
	}
	if !m.live() && wasLive {
		delete(h.lost, m.Host)
		delete(h.version.seen, m.Host)
		h.logDeparture(m)
	}
	h.queueUpdate(m.Host, from)
}

func (h *Core) logDeparture(m Member) {
	e := event.MemberDead
	if m.State == Leaving {
		e = event.MemberLeft
	}
	h.log(e, event.Fields{event.Subject: m.Host, "domain": m.Domain})
}

// refuteSelf answers what others hold of this node. A suspicion or an obituary
// is objected to with a higher sequence; a record of a later incarnation that
// is not ours can only be from before this process, with a clock ahead.
func (h *Core) refuteSelf(m Member) {
	if h.self.State == Leaving {
		return
	}
	if m.Incarnation > h.self.Incarnation {
		h.reincarnate(m.Incarnation)
		return
	}
	if m.Incarnation < h.self.Incarnation {
		return
	}
	if m.State != Alive && m.Seq >= h.self.Seq {
		h.self.Seq = m.Seq + 1
		h.announceSelf()
	}
}

func (h *Core) records(l *link, f Records) {
	for i := range f.Members {
		h.merge(l.id, f.Members[i])
	}
}

// flushUpdates sends the records that changed since the last tick on every link
// but the one that each came over. Gathering them for one tick turns the
// return of a whole domain into a few frames.
func (h *Core) flushUpdates() {
	if len(h.updates) == 0 {
		return
	}
	hosts := make([]string, 0, len(h.updates))
	for host := range h.updates {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	for _, l := range h.sortedLinks() {
		if !l.lazy && !h.restricted(l) {
			h.sendRecords(l, hosts, true)
		}
	}
	clear(h.updates)
	clear(h.updateFrom)
}

// sendRecords sends the records of hosts in frames of bounded size; with
// fresh set, not those that came over this very link.
func (h *Core) sendRecords(l *link, hosts []string, fresh bool) {
	var batch []Member
	for _, host := range hosts {
		r := h.table.byHost[host]
		if r == nil || (fresh && h.updateFrom[host] == l.id) {
			continue
		}
		batch = append(batch, r.Member)
		if len(batch) == maxRecords {
			h.send(l, Records{batch})
			batch = nil
		}
	}
	if len(batch) > 0 {
		h.send(l, Records{batch})
	}
}

func (h *Core) beat(l *link, f Heartbeat) {
	h.heardFresh(poll{version: f.Version, seen: f.Cursor, at: h.ago(f.HeadAge)})
	h.sawUse(l, f.Version)
	h.remoteFloor(l, f.Version)
	l.version = max(l.version, f.Version)
	h.peerBehind(l, f.Version)
	h.remembered(l, f.Version)
	if f.Root == h.table.digestRoot() {
		l.differs = 0
		return
	}
	l.differs++
	if l.differs >= repairAfter && l.host < h.self.Host && !h.restricted(l) {
		l.differs = 0
		h.send(l, h.ownDigests())
	}
}

func (h *Core) ownDigests() Digests {
	var f Digests
	for _, name := range h.table.names() {
		d := h.table.domains[name]
		f.Domains = append(f.Domains, DomainDigest{name, d.digest, d.count})
	}
	return f
}

// digests compares tables, domain by domain. A domain of which one side has
// nothing is sent whole or asked for whole; of another that differs, the
// listing of ranks goes first, since it is much smaller than the records.
func (h *Core) digests(l *link, f Digests) {
	if h.restricted(l) {
		return
	}
	theirs := make(map[string]DomainDigest, len(f.Domains))
	for _, d := range f.Domains {
		theirs[d.Name] = d
		own := h.table.domains[d.Name]
		if own == nil || own.digest != d.Digest {
			h.send(l, h.listingOf(d.Name))
		}
	}
	for _, name := range h.table.names() {
		if _, ok := theirs[name]; !ok {
			h.sendRecords(l, h.hostsOf(name), false)
		}
	}
}

func (h *Core) hostsOf(name string) []string {
	order := h.table.members(name)
	hosts := make([]string, 0, len(order))
	for _, r := range order {
		hosts = append(hosts, r.Host)
	}
	return hosts
}

// listingOf lists all of a domain's records, tombstones included.
func (h *Core) listingOf(name string) Listing {
	f := Listing{Domain: name}
	for _, host := range h.hosts() {
		r := h.table.byHost[host]
		if r.Domain == name {
			f.Entries = append(f.Entries, Entry{r.Host, r.Incarnation, r.Seq, r.State})
		}
	}
	return f
}

// listing answers with what the peer lacks and asks for what it has better.
func (h *Core) listing(l *link, f Listing) {
	listed := make(map[string]bool, len(f.Entries))
	var wants, better []string
	for _, e := range f.Entries {
		listed[e.Host] = true
		own := h.table.byHost[e.Host]
		switch {
		case own == nil || e.rank().above(own.rank()):
			wants = append(wants, e.Host)
		case own.rank().above(e.rank()):
			better = append(better, e.Host)
		}
	}
	for _, host := range h.hostsOf(f.Domain) {
		if !listed[host] {
			better = append(better, host)
		}
	}
	h.sendRecords(l, better, false)
	for len(wants) > 0 {
		n := min(len(wants), maxRequestedHosts)
		h.send(l, RecordRequest{wants[:n]})
		wants = wants[n:]
	}
}

func (h *Core) wants(l *link, f RecordRequest) { h.sendRecords(l, f.Hosts, false) }

// tickMembers suspects neighbours that have no link, declares suspects dead
// and forgets tombstones.
func (h *Core) tickMembers() {
	h.watchNeighbours()
	h.removeDead()
	if h.now.Before(h.nextSweep) {
		return
	}
	h.nextSweep = h.now.Add(sweepEvery)
	for _, host := range h.hosts() {
		r := h.table.byHost[host]
		if !r.live() && h.now.Sub(r.since) > forgetAfter && host != h.self.Host {
			h.table.forget(host)
		}
	}
	for addr, d := range h.dials {
		if !d.busy && h.now.Sub(d.nextAt) > time.Minute {
			delete(h.dials, addr)
		}
	}
}

// neighbours are the members of the own domain that should have a link with
// this node, whichever side dials it.
func (h *Core) neighbours() []*record {
	i := h.position()
	if i < 0 || h.self.State == Leaving {
		return nil
	}
	order := h.table.members(h.self.Domain)
	var out []*record
	add := func(j int) {
		if j >= 0 && j < len(order) && j != i {
			out = append(out, order[j])
		}
	}
	if i > 0 {
		add((i - 1) / degree)
		add(i - 1)
	}
	add(i + 1)
	for c := range degree {
		add(degree*i + 1 + c)
	}
	return out
}

func (h *Core) watchNeighbours() {
	near := make(map[string]bool)
	for _, r := range h.neighbours() {
		near[r.Host] = true
		if h.byHost[r.Host] != nil {
			continue
		}
		since, ok := h.lost[r.Host]
		if !ok {
			h.lost[r.Host] = h.now
			continue
		}
		if h.now.Sub(since) > reverseAfter {
			// The other side should dial, but may have just been started by
			// contacts that know nobody: it can't know that it should.
			h.dial(r.PeerAddr, r.Host, false)
		}
		if h.now.Sub(since) > suspectAfter && r.State == Alive && h.now.Sub(r.since) > suspectAfter {
			h.suspect(r)
		}
	}
	for host := range h.lost {
		if !near[host] {
			delete(h.lost, host)
		}
	}
}

// suspect says that a member of the own domain can't be reached. It is said
// in the member's own incarnation and sequence, so that the member's
// objection, with a higher sequence, takes it back everywhere.
func (h *Core) suspect(r *record) {
	m := r.Member
	m.State = Suspect
	if h.table.put(h.now, m) {
		h.queueUpdate(m.Host, 0)
		h.log(event.MemberSuspect, event.Fields{event.Subject: m.Host, "domain": m.Domain})
	}
}

// removeDead declares suspects of the own domain dead. Other domains are left
// to their own members, who hear of them first: a domain that is cut off as a
// whole would otherwise be declared dead from afar, and keep nothing.
func (h *Core) removeDead() {
	for _, r := range h.table.members(h.self.Domain) {
		if r.State != Suspect || h.now.Sub(r.since) < deadAfter || r.Host == h.self.Host {
			continue
		}
		m := r.Member
		m.State = Dead
		h.merge(0, m)
	}
}
