package snapshot

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is a difference between two snapshots in one resource.
type Change struct {
	// Sign is "+" for added, "-" for removed, "~" for changed.
	Sign string `json:"sign"`
	// Resource identifies a service ("posting"), a route ("posting POST /x") or a
	// workspace ("workspace northside").
	Resource string `json:"resource"`
	// Detail lists the changed fields with their old and new values.
	Detail string `json:"detail,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Detail == "" {
		return c.Sign + " " + c.Resource
	}
	return c.Sign + " " + c.Resource + ": " + c.Detail
}

// Diff returns the changes from a to b, sorted by resource. A nil snapshot is
// treated as empty.
func Diff(a, b *Snapshot) []Change {
	from, to := resources(a), resources(b)
	var out []Change
	for name, old := range from {
		now, ok := to[name]
		if !ok {
			out = append(out, Change{Sign: "-", Resource: name})
			continue
		}
		if detail := diffFields(old, now); detail != "" {
			out = append(out, Change{Sign: "~", Resource: name, Detail: detail})
		}
	}
	for name := range to {
		if _, ok := from[name]; !ok {
			out = append(out, Change{Sign: "+", Resource: name})
		}
	}
	out = append(out, diffWorkspaces(a, b)...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Resource < out[j].Resource })
	return out
}

// resources returns the services and routes of s by resource name. The routes
// are resources of their own and are removed from their services.
func resources(s *Snapshot) map[string]any {
	m := make(map[string]any)
	if s == nil {
		return m
	}
	for i := range s.Services {
		svc := s.Services[i]
		for _, r := range svc.Routes {
			m[svc.Name+" "+r.Name()] = r
		}
		svc.Routes = nil
		m[svc.Name] = svc
	}
	return m
}

// Name returns the route's methods and path, such as "GET,POST /x", or "* /x"
// for a route of all methods. It is unique within a service.
func (r Route) Name() string {
	if len(r.Methods) == 0 {
		return "* " + r.Path
	}
	methods := r.Methods[0]
	for _, m := range r.Methods[1:] {
		methods += "," + m
	}
	return methods + " " + r.Path
}

// diffFields returns the fields that differ between two structs of the same
// type, each as "Name old → new".
func diffFields(old, now any) string {
	a, b := reflect.ValueOf(old), reflect.ValueOf(now)
	detail := ""
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(x, y) {
			continue
		}
		if detail != "" {
			detail += ", "
		}
		detail += fmt.Sprintf("%s %v → %v", a.Type().Field(i).Name, x, y)
	}
	return detail
}
