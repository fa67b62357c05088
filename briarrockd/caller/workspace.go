package caller

import (
	"net/http"
	"time"

	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// HeaderWorkspaceKey carries a caller's key, by which the entry node finds the caller's
// workspace.
const HeaderWorkspaceKey = "Briarrock-Key"

// unprovenRetryAfter is the mean retry delay for callers whose key can't be checked now. A
// node that reaches its peers again has a new proof in about this time.
const unprovenRetryAfter = 200 * time.Millisecond

// keyState says why a request has no workspace, for logs and metrics.
type keyState string

const (
	keyMissing   keyState = "missing"
	keyMalformed keyState = "malformed" // doubled, empty or too long
	keyUnknown   keyState = "unknown"
	keyUnproven  keyState = "unproven"
	keyPresent   keyState = ""
)

// callerKey is the key that a request carries. Only its hash is kept.
type callerKey struct {
	hash  snapshot.KeyHash
	state keyState // keyMissing, keyMalformed or keyPresent
}

// takeKey removes a caller's key, and a workspace that it claims, from the headers of its
// request, and returns the key.
func takeKey(h http.Header) callerKey {
	values, ok := h[HeaderWorkspaceKey]
	delete(h, HeaderWorkspaceKey)
	delete(h, target.HeaderWorkspace)
	switch {
	case !ok:
		return callerKey{state: keyMissing}
	case len(values) != 1 || values[0] == "" || len(values[0]) > snapshot.MaxKeyBytes:
		return callerKey{state: keyMalformed}
	default:
		return callerKey{hash: snapshot.HashKey(values[0])}
	}
}

// workspacesByKey returns the workspaces of a version by the hashes of their keys; nil if the
// version has no workspaces and its routes need no key.
func workspacesByKey(s *snapshot.Snapshot) map[snapshot.KeyHash]*snapshot.Workspace {
	if len(s.Workspaces) == 0 {
		return nil
	}
	n := 0
	for i := range s.Workspaces {
		n += len(s.Workspaces[i].Keys)
	}
	m := make(map[snapshot.KeyHash]*snapshot.Workspace, n)
	for i := range s.Workspaces {
		for _, k := range s.Workspaces[i].Keys {
			m[k] = &s.Workspaces[i]
		}
	}
	return m
}

// workspace returns the workspace of a key; nil and the reason if there is none.
func (r *routing) workspace(k callerKey) (*snapshot.Workspace, keyState) {
	if k.state != keyPresent {
		return nil, k.state
	}
	if w := r.workspaces[k.hash]; w != nil {
		return w, keyPresent
	}
	return nil, keyUnknown
}

// needsKey reports whether a request is refused unless it has a valid key.
func (t *Table) needsKey(r *http.Request) bool {
	if t.workspaces == nil {
		return false
	}
	if e, _ := t.entry(hostName(r.Host), routePath(r.URL)); e != nil {
		return !e.Route.Open
	}
	svc := t.services[serviceName(r.Host)]
	if svc == nil {
		return false
	}
	route, ok := svc.route(r.Method, routePath(r.URL))
	return ok && !route.Open
}

// proven reports whether the table that is loaded next is recent enough for a call with the
// given key.
func (p *Proxy) proven(k callerKey) bool {
	return k.state != keyPresent || p.deps.Proven == nil || p.deps.Proven()
}

// identify finds the call's workspace by the caller's key. It refuses a call without one on
// a route that is not open. Unless the version in use is proven, it refuses all calls there
// that have a key: the key may have been taken away, or an unknown one added. On an open
// route they run without a workspace.
func (p *Proxy) identify(c *call, k callerKey, proven bool) refusal {
	if c.table.workspaces == nil {
		return refusal{}
	}
	w, state := c.table.workspace(k)
	switch {
	case c.route.Open && (w == nil || !proven):
		return refusal{}
	case !proven:
		return p.refuseKey(c, keyUnproven, refusal{kind: kind.Unproven, retryAfter: jitter(unprovenRetryAfter)})
	case w == nil:
		return p.refuseKey(c, state, refusal{kind: kind.Workspace})
	}
	c.workspace = w
	if w.Priority != nil {
		c.route.Priority = *w.Priority
	}
	return refusal{}
}

// refuseKey records why a call is refused for its key.
func (p *Proxy) refuseKey(c *call, state keyState, ref refusal) refusal {
	c.keyState = state
	p.counters.keyRefused(state)
	p.deps.Log.Emit(event.KeyRefused, event.Fields{
		event.Subject: c.routeName(), "service": c.service.Name, "reason": string(state), "version": c.table.version,
	})
	return ref
}

// logWorkspaces logs the workspaces of a new version. Tables that differ only in their
// targets are not logged.
func (p *Proxy) logWorkspaces(old, t *Table) {
	var before map[snapshot.KeyHash]*snapshot.Workspace
	if old != nil {
		if old.routing == t.routing {
			return
		}
		before = old.workspaces
	}
	if before == nil && t.workspaces == nil {
		return
	}
	p.deps.Log.Emit(event.Workspaces, event.Fields{
		"version": t.version, "workspaces": t.workspaceCount, "keys": len(t.workspaces),
		"added": countMissing(t.workspaces, before), "removed": countMissing(before, t.workspaces),
	})
}

// countMissing returns how many keys of a are not in b.
func countMissing(a, b map[snapshot.KeyHash]*snapshot.Workspace) int {
	n := 0
	for k := range a {
		if b[k] == nil {
			n++
		}
	}
	return n
}

// registerWorkspaceGauges registers the numbers of workspaces and keys of the table.
func (p *Proxy) registerWorkspaceGauges() {
	gauge := func(name string, of func(*Table) int) {
		p.deps.Metrics.GetOrCreateGauge(name, func() float64 {
			if t := p.table.Load(); t != nil {
				return float64(of(t))
			}
			return 0
		})
	}
	gauge("briarrock_workspaces", func(t *Table) int { return t.workspaceCount })
	gauge("briarrock_workspace_keys", func(t *Table) int { return len(t.workspaces) })
}

// workspaceName returns the name of the call's workspace; empty if it has none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// takeToken takes the call from the allowance of its workspace.
func (p *Proxy) takeToken(c *call) refusal {
	if c.workspace == nil || p.deps.Allowance == nil {
		return refusal{}
	}
	retryAfter, ok := p.deps.Allowance.Take(c.workspace.Name)
	if !ok {
		return refusal{kind: kind.Allowance, retryAfter: retryAfter}
	}
	c.hasToken = true
	return refusal{}
}

// returnToken returns the token of a call that did not run to the allowance of its
// workspace, once.
func (p *Proxy) returnToken(c *call) {
	if c.hasToken {
		c.hasToken = false
		p.deps.Allowance.Return(c.workspace.Name)
	}
}
