package peer

import (
	"slices"
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

// The shape of the graph of links.
const (
	// treeDegree is the number of children of a node in its domain's tree.
	treeDegree = 4
	// bridgesPerDomain is the number of members of a domain that link to other domains.
	bridgesPerDomain = 2
	// maxLinks bounds the links of a node, those that peers open included.
	maxLinks = 512
)

// The times by which links are sought and given up.
const (
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = 5 * time.Second
	// unusedLinkTimeout is how long a link stays that the topology has no more use for.
	unusedLinkTimeout = 5 * time.Second
	// rejoinInterval is the mean time between attempts at contacts that are not
	// known as members, and at members that were declared dead. These are
	// what heals a partition after which the two sides have forgotten each
	// other.
	rejoinInterval = 10 * time.Second
	// isolatedDials is how many contacts a node without links tries at each tick:
	// some of them may be gone, and an attempt at these takes seconds.
	isolatedDials = 3
	// startJitter spreads out first attempts when many nodes start at once.
	startJitter = 300 * time.Millisecond
)

// desiredLink is a link that this node should have and has to dial.
type desiredLink struct {
	addr string
	host string
	lazy bool
}

// orderIndex is this node's place in the order of its domain, -1 if it has none.
func (c *Core) orderIndex() int {
	for i, r := range c.table.members(c.self.Domain) {
		if r.Host == c.self.Host {
			return i
		}
	}
	return -1
}

// parent is the member that this node reports to; nil at the root.
func (c *Core) parent() *record {
	i := c.orderIndex()
	if i <= 0 {
		return nil
	}
	return c.table.members(c.self.Domain)[(i-1)/treeDegree]
}

// root is the first member of this node's domain.
func (c *Core) root() *record {
	order := c.table.members(c.self.Domain)
	if len(order) == 0 {
		return nil
	}
	return order[0]
}

func (c *Core) isRoot() bool { return c.orderIndex() == 0 }

// desiredLinks lists the links that this node has to dial.
func (c *Core) desiredLinks() []desiredLink {
	i := c.orderIndex()
	if i < 0 {
		return nil
	}
	order := c.table.members(c.self.Domain)
	var out []desiredLink
	if i > 0 {
		out = append(out, desiredLink{addr: order[(i-1)/treeDegree].PeerAddr, host: order[(i-1)/treeDegree].Host})
		if (i-1)/treeDegree != i-1 {
			out = append(out, desiredLink{addr: order[i-1].PeerAddr, host: order[i-1].Host})
		}
	}
	if i < bridgesPerDomain {
		out = append(out, c.interDomainLinks(i)...)
	}
	return append(out, c.interRegionLinks()...)
}

// interDomainLinks links bridge i to bridge i of each domain of the region that
// sorts after this one; those before it dial this one.
func (c *Core) interDomainLinks(i int) []desiredLink {
	var out []desiredLink
	for _, name := range c.table.names() {
		if name <= c.self.Domain || c.table.domains[name].region != c.self.Region {
			continue
		}
		if r := c.pickMember(name, i); r != nil {
			out = append(out, desiredLink{addr: r.PeerAddr, host: r.Host})
		}
	}
	return out
}

// interRegionLinks links the carriers of this region to those of each region that
// sorts after it. The second carrier's links are lazy: they carry news only
// when the first one's fail to.
func (c *Core) interRegionLinks() []desiredLink {
	own := c.gateways(c.self.Region)
	i := slices.IndexFunc(own, func(r *record) bool { return r.Host == c.self.Host })
	if i < 0 {
		return nil
	}
	var out []desiredLink
	for _, region := range c.regions() {
		if region <= c.self.Region {
			continue
		}
		theirs := c.gateways(region)
		if len(theirs) == 0 {
			continue
		}
		r := theirs[min(i, len(theirs)-1)]
		out = append(out, desiredLink{addr: r.PeerAddr, host: r.Host, lazy: i > 0})
	}
	return out
}

// gateways are the up to two members that keep a region's links to other
// regions: the first of its first two domains, or the first two of its only
// one. A domain that has not been heard of gives none if another can.
func (c *Core) gateways(region string) []*record {
	var out []*record
	for pass := range 2 {
		for _, name := range c.table.names() {
			d := c.table.domains[name]
			if d.region != region || c.isStale(d) != (pass == 1) {
				continue
			}
			if r := c.pickMember(name, 0); r != nil {
				out = append(out, r)
			}
		}
	}
	if len(out) == 1 {
		if r := c.pickMember(out[0].Domain, 1); r != nil && r.Host != out[0].Host {
			out = append(out, r)
		}
	}
	if len(out) > bridgesPerDomain {
		out = out[:bridgesPerDomain]
	}
	return out
}

// isStale tells whether this node, as one that should hear of the domain, has
// not done so for too long. Members that hold no link to a domain never learn
// of it first hand, so for them no domain is stale.
func (c *Core) isStale(d *domain) bool {
	if d.name == c.self.Domain || d.lastReceived.IsZero() {
		return false
	}
	return c.now.Sub(d.lastReceived) > domainStaleAfter && !c.linkedToDomain(d.name)
}

func (c *Core) linkedToDomain(name string) bool {
	for _, l := range c.linkByHost {
		if l.domain == name {
			return true
		}
	}
	return false
}

func (c *Core) regions() []string {
	seen := make(map[string]bool)
	var out []string
	for _, name := range c.table.names() {
		region := c.table.domains[name].region
		if !seen[region] {
			seen[region] = true
			out = append(out, region)
		}
	}
	sort.Strings(out)
	return out
}

// pickMember takes member i of a domain; while that can't be linked to, another one
// at random. So a domain whose first members all died unheard, while it was
// cut off, is still found again.
func (c *Core) pickMember(name string, i int) *record {
	order := c.table.members(name)
	if len(order) == 0 {
		return nil
	}
	r := order[min(i, len(order)-1)]
	d := c.dials[r.PeerAddr]
	if d == nil || d.failures < 2 || c.linkByHost[r.Host] != nil || name == c.self.Domain {
		return r
	}
	return order[(i+d.failures)%len(order)]
}

// maintainLinks dials what is desired and closes what is not.
func (c *Core) maintainLinks() {
	if c.self.State == Leaving {
		return
	}
	wanted := make(map[string]bool)
	for _, r := range c.neighbours() {
		wanted[r.Host] = true
	}
	for _, w := range c.desiredLinks() {
		wanted[w.host] = true
		if l := c.linkByHost[w.host]; l != nil {
			l.lazy = l.outbound && w.lazy
			continue
		}
		c.dial(w.addr, w.host, w.lazy)
	}
	c.rejoin()
	for _, l := range c.sortedLinks() {
		c.closeUnwanted(l, wanted[l.host])
	}
}

// closeUnwanted closes a link that this node opened and has no use for any more.
func (c *Core) closeUnwanted(l *link, wanted bool) {
	if wanted || !l.outbound || len(c.links) == 1 {
		l.unwantedSince = time.Time{}
		return
	}
	if l.unwantedSince.IsZero() {
		l.unwantedSince = c.now
		return
	}
	if c.now.Sub(l.unwantedSince) >= unusedLinkTimeout {
		c.emit(CloseLink{l.id})
	}
}

// rejoin seeks links beyond the topology: contacts that are not known
// as members, often while there is no link at all, and the dead of the own
// domain, who may have declared us dead too.
func (c *Core) rejoin() {
	alone := len(c.links) == 0
	if !alone && c.now.Before(c.nextRejoin) {
		return
	}
	if !alone {
		c.nextRejoin = c.now.Add(rejoinInterval/2 + c.jitter(rejoinInterval))
	}
	var addrs []string
	known := make(map[string]bool)
	for _, host := range c.hosts() {
		r := c.table.byHost[host]
		if r.live() {
			known[r.PeerAddr] = true
		} else if r.State == Dead && r.Domain == c.self.Domain {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	for _, addr := range slices.Concat(c.cfg.Contacts, c.contacts.addrs) {
		if addr != c.self.PeerAddr && (alone || !known[addr]) {
			addrs = append(addrs, addr)
		}
	}
	n := 1
	if alone {
		n = isolatedDials
	}
	for range min(n, len(addrs)) {
		c.dial(addrs[c.rng.IntN(len(addrs))], "", false)
	}
}

// hosts returns the hosts of the table in a fixed order, so that a seed
// replays to the same run.
func (c *Core) hosts() []string {
	out := make([]string, 0, len(c.table.byHost))
	for host := range c.table.byHost {
		out = append(out, host)
	}
	sort.Strings(out)
	return out
}

func (c *Core) dial(addr, host string, lazy bool) {
	d := c.dials[addr]
	if d == nil {
		d = &dialState{nextAt: c.now}
		if len(c.links) > 0 {
			d.nextAt = c.now.Add(c.jitter(minDialBackoff))
		}
		c.dials[addr] = d
	}
	if host != "" {
		d.host = host
	}
	if d.inProgress || c.now.Before(d.nextAt) {
		return
	}
	d.inProgress = true
	to := &link{host: host, lazy: lazy}
	if r := c.table.byHost[host]; r != nil {
		to.domain = r.Domain
	}
	c.emit(Dial{Addr: addr, Hello: c.newHello(to)})
}

func (c *Core) onDialFailed(m DialFailed) {
	d := c.dials[m.Addr]
	if d == nil {
		return
	}
	d.inProgress = false
	d.failures++
	wait := min(minDialBackoff<<min(d.failures, 10), maxDialBackoff)
	d.nextAt = c.now.Add(wait/2 + c.jitter(wait/2))
	// A host on which nobody listens has no process: waiting out the usual
	// time would only send it calls that are bound to fail.
	r := c.table.byHost[d.host]
	if m.Refused && d.failures >= 2 && r != nil && r.State == Alive && r.Domain == c.self.Domain {
		c.suspect(r)
	}
}

func (c *Core) onLinkUp(m LinkUp) {
	hi := m.Hello
	if m.Addr != "" && c.addressReused(m) {
		c.emit(CloseLink{m.Link})
		return
	}
	if hi.Member.Host == c.self.Host || len(c.links) >= maxLinks {
		c.emit(CloseLink{m.Link})
		return
	}
	c.replaceLink(hi.Member.Host)
	l := &link{
		id: m.Link, host: hi.Member.Host, domain: hi.Member.Domain, region: hi.Member.Region,
		outbound: m.Addr != "", lazy: m.Addr == "" && hi.Lazy, lastReceived: c.now, openedAt: c.now,
		nextHeartbeat: c.now.Add(c.jitter(heartbeatInterval)), version: hi.Version,
	}
	c.links[l.id] = l
	c.linkByHost[l.host] = l
	delete(c.missingSince, l.host)
	c.table.domain(l.domain, l.region).lastReceived = c.now
	c.log(event.LinkUp, event.Fields{event.Subject: l.host})
	if !l.outbound {
		c.emit(SendHello{l.id, c.newHello(l)})
	}
	c.onHello(l, hi)
}

// addressReused notes who has answered at an address. It tells whether that is
// another host than the one that was sought, with which there is a link already.
//
// Addresses are used again. The record of the host that had one before lives on
// for some seconds, and each link to it comes up as one to its successor. Taken
// for a success it would be sought at once again, at each tick, and each of the
// links would replace the last one, with all that a new link costs. That another
// host answers also says that the old one's process is gone.
func (c *Core) addressReused(m LinkUp) bool {
	answers := m.Hello.Member.Host
	d := c.dials[m.Addr]
	c.dials[m.Addr] = &dialState{host: answers}
	if d == nil || d.host == "" || d.host == answers {
		return false
	}
	c.dials[m.Addr].nextAt = c.now.Add(maxDialBackoff)
	if r := c.table.byHost[d.host]; r != nil && r.State == Alive && r.Domain == c.self.Domain {
		c.suspect(r)
	}
	return c.linkByHost[answers] != nil
}

// onHello takes in what the peer's hello says.
func (c *Core) onHello(l *link, hi Hello) {
	c.raiseIncarnation(hi.KnownIncarnation)
	c.merge(l.id, hi.Member)
	c.onPeerPoll(poll{version: hi.Version, cursor: hi.Cursor, at: c.ago(hi.HeadAge)})
	c.raiseFloor(hi.Floor)
	c.raiseFloor(hi.DomainFloor)
	c.recordPeerVersion(l, hi.Version)
	c.noteRemoteVersion(l, hi.Version)
	if l.domain == c.self.Domain {
		c.raiseRemoteFloor(l.id, hi.RemoteFloor)
	}
	c.onPeerVersion(l, hi.Version, hi.Hash)
	if c.shouldIntroduce(l, hi) {
		l.introductionUntil = c.now.Add(introductionPeriod)
		c.introduce(l)
		return
	}
	if l.host < c.self.Host {
		c.send(l, c.ownDigests())
	}
	c.sendReport()
	c.sendSummaries(l)
}

// replaceLink closes an older link to the same host: the peer opened a new
// one because the old one is dead to it.
func (c *Core) replaceLink(host string) {
	if old := c.linkByHost[host]; old != nil {
		c.emit(CloseLink{old.id})
		c.removeLink(old)
	}
}

func (c *Core) onLinkDown(id LinkID) {
	l := c.links[id]
	if l == nil {
		return
	}
	c.log(event.LinkDown, event.Fields{event.Subject: l.host})
	c.removeLink(l)
}

func (c *Core) removeLink(l *link) {
	delete(c.links, l.id)
	if c.linkByHost[l.host] == l {
		delete(c.linkByHost, l.host)
		c.removeReport(l.host)
	}
	c.version.removeSource(l.id)
}

// tickLinks sends heartbeats and closes links that have gone silent.
func (c *Core) tickLinks() {
	for _, l := range c.sortedLinks() {
		if c.now.Sub(l.lastReceived) > linkSilenceTimeout {
			c.emit(CloseLink{l.id})
			c.removeLink(l)
			continue
		}
		if c.now.Before(l.nextHeartbeat) {
			continue
		}
		l.nextHeartbeat = c.now.Add(heartbeatInterval)
		c.send(l, Heartbeat{Root: c.table.rootDigest(), Version: c.version.number, HeadAge: age(c.now, c.watch.headReadAt), Cursor: c.watch.cursor})
	}
}

func (c *Core) sortedLinks() []*link {
	out := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
