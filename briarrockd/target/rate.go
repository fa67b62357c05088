package target

import (
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidRate is returned for a malformed rate.
var ErrInvalidRate = errors.New("target: a rate must be a decimal number, zero or more")

// Rate is a rate limit of a target: the requests a second that it takes from all callers
// together. The zero Rate is no limit.
type Rate struct {
	perSecond float64
	bounded   bool
}

// NewRate returns a limit of n requests a second; n must be finite and not negative.
func NewRate(n float64) Rate { return Rate{perSecond: n, bounded: true} }

// ParseRate parses a decimal number of requests a second. Its error is ErrInvalidRate.
func ParseRate(s string) (Rate, error) {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return Rate{}, ErrInvalidRate
	}
	return NewRate(n), nil
}

// PerSecond returns the requests a second, and whether there is a limit.
func (r Rate) PerSecond() (n float64, bounded bool) { return r.perSecond, r.bounded }

// String returns the number in the form that ParseRate parses, empty for no limit.
func (r Rate) String() string {
	if !r.bounded {
		return ""
	}
	return strconv.FormatFloat(r.perSecond, 'g', -1, 64)
}

// stricter reports whether a rate limit is lower than another one.
func (r Rate) stricter(than Rate) bool {
	return r.bounded && (!than.bounded || r.perSecond < than.perSecond)
}

// advertisedRate is the rate that a target advertises, as far as this node knows it.
//
// Responses can arrive out of order. A response is known to be newer only if its request was
// sent after the rate in force was received; otherwise the stricter rate holds.
type advertisedRate struct {
	rate      Rate
	updatedAt time.Time // when the last response was applied; zero if none was received here
	known     bool      // whether a rate has ever been advertised
}

// updateFromResponse applies the rate in a response, or its absence. The response's request was
// sent at sent.
func (n *advertisedRate) updateFromResponse(sent, now time.Time, r Rate) {
	if !sent.After(n.updatedAt) && n.rate.stricter(r) {
		return
	}
	n.rate, n.updatedAt = r, now
	n.known = n.known || r.bounded
}

// updateFromReport applies a rate that another node has received. It holds until the first
// response arrives here: this process receives all of the target's responses from then on.
func (n *advertisedRate) updateFromReport(r Rate) {
	if n.updatedAt.IsZero() && r.stricter(n.rate) {
		n.rate, n.known = r, true
	}
}
