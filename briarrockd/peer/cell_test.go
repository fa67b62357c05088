package peer

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCell runs one cell of the matrix, given by its name, to debug a failure:
//
//	BRIARROCK_CELL='apply/kill-one@use/seed=57' go test -run TestCell ./peer
func TestCell(t *testing.T) {
	name := os.Getenv("BRIARROCK_CELL")
	if name == "" {
		t.Skip("BRIARROCK_CELL is not set")
	}
	c := qt.New(t)
	for _, cell := range readMatrix(c).cells(1) {
		if cell.String() == name {
			violations := runCell(t, cell)
			c.Assert(violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(violations, "\n")))
			return
		}
	}
	t.Fatalf("no cell named %q", name)
}
