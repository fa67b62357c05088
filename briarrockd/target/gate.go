package target

import (
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// Gate is the admission control of one target: it decides which calls run, and when. It is the
// only place that counts the target's slots, since all calls to the target pass through its
// node.
//
// Calls beyond the concurrency limit wait in a short queue, ordered by priority and, within a
// priority, fairly between callers. A call that could not be started before its deadline is
// refused at once, while its caller still has time to try another target.
//
// Gate is a step function without I/O and without a clock; driver.go runs it.
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
	// startedByCaller counts the calls that were started for each caller since the queue was
	// last empty. Callers with few started calls go first.
	startedByCaller map[string]int
	shares          shares
	cmds            []Cmd
	now             time.Time
	// shedAt is when the target last refused a call itself.
	shedAt time.Time
}

// minRetryAfter is the least time after a refusal at which a retry is useful. Right after a
// refusal the same slots are still in use, and callers that retried at once would only be
// refused again and keep the gate busy. Queued calls are no reason for a later retry: calls run
// in the order of their aims, and a caller that retries late can only be answered late.
const minRetryAfter = 50 * time.Millisecond

// NewGate returns a gate with the given limits.
func NewGate(l Limits) *Gate {
	g := &Gate{running: make(map[CallID]snapshot.Priority), startedByCaller: make(map[string]int)}
	g.setLimits(l)
	return g
}

