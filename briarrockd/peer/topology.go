package peer

import (
	"slices"
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

// The shape of the graph of links.
const (
	// degree is the number of children of a node in its domain's tree.
	degree = 4
	// bridges is the number of members of a domain that link to other domains.
	bridges = 2
	// maxLinks bounds the links of a node, those that peers open included.
	maxLinks = 512
)

// The times by which links are sought and given up.
const (
	dialFirst    = 100 * time.Millisecond
	maxDialPause = 5 * time.Second
	// linger is how long a link stays that the topology has no more use for.
	linger = 5 * time.Second
	// tryEvery is the mean time between attempts at contacts that are not
	// known as members, and at members that were declared dead. These are
	// what heals a partition after which the two sides have forgotten each
	// other.
	tryEvery = 10 * time.Second
	// isolatedDials is how many contacts a node without links tries at each tick:
	// some of them may be gone, and an attempt at these takes seconds.
	isolatedDials = 3
	// joinSpread spreads out first attempts when many nodes start at once.
	joinSpread = 300 * time.Millisecond
)

// desiredLink is a link that this node should have and has to dial.
type desiredLink struct {
	addr string
	host string
	lazy bool
}

// position is this node's place in the order of its domain, -1 if it has none.
func (h *Core) position() int {
	for i, r := range h.table.members(h.self.Domain) {
		if r.Host == h.self.Host {
			return i
		}
	}
	return -1
}

// parent is the member that this node reports to; nil at the root.
func (h *Core) parent() *record {
	i := h.position()
	if i <= 0 {
		return nil
	}
	return h.table.members(h.self.Domain)[(i-1)/degree]
}

// root is the first member of this node's domain.
func (h *Core) root() *record {
	order := h.table.members(h.self.Domain)
	if len(order) == 0 {
		return nil
	}
	return order[0]
}

func (h *Core) isRoot() bool { return h.position() == 0 }

// desiredLinks lists the links that this node has to dial.
func (h *Core) desiredLinks() []desiredLink {
	i := h.position()
	if i < 0 {
		return nil
	}
	order := h.table.members(h.self.Domain)
	var out []desiredLink
	if i > 0 {
		out = append(out, desiredLink{addr: order[(i-1)/degree].PeerAddr, host: order[(i-1)/degree].Host})
		if (i-1)/degree != i-1 {
			out = append(out, desiredLink{addr: order[i-1].PeerAddr, host: order[i-1].Host})
		}
	}
	if i < bridges {
		out = append(out, h.domainLinks(i)...)
	}
	return append(out, h.interRegionLinks()...)
}

// domainLinks links bridge i to bridge i of each domain of the region that
// sorts after this one; those before it dial this one.
func (h *Core) domainLinks(i int) []desiredLink {
	var out []desiredLink
	for _, name := range h.table.names() {
		if name <= h.self.Domain || h.table.domains[name].region != h.self.Region {
			continue
		}
		if r := h.pick(name, i); r != nil {
			out = append(out, desiredLink{addr: r.PeerAddr, host: r.Host})
		}
	}
	return out
}

// interRegionLinks links the carriers of this region to those of each region that
// sorts after it. The second carrier's links are lazy: they carry news only
// when the first one's fail to.
func (h *Core) interRegionLinks() []desiredLink {
	own := h.carriers(h.self.Region)
	i := slices.IndexFunc(own, func(r *record) bool { return r.Host == h.self.Host })
	if i < 0 {
		return nil
	}
	var out []desiredLink
	for _, region := range h.regions() {
		if region <= h.self.Region {
			continue
		}
		theirs := h.carriers(region)
		if len(theirs) == 0 {
			continue
		}
		r := theirs[min(i, len(theirs)-1)]
		out = append(out, desiredLink{addr: r.PeerAddr, host: r.Host, lazy: i > 0})
	}
	return out
}

// carriers are the up to two members that keep a region's links to other
// regions: the first of its first two domains, or the first two of its only
// one. A domain that has not been heard of gives none if another can.
func (h *Core) carriers(region string) []*record {
	var out []*record
	for pass := range 2 {
		for _, name := range h.table.names() {
			d := h.table.domains[name]
			if d.region != region || h.stale(d) != (pass == 1) {
				continue
			}
			if r := h.pick(name, 0); r != nil {
				out = append(out, r)
			}
		}
	}
	if len(out) == 1 {
		if r := h.pick(out[0].Domain, 1); r != nil && r.Host != out[0].Host {
			out = append(out, r)
		}
	}
	if len(out) > bridges {
		out = out[:bridges]
	}
	return out
}

// stale tells whether this node, as one that should hear of the domain, has
// not done so for too long. Members that hold no link to a domain never learn
// of it first hand, so for them no domain is stale.
func (h *Core) stale(d *domain) bool {
	if d.name == h.self.Domain || d.heardAt.IsZero() {
		return false
	}
	return h.now.Sub(d.heardAt) > staleAfter && !h.linked(d.name)
}

func (h *Core) linked(name string) bool {
	for _, l := range h.byHost {
		if l.domain == name {
			return true
		}
	}
	return false
}

func (h *Core) regions() []string {
	seen := make(map[string]bool)
	var out []string
	for _, name := range h.table.names() {
		region := h.table.domains[name].region
		if !seen[region] {
			seen[region] = true
			out = append(out, region)
		}
	}
	sort.Strings(out)
	return out
}

// pick takes member i of a domain; while that can't be linked to, another one
// at random. So a domain whose first members all died unheard, while it was
// cut off, is still found again.
func (h *Core) pick(name string, i int) *record {
	order := h.table.members(name)
	if len(order) == 0 {
		return nil
	}
	r := order[min(i, len(order)-1)]
	d := h.dials[r.PeerAddr]
	if d == nil || d.fails < 2 || h.byHost[r.Host] != nil || name == h.self.Domain {
		return r
	}
	return order[(i+d.fails)%len(order)]
}

// topology dials what is desired and closes what is not.
func (h *Core) topology() {
	if h.self.State == Leaving {
		return
	}
	wanted := make(map[string]bool)
	for _, r := range h.neighbours() {
		wanted[r.Host] = true
	}
	for _, w := range h.desiredLinks() {
		wanted[w.host] = true
		if l := h.byHost[w.host]; l != nil {
			l.lazy = l.outbound && w.lazy
			continue
		}
		h.dial(w.addr, w.host, w.lazy)
	}
	h.rejoin()
	for _, l := range h.sortedLinks() {
		h.release(l, wanted[l.host])
	}
}

// release closes a link that this node opened and has no use for any more.
func (h *Core) release(l *link, wanted bool) {
	if wanted || !l.outbound || len(h.links) == 1 {
		l.unwanted = time.Time{}
		return
	}
	if l.unwanted.IsZero() {
		l.unwanted = h.now
		return
	}
	if h.now.Sub(l.unwanted) >= linger {
		h.do(CloseLink{l.id})
	}
}

// rejoin seeks links beyond the topology: contacts that are not known
// as members, often while there is no link at all, and the dead of the own
// domain, who may have declared us dead too.
func (h *Core) rejoin() {
	alone := len(h.links) == 0
	if !alone && h.now.Before(h.nextTry) {
		return
	}
	if !alone {
		h.nextTry = h.now.Add(tryEvery/2 + h.jitter(tryEvery))
	}
	var addrs []string
	known := make(map[string]bool)
	for _, host := range h.hosts() {
		r := h.table.byHost[host]
		if r.live() {
			known[r.PeerAddr] = true
		} else if r.State == Dead && r.Domain == h.self.Domain {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	for _, addr := range slices.Concat(h.cfg.Contacts, h.stored.addrs) {
		if addr != h.self.PeerAddr && (alone || !known[addr]) {
			addrs = append(addrs, addr)
		}
	}
	n := 1
	if alone {
		n = isolatedDials
	}
	for range min(n, len(addrs)) {
		h.dial(addrs[h.rng.IntN(len(addrs))], "", false)
	}
}

// hosts returns the hosts of the table in a fixed order, so that a seed
// replays to the same run.
func (h *Core) hosts() []string {
	out := make([]string, 0, len(h.table.byHost))
	for host := range h.table.byHost {
		out = append(out, host)
	}
	sort.Strings(out)
	return out
}

func (h *Core) dial(addr, host string, lazy bool) {
	d := h.dials[addr]
	if d == nil {
		d = &dialing{nextAt: h.now}
		if len(h.links) > 0 {
			d.nextAt = h.now.Add(h.jitter(dialFirst))
		}
		h.dials[addr] = d
	}
	if host != "" {
		d.host = host
	}
	if d.busy || h.now.Before(d.nextAt) {
		return
	}
	d.busy = true
	to := &link{host: host, lazy: lazy}
	if r := h.table.byHost[host]; r != nil {
		to.domain = r.Domain
	}
	h.do(Dial{Addr: addr, Hello: h.hello(to)})
}

func (h *Core) dialFailed(m DialFailed) {
	d := h.dials[m.Addr]
	if d == nil {
		return
	}
	d.busy = false
	d.fails++
	wait := min(dialFirst<<min(d.fails, 10), maxDialPause)
	d.nextAt = h.now.Add(wait/2 + h.jitter(wait/2))
	// A host on which nobody listens has no process: waiting out the usual
	// time would only send it calls that are bound to fail.
	r := h.table.byHost[d.host]
	if m.Refused && d.fails >= 2 && r != nil && r.State == Alive && r.Domain == h.self.Domain {
		h.suspect(r)
	}
}

func (h *Core) linkUp(m LinkUp) {
	hi := m.Hello
	if m.Addr != "" && h.otherHost(m) {
		h.do(CloseLink{m.Link})
		return
	}
	if hi.Member.Host == h.self.Host || len(h.links) >= maxLinks {
		h.do(CloseLink{m.Link})
		return
	}
	h.linkReplace(hi.Member.Host)
	l := &link{
		id: m.Link, host: hi.Member.Host, domain: hi.Member.Domain, region: hi.Member.Region,
		outbound: m.Addr != "", lazy: m.Addr == "" && hi.Lazy, heardAt: h.now, openedAt: h.now,
		beatAt: h.now.Add(h.jitter(beatEvery)), version: hi.Version,
	}
	h.links[l.id] = l
	h.byHost[l.host] = l
	delete(h.lost, l.host)
	h.table.domain(l.domain, l.region).heardAt = h.now
	h.log(event.LinkUp, event.Fields{event.Subject: l.host})
	if !l.outbound {
		h.do(SendHello{l.id, h.hello(l)})
	}
	h.greeted(l, hi)
}

// otherHost notes who has answered at an address. It tells whether that is
// another host than the one that was sought, with which there is a link already.
//
// Addresses are used again. The record of the host that had one before lives on
// for some seconds, and each link to it comes up as one to its successor. Taken
// for a success it would be sought at once again, at each tick, and each of the
// links would replace the last one, with all that a new link costs. That another
// host answers also says that the old one's process is gone.
func (h *Core) otherHost(m LinkUp) bool {
	answers := m.Hello.Member.Host
	d := h.dials[m.Addr]
	h.dials[m.Addr] = &dialing{host: answers}
	if d == nil || d.host == "" || d.host == answers {
		return false
	}
	h.dials[m.Addr].nextAt = h.now.Add(maxDialPause)
	if r := h.table.byHost[d.host]; r != nil && r.State == Alive && r.Domain == h.self.Domain {
		h.suspect(r)
	}
	return h.byHost[answers] != nil
}

// greeted takes in what the peer's hello says.
func (h *Core) greeted(l *link, hi Hello) {
	h.reincarnate(hi.KnownIncarnation)
	h.merge(l.id, hi.Member)
	h.heardFresh(poll{version: hi.Version, seen: hi.Cursor, at: h.ago(hi.HeadAge)})
	h.raiseFloor(hi.Floor)
	h.raiseFloor(hi.DomainFloor)
	h.sawUse(l, hi.Version)
	h.remoteFloor(l, hi.Version)
	if l.domain == h.self.Domain {
		h.observeFloor(l.id, hi.RemoteFloor)
	}
	h.heardVersion(l, hi.Version, hi.Hash)
	if h.introduces(l, hi) {
		l.introduces = h.now.Add(introduceFor)
		h.introduce(l)
		return
	}
	if l.host < h.self.Host {
		h.send(l, h.ownDigests())
	}
	h.sendReport()
	h.sendSummaries(l)
}

// linkReplace closes an older link to the same host: the peer opened a new
// one because the old one is dead to it.
func (h *Core) linkReplace(host string) {
	if old := h.byHost[host]; old != nil {
		h.do(CloseLink{old.id})
		h.drop(old)
	}
}

func (h *Core) linkDown(id LinkID) {
	l := h.links[id]
	if l == nil {
		return
	}
	h.log(event.LinkDown, event.Fields{event.Subject: l.host})
	h.drop(l)
}

func (h *Core) drop(l *link) {
	delete(h.links, l.id)
	if h.byHost[l.host] == l {
		delete(h.byHost, l.host)
		h.reportLost(l.host)
	}
	h.version.linkGone(l.id)
}

// tickLinks sends heartbeats and closes links that have gone silent.
func (h *Core) tickLinks() {
	for _, l := range h.sortedLinks() {
		if h.now.Sub(l.heardAt) > silentAfter {
			h.do(CloseLink{l.id})
			h.drop(l)
			continue
		}
		if h.now.Before(l.beatAt) {
			continue
		}
		l.beatAt = h.now.Add(beatEvery)
		h.send(l, Heartbeat{Root: h.table.digestRoot(), Version: h.version.number, HeadAge: age(h.now, h.watch.freshAt), Cursor: h.watch.seen})
	}
}

func (h *Core) sortedLinks() []*link {
	out := make([]*link, 0, len(h.links))
	for _, l := range h.links {
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
