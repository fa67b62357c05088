package caller

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/snapshot"
)

// Table is the routing table: one version of the configuration together with the targets
// of its services. A new table is built completely and then swapped in by one pointer. A
// call uses the table that it started with, so that no call sees half of a change.
type Table struct {
	*routing
	createdAt time.Time
	// upstreams are the targets of each service of the version. A listed service without
	// targets has an empty set: its calls are refused with the statement that they did
	// not run.
	upstreams map[string][]upstream
}

// routing is the part of a table that depends on the version only. Tables that differ
// only in their targets share it: rebuilding it for each change of a member would
// allocate a megabyte each time for a version of 2,700 entries.
type routing struct {
	version  uint64
	services map[string]*service
	// hosts are the entries by host name, longest path prefix first.
	hosts  map[string][]*entry
	limits snapshot.Limits
	// workspaces are the workspaces by key; nil if the version has none. workspaceCount is
	// their number.
	workspaces     map[snapshot.KeyHash]*snapshot.Workspace
	workspaceCount int
}

// service is one service of a version.
type service struct {
	*snapshot.Service
	routes []snapshot.Route // longest path first
}

// upstream is one target of a service, reached through the node on its host.
type upstream struct {
	host   string
	addr   string
	domain string
	region string
	slots  int
	// incarnation identifies the process of the host's node: a restarted one has another.
	incarnation uint64
	// version is the version of its software; empty if unknown.
	version string
	// pinned is set on the upstream of an attempt that may only run at this version.
	pinned bool
	// otherRegion is set by the Balancer on an upstream in another region, and overloaded
	// on one of a service with an upstream that was full recently.
	otherRegion, overloaded bool
	// notices, also set by the Balancer, are the notices of its targets to pass on to its
	// node.
	notices []target.Notice
}

// entry is one entry of a version with the services that it routes to.
type entry struct {
	*snapshot.Entry
	services    []*service
	totalWeight int
	// sequence counts the entry's requests, from a random start.
	sequence atomic.Uint64
}

// Version returns the version of the configuration that the table was built from.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds for callers.
func (t *Table) Limits() snapshot.Limits { return t.limits }

// NewTable builds a table from a version of the configuration and the members. A target
// of a service that the version doesn't list is left out. A listed service of which no
// target takes calls gets an empty set.
func NewTable(version uint64, s *snapshot.Snapshot, members []peer.Member) *Table {
	return newRouting(version, s).tableFor(members)
}

// WithMembers returns a table of the same version with other members.
func (t *Table) WithMembers(members []peer.Member) *Table { return t.tableFor(members) }

func newRouting(version uint64, s *snapshot.Snapshot) *routing {
	r := &routing{
		version: version, limits: s.Limits,
		services:   make(map[string]*service, len(s.Services)),
		hosts:      make(map[string][]*entry),
		workspaces: workspacesByKey(s), workspaceCount: len(s.Workspaces),
	}
	for i := range s.Services {
		svc := &s.Services[i]
		r.services[svc.Name] = &service{Service: svc, routes: byPathLength(svc.Routes)}
	}
	for i := range s.Entries {
		r.addEntry(&s.Entries[i])
	}
	for _, list := range r.hosts {
		slices.SortStableFunc(list, func(a, b *entry) int { return len(b.Route.Path) - len(a.Route.Path) })
	}
	return r
}

func (r *routing) addEntry(e *snapshot.Entry) {
	x := &entry{Entry: e, services: make([]*service, 0, len(e.Destinations))}
	for _, p := range e.Destinations {
		x.services = append(x.services, r.services[p.Service])
		x.totalWeight += p.Weight
	}
	x.sequence.Store(rand.Uint64())
	r.hosts[e.Host] = append(r.hosts[e.Host], x)
}

func (r *routing) tableFor(members []peer.Member) *Table {
	t := &Table{routing: r, createdAt: time.Now(), upstreams: make(map[string][]upstream, len(r.services))}
	for name := range r.services {
		t.upstreams[name] = []upstream{}
	}
	for i := range members {
		t.addMember(&members[i])
	}
	return t
}

func (t *Table) addMember(m *peer.Member) {
	if m.State != peer.Alive {
		return
	}
	for _, x := range m.Targets {
		svc := t.services[x.Service]
		if svc == nil || x.Draining {
			continue
		}
		t.upstreams[x.Service] = append(t.upstreams[x.Service], upstream{
			host: m.Host, addr: m.CallAddr, domain: m.Domain, region: m.Region,
			slots: min(x.Slots, svc.Slots), incarnation: m.Incarnation, version: x.Version,
		})
	}
}

func byPathLength(routes []snapshot.Route) []snapshot.Route {
	out := slices.Clone(routes)
	slices.SortStableFunc(out, func(a, b snapshot.Route) int { return len(b.Path) - len(a.Path) })
	return out
}

// entry returns the entry with the longest path prefix for a host and a path. known is
// set if the host has any entry.
func (t *Table) entry(host, path string) (e *entry, known bool) {
	list, known := t.hosts[host]
	for _, x := range list {
		if strings.HasPrefix(path, x.Route.Path) {
			return x, true
		}
	}
	return nil, known
}

// canServe reports whether the services of a request have targets. It also returns true
// if the request would be refused whatever targets there are.
func (t *Table) canServe(r *http.Request) bool {
	e, known := t.entry(hostName(r.Host), routePath(r.URL))
	if e == nil {
		svc := t.services[serviceName(r.Host)]
		return known || svc == nil || len(t.upstreams[svc.Name]) > 0
	}
	for _, svc := range e.services {
		if len(t.upstreams[svc.Name]) == 0 {
			return false
		}
	}
	return true
}

// goldenRatio64 is the fraction of the golden ratio in 64 bits. Its multiples are spread
// evenly over the range, so that each service gets its share within a few requests and
// not only in the long-term average.
const goldenRatio64 = 0x9E3779B97F4A7C15

// pick chooses one of the entry's services by weight.
func (x *entry) pick() *service {
	hash := x.sequence.Add(1) * goldenRatio64
	position := int(hash >> 32 * uint64(x.totalWeight) >> 32)
	for i, p := range x.Destinations {
		if position < p.Weight {
			return x.services[i]
		}
		position -= p.Weight
	}
	return x.services[len(x.services)-1]
}

// hostName returns a Host header without its port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// route returns the route for a method and a path: the longest path that is a prefix by
// whole segments. Among equally long ones it prefers a route that names the method.
func (s *service) route(method, path string) (snapshot.Route, bool) {
	var anyMethod *snapshot.Route
	for i := range s.routes {
		r := &s.routes[i]
		if !hasPathPrefix(r.Path, path) {
			continue
		}
		if anyMethod != nil && len(r.Path) < len(anyMethod.Path) {
			break
		}
		if slices.Contains(r.Methods, method) {
			return *r, true
		}
		if len(r.Methods) == 0 && anyMethod == nil {
			anyMethod = r
		}
	}
	if anyMethod != nil {
		return *anyMethod, true
	}
	return snapshot.Route{}, false
}

func hasPathPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
