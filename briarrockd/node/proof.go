package node

import (
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/proof"
)

// defaultRevoke is the limit on the age of proofs of a strict platform that sets none.
const defaultRevoke = 5 * time.Second

// prover answers whether the node's version is proven to have been the newest one less
// than revoke ago.
type prover struct {
	revoke   time.Duration
	bootTime func() time.Duration
	version  func() uint64 // the version in use for callers
	newest   atomic.Pointer[proof.Proof]
}

func newProver(revoke time.Duration, bootTime func() time.Duration, version func() uint64) *prover {
	if bootTime == nil {
		bootTime = hostBootTime
	}
	return &prover{revoke: revoke, bootTime: bootTime, version: version}
}

// hostBootTime returns the time since the host's boot, including the time for which it
// was suspended. It is one reading of one clock: with the difference of two clocks, a
// process that is frozen between the two readings would get a wrong result.
func hostBootTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return math.MaxInt64 // no proof is young enough for this time
	}
	return time.Duration(ts.Nano())
}

func (p *prover) publish(c peer.PublishProof) { p.newest.Store(&c.Proof) }

// age returns the age of the newest proof; false if there is none.
func (p *prover) age() (time.Duration, bool) {
	newest := p.newest.Load()
	if newest == nil {
		return 0, false
	}
	return p.bootTime() - newest.At, true
}

// proven reports whether a request that has arrived may be served by the version in use.
// The process may be frozen or suspended at any point of it. The proof is therefore read
// before the time and the version, which can only be later then.
func (p *prover) proven() bool {
	newest := p.newest.Load()
	return newest != nil && newest.Valid(p.bootTime(), p.revoke) && p.version() >= newest.Version
}

// proven returns the check of caller.Deps; nil if the node is not strict.
func (n *Node) proven() func() bool {
	if !n.platform.Strict {
		return nil
	}
	n.metrics.GetOrCreateGauge("briarrock_proof_age_seconds", func() float64 {
		age, ok := n.prover.age()
		if !ok {
			return -1
		}
		return age.Seconds()
	})
	return n.prover.proven
}

// coreBootTime returns the clock of peer.Deps; nil if the node is not strict.
func (n *Node) coreBootTime() func() time.Duration {
	if !n.platform.Strict {
		return nil
	}
	return n.prover.bootTime
}
