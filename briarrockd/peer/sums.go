package peer

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Intervals of the mesh-wide sums.
const (
	// sumsInterval is the least time between two frames with a node's contributions,
	// and between two frames with totals of one root.
	sumsInterval = 200 * time.Millisecond
	// sumsKeepalive is the time after which a frame is sent although nothing changed,
	// and sumsTimeout the time without one after which the contributions of a subtree
	// or of a domain are no longer included. Until then the sides of a partition take
	// each other's use for unchanged, and two sides with a surge exceed allowances.
	sumsKeepalive = 400 * time.Millisecond
	sumsTimeout   = 1000 * time.Millisecond
	// removedCounterTTL is how long the serial of a removed counter is kept.
	removedCounterTTL = time.Minute
)

// nodesKey is the key under which each node with counters contributes 1, so that the
// sums tell how many nodes they include.
const nodesKey = ""

// CountersChanged replaces this node's contributions to the mesh-wide sums.
type CountersChanged struct{ Counters map[string][]uint64 }

// PublishSums publishes the sums over all nodes that are known to this one. It is sent
// with each frame of totals, also if no sum has changed; the time since the last one
// tells how old the sums are. Neither the map nor the vectors are modified afterwards.
type PublishSums struct {
	Sums map[string][]uint64
	// Nodes is the number of nodes whose contributions are included.
	Nodes int
}

func (CountersChanged) msg() {}
func (PublishSums) cmd()     {}

type (
	vectors map[string][]uint64
	keySet  map[string]bool
)

// sums is a node's state of the mesh-wide sums. Contributions are added up the tree of
// each domain, exchanged between the roots, and the totals are passed down the trees.
type sums struct {
	own      vectors
	children map[string]*childSums // by host
	subtree  vectors               // sums over this node and its children
	changed  keySet                // keys of subtree to be computed anew
	// parent is the link on which the subtree's sums were sent, sent the keys since
	// changed there.
	parent LinkID
	unsent keySet
	nextUp time.Time
	upSent time.Time // when a frame was last sent to the parent, or, at a root, to the domains

	root     bool
	domains  map[string]*domainSums // at a root; includes its own domain
	exchange map[LinkID]map[string]keySet
	serial   uint64

	totals        vectors
	totalsChanged keySet
	down          map[LinkID]bool // links on which all totals were sent
	downUnsent    keySet
	nextDown      time.Time
	downSent      time.Time
}

// childSums has the sums of a child's subtree; they are included unless stale.
type childSums struct {
	values vectors
	heard  time.Time
	stale  bool
}

// domainSums has the sums of a domain; they are included unless stale.
type domainSums struct {
	counters map[string]domainCounter
	newest   uint64    // highest serial received
	heard    time.Time // when it was received
	stale    bool
}

type domainCounter struct {
	values []uint64
	serial uint64
	at     time.Time
}

func newSums() sums {
	return sums{
		children: make(map[string]*childSums), subtree: make(vectors), changed: make(keySet), unsent: make(keySet),
		domains: make(map[string]*domainSums), exchange: make(map[LinkID]map[string]keySet),
		totals: make(vectors), totalsChanged: make(keySet), down: make(map[LinkID]bool), downUnsent: make(keySet),
	}
}

func addKeys[V any](s keySet, m map[string]V) {
	for k := range m {
		s[k] = true
	}
}

func (c *Core) onCountersChanged(counters map[string][]uint64) {
	s := &c.sums
	next := make(vectors, len(counters)+1)
	for k, v := range counters {
		if k != nodesKey && len(k) <= maxCounterKey && len(v) > 0 && len(v) <= maxCounterValues && len(next) < maxCounters-1 {
			next[k] = slices.Clone(v)
		}
	}
	if len(next) > 0 {
		next[nodesKey] = []uint64{1}
	}
	for k, v := range next {
		if !slices.Equal(v, s.own[k]) {
			s.changed[k] = true
		}
	}
	for k := range s.own {
		if next[k] == nil {
			s.changed[k] = true
		}
	}
	s.own = next
	c.flushSums()
}

