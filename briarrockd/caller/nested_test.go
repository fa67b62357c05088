package caller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// TestNestedPriority guards against lost work: a nested call must not wait behind new
// calls. It also guards against callers that claim its priority by the trace ID of their
// request.
func TestNestedPriority(t *testing.T) {
	c := qt.New(t)
	p := New(Deps{IsRunning: func(trace string) bool { return trace == "running" }})
	priority := func(trace string) snapshot.Priority {
		x := &call{trace: trace, route: snapshot.Route{Priority: snapshot.Normal}}
		p.promoteNested(x)
		return x.route.Priority
	}
	c.Check(priority("running.1"), qt.Equals, snapshot.MaxPriority)
	c.Check(priority("ended.1"), qt.Equals, snapshot.Normal)
	c.Check(priority("running"), qt.Equals, snapshot.Normal)
}
