package target

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstOver is the time whose requests may be started at once after a pause.
	burstOver = 500 * time.Millisecond
	// minRate and maxRate bound the rate, in requests a second, that is kept to. Only an
	// answer can raise or end a rate, so some requests have to pass at any rate.
	minRate, maxRate = 0.5, 1e6
	// maxReturn is how much later than the next call in line a refused one may be told to
	// come back, and maxReturnStep how much later than the one refused before it.
	maxReturn     = time.Second
	maxReturnStep = maxReturn / 8
	// wholeToken is what counts as one: the bucket's tokens are rounded.
	wholeToken = 1 - 1e-6
)

// pacer is the token bucket of a target that names a rate. The zero pacer lets all pass.
type pacer struct {
	bucket *rate.Limiter
	// returnAt is when the call that was refused last was told to come back.
	returnAt time.Time
}

// set takes another rate. A bucket begins empty: the requests of the moments before have
// used what it would hold.
func (p *pacer) set(now time.Time, r Rate) {
	n, bounded := r.PerSecond()
	if !bounded {
		*p = pacer{}
		return
	}
	n = min(max(n, minRate), maxRate)
	burst := max(1, int(n*burstOver.Seconds()))
	if p.bucket == nil {
		p.bucket = rate.NewLimiter(rate.Limit(n), burst)
		p.bucket.ReserveN(now, burst)
		return
	}
	p.bucket.SetLimitAt(now, rate.Limit(n))
	p.bucket.SetBurstAt(now, burst)
}

// ready tells whether a call may start now.
func (p *pacer) ready(now time.Time) bool {
	return p.bucket == nil || p.bucket.TokensAt(now) >= wholeToken
}

// take counts a call that starts.
func (p *pacer) take(now time.Time) {
	if p.bucket != nil {
		p.bucket.ReserveN(now, 1)
	}
}

// wait is how long a call behind n others waits for its turn.
func (p *pacer) wait(now time.Time, n int) time.Duration {
	if p.bucket == nil {
		return 0
	}
	missing := float64(n) + wholeToken - p.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return p.cycle(missing) + time.Microsecond
}

// cycle is the time in which n tokens come.
func (p *pacer) cycle(n float64) time.Duration {
	return time.Duration(n / float64(p.bucket.Limit()) * float64(time.Second))
}

// again is when a refused call is worth asking for again behind n that wait. Refused
// calls get their times one after the other, so that they don't return together.
func (p *pacer) again(now time.Time, n int) time.Duration {
	if p.bucket == nil {
		return 0
	}
	next := now.Add(p.wait(now, n))
	p.returnAt = p.returnAt.Add(min(p.cycle(1), maxReturnStep))
	if p.returnAt.Before(next) || p.returnAt.After(next.Add(maxReturn)) {
		p.returnAt = next
	}
	return p.returnAt.Sub(now)
}

// tokens is how many calls may start now; meaningless without a rate.
func (p *pacer) tokens(now time.Time) float64 {
	if p.bucket == nil {
		return 0
	}
	return p.bucket.TokensAt(now)
}

// load is the part of the burst that is used.
func (p *pacer) load(now time.Time) float64 {
	if p.bucket == nil {
		return 0
	}
	return 1 - max(0, p.bucket.TokensAt(now))/float64(p.bucket.Burst())
}
