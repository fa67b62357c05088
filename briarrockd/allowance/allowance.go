// Package allowance limits the requests of workspaces over all nodes of a mesh.
//
// A [Limiter] is the state of one node. It does no I/O and reads no clock. It decides
// on each request at once, by its own counts and by the mesh-wide sums of all nodes'
// counts, which are some hundred milliseconds old:
//
//	l := allowance.New(allowance.Config{Window: 5 * time.Second}, rng, now)
//	l.SetLimits(now, limits)
//	l.SetSums(now, sums, nodes)       // for each frame of sums
//	if retry, ok := l.Take(now, name); !ok { … }
//	publish(l.Counters(now))          // every PublishInterval
//
// # Shares
//
// A node's share of a workspace is its part of the mesh-wide demand, by the least
// demand that it has published within the last seconds: all nodes see the same total,
// so the shares add up to at most one also while the demand rises. Each node has a token
// bucket with its share of rate and burst. In addition, its own use in the time that
// the sums may be late is at most its share of what the mesh-wide use leaves of the
// window's bound. So uses that the sums do not show yet can't exceed the bound.
//
// While the sums are fresh and the mesh-wide use is well below the bound, a node may admit
// requests beyond its bucket. Requests that were returned and repeats of refused requests
// do not matter for that, unless the use grows or nodes are missing.
//
// # Failures
//
// See pool.go for nodes that vanish and return.
package allowance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// PublishInterval is the interval at which a node publishes its counters.
const PublishInterval = 250 * time.Millisecond

// Default bounds, where the settings give none.
const (
	DefaultWindow    = 5 * time.Second
	DefaultOvershoot = 0.1
	DefaultSlack     = 20
)

const (
	// sumsLate is the time by which the sums may be late: propagation takes 0.35 s in
	// the mean at 60 hosts (peer.TestSumsDelay), and publication up to 0.25 s. Slots add
	// up to 0.25 s to it.
	sumsLate = 750 * time.Millisecond
	// cutUnnoticed is the time in which the sums may miss the use of nodes that are cut
	// off (peer.sumsTimeout and propagation). Uses beyond the bucket within it are
	// limited, so that two sides that use more at once stay within the bound.
	cutUnnoticed = 2 * time.Second
	// freshFor is how long sums count as fresh. They arrive at least every 0.5 s.
	freshFor = 1200 * time.Millisecond
	// usableOvershoot is the part of overshoot and slack that is planned for; the rest
	// is for shares that overlap while they change.
	usableOvershoot = 0.5
	// strictOvershoot is that part while the use grows or nodes are missing: a surge at
	// the moment of a partition is the worst case.
	strictOvershoot = 0.3
	// unknownOvershoot is that part while the sums may miss what earlier processes have used.
	unknownOvershoot = 0.2
	// freeUse is the part of the bound up to which the mesh-wide use leaves room for
	// requests beyond the buckets.
	freeUse = 0.7
	// surgeStep is the growth of the mesh-wide use within a second, in units of the
	// allowance, that counts as a surge.
	surgeStep = 0.1
	// steadyGain multiplies the shares of what is left while the use is high and steady:
	// shares are the least of the last seconds and add up to less than one.
	steadyGain = 1.25
	// bucketRate is the rate of the buckets in units of their share of the limit. Each
	// share is the least of the last two seconds, so they add up to less than one.
	bucketRate = 1.17
	// extraShare is the part of the remaining window that nodes with a share may use
	// beyond their buckets, so that a surge leaves room for the requests of the rest of
	// the window. extraRequests is added at each node: requests come unevenly, and the
	// share of a small workspace is less than that.
	extraShare    = 0.5
	extraRequests = 6
	// evenShare is the part of the remaining window that is divided evenly among all
	// nodes for uses beyond the buckets, for callers that move.
	evenShare = 0.3
	// surgeFactor is the largest demand that is expected, in units of rate: nine times
	// the usual demand of rate/1.6. surgeTime is how long it goes unnoticed.
	surgeFactor = 9 / 1.6
	surgeTime   = 0.55 // seconds
	// newcomerParts is the part of the remaining window that a node without a share may
	// use at once, so that callers who move to it are served.
	newcomerParts = 8
	// demandMemory is the time constant of the mean demand. Callers of small workspaces
	// are silent for seconds and must not lose their share.
	demandMemory = 30 * time.Second
	// demandHistory is the number of published demands of which the least is compared
	// with the total, which may be that late. shareHistory is the number of shares of
	// which the least counts; together they span cutUnnoticed.
	demandHistory = 4
	shareHistory  = 5
	// maxRetryWithin bounds, in seconds, the time named to callers of a workspace that is
	// within its allowance: its window has room, and the sums show it within that time.
	maxRetryWithin = 1
	// sumsAge is the mean age of the sums in seconds.
	sumsAge = 0.5
	// maxRetryAfter bounds the time named to callers.
	maxRetryAfter = 10 * time.Minute
)

