package target

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestIsRunning guards against nested calls that are not recognized as such, and against callers
// that forge the trace ID of a nested call. Only one with a running outer call counts.
func TestIsRunning(t *testing.T) {
	c := qt.New(t)
	x := &Targets{traces: make(map[string]int)}
	first, second := x.track("a"), x.track("a")
	c.Check(x.IsRunning("a"), qt.IsTrue)
	c.Check(x.IsRunning("b"), qt.IsFalse)
	first()
	c.Check(x.IsRunning("a"), qt.IsTrue)
	second()
	c.Check(x.IsRunning("a"), qt.IsFalse)
	c.Check(x.traces, qt.HasLen, 0)
}

func TestParentTrace(t *testing.T) {
	c := qt.New(t)
	for trace, want := range map[string]string{"a.b": "a", "a.b.c": "a.b", "a": "", ".b": "", "": ""} {
		parent, ok := ParentTrace(trace)
		c.Check(parent, qt.Equals, want, qt.Commentf("%q", trace))
		c.Check(ok, qt.Equals, want != "", qt.Commentf("%q", trace))
	}
}
