package target

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstWindow is the time whose requests may be started at once after a pause.
	burstWindow = 500 * time.Millisecond
	// minRate and maxRate bound the enforced rate, in requests a second. Only a response can
	// raise or end a rate limit, so some requests have to pass at any rate.
	minRate, maxRate = 0.5, 1e6
	// maxRetrySpread is the longest time between the next queued call's turn and the retry of a
	// refused call. maxRetryStep is the longest time between the retries of two successive
	// refused calls.
	maxRetrySpread = time.Second
	maxRetryStep   = maxRetrySpread / 8
	// oneToken is the number of tokens that count as one: the bucket's tokens are rounded.
	oneToken = 1 - 1e-6
)

// pacer is the token bucket of a target that advertises a rate. The zero pacer does not limit
// calls.
type pacer struct {
	bucket *rate.Limiter
	// lastRetryAt is the retry time of the call that was refused last.
	lastRetryAt time.Time
}

// setRate changes the rate. A new bucket is empty, since the requests of the moments before have
// used its tokens.
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

// ready reports whether a call may start now.
func (p *pacer) ready(now time.Time) bool {
	return p.bucket == nil || p.bucket.TokensAt(now) >= oneToken
}

// take takes a token for a call that starts.
func (p *pacer) take(now time.Time) {
	if p.bucket != nil {
		p.bucket.ReserveN(now, 1)
	}
}

// wait returns the time until the bucket has a token for a call behind n others.
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

// refillTime returns the time in which n tokens are added.
func (p *pacer) refillTime(n float64) time.Duration {
	return time.Duration(n / float64(p.bucket.Limit()) * float64(time.Second))
}

// retryAfter returns how long a refused call should wait before a retry, with n calls queued.
// The retries of successive refused calls are spread so that they don't arrive together.
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

// tokens returns how many calls may start now; 0 without a rate.
func (p *pacer) tokens(now time.Time) float64 {
	if p.bucket == nil {
		return 0
	}
	return p.bucket.TokensAt(now)
}

// load returns the share of the burst that is used.
func (p *pacer) load(now time.Time) float64 {
	if p.bucket == nil {
		return 0
	}
	return 1 - max(0, p.bucket.TokensAt(now))/float64(p.bucket.Burst())
}