// Limit is the allowance of a workspace: Rate in requests a second over all nodes, and
// Burst requests at once in addition.
type Limit struct{ Rate, Burst float64 }

// Config bounds the requests of a workspace in any Window by
// (Rate × Window + Burst) × (1 + Overshoot) + Slack.
type Config struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Limiter is the state of one node. New makes one. It is not safe for concurrent use.
type Limiter struct {
	cfg        Config
	rng        *rand.Rand
	start      time.Time
	id         uint64
	limits     map[string]Limit
	workspaces map[string]*workspace
	mesh       mesh
}

// workspace is a node's state of one workspace.
type workspace struct {
	limit   Limit
	used    window
	refused window
	// mean is the mean demand in requests a second at meanAt.
	mean   float64
	meanAt time.Time
	// level is the level of the token bucket at levelAt.
	level   float64
	levelAt time.Time
	// rounding is the random fraction by which shares of less than one request are
	// rounded, until roundingSlot.
	rounding     float64
	roundingSlot int64

	published published
	demands   [demandHistory]float64 // published demands, the newest last
	shares    [shareHistory]float64  // by the total at each publication, the newest last
	share     float64                // the least of them
	sums      published
	recentUse [demandHistory]float64 // mesh-wide, at the last publications
	pool      pool
}

// published has a node's counters of a workspace, or their sums.
type published struct {
	used, refused float64 // requests in the window
	demand        float64 // requests a second
	base          float64 // share at the last time that all nodes were connected
}

// New returns a Limiter without limits.
func New(cfg Config, rng *rand.Rand, now time.Time) *Limiter {
	if cfg.Window <= 0 {
		cfg = Config{Window: DefaultWindow, Overshoot: DefaultOvershoot, Slack: DefaultSlack}
	}
	return &Limiter{
		cfg: cfg, rng: rng, start: now, id: uint64(rng.Uint32N(1 << 24)),
		workspaces: make(map[string]*workspace), mesh: newMesh(now),
	}
}

// SetLimits replaces the limits. Limits with a Rate of 0 are ignored.
func (l *Limiter) SetLimits(now time.Time, limits map[string]Limit) {
	next := make(map[string]Limit, len(limits))
	for name, limit := range limits {
		if limit.Rate > 0 {
			next[name] = limit
		}
	}
	l.limits = next
	for name, w := range l.workspaces {
		limit, ok := next[name]
		if !ok {
			delete(l.workspaces, name)
			continue
		}
		l.refill(w, now)
		w.limit = limit
		l.refill(w, now)
	}
}

// Limited reports whether any workspace has a limit.
func (l *Limiter) Limited() bool { return len(l.limits) > 0 }

// Take takes one request from a workspace's allowance. If none is left it returns false
// and when to retry.
func (l *Limiter) Take(now time.Time, name string) (retryAfter time.Duration, ok bool) {
	limit, ok := l.limits[name]
	if !ok {
		return 0, true
	}
	w := l.workspace(now, name, limit)
	l.roll(w, now)
	w.addDemand(now)
	l.refill(w, now)
	if l.admit(w, now) {
		w.used.add()
		w.level = max(w.level-1, 0)
		return 0, true
	}
	w.refused.add()
	return l.retryAfter(w), false
}

// Return gives back the token of a request that did not run.
func (l *Limiter) Return(now time.Time, name string) {
	w := l.workspaces[name]
	if w == nil {
		return
	}
	l.roll(w, now)
	w.used.remove()
	w.mean = max(w.meanDemand(now)-1/demandMemory.Seconds(), 0)
	w.meanAt = now
	l.refill(w, now)
	w.level = min(w.level+1, max(w.depth(l), 1))
}

