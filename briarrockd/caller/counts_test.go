package caller

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/kind"
)

// TestCounts refuses calls of more routes than have labels of their own: a version with
// thousands of routes must not create as many time series.
func TestCounts(t *testing.T) {
	c := qt.New(t)
	n := routeCounters{set: metrics.NewSet()}
	for i := range 3 * maxCountedRoutes {
		n.refused(fmt.Sprintf("r%d", i), kind.Full)
	}
	n.crossedRegions("r0", 5000)
	n.callerRetryEnded(kind.Full, kind.RanNo)
	n.callerRetryEnded(kind.Late, kind.RanUnknown)
	var b bytes.Buffer
	n.set.WritePrometheus(&b)
	text := b.String()
	c.Check(strings.Count(text, "briarrock_refused_total{"), qt.Equals, maxCountedRoutes+1)
	c.Check(text, qt.Contains, fmt.Sprintf(`briarrock_refused_total{route="other",kind="full"} %d`, 2*maxCountedRoutes))
	c.Check(text, qt.Contains, `briarrock_crossed_bytes_total{route="r0"} 5000`)
	c.Check(text, qt.Contains, `briarrock_returns_total{end="refused"} 1`)
	c.Check(text, qt.Contains, `briarrock_returns_total{end="failed"} 1`)
}
