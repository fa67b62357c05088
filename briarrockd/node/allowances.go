package node

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"briarrock.example/briarrockd/allowance"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// Times of the events about allowances.
const (
	// refusalsEndAfter is how long a workspace must not be refused before its refusals
	// count as ended, so that bursts are one event.
	refusalsEndAfter = 10 * time.Second
	// sumsLateAfter is the age of the sums that is reported. They arrive every 0.4 s.
	sumsLateAfter = 3 * time.Second
)

// allowances is the caller.Allowance of a node. It runs an allowance.Limiter, and
// publishes its counters while the version in use has a workspace with a rate.
type allowances struct {
	log     *event.Log
	limited atomic.Bool
	// begun receives a value when a version with limits follows one without: the first
	// counters are published at once, since requests wait for the first sums.
	begun   chan struct{}
	taken   *metrics.Counter
	refused *metrics.Counter
	given   *metrics.Counter

	// mu guards the fields below.
	mu       sync.Mutex
	limiter  *allowance.Limiter
	refusals map[string]*refusals
	heardAt  time.Time
	nodes    int
	late     bool
	missing  bool
}

// refusals counts the refused requests of a workspace.
type refusals struct {
	count int
	last  time.Time
}

func newAllowances(bounds AllowanceBounds, log *event.Log, set *metrics.Set) *allowances {
	now := time.Now()
	a := &allowances{
		log:      log,
		begun:    make(chan struct{}, 1),
		taken:    set.GetOrCreateCounter("briarrock_allowance_taken_total"),
		refused:  set.GetOrCreateCounter("briarrock_allowance_refused_total"),
		given:    set.GetOrCreateCounter("briarrock_allowance_returned_total"),
		limiter:  allowance.New(allowance.Config(bounds), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
		refusals: make(map[string]*refusals),
		heardAt:  now,
	}
	set.GetOrCreateGauge("briarrock_allowance_nodes", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.nodes)
	})
	set.GetOrCreateGauge("briarrock_allowance_sums_age_seconds", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.limited.Load() {
			return 0
		}
		return time.Since(a.heardAt).Seconds()
	})
	return a
}

// Take implements caller.Allowance.
func (a *allowances) Take(workspace string) (time.Duration, bool) {
	if !a.limited.Load() {
		return 0, true
	}
	a.mu.Lock()
	now := time.Now()
	retryAfter, ok := a.limiter.Take(now, workspace)
	first := !ok && a.noteRefusal(now, workspace)
	var view allowance.View
	if first {
		view = a.limiter.View(now, workspace)
	}
	a.mu.Unlock()
	if ok {
		a.taken.Inc()
		return 0, true
	}
	a.refused.Inc()
	if first {
		a.log.Emit(event.AllowanceUsed, event.Fields{
			event.Subject: workspace, "retry": retryAfter.Milliseconds(), "rate": view.Limit.Rate, "burst": view.Limit.Burst,
			"used": view.Used, "refused": view.Refused, "own": view.Own, "share": view.Share, "part": view.Part,
			"bucket": view.Level, "nodes": view.Nodes, "strict": view.Strict, "unknown": view.Unknown,
		})
	}
	return retryAfter, false
}

// noteRefusal counts a refusal and returns whether it is the first of a workspace.
func (a *allowances) noteRefusal(now time.Time, workspace string) bool {
	r, ok := a.refusals[workspace]
	if !ok {
		r = &refusals{}
		a.refusals[workspace] = r
	}
	r.count++
	r.last = now
	return !ok
}

// Return implements caller.Allowance.
func (a *allowances) Return(workspace string) {
	if !a.limited.Load() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Return(time.Now(), workspace)
	a.given.Inc()
}

// setVersion takes the limits from a version.
func (a *allowances) setVersion(s *snapshot.Snapshot) {
	limits := make(map[string]allowance.Limit)
	for i := range s.Workspaces {
		if w := &s.Workspaces[i]; w.Rate > 0 {
			limits[w.Name] = allowance.Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.limiter.SetLimits(now, limits)
	if !a.limited.Load() {
		a.heardAt = now
		if len(limits) > 0 {
			select {
			case a.begun <- struct{}{}:
			default:
			}
		}
	}
	a.limited.Store(len(limits) > 0)
}

func (a *allowances) setSums(p peer.PublishSums) {
	if !a.limited.Load() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heardAt, a.nodes = time.Now(), p.Nodes
	a.limiter.SetSums(a.heardAt, p.Sums)
}

// counters returns what this node publishes, and emits the events that are due.
func (a *allowances) counters(members, unknownContacts, contacts int) map[string][]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.limiter.SetMembers(now, members, unknownContacts, contacts)
	for name, r := range a.refusals {
		if now.Sub(r.last) > refusalsEndAfter {
			a.log.Emit(event.AllowanceLeft, event.Fields{event.Subject: name, "refused": r.count})
			delete(a.refusals, name)
		}
	}
	age := now.Sub(a.heardAt)
	switch {
	case a.limited.Load() && !a.late && age > sumsLateAfter:
		a.late = true
		a.log.Emit(event.SumsLate, event.Fields{"age": age.Milliseconds()})
	case a.late && age <= sumsLateAfter:
		a.late = false
		a.log.Emit(event.SumsFresh, event.Fields{"nodes": a.nodes})
	}
	missing := a.limited.Load() && age <= sumsLateAfter && a.nodes < members
	if missing && !a.missing {
		a.log.Emit(event.SharesReserved, event.Fields{"nodes": a.nodes, "members": members})
	}
	a.missing = missing
	return a.limiter.Counters(now)
}

// publishAllowances publishes the counters of the allowances until the node closes.
func (n *Node) publishAllowances() {
	tick := time.NewTicker(allowance.PublishInterval)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.allowances.begun:
		case <-tick.C:
		}
		var members, unknown, contacts int
		if n.allowances.limited.Load() {
			n.peers.WithCore(func(c *peer.Core) {
				members = c.Members()
				unknown, contacts = c.UnknownContacts()
			})
		}
		n.setCounters(allowance.Prefix, n.allowances.counters(members, unknown, contacts))
	}
}

// useSums passes the mesh-wide sums to their users.
func (n *Node) useSums(p peer.PublishSums) {
	n.allowances.setSums(p)
	n.rolloutSums(p)
}
