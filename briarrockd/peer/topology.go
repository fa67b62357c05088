package peer

import (
	"slices"
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

// Limits of the link graph.
const (
	// bridgesPerDomain is the number of bridge nodes of a domain, the members that link
	// to other domains of the region, and the number of gateway nodes of a region.
	bridgesPerDomain = 2
	// maxLinks is the maximum number of links of a node, inbound ones included.
	maxLinks = 512
)

// Timeouts and intervals of dialing and closing links.
const (
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = 5 * time.Second
	// unusedLinkTimeout is how long a link is kept after it has ceased to be one that
	// this node should have.
	unusedLinkTimeout = 5 * time.Second
	// joiningLinkTimeout is the same for a link by which this node has joined, once it has
	// another one that it should have. It leaves time to compare the tables; a longer one
	// would fill the contacts' maxLinks when many nodes start.
	joiningLinkTimeout = time.Second
	// rejoinInterval is the mean interval between attempts to link contacts that are
	// not known as members and members that were declared dead. These attempts heal a
	// partition whose sides have deleted each other's records.
	rejoinInterval = 10 * time.Second
	// isolatedDials is how many addresses a node without links dials per tick: some of
	// the hosts may be gone, and a dial to one of these takes seconds to fail.
	isolatedDials = 3
	// startJitter spreads the first attempts of nodes that start at the same time.
	startJitter = 300 * time.Millisecond
)

// desiredLink is a link that this node should have and has to dial itself.
type desiredLink struct {
	addr string
	host string
	lazy bool
}

// orderIndex returns this node's position in the order of its domain, or -1 if it is
// not in it.
func (c *Core) orderIndex() int {
	return slices.IndexFunc(c.table.members(c.self.Domain), func(r *record) bool { return r.Host == c.self.Host })
}

// parent returns this node's parent in the tree of its domain; nil for the root.
func (c *Core) parent() *record {
	if p := c.table.position(c.self.Domain, c.self.Host); p != nil {
		return c.table.byHost[p.parent]
	}
	return nil
}

// childHosts returns the hosts of this node's children in the tree of its domain.
func (c *Core) childHosts() map[string]bool {
	hosts := make(map[string]bool, treeDegree)
	if p := c.table.position(c.self.Domain, c.self.Host); p != nil {
		for _, host := range p.children {
			hosts[host] = true
		}
	}
	return hosts
}

// root returns the first member in the order of this node's domain.
func (c *Core) root() *record {
	order := c.table.members(c.self.Domain)
	if len(order) == 0 {
		return nil
	}
	return order[0]
}

func (c *Core) isRoot() bool { return c.orderIndex() == 0 }

// desiredLinks returns the links that this node has to dial.
func (c *Core) desiredLinks() []desiredLink {
	i := c.orderIndex()
	if i < 0 {
		return nil
	}
	order := c.table.members(c.self.Domain)
	var out []desiredLink
	if p := c.parent(); p != nil {
		out = append(out, desiredLink{addr: p.PeerAddr, host: p.Host})
		if p.Host != order[i-1].Host {
			out = append(out, desiredLink{addr: order[i-1].PeerAddr, host: order[i-1].Host})
		}
	}
	if i < bridgesPerDomain {
		out = append(out, c.interDomainLinks(i)...)
	}
	return append(out, c.interRegionLinks()...)
}

// interDomainLinks returns the links from bridge node i of this domain to bridge node i
// of each domain of the region whose name sorts after this one's. Domains that sort
// before it dial this one.
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

// interRegionLinks returns the links from the gateway nodes of this region to those of
// each region whose name sorts after this one's. The second gateway node's links are
// lazy: they carry a version only if the first one's link has not delivered it.
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
		remote := c.gateways(region)
		if len(remote) == 0 {
			continue
		}
		r := remote[min(i, len(remote)-1)]
		out = append(out, desiredLink{addr: r.PeerAddr, host: r.Host, lazy: i > 0})
	}
	return out
}

// gateways returns a region's gateway nodes: the members, at most two, that keep its
// links to other regions. They are the first members of the region's first two domains,
// or the first two members if it has only one domain. A stale domain provides a gateway
// node only if the others don't provide two.
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

// isStale reports whether this node has no link to the domain and has received no frame
// from it for longer than domainStaleAfter. A node that has never had a link to a domain
// can't judge this, so for it the domain is never stale.
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

// pickMember returns member i of a domain. If two dials to another domain's member i
// have failed, it returns another member, a different one after each further failure.
// This finds a domain again whose first members have all died while it was cut off, when
// no record of their deaths could arrive.
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

