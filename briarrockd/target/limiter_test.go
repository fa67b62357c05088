package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulateShedding runs calls at a full limit and returns the limit at the end. The target
// refuses calls beyond room, and of the others each n-th; none if n is 0.
func simulateShedding(slots, room, n int) int {
	l := limiter{}
	l.reset(slots)
	now := time.Unix(100, 0)
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		running := l.value()
		shed := running > room || n > 0 && i%n == 0
		l.observe(now, Completed{Route: "r", Duration: 50 * time.Millisecond, Shed: shed}, running, slots)
	}
	return l.value()
}

// TestShedAtAnyLoad guards against a lower limit for a target that refuses a share of its calls
// at any load: fewer slots would not make it refuse fewer calls.
func TestShedAtAnyLoad(t *testing.T) {
	c := qt.New(t)
	c.Check(simulateShedding(16, 16, 2) >= 14, qt.IsTrue, qt.Commentf("%d", simulateShedding(16, 16, 2)))
	c.Check(simulateShedding(16, 16, 0), qt.Equals, 16)
}

// TestShedByLoad guards against sending a target more calls than it can run: it announces twice
// the slots that it has, and refuses only calls beyond them.
func TestShedByLoad(t *testing.T) {
	c := qt.New(t)
	got := simulateShedding(16, 8, 0)
	c.Check(got >= 6 && got <= 9, qt.IsTrue, qt.Commentf("%d", got))
}
