package allowance

import "time"

// slots is the number of slots of a window; the uses of a window are counted to the
// slot, and one more slot is counted so that no use is missed.
const slots = 20

// window counts events in the last slots of the running window.
type window struct {
	counts [slots + 1]uint32
	slot   int64 // number of the current slot
}

// roll advances to the slot of now.
func (w *window) roll(slot int64) {
	if slot-w.slot > slots {
		*w = window{slot: slot}
		return
	}
	for w.slot < slot {
		w.slot++
		w.counts[w.slot%int64(len(w.counts))] = 0
	}
}

func (w *window) add() { w.counts[w.slot%int64(len(w.counts))]++ }

// remove takes back the newest event, if there is one.
func (w *window) remove() {
	for i := range int64(len(w.counts)) {
		n := &w.counts[(w.slot-i+int64(len(w.counts)))%int64(len(w.counts))]
		if *n > 0 {
			*n--
			return
		}
	}
}

// last returns the number of events in the current and the n slots before it.
func (w *window) last(n int) int {
	sum := 0
	for i := range int64(n + 1) {
		sum += int(w.counts[(w.slot-i+int64(len(w.counts)))%int64(len(w.counts))])
	}
	return sum
}

func (w *window) total() int { return w.last(slots) }

// slotOf returns the number of the slot of a time.
func slotOf(start, now time.Time, slot time.Duration) int64 {
	return int64(now.Sub(start)/slot) + slots + 1
}
