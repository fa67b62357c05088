package target

import (
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// Gate decides which calls a target runs, and when. It is the only place that
// counts the target's slots, since all of the target's work passes its node.
//
// Calls beyond the limit wait in a short queue, the more urgent first and
// within the same urgency the callers in turn. A call that could not be
// started before its deadline is refused at once: its caller learns it while
// there is still time to go elsewhere.
//
// Gate is a step function without I/O and clock; driver.go runs it.
type Gate struct {
	slots    int
	queueMax int
	draining bool
	limit    limiter
	pacer    pacer
	bodies   bodyLimiter
	overload overload
	reserve  reserve

	running map[CallID]snapshot.Priority
	queue   []queuedCall
	// startedByCaller counts the calls that each queued caller has had started, so that
	// callers with many calls wait for those with few.
	startedByCaller map[string]int
	cmds            []Cmd
	now             time.Time
	// shedAt is when the target last refused work.
	shedAt time.Time
}

// minRetryAfter is the least time after which asking again is worth it. Right
// after a refusal the same slots are still taken; callers who came back at once
// would only be refused again, and keep the gate busy with it. What waits is no
// reason to come later: it is run in the order of the aims, and a caller who
// comes back late can only be answered late.
const minRetryAfter = 50 * time.Millisecond

// NewGate returns a gate with the given limits.
func NewGate(l Limits) *Gate {
	g := &Gate{running: make(map[CallID]snapshot.Priority), startedByCaller: make(map[string]int)}
	g.setLimits(l)
	return g
}

// Step takes what happened at now and returns what was decided.
func (g *Gate) Step(now time.Time, m Msg) []Cmd {
	g.now = now
	g.cmds = nil
	switch m := m.(type) {
	case Arrival:
		g.handleArrival(m)
	case Canceled:
		g.remove(m.ID)
	case BodyReceived:
		g.bodies.received(m.ID)
	case Completed:
		g.handleCompleted(m)
	case Limits:
		g.setLimits(m)
	case Throttle:
		g.pacer.setRate(now, m.Rate)
	case Drain:
		g.setDraining(m.On)
	case Tick:
	}
	g.expire()
	g.startQueued()
	return g.cmds
}

// Load is how taken the gate is at now: 1 when every slot runs and nothing waits.
//
// Rejections are fast, so a target that sheds would look idle and attract more load:
// for a while after one it counts as taken.
func (g *Gate) Load(now time.Time) float64 {
	load := float64(len(g.running)+len(g.queue)) / float64(g.concurrencyLimit())
	load = max(load, g.bodies.load(now, g.queuedBytes(nil)), g.pacer.load(now))
	if !g.shedAt.IsZero() && now.Sub(g.shedAt) < shedWindow {
		load += shedLoad
	}
	return load
}

// How long and by how much a target counts as taken after it refused work.
const (
	shedWindow = time.Second
	shedLoad   = 3
)

// Running is how many calls run now.
func (g *Gate) Running() int { return len(g.running) }

// Queued is how many calls wait now.
func (g *Gate) Queued() int { return len(g.queue) }

// ConcurrencyLimit is how many calls may run at once now.
func (g *Gate) ConcurrencyLimit() int { return g.concurrencyLimit() }

func (g *Gate) concurrencyLimit() int { return max(1, min(g.slots, g.limit.value())) }

func (g *Gate) setLimits(l Limits) {
	if l.Slots != g.slots {
		g.limit.reset(l.Slots)
	}
	g.slots = max(1, l.Slots)
	g.bodies.bandwidth = l.LinkBandwidth
	g.queueMax = max(0, l.Queue)
}

func (g *Gate) refuse(id CallID, k kind.Kind) { g.refuseWithRetry(id, k, 0) }

// refuseWithRetry refuses a call that is not worth asking for again before wait is over;
// 0 if nobody knows.
func (g *Gate) refuseWithRetry(id CallID, k kind.Kind, wait time.Duration) {
	r := Refuse{ID: id, Kind: k, RetryAfter: wait}
	if wait > 0 {
		r.RetryAfterSeconds = max(1, int(wait.Round(time.Second)/time.Second))
	}
	g.cmds = append(g.cmds, r)
}

// shortageKind is the kind of room that a call is refused for now.
func (g *Gate) shortageKind() kind.Kind {
	if !g.pacer.ready(g.now) {
		return kind.Rate
	}
	return kind.Full
}

// rejectForCapacity refuses a call for want of room.
func (g *Gate) rejectForCapacity(a *Arrival, k kind.Kind) {
	if !a.CrossRegion {
		g.overload.recordRefused(g.now, a.Priority)
	}
	g.refuseWithRetry(a.ID, k, g.retryAfter(a))
}

// retryAfter is when a call that is refused for want of room is worth asking for retryAfter. The
// more calls are refused, the more of the time in which it could still be answered
// within its aim is used: callers who return at once meet the same overload.
func (g *Gate) retryAfter(a *Arrival) time.Duration {
	wait := max(g.slotWait(0, snapshot.MostUrgent), minRetryAfter, g.pacer.retryAfter(g.now, len(g.queue)))
	if a.Aim.IsZero() {
		return wait
	}
	left := float64(slack(a.Aim.Sub(g.now), g.limit.durations.ofRoute(a.Route)))
	return max(wait, time.Duration(float64(g.overload.refusedShare[a.Priority])*left))
}

// MeanDuration is how long a call takes as a rule; 0 before any has ended.
func (g *Gate) MeanDuration() time.Duration { return g.limit.durations.mean }

// slotWait is how long a call behind n others is expected to be queued. The more
// urgent calls that are still to come go before it too.
func (g *Gate) slotWait(n int, priority snapshot.Priority) time.Duration {
	left := max(1, float64(g.concurrencyLimit())-g.reserve.meanHigherPriority(priority))
	return time.Duration(float64(g.limit.durations.overall()) * float64(n+1) / left)
}

func (g *Gate) handleArrival(m Arrival) {
	m.Priority = min(m.Priority, snapshot.MostUrgent)
	if !m.Aim.IsZero() {
		g.reserve.recordArrival(m.Priority, slack(m.Aim.Sub(g.now), g.limit.durations.ofRoute(m.Route)))
	}
	switch {
	case g.draining:
		g.refuse(m.ID, kind.Drain)
		return
	case !m.Deadline.After(g.now):
		g.refuse(m.ID, kind.Deadline)
		return
	case m.CrossRegion && g.overload.isOverloaded(g.now, m.Priority):
		g.refuseWithRetry(m.ID, g.shortageKind(), overloadWindow)
		return
	case m.CrossRegion && !g.admitsCrossRegion(&m):
		g.rejectForCapacity(&m, g.shortageKind())
		return
	case g.canStart(&m):
		// What is queued then waits for the link, and not for a slot.
		g.overload.recordDecision(m.Priority, false)
		g.queue = append(g.queue, queuedCall{m, g.now})
		return
	}
	ok := g.expectedInTime(m)
	g.overload.recordDecision(m.Priority, !ok)
	if !ok {
		g.rejectForCapacity(&m, g.shortageKind())
		return
	}
	if g.exceedsCallerShare(m.Caller) {
		g.rejectForCapacity(&m, kind.Limit)
		return
	}
	if len(g.queue) >= g.queueMax && !g.evict(m.Priority) {
		g.rejectForCapacity(&m, g.shortageKind())
		return
	}
	g.queue = append(g.queue, queuedCall{m, g.now})
}

// canStart tells whether a call can be started now.
func (g *Gate) canStart(a *Arrival) bool {
	return g.freeSlots(a) > 0 && g.bodies.admits(a) && g.pacer.ready(g.now)
}

// freeSlots is how many slots a call may choose from.
func (g *Gate) freeSlots(a *Arrival) int {
	return g.concurrencyLimit() - len(g.running) - g.reserve.reservedSlots(a.Priority, g.limit.durations.ofRoute(a.Route))
}

func (g *Gate) handleCompleted(m Completed) {
	priority, ok := g.running[m.ID]
	if !ok {
		return
	}
	g.reserve.running[priority]--
	if m.Shed {
		g.shedAt = g.now
	}
	running := len(g.running)
	delete(g.running, m.ID)
	g.bodies.received(m.ID)
	g.limit.observe(g.now, m, running, g.slots)
}

func (g *Gate) setDraining(on bool) {
	g.draining = on
	if !on {
		return
	}
	for _, w := range g.queue {
		g.refuse(w.ID, kind.Drain)
	}
	g.queue = nil
}

// startQueued lets queued calls run while there are slots.
func (g *Gate) startQueued() {
	for len(g.running) < g.concurrencyLimit() {
		i := g.nextStartable()
		if i < 0 {
			break
		}
		w := g.queue[i]
		g.queue = append(g.queue[:i], g.queue[i+1:]...)
		if !g.worthStarting(w) {
			g.rejectForCapacity(&w.Arrival, g.shortageKind())
			continue
		}
		g.running[w.ID] = w.Priority
		g.reserve.running[w.Priority]++
		g.overload.recordStarted(g.now, w.Priority)
		g.bodies.start(g.now, &w.Arrival)
		g.pacer.take(g.now)
		g.startedByCaller[w.Caller]++
		g.cmds = append(g.cmds, Start{w.ID})
	}
	if len(g.queue) == 0 && len(g.startedByCaller) > 0 {
		clear(g.startedByCaller)
	}
}
