package caller

import (
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

const (
	// maxReroutes is how many attempts that reached no target, such as refusals by
	// targets' nodes, are followed by another pick. Each costs a round trip and no work
	// at any target. Where so many refuse, the service is full, and the caller gets the
	// refusal.
	maxReroutes = 3
	// minTimeLeft is the time before the deadline below which no further attempt is made.
	minTimeLeft = 5 * time.Millisecond
)

// mayRetry reports whether a failed attempt may be followed by another one.
//
// A request that certainly did not run may always be sent again. One that may have run
// may be sent again only if its route allows repeats. A target's own response is not
// retried, whatever its status, since the request ran. In a chain of services the retries
// of each service would multiply with those of the next. If the operator allows such
// retries on a route, mayRepeat decides.
func mayRetry(k kind.Kind, ran kind.Ran, mode snapshot.Mode, replayable bool) bool {
	if !replayable {
		return false
	}
	switch k {
	case kind.None, kind.Cancel, kind.Held, kind.Deadline, kind.Request, kind.Large, kind.Limit, kind.Stall:
		return false
	}
	return ran == kind.RanNo || mode == snapshot.Repeatable
}

// mayRepeat reports whether a request may run again after its target answered with a
// failure.
func mayRepeat(r *snapshot.Route, replayable bool) bool {
	return r.Again && r.Mode == snapshot.Repeatable && replayable
}

// replayable reports whether the body can still be sent from its start.
func (c *call) replayable() bool { return !c.streamed || !c.stream.isStarted() }
