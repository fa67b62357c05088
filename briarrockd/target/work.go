package target

import "time"

const (
	// allWeight, routeWeight and quietWeight are the weights of the newest call
	// in the mean of all calls, of one route's and of one route's at low load.
	// The first covers routes of very different work, so it looks further back.
	allWeight   = 0.03
	routeWeight = 0.1
	quietWeight = 0.05
	// maxRoutes bounds the routes that are told apart; the others share the mean
	// of all.
	maxRoutes = 256
	// firstGuess stands for the usual duration before any is known.
	firstGuess = 5 * time.Millisecond
)

// work is how long a target's calls take, as a whole and by route: a lookup of
// some milliseconds and a report of a quarter of a second run in the same slots.
// Under one mean no short call would seem to be in time, and no long one late.
type work struct {
	all     time.Duration
	byRoute map[string]*routeWork
}

// routeWork is how long one route's calls take; 0 for not known yet.
type routeWork struct {
	mean  time.Duration
	quiet time.Duration // mean at low load
}

// ended takes the duration of a call that ended well. It returns how many times
// the usual duration at low load that is; 0 if nobody knows.
func (w *work) ended(route string, took time.Duration, quiet bool) float64 {
	w.all = average(w.all, took, allWeight)
	r := w.byRoute[route]
	if r == nil {
		if len(w.byRoute) >= maxRoutes {
			return 0
		}
		if w.byRoute == nil {
			w.byRoute = make(map[string]*routeWork)
		}
		r = new(routeWork)
		w.byRoute[route] = r
	}
	r.mean = average(r.mean, took, routeWeight)
	if quiet {
		r.quiet = average(r.quiet, took, quietWeight)
	}
	if r.quiet == 0 {
		return 0
	}
	return float64(took) / float64(r.quiet)
}

// usual is how long a call takes as a rule, whichever route it is of.
func (w *work) usual() time.Duration {
	if w.all == 0 {
		return firstGuess
	}
	return w.all
}

// of is how long a call of a route takes as a rule.
func (w *work) of(route string) time.Duration {
	if r := w.byRoute[route]; r != nil {
		return r.mean
	}
	return w.usual()
}

// average moves a mean towards the newest value; 0 is no mean yet.
func average(mean, newest time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(weight*float64(newest-mean))
}
