package target

// keptFree is the part of the slots, as 1/keptFree, that calls from other regions
// leave free: the own region's load goes up and down within moments.
const keptFree = 8

// spares tells whether a call from another region may have a slot, as far as that
// is a matter of room.
//
// Where both regions are short of room, calls that cross take a slot from a call
// that need not, hold it longer and load the link between the regions, and
// nobody is served who would not have been. So a call from afar gets room that
// the own region has no use for, or that it would leave to less urgent work.
func (g *Gate) spares(m *Arrival) bool {
	return g.free(m)-len(g.queue) > g.allowed()/keptFree
}
