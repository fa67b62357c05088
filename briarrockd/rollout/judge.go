package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Limits of the sequential test.
const (
	// evidenceLimit is the likelihood ratio from which on a version counts as bad: a good
	// version reaches it in one test with a probability of at most its inverse.
	evidenceLimit = 20000
	// doubtLimit is the ratio from which on a roll-out does not go on. It is rolled back if
	// the doubt remains until its time limit.
	doubtLimit = 200
	// priorAnswers is the weight of the floor, in answers, in the estimate of a rate since
	// the order, and recentPrior the weight of that in the one of a few seconds.
	priorAnswers = 30
	recentPrior  = 10
	// maxBase bounds the estimate.
	maxBase = 0.9
)

// cause is what a version may be bad by.
type cause struct {
	name       string
	total, bad int
	// floor is the rate that is expected of any version. Broken and late answers come in
	// groups where a host fails, and targets differ in speed, which says nothing about the
	// version.
	floor float64
	// steps are the differences to the current version's rate that the test looks for.
	steps [maxSteps]float64
}

const (
	maxSteps  = 3
	causes    = 4
	byFailure = 0 // index of failures in causeTable
	byBreak   = 1
)

var causeTable = [causes]cause{
	{"failed", fieldAnswers, fieldFailed, 0.01, [maxSteps]float64{0.03, 0.1, 0.3}},
	{"broken", fieldAnswers, fieldBroken, 0.12, [maxSteps]float64{0.1, 0.3, 0.6}},
	{"slow", fieldTimed, fieldSlow, 0.3, [maxSteps]float64{0.2, 0.35, 0.5}},
	{"very slow", fieldTimed, fieldVerySlow, 0.06, [maxSteps]float64{0.1, 0.25, 0.5}},
}

// switchedFloor is the floor of failures once no request goes to the current version, so that
// a fault of both versions would not show.
const switchedFloor = 0.05

// logRatios are the logarithms of likelihood ratios, by cause, step and group of targets. The
// hypothesis that answers of the target version are bad at the current version's rate plus
// the step is compared with that of the same rate. If it is the same, the ratio exceeds a
// limit at any time with a probability of at most its inverse (Ville's inequality). The
// ratios of consecutive periods are multiplied, each with the rate of its own period: what
// makes both versions fail for some seconds is not held against one of them, whatever their
// shares of the requests were in these seconds.
type logRatios [causes][maxSteps][targetGroups]float64

func (l *logRatios) add(o *logRatios, sign float64) {
	for i := range l {
		for j := range l[i] {
			for g := range l[i][j] {
				l[i][j][g] += sign * o[i][j][g]
			}
		}
	}
}

// baseRate estimates the current version's rate of one cause in a period, given the evidence
// since the order.
func (x *cause) baseRate(period, all *counts, floor float64) float64 {
	prior := max((all[x.bad]+floor*priorAnswers)/(all[x.total]+priorAnswers), floor)
	return min(max((period[x.bad]+prior*recentPrior)/(period[x.total]+recentPrior), floor), maxBase)
}

// ratios returns the log-likelihood ratios of the evidence of a period.
func ratios(period *routeEvidence, all *counts, phase Phase) *logRatios {
	var out logRatios
	for i := range causeTable {
		x := &causeTable[i]
		floor := x.floor
		if phase == Switched {
			if i == byBreak {
				continue // it can't be told from a fault of a host or a link
			}
			floor = max(floor, switchedFloor)
		}
		base := x.baseRate(&period.current, all, floor)
		for j, step := range x.steps {
			p := min(base+step, 0.98)
			bad, good := math.Log(p/base), math.Log((1-p)/(1-base))
			for g := range period.groups {
				n := period.groups[g][x.total]
				failures := min(period.groups[g][x.bad], n)
				out[i][j][g] = failures*bad + (n-failures)*good
			}
		}
	}
	return &out
}

// minSpread is the number of targets of the target version from which on a fault of one
// target is told from one of the version: the worst group of targets is left out. Failures
// are seldom due to a host, so the worst group counts as much as all others, and one answer.
const minSpread = 3

// sumGroups adds the groups up.
func sumGroups(i, j int, groups *[targetGroups]float64, targets int) float64 {
	total, worst := 0.0, math.Inf(-1)
	for _, v := range groups {
		total += v
		worst = max(worst, v)
	}
	if targets < minSpread || worst <= 0 {
		return total
	}
	others := total - worst
	if i == byFailure {
		x := &causeTable[i]
		return others + min(worst, max(others, 0)+math.Log((x.floor+x.steps[j])/x.floor))
	}
	return others
}

