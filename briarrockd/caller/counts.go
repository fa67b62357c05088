package caller

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"briarrock.example/mesh/kind"
)

// maxCounted bounds the routes that are counted by name; those that come later
// share one name. Each name costs some series for as long as the process lives.
const (
	maxCounted = 64
	otherRoute = "other"
)

// counts are the counters by route: who is refused, who crosses between regions,
// and what becomes of those who come back.
type counts struct {
	set   *metrics.Set
	mu    sync.Mutex
	known map[string]bool
}

// name is the route's name as a label.
func (n *counts) name(route string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known[route] {
		return route
	}
	if len(n.known) >= maxCounted {
		return otherRoute
	}
	if n.known == nil {
		n.known = make(map[string]bool)
	}
	n.known[route] = true
	return route
}

// refused counts a call that was answered that it did not run.
func (n *counts) refused(route string, k kind.Kind) {
	n.set.GetOrCreateCounter(`briarrock_refused_total{route="` + n.name(route) + `",kind="` + string(k) + `"}`).Inc()
}

// crossed counts an attempt in another region and the bytes of its answer.
func (n *counts) crossed(route string, bytes int64) {
	name := n.name(route)
	n.set.GetOrCreateCounter(`briarrock_crossings_total{route="` + name + `"}`).Inc()
	if bytes > 0 {
		n.set.GetOrCreateCounter(`briarrock_crossed_bytes_total{route="` + name + `"}`).Add(int(bytes))
	}
}

// returned counts the end of a call whose caller has been refused before.
func (n *counts) returned(k kind.Kind, ran kind.Ran) {
	end := "failed"
	switch {
	case k == kind.None:
		end = "answered"
	case ran == kind.RanNo:
		end = "refused"
	}
	n.set.GetOrCreateCounter(`briarrock_returns_total{end="` + end + `"}`).Inc()
}
