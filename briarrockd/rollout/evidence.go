package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// The evidence for one route is a vector of counters, which is added up over all nodes. Its
// first part is about the current version: answers, failed ones, broken ones, those with a
// known duration, the slow ones of these, and a histogram of durations. Then follow
// targetGroups groups for targets of the target version.
const (
	fieldAnswers = iota
	fieldFailed
	fieldBroken
	fieldTimed
	fieldSlow
	fieldCount
)

const (
	// targetGroups is the number of groups of targets. A fault of one target is in one
	// group, a fault of the version in all of them.
	targetGroups = 7
	// A vector of the mesh-wide sums has at most 64 elements, see package peer.
	// histogramSize is the number of buckets of durations, of which the first one ends at
	// firstBucket and each further one at histogramBase times the one before: up to 7 s.
	histogramSize = 22
	firstBucket   = 1500 * time.Microsecond
	histogramBase = 1.5
	vectorSize    = fieldCount + histogramSize + targetGroups*fieldCount
	groupsOffset  = fieldCount + histogramSize
)

// slowFactor is how many times the current version's median an answer has to take to count
// as slow.
const slowFactor = 2

// counts are the counters of one version.
type counts [fieldCount]float64

func (c *counts) add(o *counts) {
	for i := range c {
		c[i] += o[i]
	}
}

func (c *counts) sub(o *counts) {
	for i := range c {
		c[i] = max(0, c[i]-o[i])
	}
}

// routeEvidence is the evidence for one route, decoded.
type routeEvidence struct {
	current counts
	groups  [targetGroups]counts
	// slowAbove is the duration above which an answer is slow; 0 if unknown.
	slowAbove time.Duration
}

func decodeEvidence(v []uint64) routeEvidence {
	at := func(i int) float64 {
		if i < len(v) {
			return float64(v[i])
		}
		return 0
	}
	var e routeEvidence
	for i := range fieldCount {
		e.current[i] = at(i)
		for g := range targetGroups {
			e.groups[g][i] = at(groupsOffset + g*fieldCount + i)
		}
	}
	e.slowAbove = slowThreshold(v)
	return e
}

// minTimed is the number of durations from which a median is taken.
const minTimed = 12

// slowThreshold returns slowFactor times the median of the histogram, interpolated within
// its bucket.
func slowThreshold(v []uint64) time.Duration {
	if len(v) < groupsOffset {
		return 0
	}
	hist := v[fieldCount:groupsOffset]
	total := uint64(0)
	for _, n := range hist {
		total += n
	}
	if total < minTimed {
		return 0
	}
	sum, end := 0.0, float64(firstBucket)
	for _, n := range hist {
		if half := float64(total) / 2; sum+float64(n) >= half {
			begin := end / histogramBase
			return time.Duration(slowFactor * (begin + (end-begin)*(half-sum)/float64(n)))
		}
		sum += float64(n)
		end *= histogramBase
	}
	return time.Duration(slowFactor * end)
}

func bucket(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(firstBucket)) / math.Log(histogramBase)))
	return min(i, histogramSize-1)
}

// minus returns what has been added since an earlier state. Counters decrease where the
// contributions of a node that has ended are missing, which is taken as no change.
func (e routeEvidence) minus(o routeEvidence) routeEvidence {
	e.current.sub(&o.current)
	for g := range e.groups {
		e.groups[g].sub(&o.groups[g])
	}
	return e
}

// next returns the counters of the target version, without those of one group; -1 for all.
func (e *routeEvidence) next(without int) counts {
	var c counts
	for g := range e.groups {
		if g != without {
			c.add(&e.groups[g])
		}
	}
	return c
}

// Parameters of the sequential test.
const (
	// evidenceLimit is the likelihood ratio from which on a version counts as bad: a good
	// version reaches it in one test with a probability of at most its inverse.
	evidenceLimit = 20000
	// doubtLimit is the ratio from which on a roll-out does not go on. It is rolled back if
	// the doubt remains until its time limit.
	doubtLimit = 200
	// Floors of the rates that are expected of any version. Broken and late answers come in
	// groups where a host fails, which says nothing about the version.
	failedFloor = 0.01
	brokenFloor = 0.12
	slowFloor   = 0.15
	// priorAnswers is the weight of the floor, in answers.
	priorAnswers = 30
)

// Differences to the current version's rate that the test looks for.
var (
	failedSteps = []float64{0.03, 0.1, 0.3}
	brokenSteps = []float64{0.1, 0.3}
	slowSteps   = []float64{0.2, 0.4}
)

// likelihoodRatio compares the hypothesis that bad of n answers are so at a rate of base
// plus one of the steps with that of base, as the mean over the steps. If the rate is base,
// the ratio exceeds a limit at any time with a probability of at most its inverse.
func likelihoodRatio(bad, n, base float64, steps []float64) float64 {
	sum := 0.0
	for _, step := range steps {
		p := min(base+step, 0.98)
		sum += math.Exp(bad*math.Log(p/base) + (n-bad)*math.Log((1-p)/(1-base)))
	}
	return sum / float64(len(steps))
}

// baseRate estimates the current version's rate, which is not below floor.
func baseRate(bad, n, floor float64) float64 {
	return min(max((bad+floor*priorAnswers)/(n+priorAnswers), floor), 0.9)
}

