package snapshot_test

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"briarrock.example/mesh/snapshot"
)

// workspaceSnapshot returns a valid snapshot with two workspaces.
func workspaceSnapshot() *snapshot.Snapshot {
	s := newSnapshot(3, 6)
	s.Workspaces = []snapshot.Workspace{
		{Name: "east", Keys: []snapshot.KeyHash{snapshot.HashKey("a"), snapshot.HashKey("b")}, Rate: 10, Burst: 5},
		{Name: "west & sons", Keys: []snapshot.KeyHash{snapshot.HashKey("c")}},
	}
	s.Inventory.Entries = len(s.Workspaces)
	return s
}

// TestWorkspaces checks which workspaces make a snapshot invalid.
//
// A key of two workspaces would give a caller the rights of either one, and a name with a
// line break would add headers to the requests that targets get.
func TestWorkspaces(t *testing.T) {
	c := qt.New(t)
	b, hash := encode(c, workspaceSnapshot())
	s, err := snapshot.Open(b, hash)
	c.Assert(err, qt.IsNil)
	c.Check(s.Workspaces, qt.DeepEquals, workspaceSnapshot().Workspaces)
	tooHigh := snapshot.MaxPriority + 1
	for name, corrupt := range map[string]func(w []snapshot.Workspace){
		"no name":             func(w []snapshot.Workspace) { w[0].Name = "" },
		"name listed twice":   func(w []snapshot.Workspace) { w[0].Name = w[1].Name },
		"line break in name":  func(w []snapshot.Workspace) { w[0].Name = "east\r\nX-Admin: 1" },
		"space after name":    func(w []snapshot.Workspace) { w[0].Name = "east " },
		"no UTF-8":            func(w []snapshot.Workspace) { w[0].Name = "\xff" },
		"long name":           func(w []snapshot.Workspace) { w[0].Name = strings.Repeat("e", snapshot.MaxWorkspaceNameBytes+1) },
		"key of two":          func(w []snapshot.Workspace) { w[1].Keys = w[0].Keys[1:] },
		"negative rate":       func(w []snapshot.Workspace) { w[0].Rate = -1 },
		"rate is no number":   func(w []snapshot.Workspace) { w[0].Rate = math.NaN() },
		"infinite burst":      func(w []snapshot.Workspace) { w[0].Burst = math.Inf(1) },
		"priority above most": func(w []snapshot.Workspace) { w[0].Priority = &tooHigh },
	} {
		s := workspaceSnapshot()
		corrupt(s.Workspaces)
		c.Check(errors.Is(s.Verify(), snapshot.ErrInventory), qt.IsTrue, qt.Commentf("%s", name))
	}
	s = workspaceSnapshot()
	s.Inventory.Entries = 0
	c.Check(errors.Is(s.Verify(), snapshot.ErrInventory), qt.IsTrue, qt.Commentf("workspaces that the inventory does not count"))
}
