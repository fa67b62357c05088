package target

import (
	"math"
	"time"
)

const (
	// shareDecay is the time in which the number of started calls of a workspace decays to
	// 1/e. A workspace that was idle for longer competes as if it were new.
	shareDecay = time.Second
	// minShare is the number of started calls below which a workspace's entry is removed.
	minShare = 0.05
	// minPruneSize is the least number of entries at which old ones are looked for.
	minPruneSize = 64
)

// shares counts the calls that a gate has started for each workspace, decayed by time.
//
// The counts outlast an empty queue. Under overload the queue is short, as calls that can't run
// in time are refused on arrival; a workspace that sends many times its usual demand would
// otherwise be as good as new each time that the queue is empty.
//
// All calls without a workspace share one count, under the empty name. Counting starts with
// the first call of a workspace.
type shares struct {
	counts  map[string]share
	pruneAt int // number of counts at which small ones are removed
}

// share is what a gate knows of a workspace.
type share struct {
	// started is the number of started calls as it was at startedAt.
	started   float64
	startedAt time.Time
	// refused is the moving share of calls that were refused on arrival for lack of capacity.
	refused   movingShare
	decidedAt time.Time
}

// startedNow returns the decayed number of started calls.
func (s share) startedNow(now time.Time) float64 {
	if s.started == 0 {
		return 0
	}
	return s.started * math.Exp(-float64(now.Sub(s.startedAt))/float64(shareDecay))
}

// enable starts counting.
func (s *shares) enable() {
	if s.counts == nil {
		s.counts, s.pruneAt = make(map[string]share), minPruneSize
	}
}

// enabled reports whether a call of a workspace has arrived.
func (s *shares) enabled() bool { return s.counts != nil }

// started returns the count of a workspace's started calls.
func (s *shares) started(now time.Time, workspace string) float64 {
	return s.counts[workspace].startedNow(now)
}

// recordStarted counts a call that was started.
func (s *shares) recordStarted(now time.Time, workspace string) {
	x := s.counts[workspace]
	x.started, x.startedAt = x.startedNow(now)+1, now
	s.counts[workspace] = x
	s.prune(now)
}

// recordDecision records whether a call was refused or admitted on arrival.
func (s *shares) recordDecision(now time.Time, workspace string, refused bool) {
	if workspace == "" {
		return
	}
	x := s.counts[workspace]
	x.refused.observe(refused)
	x.decidedAt = now
	s.counts[workspace] = x
	s.prune(now)
}

// prune removes the entries of workspaces without recent calls.
func (s *shares) prune(now time.Time) {
	if len(s.counts) < s.pruneAt {
		return
	}
	for name, d := range s.counts {
		if d.startedNow(now) < minShare && now.Sub(d.decidedAt) > shareDecay {
			delete(s.counts, name)
		}
	}
	s.pruneAt = max(minPruneSize, 2*len(s.counts))
}

// workspace returns the name of the call's workspace; empty if it has none.
func (a *Arrival) workspace() string {
	if a.Workspace {
		return a.Caller
	}
	return ""
}

// newQueuedCall returns an arriving call as a queued one.
func (g *Gate) newQueuedCall(a Arrival) queuedCall {
	return queuedCall{Arrival: a, queuedAt: g.now, started: g.shares.started(g.now, a.workspace())}
}

// updateStarted sets the number of started calls of each queued call's workspace.
func (g *Gate) updateStarted() {
	if !g.shares.enabled() {
		return
	}
	for i := range g.queue {
		g.queue[i].started = g.shares.started(g.now, g.queue[i].workspace())
	}
}

// recordStarted counts a call of a workspace that was started.
func (g *Gate) recordStarted(workspace string) {
	if !g.shares.enabled() {
		return
	}
	g.shares.recordStarted(g.now, workspace)
	for i := range g.queue {
		if g.queue[i].workspace() == workspace {
			g.queue[i].started++
		}
	}
}

// workspaceBefore reports whether call a goes before call b of the same priority, where at least
// one has a workspace: the workspace with fewer started calls goes first, and within a workspace
// the call that is due first.
func (g *Gate) workspaceBefore(a, b *queuedCall) bool {
	if x, y := a.workspace(), b.workspace(); x != y {
		if a.started != b.started {
			return a.started < b.started
		}
	}
	return a.dueTime(g).Before(b.dueTime(g))
}

// callsAhead returns how many queued calls go before an arriving one. Of each other workspace
// these are only as many as that workspace has fewer started calls, since each start makes its
// next call less urgent.
func (g *Gate) callsAhead(call *queuedCall) int {
	ahead := 0
	if !g.shares.enabled() {
		for i := range g.queue {
			if !g.before(call, &g.queue[i]) {
				ahead++
			}
		}
		return ahead
	}
	turn := call.started
	for i := range g.queue {
		if w := &g.queue[i]; w.Priority == call.Priority && w.workspace() == call.workspace() && !g.before(call, w) {
			turn++
		}
	}
	queued := make(map[string]float64, len(g.queue))
	for i := range g.queue {
		w := &g.queue[i]
		name := w.workspace()
		switch {
		case w.Priority != call.Priority || name == call.workspace():
			if !g.before(call, w) {
				ahead++
			}
		default:
			if w.started+queued[name] <= turn {
				ahead++
			}
			queued[name]++
		}
	}
	return ahead
}

// queuedOf returns the number of queued calls of a call's workspace and priority.
func (g *Gate) queuedOf(a *Arrival) int {
	n := 0
	for i := range g.queue {
		if w := &g.queue[i]; w.Priority == a.Priority && w.workspace() == a.workspace() {
			n++
		}
	}
	return n
}

// evictOfWorkspace refuses a queued call of the workspace that has the most started and queued
// calls, to make room for an arriving call of another workspace that has less than that. It
// returns false if there is none.
func (g *Gate) evictOfWorkspace(a *Arrival) bool {
	if !g.shares.enabled() {
		return false
	}
	use := make(map[string]float64, len(g.queue)+1) // started and queued calls by workspace
	own := g.shares.started(g.now, a.workspace()) + 1
	most, name := 0.0, ""
	for i := range g.queue {
		w := &g.queue[i]
		x := w.workspace()
		switch {
		case w.Priority != a.Priority:
		case x == a.workspace():
			own++
		default:
			use[x] = max(use[x], w.started) + 1
			if use[x] > most {
				most, name = use[x], x
			}
		}
	}
	if most <= own {
		return false
	}
	last := -1
	for i := range g.queue {
		w := &g.queue[i]
		if w.Priority == a.Priority && w.workspace() == name && (last < 0 || g.before(&g.queue[last], w)) {
			last = i
		}
	}
	g.refuseForCapacity(&g.queue[last].Arrival, g.shortageKind())
	g.queue = append(g.queue[:last], g.queue[last+1:]...)
	return true
}
