package target

import (
	"time"

	"briarrock.example/mesh/snapshot"
)

const (
	// overloadWindow is how long after the refusal of a call the own region counts
	// as short of room.
	overloadWindow = 500 * time.Millisecond
	// lowerPriorityWindow is how long after the start of a less urgent call there counts as
	// being more of its kind: the more urgent ones get those slots first.
	lowerPriorityWindow = 500 * time.Millisecond
	// rejectWeight is the weight of the newest call in the share that is refused,
	// so that the share tells of the last twenty calls.
	rejectWeight = 0.05
	// maxRejectShare is the share of refused calls from which on nothing queues
	// beyond minQueue.
	maxRejectShare = 0.15
)

// overload is how short of room a gate is for calls of each priority.
type overload struct {
	// refusedAt is when calls of the own region were last refused.
	refusedAt [snapshot.MostUrgent + 1]time.Time
	// refusedShare is the part of the last calls that found no room.
	refusedShare [snapshot.MostUrgent + 1]movingShare
	// startedAt is when a call was last started.
	startedAt [snapshot.MostUrgent + 1]time.Time
}

// recordRefused notes that a call of the own region was recordRefused.
func (p *overload) recordRefused(now time.Time, priority snapshot.Priority) {
	p.refusedAt[min(priority, snapshot.MostUrgent)] = now
}

// isOverloaded tells whether calls of at least a priority were refused a moment ago.
func (p *overload) isOverloaded(now time.Time, priority snapshot.Priority) bool {
	for _, at := range p.refusedAt[min(priority, snapshot.MostUrgent):] {
		if !at.IsZero() && now.Sub(at) < overloadWindow {
			return true
		}
	}
	return false
}

// recordDecision counts a call as let in or refused.
func (p *overload) recordDecision(priority snapshot.Priority, refused bool) {
	p.refusedShare[min(priority, snapshot.MostUrgent)].observe(refused, rejectWeight)
}

// recordStarted notes that a call was recordStarted.
func (p *overload) recordStarted(now time.Time, priority snapshot.Priority) {
	p.startedAt[min(priority, snapshot.MostUrgent)] = now
}

// maxWaitShare is the part of its spare time that a call may spend in the queue.
//
// A queue bridges the moments in which calls come faster than slots come free.
// Where they do so all the time it is never empty, and every call waits in it
// for nothing: as many are done as without. So the more calls are refused, the
// less of its time a call may spend waiting, and the rest is told at once.
func (p *overload) maxWaitShare(priority snapshot.Priority) float64 {
	return max(0, 1-float64(p.refusedShare[min(priority, snapshot.MostUrgent)])/maxRejectShare)
}

// lowerPriorityStarted tells whether less urgent calls are still started. Then it is not calls of
// this priority that there are too many of: the next slots are theirs.
func (p *overload) lowerPriorityStarted(now time.Time, priority snapshot.Priority) bool {
	for _, at := range p.startedAt[:min(priority, snapshot.MostUrgent)] {
		if !at.IsZero() && now.Sub(at) < lowerPriorityWindow {
			return true
		}
	}
	return false
}

// movingShare is a moving movingShare of the events of which something holds.
type movingShare float64

// observe counts an event by weight.
func (s *movingShare) observe(holds bool, weight float64) {
	x := 0.0
	if holds {
		x = 1
	}
	*s += movingShare(weight * (x - float64(*s)))
}
