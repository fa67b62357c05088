package target

import "time"

// How the limit follows what the target can really do.
const (
	// shrink is the factor by which refusals and failures lower the limit.
	shrink = 0.7
	// shrinkEvery is the least time between two such steps: one burst of
	// refusals is one signal.
	shrinkEvery = 200 * time.Millisecond
	// floorShare is the part of the slots below which the limit does not go. A
	// target that refuses or fails at random, at any load, would otherwise lose
	// nearly all of its capacity, and with it that of its whole service.
	floorShare = 0.4
	// slowFloor is that part where calls have only become slow: that may be the
	// work's own doing, and fewer slots would then make it no faster.
	slowFloor = 0.75
	// slowdown is how many times its duration at low load the mean duration
	// must reach, at a full limit, for the limit to go down: an announced
	// number of slots that is too high shows as calls that slow each other.
	slowdown = 4
	// recoverAfter is how long after a step down calls that end well raise the
	// limit also where it is not reached: calls that come only where there is room,
	// as those from other regions, would find none for good.
	recoverAfter = time.Second
	// quietShare is the part of the limit up to which load counts as low.
	quietShare = 0.5
	// shedWeight is the weight of the newest call in the shares that are shed, and
	// shedByLoad how many times as many must be shed at high load as at low load for
	// the load to be taken for the cause.
	shedWeight = 0.05
	shedByLoad = 2
	// minShedQuiet is the share that must be shed at low load for it to count.
	minShedQuiet = 0.2
	// slownessWeight is the weight of the newest call in the slowness.
	slownessWeight = 0.1
)

// limiter is a concurrency limit between a part of the announced slots and
// all of them. It goes up by about one for each round of calls that end well at
// a full limit, or some time after the last trouble, and down by a factor when the
// target refuses or slows down.
type limiter struct {
	limit float64
	work  work
	// slowness is how many times their usual duration at low load the last few
	// calls took; 0 if not known.
	slowness float64
	shrankAt time.Time
	// shedQuiet and shedBusy are the shares of the calls that the target refuses by
	// itself at low and at high load.
	shedQuiet, shedBusy share
}

// reset begins anew with all slots. A target that has just started and is slow
// for a while gets all of them as well: it has as many as ever, and after a
// restart of a whole service there is no other one to wait for.
func (l *limiter) reset(slots int) { l.limit = float64(slots) }

func (l *limiter) value() int { return int(l.limit) }

// ended takes the end of a call. running counts the calls that ran, that one
// included.
func (l *limiter) ended(now time.Time, m Completed, running, slots int) {
	full := running >= l.value()
	l.observeShed(m.Shed, float64(running) <= quietShare*float64(slots))
	if m.Shed {
		if l.shedQuiet < minShedQuiet || l.shedBusy >= shedByLoad*l.shedQuiet {
			l.lower(now, floorShare*float64(slots))
		}
		return
	}
	if m.Failed || m.Duration <= 0 {
		return
	}
	if x := l.work.ended(m.Route, m.Duration, float64(running) <= quietShare*l.limit); x > 0 {
		l.slowness += slownessWeight * (x - l.slowness)
	}
	if full && l.slowness > slowdown {
		l.lower(now, slowFloor*float64(slots))
		return
	}
	if full || now.Sub(l.shrankAt) > recoverAfter {
		l.limit = min(float64(slots), l.limit+1/l.limit)
	}
}

// observeShed notes whether the target refused a call. One that refuses as many at low
// load does so for another reason, and a lower limit would only cost room.
func (l *limiter) observeShed(shed, quiet bool) {
	if quiet {
		l.shedQuiet.observe(shed, shedWeight)
		return
	}
	l.shedBusy.observe(shed, shedWeight)
}

// lower takes the limit down by a step, though not below a floor.
func (l *limiter) lower(now time.Time, floor float64) {
	if now.Sub(l.shrankAt) < shrinkEvery {
		return
	}
	l.shrankAt = now
	l.limit = max(1, min(l.limit, floor), l.limit*shrink)
}