// maintainLinks dials the links that this node should have and closes those that it
// should not.
func (c *Core) maintainLinks() {
	if c.self.State == Leaving {
		return
	}
	if c.usesRoots() {
		for _, l := range c.sortedLinks() {
			c.retryMember(l)
		}
	}
	wanted := make(map[string]bool)
	for _, r := range c.neighbours() {
		wanted[r.Host] = true
		if l := c.linkByHost[r.Host]; l != nil {
			c.endIntroduction(l)
		}
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
	joined := slices.ContainsFunc(c.sortedLinks(), func(l *link) bool { return wanted[l.host] })
	for _, l := range c.sortedLinks() {
		c.closeUnwanted(l, wanted[l.host], joined)
	}
}

// closeUnwanted closes an outbound link once it has been unwanted for
// unusedLinkTimeout, or joiningLinkTimeout. The only link of a node is never closed.
func (c *Core) closeUnwanted(l *link, wanted, joined bool) {
	if wanted || !l.outbound || len(c.links) == 1 {
		l.unwantedSince = time.Time{}
		l.joining = l.joining && !wanted
		return
	}
	if l.unwantedSince.IsZero() {
		l.unwantedSince = c.now
		return
	}
	timeout := unusedLinkTimeout
	if l.joining && joined {
		timeout = joiningLinkTimeout
	}
	if c.now.Sub(l.unwantedSince) >= timeout {
		c.emit(CloseLink{l.id})
	}
}

// rejoin dials random addresses beyond the desired links: one per rejoinInterval, or
// isolatedDials per tick while this node has no link. They are contacts that are not known
// as members (any contact while this node has no link) and dead members of its own domain.
// The latter may have declared this node dead as well.
func (c *Core) rejoin() {
	isolated := len(c.links) == 0
	if !isolated && c.now.Before(c.nextRejoin) {
		return
	}
	c.nextRejoin = c.now.Add(rejoinInterval/2 + c.jitter(rejoinInterval))
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
		if addr != c.self.PeerAddr && (isolated || !known[addr]) {
			addrs = append(addrs, addr)
		}
	}
	n := 1
	if isolated {
		n = isolatedDials
	}
	for range min(n, len(addrs)) {
		c.dial(addrs[c.rng.IntN(len(addrs))], "", false)
	}
}

// hosts returns the hosts of the table in sorted order, so that a run can be replayed
// from its seed.
func (c *Core) hosts() []string {
	out := make([]string, 0, len(c.table.byHost))
	for host := range c.table.byHost {
		out = append(out, host)
	}
	sort.Strings(out)
	return out
}

// dial opens a link to addr, unless an attempt is in progress or the backoff after a
// failure has not elapsed. host is the host expected there; empty if unknown.
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
	// If nobody listens at the address, the process is gone. Waiting for suspectDelay
	// would only route calls to the host that are bound to fail.
	r := c.table.byHost[d.host]
	if m.Refused && d.failures >= 2 && r != nil && r.State == Alive && r.Domain == c.self.Domain {
		c.suspect(r)
	}
}

func (c *Core) onLinkUp(m LinkUp) {
	hello := m.Hello
	joining := m.Addr != "" && (c.dials[m.Addr] == nil || c.dials[m.Addr].host == "")
	if m.Addr != "" && c.addressReused(m) {
		c.emit(CloseLink{m.Link})
		return
	}
	if hello.Member.Host == c.self.Host || len(c.links) >= maxLinks {
		c.emit(CloseLink{m.Link})
		return
	}
	c.replaceLink(hello.Member.Host)
	l := &link{
		id: m.Link, host: hello.Member.Host, domain: hello.Member.Domain, region: hello.Member.Region,
		outbound: m.Addr != "", lazy: m.Addr == "" && hello.Lazy, lastReceived: c.now, openedAt: c.now,
		nextHeartbeat: c.now.Add(c.jitter(heartbeatInterval)), version: hello.Version, takesProofs: hello.Proofs,
		takesRollouts: hello.Rollouts, joining: joining,
	}
	c.links[l.id] = l
	c.linkByHost[l.host] = l
	delete(c.missingSince, l.host)
	c.log(event.LinkUp, event.Fields{event.Subject: l.host})
	if !l.outbound {
		c.emit(SendHello{l.id, c.newHello(l)})
	}
	c.onHello(l, hello)
}

// addressReused records which host answered at a dialed address. It reports whether
// that is a different host than the one dialed and already has a link with this node.
//
// Addresses are reused. The record of an address's previous host stays in the table for
// some seconds, and each link dialed for it reaches the new host. If that counted as
// success, the address would be dialed again at each tick, and each of these links
// would replace the previous one, with the full cost of a new link. An answer from a
// different host also shows that the previous host's process is gone.
func (c *Core) addressReused(m LinkUp) bool {
	host := m.Hello.Member.Host
	d := c.dials[m.Addr]
	c.dials[m.Addr] = &dialState{host: host}
	if d == nil || d.host == "" || d.host == host {
		return false
	}
	c.dials[m.Addr].nextAt = c.now.Add(maxDialBackoff)
	if r := c.table.byHost[d.host]; r != nil && r.State == Alive && r.Domain == c.self.Domain {
		c.suspect(r)
	}
	return c.linkByHost[host] != nil
}

// onHello processes the Hello of a peer.
func (c *Core) onHello(l *link, hello Hello) {
	if hello.KnownIncarnation > c.self.Incarnation {
		c.raiseIncarnation(hello.KnownIncarnation)
	}
	c.merge(l.id, hello.Member)
	c.table.receive(c.now, l.domain)
	c.onPeerPoll(poll{host: hello.Member.Host, version: hello.Version, cursor: hello.Cursor, at: c.ago(hello.HeadAge)})
	c.raiseFloor(hello.Floor)
	c.raiseFloor(hello.DomainFloor)
	c.recordPeerVersion(l, hello.Version)
	c.noteRemoteVersion(l, hello.Version)
	if l.domain == c.self.Domain {
		c.raiseRemoteFloor(l.id, hello.RemoteFloor)
	}
	c.onPeerVersion(l, hello.Version, hello.Hash)
	c.sendRollouts(l)
	if c.shouldIntroduce(l, hello) {
		l.introductionUntil = c.now.Add(introductionPeriod)
		c.introduce(l)
		return
	}
	c.compareTables(l)
}

// replaceLink closes an older link to the same host. The peer has opened a new one
// because on its side the old one is closed.
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
		c.removeSums(l)
	}
	c.version.removeSource(l.id)
}

// tickLinks sends heartbeats and closes links on which nothing has arrived for
// linkSilenceTimeout.
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
