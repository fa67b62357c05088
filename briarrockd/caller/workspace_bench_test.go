package caller

import (
	"fmt"
	"net/http"
	"testing"

	"briarrock.example/mesh/snapshot"
)

// BenchmarkWorkspaceKey measures what a key costs each request at its entry: taking it from
// the headers, its hash, and the lookup among 10,000 keys of 5,000 workspaces.
func BenchmarkWorkspaceKey(b *testing.B) {
	s := &snapshot.Snapshot{}
	for i := range 5000 {
		s.Workspaces = append(s.Workspaces, snapshot.Workspace{Name: fmt.Sprintf("w%d", i), Keys: []snapshot.KeyHash{
			snapshot.HashKey(fmt.Sprintf("key-%d-a", i)), snapshot.HashKey(fmt.Sprintf("key-%d-b", i)),
		}})
	}
	t := NewTable(1, s, nil)
	values := []string{"key-4711-b"}
	h := http.Header{}
	b.ReportAllocs()
	for b.Loop() {
		h[HeaderWorkspaceKey] = values
		if w, _ := t.workspace(takeKey(h)); w == nil {
			b.Fatal("no workspace")
		}
	}
}
