package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestParseRate guards against a malformed rate that is read as a limit, or as no limit.
func TestParseRate(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]float64{"0": 0, "24.9": 24.9, "1e3": 1000, "0.25": 0.25} {
		r, err := ParseRate(text)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", text))
		n, bounded := r.PerSecond()
		c.Check(n, qt.Equals, want)
		c.Check(bounded, qt.IsTrue)
		reparsed, err := ParseRate(r.String())
		c.Check(err, qt.IsNil)
		c.Check(reparsed, qt.Equals, r)
	}
	for _, text := range []string{"", "many", "-1", "NaN", "+Inf", "1e999", "24.9 ", "24,9"} {
		_, err := ParseRate(text)
		c.Check(err, qt.Equals, ErrInvalidRate, qt.Commentf("%q", text))
	}
	_, bounded := Rate{}.PerSecond()
	c.Check(bounded, qt.IsFalse)
}

// TestAdvertisedRateOrder guards against a response to an older request that ends or raises a
// rate which was received after that request was sent.
func TestAdvertisedRateOrder(t *testing.T) {
	c := qt.New(t)
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	var n advertisedRate
	for _, x := range []struct {
		sent, received int
		named          Rate
		want           Rate
	}{
		{10, 50, NewRate(40), NewRate(40)},   // the first
		{20, 60, Rate{}, NewRate(40)},        // sent before the rate was received
		{55, 70, NewRate(25), NewRate(25)},   // lowered
		{60, 80, NewRate(40), NewRate(25)},   // sent before the lower rate was received
		{61, 81, NewRate(20), NewRate(20)},   // a stricter rate always applies
		{90, 120, NewRate(30), NewRate(30)},  // raised
		{115, 130, Rate{}, NewRate(30)},      // sent before the raise was received
		{125, 140, Rate{}, Rate{}},           // ended
		{100, 150, NewRate(30), NewRate(30)}, // possibly newer than the end
		{151, 160, Rate{}, Rate{}},
	} {
		n.updateFromResponse(at(x.sent), at(x.received), x.named)
		c.Check(n.rate, qt.Equals, x.want, qt.Commentf("received at %d ms", x.received))
	}
}
