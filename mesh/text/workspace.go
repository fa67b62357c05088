package text

import (
	"bytes"
	"encoding/hex"
	"slices"
	"sort"
	"strconv"

	"go.yaml.in/yaml/v3"

	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/strict"
)

// maxAllowance is the maximum of a workspace's rate and burst. It is far above what
// a mesh of the supported sizes can serve, so a larger number is a typing error.
const maxAllowance = 1e6

// keyOwner is the workspace that lists a key, and the line of the key.
type keyOwner struct {
	name string
	line int
}

func (c *compiler) workspaces(list *yaml.Node) []snapshot.Workspace {
	nodes := c.List(list)
	if list.Kind == yaml.SequenceNode && len(nodes) == 0 {
		c.Add(list, "workspaces must list at least one workspace; without the field, no request needs a key")
		return nil
	}
	if len(nodes) > snapshot.MaxWorkspaces {
		c.Add(list, "%d workspaces; %d is the most", len(nodes), snapshot.MaxWorkspaces)
		return nil
	}
	c.owners = make(map[snapshot.KeyHash]keyOwner)
	lines := make(map[string]int, len(nodes))
	out := make([]snapshot.Workspace, 0, len(nodes))
	for _, n := range nodes {
		w := c.workspace(n)
		if w.Name == "" {
			continue
		}
		if line, ok := lines[w.Name]; ok {
			c.Add(n, "workspace %q is listed twice; first on line %d", w.Name, line)
			continue
		}
		lines[w.Name] = n.Line
		out = append(out, w)
	}
	if len(c.owners) > snapshot.MaxKeys {
		c.Add(list, "%d keys; %d is the most", len(c.owners), snapshot.MaxKeys)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (c *compiler) workspace(n *yaml.Node) snapshot.Workspace {
	var w snapshot.Workspace
	var keys *yaml.Node
	c.Fields(n, "a workspace", map[string]strict.Field{
		"name": {Read: func(n *yaml.Node) { w.Name = c.Name(n) }, Required: true},
		"keys": {Read: func(n *yaml.Node) { keys = n }},
		"priority": {Read: func(n *yaml.Node) {
			p := strict.Choice(&c.Reader, n, priorities)
			w.Priority = &p
		}},
		"rate":  {Read: func(n *yaml.Node) { w.Rate = c.allowance(n) }},
		"burst": {Read: func(n *yaml.Node) { w.Burst = c.allowance(n) }},
	})
	if keys != nil {
		w.Keys = c.keys(w.Name, keys)
	}
	return w
}

// allowance returns the rate or burst in the scalar n.
func (c *compiler) allowance(n *yaml.Node) float64 {
	v, err := strconv.ParseFloat(c.Scalar(n), 64)
	// The condition is false for NaN too.
	if err != nil || !(v >= 0 && v <= maxAllowance) {
		c.Add(n, "%q must be a number from 0 to %d", n.Value, int(maxAllowance))
		return 0
	}
	return v
}

// keys reads the keys of the workspace owner. The texts of its mistakes quote
// nothing from the text, because any part of it may be a key.
func (c *compiler) keys(owner string, list *yaml.Node) []snapshot.KeyHash {
	var out []snapshot.KeyHash
	for _, n := range c.List(list) {
		h, ok := c.key(n)
		if !ok {
			continue
		}
		if first, ok := c.owners[h]; ok {
			if first.name == owner {
				c.Add(n, "this key is listed twice; first on line %d", first.line)
			} else {
				c.Add(n, "workspace %q has the same key, on line %d", first.name, first.line)
			}
			continue
		}
		c.owners[h] = keyOwner{owner, n.Line}
		out = append(out, h)
	}
	sortHashes(out)
	return out
}

func sortHashes(hashes []snapshot.KeyHash) {
	slices.SortFunc(hashes, func(a, b snapshot.KeyHash) int { return bytes.Compare(a[:], b[:]) })
}

// hashField is the field of a key that is given as its hash.
const hashField = "hash"

// key returns the hash of the key in n, and false after a mistake.
func (c *compiler) key(n *yaml.Node) (snapshot.KeyHash, bool) {
	var h snapshot.KeyHash
	switch n.Kind {
	case yaml.ScalarNode:
		if n.ShortTag() == "!!null" || !snapshot.ValidKey(n.Value) {
			c.Add(n, "a key must have 1 to %d bytes, no control characters and no space at either end", snapshot.MaxKeyBytes)
			return h, false
		}
		if c.hashedOnly {
			c.Add(n, "a plain key; only hashes of keys are stored (\"briarrock apply\" replaces plain keys)")
			return h, false
		}
		return snapshot.HashKey(n.Value), true
	case yaml.MappingNode:
		if len(n.Content) == 2 && n.Content[0].Value == hashField {
			b, err := hex.DecodeString(n.Content[1].Value)
			if err == nil && len(b) == len(h) {
				return snapshot.KeyHash(b), true
			}
		}
		c.Add(n, "a key must be a single value, or \"hash: \" and %d hexadecimal digits", 2*len(h))
	default:
		c.Add(n, "a key must be a single value, or \"hash: \" and %d hexadecimal digits", 2*len(h))
	}
	return h, false
}
