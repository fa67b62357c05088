package caller

import (
	"encoding/hex"
	"net/http"
	"net/url"

	"briarrock.example/mesh/kind"
	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/snapshot"
)

// Explain returns how a request would be routed by the current table, without sending
// anything.
func (p *Proxy) Explain(req api.Request) api.Explain {
	u, err := url.Parse(req.URL)
	if err != nil || u.Host == "" {
		return refused(api.Explain{}, kind.Request)
	}
	t := p.table.Load()
	if t == nil {
		return refused(api.Explain{}, kind.Config)
	}
	e := api.Explain{Version: t.version}
	key := parseKeyHash(req.KeyHash)
	w := explainKey(&e, t, key)
	svc := t.services[serviceName(u.Host)]
	if svc == nil {
		return refused(e, kind.Service)
	}
	e.Service, e.Slots, e.Queue = svc.Name, svc.Slots, svc.Queue
	for _, x := range t.upstreams[svc.Name] {
		e.Upstreams = append(e.Upstreams, api.Upstream{Host: x.host, Domain: x.domain, Region: x.region, Slots: x.slots})
	}
	r, ok := svc.route(orGet(req.Method), u.Path)
	if !ok {
		return refused(e, kind.Route)
	}
	e.Route, e.Mode, e.Deadline = r.Name(), r.Mode.String(), r.Deadline.String()
	e.Retries, e.Priority, e.Callers, e.Open = r.Retries, r.Priority.String(), r.Callers, r.Open
	if w != nil && w.Priority != nil {
		e.Priority = w.Priority.String()
	}
	if t.workspaces != nil && (w != nil || !r.Open) {
		if key.state == keyPresent && p.deps.Proven != nil && !p.deps.Proven() {
			return refused(e, kind.Unproven)
		}
		if w == nil {
			return refused(e, kind.Workspace)
		}
	}
	if !r.Allows(req.Caller) {
		return refused(e, kind.Caller)
	}
	if len(e.Upstreams) == 0 {
		return refused(e, kind.Empty)
	}
	return e
}

func orGet(method string) string {
	if method == "" {
		return http.MethodGet
	}
	return method
}

// parseKeyHash returns the key whose hash an operator gives; empty means no key.
func parseKeyHash(s string) callerKey {
	if s == "" {
		return callerKey{state: keyMissing}
	}
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(snapshot.KeyHash{}) {
		return callerKey{state: keyMalformed}
	}
	return callerKey{hash: snapshot.KeyHash(b)}
}

// explainKey fills in whose key it is, and returns its workspace; nil if it has none.
func explainKey(e *api.Explain, t *Table, k callerKey) *snapshot.Workspace {
	if t.workspaces == nil {
		return nil
	}
	w, state := t.workspace(k)
	if w == nil {
		e.Key = api.KeyState(state)
		return nil
	}
	e.Key, e.Workspace = api.KeyKnown, w.Name
	return w
}

func refused(e api.Explain, k kind.Kind) api.Explain {
	e.Kind, e.Text = string(k), k.Answer().Text
	return e
}
