package caller

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"briarrock.example/mesh/kind"
)

// maxCountedRoutes bounds the routes with a label value of their own; later ones share
// one value. Each label value costs some time series for the life of the process.
const (
	maxCountedRoutes = 64
	otherRouteLabel  = "other"
)

// routeCounters are the counters by route: refused calls, attempts in other regions, and
// the outcome of callers' retries.
type routeCounters struct {
	set    *metrics.Set
	mu     sync.Mutex
	labels map[string]bool
}

// label returns the label value for a route.
func (c *routeCounters) label(route string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.labels[route] {
		return route
	}
	if len(c.labels) >= maxCountedRoutes {
		return otherRouteLabel
	}
	if c.labels == nil {
		c.labels = make(map[string]bool)
	}
	c.labels[route] = true
	return route
}

// refused counts a call that was refused without being run.
func (c *routeCounters) refused(route string, k kind.Kind) {
	c.set.GetOrCreateCounter(`briarrock_refused_total{route="` + c.label(route) + `",kind="` + string(k) + `"}`).Inc()
}

// crossedRegions counts an attempt in another region and the bytes of its response.
func (c *routeCounters) crossedRegions(route string, bytes int64) {
	labelValue := c.label(route)
	c.set.GetOrCreateCounter(`briarrock_crossings_total{route="` + labelValue + `"}`).Inc()
	if bytes > 0 {
		c.set.GetOrCreateCounter(`briarrock_crossed_bytes_total{route="` + labelValue + `"}`).Add(int(bytes))
	}
}

// callerRetryEnded counts the outcome of a call whose caller retries after a refusal.
func (c *routeCounters) callerRetryEnded(k kind.Kind, ran kind.Ran) {
	end := "failed"
	switch {
	case k == kind.None:
		end = "answered"
	case ran == kind.RanNo:
		end = "refused"
	}
	c.set.GetOrCreateCounter(`briarrock_returns_total{end="` + end + `"}`).Inc()
}

// keyRefused counts a call that was refused for its key.
func (c *routeCounters) keyRefused(reason keyState) {
	c.set.GetOrCreateCounter(`briarrock_keys_refused_total{reason="` + string(reason) + `"}`).Inc()
}
