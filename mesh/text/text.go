// Package text compiles the operator's text to a snapshot. The text is a single
// YAML document that lists all services and their dependencies.
//
//	mesh: quaywell
//	services:
//	  - name: orderdesk
//	    depends: [ledgerline]
//	    upstreams: 4
//	    slots: 6
//	    connections: 120
//	    routes:
//	      - path: /orders
//	        methods: [POST]
//	        mode: once
//	        deadline: 2s
//	        callers: [kiosk]
//	workspaces:
//	  - name: northside
//	    keys: [{hash: 9c2f0b7d4e6a1835c0de9b7a64f1d823}]
//	    rate: 50
//
// Compile is strict: unknown keys and values, references to missing services,
// duplicates and numbers out of range are mistakes. It reports all mistakes at
// once, each with its line and column, and returns a snapshot only if there are
// none.
package text

import (
	"sort"
	"strings"

	"go.yaml.in/yaml/v3"

	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/strict"
)

// MaxBytes is the maximum size of the operator's text.
const MaxBytes = 4 << 20

// Compile compiles the operator's text to a snapshot. Its error, if any, is a
// strict.Mistakes. No mistake quotes a key of a workspace.
func Compile(src []byte) (*snapshot.Snapshot, error) { return new(compiler).compile(src) }

// CompileHashed is Compile for texts that are stored: a plain key is a mistake.
// HashKeys makes such a text.
func CompileHashed(src []byte) (*snapshot.Snapshot, error) {
	return (&compiler{hashedOnly: true}).compile(src)
}

func (c *compiler) compile(src []byte) (*snapshot.Snapshot, error) {
	if len(src) > MaxBytes {
		c.AddAt(0, 0, "the text is larger than %d bytes", MaxBytes)
		return nil, c.Err()
	}
	root, ok := c.Parse(src)
	if !ok {
		return nil, c.Err()
	}
	s := c.document(root)
	if err := c.Err(); err != nil {
		return nil, err
	}
	if err := s.Verify(); err != nil {
		c.AddAt(0, 0, "%v", err)
		return nil, c.Err()
	}
	return s, nil
}

type compiler struct {
	strict.Reader
	// nodes maps a service name to its YAML node, for the positions of mistakes
	// that are found after all services have been read.
	nodes map[string]*yaml.Node
	// cyclic holds the services with "cyclic: true", which may be part of a
	// dependency cycle.
	cyclic map[string]bool
	refs   []reference
	// owners maps the keys read so far to their workspaces.
	owners map[snapshot.KeyHash]keyOwner
	// hashedOnly rejects plain keys.
	hashedOnly bool
}

// reference is one name in the depends list of the service from. It is checked
// after all services have been read.
type reference struct {
	from string
	node *yaml.Node
}

func (c *compiler) document(root *yaml.Node) *snapshot.Snapshot {
	s := new(snapshot.Snapshot)
	var services *yaml.Node
	c.Fields(root, "the text", map[string]strict.Field{
		"mesh":       {Read: func(n *yaml.Node) { s.Mesh = c.Name(n) }, Required: true},
		"services":   {Read: func(n *yaml.Node) { services = n }, Required: true},
		"workspaces": {Read: func(n *yaml.Node) { s.Workspaces = c.workspaces(n) }},
	})
	if services == nil {
		return s
	}
	if services.Kind != yaml.SequenceNode {
		c.Add(services, "services must be a list")
		return s
	}
	if len(services.Content) == 0 {
		c.Add(services, "services must list at least one service")
		return s
	}
	s.Services = c.services(services)
	c.checkReferences()
	c.checkCycles(s.Services)
	s.Inventory = snapshot.NewInventory(s.Services)
	s.Inventory.Entries = len(s.Workspaces)
	return s
}

