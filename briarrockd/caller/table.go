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

// Table is everything that calls are routed by: one version of the
// configuration together with the targets that its services have. It is made
// whole and then swapped in by one pointer, and a call keeps the one that it
// began with, so that no call sees half of a change.
type Table struct {
	*routing
	madeAt time.Time
	// sets are the targets of each service of the version. A listed service
	// without target has an empty set: its calls are told that they did not run.
	sets map[string][]upstream
}

// routing is the part of a table that only the version decides. Tables that
// differ in their targets alone share it: making it anew for each change of a
// member would cost a version of 2,700 entries a megabyte each time.
type routing struct {
	version  uint64
	services map[string]*service
	// hosts are the entries by host name, longest prefix first.
	hosts  map[string][]*entry
	limits snapshot.Limits
}

// service is one service of a version.
type service struct {
	*snapshot.Service
	routes []snapshot.Route // longest path first
}

// upstream is one target in a service's set, by the node that answers for it.
type upstream struct {
	host   string
	addr   string
	domain string
	region string
	slots  int
	// process tells the processes of the host's node apart.
	process uint64
	// far is set by the Balancer on an upstream in another region, overloaded on one of a
	// service of which some upstream had no room of late.
	far, overloaded bool
	// notices, also set by the Balancer, are what its targets have told of themselves.
	notices []target.Notice
}

// entry is one entry of a version with the services that it leads to.
type entry struct {
	*snapshot.Entry
	services []*service
	total    int
	// turn counts the entry's requests, from a random start.
	turn atomic.Uint64
}

// Version is the version that the table was made from.
func (t *Table) Version() uint64 { return t.version }

// Limits are the bounds for callers.
func (t *Table) Limits() snapshot.Limits { return t.limits }

// NewTable joins a version and the members into a table. A target of a
// service that the version doesn't list is left out, a listed service without
// open target gets an empty set.
func NewTable(version uint64, s *snapshot.Snapshot, members []peer.Member) *Table {
	return newRouting(version, s).with(members)
}

// WithMembers returns a table of the same version with other members.
func (t *Table) WithMembers(members []peer.Member) *Table { return t.with(members) }

func newRouting(version uint64, s *snapshot.Snapshot) *routing {
	r := &routing{
		version: version, limits: s.Limits,
		services: make(map[string]*service, len(s.Services)),
		hosts:    make(map[string][]*entry),
	}
	for i := range s.Services {
		svc := &s.Services[i]
		r.services[svc.Name] = &service{Service: svc, routes: byLength(svc.Routes)}
	}
	for i := range s.Entries {
		r.enter(&s.Entries[i])
	}
	for _, list := range r.hosts {
		slices.SortStableFunc(list, func(a, b *entry) int { return len(b.Route.Path) - len(a.Route.Path) })
	}
	return r
}

func (r *routing) enter(e *snapshot.Entry) {
	x := &entry{Entry: e, services: make([]*service, 0, len(e.Parts))}
	for _, p := range e.Parts {
		x.services = append(x.services, r.services[p.Service])
		x.total += p.Weight
	}
	x.turn.Store(rand.Uint64())
	r.hosts[e.Host] = append(r.hosts[e.Host], x)
}

func (r *routing) with(members []peer.Member) *Table {
	t := &Table{routing: r, madeAt: time.Now(), sets: make(map[string][]upstream, len(r.services))}
	for name := range r.services {
		t.sets[name] = []upstream{}
	}
	for i := range members {
		t.add(&members[i])
	}
	return t
}

func (t *Table) add(m *peer.Member) {
	if m.State != peer.Alive {
		return
	}
	for _, x := range m.Targets {
		svc := t.services[x.Service]
		if svc == nil || x.Draining {
			continue
		}
		t.sets[x.Service] = append(t.sets[x.Service], upstream{
			host: m.Host, addr: m.CallAddr, domain: m.Domain, region: m.Region,
			slots: min(x.Slots, svc.Slots), process: m.Incarnation,
		})
	}
}

func byLength(routes []snapshot.Route) []snapshot.Route {
	out := slices.Clone(routes)
	slices.SortStableFunc(out, func(a, b snapshot.Route) int { return len(b.Path) - len(a.Path) })
	return out
}

// entry finds the entry for a host and a path: the longest prefix. known tells
// whether the host has any entry.
func (t *Table) entry(host, path string) (e *entry, known bool) {
	list, known := t.hosts[host]
	for _, x := range list {
		if strings.HasPrefix(path, x.Route.Path) {
			return x, true
		}
	}
	return nil, known
}

// canServe tells whether a request has targets, or would be refused whatever targets
// there are.
func (t *Table) canServe(r *http.Request) bool {
	e, known := t.entry(hostName(r.Host), r.URL.Path)
	if e == nil {
		svc := t.services[serviceName(r.Host)]
		return known || svc == nil || len(t.sets[svc.Name]) > 0
	}
	for _, svc := range e.services {
		if len(t.sets[svc.Name]) == 0 {
			return false
		}
	}
	return true
}

// golden is the golden ratio's fraction in 64 bits. Its multiples fall evenly
// into the range, so that each part gets its share within a few requests and
// not only on the average of many.
const golden = 0x9E3779B97F4A7C15

// pick chooses one of the entry's services by weight.
func (x *entry) pick() *service {
	at := x.turn.Add(1) * golden
	place := int(at >> 32 * uint64(x.total) >> 32)
	for i, p := range x.Parts {
		if place < p.Weight {
			return x.services[i]
		}
		place -= p.Weight
	}
	return x.services[len(x.services)-1]
}

// hostName is a Host header without its port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// route finds the route for a method and path: the longest path that is a
// prefix by whole segments, and among equals one that names the method.
func (s *service) route(method, path string) (snapshot.Route, bool) {
	var open *snapshot.Route
	for i := range s.routes {
		r := &s.routes[i]
		if !covers(r.Path, path) {
			continue
		}
		if open != nil && len(r.Path) < len(open.Path) {
			break
		}
		if slices.Contains(r.Methods, method) {
			return *r, true
		}
		if len(r.Methods) == 0 && open == nil {
			open = r
		}
	}
	if open != nil {
		return *open, true
	}
	return snapshot.Route{}, false
}

func covers(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
