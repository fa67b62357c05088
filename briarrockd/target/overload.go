package target

import (
	"time"

	"briarrock.example/mesh/snapshot"
)

const (
	// overloadWindow is how long after the refusal of a call the own region counts
	// as short of room.
	overloadWindow = 500 * time.Millisecond
	// lessUrgentWindow is how long after the start of a less urgent call there counts as
	// being more of its kind: the more urgent ones get those slots first.
	lessUrgentWindow = 500 * time.Millisecond
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
	// share is the part of the last calls that found no room.
	share [snapshot.MostUrgent + 1]share
	// startedAt is when a call was last started.
	startedAt [snapshot.MostUrgent + 1]time.Time
}

// refused notes that a call of the own region was refused.
func (p *overload) refused(now time.Time, priority snapshot.Priority) {
	p.refusedAt[min(priority, snapshot.MostUrgent)] = now
}

// on tells whether calls of at least a priority were refused a moment ago.
func (p *overload) on(now time.Time, priority snapshot.Priority) bool {
	for _, at := range p.refusedAt[min(priority, snapshot.MostUrgent):] {
		if !at.IsZero() && now.Sub(at) < overloadWindow {
			return true
		}
	}
	return false
}

// decided counts a call as let in or refused.
func (p *overload) decided(priority snapshot.Priority, refused bool) {
	p.share[min(priority, snapshot.MostUrgent)].observe(refused, rejectWeight)
}

// started notes that a call was started.
func (p *overload) started(now time.Time, priority snapshot.Priority) {
	p.startedAt[min(priority, snapshot.MostUrgent)] = now
}

// patience is the part of its spare time that a call may spend in the queue.
//
// A queue bridges the moments in which calls come faster than slots come free.
// Where they do so all the time it is never empty, and every call waits in it
// for nothing: as many are done as without. So the more calls are refused, the
// less of its time a call may spend waiting, and the rest is told at once.
func (p *overload) patience(priority snapshot.Priority) float64 {
	return max(0, 1-float64(p.share[min(priority, snapshot.MostUrgent)])/maxRejectShare)
}

// first tells whether less urgent calls are still started. Then it is not calls of
// this priority that there are too many of: the next slots are theirs.
func (p *overload) first(now time.Time, priority snapshot.Priority) bool {
	for _, at := range p.startedAt[:min(priority, snapshot.MostUrgent)] {
		if !at.IsZero() && now.Sub(at) < lessUrgentWindow {
			return true
		}
	}
	return false
}

// share is a moving share of the events of which something holds.
type share float64

// observe counts an event by weight.
func (s *share) observe(holds bool, weight float64) {
	x := 0.0
	if holds {
		x = 1
	}
	*s += share(weight * (x - float64(*s)))
}
