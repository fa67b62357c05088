package heap

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAdjust guards against collections that delay calls under load, and against a
// setting that alternates each second between two loads.
func TestAdjust(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		percent int
		n       int64
		want    int
	}{
		{lowPercent, 0, lowPercent},
		{lowPercent, busyCollections - 1, lowPercent},
		{lowPercent, busyCollections, highPercent},
		{highPercent, busyCollections - 1, highPercent},
		{highPercent, calmCollections + 1, highPercent},
		{highPercent, calmCollections, lowPercent},
	} {
		c.Check(nextPercent(x.percent, x.n), qt.Equals, x.want, qt.Commentf("%d at %d", x.n, x.percent))
	}
}
