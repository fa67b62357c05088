package strict

import (
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Field is how one key of a mapping is read, and whether it must be there.
type Field struct {
	Read     func(n *yaml.Node)
	Required bool
}

// Fields reads a mapping by its table of keys and reports what is unknown,
// doubled or missing.
func (c *Reader) Fields(n *yaml.Node, what string, known map[string]Field) {
	if n.Kind != yaml.MappingNode {
		c.Add(n, "%s must be a mapping", what)
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		f, ok := known[key.Value]
		if !ok {
			c.Add(key, "%s has no field %q; it has %s", what, key.Value, keys(known))
			continue
		}
		if seen[key.Value] {
			c.Add(key, "field %q is given twice", key.Value)
			continue
		}
		seen[key.Value] = true
		f.Read(value)
	}
	for _, key := range strings.Split(keys(known), ", ") {
		if known[key].Required && !seen[key] {
			c.Add(n, "%s needs the field %q", what, key)
		}
	}
}

func keys(known map[string]Field) string {
	names := make([]string, 0, len(known))
	for k := range known {
		names = append(names, k)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Scalar reads a single value.
func (c *Reader) Scalar(n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode {
		c.Add(n, "a single value is wanted here")
		return ""
	}
	return n.Value
}

var nameRule = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Name reads a name: small letters, digits and dashes.
func (c *Reader) Name(n *yaml.Node) string {
	s := c.Scalar(n)
	if n.Kind == yaml.ScalarNode && !nameRule.MatchString(s) {
		c.Add(n, "name %q must be small letters, digits and dashes, 63 at most, and begin with a letter", s)
		return ""
	}
	return s
}

// List reads a list.
func (c *Reader) List(n *yaml.Node) []*yaml.Node {
	if n.Kind != yaml.SequenceNode {
		c.Add(n, "a list is wanted here")
		return nil
	}
	return n.Content
}

// Names reads a list of names without doubles.
func (c *Reader) Names(n *yaml.Node) []string {
	seen := make(map[string]bool)
	var out []string
	for _, x := range c.List(n) {
		s := c.Name(x)
		if s == "" {
			continue
		}
		if seen[s] {
			c.Add(x, "%q is listed twice", s)
			continue
		}
		seen[s] = true
		out = append(out, s)
	}
	return out
}

// Number reads a whole number from low to high.
func (c *Reader) Number(n *yaml.Node, low, high int) int {
	v, err := strconv.Atoi(c.Scalar(n))
	if err != nil || v < low || v > high {
		c.Add(n, "%q must be a whole number from %d to %d", n.Value, low, high)
		return low
	}
	return v
}

// Boolean reads true or false.
func (c *Reader) Boolean(n *yaml.Node) bool {
	v, err := strconv.ParseBool(c.Scalar(n))
	if err != nil {
		c.Add(n, "%q must be true or false", n.Value)
	}
	return v
}

// Duration reads a duration, such as 250ms or 2s, from low to high.
func (c *Reader) Duration(n *yaml.Node, low, high time.Duration) time.Duration {
	v, err := time.ParseDuration(c.Scalar(n))
	if err != nil || v < low || v > high {
		c.Add(n, "%q must be a duration from %v to %v", n.Value, low, high)
		return low
	}
	return v
}

// Choice reads one of a closed list of words.
func Choice[T any](c *Reader, n *yaml.Node, words map[string]T) T {
	s := c.Scalar(n)
	v, ok := words[s]
	if !ok {
		names := make([]string, 0, len(words))
		for w := range words {
			names = append(names, w)
		}
		sort.Strings(names)
		c.Add(n, "%q is not one of %s", s, strings.Join(names, ", "))
	}
	return v
}