// onSums applies the contributions of a child's subtree or of a domain.
func (c *Core) onSums(l *link, f Sums) {
	if f.Domain != "" {
		c.onDomainSums(l, f)
		return
	}
	if l.domain != c.self.Domain {
		return
	}
	s := &c.sums
	child := s.children[l.host]
	if child == nil {
		child = &childSums{values: make(vectors)}
		s.children[l.host] = child
	}
	child.heard = c.now
	if child.stale {
		child.stale = false
		addKeys(s.changed, child.values)
	}
	applyCounters(child.values, f.Counters, f.Full, s.changed)
	c.flushSums()
}

// applyCounters applies a frame's counters to m and adds the changed keys to changed.
func applyCounters(m vectors, counters []Counter, full bool, changed keySet) {
	if full {
		addKeys(changed, m)
		clear(m)
	}
	for _, n := range counters {
		changed[n.Key] = true
		if len(n.Values) == 0 {
			delete(m, n.Key)
			continue
		}
		if len(m) < maxCounters || m[n.Key] != nil {
			m[n.Key] = n.Values
		}
	}
}

// onDomainSums merges the sums of a domain, counter by counter. A node that is not the
// root passes them on to the root.
func (c *Core) onDomainSums(l *link, f Sums) {
	if !c.isRoot() {
		if r := c.root(); r != nil && l.domain != c.self.Domain && c.linkByHost[r.Host] != nil {
			f.Request = false
			c.send(c.linkByHost[r.Host], f)
		}
		return
	}
	s := &c.sums
	if f.Request {
		delete(s.exchange, l.id)
	}
	d := s.domains[f.Domain]
	if d == nil {
		if len(s.domains) >= maxDomains {
			return
		}
		d = &domainSums{counters: make(map[string]domainCounter)}
		s.domains[f.Domain] = d
	}
	for _, n := range f.Counters {
		old, ok := d.counters[n.Key]
		if n.Serial <= old.serial || n.Serial > maxSerial || (!ok && len(d.counters) >= maxCounters) {
			continue
		}
		if f.Domain == c.self.Domain {
			// An earlier root of this domain published it; this node's own sums
			// replace it with a higher serial.
			s.serial = max(s.serial, n.Serial)
			s.changed[n.Key] = true
			continue
		}
		d.counters[n.Key] = domainCounter{n.Values, n.Serial, c.now}
		s.totalsChanged[n.Key] = true
		c.queueExchange(l.id, f.Domain, n.Key)
		if n.Serial > d.newest {
			d.newest, d.heard = n.Serial, c.now
			if d.stale {
				d.stale = false
				addKeys(s.totalsChanged, d.counters)
			}
		}
	}
	c.flushSums()
}

func (c *Core) queueExchange(from LinkID, domain, key string) {
	for id, queued := range c.sums.exchange {
		if id == from {
			continue
		}
		if queued[domain] == nil {
			queued[domain] = make(keySet)
		}
		queued[domain][key] = true
	}
}

// onTotals applies the totals from the parent and passes them on.
func (c *Core) onTotals(l *link, f Totals) {
	p := c.parent()
	if p == nil || p.Host != l.host {
		return
	}
	applyCounters(c.sums.totals, f.Counters, f.Full, c.sums.downUnsent)
	c.sendTotals()
}

// removeSums drops the contributions of a peer whose link has closed.
func (c *Core) removeSums(l *link) {
	s := &c.sums
	delete(s.down, l.id)
	delete(s.exchange, l.id)
	if s.parent == l.id {
		s.parent = 0
	}
	if child := s.children[l.host]; child != nil {
		addKeys(s.changed, child.values)
		delete(s.children, l.host)
	}
}

