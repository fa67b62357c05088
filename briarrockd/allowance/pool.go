package allowance

import "time"

// Nodes that vanish may be dead, or cut off and still serving. Their part of each
// allowance stays reserved until that is settled, so that each side of a partition
// keeps to its part of the last common shares. A node publishes its base: its share at
// the last time that all members were connected for baseDelay. The part of an allowance
// that the connected nodes may use is the sum of their bases, relative to the sum before
// nodes vanished. A vanished node's base is released after two windows, if at the end all
// live members are connected: those that were cut off are back, restarted, or have been
// declared dead. Nodes without a base count with uniformBase.
const (
	// baseDelay is the age of the shares that become bases. It is longer than the time
	// in which a partition goes unnoticed (peer.sumsTimeout), in which the sides see
	// different shares.
	baseDelay = 3 * time.Second
	// calmDelay is how long a new process waits until the sums show whether other nodes have
	// vanished with the process before it.
	calmDelay = 2 * sumsLate
	// uniformBase is the part of each allowance that is reserved for nodes by their
	// number instead of their demand, so that a side without callers can serve some.
	uniformBase = 0.2
	// unknownPart is the part of the allowances that nodes use while it is unknown what
	// has been used before, after all of them were killed. It is reduced by the part of
	// the contacts that are unknown members: these may be on the other side of a
	// partition. After contactsFor such contacts count as gone.
	unknownPart = 0.5
	contactsFor = time.Minute
	// aloneFor is how long a node without any other keeps its part: then the others
	// have declared it dead and have released it. aloneForget is when it takes itself
	// for the only one.
	aloneFor    = 12 * time.Second
	aloneForget = 10 * time.Minute
)

// mesh is a node's view of the mesh.
type mesh struct {
	members int
	// contacts is the part of the contacts that are known members.
	contacts  float64
	nodes     float64
	ids       uint64    // sum of the random numbers of all nodes' processes
	heardAt   time.Time // when sums last arrived
	changedAt time.Time // when the set of processes last changed
	// completeSince is since when all live members are included in the sums.
	complete      bool
	completeSince time.Time
	started       time.Time
	// unknown is set until a new process has learned the mesh-wide use.
	unknown    bool
	aloneSince time.Time
	alone      bool
	// unseen is the pool of the workspaces that no node has a base for.
	unseen pool
}

// pool is what is reserved of one allowance.
type pool struct {
	base, nodes        float64 // of the connected nodes
	refBase, refNodes  float64 // with those that have vanished
	pending            []vanished
	candidate, ownBase float64
	candidateAt        time.Time
}

// vanished is what has vanished at one time, and until when it is reserved.
type vanished struct {
	base, nodes float64
	until       time.Time
}

func newMesh(now time.Time) mesh {
	return mesh{started: now, unknown: true, changedAt: now, contacts: 1}
}

// size returns the number of nodes in the sums or of live members, whichever is more.
func (m *mesh) size() float64 { return max(m.nodes, float64(m.members), 1) }

// part returns the part of an allowance that the connected nodes may use.
func (m *mesh) part(p *pool) float64 {
	switch {
	case m.alone:
		return 0
	case m.unknown && p.base > 0:
		return min(p.base, 1)
	case m.unknown:
		return unknownPart * m.contacts
	case p.refNodes == 0:
		return 1
	}
	// What is not covered by bases belongs to the nodes by their number.
	ref := max(p.refBase, 1)
	based := (1 - uniformBase) / ref
	return min(based*p.base+(1-based*p.refBase)*min(p.nodes/p.refNodes, 1), 1)
}

// update applies new sums of bases and nodes to a pool.
func (p *pool) update(now time.Time, m *mesh, base float64, changed bool, reserve time.Duration) {
	v := vanished{base: max(p.base-base, 0), nodes: max(p.nodes-m.nodes, 0), until: now.Add(reserve)}
	p.base, p.nodes = base, m.nodes
	if changed && (v.base > 0 || v.nodes > 0) {
		p.pending = append(p.pending, v)
	}
	kept := p.pending[:0]
	for _, v := range p.pending {
		switch {
		case now.Before(v.until):
			kept = append(kept, v)
		case !m.complete || now.Sub(m.completeSince) < reserve:
			kept = append(kept, v)
		default:
			p.refBase = max(p.refBase-v.base, p.base)
			p.refNodes = max(p.refNodes-v.nodes, p.nodes)
		}
	}
	p.pending = kept
	if len(p.pending) == 0 {
		p.pending = nil
		p.refBase, p.refNodes = p.base, p.nodes
	}
	p.refBase, p.refNodes = max(p.refBase, p.base), max(p.refNodes, p.nodes)
}

// setBase makes a share the node's base once it has held for baseDelay without a change
// of the processes.
func (p *pool) setBase(now time.Time, m *mesh, share float64) {
	if !m.complete || m.unknown || m.changedAt.After(p.candidateAt) {
		p.candidate, p.candidateAt = p.scaled(share), now
		return
	}
	if now.Sub(p.candidateAt) < baseDelay {
		return
	}
	p.ownBase = p.candidate
	p.candidate, p.candidateAt = p.scaled(share), now
}

// scaled returns the base for a share. While bases are reserved, the sum over the
// connected nodes stays what it is.
func (p *pool) scaled(share float64) float64 {
	if len(p.pending) > 0 {
		return share * min(p.base, 1)
	}
	return share
}

// SetMembers sets the number of live members of the mesh, this node included, and how
// many of the contacts in its settings are not known as members.
func (l *Limiter) SetMembers(now time.Time, members, unknownContacts, contacts int) {
	l.mesh.members = members
	l.mesh.contacts = 1
	if contacts > 0 {
		l.mesh.contacts = 1 - float64(unknownContacts)/float64(contacts)
	}
	l.mesh.setComplete(now)
}

func (m *mesh) setComplete(now time.Time) {
	complete := m.members > 0 && int(m.nodes) >= m.members
	if complete && !m.complete {
		m.completeSince = now
	}
	m.complete = complete
}

// setNodes applies the number of nodes and the sum of their processes' numbers. It
// returns whether the set of processes has changed.
func (m *mesh) setNodes(now time.Time, nodes float64, ids uint64) bool {
	changed := nodes != m.nodes || ids != m.ids
	m.heardAt = now
	if changed {
		m.nodes, m.ids, m.changedAt = nodes, ids, now
	}
	m.setComplete(now)
	switch {
	case nodes > 1:
		m.aloneSince = time.Time{}
	case m.aloneSince.IsZero() && m.members > 1:
		m.aloneSince = now
	}
	alone := now.Sub(m.aloneSince)
	m.alone = !m.aloneSince.IsZero() && alone > aloneFor && alone < aloneForget
	return changed
}
