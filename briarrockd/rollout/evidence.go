package rollout

import (
	"math"
	"time"
)

// The evidence for one route is a vector of counters, which is added up over all nodes. Its
// first part is about the current version: answers, failed ones, broken ones, those with a
// known duration, the slow and the very slow ones of these, and a histogram of durations.
// Then follow targetGroups groups for targets of the target version.
const (
	fieldAnswers = iota
	fieldFailed
	fieldBroken
	fieldTimed
	fieldSlow
	fieldVerySlow
	fieldCount
)

const (
	// targetGroups is the number of groups of targets. A fault of one target is in one
	// group, a fault of the version in all of them.
	targetGroups = 6
	// histogramSize is the number of buckets of durations, of which the first one ends at
	// firstBucket and each further one at histogramBase times the one before: up to 7 s.
	// A vector of the mesh-wide sums has at most 64 elements, see package peer.
	histogramSize = 22
	firstBucket   = 1500 * time.Microsecond
	histogramBase = 1.5
	vectorSize    = fieldCount + histogramSize + targetGroups*fieldCount
	groupsOffset  = fieldCount + histogramSize
)

// slowFactor is how many times the current version's median an answer has to take to count
// as slow, verySlowFactor how many times as much as a slow one to count as very slow. A slow
// target alone makes answers slow, but hardly very slow.
const (
	slowFactor     = 2
	verySlowFactor = 1.75
)

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

// next returns the counters of the target version.
func (e *routeEvidence) next() counts {
	var c counts
	for g := range e.groups {
		c.add(&e.groups[g])
	}
	return c
}

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
