package peer

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what the members of a domain hold of one of them.
type State uint8

// The states of a member, in the order of their weight: between two records
// of the same incarnation and sequence the heavier one wins.
const (
	Alive State = iota
	Suspect
	Dead
	// Leaving is final for its incarnation: it outranks every other state,
	// whatever the sequence, so that a late "alive" can't bring work back to a
	// node that is going.
	Leaving
)

// String returns the state's word in status output.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Bounds of a member's record.
const (
	maxTargets  = 16
	maxNameSize = 128
	// MaxMembers bounds the table, tombstones included.
	MaxMembers = 8192
)

// Target is one target that a node answers for.
type Target struct {
	Service  string `cbor:"1,keyasint"`
	Slots    int    `cbor:"2,keyasint"`
	Draining bool   `cbor:"3,keyasint,omitempty"`
}

// Member is a node's record: who it is, where it is and what it offers.
type Member struct {
	Host   string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	Region string `cbor:"3,keyasint"`
	// Peer and Call are the addresses for peers and for calls.
	PeerAddr string `cbor:"4,keyasint"`
	CallAddr string `cbor:"5,keyasint"`
	// Incarnation grows with each start of the node's process, Seq with each
	// change of its record within one incarnation.
	Incarnation uint64   `cbor:"6,keyasint"`
	Seq         uint64   `cbor:"7,keyasint,omitempty"`
	State       State    `cbor:"8,keyasint,omitempty"`
	Targets     []Target `cbor:"9,keyasint,omitempty"`
}

// live tells whether the member takes part: it may be suspected, but it was
// neither declared dead nor has it said that it leaves.
func (m *Member) live() bool { return m.State == Alive || m.State == Suspect }

// valid bounds what a peer may put into the table.
func (m *Member) valid() bool {
	for _, s := range []string{m.Host, m.Domain, m.Region, m.PeerAddr, m.CallAddr} {
		if s == "" || len(s) > maxNameSize {
			return false
		}
	}
	if m.State > Leaving || len(m.Targets) > maxTargets {
		return false
	}
	for i := range m.Targets {
		if len(m.Targets[i].Service) > maxNameSize {
			return false
		}
	}
	return true
}

// rank is what decides between two records of one host.
type rank struct {
	incarnation uint64
	seq         uint64
	state       State
}

func (m *Member) rank() rank { return rank{m.Incarnation, m.Seq, m.State} }

// supersedes tells whether a record with rank r replaces one with rank o.
func (r rank) supersedes(o rank) bool {
	if r.incarnation != o.incarnation {
		return r.incarnation > o.incarnation
	}
	if (r.state == Leaving) != (o.state == Leaving) {
		return r.state == Leaving
	}
	if r.seq != o.seq {
		return r.seq > o.seq
	}
	return r.state > o.state
}

// digest is the record's share of its domain's digest. Members that are gone
// have none: tombstones are forgotten at different times in different places
// and must not make digests differ.
func (m *Member) digest() uint64 {
	if !m.live() {
		return 0
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], m.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], m.Seq)
	d := xxhash.New()
	_, _ = d.WriteString(m.Host)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// record is a member as one node holds it.
type record struct {
	Member
	since time.Time // when this node learned the present state
	score uint64    // place in the order of the domain
}

// domain is the part of the table for one failure domain.
type domain struct {
	name         string
	region       string
	digest       uint64
	count        int
	order        []*record // live members by score; nil when it must be made anew
	lastReceived time.Time
}

// table is every member that a node knows of, by host and by domain. Its
// digests make comparing two tables cost some tens of bytes.
type table struct {
	byHost    map[string]*record
	domains   map[string]*domain
	root      uint64
	rootValid bool
}

func newTable() *table {
	return &table{
		byHost:  make(map[string]*record),
		domains: make(map[string]*domain),
	}
}

// score places a host in the order of its domain. It depends on nothing but
// the name, so that all nodes find the same order without agreeing on it.
func score(host string) uint64 { return xxhash.Sum64String(host) }

// put takes a record if it outranks the one held. It tells whether it did.
func (t *table) put(now time.Time, m Member) bool {
	old := t.byHost[m.Host]
	if old != nil && !m.rank().supersedes(old.rank()) {
		return false
	}
	if old == nil && len(t.byHost) >= MaxMembers {
		return false
	}
	if old != nil {
		t.removeFromDomain(old)
	}
	d := t.domain(m.Domain, m.Region)
	r := &record{Member: m, since: now, score: score(m.Host)}
	t.byHost[m.Host] = r
	d.digest ^= r.digest()
	if r.live() {
		d.count++
	}
	d.order = nil
	t.rootValid = false
	return true
}

func (t *table) removeFromDomain(r *record) {
	d := t.domains[r.Domain]
	d.digest ^= r.digest()
	if r.live() {
		d.count--
	}
	d.order = nil
	t.rootValid = false
}

// forget drops a record that has served its time as a tombstone.
func (t *table) forget(host string) {
	if r := t.byHost[host]; r != nil {
		t.removeFromDomain(r)
		delete(t.byHost, host)
	}
}

func (t *table) domain(name, region string) *domain {
	d := t.domains[name]
	if d == nil {
		d = &domain{name: name, region: region}
		t.domains[name] = d
	}
	return d
}

// members returns the live members of a domain in their order.
func (t *table) members(name string) []*record {
	d := t.domains[name]
	if d == nil {
		return nil
	}
	if d.order == nil {
		d.order = make([]*record, 0, d.count)
		for _, r := range t.byHost {
			if r.Domain == name && r.live() {
				d.order = append(d.order, r)
			}
		}
		sort.Slice(d.order, func(i, j int) bool {
			if d.order[i].score != d.order[j].score {
				return d.order[i].score < d.order[j].score
			}
			return d.order[i].Host < d.order[j].Host
		})
	}
	return d.order
}

// names returns the domains that have live members, sorted.
func (t *table) names() []string {
	names := make([]string, 0, len(t.domains))
	for name, d := range t.domains {
		if d.count > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// rootDigest is one number for the whole table.
func (t *table) rootDigest() uint64 {
	if t.rootValid {
		return t.root
	}
	t.root = 0
	for name, d := range t.domains {
		if d.count == 0 {
			continue
		}
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], d.digest)
		x := xxhash.New()
		_, _ = x.WriteString(name)
		_, _ = x.Write(b[:])
		t.root ^= x.Sum64()
	}
	t.rootValid = true
	return t.root
}
