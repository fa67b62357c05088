package caller

import (
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

const (
	// maxReroutes is how many refusals by targets' nodes are followed by another
	// choice. Each costs a way there and back and no work at any target; where
	// so many refuse, the service has no room, and the caller is told so.
	maxReroutes = 3
	// minTimeLeft is the time below which an attempt is not worth making.
	minTimeLeft = 5 * time.Millisecond
)

// mayRetry decides whether a failed attempt may be followed by another one.
//
// A request that provably did not run may always be sent again; one that may
// have run only if its route says that it may be repeated. A target's own
// answer is never retried, whatever its status: it ran, and in a chain of
// services each link's retries would multiply with those of the next. Where
// the operator wants it nevertheless, mayRepeat decides.
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

// mayRepeat decides whether a request may run again after its target answered
// that it failed.
func mayRepeat(r *snapshot.Route, replayable bool) bool {
	return r.Again && r.Mode == snapshot.Repeatable && replayable
}

// replayable tells whether the body can still be sent from its start.
func (c *call) replayable() bool { return !c.streamed || !c.stream.started.Load() }
