package allowance

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Prefix is the prefix of the keys of the counters. The key Prefix itself is that of the
// node: 1, the random number of its process, and 1 if the node is calm: it has the
// mesh-wide use, and few nodes have vanished from the sums. The key of a workspace is
// followed by its name; its counters are used, refused, demand and base.
const Prefix = "a/"

// Units of the counters of demand, in requests a second, and of base.
const (
	demandUnit = 1e-3
	baseUnit   = 1e-6
)

const (
	// demandStep is the relative change of the demand that is published.
	demandStep = 0.1
	// usedStep is the part of the bound that the changes of used which all nodes
	// together don't publish may add up to.
	usedStep = 0.02
	// leastDemand is the demand in requests a second below which a workspace is
	// forgotten; it is reached two minutes after a single request.
	leastDemand = 5e-4
)

func value(v []uint64, i int) float64 {
	if i >= len(v) {
		return 0
	}
	return float64(v[i])
}

// SetSums applies the mesh-wide sums of the counters.
func (l *Limiter) SetSums(now time.Time, sums map[string][]uint64) {
	m := &l.mesh
	id := uint64(0)
	if own := sums[Prefix]; len(own) > 1 {
		id = own[1]
	}
	changed := m.setNodes(now, value(sums[Prefix], 0), id)
	m.unseen.update(now, m, 0, changed, 2*l.cfg.Window)
	known := false
	for key, v := range sums {
		name, ok := strings.CutPrefix(key, Prefix)
		limit, limited := l.limits[name]
		if !ok || name == "" || !limited {
			continue
		}
		w := l.workspace(now, name, limit)
		w.sums = published{
			used: value(v, 0), refused: value(v, 1),
			demand: value(v, 2) * demandUnit, base: value(v, 3) * baseUnit,
		}
		known = known || w.sums.base > 0
	}
	l.learn(now, known, 2*value(sums[Prefix], 2) > m.nodes)
	for name, w := range l.workspaces {
		if sums[Prefix+name] == nil {
			w.sums = published{}
		}
		l.refill(w, now)
		w.pool.update(now, m, w.sums.base, changed, 2*l.cfg.Window)
		w.setShare()
		w.pool.setBase(now, m, w.share)
	}
}

// learn ends the time in which the sums may miss what earlier processes have used: after
// calmDelay if most nodes are calm, so that none were killed together with the process
// before it, after baseDelay if other nodes have bases, and otherwise once all uses of
// earlier processes are out of the window.
func (l *Limiter) learn(now time.Time, othersKnow, calm bool) {
	m := &l.mesh
	if !m.unknown {
		return
	}
	if calm && now.Sub(m.started) > calmDelay {
		m.unknown = false
		return
	}
	if !m.complete || now.Sub(m.completeSince) < sumsLate {
		return
	}
	settled := m.contacts == 1 || now.Sub(m.started) > contactsFor
	if (settled && now.Sub(m.started) > l.cfg.Window+sumsLate) || (othersKnow && now.Sub(m.started) > baseDelay) {
		m.unknown = false
	}
}

// setShare sets the node's share by the newest total.
func (w *workspace) setShare() {
	share := 0.0
	if least := slices.Min(w.demands[:]); least > 0 && w.sums.demand > 0 {
		share = min(least/w.sums.demand, 1)
	}
	w.shares[shareHistory-1] = share
	w.share = slices.Min(w.shares[:])
}

// Counters returns the node's counters to publish; nil if there are no limits.
func (l *Limiter) Counters(now time.Time) map[string][]uint64 {
	if len(l.limits) == 0 {
		return nil
	}
	calm := uint64(0)
	if !l.mesh.unknown && l.fewMissing(l.mesh.part(&l.mesh.unseen)) {
		calm = 1
	}
	out := map[string][]uint64{Prefix: {1, l.id, calm}}
	for name, w := range l.workspaces {
		l.roll(w, now)
		p := l.publish(w, now)
		copy(w.demands[:], w.demands[1:])
		copy(w.shares[:], w.shares[1:])
		copy(w.recentUse[:], w.recentUse[1:])
		w.recentUse[demandHistory-1] = w.sums.used
		w.demands[demandHistory-1] = p.demand
		if p == (published{}) {
			if w.sums == p && w.meanDemand(now) < leastDemand && len(w.pool.pending) == 0 {
				delete(l.workspaces, name)
			}
			continue
		}
		out[Prefix+name] = []uint64{
			uint64(p.used), uint64(p.refused), uint64(math.Round(p.demand / demandUnit)), uint64(math.Round(p.base / baseUnit)),
		}
	}
	return out
}

// publish returns the counters of a workspace. Small changes are left out, since each
// change is sent to all nodes.
func (l *Limiter) publish(w *workspace, now time.Time) published {
	old := &w.published
	step := usedStep * l.bound(w.limit, 0) / max(l.mesh.nodes, 1)
	// The oldest slot has left the window by the time the others receive the sums.
	used, refused := float64(w.used.last(slots-1)), float64(w.refused.total())
	if used == 0 || math.Abs(used-old.used) > step {
		old.used = used
	}
	if refused == 0 || math.Abs(refused-old.refused) > max(step, refused*demandStep) {
		old.refused = refused
	}
	demand := w.demand(l, now)
	if demand < leastDemand {
		demand = 0
	}
	if demand == 0 || math.Abs(demand-old.demand) > demandStep*old.demand {
		old.demand = math.Ceil(demand/demandUnit) * demandUnit
	}
	base := w.pool.ownBase
	if base < uniformBase*baseUnit {
		base = 0
	}
	if base == 0 || math.Abs(base-old.base) > demandStep*old.base {
		old.base = base
	}
	return *old
}
