package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// shedding plays calls at a full limit and returns the limit at the end. A call beyond
// room is refused by the target, and so is each n-th one otherwise; 0 for none.
func shedding(slots, room, n int) int {
	l := limiter{}
	l.reset(slots)
	now := time.Unix(100, 0)
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		running := l.value()
		shed := running > room || n > 0 && i%n == 0
		l.ended(now, Completed{Route: "r", Duration: 50 * time.Millisecond, Shed: shed}, running, slots)
	}
	return l.value()
}

// TestShedAtAnyLoad guards against giving up slots of a target that refuses a part of its
// calls whatever its load: fewer slots make it refuse no less.
func TestShedAtAnyLoad(t *testing.T) {
	c := qt.New(t)
	c.Check(shedding(16, 16, 2) >= 14, qt.IsTrue, qt.Commentf("%d", shedding(16, 16, 2)))
	c.Check(shedding(16, 16, 0), qt.Equals, 16)
}

// TestShedByLoad guards against sending a target more than it takes: one that announces
// twice the slots that it has refuses only beyond them.
func TestShedByLoad(t *testing.T) {
	c := qt.New(t)
	got := shedding(16, 8, 0)
	c.Check(got >= 6 && got <= 9, qt.IsTrue, qt.Commentf("%d", got))
}