// Step processes the message m that arrived at now and returns the gate's decisions.
func (g *Gate) Step(now time.Time, m Msg) []Cmd {
	g.now = now
	g.cmds = nil
	g.updateStarted()
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

// Load returns the utilization of the target at now: 1 if every slot is in use and no call is
// queued. If the utilization of the host's link or of the target's rate is higher, Load returns
// that.
//
// Refusals are fast, so a target that sheds load would look idle and attract more calls. Its
// load is therefore raised by shedLoad for shedWindow after a refusal.
func (g *Gate) Load(now time.Time) float64 {
	load := float64(len(g.running)+len(g.queue)) / float64(g.concurrencyLimit())
	load = max(load, g.bodies.load(now, g.queuedBytes(nil)), g.pacer.load(now))
	if !g.shedAt.IsZero() && now.Sub(g.shedAt) < shedWindow {
		load += shedLoad
	}
	return load
}

// shedLoad is added to the utilization that Load returns, for shedWindow after the target refused a
// call.
const (
	shedWindow = time.Second
	shedLoad   = 3
)

// Running returns the number of calls that run.
func (g *Gate) Running() int { return len(g.running) }

// Queued returns the number of queued calls.
func (g *Gate) Queued() int { return len(g.queue) }

// ConcurrencyLimit returns how many calls may run at once now.
func (g *Gate) ConcurrencyLimit() int { return g.concurrencyLimit() }

func (g *Gate) concurrencyLimit() int { return max(1, min(g.slots, g.limit.value())) }

func (g *Gate) setLimits(l Limits) {
	if l.Slots != g.slots {
		g.limit.reset(l.Slots)
	}
	g.slots = max(1, l.Slots)
	g.bodies.bandwidth = l.LinkBytesPerSecond
	g.queueMax = max(0, l.Queue)
}

func (g *Gate) refuse(id CallID, k kind.Kind) { g.refuseWithRetry(id, k, 0) }

// refuseWithRetry refuses a call whose caller may retry after wait; 0 if unknown.
func (g *Gate) refuseWithRetry(id CallID, k kind.Kind, wait time.Duration) {
	r := Refuse{ID: id, Kind: k, RetryAfter: wait}
	if wait > 0 {
		r.RetryAfterSeconds = max(1, int(wait.Round(time.Second)/time.Second))
	}
	g.cmds = append(g.cmds, r)
}

// shortageKind returns why a call is refused for lack of capacity: kind.Rate while the target's
// rate limit is used up, kind.Full otherwise.
func (g *Gate) shortageKind() kind.Kind {
	if !g.pacer.ready(g.now) {
		return kind.Rate
	}
	return kind.Full
}

// refuseForCapacity refuses a call for lack of capacity.
func (g *Gate) refuseForCapacity(a *Arrival, k kind.Kind) {
	if !a.CrossRegion {
		g.overload.recordRefused(g.now, a.Priority)
	}
	g.refuseWithRetry(a.ID, k, g.retryAfter(a))
}

// retryAfter returns the time until a retry is useful for a call that is refused for lack of
// capacity. The time grows with the share of refused calls, up to all of the call's slack: callers
// that retry at once meet the same overload.
func (g *Gate) retryAfter(a *Arrival) time.Duration {
	wait := max(g.slotWait(0, snapshot.MaxPriority), minRetryAfter, g.pacer.retryAfter(g.now, len(g.queue)))
	if a.Aim.IsZero() {
		return wait
	}
	left := float64(slack(a.Aim.Sub(g.now), g.limit.durations.ofRoute(a.Route)))
	return max(wait, time.Duration(float64(g.refusedShare(a))*left))
}

// refusedShare returns the moving share of refused calls among those that compete like a call:
// the calls of its workspace, or those of its priority if it has none.
func (g *Gate) refusedShare(a *Arrival) movingShare {
	if a.Workspace {
		return g.shares.counts[a.Caller].refused
	}
	return g.overload.refusedShare[min(a.Priority, snapshot.MaxPriority)]
}

// recordDecision records whether a call was refused or admitted on arrival.
func (g *Gate) recordDecision(a *Arrival, refused bool) {
	g.overload.recordDecision(a.Priority, refused)
	g.shares.recordDecision(g.now, a.workspace(), refused)
}

// MeanDuration returns the mean duration of the target's calls; 0 before the first has ended.
func (g *Gate) MeanDuration() time.Duration { return g.limit.durations.mean }

// slotWait returns the expected time until a slot is free for a call behind n others. Slots that
// more urgent calls usually use don't count: such calls go before this one even if they arrive
// later.
func (g *Gate) slotWait(n int, priority snapshot.Priority) time.Duration {
	left := max(1, float64(g.concurrencyLimit())-g.reserve.meanHigherPriority(priority))
	return time.Duration(float64(g.limit.durations.overall()) * float64(n+1) / left)
}

func (g *Gate) handleArrival(m Arrival) {
	m.Priority = min(m.Priority, snapshot.MaxPriority)
	if m.Workspace {
		g.shares.enable()
	}
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
		g.refuseForCapacity(&m, g.shortageKind())
		return
	case g.canStart(&m):
		// A slot is free, so calls that are already queued wait for the link and not for a slot.
		g.recordDecision(&m, false)
		g.queue = append(g.queue, g.newQueuedCall(m))
		return
	}
	ok := g.expectedInTime(m)
	g.recordDecision(&m, !ok)
	if !ok {
		g.refuseForCapacity(&m, g.shortageKind())
		return
	}
	if !m.Workspace && g.exceedsCallerShare(m.Caller) {
		g.refuseForCapacity(&m, kind.Limit)
		return
	}
	if len(g.queue) >= g.queueMax && !g.evict(m.Priority) && !g.evictOfWorkspace(&m) {
		g.refuseForCapacity(&m, g.shortageKind())
		return
	}
	g.queue = append(g.queue, g.newQueuedCall(m))
}

// canStart reports whether a call can be started now.
func (g *Gate) canStart(a *Arrival) bool {
	return g.freeSlots(a) > 0 && g.bodies.admits(a) && g.pacer.ready(g.now)
}

// freeSlots returns how many slots are free for a call, without those reserved for more urgent
// calls.
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

// startQueued starts queued calls while slots are free.
func (g *Gate) startQueued() {
	for len(g.running) < g.concurrencyLimit() {
		i := g.nextStartable()
		if i < 0 {
			break
		}
		w := g.queue[i]
		g.queue = append(g.queue[:i], g.queue[i+1:]...)
		if !g.worthStarting(w) {
			g.refuseForCapacity(&w.Arrival, g.shortageKind())
			continue
		}
		g.running[w.ID] = w.Priority
		g.reserve.running[w.Priority]++
		g.overload.recordStarted(g.now, w.Priority)
		g.bodies.start(g.now, &w.Arrival)
		g.pacer.take(g.now)
		if !w.Workspace {
			g.startedByCaller[w.Caller]++
		}
		g.recordStarted(w.workspace())
		g.cmds = append(g.cmds, Start{w.ID})
	}
	if len(g.queue) == 0 && len(g.startedByCaller) > 0 {
		clear(g.startedByCaller)
	}
}
