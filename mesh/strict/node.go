package strict

import (
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Field describes one key of a mapping: the function that reads its value, and
// whether the key is required.
type Field struct {
	Read     func(n *yaml.Node)
	Required bool
}

// Fields reads the mapping n. For each key it calls the Read function of the
// field of that name in known. Unknown, duplicate and missing required keys are
// mistakes. Their texts refer to the mapping as what, such as "a route".
func (r *Reader) Fields(n *yaml.Node, what string, known map[string]Field) {
	if n.Kind != yaml.MappingNode {
		r.Add(n, "%s must be a mapping", what)
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		f, ok := known[key.Value]
		if !ok {
			r.Add(key, "%s has no field %q; it has %s", what, key.Value, sortedKeys(known))
			continue
		}
		if seen[key.Value] {
			r.Add(key, "field %q is given twice", key.Value)
			continue
		}
		seen[key.Value] = true
		f.Read(value)
	}
	for _, key := range strings.Split(sortedKeys(known), ", ") {
		if known[key].Required && !seen[key] {
			r.Add(n, "%s needs the field %q", what, key)
		}
	}
}

// sortedKeys returns the keys of known, sorted and joined by ", ".
func sortedKeys(known map[string]Field) string {
	names := make([]string, 0, len(known))
	for k := range known {
		names = append(names, k)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Scalar returns the value of the scalar n as a string.
func (r *Reader) Scalar(n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode {
		r.Add(n, "a single value is wanted here")
		return ""
	}
	return n.Value
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Name returns the name in the scalar n: 1 to 63 lowercase letters, digits and
// dashes, starting with a letter.
func (r *Reader) Name(n *yaml.Node) string {
	s := r.Scalar(n)
	if n.Kind == yaml.ScalarNode && !namePattern.MatchString(s) {
		r.Add(n, "name %q must be small letters, digits and dashes, 63 at most, and begin with a letter", s)
		return ""
	}
	return s
}

// List returns the elements of the list n.
func (r *Reader) List(n *yaml.Node) []*yaml.Node {
	if n.Kind != yaml.SequenceNode {
		r.Add(n, "a list is wanted here")
		return nil
	}
	return n.Content
}

// Names returns the names in the list n. A duplicate is a mistake.
func (r *Reader) Names(n *yaml.Node) []string {
	seen := make(map[string]bool)
	var out []string
	for _, x := range r.List(n) {
		s := r.Name(x)
		if s == "" {
			continue
		}
		if seen[s] {
			r.Add(x, "%q is listed twice", s)
			continue
		}
		seen[s] = true
		out = append(out, s)
	}
	return out
}

// Number returns the integer in the scalar n. A value outside [low, high] is a
// mistake, for which Number returns low.
func (r *Reader) Number(n *yaml.Node, low, high int) int {
	v, err := strconv.Atoi(r.Scalar(n))
	if err != nil || v < low || v > high {
		r.Add(n, "%q must be a whole number from %d to %d", n.Value, low, high)
		return low
	}
	return v
}

// Boolean returns the boolean in the scalar n.
func (r *Reader) Boolean(n *yaml.Node) bool {
	v, err := strconv.ParseBool(r.Scalar(n))
	if err != nil {
		r.Add(n, "%q must be true or false", n.Value)
	}
	return v
}

// Duration returns the duration in the scalar n, such as 250ms or 2s. A value
// outside [low, high] is a mistake, for which Duration returns low.
func (r *Reader) Duration(n *yaml.Node, low, high time.Duration) time.Duration {
	v, err := time.ParseDuration(r.Scalar(n))
	if err != nil || v < low || v > high {
		r.Add(n, "%q must be a duration from %v to %v", n.Value, low, high)
		return low
	}
	return v
}

// Choice returns the value that words maps the scalar n to. A scalar that is
// not a key of words is a mistake.
func Choice[T any](r *Reader, n *yaml.Node, words map[string]T) T {
	s := r.Scalar(n)
	v, ok := words[s]
	if !ok {
		names := make([]string, 0, len(words))
		for w := range words {
			names = append(names, w)
		}
		sort.Strings(names)
		r.Add(n, "%q is not one of %s", s, strings.Join(names, ", "))
	}
	return v
}