// Verdict is what the evidence says about the target version.
type Verdict struct {
	// Bad is set if the version is bad, Doubtful if it may be.
	Bad, Doubtful bool
	// Route, Cause and the two rates say why: failed, broken or slow.
	Route, Cause   string
	Rate, BaseRate float64
}

// minSpread is the number of targets of the target version from which on a fault of one
// target is told from one of the version: the worst group of targets is left out. Failures
// are seldom due to a host, so as many of that group count as all others have, and one.
const minSpread = 3

// judge tests the target version, which has a number of targets, by the evidence for one
// route.
func judge(route string, e routeEvidence, targets int) Verdict {
	var doubt Verdict
	for _, x := range []struct {
		cause      string
		total, bad int
		floor      float64
		steps      []float64
	}{
		{"failed", fieldAnswers, fieldFailed, failedFloor, failedSteps},
		{"broken", fieldAnswers, fieldBroken, brokenFloor, brokenSteps},
		{"slow", fieldTimed, fieldSlow, slowFloor, slowSteps},
	} {
		base := baseRate(e.current[x.bad], e.current[x.total], x.floor)
		worst := -1
		if targets >= minSpread {
			for g := range e.groups {
				if worst < 0 || e.groups[g][x.bad] > e.groups[worst][x.bad] {
					worst = g
				}
			}
		}
		c := e.next(worst)
		if worst >= 0 && x.bad == fieldFailed {
			g := e.groups[worst]
			counted := min(g[x.bad], c[x.bad]+1)
			c[x.total] += g[x.total] - g[x.bad] + counted
			c[x.bad] += counted
		}
		ratio := likelihoodRatio(min(c[x.bad], c[x.total]), c[x.total], base, x.steps)
		if ratio < doubtLimit {
			continue
		}
		v := Verdict{ratio >= evidenceLimit, true, route, x.cause, c[x.bad] / c[x.total], base}
		if v.Bad {
			return v
		}
		doubt = v
	}
	return doubt
}

// sample is the evidence of all routes at one time.
type sample struct {
	at     time.Time
	routes map[string]routeEvidence
}

// Intervals of the evidence's history.
const (
	sampleInterval = 500 * time.Millisecond
	// maxSamples bounds the history, and so how far back a window reaches.
	maxSamples = 8
)

// windows are how many samples back the tested periods begin; the whole time since the order
// is tested as well. A version that turns bad later shows in the short ones.
var windows = []int{2, maxSamples - 1}

// minBaseline is the number of the current version's answers in a period for which the rates
// of the same seconds are used; otherwise those since the order are.
const minBaseline = 20

// allRoutes names the evidence of all routes together.
const allRoutes = "all routes"

// pooled returns the evidence of all routes together.
func pooled(routes map[string]routeEvidence) routeEvidence {
	var out routeEvidence
	for _, e := range routes {
		out.current.add(&e.current)
		for g := range e.groups {
			out.groups[g].add(&e.groups[g])
		}
	}
	return out
}

// judgeAll tests the target version by each route and by all together, in all periods.
func (t *tracker) judgeAll(targets int) Verdict {
	var worst Verdict
	for _, route := range slices.Sorted(maps.Keys(t.sums.routes)) {
		worst = worst.or(t.judgePeriods(route, targets, func(m map[string]routeEvidence) routeEvidence { return m[route] }))
	}
	worst = worst.or(t.judgePeriods(allRoutes, targets, pooled))
	return worst.or(t.judgeOwn(targets))
}

// or returns the worse of two verdicts.
func (v Verdict) or(o Verdict) Verdict {
	if v.Bad || (v.Doubtful && !o.Bad) {
		return v
	}
	return o
}

func (t *tracker) judgePeriods(route string, targets int, pick func(map[string]routeEvidence) routeEvidence) Verdict {
	e := pick(t.sums.routes)
	worst := judge(route, e, targets)
	for _, back := range windows {
		if len(t.history) < back {
			continue
		}
		recent := e.minus(pick(t.history[len(t.history)-back].routes))
		if recent.current[fieldAnswers] < minBaseline {
			recent.current = e.current
		}
		worst = worst.or(judge(route, recent, targets))
	}
	return worst
}

// judgeOwn tests the target version by what this node alone has seen since the phase began.
// That is less than the sums have, but they arrive later: among many nodes, one sees enough
// failures soon after the share of a version grows that is bad under load.
func (t *tracker) judgeOwn(targets int) Verdict {
	if t.state.Phase == Observing {
		return Verdict{}
	}
	e := pooled(decodeAll(t.own)).minus(t.ownBefore)
	base := pooled(t.sums.routes).current
	// Of durations the sums say more, and a broken answer may be a host's fault.
	e.current = counts{fieldAnswers: base[fieldAnswers], fieldFailed: base[fieldFailed]}
	return judge(allRoutes, e, targets)
}

// pooledThreshold returns the threshold for routes with too few answers of their own.
func pooledThreshold(vectors map[string][]uint64) time.Duration {
	all := make([]uint64, vectorSize)
	for _, v := range vectors {
		for i := range min(len(v), groupsOffset) {
			all[i] += v[i]
		}
	}
	return slowThreshold(all)
}

func decodeAll(vectors map[string][]uint64) map[string]routeEvidence {
	out := make(map[string]routeEvidence, len(vectors))
	for route, v := range vectors {
		out[route] = decodeEvidence(v)
	}
	return out
}
