package target

// Which calls from other regions a gate lets in.
//
// Where both regions are short of room, calls that cross take a slot from a call
// that need not, hold it longer and load the link between the regions, and
// nobody is served who would not have been. So a call from afar gets room that
// the own region has no use for, or that it would leave to less urgent work.
const (
	// keptFree is the part of the slots, as 1/keptFree, that calls from afar
	// leave free: the own region's load goes up and down within moments.
	keptFree = 8
)

// spares tells whether there is room beyond what the own region may need in a
// moment.
func (g *Gate) spares(m *Arrive) bool {
	return g.free(m)-len(g.queue) > g.allowed()/keptFree
}
