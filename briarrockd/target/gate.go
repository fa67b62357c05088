package target

import (
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// CallID names one call at one gate.
type CallID uint64

// Msg is something that happened at a gate.
type Msg interface{ msg() }

// Arrive is a call that wants to be run.
type Arrive struct {
	ID       CallID
	Caller   string
	Priority snapshot.Priority
	// Route names the route that the call came by, empty if nobody says: calls
	// of one route take about the same time.
	Route    string
	Deadline time.Time
	// Aim is when the answer loses most of its worth; zero if nobody says.
	Aim time.Time
	// Far is set for a call from another region.
	Far bool
	// Body is the length of the request's body in bytes, -1 if not known.
	Body int64
}

// Gone is a call whose caller went away while it was queued.
type Gone struct{ ID CallID }

// Taken says that the body of a call that was started has come in.
type Taken struct{ ID CallID }

// Ended is a call that was started and is now at its end.
type Ended struct {
	ID CallID
	// Route is that of the call.
	Route string
	// Took is the time that the target took.
	Took time.Duration
	// Shed is set when the target refused it for load.
	Shed bool
	// Failed is set when the target broke off, was late or failed: the time that
	// it took says nothing of how long work takes.
	Failed bool
}

// Limits sets what the target and the operator allow.
type Limits struct {
	Slots int
	Queue int
	// Link is the bandwidth of the host's link in bytes a second; 0 if not known.
	Link float64
}

// Drain says that the target leaves: what runs may end, nothing else starts.
type Drain struct{ On bool }

// Tick says that time has passed.
type Tick struct{}

func (Arrive) msg() {}
func (Gone) msg()   {}
func (Taken) msg()  {}
func (Ended) msg()  {}
func (Limits) msg() {}
func (Drain) msg()  {}
func (Tick) msg()   {}

// Cmd is what a gate decides.
type Cmd interface{ cmd() }

// Start lets a call run.
type Start struct{ ID CallID }

// Refuse turns a call away. After is the number of seconds until it is worth
// asking again, and Wait the same more finely; 0 if nobody knows.
type Refuse struct {
	ID    CallID
	Kind  kind.Kind
	After int
	Wait  time.Duration
}

func (Start) cmd()  {}
func (Refuse) cmd() {}

// Gate decides which calls a target runs, and when. It is the only place that
// counts the target's slots, since all of the target's work passes its node.
//
// Calls beyond the limit wait in a short queue, the more urgent first and
// within the same urgency the callers in turn. A call that could not be
// started before its deadline is refused at once: its caller learns it while
// there is still time to go elsewhere.
//
// Gate is a step function without I/O and clock; serve.go is its shell.
type Gate struct {
	slots    int
	queueMax int
	draining bool
	limit    limiter
	bodies   bodies
	pressure pressure
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

// waiting is a queued call.
type waiting struct {
	Arrive
	at time.Time
}

// leastWait is the least time after which asking again is worth it. Right
// after a refusal the same slots are still taken; callers who came back at once
// would only be refused again, and keep the gate busy with it. What waits is no
// reason to come later: it is run in the order of the aims, and a caller who
// comes back late can only be answered late.
const leastWait = 50 * time.Millisecond

// shareOf is the part of a full queue that one caller may take while others
// wait too, as 1/shareOf.
const shareOf = 2

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
	case Arrive:
		g.arrive(m)
	case Gone:
		g.remove(m.ID)
	case Taken:
		g.bodies.taken(m.ID)
	case Ended:
		g.ended(m)
	case Limits:
		g.limits(m)
	case Drain:
		g.drain(m.On)
	case Tick:
	}
	g.expire()
	g.start()
	return g.cmds
}

// Load is how taken the gate is: 1 when every slot runs and nothing waits.
//
// A target that refuses work is quick about it, and would look idle: the more
// it refused, the more calls it would draw. So for a while after a refusal it
// counts as taken.
func (g *Gate) Load() float64 {
	load := float64(len(g.running)+len(g.queue)) / float64(g.allowed())
	load = max(load, g.bodies.load(g.now, g.queuedBytes(nil)))
	if !g.shedAt.IsZero() && g.now.Sub(g.shedAt) < shedFor {
		load += shedLoad
	}
	return load
}

