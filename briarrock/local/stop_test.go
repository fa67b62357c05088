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

// TestStopAllButOne stops all nodes but one at the same time, as the rolling
// restart of a small service does in effect, under load through the remaining
// node.
//
// Right after the stops begin, the targets of the stopping nodes must still serve
// calls: they are healthy, and the one remaining target could not carry the load.
// No call may fail because of the stops.
func TestStopAllButOne(t *testing.T) {
	c := qt.New(t)
	m := startMesh(c, standintarget.Config{Slots: 1, Conns: 20, Work: 5 * time.Millisecond})
	var stops, calls sync.WaitGroup
	for _, n := range m.Nodes[1:] {
		stops.Go(func() { n.Stop(context.Background()) })
	}
	c.Assert(local.WaitUntil(testTimeout, func() bool { return !m.Nodes[1].Ready() }), qt.IsNil)
	before := completedCalls(m)
	var succeeded, failed atomic.Int64
	for range 3 {
		calls.Go(func() {
			for range 20 {
				if a := sendCall(m, 0, "GET", "/orders", ""); a.status == http.StatusOK {
					succeeded.Add(1)
				} else if a.ran != "no" {
					failed.Add(1)
				}
			}
		})
	}
	calls.Wait()
	c.Check(failed.Load(), qt.Equals, int64(0))
	c.Check(completedCalls(m)-before > 0, qt.IsTrue, qt.Commentf("%d calls succeeded, none on a target of a stopping node", succeeded.Load()))
	stops.Wait()
}

// completedCalls returns the number of calls that the targets of all nodes but the
// first completed.
func completedCalls(m *local.Mesh) int64 {
	n := int64(0)
	for _, x := range m.Nodes[1:] {
		n += x.Target.Completed()
	}
	return n
}
