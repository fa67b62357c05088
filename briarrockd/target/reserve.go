package target

import (
	"time"

	"briarrock.example/mesh/snapshot"
)

const (
	// runningWeight is the weight of the newest moment in the mean number of
	// calls that run, looked at as each call arrives.
	runningWeight = 0.02
	// slackWeight is that of the newest call in the spare time of a priority.
	slackWeight = 0.1
	// priorities is the number of priorities.
	priorities = int(snapshot.MostUrgent) + 1
)

// reserve keeps slots for urgent calls that can't wait for the end of long work.
//
// Slots are not taken back. Where long calls of little urgency may fill them
// all, an urgent short one comes too late whatever its place in the queue, and
// the run at another target that waits for it fails with it. So long calls leave
// as many slots as the more urgent ones were seen to need, unless these have the
// time to wait for a slot.
type reserve struct {
	// running is how many calls of each priority run now, mean how many do as a
	// rule.
	running     [priorities]int
	meanRunning [priorities]float64
	// slack is the time that calls of each priority have beside their work.
	slack [priorities]time.Duration
}

// recordArrival looks at what runs as a call arrives, and notes its spare time.
func (r *reserve) recordArrival(priority snapshot.Priority, slack time.Duration) {
	for i, n := range r.running {
		r.meanRunning[i] += runningWeight * (float64(n) - r.meanRunning[i])
	}
	r.slack[priority] = movingAverage(r.slack[priority], max(slack, 1), slackWeight)
}

// reservedSlots is how many slots a call that takes so long has to leave free for more
// urgent ones.
func (r *reserve) reservedSlots(priority snapshot.Priority, work time.Duration) int {
	needed, taken := 0.0, 0
	for i := int(priority) + 1; i < priorities; i++ {
		if r.slack[i] > 0 && r.slack[i] < work {
			needed += r.meanRunning[i]
			taken += r.running[i]
		}
	}
	return max(0, int(needed)-taken)
}

// meanHigherPriority is how many slots more urgent calls have as a rule.
func (r *reserve) meanHigherPriority(priority snapshot.Priority) float64 {
	n := 0.0
	for i := int(priority) + 1; i < priorities; i++ {
		n += r.meanRunning[i]
	}
	return n
}
