package target

import "time"

const (
	// meanWeight, routeWeight and lowLoadWeight are the weights of the newest call in the mean
	// of all calls, of one route, and of one route at low load. The mean of all calls covers
	// routes with very different durations, so it looks further back.
	meanWeight    = 0.03
	routeWeight   = 0.1
	lowLoadWeight = 0.05
	// maxRoutes bounds the routes that have their own mean; the others use the mean of all
	// calls.
	maxRoutes = 256
	// initialMean is used as the mean duration before the first call has ended.
	initialMean = 5 * time.Millisecond
)

// callDurations holds the mean durations of a target's calls, overall and by route. A lookup of a
// few milliseconds and a report of a quarter of a second run in the same slots. With a single mean
// no short call would seem to be in time, and no long one late.
type callDurations struct {
	mean    time.Duration
	byRoute map[string]*routeDurations
}

// routeDurations holds the mean durations of one route's calls; 0 if unknown.
type routeDurations struct {
	mean        time.Duration
	lowLoadMean time.Duration // mean at low load
}

// observe records the duration of a successful call. It returns the duration divided by the
// route's mean at low load; 0 if that is unknown.
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

// overall returns the mean duration of all calls, or initialMean.
func (w *callDurations) overall() time.Duration {
	if w.mean == 0 {
		return initialMean
	}
	return w.mean
}

// ofRoute returns the mean duration of a route's calls, or of all calls if the route is unknown.
func (w *callDurations) ofRoute(route string) time.Duration {
	if r := w.byRoute[route]; r != nil {
		return r.mean
	}
	return w.overall()
}

// movingAverage updates an exponentially weighted mean with the newest value; 0 means that there
// is no mean yet.
func movingAverage(mean, newest time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(weight*float64(newest-mean))
}
