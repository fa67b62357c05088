package node

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"briarrock.example/briarrockd/allowance"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// TestAllowances guards against limits that a version does not bring into use or that
// stay after it, against counters that are published without limits, and against
// refusals without an event.
func TestAllowances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		a := newAllowances(AllowanceBounds{}, event.New(&out, true, logrus.InfoLevel, "erie-a-1"), metrics.NewSet())
		_, ok := a.Take("x")
		c.Check(ok, qt.IsTrue)
		c.Check(a.counters(1, 0, 0), qt.HasLen, 0)

		a.setVersion(&snapshot.Snapshot{Workspaces: []snapshot.Workspace{{Name: "x", Rate: 1, Burst: 1}, {Name: "y"}}})
		refused := 0
		for range 100 {
			if retryAfter, ok := a.Take("x"); !ok {
				refused++
				c.Check(retryAfter > 0, qt.IsTrue)
			}
			_, ok := a.Take("y")
			c.Check(ok, qt.IsTrue)
		}
		c.Check(refused >= 98, qt.IsTrue, qt.Commentf("%d", refused))
		counters := a.counters(1, 0, 0)
		c.Check(counters[allowance.Prefix+"x"], qt.HasLen, 4)
		c.Check(counters[allowance.Prefix+"y"], qt.IsNil)
		a.setSums(peer.PublishSums{Sums: counters, Nodes: 1})
		a.counters(2, 0, 0)
		time.Sleep(refusalsEndAfter + time.Second)
		a.counters(2, 0, 0)
		a.setSums(peer.PublishSums{Sums: counters, Nodes: 1})
		a.counters(1, 0, 0)
		for _, e := range []string{`"event":525`, `"event":526`, `"event":527`, `"event":528`, `"event":529`} {
			c.Check(out.String(), qt.Contains, e)
		}

		a.setVersion(&snapshot.Snapshot{})
		_, ok = a.Take("x")
		c.Check(ok, qt.IsTrue)
		c.Check(a.counters(1, 0, 0), qt.HasLen, 0)
	})
}
