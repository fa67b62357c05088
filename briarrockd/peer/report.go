package peer

import (
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

// summaryEvery is how often a root tells its summary again, so that a domain
// that falls silent can be told from one where nothing happens.
const summaryEvery = 10 * time.Second

// forgetDomain is how long a whole domain may be silent before its members are
// forgotten: longer than domains and regions are ever cut off.
const forgetDomain = 6 * time.Hour

// tally counts nodes by the version that they use.
type tally struct {
	counts   map[uint64]int
	laggards []string
}

// reports is what a node knows of who uses which version.
type reports struct {
	// children are the last reports of the children in the tree.
	children map[string]Report
	// sent is the last report that went to parent.
	sent   Report
	parent string
	dirty  bool
	// domains are the latest summaries, this domain's own included at its root.
	domains map[string]summarized
	nextAt  time.Time
	stale   map[string]bool
}

// summarized is a summary and when it came.
type summarized struct {
	Summary
	at time.Time
}

func newReports() reports {
	return reports{
		children: make(map[string]Report),
		domains:  make(map[string]summarized),
		stale:    make(map[string]bool),
		dirty:    true,
	}
}

func (h *Core) reportChanged() { h.report.dirty = true }

func (h *Core) reportLost(host string) {
	if _, ok := h.report.children[host]; ok {
		delete(h.report.children, host)
		h.report.dirty = true
	}
	if h.report.parent == host {
		h.report.parent = ""
	}
}

func (h *Core) reported(l *link, f Report) {
	if l.domain != h.self.Domain {
		return
	}
	h.report.children[l.host] = f
	h.report.dirty = true
}

// subtree adds up this node and what its children reported. Reports of hosts
// that are no longer children are dropped: after the order changed they would
// be counted in two places.
func (h *Core) subtree() Report {
	children := make(map[string]bool)
	i := h.position()
	order := h.table.members(h.self.Domain)
	for c := range degree {
		if j := degree*i + 1 + c; i >= 0 && j < len(order) {
			children[order[j].Host] = true
		}
	}
	t := tally{counts: make(map[uint64]int)}
	t.counts[h.version.number]++
	for host, r := range h.report.children {
		if !children[host] {
			delete(h.report.children, host)
			continue
		}
		for _, c := range r.Counts {
			t.counts[c.Version] += c.Nodes
		}
		t.laggards = append(t.laggards, r.Laggards...)
	}
	return t.report(h.self.Host, h.version.number)
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

func (h *Core) tickReport() {
	if h.report.dirty {
		h.sendReport()
	}
	if h.isRoot() && !h.now.Before(h.report.nextAt) {
		h.summarize()
	}
	h.noteStale()
}

// sendReport sends this node's report to its parent, if either changed. At
// the root it goes out to the other domains instead.
func (h *Core) sendReport() {
	r := h.subtree()
	h.report.dirty = false
	if h.isRoot() {
		if !sameReport(r, h.report.sent) {
			h.report.sent = r
			h.summarize()
		}
		return
	}
	p := h.parent()
	if p == nil || h.byHost[p.Host] == nil {
		h.report.dirty = true
		return
	}
	if p.Host == h.report.parent && sameReport(r, h.report.sent) {
		return
	}
	h.report.sent = r
	h.report.parent = p.Host
	h.send(h.byHost[p.Host], r)
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
func (h *Core) summarize() {
	h.report.nextAt = h.now.Add(summaryEvery)
	r := h.subtree()
	s := Summary{
		Domain:   h.self.Domain,
		Region:   h.self.Region,
		At:       h.now.UnixMilli(),
		Members:  len(h.table.members(h.self.Domain)),
		Counts:   r.Counts,
		Laggards: r.Laggards,
	}
	h.report.domains[s.Domain] = summarized{s, h.now}
	h.relaySummary(0, s)
}

func (h *Core) summary(l *link, f Summary) {
	old, ok := h.report.domains[f.Domain]
	if f.Domain == h.self.Domain || (ok && f.At <= old.At) || (!ok && len(h.report.domains) >= maxDomains) {
		return
	}
	h.report.domains[f.Domain] = summarized{f, h.now}
	h.relaySummary(l.id, f)
}

// relaySummary passes a summary on to the bridges of other domains, and to
// the first two of the own one, who may have to take over.
func (h *Core) relaySummary(from LinkID, s Summary) {
	for _, l := range h.sortedLinks() {
		if l.id == from || l.lazy || l.domain == s.Domain || !h.carries(l) || h.restricted(l) {
			continue
		}
		h.send(l, s)
	}
}

// carries tells whether summaries go over a link: those between domains, and
// the one between the two bridges of this domain.
func (h *Core) carries(l *link) bool {
	if l.domain != h.self.Domain {
		return true
	}
	order := h.table.members(h.self.Domain)
	for _, r := range order[:min(len(order), bridges)] {
		if r.Host == l.host {
			return h.position() < bridges
		}
	}
	return false
}

// sendSummaries brings a new link up to date.
func (h *Core) sendSummaries(l *link) {
	if l.lazy || !h.carries(l) {
		return
	}
	for _, name := range h.summaryNames() {
		if name != l.domain {
			h.send(l, h.report.domains[name].Summary)
		}
	}
}

func (h *Core) summaryNames() []string {
	names := make([]string, 0, len(h.report.domains))
	for name := range h.report.domains {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// noteStale logs, at the root, when another domain falls silent.
func (h *Core) noteStale() {
	if !h.isRoot() {
		return
	}
	for name, s := range h.report.domains {
		silent := name != h.self.Domain && h.now.Sub(s.at) > summaryEvery+staleAfter
		if silent && !h.report.stale[name] {
			h.log(event.DomainStale, event.Fields{event.Subject: name, "since": s.at.UTC().Format(time.RFC3339)})
		}
		h.report.stale[name] = silent
		if silent && h.now.Sub(s.at) > forgetDomain {
			h.giveUp(name)
		}
	}
}

// giveUp declares the members of a domain dead that has been silent for
// so long that it was most likely given up: nobody of its own is left to say
// so, and its members would be kept for good. If it was only cut off, they
// object when they come back.
func (h *Core) giveUp(name string) {
	delete(h.report.domains, name)
	delete(h.report.stale, name)
	for _, host := range h.hostsOf(name) {
		m := h.table.byHost[host].Member
		m.State = Dead
		h.merge(0, m)
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
func (h *Core) Status(now time.Time) (Status, string) {
	s := Status{Version: h.version.number, Hash: h.version.hash.String(), Complete: h.isRoot(), HeadAgeMillis: -1}
	if !h.watch.freshAt.IsZero() {
		s.HeadAgeMillis = now.Sub(h.watch.freshAt).Milliseconds()
	}
	s.Held = h.holds.list()
	known := make(map[string]bool)
	for _, name := range h.summaryNames() {
		d := h.report.domains[name]
		known[name] = true
		out := DomainStatus{Domain: name, Region: d.Region, Members: d.Members, Counts: d.Counts, Laggards: d.Laggards}
		if silent := now.Sub(d.at); silent > summaryEvery+staleAfter {
			out.SilentMillis = silent.Milliseconds()
		}
		s.Domains = append(s.Domains, out)
	}
	for _, name := range h.table.names() {
		if !known[name] {
			d := h.table.domains[name]
			s.Domains = append(s.Domains, DomainStatus{Domain: name, Region: d.region, Members: d.count})
		}
	}
	sort.Slice(s.Domains, func(i, j int) bool { return s.Domains[i].Domain < s.Domains[j].Domain })
	if r := h.root(); r != nil && !s.Complete {
		return s, r.PeerAddr
	}
	return s, ""
}
