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
	bodies   bodies
	overload overload
	reserve  reserve

	running map[CallID]snapshot.Priority
	queue   []waiting
	// turn counts the calls that each queued caller has had started, so that
	// callers with many calls wait for those with few.
	turn map[string]int
	cmds []Cmd
	now  time.Time
	// shedAt is when the target last refused work.
	shedAt time.Time
}

// minWait is the least time after which asking again is worth it. Right
// after a refusal the same slots are still taken; callers who came back at once
// would only be refused again, and keep the gate busy with it. What waits is no
// reason to come later: it is run in the order of the aims, and a caller who
// comes back late can only be answered late.
const minWait = 50 * time.Millisecond

// NewGate returns a gate with the given limits.
func NewGate(l Limits) *Gate {
	g := &Gate{running: make(map[CallID]snapshot.Priority), turn: make(map[string]int)}
	g.limits(l)
	return g
}

// Step takes what happened at now and returns what was decided.
func (g *Gate) Step(now time.Time, m Msg) []Cmd {
	g.now = now
	g.cmds = nil
	switch m := m.(type) {
	case Arrival:
		g.arrive(m)
	case Canceled:
		g.remove(m.ID)
	case BodyReceived:
		g.bodies.taken(m.ID)
	case Completed:
		g.ended(m)
	case Limits:
		g.limits(m)
	case Throttle:
		g.pacer.set(now, m.Rate)
	case Drain:
		g.drain(m.On)
	case Tick:
	}
	g.expire()
	g.start()
	return g.cmds
}

// Load is how taken the gate is at now: 1 when every slot runs and nothing waits.
//
// Rejections are fast, so a target that sheds would look idle and attract more load:
// for a while after one it counts as taken.
func (g *Gate) Load(now time.Time) float64 {
	load := float64(len(g.running)+len(g.queue)) / float64(g.allowed())
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
func (g *Gate) ConcurrencyLimit() int { return g.allowed() }

func (g *Gate) allowed() int { return max(1, min(g.slots, g.limit.value())) }

func (g *Gate) limits(l Limits) {
	if l.Slots != g.slots {
		g.limit.reset(l.Slots)
	}
	g.slots = max(1, l.Slots)
	g.bodies.link = l.LinkBandwidth
	g.queueMax = max(0, l.Queue)
}

func (g *Gate) refuse(id CallID, k kind.Kind) { g.refuseFor(id, k, 0) }

// refuseFor refuses a call that is not worth asking for again before wait is over;
// 0 if nobody knows.
func (g *Gate) refuseFor(id CallID, k kind.Kind, wait time.Duration) {
	r := Refuse{ID: id, Kind: k, RetryAfter: wait}
	if wait > 0 {
		r.RetryAfterSeconds = max(1, int(wait.Round(time.Second)/time.Second))
	}
	g.cmds = append(g.cmds, r)
}

// shortage is the kind of room that a call is refused for now.
func (g *Gate) shortage() kind.Kind {
	if !g.pacer.ready(g.now) {
		return kind.Rate
	}
	return kind.Full
}

// reject refuses a call for want of room.
func (g *Gate) reject(a *Arrival, k kind.Kind) {
	if !a.CrossRegion {
		g.overload.refused(g.now, a.Priority)
	}
	g.refuseFor(a.ID, k, g.again(a))
}

// again is when a call that is refused for want of room is worth asking for again. The
// more calls are refused, the more of the time in which it could still be answered
// within its aim is used: callers who return at once meet the same overload.
func (g *Gate) again(a *Arrival) time.Duration {
	again := max(g.wait(0, snapshot.MostUrgent), minWait, g.pacer.again(g.now, len(g.queue)))
	if a.Aim.IsZero() {
		return again
	}
	left := float64(spare(a.Aim.Sub(g.now), g.limit.work.of(a.Route)))
	return max(again, time.Duration(float64(g.overload.share[a.Priority])*left))
}

// MeanDuration is how long a call takes as a rule; 0 before any has ended.
func (g *Gate) MeanDuration() time.Duration { return g.limit.work.all }

// wait is how long a call behind n others is expected to be queued. The more
// urgent calls that are still to come go before it too.
func (g *Gate) wait(n int, priority snapshot.Priority) time.Duration {
	left := max(1, float64(g.allowed())-g.reserve.taken(priority))
	return time.Duration(float64(g.limit.work.usual()) * float64(n+1) / left)
}

func (g *Gate) arrive(m Arrival) {
	m.Priority = min(m.Priority, snapshot.MostUrgent)
	if !m.Aim.IsZero() {
		g.reserve.arrived(m.Priority, spare(m.Aim.Sub(g.now), g.limit.work.of(m.Route)))
	}
	switch {
	case g.draining:
		g.refuse(m.ID, kind.Drain)
		return
	case !m.Deadline.After(g.now):
		g.refuse(m.ID, kind.Deadline)
		return
	case m.CrossRegion && g.overload.on(g.now, m.Priority):
		g.refuseFor(m.ID, g.shortage(), overloadWindow)
		return
	case m.CrossRegion && !g.spares(&m):
		g.reject(&m, g.shortage())
		return
	case g.fits(&m):
		// What is queued then waits for the link, and not for a slot.
		g.overload.decided(m.Priority, false)
		g.queue = append(g.queue, waiting{m, g.now})
		return
	}
	ok := g.inTime(m)
	g.overload.decided(m.Priority, !ok)
	if !ok {
		g.reject(&m, g.shortage())
		return
	}
	if g.overShare(m.Caller) {
		g.reject(&m, kind.Limit)
		return
	}
	if len(g.queue) >= g.queueMax && !g.evict(m.Priority) {
		g.reject(&m, g.shortage())
		return
	}
	g.queue = append(g.queue, waiting{m, g.now})
}

// fits tells whether a call can be started now.
func (g *Gate) fits(a *Arrival) bool {
	return g.free(a) > 0 && g.bodies.room(a) && g.pacer.ready(g.now)
}

// free is how many slots a call may choose from.
func (g *Gate) free(a *Arrival) int {
	return g.allowed() - len(g.running) - g.reserve.kept(a.Priority, g.limit.work.of(a.Route))
}

func (g *Gate) ended(m Completed) {
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
	g.bodies.taken(m.ID)
	g.limit.ended(g.now, m, running, g.slots)
}

func (g *Gate) drain(on bool) {
	g.draining = on
	if !on {
		return
	}
	for _, w := range g.queue {
		g.refuse(w.ID, kind.Drain)
	}
	g.queue = nil
}

// start lets queued calls run while there are slots.
func (g *Gate) start() {
	for len(g.running) < g.allowed() {
		i := g.next()
		if i < 0 {
			break
		}
		w := g.queue[i]
		g.queue = append(g.queue[:i], g.queue[i+1:]...)
		if !g.startable(w) {
			g.reject(&w.Arrival, g.shortage())
			continue
		}
		g.running[w.ID] = w.Priority
		g.reserve.running[w.Priority]++
		g.overload.started(g.now, w.Priority)
		g.bodies.begin(g.now, &w.Arrival)
		g.pacer.take(g.now)
		g.turn[w.Caller]++
		g.cmds = append(g.cmds, Start{w.ID})
	}
	if len(g.queue) == 0 && len(g.turn) > 0 {
		clear(g.turn)
	}
}
