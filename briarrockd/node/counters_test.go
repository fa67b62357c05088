package node

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCounters guards against one user of the mesh-wide sums that replaces the
// counters of another.
func TestCounters(t *testing.T) {
	c := qt.New(t)
	n := &Node{}
	n.setCounters("v/", nil)
	c.Check(n.counters, qt.HasLen, 0)
	n.setCounters("a/", map[string][]uint64{"a/x": {1}, "v/x": {9}})
	n.setCounters("v/", map[string][]uint64{"v/x": {2}})
	n.setCounters("a/", map[string][]uint64{"a/y": {3}})
	c.Check(n.counters, qt.DeepEquals, map[string]map[string][]uint64{
		"a/": {"a/y": {3}}, "v/": {"v/x": {2}},
	})
}
