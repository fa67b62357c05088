package caller

import (
	"time"

	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/snapshot"
)

// Detection of stalled upstreams: attempts are in flight, and no response arrives.
const (
	// stallFactor is the time without a response after which an upstream counts as
	// stalled, as a multiple of its mean duration.
	stallFactor = 4
	// minStall is the lower bound of that time. It is longer than a round trip to another
	// region and the work of most requests.
	minStall = 250 * time.Millisecond
	// stallCost is the cost of a stalled upstream, in the unit of the Balancer's costs.
	stallCost = 5.0
)

// Feedback is what one attempt showed about an upstream.
type Feedback struct {
	// Load is the load that the target's node reported, 1 if all slots are in use and no
	// call is queued; negative if it reported none.
	Load float64
	// MeanDuration is the moving average of how long the target's calls take, as its
	// node reported; 0 if it reported none.
	MeanDuration time.Duration
	// RouteDuration is the mean duration of the target's calls of the attempt's route, Route;
	// 0 if its node reported none.
	RouteDuration time.Duration
	Route         string
	// ShedShare is the share of recent calls that the target itself refused.
	ShedShare float64
	// Failed is set when no response of the target arrived: its node did not answer, or
	// reported a failed connection or a missed deadline.
	Failed bool
	// Unreachable is set when the connection to the target's node failed.
	Unreachable bool
	// TargetFailed is set when the target answered with a failure or refused the request.
	TargetFailed bool
	// Leaving is set when the target's node reported that the target or the node is
	// leaving.
	Leaving bool
	// Full is set when the target's node refused a call of Priority because it had no
	// capacity, and RateLimited if that was due to the target's rate limit. RetryAfter is
	// the retry delay that it named; 0 if none.
	Full, RateLimited bool
	Priority          snapshot.Priority
	RetryAfter        time.Duration
	// Notices are the rate limits and the leaving that the node's targets have reported
	// in their responses.
	Notices []target.Notice
}

// state is the recorded state of one upstream.
type state struct {
	inFlight int
	load     float64 // last reported load, received at loadAt
	loadAt   time.Time
	// picksSinceReport counts the picks since the load was last reported.
	picksSinceReport int
	meanDuration     time.Duration
	// slowness is the moving average of the durations of the target's calls, each divided
	// by the usual duration of its route; 0 if unknown.
	slowness float64
	// shedShare is the share of calls that the target itself refuses, reported with load.
	shedShare float64
	// stalledSince is the time since which attempts have been in flight without a
	// response.
	stalledSince        time.Time
	failureRate         float64 // moving average of failed attempts, at failureRateAt
	failureRateAt       time.Time
	consecutiveFailures int
	ejections           int // consecutive ejections
	ejectedUntil        time.Time
	// leavingUntil is until when the upstream is not picked because it reported that it
	// is leaving. By then the member records show it too.
	leavingUntil time.Time
	// leavingIncarnation identifies the process of the upstream's node that reported it,
	// and incarnation the one of the last pick.
	leavingIncarnation, incarnation uint64
	// fullAt is when the upstream was last full, for calls up to the priority
	// fullPriority.
	fullAt       time.Time
	fullPriority snapshot.Priority
	// retryAfter is the retry delay that it then named. rateLimited is set if the reason
	// was its target's rate limit.
	retryAfter  time.Duration
	rateLimited bool
	// notices are the latest notices of its targets. The slice is never changed in place.
	notices []target.Notice
	// otherRegion is set for an upstream in another region. slots is the number of its
	// slots.
	otherRegion bool
	slots       int
}

// expectedLoad returns an upstream's expected load: the last reported one, decayed by its
// age, plus the picks since. It is at least the load by this node's attempts in flight.
func (s *state) expectedLoad(now time.Time, slots int) float64 {
	slots = max(slots, 1)
	halfLives := float64(now.Sub(s.loadAt)) / float64(loadHalfLife)
	own := float64(s.inFlight) / float64(slots)
	reported := s.load/(1+halfLives) + float64(min(s.picksSinceReport, s.inFlight))/float64(slots)
	return max(own, reported)
}

