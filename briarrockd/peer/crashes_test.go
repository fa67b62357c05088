package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

const (
	ringSize = 5
	// ringOrders is the number of rings that run each script, each with another order in
	// which the reports arrive.
	ringOrders = 100
)

// TestCrashes guards against a request that is held back although it does not crash its
// targets, and against one that does and is not held back. The scripts report crashes
// with one request in flight, and its completions, to nodes of a ring.
func TestCrashes(t *testing.T) {
	datadriven.Walk(t, "testdata/crashes", func(t *testing.T, path string) {
		rings := make([]*ring, ringOrders)
		rngs := make([]*rand.Rand, ringOrders)
		for i := range rings {
			rings[i], rngs[i] = newRing(ringSize), rand.New(rand.NewPCG(uint64(i), 2))
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			held := 0
			for i, r := range rings {
				r.crashCommand(t, d, rngs[i])
				for _, core := range r.cores {
					held += len(core.crashes.heldRequests())
				}
			}
			return fmt.Sprintf("held at %d of %d nodes\n", held, ringSize*ringOrders)
		})
	})
}

// crashCommand runs one command of a script:
//
//	crash node=N id=N     a target of the node crashes with the request in flight
//	complete node=N       the request completes at a target of the node
//	deliver               all reports in transit arrive
//	wait for=DURATION     time passes
func (r *ring) crashCommand(t *testing.T, d *datadriven.TestData, rng *rand.Rand) {
	var node int
	d.MaybeScanArgs(t, "node", &node)
	m := Crashed{Print: 7, Service: "posting"}
	switch d.Cmd {
	case "crash":
		d.ScanArgs(t, "id", &m.ID)
		r.deliver(node, m)
	case "complete":
		m.Clear = true
		r.deliver(node, m)
	case "deliver":
		r.deliverFrames(rng, 1000)
	case "wait":
		var text string
		d.ScanArgs(t, "for", &text)
		duration, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		r.now = r.now.Add(duration)
		for i := range r.cores {
			r.deliver(i, Tick{})
		}
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}
