package caller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// TestNestedFirst guards against runs that are lost since a call of theirs waits behind
// new work, and against callers who claim that right by the name of their request.
func TestNestedFirst(t *testing.T) {
	c := qt.New(t)
	p := New(Deps{IsRunning: func(trace string) bool { return trace == "running" }})
	priority := func(trace string) snapshot.Priority {
		x := &call{trace: trace, route: snapshot.Route{Priority: snapshot.Normal}}
		p.promote(x)
		return x.route.Priority
	}
	c.Check(priority("running.1"), qt.Equals, snapshot.MostUrgent)
	c.Check(priority("ended.1"), qt.Equals, snapshot.Normal)
	c.Check(priority("running"), qt.Equals, snapshot.Normal)
}
