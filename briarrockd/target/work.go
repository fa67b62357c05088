package target

import "time"

const (
	// meanWeight, routeWeight and quietWeight are the weights of the newest call
	// in the mean of all calls, of one route's and of one route's at low load.
	// The first covers routes of very different work, so it looks further back.
	meanWeight    = 0.03
	routeWeight   = 0.1
	lowLoadWeight = 0.05
	// maxRoutes bounds the routes that are told apart; the others share the mean
	// of all.
	maxRoutes = 256
	// initialMean stands for the usual duration before any is known.
	initialMean = 5 * time.Millisecond
)

// callDurations is how long a target's calls take, as a whole and by route: a lookup of
// some milliseconds and a report of a quarter of a second run in the same slots.
// Under one mean no short call would seem to be in time, and no long one late.
type callDurations struct {
	mean    time.Duration
	byRoute map[string]*routeDurations
}

// routeDurations is how long one route's calls take; 0 for not known yet.
type routeDurations struct {
	mean        time.Duration
	lowLoadMean time.Duration // mean at low load
}

// observe takes the duration of a call that observe well. It returns how many times
// the usual duration at low load that is; 0 if nobody knows.
func (w *callDurations) observe(route string, took time.Duration, lowLoad bool) float64 {
	w.mean = movingAverage(w.mean, took, meanWeight)
	r := w.byRoute[route]
	if r == nil {
		if len(w.byRoute) >= maxRoutes {
			return 0
		}
		if w.byRoute == nil {
			w.byRoute = make(map[string]*routeDurations)
		}
		r = new(routeDurations)
		w.byRoute[route] = r
	}
	r.mean = movingAverage(r.mean, took, routeWeight)
	if lowLoad {
		r.lowLoadMean = movingAverage(r.lowLoadMean, took, lowLoadWeight)
	}
	if r.lowLoadMean == 0 {
		return 0
	}
	return float64(took) / float64(r.lowLoadMean)
}

// overall is how long a call takes as a rule, whichever route it is of.
func (w *callDurations) overall() time.Duration {
	if w.mean == 0 {
		return initialMean
	}
	return w.mean
}

// ofRoute is how long a call ofRoute a route takes as a rule.
func (w *callDurations) ofRoute(route string) time.Duration {
	if r := w.byRoute[route]; r != nil {
		return r.mean
	}
	return w.overall()
}

// movingAverage moves a mean towards the newest value; 0 is no mean yet.
func movingAverage(mean, newest time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(weight*float64(newest-mean))
}
