package target

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstWindow is the time whose requests may be started at once after a pause.
	burstWindow = 500 * time.Millisecond
	// minRate and maxRate bound the rate, in requests a second, that is kept to. Only an
	// answer can raise or end a rate, so some requests have to pass at any rate.
	minRate, maxRate = 0.5, 1e6
	// maxRetrySpread is how much later than the next call in line a refused one may be told to
	// come back, and maxReturnStep how much later than the one refused before it.
	maxRetrySpread = time.Second
	maxRetryStep   = maxRetrySpread / 8
	// oneToken is what counts as one: the bucket's tokens are rounded.
	oneToken = 1 - 1e-6
)

// pacer is the token bucket of a target that names a rate. The zero pacer lets all pass.
type pacer struct {
	bucket *rate.Limiter
	// lastRetryAt is when the call that was refused last was told to come back.
	lastRetryAt time.Time
}

// setRate takes another rate. A bucket begins empty: the requests of the moments before have
// used what it would hold.
func (p *pacer) setRate(now time.Time, r Rate) {
	n, bounded := r.PerSecond()
	if !bounded {
		*p = pacer{}
		return
	}
	n = min(max(n, minRate), maxRate)
	burst := max(1, int(n*burstWindow.Seconds()))
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
	return p.bucket == nil || p.bucket.TokensAt(now) >= oneToken
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
	missing := float64(n) + oneToken - p.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return p.refillTime(missing) + time.Microsecond
}

// refillTime is the time in which n tokens come.
func (p *pacer) refillTime(n float64) time.Duration {
	return time.Duration(n / float64(p.bucket.Limit()) * float64(time.Second))
}

// retryAfter is when a refused call is worth asking for retryAfter behind n that wait. Refused
// calls get their times one after the other, so that they don't return together.
func (p *pacer) retryAfter(now time.Time, n int) time.Duration {
	if p.bucket == nil {
		return 0
	}
	next := now.Add(p.wait(now, n))
	p.lastRetryAt = p.lastRetryAt.Add(min(p.refillTime(1), maxRetryStep))
	if p.lastRetryAt.Before(next) || p.lastRetryAt.After(next.Add(maxRetrySpread)) {
		p.lastRetryAt = next
	}
	return p.lastRetryAt.Sub(now)
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