// How long and by how much a target counts as taken after it refused work.
const (
	shedFor  = time.Second
	shedLoad = 3
)

// Running is how many calls run now.
func (g *Gate) Running() int { return len(g.running) }

// Queued is how many calls wait now.
func (g *Gate) Queued() int { return len(g.queue) }

// Allowed is how many calls may run at once now.
func (g *Gate) Allowed() int { return g.allowed() }

func (g *Gate) allowed() int { return max(1, min(g.slots, g.limit.value())) }

func (g *Gate) limits(l Limits) {
	if l.Slots != g.slots {
		g.limit.reset(l.Slots)
	}
	g.slots = max(1, l.Slots)
	g.bodies.link = l.Link
	g.queueMax = max(0, l.Queue)
}

func (g *Gate) refuse(id CallID, k kind.Kind) {
	wait := time.Duration(0)
	if k == kind.Full || k == kind.Limit {
		wait = max(g.wait(0, snapshot.MostUrgent), leastWait)
	}
	g.refuseFor(id, k, wait)
}

// refuseFor refuses a call that is not worth asking for again before wait is over;
// 0 if nobody knows.
func (g *Gate) refuseFor(id CallID, k kind.Kind, wait time.Duration) {
	r := Refuse{ID: id, Kind: k, Wait: wait}
	if wait > 0 {
		r.After = max(1, int(wait.Round(time.Second)/time.Second))
	}
	g.cmds = append(g.cmds, r)
}

// turnAway refuses a call for want of room.
func (g *Gate) turnAway(a *Arrive, k kind.Kind) {
	if !a.Far {
		g.pressure.refused(g.now, a.Priority)
	}
	g.refuse(a.ID, k)
}

// Usual is how long a call takes as a rule; 0 before any has ended.
func (g *Gate) Usual() time.Duration { return g.limit.work.all }

// wait is how long a call behind n others is expected to be queued. The more
// urgent calls that are still to come go before it too.
func (g *Gate) wait(n int, priority snapshot.Priority) time.Duration {
	left := max(1, float64(g.allowed())-g.reserve.taken(priority))
	return time.Duration(float64(g.limit.work.usual()) * float64(n+1) / left)
}

func (g *Gate) arrive(m Arrive) {
	m.Priority = min(m.Priority, snapshot.MostUrgent)
	if !m.Aim.IsZero() {
		g.reserve.arrived(m.Priority, m.Aim.Sub(g.now)-time.Duration(workSpread*float64(g.limit.work.of(m.Route))))
	}
	switch {
	case g.draining:
		g.refuse(m.ID, kind.Drain)
		return
	case !m.Deadline.After(g.now):
		g.refuse(m.ID, kind.Deadline)
		return
	case m.Far && g.pressure.on(g.now, m.Priority):
		g.refuseFor(m.ID, kind.Full, pressedFor)
		return
	case m.Far && !g.spares(&m):
		g.turnAway(&m, kind.Full)
		return
	case g.fits(&m):
		// What is queued then waits for the link, and not for a slot.
		g.pressure.decided(m.Priority, false)
		g.queue = append(g.queue, waiting{m, g.now})
		return
	}
	ok := g.inTime(m)
	g.pressure.decided(m.Priority, !ok)
	if !ok {
		g.turnAway(&m, kind.Full)
		return
	}
	if g.overShare(m.Caller) {
		g.turnAway(&m, kind.Limit)
		return
	}
	if len(g.queue) >= g.queueMax && !g.evict(m.Priority) {
		g.turnAway(&m, kind.Full)
		return
	}
	g.queue = append(g.queue, waiting{m, g.now})
}

