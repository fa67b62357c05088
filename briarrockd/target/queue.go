package target

import (
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// waiting is a queued call.
type waiting struct {
	Arrival
	at time.Time
}

// shareOf is the part of a full queue that one caller may take while others
// wait too, as 1/shareOf.
const shareOf = 2

// How much of a queue a call may find before it.
const (
	// workSpread is how many times the usual time is allowed for a call's own
	// work when it is asked whether it will be in time: work varies, and most
	// calls end within this.
	workSpread = 2.0
	// minSpare is the least part of the time beyond the usual work that a call may wait.
	minSpare = 0.5
	// minQueue is how many may wait in any case: with none, a slot that comes
	// free stays so until the next call happens to arrive.
	minQueue = 1
	// minWork is the part of the usual time below which a queued call is not
	// worth starting: it would take a slot and be broken off.
	minWork = 0.5
)

// inTime tells whether a call is expected to end in time: within its aim, if it
// has one that is not past already.
func (g *Gate) inTime(m Arrival) bool {
	ahead, wait := g.expected(m)
	switch {
	case m.Aim.IsZero():
		return !g.now.Add(wait).After(m.Deadline)
	case !m.Aim.After(g.now):
		// It can only be late, and would make another late too. It gets a slot
		// that nobody else wants.
		return false
	}
	work := g.limit.work.of(m.Route)
	if ahead < minQueue || g.overload.first(g.now, m.Priority) {
		return !g.now.Add(wait + work).After(m.Deadline)
	}
	return wait <= time.Duration(g.overload.patience(m.Priority)*float64(spare(m.Aim.Sub(g.now), work)))
}

// spare is how much of the time until its aim a call has for waiting. Most work ends
// within workSpread times the usual time; where the aim is not that far off, half of what
// lies beyond the usual time is left.
func spare(left, work time.Duration) time.Duration {
	return max(left-time.Duration(workSpread*float64(work)), time.Duration(minSpare*float64(left-work)))
}

// expected is how many calls go before one that arrives, and how long it is
// expected to be queued: for a slot if none is free, for its turn at the target's
// rate, and for the link if its body has to wait for others.
func (g *Gate) expected(m Arrival) (ahead int, wait time.Duration) {
	own := waiting{m, g.now}
	for i := range g.queue {
		if !g.sooner(&own, &g.queue[i]) {
			ahead++
		}
	}
	if g.free(&m) <= 0 {
		wait = g.wait(ahead, m.Priority)
	}
	wait = max(wait, g.pacer.wait(g.now, ahead))
	if g.bodies.long(&m) {
		wait += g.bodies.wait(g.queuedBytes(&own))
	}
	return ahead, wait
}

// queuedBytes are the long bodies of the queued calls that go before one, or of
// all of them.
func (g *Gate) queuedBytes(before *waiting) int64 {
	n := int64(0)
	for i := range g.queue {
		if g.bodies.long(&g.queue[i].Arrival) && (before == nil || !g.sooner(before, &g.queue[i])) {
			n += g.bodies.size(&g.queue[i].Arrival)
		}
	}
	return n
}

// startable tells whether a queued call still has the time to be worth a slot.
func (g *Gate) startable(w waiting) bool {
	least := time.Duration(minWork * float64(g.limit.work.of(w.Route)))
	return w.Aim.IsZero() || !g.now.Add(least).After(w.Deadline)
}

// overShare tells whether a caller would crowd out the others: the queue is
// half full at least, others wait in it, and this caller has its share.
func (g *Gate) overShare(caller string) bool {
	own := 0
	for _, w := range g.queue {
		if w.Caller == caller {
			own++
		}
	}
	others := len(g.queue) - own
	return others > 0 && len(g.queue)*2 >= g.queueMax && own >= max(1, g.queueMax/shareOf)
}

// evict turns away the last call of a lesser priority to make room.
func (g *Gate) evict(p snapshot.Priority) bool {
	worst := -1
	for i, w := range g.queue {
		if w.Priority < p && (worst < 0 || w.Priority <= g.queue[worst].Priority) {
			worst = i
		}
	}
	if worst < 0 {
		return false
	}
	g.reject(&g.queue[worst].Arrival, g.shortage())
	g.queue = append(g.queue[:worst], g.queue[worst+1:]...)
	return true
}

func (g *Gate) remove(id CallID) {
	for i, w := range g.queue {
		if w.ID == id {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
}

// expire refuses queued calls whose deadline has passed, and those that were
// queued for an aim which is past now, unless the next slot is theirs: they did not
// run, and their callers have the time to ask elsewhere.
func (g *Gate) expire() {
	kept := g.queue[:0]
	for _, w := range g.queue {
		switch {
		case !w.Deadline.After(g.now):
			g.refuse(w.ID, kind.Deadline)
		case w.Aim.After(w.at) && !w.Aim.After(g.now) && !g.overload.first(g.now, w.Priority):
			g.reject(&w.Arrival, g.shortage())
		default:
			kept = append(kept, w)
		}
	}
	g.queue = kept
}

// next is the queued call to run, -1 if there is none: the first of those that have
// a slot and whose body the link has room for. Short calls don't wait for a link
// that they hardly use, nor urgent ones for the room that is kept for them.
func (g *Gate) next() int {
	best := -1
	for i := range g.queue {
		if g.fits(&g.queue[i].Arrival) && (best < 0 || g.sooner(&g.queue[i], &g.queue[best])) {
			best = i
		}
	}
	return best
}

// sooner tells whether call a goes before call b, which came first: the more
// urgent one, then that of the caller who had fewer turns, then the one whose
// aim is sooner, while it can be kept. Calls that targets make while they run others have the
// shortest aims, and whole requests wait for them.
func (g *Gate) sooner(a, b *waiting) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case g.turn[a.Caller] != g.turn[b.Caller]:
		return g.turn[a.Caller] < g.turn[b.Caller]
	default:
		return a.due(g).Before(b.due(g))
	}
}

// due is by when a queued call should be done: its aim, or if that is past or
// unknown, as soon as a call that comes now can be.
func (w *waiting) due(g *Gate) time.Time {
	soonest := w.at.Add(g.limit.work.usual())
	if w.Aim.After(soonest) {
		return w.Aim
	}
	return soonest
}

// NextTick is when the gate wants its next Tick; zero for not at all.
func (g *Gate) NextTick() time.Time {
	if len(g.queue) == 0 {
		return time.Time{}
	}
	var at time.Time
	if len(g.running) < g.allowed() && !g.pacer.ready(g.now) {
		at = g.now.Add(g.pacer.wait(g.now, 0))
	}
	for _, w := range g.queue {
		ends := w.Deadline
		if w.Aim.After(g.now) && w.Aim.Before(ends) {
			ends = w.Aim
		}
		if at.IsZero() || ends.Before(at) {
			at = ends
		}
	}
	return at
}
