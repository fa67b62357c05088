package target

import "time"

// Parameters by which the concurrency limit follows the target's real capacity.
const (
	// decreaseFactor is the factor by which refusals and slow calls lower the limit.
	decreaseFactor = 0.7
	// minDecreaseInterval is the least time between two decreases: one burst of refusals is one
	// signal.
	minDecreaseInterval = 200 * time.Millisecond
	// minLimitShareShed is the share of the slots below which refusals don't lower the limit. A
	// target that refuses or fails calls at random, at any load, would otherwise lose nearly all
	// of its capacity, and its whole service with it.
	minLimitShareShed = 0.4
	// minLimitShareSlow is that share where calls have only become slow: the cause may be the
	// work itself, which fewer slots would not make faster.
	minLimitShareSlow = 0.75
	// maxSlowdown is the mean slowness of calls above which a limit that is reached is decreased.
	// The slowness of a call is its duration divided by its route's mean duration at low load. If a
	// target announces more slots than it has, its calls slow each other down.
	maxSlowdown = 4
	// recoveryDelay is the time after a decrease from which on successful calls raise the limit
	// even if it is not reached. Calls that are only sent where slots are free, such as those
	// from other regions, would otherwise never find one again.
	recoveryDelay = time.Second
	// lowLoadShare is the share up to which load counts as low: of the limit for call durations,
	// and of the slots for the shares of shed calls.
	lowLoadShare = 0.5
	// minShedRatio is the ratio of the share of calls shed at high load to that at low load from
	// which on load counts as the cause of shedding.
	minShedRatio = 2
	// minShedLowLoad is the share of calls shed at low load below which load always counts as
	// the cause.
	minShedLowLoad = 0.2
	// slownessWeight is the weight of the newest call in the mean slowness.
	slownessWeight = 0.1
)

// limiter is an adaptive concurrency limit between a share of the announced slots and all of
// them. It increases by about one for each round of calls that succeed while the limit is
// reached, or recoveryDelay after the last decrease. It decreases by decreaseFactor when the
// target sheds load or slows down.
type limiter struct {
	limit     float64
	durations callDurations
	// slowness is the moving average of the slowness of calls; 0 if unknown.
	slowness    float64
	decreasedAt time.Time
	// shedLowLoad and shedHighLoad are the shares of calls that the target itself refuses at low
	// and at high load.
	shedLowLoad, shedHighLoad movingShare
}

// reset sets the limit to all slots. That includes a target that has just started and is slow for a
// while: it has as many slots as ever. After the restart of a whole service there is no other
// target to wait for.
func (l *limiter) reset(slots int) { l.limit = float64(slots) }

func (l *limiter) value() int { return int(l.limit) }

// observe records the end of a call and adjusts the limit. running is the number of calls that
// ran, including this one.
func (l *limiter) observe(now time.Time, m Completed, running, slots int) {
	full := running >= l.value()
	l.observeShed(m.Shed, float64(running) <= lowLoadShare*float64(slots))
	if m.Shed {
		if l.shedLowLoad < minShedLowLoad || l.shedHighLoad >= minShedRatio*l.shedLowLoad {
			l.decrease(now, minLimitShareShed*float64(slots))
		}
		return
	}
	if m.Failed || m.Duration <= 0 {
		return
	}
	if x := l.durations.observe(m.Route, m.Duration, float64(running) <= lowLoadShare*l.limit); x > 0 {
		l.slowness += slownessWeight * (x - l.slowness)
	}
	if full && l.slowness > maxSlowdown {
		l.decrease(now, minLimitShareSlow*float64(slots))
		return
	}
	if full || now.Sub(l.decreasedAt) > recoveryDelay {
		l.limit = min(float64(slots), l.limit+1/l.limit)
	}
}

// observeShed records whether the target refused a call. If it refuses as many calls at low
// load, load is not the cause, and a lower limit would only cost capacity.
func (l *limiter) observeShed(shed, lowLoad bool) {
	if lowLoad {
		l.shedLowLoad.observe(shed)
		return
	}
	l.shedHighLoad.observe(shed)
}

// decrease lowers the limit by decreaseFactor, but not below floor.
func (l *limiter) decrease(now time.Time, floor float64) {
	if now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.limit = max(1, min(l.limit, floor), l.limit*decreaseFactor)
}
