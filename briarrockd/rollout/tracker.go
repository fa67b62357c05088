package rollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Config holds the bounds of a deployment, see node.Rollout.
type Config struct {
	Share float64
	Slack int
}

// Fleet describes the targets and members that a node knows, for one service.
type Fleet struct {
	// Versions are the numbers of slots of live targets by version.
	Versions map[string]int
	// Targets are the numbers of live targets by version.
	Targets map[string]int
	// Members is the number of live members of the mesh, this node included.
	Members int
}

// Outcome is the end of one attempt that reached a target.
type Outcome struct {
	Service, Route, Version, Host string
	// Failed is set if the target answered with a failure, Broken if the answer broke off,
	// was late or never came.
	Failed, Broken bool
	// Duration is how long the answer took. Cold is set if the target has started shortly
	// before, so that its durations say nothing about the version.
	Duration time.Duration
	Cold     bool
}

// maxRoutes bounds the routes of a service with evidence of their own; the further ones
// share otherRoute.
const (
	maxRoutes  = 12
	otherRoute = "*"
)

// Progress of an order's time limit at which the phases begin. Between Switched and the end
// there is time for all nodes to report that they have switched, and for the status to be
// written.
const (
	rampAt     = 0.57
	mostlyAt   = 0.64
	switchAt   = 0.78
	completeAt = 0.86
	// switchedTime is the least part of the time limit in Switched, in which what fails under
	// the full load only shows.
	switchedTime = 0.07
	// The phase Mostly begins with a probe of the full load. Then the share is small again
	// until what the probe has shown has arrived, and only then stays.
	probeTime = 0.035
	probeEnd  = 0.09
	// A roll-out that is later than the beginning of Switched by lateBy stays in each phase
	// for latePhase only.
	lateBy    = 0.04
	latePhase = 0.03
	// forceAt is when nodes that have not reported are no longer waited for: they can't be
	// reached, or don't run. lastAt is when requests are no longer waited for that still run
	// at the current version: they take longer than the rest of the time limit.
	forceAt = 0.90
	lastAt  = 0.95
	// giveUpAt is when a version is rolled back of which no target has started, or that is
	// still in doubt.
	giveUpAt = 0.94
	// fullSlotsUntil is how long the target version must have minSlotShare of the current
	// one's slots for the traffic to move there.
	fullSlotsUntil = 0.80
	minSlotShare   = 0.5
)

// sumsMaxAge is the age up to which sums are good enough to go on to the next phase.
const sumsMaxAge = 2500 * time.Millisecond

// tracker holds a node's state of the roll-out of one service.
type tracker struct {
	cfg   Config
	state State
	// credit is the number of requests that the node may still send to the target version.
	credit float64
	// slackCredit is the same beyond the share.
	slackCredit float64
	// calls are this node's requests since the order, sent those that went to the target
	// version. reportedSent are those that the sums may include already.
	calls, sent, reportedSent uint64
	// own are this node's contributions by route.
	own map[string][]uint64
	// untimed are durations for which no threshold is known yet.
	untimed []duration
	// ownBefore are those of all routes when the current phase began.
	ownBefore routeEvidence
	// heardAt is when the node last heard of the order from a peer.
	heardAt               time.Time
	hasCurrent, hasTarget bool
	sums                  meshSums
	sumsAt                time.Time
	judgement             judgement
	// phaseAt is when the current phase began.
	phaseAt time.Time
	// begunAt is when this node first knew the order.
	begunAt time.Time
	verdict Verdict
}

// meshSums are the decoded sums over all nodes.
type meshSums struct {
	calls, sent     uint64
	switched, moved int
	doubtful        int
	nodes           int
	routes          map[string]routeEvidence
	// slowAboveAll applies to routes without a threshold of their own.
	slowAboveAll time.Duration
}

func newTracker(now time.Time, cfg Config, s State, seed uint64) *tracker {
	return &tracker{
		cfg: cfg, state: s, credit: phaseOffset(seed, s.Service, s.Order), slackCredit: phaseOffset(seed+1, s.Service, s.Order),
		own: make(map[string][]uint64), heardAt: now, phaseAt: now, begunAt: now,
	}
}

// Elements of the vector of a service as a whole.
const (
	fieldCalls = iota
	fieldSent
	fieldSwitched // nodes that send to the target version only and run nothing elsewhere
	fieldMoved    // the same, but requests that were sent before may still run
	fieldDoubtful // nodes that doubt the target version
	totalFields
)

// Prefix is the prefix of the keys of roll-outs in the mesh-wide sums.
const Prefix = "v/"

// maxRouteName bounds the name of a route in the keys of the sums, in bytes.
const maxRouteName = 96

