package caller

import (
	"time"

	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/snapshot"
)

// How silence is found: attempts are under way, and nothing comes back.
const (
	// stallFactor is how many times the usual time nothing may come back.
	stallFactor = 4
	// minStall is the least such time, above the way to another region and
	// the work of most requests.
	minStall  = 250 * time.Millisecond
	stallCost = 5.0
)

// Feedback is what one attempt told about an upstream.
type Feedback struct {
	// Load is how taken the target said it is; negative if it didn't.
	Load float64
	// Usual is how long the target's node says that its work takes as a rule;
	// 0 if it didn't.
	Usual time.Duration
	// Failed is set when no answer came from the target's node.
	Failed bool
	// Unreached is set when the target's node could not be connected to.
	Unreached bool
	// TargetFailed is set for an answer that was a failure of the target.
	TargetFailed bool
	// Leaving is set when the target's node said that the target leaves.
	Leaving bool
	// Full is set when the target's node had no room for a call of Priority, Paced if
	// that was for the rate that the target names, and Again is when it said that it is
	// worth asking again; 0 if it didn't.
	Full, Paced bool
	Priority    snapshot.Priority
	Again       time.Duration
	// Notices are what the node's targets have told of themselves.
	Notices []target.Notice
}

// state is what is remembered of one upstream.
type state struct {
	inflight int
	load     float64
	loadAt   time.Time
	// since counts the picks since the load was reported.
	since int
	usual time.Duration
	// stalledSince is since when attempts have been under way with nothing back.
	stalledSince  time.Time
	failureRate   float64 // share of the attempts that failed, at failureRateAt
	failureRateAt time.Time
	fails         int
	ejected       int // times in a row
	until         time.Time
	// leaving is until when the upstream is left alone since it said that it
	// leaves; by then the members' records say so too.
	leaving time.Time
	// leavingProcess is the process of the upstream's node that said so, process the
	// one that was asked last.
	leavingProcess, process uint64
	// fullAt is when the upstream last had no room, for calls up to the
	// priority fullTo.
	fullAt time.Time
	fullTo snapshot.Priority
	// again is when it said then that it is worth asking again, and paced is set if it
	// was for its target's rate.
	again time.Duration
	paced bool
	// notices are what its targets have told of themselves, never changed in place.
	notices []target.Notice
	// far is set for an upstream in another region, slots are those that it has.
	far   bool
	slots int
}

// expected is the load that an upstream is expected to have: what it reported
// last, fading with age, and what has been sent to it since.
func (s *state) expected(now time.Time, slots int) float64 {
	slots = max(slots, 1)
	halves := float64(now.Sub(s.loadAt)) / float64(loadHalf)
	own := float64(s.inflight) / float64(slots)
	reported := s.load/(1+halves) + float64(min(s.since, s.inflight))/float64(slots)
	return max(own, reported)
}

// stalled tells whether several attempts have been under way for long with
// nothing back: the node or its target has stopped, or can't be reached, and
// no error says so.
func (s *state) stalled(now time.Time) bool {
	const attempts = 2 // one alone may just be long work
	return s.inflight >= attempts && now.Sub(s.stalledSince) > max(minStall, stallFactor*s.usual)
}

// leaves tells whether an upstream has said that it leaves. The word holds for the
// process that gave it: one that has just been started says so too, until its target
// has been heard of, and its first record says when that is.
func (s *state) leaves(now time.Time, u *upstream) bool {
	return s.leaving.After(now) && s.leavingProcess == u.process
}

// markFull notes that there was no room for a call.
func (s *state) markFull(now time.Time, f Feedback) {
	priority := f.Priority
	if s.isFull(now, s.fullTo) {
		priority = max(priority, s.fullTo)
	}
	s.fullAt, s.fullTo, s.again, s.paced = now, priority, f.Again, f.Paced
}

// isFull tells whether there is known to be no room for a call.
func (s *state) isFull(now time.Time, priority snapshot.Priority) bool {
	return priority <= s.fullTo && now.Sub(s.fullAt) < s.fullTTL()
}

// fullTTL is how long the upstream is left alone after it had no room.
func (s *state) fullTTL() time.Duration {
	if s.paced {
		return min(s.again, maxPacedTTL)
	}
	if s.far {
		return min(max(s.again, maxFullTTL), maxFarFullTTL)
	}
	if s.usual == 0 {
		return maxFullTTL
	}
	return min(max(s.usual/time.Duration(max(s.slots, 1)), minFullTTL), maxFullTTL)
}

// maxTold bounds the processes of one upstream's targets that are remembered.
const maxTold = 4

// observeNotice remembers what a target has told of itself in place of what the same
// process told before.
func (s *state) observeNotice(n target.Notice) {
	list := make([]target.Notice, 0, maxTold+1)
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
	s.notices = list[max(0, len(list)-maxTold):]
}

// observeFeedback takes the figures of an attempt.
func (s *state) observeFeedback(now time.Time, f Feedback) {
	if f.Load >= 0 {
		s.load = f.Load
		s.loadAt = now
		s.since = 0
	}
	if f.Usual > 0 {
		s.usual = f.Usual
	}
	if !f.Failed {
		s.stalledSince = now
	}
	for _, n := range f.Notices {
		s.observeNotice(n)
	}
	bad := 0.0
	if f.Failed || f.TargetFailed {
		bad = 1
	}
	rate := s.degraded(now)
	s.failureRate = rate + failPart*(bad-rate)
	s.failureRateAt = now
}

// degraded is the share of the attempts that failed, fading with age.
func (s *state) degraded(now time.Time) float64 {
	return s.failureRate / (1 + float64(now.Sub(s.failureRateAt))/float64(failHalf))
}
