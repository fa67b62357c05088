package node

import (
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/proof"
)

// TestProver guards against requests that are served after the process was frozen or
// suspended, or by a version that is older than the proof.
func TestProver(t *testing.T) {
	c := qt.New(t)
	clock, version := time.Hour, uint64(3)
	p := newProver(5*time.Second, func() time.Duration { return clock }, func() uint64 { return version })
	c.Check(p.proven(), qt.IsFalse)
	p.publish(peer.PublishProof{Proof: proof.Proof{Version: 3, At: clock - time.Second}})
	c.Check(p.proven(), qt.IsTrue)
	version = 2 // the proof is published before the table is replaced
	c.Check(p.proven(), qt.IsFalse)
	version = 4
	c.Check(p.proven(), qt.IsTrue)
	for _, x := range []struct {
		later  time.Duration
		proven bool
	}{{3899 * time.Millisecond, true}, {3900 * time.Millisecond, false}, {time.Hour, false}, {-2 * time.Second, false}} {
		clock = time.Hour + x.later
		c.Check(p.proven(), qt.Equals, x.proven, qt.Commentf("%v later", x.later))
	}
	clock = math.MaxInt64 // of a clock that can't be read
	c.Check(p.proven(), qt.IsFalse)
}

// TestHostBootTime checks that the clock is that of the time since boot, which changes
// of the time of day don't affect.
func TestHostBootTime(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile("/proc/uptime") // it counts suspensions too
	c.Assert(err, qt.IsNil)
	uptime, err := strconv.ParseFloat(strings.Fields(string(b))[0], 64)
	c.Assert(err, qt.IsNil)
	c.Check(math.Abs(hostBootTime().Seconds()-uptime) < 5, qt.IsTrue)
}
