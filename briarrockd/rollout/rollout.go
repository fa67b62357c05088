// Package rollout decides how a service's requests move to targets of another software
// version while an operator's order for that is open.
//
//	r := rollout.New(rollout.Config{Share: 0.1, Slack: 50}, seed)
//	r.Adopt(now, state)                      // an order, or what a peer knows of one
//	choice := r.Begin(now, "catalog")        // for each request
//	ended := r.Started("catalog", version)   // for each attempt
//	…
//	r.Observe(rollout.Outcome{…})            // where an attempt ends
//	r.Reached(now, "catalog")                // for each request that reached a target
//	r.SetSums(now, sums, nodes)              // the evidence of all nodes
//	r.Step(now, fleets)                      // the resulting changes, to be sent to peers
//
// All nodes follow the same rules on the same sums, so none of them is in charge. What a
// node has decided is adopted by all others, by the precedence of [State.Supersedes]. The
// package does no I/O and reads no clock.
package rollout

import (
	"time"
)

// Phase is how far a roll-out has come. A later phase takes precedence over an earlier one
// of the same order.
type Phase uint8

// The phases of a roll-out.
const (
	// Observing sends a small share of the requests to the target version.
	Observing Phase = iota
	// Ramping sends rampShare of them, and Mostly all but a few, by which the two versions
	// can still be compared under the full load.
	Ramping
	Mostly
	// Switched sends no request to the current version any more.
	Switched
	// RolledBack sends no request to the target version any more.
	RolledBack
	// Completed means that the status says so: the targets of the current version may have
	// stopped. It takes precedence over RolledBack, since it is only ever set after it was
	// written under the condition that nothing else was.
	Completed
)

var phaseNames = [...]string{"observing", "ramping", "mostly", "switched", "rolled back", "completed"}

// String returns the name of the phase in logs.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Ended reports whether the roll-out has ended.
func (p Phase) Ended() bool { return p >= RolledBack }

// State is what all nodes know of the newest order for one service.
type State struct {
	Service string `json:"service"`
	// Order is the version of the order's row in the store. A higher one replaces the
	// order before it.
	Order uint64 `json:"order"`
	// Target is the version to which the traffic moves, Current the one in use when the
	// order arrived; empty if that is not known yet.
	Target  string `json:"target"`
	Current string `json:"current,omitempty"`
	// Duration is the order's time limit.
	Duration time.Duration `json:"duration"`
	// StartedAt is when the order was first seen, by the local clock.
	StartedAt time.Time `json:"startedAt"`
	Phase     Phase     `json:"phase"`
	// Members is the largest number of live members of the mesh that was seen since the
	// order. A part of the mesh that is cut off sees fewer, but decides nothing by them.
	Members int `json:"members,omitempty"`
	// Written is set once the status in the store says how the roll-out ended.
	Written bool `json:"written,omitempty"`
}

// Supersedes reports whether s says more than o of the same service.
func (s State) Supersedes(o State) bool {
	switch {
	case s.Order != o.Order:
		return s.Order > o.Order
	case s.Phase != o.Phase:
		return s.Phase > o.Phase
	case s.Written != o.Written:
		return s.Written
	default:
		return s.Current != "" && (o.Current == "" || s.Current < o.Current)
	}
}

// Merge returns the newer of two states of one service, completed by the other one: an
// order that replaces another takes over the version in use, and of two sightings of the
// same order the earlier start counts.
func Merge(a, b State) State {
	if b.Supersedes(a) {
		a, b = b, a
	}
	if a.Order != b.Order {
		if a.Current == "" {
			a.Current = b.InUse()
		}
		return a
	}
	if a.Current == "" {
		a.Current = b.Current
	}
	a.Members = max(a.Members, b.Members)
	if b.StartedAt.Before(a.StartedAt) {
		a.StartedAt = b.StartedAt
	}
	return a
}

// InUse returns the version that is in use once the roll-out is over or replaced.
func (s State) InUse() string {
	if s.Phase == Completed {
		return s.Target
	}
	return s.Current
}

// progress returns which part of the order's time limit has passed.
func (s State) progress(now time.Time) float64 {
	return float64(now.Sub(s.StartedAt)) / float64(max(s.Duration, time.Millisecond))
}

// endedKept is how long after its time limit an order that has ended excludes a version. By
// then the targets of that version have stopped, and the same version may be started again.
const endedKept = 30 * time.Second

// over reports whether the order makes no difference any more.
func (s State) over(now time.Time) bool {
	return s.Phase.Ended() && s.Written && now.Sub(s.StartedAt) > s.Duration+endedKept
}

// allows reports whether a request may run at a version. After the end, only the version
// that the roll-out left is excluded. next is set for the version to
// which the traffic moves. A target without a known version belongs to a node that does not
// know roll-outs yet, so it counts as the current one.
func (s State) allows(version string, next bool) bool {
	if s.Phase.Ended() {
		switch {
		case s.Target == s.Current:
			return true
		case s.Phase == Completed:
			return version != s.Current && version != ""
		default:
			return version != s.Target
		}
	}
	if next {
		return version == s.Target
	}
	if s.Target == s.Current {
		return version == s.Target || version == ""
	}
	return version != s.Target && (s.Current == "" || version == s.Current || version == "")
}
