package heap

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAdjust guards against collections that take the processor from calls, and
// against a setting that swings each second between two loads.
func TestAdjust(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		percent int
		n       int64
		want    int
	}{
		{least, 0, least},
		{least, busy - 1, least},
		{least, busy, most},
		{most, busy - 1, most},
		{most, calm + 1, most},
		{most, calm, least},
	} {
		c.Check(adjust(x.percent, x.n), qt.Equals, x.want, qt.Commentf("%d at %d", x.n, x.percent))
	}
}
