package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSumsIncludeAllNodes guards against a node that stays missing from the sums after
// a change of the order in its domain that its parent saw and it did not. Allowances then
// stay halved, since part of the mesh counts as cut off.
func TestSumsIncludeAllNodes(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLoadMesh(seed+1, 6, 10, byDemand)
				nodes := make(map[*simHost]int)
				f.onSums = func(h *simHost, p PublishSums) { nodes[h] = p.Nodes }
				f.addTenants(72, 600)
				f.begin()
				f.load(10 * time.Second)
				for h, n := range nodes {
					qt.Check(t, n, qt.Equals, 60, qt.Commentf("%s", h.cfg.Self.Host))
				}
			})
		})
	}
}