// View is a node's state of a workspace's allowance, from which its refusals follow.
type View struct {
	Limit Limit
	// Used and Refused are the mesh-wide requests in the window, Own those that this node
	// admitted, all as of the newest sums.
	Used, Refused, Own float64
	// Share is the node's share of the allowance, Part what the connected nodes may use of
	// it, and Level the level of the node's bucket.
	Share, Part, Level float64
	// Nodes is the number of nodes in the sums.
	Nodes float64
	// Strict is set while the use grows or nodes are missing, Unknown while the sums may
	// miss what earlier processes have used.
	Strict, Unknown bool
}

// View returns the node's view of a workspace's allowance, empty if it has none.
func (l *Limiter) View(now time.Time, name string) View {
	w := l.workspaces[name]
	if w == nil {
		return View{}
	}
	l.roll(w, now)
	part := l.mesh.part(&w.pool)
	return View{
		Limit: w.limit, Used: w.sums.used, Refused: w.sums.refused, Own: float64(w.used.total()),
		Share: w.share, Part: part, Level: w.level, Nodes: l.mesh.nodes,
		Strict: l.strict(w, part), Unknown: l.mesh.unknown,
	}
}

func (l *Limiter) workspace(now time.Time, name string, limit Limit) *workspace {
	w := l.workspaces[name]
	if w == nil {
		// A random fraction of a token keeps nodes with small shares from having their
		// tokens at the same time.
		w = &workspace{limit: limit, meanAt: now, levelAt: now, level: l.rng.Float64(), pool: l.mesh.unseen}
		l.workspaces[name] = w
	}
	return w
}

func (l *Limiter) slotTime() time.Duration { return l.cfg.Window / slots }

func (l *Limiter) roll(w *workspace, now time.Time) {
	slot := slotOf(l.start, now, l.slotTime())
	w.used.roll(slot)
	w.refused.roll(slot)
	if slot >= w.roundingSlot {
		w.roundingSlot = slot + int64(l.slotsIn(sumsLate)) + 1
		w.rounding = l.rng.Float64()
	}
}

// slotsIn returns the number of slots that a duration spans.
func (l *Limiter) slotsIn(d time.Duration) int { return int((d + l.slotTime() - 1) / l.slotTime()) }

func (w *workspace) addDemand(now time.Time) {
	w.mean = w.meanDemand(now) + 1/demandMemory.Seconds()
	w.meanAt = now
}

func (w *workspace) meanDemand(now time.Time) float64 {
	return w.mean * math.Exp(-now.Sub(w.meanAt).Seconds()/demandMemory.Seconds())
}

// demand returns the node's demand in requests a second.
func (w *workspace) demand(l *Limiter, now time.Time) float64 {
	return max(w.meanDemand(now), float64(w.used.total()+w.refused.total())/l.cfg.Window.Seconds())
}

// depth is the depth of the node's bucket.
func (w *workspace) depth(l *Limiter) float64 {
	return max(1, w.share*l.mesh.part(&w.pool)*w.limit.Burst)
}

// refill adds the tokens since the last call. The share never adds tokens at once, so a
// share that moves to another node does not create any.
func (l *Limiter) refill(w *workspace, now time.Time) {
	rate := w.share * l.mesh.part(&w.pool) * w.limit.Rate * bucketRate
	w.level = min(w.level+now.Sub(w.levelAt).Seconds()*rate, w.depth(l))
	w.levelAt = now
}

// bound is the number of requests in a window that is planned for.
func (l *Limiter) bound(limit Limit, usable float64) float64 {
	return (limit.Rate*l.cfg.Window.Seconds()+limit.Burst)*(1+usable*l.cfg.Overshoot) + usable*l.cfg.Slack
}

