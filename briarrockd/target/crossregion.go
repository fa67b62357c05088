package target

// crossRegionFreeDivisor is the part of the slots, as 1/crossRegionFreeDivisor, that calls from
// other regions leave free, since the load from the host's own region varies within moments.
const crossRegionFreeDivisor = 8

// admitsCrossRegion reports whether enough slots are free for a call from another region.
//
// If both regions are short of slots, a call from another region takes a slot from a local call,
// holds it longer and loads the link between the regions. No more calls are served in total. So
// such a call gets only a slot that the own region does not use, or would use only for less urgent
// calls.
func (g *Gate) admitsCrossRegion(m *Arrival) bool {
	return g.freeSlots(m)-len(g.queue) > g.concurrencyLimit()/crossRegionFreeDivisor
}
