package node

import (
	"maps"
	"strings"

	"briarrock.example/briarrockd/peer"
)

// setCounters replaces this node's contributions to the mesh-wide sums whose keys
// begin with prefix, and keeps those of other users. Keys without the prefix are
// dropped. It must not be called from a hook of the peers: it may wait for them.
func (n *Node) setCounters(prefix string, m map[string][]uint64) {
	n.countersMu.Lock()
	defer n.countersMu.Unlock()
	next := maps.Clone(m)
	maps.DeleteFunc(next, func(k string, _ []uint64) bool { return !strings.HasPrefix(k, prefix) })
	if len(next) == 0 && len(n.counters[prefix]) == 0 {
		return
	}
	if n.counters == nil {
		n.counters = make(map[string]map[string][]uint64)
	}
	n.counters[prefix] = next
	all := make(map[string][]uint64)
	for _, user := range n.counters {
		maps.Copy(all, user)
	}
	n.sendToCore(peer.CountersChanged{Counters: all})
}