func (c *compiler) services(list *yaml.Node) []snapshot.Service {
	if len(list.Content) > snapshot.MaxServices {
		c.Add(list, "%d services; %d is the most", len(list.Content), snapshot.MaxServices)
		return nil
	}
	c.nodes = make(map[string]*yaml.Node)
	c.cyclic = make(map[string]bool)
	out := make([]snapshot.Service, 0, len(list.Content))
	for _, n := range list.Content {
		svc := c.service(n)
		if svc.Name == "" {
			continue
		}
		if first, ok := c.nodes[svc.Name]; ok {
			c.Add(n, "service %q is listed twice; first on line %d", svc.Name, first.Line)
			continue
		}
		c.nodes[svc.Name] = n
		out = append(out, svc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Upper limits of the numbers in the text.
const (
	maxUpstreams = 10000
	maxSlots     = 10000
	maxConns     = 65535
	maxQueue     = 10000
)

func (c *compiler) service(n *yaml.Node) snapshot.Service {
	// Queue is negative until the text sets it, since its default depends on Slots.
	svc := snapshot.Service{Upstreams: 1, Slots: 16, Conns: 128, Queue: -1}
	cyclic := false
	var depends *yaml.Node
	c.Fields(n, "a service", map[string]strict.Field{
		"name":        {Read: func(n *yaml.Node) { svc.Name = c.Name(n) }, Required: true},
		"depends":     {Read: func(n *yaml.Node) { depends = n }},
		"cyclic":      {Read: func(n *yaml.Node) { cyclic = c.Boolean(n) }},
		"upstreams":   {Read: func(n *yaml.Node) { svc.Upstreams = c.Number(n, 1, maxUpstreams) }, Required: true},
		"slots":       {Read: func(n *yaml.Node) { svc.Slots = c.Number(n, 1, maxSlots) }},
		"connections": {Read: func(n *yaml.Node) { svc.Conns = c.Number(n, 1, maxConns) }},
		"queue":       {Read: func(n *yaml.Node) { svc.Queue = c.Number(n, 0, maxQueue) }},
		"routes":      {Read: func(n *yaml.Node) { svc.Routes = c.routes(n) }},
	})
	if svc.Queue < 0 {
		svc.Queue = 2 * svc.Slots
	}
	c.cyclic[svc.Name] = cyclic
	if depends != nil {
		svc.Depends = c.depends(svc.Name, depends)
	}
	return svc
}

func (c *compiler) depends(from string, list *yaml.Node) []string {
	names := c.Names(list)
	for _, n := range list.Content {
		c.refs = append(c.refs, reference{from, n})
	}
	sort.Strings(names)
	return names
}

// checkReferences reports dependencies on services that are not listed.
func (c *compiler) checkReferences() {
	for _, r := range c.refs {
		if _, ok := c.nodes[r.node.Value]; !ok {
			c.Add(r.node, "service %q depends on %q, which is not listed", r.from, r.node.Value)
		}
	}
}

// checkCycles reports dependency cycles in which no service has "cyclic: true".
// A call that follows such a cycle never terminates by itself.
func (c *compiler) checkCycles(services []snapshot.Service) {
	depends := make(map[string][]string, len(services))
	for _, s := range services {
		depends[s.Name] = s.Depends
	}
	const visiting, done = 1, 2
	state := make(map[string]int, len(services))
	var path []string
	var visit func(name string)
	visit = func(name string) {
		state[name] = visiting
		path = append(path, name)
		for _, d := range depends[name] {
			if state[d] == visiting {
				c.reportCycle(path, d)
			}
			if state[d] == 0 && c.nodes[d] != nil {
				visit(d)
			}
		}
		path = path[:len(path)-1]
		state[name] = done
	}
	for _, s := range services {
		if state[s.Name] == 0 {
			visit(s.Name)
		}
	}
}

// reportCycle records the cycle that leads from the last service of path to the
// service back, which is also on path, unless a service in it is cyclic.
func (c *compiler) reportCycle(path []string, back string) {
	for i, name := range path {
		if name == back {
			path = path[i:]
			break
		}
	}
	for _, name := range path {
		if c.cyclic[name] {
			return
		}
	}
	cycle := strings.Join(append(append([]string{}, path...), back), " → ")
	c.Add(c.nodes[back], "services depend on each other in a cycle: %s; "+
		"say \"cyclic: true\" at one of them if it is meant", cycle)
}
