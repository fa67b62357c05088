// Package proof decides whether a node may still serve requests with keys: only while it
// can prove that its version of the configuration was the newest accepted one less than
// a fixed time ago.
//
// A [Proof] states that no newer version had been accepted at some time. It comes from
// the node's own reads of the platform's store ([State.Add]) or from a peer, in a frame
// that bounds its own transit time ([Link]).
//
// All times are readings of one clock of this host that also advances while the host is
// suspended, such as CLOCK_BOOTTIME on Linux. Their origin is arbitrary but not before
// the clock's zero. Nothing in this package reads a clock or does I/O.
package proof

import (
	"slices"
	"time"
)

// Proof states that at the time At, no version newer than Version had been accepted. It
// proves the same of every version above Version.
type Proof struct {
	Version uint64
	At      time.Duration
}

// marginDivisor is the inverse of the share of the limit that is left unused. It covers
// the difference of the clock rates of the hosts that a proof crosses, which is below
// 0.1 %.
const marginDivisor = 50

// Valid reports whether the proof is young enough at now, for a limit on its age. A proof
// of the future is not valid: the clock was wrong when it was made, or is wrong now.
func (p Proof) Valid(now, limit time.Duration) bool {
	return p.At <= now && now-p.At < limit-limit/marginDivisor
}

// maxLater bounds the proofs that are kept for versions that are not in use yet.
const maxLater = 8

// State holds a node's newest proof. Its zero value has none, and no version in use.
type State struct {
	inUse   uint64
	current Proof // At is 0 if there is none
	// later has proofs of versions that are not in use yet. Both Version and At rise
	// from each one to the next.
	later []Proof
}

// Add adds a proof at the time now. For a read of the store, Proof.At is the time before
// the request was sent: the store may have looked at any time from then on. Add reports
// whether the newest proof of the version in use has changed. It ignores a proof of the
// future.
func (s *State) Add(now time.Duration, p Proof) bool {
	if p.At <= 0 || p.At > now || p.Version == 0 || s.dominated(p) {
		return false
	}
	s.later = slices.DeleteFunc(s.later, func(q Proof) bool { return q.Version >= p.Version && q.At <= p.At })
	if p.Version <= s.inUse {
		s.current = p
		return true
	}
	i, _ := slices.BinarySearchFunc(s.later, p, func(a, b Proof) int { return int(a.At - b.At) })
	s.later = slices.Insert(s.later, i, p)
	if len(s.later) > maxLater {
		s.later = s.later[:maxLater] // the lowest versions come into use first
	}
	return false
}

// dominated reports whether a proof that is at least as new is held for a version that
// is not above p's.
func (s *State) dominated(p Proof) bool {
	if s.current.At >= p.At {
		return true
	}
	return slices.ContainsFunc(s.later, func(q Proof) bool { return q.Version <= p.Version && q.At >= p.At })
}

// Use sets the version in use. It reports whether the newest proof has changed.
func (s *State) Use(version uint64) bool {
	s.inUse = max(s.inUse, version)
	changed := false
	for len(s.later) > 0 && s.later[0].Version <= s.inUse {
		s.current, s.later = s.later[0], s.later[1:]
		changed = true
	}
	return changed
}

// Current returns the newest proof of the version in use; false if there is none.
func (s *State) Current() (Proof, bool) { return s.current, s.current.At > 0 }
