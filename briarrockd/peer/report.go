package peer

import (
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

// summaryInterval is how often a root tells its summary again, so that a domain
// that falls silent can be told from one where nothing happens.
const summaryInterval = 10 * time.Second

// domainForgetAfter is how long a whole domain may be silent before its members are
// forgotten: longer than domains and regions are ever cut off.
const domainForgetAfter = 6 * time.Hour

// tally counts nodes by the version that they use.
type tally struct {
	counts   map[uint64]int
	laggards []string
}

// reports is what a node knows of who uses which version.
type reports struct {
	// children are the last reports of the children in the tree.
	children map[string]Report
	// lastSent is the last report that went to parent.
	lastSent Report
	parent   string
	dirty    bool
	// domains are the latest summaries, this domain's own included at its root.
	domains     map[string]receivedSummary
	nextSummary time.Time
	stale       map[string]bool
}

// receivedSummary is a summary and when it came.
type receivedSummary struct {
	Summary
	at time.Time
}

func newReports() reports {
	return reports{
		children: make(map[string]Report),
		domains:  make(map[string]receivedSummary),
		stale:    make(map[string]bool),
		dirty:    true,
	}
}

func (c *Core) markReportDirty() { c.reports.dirty = true }

func (c *Core) removeReport(host string) {
	if _, ok := c.reports.children[host]; ok {
		delete(c.reports.children, host)
		c.reports.dirty = true
	}
	if c.reports.parent == host {
		c.reports.parent = ""
	}
}

func (c *Core) onReport(l *link, f Report) {
	if l.domain != c.self.Domain {
		return
	}
	c.reports.children[l.host] = f
	c.reports.dirty = true
}

// subtreeReport adds up this node and what its children reported. Reports of hosts
// that are no longer children are dropped: after the order changed they would
// be counted in two places.
func (c *Core) subtreeReport() Report {
	children := make(map[string]bool)
	i := c.orderIndex()
	order := c.table.members(c.self.Domain)
	for k := range treeDegree {
		if j := treeDegree*i + 1 + k; i >= 0 && j < len(order) {
			children[order[j].Host] = true
		}
	}
	t := tally{counts: make(map[uint64]int)}
	t.counts[c.version.number]++
	for host, r := range c.reports.children {
		if !children[host] {
			delete(c.reports.children, host)
			continue
		}
		for _, n := range r.Counts {
			t.counts[n.Version] += n.Nodes
		}
		t.laggards = append(t.laggards, r.Laggards...)
	}
	return t.report(c.self.Host, c.version.number)
}

// report turns a tally into its bounded form: the newest versions, and the
// names of some that are behind.
func (t *tally) report(host string, own uint64) Report {
	var r Report
	newest := uint64(0)
	for v, n := range t.counts {
		r.Counts = append(r.Counts, VersionCount{v, n})
		newest = max(newest, v)
	}
	if own < newest {
		t.laggards = append(t.laggards, host)
	}
	sort.Slice(r.Counts, func(i, j int) bool { return r.Counts[i].Version > r.Counts[j].Version })
	for len(r.Counts) > maxCounts {
		last := r.Counts[len(r.Counts)-1]
		r.Counts = r.Counts[:len(r.Counts)-1]
		r.Counts[len(r.Counts)-1].Nodes += last.Nodes
	}
	sort.Strings(t.laggards)
	r.Laggards = t.laggards[:min(len(t.laggards), maxLaggards)]
	return r
}

func (c *Core) tickReport() {
	if c.reports.dirty {
		c.sendReport()
	}
	if c.isRoot() && !c.now.Before(c.reports.nextSummary) {
		c.summarize()
	}
	c.checkStaleDomains()
}

// sendReport sends this node's report to its parent, if either changed. At
// the root it goes out to the other domains instead.
func (c *Core) sendReport() {
	r := c.subtreeReport()
	c.reports.dirty = false
	if c.isRoot() {
		if !sameReport(r, c.reports.lastSent) {
			c.reports.lastSent = r
			c.summarize()
		}
		return
	}
	p := c.parent()
	if p == nil || c.linkByHost[p.Host] == nil {
		c.reports.dirty = true
		return
	}
	if p.Host == c.reports.parent && sameReport(r, c.reports.lastSent) {
		return
	}
	c.reports.lastSent = r
	c.reports.parent = p.Host
	c.send(c.linkByHost[p.Host], r)
}

func sameReport(a, b Report) bool {
	if len(a.Counts) != len(b.Counts) || len(a.Laggards) != len(b.Laggards) {
		return false
	}
	for i := range a.Counts {
		if a.Counts[i] != b.Counts[i] {
			return false
		}
	}
	for i := range a.Laggards {
		if a.Laggards[i] != b.Laggards[i] {
			return false
		}
	}
	return true
}

// summarize tells the other domains what this one uses.
func (c *Core) summarize() {
	c.reports.nextSummary = c.now.Add(summaryInterval)
	r := c.subtreeReport()
	s := Summary{
		Domain:   c.self.Domain,
		Region:   c.self.Region,
		At:       c.now.UnixMilli(),
		Members:  len(c.table.members(c.self.Domain)),
		Counts:   r.Counts,
		Laggards: r.Laggards,
	}
	c.reports.domains[s.Domain] = receivedSummary{s, c.now}
	c.relaySummary(0, s)
}

func (c *Core) onSummary(l *link, f Summary) {
	old, ok := c.reports.domains[f.Domain]
	if f.Domain == c.self.Domain || (ok && f.At <= old.At) || (!ok && len(c.reports.domains) >= maxDomains) {
		return
	}
	c.reports.domains[f.Domain] = receivedSummary{f, c.now}
	c.relaySummary(l.id, f)
}

// relaySummary passes a summary on to the bridges of other domains, and to
// the first two of the own one, who may have to take over.
func (c *Core) relaySummary(from LinkID, s Summary) {
	for _, l := range c.sortedLinks() {
		if l.id == from || l.lazy || l.domain == s.Domain || !c.carriesSummaries(l) || c.introductionOnly(l) {
			continue
		}
		c.send(l, s)
	}
}

// carriesSummaries tells whether summaries go over a link: those between domains, and
// the one between the two bridges of this domain.
func (c *Core) carriesSummaries(l *link) bool {
	if l.domain != c.self.Domain {
		return true
	}
	order := c.table.members(c.self.Domain)
	for _, r := range order[:min(len(order), bridgesPerDomain)] {
		if r.Host == l.host {
			return c.orderIndex() < bridgesPerDomain
		}
	}
	return false
}

// sendSummaries brings a new link up to date.
func (c *Core) sendSummaries(l *link) {
	if l.lazy || !c.carriesSummaries(l) {
		return
	}
	for _, name := range c.summaryNames() {
		if name != l.domain {
			c.send(l, c.reports.domains[name].Summary)
		}
	}
}

func (c *Core) summaryNames() []string {
	names := make([]string, 0, len(c.reports.domains))
	for name := range c.reports.domains {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// checkStaleDomains logs, at the root, when another domain falls silent.
func (c *Core) checkStaleDomains() {
	if !c.isRoot() {
		return
	}
	for name, s := range c.reports.domains {
		silent := name != c.self.Domain && c.now.Sub(s.at) > summaryInterval+domainStaleAfter
		if silent && !c.reports.stale[name] {
			c.log(event.DomainStale, event.Fields{event.Subject: name, "since": s.at.UTC().Format(time.RFC3339)})
		}
		c.reports.stale[name] = silent
		if silent && c.now.Sub(s.at) > domainForgetAfter {
			c.declareDomainDead(name)
		}
	}
}

// declareDomainDead declares the members of a domain dead that has been silent for
// so long that it was most likely given up: nobody of its own is left to say
// so, and its members would be kept for good. If it was only cut off, they
// object when they come back.
func (c *Core) declareDomainDead(name string) {
	delete(c.reports.domains, name)
	delete(c.reports.stale, name)
	for _, host := range c.hostsOf(name) {
		m := c.table.byHost[host].Member
		m.State = Dead
		c.merge(0, m)
	}
}

// DomainStatus is what one domain serves, as the asked node knows it.
type DomainStatus struct {
	Domain   string         `json:"domain"`
	Region   string         `json:"region"`
	Members  int            `json:"members"`
	Counts   []VersionCount `json:"counts"`
	Laggards []string       `json:"laggards,omitempty"`
	// Silent is for how many milliseconds nothing was heard of the domain; 0
	// while it is heard of as usual.
	SilentMillis int64 `json:"silent,omitempty"`
}

// Status is what the mesh serves.
type Status struct {
	Version uint64         `json:"version"`
	Hash    string         `json:"hash"`
	Domains []DomainStatus `json:"domains"`
	// Whole is set when the answer came from the root of a domain, which
	// hears of all the others.
	Complete bool `json:"whole"`
	// Store is for how many milliseconds nobody has read the head; -1 for
	// never.
	HeadAgeMillis int64 `json:"store"`
	// Held are requests that are held back because they crash targets.
	Held []HeldRequest `json:"held,omitempty"`
}

// Status returns what this node knows of the mesh, and the address of the
// node to ask instead when this one is not the root of its domain.
func (c *Core) Status(now time.Time) (Status, string) {
	s := Status{Version: c.version.number, Hash: c.version.hash.String(), Complete: c.isRoot(), HeadAgeMillis: -1}
	if !c.watch.headReadAt.IsZero() {
		s.HeadAgeMillis = now.Sub(c.watch.headReadAt).Milliseconds()
	}
	s.Held = c.crashes.heldRequests()
	known := make(map[string]bool)
	for _, name := range c.summaryNames() {
		d := c.reports.domains[name]
		known[name] = true
		out := DomainStatus{Domain: name, Region: d.Region, Members: d.Members, Counts: d.Counts, Laggards: d.Laggards}
		if silent := now.Sub(d.at); silent > summaryInterval+domainStaleAfter {
			out.SilentMillis = silent.Milliseconds()
		}
		s.Domains = append(s.Domains, out)
	}
	for _, name := range c.table.names() {
		if !known[name] {
			d := c.table.domains[name]
			s.Domains = append(s.Domains, DomainStatus{Domain: name, Region: d.region, Members: d.count})
		}
	}
	sort.Slice(s.Domains, func(i, j int) bool { return s.Domains[i].Domain < s.Domains[j].Domain })
	if r := c.root(); r != nil && !s.Complete {
		return s, r.PeerAddr
	}
	return s, ""
}
