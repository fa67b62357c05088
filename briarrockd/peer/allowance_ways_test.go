package peer

import (
	"time"

	"briarrock.example/briarrockd/allowance"
)

// byDemand names the way of package allowance.
const byDemand = "shares by demand"

// way is one way of keeping to an allowance.
type way interface {
	SetLimits(now time.Time, limits map[string]allowance.Limit)
	Take(now time.Time, name string) (time.Duration, bool)
}

// fixedShares gives each host the same part of rate and burst.
type fixedShares struct {
	hosts  float64
	limits map[string]allowance.Limit
	levels map[string]float64
	at     map[string]time.Time
}

func (f *fixedShares) SetLimits(_ time.Time, limits map[string]allowance.Limit) { f.limits = limits }

func (f *fixedShares) Take(now time.Time, name string) (time.Duration, bool) {
	limit, elapsed := f.limits[name], 0.0
	if at, ok := f.at[name]; ok {
		elapsed = now.Sub(at).Seconds()
	}
	f.at[name] = now
	f.levels[name] = min(f.levels[name]+elapsed*limit.Rate/f.hosts, max(limit.Burst/f.hosts, 1))
	if f.levels[name] < 1 {
		return 0, false
	}
	f.levels[name]--
	return 0, true
}

// optimistic admits while the mesh-wide use, and what the host has admitted since, is
// within the bound, without shares.
type optimistic struct {
	limits map[string]allowance.Limit
	sums   map[string][]uint64
	used   map[string][]time.Time
}

func (o *optimistic) SetLimits(_ time.Time, limits map[string]allowance.Limit) { o.limits = limits }

func (o *optimistic) prune(now time.Time, name string) []time.Time {
	t := o.used[name]
	for len(t) > 0 && now.Sub(t[0]) >= quotaWindow {
		t = t[1:]
	}
	o.used[name] = t
	return t
}

func (o *optimistic) Take(now time.Time, name string) (time.Duration, bool) {
	recent, own := 0, o.prune(now, name)
	for i := len(own) - 1; i >= 0 && now.Sub(own[i]) < time.Second/2; i-- {
		recent++
	}
	var sum uint64
	if v := o.sums[allowance.Prefix+name]; len(v) > 0 {
		sum = v[0]
	}
	if float64(sum)+float64(recent) >= windowBound(o.limits[name]) {
		return 0, false
	}
	o.used[name] = append(own, now)
	return 0, true
}