// admit decides on one request.
func (l *Limiter) admit(w *workspace, now time.Time) bool {
	part := l.mesh.part(&w.pool)
	strict := l.strict(w, part)
	usable := usableOvershoot
	if strict {
		usable = strictOvershoot
	}
	bound := part * l.bound(w.limit, usable)
	if late := now.Sub(l.mesh.heardAt); late > freshFor {
		// Without sums a node keeps to its share of the whole window, until the others
		// may have released it.
		return late < aloneFor && w.level >= 1 && float64(w.used.total()+1) <= w.share*bound+w.rounding
	}
	remaining := max(bound-w.sums.used, 0)
	own := float64(w.used.last(l.slotsIn(sumsLate)) + 1)
	if l.mesh.unknown {
		// Shares and buckets begin at zero, so all nodes may use the same of what earlier
		// processes can't have used within the window.
		earlier := w.limit.Rate*max(l.cfg.Window-now.Sub(l.mesh.started), 0).Seconds() + w.limit.Burst
		room := min(remaining, part*(l.bound(w.limit, unknownOvershoot)-earlier))
		return float64(w.used.total()+1) <= max(w.share, 1/l.mesh.size())*room+w.rounding
	}
	free := w.sums.used <= freeUse*bound
	if own <= w.share*remaining+w.rounding && w.level >= 1 {
		return true
	}
	if !free && !strict {
		return own <= steadyGain*w.share*remaining+w.rounding
	}
	if !free {
		return false
	}
	// Callers may repeat each refused request once, so half of them are distinct demand.
	refused := w.sums.refused / 2
	if strict {
		refused = w.sums.refused
	}
	if w.sums.used+refused > part*(w.limit.Rate*l.cfg.Window.Seconds()+w.limit.Burst+l.cfg.Slack/2) {
		return false
	}
	own = float64(w.used.last(l.slotsIn(cutUnnoticed)) + 1)
	if own <= extraShare*w.share*remaining {
		return true
	}
	most := (w.share+evenShare/max(l.mesh.nodes, 1))*remaining + extraRequests
	if w.share == 0 {
		most += remaining / newcomerParts
	}
	expected := surgeFactor * w.limit.Rate * surgeTime
	return own <= most && (!strict || l.rng.Float64()*expected < remaining)
}

// strict reports whether a workspace's use grows, or nodes may be cut off. Members that
// have just joined are no reason, since they limit themselves.
func (l *Limiter) strict(w *workspace, part float64) bool {
	return (!l.mesh.complete && !l.fewMissing(part)) || w.surging(l)
}

// fewMissing reports whether the part of overshoot that isn't planned for covers what
// missing nodes may use, given the part of the connected ones.
func (l *Limiter) fewMissing(part float64) bool {
	return part >= 1-l.cfg.Overshoot*(1-usableOvershoot)
}

// surging reports whether the mesh-wide use has grown within the last second by more
// than chance.
func (w *workspace) surging(l *Limiter) bool {
	return w.sums.used-slices.Min(w.recentUse[:]) > surgeStep*l.bound(w.limit, 0)
}

// retryAfter returns when the node will have a token for a request that it refuses,
// spread over the time in which it has tokens for all that it has refused.
func (l *Limiter) retryAfter(w *workspace) time.Duration {
	share := w.share
	if share == 0 {
		own := float64(w.used.total()+w.refused.total()) / l.cfg.Window.Seconds()
		share = own / max(w.sums.demand+own, own)
	}
	rate := share * l.mesh.part(&w.pool) * w.limit.Rate
	window := l.cfg.Window.Seconds()
	if rate == 0 {
		// The node has nothing to give until it is connected again.
		return time.Duration((0.5 + l.rng.Float64()) * float64(l.cfg.Window))
	}
	wait := max(0.5, 1-w.level) / rate
	wait += l.rng.Float64() * min(float64(w.refused.total())/rate, window)
	if most := l.untilRoom(w); wait > most {
		wait = most * (0.5 + 0.5*l.rng.Float64())
	}
	return time.Duration(min(wait, maxRetryAfter.Seconds()) * float64(time.Second))
}

// untilRoom returns the time in seconds until the mesh-wide window has room, and at least
// maxRetryWithin. The node assumes that the uses of the others are as old as its own.
func (l *Limiter) untilRoom(w *workspace) float64 {
	allowed := l.mesh.part(&w.pool) * (w.limit.Rate*l.cfg.Window.Seconds() + w.limit.Burst)
	excess := (w.sums.used - allowed + 1) / max(w.sums.used, 1)
	if excess <= 0 {
		return maxRetryWithin
	}
	own := float64(w.used.total())
	for n := slots - 1; n > 0; n-- {
		if own > 0 && own-float64(w.used.last(n)) >= excess*own {
			return max((slots-float64(n))*l.slotTime().Seconds()-sumsAge, maxRetryWithin)
		}
	}
	return max(min(excess, 1)*l.cfg.Window.Seconds(), maxRetryWithin)
}