// How much of a queue a call may find before it.
const (
	// workSpread is how many times the usual time is allowed for a call's own
	// work when it is asked whether it will be in time: work varies, and most
	// calls end within this.
	workSpread = 2.0
	// leastQueue is how many may wait in any case: with none, a slot that comes
	// free stays so until the next call happens to arrive.
	leastQueue = 1
	// leastWork is the part of the usual time below which a queued call is not
	// worth starting: it would take a slot and be broken off.
	leastWork = 0.5
)

// inTime tells whether a call is expected to end in time: within its aim, if it
// has one that is not past already.
func (g *Gate) inTime(m Arrive) bool {
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
	if ahead < leastQueue || g.pressure.first(g.now, m.Priority) {
		return !g.now.Add(wait + work).After(m.Deadline)
	}
	spare := m.Aim.Sub(g.now) - time.Duration(workSpread*float64(work))
	return wait <= time.Duration(g.pressure.patience(m.Priority)*float64(spare))
}

// expected is how many calls go before one that arrives, and how long it is
// expected to be queued: for a slot if none is free, and for the link if its
// body has to wait for others.
func (g *Gate) expected(m Arrive) (ahead int, wait time.Duration) {
	own := waiting{m, g.now}
	for i := range g.queue {
		if !g.sooner(&own, &g.queue[i]) {
			ahead++
		}
	}
	if g.free(&m) <= 0 {
		wait = g.wait(ahead, m.Priority)
	}
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
		if g.bodies.long(&g.queue[i].Arrive) && (before == nil || !g.sooner(before, &g.queue[i])) {
			n += g.bodies.size(&g.queue[i].Arrive)
		}
	}
	return n
}

// fits tells whether a call can be started now.
func (g *Gate) fits(a *Arrive) bool {
	return g.free(a) > 0 && g.bodies.room(a)
}

// free is how many slots a call may choose from.
func (g *Gate) free(a *Arrive) int {
	return g.allowed() - len(g.running) - g.reserve.kept(a.Priority, g.limit.work.of(a.Route))
}

// startable tells whether a queued call still has the time to be worth a slot.
func (g *Gate) startable(w waiting) bool {
	least := time.Duration(leastWork * float64(g.limit.work.of(w.Route)))
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
	g.turnAway(&g.queue[worst].Arrive, kind.Full)
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

func (g *Gate) ended(m Ended) {
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

// expire refuses queued calls whose deadline has passed, and those that were
// queued for an aim which is past now, unless the next slot is theirs: they did not
// run, and their callers have the time to ask elsewhere.
func (g *Gate) expire() {
	kept := g.queue[:0]
	for _, w := range g.queue {
		switch {
		case !w.Deadline.After(g.now):
			g.refuse(w.ID, kind.Deadline)
		case w.Aim.After(w.at) && !w.Aim.After(g.now) && !g.pressure.first(g.now, w.Priority):
			g.turnAway(&w.Arrive, kind.Full)
		default:
			kept = append(kept, w)
		}
	}
	g.queue = kept
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
			g.turnAway(&w.Arrive, kind.Full)
			continue
		}
		g.running[w.ID] = w.Priority
		g.reserve.running[w.Priority]++
		g.pressure.started(g.now, w.Priority)
		g.bodies.begin(g.now, &w.Arrive)
		g.turn[w.Caller]++
		g.cmds = append(g.cmds, Start{w.ID})
	}
	if len(g.queue) == 0 && len(g.turn) > 0 {
		clear(g.turn)
	}
}

// next is the queued call to run, -1 if there is none: the first of those whose
// body the link has room for. Short ones don't wait for a link that they hardly
// use.
func (g *Gate) next() int {
	best := -1
	for i := range g.queue {
		if g.fits(&g.queue[i].Arrive) && (best < 0 || g.sooner(&g.queue[i], &g.queue[best])) {
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

// NextDeadline is when the gate wants its next Tick; zero for not at all.
func (g *Gate) NextDeadline() time.Time {
	if len(g.queue) == 0 {
		return time.Time{}
	}
	var at time.Time
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