// stalled reports whether several attempts have been in flight for long without a
// response. The node or its target has then stopped or can't be reached, and no
// connection error shows it.
func (s *state) stalled(now time.Time) bool {
	const attempts = 2 // a single one may just take long
	return s.inFlight >= attempts && now.Sub(s.stalledSince) > max(minStall, stallFactor*s.meanDuration)
}

// isLeaving reports whether an upstream is avoided because it reported that it is
// leaving. The report counts only for the process that made it. A node that has just
// started also reports leaving, until its target's announcement has arrived. The first
// member record of its process shows that it has arrived: the record has a new
// incarnation, so the report no longer counts.
func (s *state) isLeaving(now time.Time, u *upstream) bool {
	return s.leavingUntil.After(now) && s.leavingIncarnation == u.incarnation
}

// markFull records that the upstream was full for a call.
func (s *state) markFull(now time.Time, f Feedback) {
	priority := f.Priority
	if s.isFull(now, s.fullPriority) {
		priority = max(priority, s.fullPriority)
	}
	s.fullAt, s.fullPriority, s.retryAfter, s.rateLimited = now, priority, f.RetryAfter, f.RateLimited
}

// isFull reports whether the upstream is known to be full for calls of a priority.
func (s *state) isFull(now time.Time, priority snapshot.Priority) bool {
	return priority <= s.fullPriority && now.Sub(s.fullAt) < s.fullTTL()
}

// fullTTL returns how long the upstream is not picked after it was full.
func (s *state) fullTTL() time.Duration {
	if s.rateLimited {
		return min(s.retryAfter, maxRateLimitedTTL)
	}
	if s.otherRegion {
		return min(max(s.retryAfter, maxFullTTL), maxOtherRegionFullTTL)
	}
	if s.meanDuration == 0 {
		return maxFullTTL
	}
	return min(max(s.meanDuration/time.Duration(max(s.slots, 1)), minFullTTL), maxFullTTL)
}

// maxNotices bounds the notices that are kept for one upstream, one for each process of
// its targets.
const maxNotices = 4

// observeNotice records a target's notice in place of an earlier one of the same process.
// The rate of the newer one applies, and leaving is never revoked.
func (s *state) observeNotice(n target.Notice) {
	list := make([]target.Notice, 0, maxNotices+1)
	for _, old := range s.notices {
		if old.Process != n.Process {
			list = append(list, old)
			continue
		}
		if old.At.After(n.At) {
			n.Rate, n.At = old.Rate, old.At
		}
		n.Leaving = n.Leaving || old.Leaving
	}
	list = append(list, n)
	s.notices = list[max(0, len(list)-maxNotices):]
}

// observeFeedback updates load, latency, notices and failure rate by the feedback of an
// attempt.
func (s *state) observeFeedback(now time.Time, f Feedback) {
	if f.Load >= 0 {
		s.load = f.Load
		s.loadAt = now
		s.shedShare = f.ShedShare
		s.picksSinceReport = 0
	}
	if f.MeanDuration > 0 {
		s.meanDuration = f.MeanDuration
	}
	if !f.Failed {
		s.stalledSince = now
	}
	for _, n := range f.Notices {
		s.observeNotice(n)
	}
	failed := 0.0
	if f.Failed || f.TargetFailed {
		failed = 1
	}
	rate := s.decayedFailureRate(now)
	s.failureRate = rate + failureWeight*(failed-rate)
	s.failureRateAt = now
}

// decayedFailureRate returns the failure rate, decayed by its age.
func (s *state) decayedFailureRate(now time.Time) float64 {
	return s.failureRate / (1 + float64(now.Sub(s.failureRateAt))/float64(failureHalfLife))
}
