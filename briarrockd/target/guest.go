package target

import (
	"time"

	"briarrock.example/mesh/snapshot"
)

// Which calls from other regions a gate lets in.
//
// Where both regions are short of room, calls that cross take a slot from a call
// that need not, hold it longer and load the link between the regions, and
// nobody is served who would not have been. So a call from afar gets room that
// the own region has no use for, or that it would leave to less urgent work.
const (
	// pressedFor is how long after the refusal of a call the own region counts
	// as short of room.
	pressedFor = 500 * time.Millisecond
	// keptFree is the part of the slots, as 1/keptFree, that calls from afar
	// leave free: the own region's load goes up and down within moments.
	keptFree = 8
)

// pressure is when calls of the own region were last refused, by priority.
type pressure struct {
	refusedAt [snapshot.MostUrgent + 1]time.Time
}

// refused notes a refusal.
func (p *pressure) refused(now time.Time, priority snapshot.Priority) {
	p.refusedAt[min(priority, snapshot.MostUrgent)] = now
}

// on tells whether calls of at least a priority were refused a moment ago.
func (p *pressure) on(now time.Time, priority snapshot.Priority) bool {
	for _, at := range p.refusedAt[min(priority, snapshot.MostUrgent):] {
		if !at.IsZero() && now.Sub(at) < pressedFor {
			return true
		}
	}
	return false
}

// welcomes tells whether a call from another region may have a slot.
func (g *Gate) welcomes(m *Arrive) bool {
	free := g.allowed() - len(g.running) - len(g.queue)
	return free > g.allowed()/keptFree && !g.pressure.on(g.now, m.Priority)
}
