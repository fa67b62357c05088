package local_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrock/local"
	standintarget "briarrock.example/standin/target"
)

// TestStopOpen stops all nodes but one at the same time, as a rolling restart of
// a small service does in effect, while calls go on through the one that stays.
//
// Right after the stops began a caller must still be served by the targets of the
// nodes that stop: these are well, and the one target that is left could not
// carry the load. No call may fail because of the stops.
func TestStopOpen(t *testing.T) {
	c := qt.New(t)
	m := start(c, standintarget.Config{Slots: 1, Conns: 20, Work: 5 * time.Millisecond})
	var stops, calls sync.WaitGroup
	for _, n := range m.Nodes[1:] {
		stops.Go(func() { n.Stop(context.Background()) })
	}
	c.Assert(local.Until(patience, func() bool { return !m.Nodes[1].Ready() }), qt.IsNil)
	before := ran(m)
	var good, bad atomic.Int64
	for range 3 {
		calls.Go(func() {
			for range 20 {
				if a := call(m, 0, "GET", "/orders", ""); a.status == http.StatusOK {
					good.Add(1)
				} else if a.ran != "no" {
					bad.Add(1)
				}
			}
		})
	}
	calls.Wait()
	c.Check(bad.Load(), qt.Equals, int64(0))
	c.Check(ran(m)-before > 0, qt.IsTrue, qt.Commentf("%d served, none by a target whose node stops", good.Load()))
	stops.Wait()
}

// ran is how many calls the targets of all nodes but the first have run.
func ran(m *local.Mesh) int64 {
	n := int64(0)
	for _, x := range m.Nodes[1:] {
		n += x.Target.Completed()
	}
	return n
}
