package target

import (
	"time"

	"briarrock.example/mesh/snapshot"
)

const (
	// overloadWindow is how long the host's own region counts as overloaded after a call of it
	// was refused.
	overloadWindow = 500 * time.Millisecond
	// lowerPriorityWindow is how long after the start of a lower-priority call more such calls
	// are assumed to follow. Calls of higher priority get the next slots before them.
	lowerPriorityWindow = 500 * time.Millisecond
	// shareWeight is the weight of the newest call in a movingShare, which then covers about the
	// last twenty calls.
	shareWeight = 0.05
	// maxRefusedShare is the share of refused calls from which on no call queues beyond
	// minQueueLen.
	maxRefusedShare = 0.15
)

// overload records how overloaded a gate is for calls of each priority.
type overload struct {
	// refusedAt is when a call of the host's own region was last refused.
	refusedAt [snapshot.MaxPriority + 1]time.Time
	// refusedShare is the moving share of calls that were refused on arrival for lack of
	// capacity.
	refusedShare [snapshot.MaxPriority + 1]movingShare
	// startedAt is when a call was last started.
	startedAt [snapshot.MaxPriority + 1]time.Time
}

// recordRefused records the refusal of a call of the host's own region.
func (p *overload) recordRefused(now time.Time, priority snapshot.Priority) {
	p.refusedAt[min(priority, snapshot.MaxPriority)] = now
}

// isOverloaded reports whether a call of at least this priority was refused within
// overloadWindow.
func (p *overload) isOverloaded(now time.Time, priority snapshot.Priority) bool {
	for _, at := range p.refusedAt[min(priority, snapshot.MaxPriority):] {
		if !at.IsZero() && now.Sub(at) < overloadWindow {
			return true
		}
	}
	return false
}

// recordDecision records whether a call was refused or admitted on arrival.
func (p *overload) recordDecision(priority snapshot.Priority, refused bool) {
	p.refusedShare[min(priority, snapshot.MaxPriority)].observe(refused)
}

// recordStarted records the start of a call.
func (p *overload) recordStarted(now time.Time, priority snapshot.Priority) {
	p.startedAt[min(priority, snapshot.MaxPriority)] = now
}

// maxWaitShare returns the share of its slack that a call may spend in the queue, from 0 to 1,
// given the share of refused calls.
//
// A queue bridges the moments in which calls arrive faster than slots become free. If they
// always do, the queue is never empty and every call waits in it without benefit: throughput is
// the same without a queue. So the larger the share of refused calls, the shorter a call may
// wait; the others are refused at once.
func maxWaitShare(refused movingShare) float64 {
	return max(0, 1-float64(refused)/maxRefusedShare)
}

// lowerPriorityStarted reports whether lower-priority calls are still being started. The
// overload is then not caused by calls of this priority, and they get the next slots.
func (p *overload) lowerPriorityStarted(now time.Time, priority snapshot.Priority) bool {
	for _, at := range p.startedAt[:min(priority, snapshot.MaxPriority)] {
		if !at.IsZero() && now.Sub(at) < lowerPriorityWindow {
			return true
		}
	}
	return false
}

// movingShare is the exponentially weighted share of events that satisfy a condition.
type movingShare float64

// observe adds an event.
func (s *movingShare) observe(holds bool) {
	x := 0.0
	if holds {
		x = 1
	}
	*s += movingShare(shareWeight * (x - float64(*s)))
}
