package caller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowness has three targets whose nodes report the durations of a short and a long
// route. Two are equally fast, but one of them got the long calls and the other the short
// ones.
//
// By their mean durations the one with long calls would seem to be slow, and the slow one
// with short calls fast.
func TestSlowness(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := NewBalancer("d", "r", 1)
	report := func(host, route string, d time.Duration) {
		b.done(now, "s", host, Feedback{Load: 0, MeanDuration: d, Route: route, RouteDuration: d})
	}
	for range 500 {
		report("long", "pull", 250*time.Millisecond)
		report("short", "check", 30*time.Millisecond)
		report("slow", "check", 60*time.Millisecond)
		report("slow", "pull", 500*time.Millisecond)
		report("long", "check", 30*time.Millisecond)
	}
	report("slow", "check", 60*time.Millisecond)
	set := []upstream{{host: "long", domain: "d", slots: 6}, {host: "short", domain: "d", slots: 6}, {host: "slow", domain: "d", slots: 6}}
	v := b.view(now, "s", set)
	cost := func(i int) float64 { return v.cost(i, 60*time.Millisecond) }
	c.Check(cost(0)-cost(1) < 0.15 && cost(1)-cost(0) < 0.15, qt.IsTrue, qt.Commentf("%.2f %.2f", cost(0), cost(1)))
	c.Check(cost(2) > cost(0)+0.3, qt.IsTrue, qt.Commentf("%.2f %.2f", cost(2), cost(0)))
}
