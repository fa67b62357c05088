package target

// crossRegionFreeDivisor is the part of the slots, as 1/crossRegionFreeDivisor, that calls from other regions
// leave free: the own region's load goes up and down within moments.
const crossRegionFreeDivisor = 8

// admitsCrossRegion tells whether a call from another region may have a slot, as far as that
// is a matter of room.
//
// Where both regions are short of room, calls that cross take a slot from a call
// that need not, hold it longer and load the link between the regions, and
// nobody is served who would not have been. So a call from afar gets room that
// the own region has no use for, or that it would leave to less urgent work.
func (g *Gate) admitsCrossRegion(m *Arrival) bool {
	return g.freeSlots(m)-len(g.queue) > g.concurrencyLimit()/crossRegionFreeDivisor
}
