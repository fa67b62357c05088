package target

import (
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// queuedCall is a call that has been in the queue since queuedAt.
type queuedCall struct {
	Arrival
	queuedAt time.Time
	// started is the decayed number of started calls of the call's workspace, as of now.
	started float64
}

// callerShareDivisor sets the share of a full queue that one caller may take while others are
// queued, as 1/callerShareDivisor.
const callerShareDivisor = 2

// Parameters that decide whether a call may queue.
const (
	// workFactor is how many times its route's mean duration a call is assumed to run when the
	// gate decides whether it ends in time. Durations vary, and most calls end within this.
	workFactor = 2.0
	// minSlackShare is the least share of the time beyond the mean duration that a call may
	// wait.
	minSlackShare = 0.5
	// minQueueLen is the number of calls that may always queue. With none, a slot that becomes
	// free stays unused until the next call happens to arrive.
	minQueueLen = 1
	// minWorkspaceQueueLen is the number of calls that each workspace may always queue if they
	// are in time. If the queue as a whole had room for one, the workspace that sends most would
	// nearly always have it. With three or more, calls are overtaken so often that some are late.
	minWorkspaceQueueLen = 2
	// minWorkShare is the share of its route's mean duration that a queued call must have left
	// until its deadline to be started. With less it would take a slot and be cut off.
	minWorkShare = 0.5
)

// expectedInTime reports whether an arriving call is expected to be in time. A call without an aim
// must start before its deadline. A call with an aim must end within it, or by its deadline if it
// gets one of the next slots. A call whose aim has passed is not in time.
func (g *Gate) expectedInTime(m Arrival) bool {
	ahead, wait := g.expectedWait(m)
	switch {
	case m.Aim.IsZero():
		return !g.now.Add(wait).After(m.Deadline)
	case !m.Aim.After(g.now):
		// The response can only be late, and queueing the call would make another one late too.
		// It gets a slot only if one is free.
		return false
	}
	work := g.limit.durations.ofRoute(m.Route)
	if ahead < minQueueLen || g.overload.lowerPriorityStarted(g.now, m.Priority) {
		return !g.now.Add(wait + work).After(m.Deadline)
	}
	left := slack(m.Aim.Sub(g.now), work)
	if m.Workspace && g.queuedOf(&m) < minWorkspaceQueueLen {
		return wait <= left
	}
	return wait <= time.Duration(maxWaitShare(g.refusedShare(&m))*float64(left))
}

// slack returns how long a call may wait, given the time left until its aim and the mean
// duration of its work. Most calls end within workFactor times the mean duration. If the aim is
// nearer than that, minSlackShare of the time beyond the mean duration remains.
func slack(left, work time.Duration) time.Duration {
	return max(left-time.Duration(workFactor*float64(work)), time.Duration(minSlackShare*float64(left-work)))
}

// expectedWait returns how many queued calls go before an arriving call, and how long it is
// expected to queue. It may wait for a slot if none is free, for a token at the target's rate, and
// for the link if its body has to wait for others.
func (g *Gate) expectedWait(m Arrival) (ahead int, wait time.Duration) {
	call := g.newQueuedCall(m)
	ahead = g.callsAhead(&call)
	if g.freeSlots(&m) <= 0 {
		wait = g.slotWait(ahead, m.Priority)
	}
	wait = max(wait, g.pacer.wait(g.now, ahead))
	if g.bodies.isLong(&m) {
		wait += g.bodies.wait(g.queuedBytes(&call))
	}
	return ahead, wait
}

// queuedBytes returns the length of the long bodies of the queued calls that go before a call,
// or of all queued calls if it is nil.
func (g *Gate) queuedBytes(call *queuedCall) int64 {
	n := int64(0)
	for i := range g.queue {
		if g.bodies.isLong(&g.queue[i].Arrival) && (call == nil || !g.before(call, &g.queue[i])) {
			n += g.bodies.size(&g.queue[i].Arrival)
		}
	}
	return n
}

// worthStarting reports whether a queued call has enough time left to be started. A call without an
// aim always has.
func (g *Gate) worthStarting(w queuedCall) bool {
	minWork := time.Duration(minWorkShare * float64(g.limit.durations.ofRoute(w.Route)))
	return w.Aim.IsZero() || !g.now.Add(minWork).After(w.Deadline)
}

// exceedsCallerShare reports whether a caller would crowd out others: the queue is at least half
// full, other callers are queued, and this caller has its share of the queue. It applies to calls
// without a workspace, among themselves: for workspaces evictOfWorkspace makes room, since half a
// queue for one would be far too much among tens of workspaces.
func (g *Gate) exceedsCallerShare(caller string) bool {
	own, others := 0, 0
	for _, w := range g.queue {
		switch {
		case w.Workspace:
		case w.Caller == caller:
			own++
		default:
			others++
		}
	}
	return others > 0 && len(g.queue)*2 >= g.queueMax && own >= max(1, g.queueMax/callerShareDivisor)
}

// evict refuses the last queued call of the lowest priority below p to make room. It returns
// false if there is none.
func (g *Gate) evict(p snapshot.Priority) bool {
	lowest := -1
	for i, w := range g.queue {
		if w.Priority < p && (lowest < 0 || w.Priority <= g.queue[lowest].Priority) {
			lowest = i
		}
	}
	if lowest < 0 {
		return false
	}
	g.refuseForCapacity(&g.queue[lowest].Arrival, g.shortageKind())
	g.queue = append(g.queue[:lowest], g.queue[lowest+1:]...)
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

// expire refuses queued calls whose deadline has passed. It also refuses calls whose aim has passed
// since they were queued, unless they get the next slots before lower-priority calls. Such calls
// did not run, and their callers still have time to try another target.
func (g *Gate) expire() {
	kept := g.queue[:0]
	for _, w := range g.queue {
		switch {
		case !w.Deadline.After(g.now):
			g.refuse(w.ID, kind.Deadline)
		case w.Aim.After(w.queuedAt) && !w.Aim.After(g.now) && !g.overload.lowerPriorityStarted(g.now, w.Priority):
			g.refuseForCapacity(&w.Arrival, g.shortageKind())
		default:
			kept = append(kept, w)
		}
	}
	g.queue = kept
}

// nextStartable returns the index of the queued call to start, -1 if there is none. It is the first
// in order among the calls for which there are a slot, a token and room on the link for the body.
// So short calls don't wait for a link that they hardly use, nor urgent calls for the slots that
// are reserved for them.
func (g *Gate) nextStartable() int {
	best := -1
	for i := range g.queue {
		if g.canStart(&g.queue[i].Arrival) && (best < 0 || g.before(&g.queue[i], &g.queue[best])) {
			best = i
		}
	}
	return best
}

// before reports whether call a goes before call b, which arrived earlier. The higher priority goes
// first, then the workspace or caller with fewer started calls, then the earlier aim if it can still be met.
// Nested calls have the shortest aims, and whole outer calls wait for them.
func (g *Gate) before(a, b *queuedCall) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case a.Workspace || b.Workspace:
		return g.workspaceBefore(a, b)
	case g.startedByCaller[a.Caller] != g.startedByCaller[b.Caller]:
		return g.startedByCaller[a.Caller] < g.startedByCaller[b.Caller]
	default:
		return a.dueTime(g).Before(b.dueTime(g))
	}
}

// dueTime returns by when a queued call should have ended: its aim, if that can still be met.
// Otherwise it is the time at which the call would have ended had it started on arrival.
func (w *queuedCall) dueTime(g *Gate) time.Time {
	soonest := w.queuedAt.Add(g.limit.durations.overall())
	if w.Aim.After(soonest) {
		return w.Aim
	}
	return soonest
}

// NextTick returns when the gate needs its next Tick; zero if it needs none.
func (g *Gate) NextTick() time.Time {
	if len(g.queue) == 0 {
		return time.Time{}
	}
	var at time.Time
	if len(g.running) < g.concurrencyLimit() && !g.pacer.ready(g.now) {
		at = g.now.Add(g.pacer.wait(g.now, 0))
	}
	for _, w := range g.queue {
		expires := w.Deadline
		if w.Aim.After(g.now) && w.Aim.Before(expires) {
			expires = w.Aim
		}
		if at.IsZero() || expires.Before(at) {
			at = expires
		}
	}
	return at
}
