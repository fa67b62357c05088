package snapshot_test

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// TestDiffWorkspaces guards against a change of a workspace that no difference
// shows, and against a key or its hash in a difference.
func TestDiffWorkspaces(t *testing.T) {
	c := qt.New(t)
	urgent := snapshot.Urgent
	k := [3]snapshot.KeyHash{snapshot.HashKey("first"), snapshot.HashKey("second"), snapshot.HashKey("third")}
	a := &snapshot.Snapshot{Workspaces: []snapshot.Workspace{
		{Name: "east", Keys: k[:2], Rate: 5},
		{Name: "same", Rate: 1},
		{Name: "west", Keys: k[2:]},
	}}
	b := &snapshot.Snapshot{Workspaces: []snapshot.Workspace{
		{Name: "east", Keys: k[1:], Rate: 7.5, Burst: 2, Priority: &urgent},
		{Name: "new"},
		{Name: "same", Rate: 1},
	}}
	var got []string
	for _, x := range snapshot.Diff(a, b) {
		got = append(got, x.String())
	}
	c.Check(got, qt.DeepEquals, []string{
		"~ workspace east: Priority none → urgent, Rate 5 → 7.5, Burst 0 → 2, 1 key added, 1 key removed",
		"+ workspace new",
		"- workspace west: 1 key removed",
	})
	for _, x := range got {
		for _, h := range k {
			c.Check(x, qt.Not(qt.Contains), hex.EncodeToString(h[:4]))
			c.Check(x, qt.Not(qt.Contains), strings.TrimSuffix(fmt.Sprintf("%d", h[:4]), "]"))
		}
	}
}
