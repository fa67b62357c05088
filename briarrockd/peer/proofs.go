package peer

import (
	"time"

	"briarrock.example/briarrockd/proof"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// These constants apply to strict nodes (Config.Strict).
const (
	// pollsPerRevoke is the minimum number of polls of a polling node within
	// Config.Revoke. A proof gets twice as old as a poll takes before the next one
	// arrives, which stays below overdueShare. The wait of a poll is shortened by
	// the round trip (Watch.Paced): with a store that takes 1 s to answer, proofs would
	// get 4.8 s old.
	pollsPerRevoke = 5
	// overdueShare is the share of Config.Revoke above which the newest proof is older
	// than it gets while any node polls and links are fast. Polls of fallback nodes then
	// keep it below 0.6.
	overdueShare = 0.55
	// proofTransitShare is the share of Config.Revoke in which a proof crosses the tree.
	proofTransitShare = 0.05
	// suspensionThreshold is the difference of the boot clock and the monotonic clock
	// over one tick above which the host was suspended.
	suspensionThreshold = 100 * time.Millisecond
)

// proofs is a node's state of the proofs of its version; see package proof.
type proofs struct {
	// clock is the reading of the boot clock at the current step.
	clock time.Duration
	state proof.State
	// enabled is set while the version in use has workspaces. Otherwise no request has
	// a key, and nothing is sent. enabledAt is the boot time since when it is set.
	enabled   bool
	enabledAt time.Duration
	// proven is whether the newest proof was valid at the last tick, and logged is set
	// once that has been logged.
	proven, logged bool
	// reported is the newest version that this node's own polls have found.
	reported uint64
	// overdueSince is since when, by the monotonic clock, the newest proof has been older
	// than proofOverdue allows minus a proof exchange; zero if it isn't.
	overdueSince time.Time
	// tickedAt and tickClock are the two clocks at the last tick.
	tickedAt  time.Time
	tickClock time.Duration
}

// SetBootTime sets the time of the next step on a clock that also advances while the host
// is suspended. A strict node needs it before each step.
func (c *Core) SetBootTime(t time.Duration) { c.proofs.clock = t }

// pollWait returns how long one poll of the platform waits for a change, of which a node
// that is not strict would wait at most longest.
func (c *Core) pollWait(longest time.Duration) time.Duration {
	if !c.cfg.Strict {
		return longest
	}
	return min(longest, c.cfg.Revoke/pollsPerRevoke)
}

// proofOverdue reports whether the newest proof is older than it gets while any node
// polls, by more than spread.
//
// The age alone doesn't show that no node polls: after all hosts were suspended at once it
// is too great on each of them. The proof must therefore also have been overdue for the
// time of a proof exchange while the host was running.
func (c *Core) proofOverdue(spread time.Duration) bool {
	s := &c.proofs
	if !s.enabled || s.overdueSince.IsZero() || c.suspension() > suspensionThreshold {
		return false
	}
	return c.proofAge() > c.overdueAge()+spread && c.now.Sub(s.overdueSince) >= c.proofExchangeTime()+spread
}

// trackOverdue updates overdueSince. It starts a proof exchange before the proof is overdue,
// so that the condition on it delays no poll of a host that was not suspended.
func (c *Core) trackOverdue() {
	s := &c.proofs
	switch {
	case !s.enabled || c.proofAge() <= c.overdueAge()-c.proofExchangeTime():
		s.overdueSince = time.Time{}
	case s.overdueSince.IsZero() || c.suspension() > suspensionThreshold:
		s.overdueSince = c.now
	}
}

func (c *Core) overdueAge() time.Duration {
	return time.Duration(overdueShare * float64(c.cfg.Revoke))
}

// proofExchangeTime returns the time in which a node that is in touch gets a new proof: one
// poll of a polling node and the transit of its proof.
func (c *Core) proofExchangeTime() time.Duration {
	return c.cfg.Revoke/pollsPerRevoke + time.Duration(proofTransitShare*float64(c.cfg.Revoke))
}

// proofAge returns the age of the newest proof, or for how long proofs have been enabled if
// that is shorter.
func (c *Core) proofAge() time.Duration {
	s := &c.proofs
	p, _ := s.state.Current()
	return s.clock - max(p.At, s.enabledAt)
}

// addOwnProof adds the proof of this node's own read of the head, which was sent at the
// given boot time; 0 if unknown. It found no version above the given one and those that
// earlier reads have found.
func (c *Core) addOwnProof(version uint64, sent time.Duration) {
	s := &c.proofs
	s.reported = max(s.reported, version)
	if c.cfg.Strict && s.state.Add(s.clock, proof.Proof{Version: s.reported, At: sent}) {
		c.publishProof()
	}
}

// useProofs takes up the proofs of a version that comes into use.
func (c *Core) useProofs(version uint64, s *snapshot.Snapshot) {
	if !c.cfg.Strict {
		return
	}
	enabled := len(s.Workspaces) > 0
	if enabled && !c.proofs.enabled {
		c.proofs.enabledAt = c.proofs.clock
	}
	c.proofs.enabled = enabled
	if c.proofs.state.Use(version) {
		c.publishProof()
		return
	}
	c.sendProofs()
}

// publishProof passes the newest proof to the rest of the node and to the peers.
func (c *Core) publishProof() {
	p, _ := c.proofs.state.Current()
	c.emit(PublishProof{p})
	c.sendProofs()
}

// onProof handles a peer's proof.
func (c *Core) onProof(l *link, f Proof) {
	if !c.cfg.Strict {
		return
	}
	p, ok, err := l.proof.Receive(c.proofs.clock, proof.Frame(f))
	if err != nil {
		c.log(event.ProofRefused, event.Fields{event.Subject: l.host, "error": err.Error()})
		return
	}
	if ok && c.proofs.state.Add(c.proofs.clock, p) {
		c.publishProof()
		return
	}
	c.sendProof(l)
}

func (c *Core) sendProofs() {
	for _, l := range c.sortedLinks() {
		c.sendProof(l)
	}
}

// sendProof sends the newest proof over a link, if one is due. Lazy links carry proofs
// too, but less often: they may be the only path between two regions. A node whose
// version has no workspaces, or that has no version yet, only answers peers that send
// proofs, so that it can use theirs as soon as it has the version.
func (c *Core) sendProof(l *link) {
	if !l.takesProofs || c.introductionOnly(l) || (!c.proofs.enabled && !l.proof.Heard()) {
		return
	}
	p, _ := c.proofs.state.Current()
	if l.proof.Due(c.proofs.clock, p, c.cfg.Revoke, l.lazy) {
		c.send(l, Proof(l.proof.Frame(c.proofs.clock, p)))
	}
}

// tickProofs sends the proofs that are due, and logs when the node's requests with keys
// begin or cease to be refused, and when the host was suspended.
func (c *Core) tickProofs() {
	s := &c.proofs
	if !c.cfg.Strict {
		return
	}
	c.trackOverdue()
	c.logSuspension()
	c.sendProofs()
	p, known := s.state.Current()
	proven := known && p.Valid(s.clock, c.cfg.Revoke)
	if !s.enabled || (s.logged && proven == s.proven) {
		return
	}
	s.proven, s.logged = proven, true
	fields := event.Fields{"version": c.version.number, "proven": p.Version}
	if known {
		fields["age"] = (s.clock - p.At).Milliseconds()
	}
	if proven {
		c.log(event.Proven, fields)
		return
	}
	c.log(event.Unproven, fields)
}

func (c *Core) logSuspension() {
	s := &c.proofs
	if d := c.suspension(); d > suspensionThreshold {
		c.log(event.Suspended, event.Fields{"for": d.Milliseconds()})
	}
	s.tickedAt, s.tickClock = c.now, s.clock
}

// suspension returns for how long the host has been suspended since the last tick.
func (c *Core) suspension() time.Duration {
	s := &c.proofs
	if s.tickedAt.IsZero() {
		return 0
	}
	return s.clock - s.tickClock - c.now.Sub(s.tickedAt)
}