// prefix returns the key of the service's sums. It contains the order, so that a node that
// missed an order doesn't add to its successor's evidence.
func (t *tracker) prefix() string {
	return Prefix + t.state.Service + "/" + strconv.FormatUint(t.state.Order, 36)
}

// counters returns this node's contributions. drained is set if no request of this node
// runs at the current version.
func (t *tracker) counters(now time.Time, drained bool, out map[string][]uint64) {
	if t.state.Phase.Ended() {
		return
	}
	total := make([]uint64, totalFields)
	total[fieldCalls], total[fieldSent] = t.calls, t.sent
	if t.state.Phase == Switched && !t.alone(now) {
		total[fieldMoved] = 1
		if drained {
			total[fieldSwitched] = 1
		}
	}
	if t.verdict.Doubtful {
		total[fieldDoubtful] = 1
	}
	t.reportedSent = t.sent
	out[t.prefix()] = total
	for route, v := range t.own {
		out[t.prefix()+"/"+route] = slices.Clone(v)
	}
}

// setSums takes the sums over all nodes.
func (t *tracker) setSums(now time.Time, all map[string][]uint64, nodes int) {
	prefix := t.prefix()
	total, ok := all[prefix]
	if !ok {
		return
	}
	s := meshSums{nodes: nodes}
	total = append(slices.Clone(total), make([]uint64, totalFields)...)
	s.calls, s.sent = total[fieldCalls], total[fieldSent]
	s.switched, s.moved, s.doubtful = int(total[fieldSwitched]), int(total[fieldMoved]), int(total[fieldDoubtful])
	vectors := make(map[string][]uint64)
	for key, v := range all {
		if route, ok := strings.CutPrefix(key, prefix+"/"); ok {
			vectors[route] = v
		}
	}
	s.routes, s.slowAboveAll = decodeAll(vectors), pooledThreshold(vectors)
	s.routes[allRoutes] = pooled(s.routes)
	t.sums, t.sumsAt = s, now
	t.untimed = slices.DeleteFunc(t.untimed, t.countDuration)
	t.judgement.update(now, s.routes, t.state.Phase)
}

// observe counts the end of an attempt.
func (t *tracker) observe(o Outcome) {
	if t.state.Phase.Ended() || t.state.Target == t.state.Current {
		return
	}
	route := o.Route[:min(len(o.Route), maxRouteName)]
	v := t.own[route]
	if v == nil {
		if len(t.own) >= maxRoutes {
			route = otherRoute
		}
		if v = t.own[route]; v == nil {
			v = make([]uint64, vectorSize)
			t.own[route] = v
		}
	}
	at := 0
	if o.Version == t.state.Target {
		at = groupsOffset + targetGroup(o.Host)*fieldCount
	}
	v[at+fieldAnswers]++
	switch {
	case o.Failed:
		v[at+fieldFailed]++
		return
	case o.Broken:
		v[at+fieldBroken]++
		return
	case o.Cold:
		return
	}
	if at == 0 {
		v[fieldCount+bucket(o.Duration)]++
	}
	if d := (duration{route, at, o.Duration}); !t.countDuration(d) && len(t.untimed) < maxUntimed {
		t.untimed = append(t.untimed, d)
	}
}

// duration is that of one answer, to be counted at an offset of a route's vector.
type duration struct {
	route string
	at    int
	took  time.Duration
}

// maxUntimed bounds the durations that are kept until a threshold is known.
const maxUntimed = 256

// countDuration counts a duration. It returns false if no threshold is known yet.
func (t *tracker) countDuration(d duration) bool {
	slow := cmp.Or(t.sums.routes[d.route].slowAbove, t.sums.slowAboveAll)
	if slow == 0 {
		return false
	}
	v := t.own[d.route]
	v[d.at+fieldTimed]++
	if d.took > slow {
		v[d.at+fieldSlow]++
	}
	if d.took.Seconds() > verySlowFactor*slow.Seconds() {
		v[d.at+fieldVerySlow]++
	}
	return true
}

func targetGroup(host string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return int(h.Sum32() % targetGroups)
}

// look takes note of the targets and members that the node knows.
func (t *tracker) look(f Fleet) {
	s := &t.state
	s.Members = max(s.Members, f.Members)
	t.hasTarget = f.Targets[s.Target] > 0
	t.hasCurrent = false
	for version, n := range f.Targets {
		t.hasCurrent = t.hasCurrent || (n > 0 && s.allows(version, false))
	}
}

