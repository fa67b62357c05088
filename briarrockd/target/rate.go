package target

import (
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidRate says that a rate is malformed.
var ErrInvalidRate = errors.New("target: a rate must be a decimal number, zero or more")

// Rate is how many requests a second a target takes from all callers together. The
// zero Rate is no bound.
type Rate struct {
	perSecond float64
	bounded   bool
}

// NewRate returns a bound of n requests a second; n must be finite and not negative.
func NewRate(n float64) Rate { return Rate{perSecond: n, bounded: true} }

// ParseRate reads a decimal number of requests a second. Its error is ErrInvalidRate.
func ParseRate(s string) (Rate, error) {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return Rate{}, ErrInvalidRate
	}
	return NewRate(n), nil
}

// PerSecond returns the requests a second, and whether there is a bound.
func (r Rate) PerSecond() (n float64, bounded bool) { return r.perSecond, r.bounded }

// String is the number that ParseRate reads, empty for no bound.
func (r Rate) String() string {
	if !r.bounded {
		return ""
	}
	return strconv.FormatFloat(r.perSecond, 'g', -1, 64)
}

// stricter tells whether a rate lets less pass than another one.
func (r Rate) stricter(than Rate) bool {
	return r.bounded && (!than.bounded || r.perSecond < than.perSecond)
}

// namedRate is the rate that a target names, as far as it is known here.
//
// Answers overtake each other. One is known to be newer only if its request was sent
// after the rate in force had been received; among others the stricter rate holds.
type namedRate struct {
	rate Rate
	at   time.Time // when an answer named it last; zero if none has come here
	ever bool      // a rate has been named
}

// answered takes the rate in an answer, none included, whose request was sent at sent.
func (n *namedRate) answered(sent, now time.Time, r Rate) {
	if !sent.After(n.at) && n.rate.stricter(r) {
		return
	}
	n.rate, n.at = r, now
	n.ever = n.ever || r.bounded
}

// reported takes the rate that another node was told. It holds until the first answer:
// this process gets all of them, and so knows better from then on.
func (n *namedRate) reported(r Rate) {
	if n.at.IsZero() && r.stricter(n.rate) {
		n.rate, n.ever = r, true
	}
}