// Verdict is what the evidence says about the target version.
type Verdict struct {
	// Bad is set if the version is bad, Doubtful if it may be.
	Bad, Doubtful bool
	// Route, Cause and the two rates say why: failed, broken, slow, very slow, no target, or
	// doubt of other nodes.
	Route, Cause   string
	Rate, BaseRate float64
}

// or returns the worse of two verdicts.
func (v Verdict) or(o Verdict) Verdict {
	if v.Bad || (v.Doubtful && !o.Bad) {
		return v
	}
	return o
}

// judge tests the target version, which has a number of targets, by the ratios of a period.
// all is the evidence since the order.
func judge(route string, l *logRatios, all *routeEvidence, targets int) Verdict {
	var worst Verdict
	for i := range causeTable {
		mean := 0.0
		for j := range causeTable[i].steps {
			mean += math.Exp(sumGroups(i, j, &l[i][j], targets)) / maxSteps
		}
		if mean < doubtLimit {
			continue
		}
		x := &causeTable[i]
		c := all.next()
		worst = worst.or(Verdict{mean >= evidenceLimit, true, route, x.name, c[x.bad] / max(c[x.total], 1), x.baseRate(&counts{}, &all.current, x.floor)})
	}
	return worst
}

// Periods of the evidence.
const (
	// periodLength is the least length of a period with one estimate of the current
	// version's rates.
	periodLength = 500 * time.Millisecond
	// maxPeriods bounds the history, and so how far back a window reaches.
	maxPeriods = 8
)

// windows are how many periods back the tested windows begin; the whole time since the order
// is tested as well. A version that turns bad later shows in the short ones.
var windows = [...]int{2, maxPeriods}

// judgement is the state of the test of one roll-out.
type judgement struct {
	// periodAt is when the current period began, before the evidence of that time.
	periodAt time.Time
	before   map[string]routeEvidence
	// closed are the ratios by route up to then, history those at the ends of earlier
	// periods.
	closed  map[string]*logRatios
	history []map[string]*logRatios
}

// update takes the evidence of all routes at one time.
func (x *judgement) update(now time.Time, routes map[string]routeEvidence, phase Phase) {
	if x.before == nil {
		// The first sums have all of the evidence until now: one period.
		x.periodAt, x.before = now.Add(-periodLength), make(map[string]routeEvidence)
	}
	if now.Sub(x.periodAt) < periodLength {
		return
	}
	x.history = append(x.history, x.closed)
	if len(x.history) > maxPeriods {
		x.history = x.history[1:]
	}
	closed := make(map[string]*logRatios)
	for route := range routes {
		closed[route] = x.until(route, routes, phase)
	}
	x.closed, x.before, x.periodAt = closed, routes, now
}

// until returns the ratios for a route up to the given evidence.
func (x *judgement) until(route string, routes map[string]routeEvidence, phase Phase) *logRatios {
	e := routes[route]
	period := e.minus(x.before[route])
	out := ratios(&period, &e.current, phase)
	if l := x.closed[route]; l != nil {
		out.add(l, 1)
	}
	return out
}

// judge tests all routes and windows.
func (x *judgement) judge(routes map[string]routeEvidence, targets int, phase Phase) Verdict {
	var worst Verdict
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		all := routes[route]
		l := x.until(route, routes, phase)
		worst = worst.or(judge(route, l, &all, targets))
		for _, back := range windows {
			if len(x.history) < back {
				continue
			}
			recent := *l
			if old := x.history[len(x.history)-back][route]; old != nil {
				recent.add(old, -1)
			}
			worst = worst.or(judge(route, &recent, &all, targets))
		}
	}
	return worst
}

// judgeOwn tests the target version by what this node alone has seen since the phase began.
// That is less than the sums have, but they arrive later: among many nodes, one sees enough
// failures soon after the share of a version grows that is bad under load.
func (t *tracker) judgeOwn(targets int) Verdict {
	if t.state.Phase == Observing || t.state.Phase.Ended() {
		return Verdict{}
	}
	all := t.sums.routes[allRoutes]
	own := pooled(decodeAll(t.own)).minus(t.ownBefore)
	// Of durations the sums say more, and a broken answer may be a host's fault.
	e := routeEvidence{current: all.minus(t.judgement.before[allRoutes]).current}
	for g := range e.groups {
		e.groups[g][fieldAnswers], e.groups[g][fieldFailed] = own.groups[g][fieldAnswers], own.groups[g][fieldFailed]
	}
	return judge(allRoutes, ratios(&e, &all.current, t.state.Phase), &own, targets)
}
