package target

import (
	"time"

	"briarrock.example/mesh/snapshot"
)

const (
	// runningWeight is the weight of the newest sample in the mean number of running calls,
	// which is sampled as each call arrives.
	runningWeight = 0.02
	// slackWeight is the weight of the newest call in the mean slack of a priority.
	slackWeight = 0.1
	priorities  = int(snapshot.MaxPriority) + 1
)

// reserve keeps slots free for urgent calls that can't wait until a long call ends.
//
// Running calls are not preempted. If long calls of low priority could take all slots, a short
// urgent call would be late whatever its place in the queue. The outer call that waits for it at
// another target would then fail. So long calls leave free as many slots as more urgent calls
// usually use, unless those have enough slack to wait for a slot.
type reserve struct {
	// running is the number of running calls of each priority, meanRunning its moving average.
	running     [priorities]int
	meanRunning [priorities]float64
	// slack is the mean time that calls of each priority can wait.
	slack [priorities]time.Duration
}

// recordArrival samples the running calls as a call arrives, and records the call's slack.
func (r *reserve) recordArrival(priority snapshot.Priority, slack time.Duration) {
	for i, n := range r.running {
		r.meanRunning[i] += runningWeight * (float64(n) - r.meanRunning[i])
	}
	r.slack[priority] = movingAverage(r.slack[priority], max(slack, 1), slackWeight)
}

// reservedSlots returns how many slots a call of this priority, with work as its expected
// duration, has to leave free for more urgent calls.
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

// meanHigherPriority returns the mean number of slots that more urgent calls use.
func (r *reserve) meanHigherPriority(priority snapshot.Priority) float64 {
	n := 0.0
	for i := int(priority) + 1; i < priorities; i++ {
		n += r.meanRunning[i]
	}
	return n
}