// decide decides whether the roll-out goes on to another phase. Before the node has settled,
// only answers of the target version can end the roll-out.
func (t *tracker) decide(now time.Time, f Fleet, settled bool) {
	s := &t.state
	if s.Phase.Ended() {
		return
	}
	if s.Current == "" && settled {
		s.Current = mostUsed(f.Versions, s.Target)
		if s.Current == "" && f.Versions[s.Target] > 0 && f.Versions[""] == 0 && now.Sub(s.StartedAt) >= membersDelay {
			s.Current = s.Target
		}
	}
	if s.Target == s.Current {
		if settled {
			t.enter(now, Switched)
		}
		return
	}
	targets := f.Targets[s.Target]
	if !settled {
		// The node may not know all targets yet, and must not take a fault of one of several
		// for one of the version.
		targets = max(targets, minSpread)
	}
	t.verdict = t.judgement.judge(t.sums.routes, targets, s.Phase).or(t.judgeOwn(targets))
	if settled && t.doubted() && s.progress(now) >= giveUpAt && !t.verdict.Bad {
		t.verdict.Bad = true
		t.verdict.Cause = cmp.Or(t.verdict.Cause, "doubt")
	}
	if t.verdict.Bad {
		t.enter(now, RolledBack)
		return
	}
	if settled {
		t.advance(now, f)
	}
}

// membersDelay is how old an order must be before a version counts as the one in use since
// there are no targets of another one: the records of members may not have arrived yet.
const membersDelay = 2 * time.Second

// mostUsed returns the version with the most slots that is not target; empty if there is
// none.
func mostUsed(slots map[string]int, target string) string {
	best := ""
	for version, n := range slots {
		if version == target || version == "" {
			continue
		}
		if best == "" || n > slots[best] || (n == slots[best] && version < best) {
			best = version
		}
	}
	return best
}

// advance goes on to the next phase when its time has come. A node goes on only by sums of
// more than half of the members, so that a part of the mesh that is cut off does not.
func (t *tracker) advance(now time.Time, f Fleet) {
	progress := t.state.progress(now)
	if t.state.Phase < Switched && !t.hasTarget {
		if progress >= giveUpAt && !t.alone(now) {
			t.verdict = Verdict{Cause: "no target"}
			t.enter(now, RolledBack)
		}
		return
	}
	s := &t.state
	if t.state.Phase >= Switched || t.verdict.Doubtful || t.doubted() {
		return
	}
	if t.alone(now) || (s.Members > 1 && 2*t.freshNodes(now) <= s.Members) {
		return
	}
	if progress < fullSlotsUntil && float64(f.Versions[t.state.Target]) < minSlotShare*float64(f.Versions[t.state.Current]) {
		return
	}
	begins := [...]float64{Ramping: rampAt, Mostly: mostlyAt, Switched: switchAt}
	next := t.state.Phase + 1
	if progress >= begins[next] && now.Sub(t.phaseAt) >= t.minPhase(progress)*9/10 {
		t.enter(now, next)
	}
}

// minPhase is the least duration of a phase: the evidence that it gives must have arrived
// before the next one begins.
func (t *tracker) minPhase(progress float64) time.Duration {
	switch t.state.Phase {
	case Ramping, Mostly:
		if progress > switchAt+lateBy {
			// A doubt has cost time. What the phases would show has mostly been seen.
			return t.part(latePhase)
		}
	}
	switch t.state.Phase {
	case Ramping:
		return t.part(mostlyAt - rampAt)
	case Mostly:
		return t.part(switchAt - mostlyAt)
	default:
		return 0
	}
}

// part returns a part of the time limit.
func (t *tracker) part(p float64) time.Duration {
	return time.Duration(p * float64(t.state.Duration))
}

// doubted reports whether a part of the nodes that matters doubts the target version. Each
// node has seen slightly different periods, so a single one may doubt, or not, by chance.
func (t *tracker) doubted() bool {
	return t.sums.doubtful > 0 && doubtDivisor*t.sums.doubtful >= t.sums.nodes
}

// doubtDivisor is the inverse of that part.
const doubtDivisor = 4

// completable reports whether the status may say that the roll-out is completed: all nodes
// have switched, or those that have not can't be asked.
func (t *tracker) completable(now time.Time, f Fleet) bool {
	if t.state.Phase != Switched || t.verdict.Doubtful || t.doubted() || now.Sub(t.sumsAt) > sumsMaxAge {
		return false
	}
	progress := t.state.progress(now)
	if t.state.Target != t.state.Current && (progress < completeAt || (progress < lastAt && now.Sub(t.phaseAt) < t.part(switchedTime))) {
		return false
	}
	s, all := &t.sums, max(t.state.Members, f.Members)
	switch {
	case s.switched >= f.Members && 2*s.switched > all:
		return true
	case progress >= lastAt && 2*s.moved > all && s.moved >= s.nodes:
		return true
	default:
		return progress >= forceAt && 2*s.switched > all && s.switched >= s.nodes
	}
}

func (t *tracker) enter(now time.Time, p Phase) {
	if p > t.state.Phase {
		t.state.Phase, t.phaseAt = p, now
		t.ownBefore = pooled(decodeAll(t.own))
	}
}