// tickSums removes what is out of date and sends what is due.
func (c *Core) tickSums() {
	s := &c.sums
	if len(s.own) == 0 && len(s.children) == 0 && len(s.domains) == 0 && len(s.totals) == 0 && len(s.changed) == 0 {
		return
	}
	current := c.childHosts()
	for host, child := range s.children {
		switch {
		case !current[host] && !child.stale:
			// After a change of the order the host counts in another subtree. Its values
			// are kept: if it has not seen that change, it sends only what changes.
			child.stale = true
			addKeys(s.changed, child.values)
		case !child.stale && c.now.Sub(child.heard) > sumsTimeout:
			child.stale = true
			addKeys(s.changed, child.values)
		}
	}
	for name, d := range s.domains {
		if name != c.self.Domain && !d.stale && c.now.Sub(d.heard) > sumsTimeout {
			d.stale = true
			addKeys(s.totalsChanged, d.counters)
		}
		for k, n := range d.counters {
			if len(n.values) == 0 && c.now.Sub(n.at) > removedCounterTTL {
				delete(d.counters, k)
			}
		}
	}
	c.flushSums()
}

// UnknownContacts returns how many of the contacts in the settings are not the address
// of a known member, dead or alive, and the number of contacts.
func (c *Core) UnknownContacts() (unknown, contacts int) {
	known := make(map[string]bool, len(c.table.byHost))
	for _, r := range c.table.byHost {
		known[r.PeerAddr] = true
	}
	for _, addr := range c.cfg.Contacts {
		if !known[addr] {
			unknown++
		}
	}
	return unknown, len(c.cfg.Contacts)
}

// flushSums sends what has changed, as far as sumsInterval has passed.
func (c *Core) flushSums() {
	c.setSumsRoot(c.isRoot())
	if c.sums.root {
		c.publishDomain()
		c.sendExchange()
		c.addDomains()
		return
	}
	c.sendSubtree()
}

// setSumsRoot prepares for a change of this node's place: a new root asks the other
// roots for their sums; a node that is no longer the root forgets them.
func (c *Core) setSumsRoot(root bool) {
	s := &c.sums
	if s.root == root {
		return
	}
	s.root, s.parent = root, 0
	clear(s.domains)
	clear(s.exchange)
	addKeys(s.totalsChanged, s.totals)
	if !root {
		return
	}
	addKeys(s.changed, s.subtree)
	if len(s.subtree) == 0 && len(s.totals) == 0 {
		return
	}
	for _, l := range c.sortedLinks() {
		if c.exchangesSums(l) {
			c.send(l, Sums{Domain: c.self.Domain, Request: true})
		}
	}
}

// computeSubtree computes the changed sums of the subtree and adds their keys to out.
func (c *Core) computeSubtree(out keySet) {
	s := &c.sums
	for k := range s.changed {
		sum := slices.Clone(s.own[k])
		for _, child := range s.children {
			if !child.stale {
				sum = addCounters(sum, child.values[k])
			}
		}
		if slices.Equal(sum, s.subtree[k]) && !s.root {
			continue
		}
		out[k] = true
		if len(sum) == 0 {
			delete(s.subtree, k)
			continue
		}
		s.subtree[k] = sum
	}
	clear(s.changed)
}

// sendSubtree sends the changed sums of this node's subtree to its parent.
func (c *Core) sendSubtree() {
	s := &c.sums
	if c.now.Before(s.nextUp) {
		return
	}
	c.computeSubtree(s.unsent)
	p := c.parent()
	if p == nil || c.linkByHost[p.Host] == nil {
		return
	}
	l := c.linkByHost[p.Host]
	f := Sums{Full: s.parent != l.id}
	if f.Full {
		clear(s.unsent)
		addKeys(s.unsent, s.subtree)
	}
	idle := len(s.unsent) == 0 && (c.now.Sub(s.upSent) < sumsKeepalive || len(s.subtree) == 0)
	if c.introductionOnly(l) || idle {
		return
	}
	f.Counters = s.subtree.counters(s.unsent)
	s.parent = l.id
	clear(s.unsent)
	s.upSent, s.nextUp = c.now, c.now.Add(sumsInterval)
	c.send(l, f)
}

// counters returns the values of keys in the order of the keys.
func (v vectors) counters(keys keySet) []Counter {
	out := make([]Counter, 0, len(keys))
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		out = append(out, Counter{Key: k, Values: v[k]})
	}
	return out
}

