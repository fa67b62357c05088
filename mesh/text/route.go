package text

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/strict"
)

// Ranges and defaults of the fields of a route.
const (
	defaultDeadline = 5 * time.Second
	minDeadline     = time.Millisecond
	maxDeadline     = time.Hour
	defaultRetries  = 1
	maxRetries      = 5
	maxPathBytes    = 1024
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (c *compiler) routes(list *yaml.Node) []snapshot.Route {
	if list.Kind != yaml.SequenceNode {
		c.Add(list, "routes must be a list")
		return nil
	}
	if len(list.Content) > snapshot.MaxRoutes {
		c.Add(list, "%d routes; %d is the most", len(list.Content), snapshot.MaxRoutes)
		return nil
	}
	lines := make(map[string]int)
	out := make([]snapshot.Route, 0, len(list.Content))
	for _, n := range list.Content {
		r := c.route(n)
		if r.Path == "" {
			continue
		}
		if line, ok := findDuplicate(lines, r); ok {
			c.Add(n, "route %s is listed twice; first on line %d", r.Name(), line)
			continue
		}
		addRoute(lines, r, n.Line)
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name() < out[j].Name() })
	return out
}

// anyMethod is the method in the key of a route without a list of methods.
const anyMethod = "*"

// routeKeys returns the keys "METHOD PATH" of a route, by which duplicates are
// found.
func routeKeys(r snapshot.Route) []string {
	if len(r.Methods) == 0 {
		return []string{anyMethod + " " + r.Path}
	}
	keys := make([]string, 0, len(r.Methods))
	for _, m := range r.Methods {
		keys = append(keys, m+" "+r.Path)
	}
	return keys
}

// findDuplicate returns the line of an earlier route that has a key in common
// with r. lines maps the keys of the earlier routes to their lines.
func findDuplicate(lines map[string]int, r snapshot.Route) (int, bool) {
	for _, k := range routeKeys(r) {
		if line, ok := lines[k]; ok {
			return line, true
		}
	}
	return 0, false
}

func addRoute(lines map[string]int, r snapshot.Route, line int) {
	for _, k := range routeKeys(r) {
		lines[k] = line
	}
}

func (c *compiler) route(n *yaml.Node) snapshot.Route {
	// Retries is negative until the text sets it.
	r := snapshot.Route{Deadline: defaultDeadline, Retries: -1, Priority: snapshot.Normal}
	var retries *yaml.Node
	c.Fields(n, "a route", map[string]strict.Field{
		"path":     {Read: func(n *yaml.Node) { r.Path = c.path(n) }, Required: true},
		"methods":  {Read: func(n *yaml.Node) { r.Methods = c.methods(n) }},
		"mode":     {Read: func(n *yaml.Node) { r.Mode = strict.Choice(&c.Reader, n, modes) }, Required: true},
		"deadline": {Read: func(n *yaml.Node) { r.Deadline = c.Duration(n, minDeadline, maxDeadline) }},
		"retries":  {Read: func(n *yaml.Node) { retries = n; r.Retries = c.Number(n, 0, maxRetries) }},
		"callers":  {Read: func(n *yaml.Node) { r.Callers = c.Names(n); sort.Strings(r.Callers) }},
		"priority": {Read: func(n *yaml.Node) { r.Priority = strict.Choice(&c.Reader, n, priorities) }},
		"open":     {Read: func(n *yaml.Node) { r.Open = c.Boolean(n) }},
	})
	if r.Retries < 0 {
		r.Retries = defaultRetries
	}
	if retries != nil && r.Mode == snapshot.Once && r.Retries > 1 {
		c.Add(retries, "a route with \"mode: once\" is sent again only when it provably did not run; retries can be 0 or 1")
	}
	return r
}

var modes = map[string]snapshot.Mode{
	snapshot.Repeatable.String(): snapshot.Repeatable,
	snapshot.Once.String():       snapshot.Once,
}

var priorities = map[string]snapshot.Priority{
	snapshot.Bulk.String():   snapshot.Bulk,
	snapshot.Normal.String(): snapshot.Normal,
	snapshot.Urgent.String(): snapshot.Urgent,
}

func (c *compiler) path(n *yaml.Node) string {
	s := c.Scalar(n)
	if !strings.HasPrefix(s, "/") || len(s) > maxPathBytes || strings.ContainsAny(s, "?#% ") {
		c.Add(n, "path %q must start with / and hold no query, escape or space", s)
		return ""
	}
	return s
}

func (c *compiler) methods(n *yaml.Node) []string {
	var out []string
	for _, m := range c.List(n) {
		v := c.Scalar(m)
		if !slices.Contains(methods, v) {
			c.Add(m, "method %q is not one of %s", v, strings.Join(methods, ", "))
			continue
		}
		out = append(out, v)
	}
	sort.Strings(out)
	return slices.Compact(out)
}
