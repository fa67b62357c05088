package caller

import (
	"net/http"
	"net/url"

	"briarrock.example/mesh/kind"
	api "briarrock.example/mesh/operator"
)

// Explain returns how a request would be routed by the current table, without sending
// anything.
func (p *Proxy) Explain(method, target, caller string) api.Explain {
	u, err := url.Parse(target)
	if err != nil || u.Host == "" {
		return refused(api.Explain{}, kind.Request)
	}
	t := p.table.Load()
	if t == nil {
		return refused(api.Explain{}, kind.Config)
	}
	e := api.Explain{Version: t.version}
	svc := t.services[serviceName(u.Host)]
	if svc == nil {
		return refused(e, kind.Service)
	}
	e.Service, e.Slots, e.Queue = svc.Name, svc.Slots, svc.Queue
	for _, x := range t.upstreams[svc.Name] {
		e.Upstreams = append(e.Upstreams, api.Upstream{Host: x.host, Domain: x.domain, Region: x.region, Slots: x.slots})
	}
	if method == "" {
		method = http.MethodGet
	}
	r, ok := svc.route(method, u.Path)
	if !ok {
		return refused(e, kind.Route)
	}
	e.Route, e.Mode, e.Deadline = r.Name(), r.Mode.String(), r.Deadline.String()
	e.Retries, e.Priority, e.Callers = r.Retries, r.Priority.String(), r.Callers
	if !r.Allows(caller) {
		return refused(e, kind.Caller)
	}
	if len(e.Upstreams) == 0 {
		return refused(e, kind.Empty)
	}
	return e
}

func refused(e api.Explain, k kind.Kind) api.Explain {
	e.Kind, e.Text = string(k), k.Answer().Text
	return e
}