// publishDomain puts the sums of this root's domain among those of the domains. The
// number of nodes is published anew at each sumsKeepalive, to show that the domain is
// connected.
func (c *Core) publishDomain() {
	s := &c.sums
	if c.now.Before(s.nextUp) {
		return
	}
	if len(s.subtree) > 0 && c.now.Sub(s.upSent) >= sumsKeepalive {
		s.changed[nodesKey] = true
	}
	if len(s.changed) == 0 {
		return
	}
	changed := make(keySet)
	c.computeSubtree(changed)
	d := s.domains[c.self.Domain]
	if d == nil {
		d = &domainSums{counters: make(map[string]domainCounter)}
		s.domains[c.self.Domain] = d
	}
	s.upSent, s.nextUp = c.now, c.now.Add(sumsInterval)
	s.serial = max(s.serial+1, uint64(max(c.now.UnixMilli(), 0)))
	for k := range changed {
		d.counters[k] = domainCounter{s.subtree[k], s.serial, c.now}
		s.totalsChanged[k] = true
		c.queueExchange(0, c.self.Domain, k)
	}
}

// exchangesSums reports whether a root exchanges the sums of domains over a link. All
// roots of a region are linked with each other, and the gateway nodes join the regions.
func (c *Core) exchangesSums(l *link) bool {
	return l.domain != c.self.Domain && !l.lazy && !c.introductionOnly(l)
}

// sendExchange sends the changed counters of the domains to the other roots. Those of
// other domains are passed on at once: their own root limits how often they change.
func (c *Core) sendExchange() {
	s := &c.sums
	if len(s.domains) == 0 {
		return
	}
	for _, l := range c.sortedLinks() {
		if !c.exchangesSums(l) {
			continue
		}
		queued := s.exchange[l.id]
		if queued == nil {
			queued = make(map[string]keySet)
			s.exchange[l.id] = queued
			for name, d := range s.domains {
				queued[name] = make(keySet)
				addKeys(queued[name], d.counters)
			}
		}
		for _, name := range slices.Sorted(maps.Keys(queued)) {
			f := Sums{Domain: name}
			for _, k := range slices.Sorted(maps.Keys(queued[name])) {
				n := s.domains[name].counters[k]
				f.Counters = append(f.Counters, Counter{k, n.values, n.serial})
			}
			if len(f.Counters) > 0 {
				c.send(l, f)
			}
		}
		clear(queued)
	}
}

// addDomains adds the sums of the domains and sends the totals down the tree.
func (c *Core) addDomains() {
	s := &c.sums
	idle := len(s.totalsChanged) == 0 && (c.now.Sub(s.downSent) < sumsKeepalive || len(s.totals) == 0)
	if c.now.Before(s.nextDown) || idle {
		return
	}
	for k := range s.totalsChanged {
		var sum []uint64
		for _, d := range s.domains {
			if !d.stale {
				sum = addCounters(sum, d.counters[k].values)
			}
		}
		if slices.Equal(sum, s.totals[k]) {
			continue
		}
		s.downUnsent[k] = true
		if len(sum) == 0 {
			delete(s.totals, k)
			continue
		}
		s.totals[k] = sum
	}
	clear(s.totalsChanged)
	s.nextDown = c.now.Add(sumsInterval)
	c.sendTotals()
}

// sendTotals publishes the totals and sends the changed ones to the children.
func (c *Core) sendTotals() {
	s := &c.sums
	s.downSent = c.now
	changed := s.totals.counters(s.downUnsent)
	clear(s.downUnsent)
	var all []Counter
	children := c.childHosts()
	for _, l := range c.sortedLinks() {
		if !children[l.host] || c.introductionOnly(l) {
			delete(s.down, l.id)
			continue
		}
		f := Totals{Counters: changed, Full: !s.down[l.id]}
		if f.Full {
			if all == nil {
				keys := make(keySet, len(s.totals))
				addKeys(keys, s.totals)
				all = s.totals.counters(keys)
			}
			f.Counters = all
			s.down[l.id] = true
		}
		c.send(l, f)
	}
	p := PublishSums{Sums: maps.Clone(s.totals)}
	if n := p.Sums[nodesKey]; len(n) > 0 {
		p.Nodes = int(min(n[0], math.MaxInt))
	}
	delete(p.Sums, nodesKey)
	c.emit(p)
}
