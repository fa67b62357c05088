package peer

import (
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

// summaryInterval is how often the root of a domain sends its summary even if nothing
// has changed, so that other domains can distinguish an idle domain from one that is
// unreachable.
const summaryInterval = 10 * time.Second

// domainForgetAfter is how long no summary of a domain may arrive before its members
// are declared dead. It is longer than any partition of a domain or region lasts.
const domainForgetAfter = 6 * time.Hour

// maxClockLead is how far ahead of this host's clock the time of a summary may be. A later summary
// must have a later time, so one from the far future would be the last one of its domain.
const maxClockLead = 24 * time.Hour

// tally counts nodes by the version that they use.
type tally struct {
	counts   map[uint64]int
	laggards []string
}

// reports is a node's state of which versions are in use: the reports of its subtree
// and the summaries of the domains.
type reports struct {
	// children is, by host, the last report of each child in the tree.
	children map[string]Report
	// lastSent is the last report sent, to the host named by parent.
	lastSent Report
	parent   string
	// dirty is set when the report may have changed since it was sent.
	dirty bool
	// domains is, by domain, the latest summary; at a root this includes its own.
	domains     map[string]receivedSummary
	nextSummary time.Time
	// stale holds the domains whose summaries are overdue, so that each outage is
	// logged once.
	stale map[string]bool
}

// receivedSummary is a summary and when it arrived.
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

// subtreeReport returns the report of this node and the subtrees of its children.
// Reports of hosts that are no longer children are dropped: after a change of the
// tree they would be counted in two places.
func (c *Core) subtreeReport() Report {
	children := c.childHosts()
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

// report converts a tally to a Report of bounded size. It has the newest versions, with
// the counts of older ones added to the last of them, and some hosts with an older version.
// host and own are this node and the version it uses.
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

// sendReport sends this node's report to its parent, if the report or the parent has
// changed. The root sends a summary to the other domains instead.
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

// summarize sends the summary of this domain to the other domains.
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
	if f.At > c.now.Add(maxClockLead).UnixMilli() || f.Domain == c.self.Domain || (ok && f.At <= old.At) || (!ok && len(c.reports.domains) >= maxDomains) {
		return
	}
	c.reports.domains[f.Domain] = receivedSummary{f, c.now}
	c.relaySummary(l.id, f)
}

// relaySummary forwards a summary over all links that carry summaries, except the one
// it came from; a from of 0 excludes no link. They lead to the bridge nodes of other
// domains, and to the other bridge node of this domain, which may become the root.
func (c *Core) relaySummary(from LinkID, s Summary) {
	for _, l := range c.sortedLinks() {
		if l.id == from || l.lazy || l.domain == s.Domain || !c.carriesSummaries(l) || c.introductionOnly(l) {
			continue
		}
		c.send(l, s)
	}
}

// carriesSummaries reports whether summaries are sent over a link: links between domains,
// and the link between the two bridge nodes of this domain.
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

// sendSummaries sends all known summaries over a new link.
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

// checkStaleDomains logs, at the root, when the summaries of another domain stop, and
// declares the domain dead after domainForgetAfter.
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

// declareDomainDead declares all members of a domain dead. It is called after so long
// without a summary that the domain was most likely decommissioned. No member is left
// there to declare the others dead, so they would stay in the table forever. If the
// domain was only partitioned, its members refute this when they are reachable again.
func (c *Core) declareDomainDead(name string) {
	delete(c.reports.domains, name)
	delete(c.reports.stale, name)
	for _, host := range c.hostsOf(name) {
		m := c.table.byHost[host].Member
		m.State = Dead
		c.merge(0, m)
	}
}

// DomainStatus is what one domain serves, as known to the node that answers.
type DomainStatus struct {
	Domain   string         `json:"domain"`
	Region   string         `json:"region"`
	Members  int            `json:"members"`
	Counts   []VersionCount `json:"counts"`
	Laggards []string       `json:"laggards,omitempty"`
	// SilentMillis is the time in milliseconds since the last summary of the domain,
	// if that is overdue; else 0.
	SilentMillis int64 `json:"silent,omitempty"`
}

// Status is what the mesh serves.
type Status struct {
	Version uint64         `json:"version"`
	Hash    string         `json:"hash"`
	Domains []DomainStatus `json:"domains"`
	// Complete is set when the answer comes from the root of a domain, which receives
	// the summaries of all others.
	Complete bool `json:"whole"`
	// HeadAgeMillis is the time in milliseconds since the last known read of the head
	// by any node; -1 for never.
	HeadAgeMillis int64 `json:"store"`
	// Held lists the requests that are held back because they crash targets.
	Held []HeldRequest `json:"held,omitempty"`
}

// Status returns the mesh's status as known to this node. If this node is not the root
// of its domain, it also returns the root's peer address, where the status is complete.
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
