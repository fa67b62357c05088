package peer

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member.
type State uint8

// The states of a member, in ascending precedence: of two records with the same
// incarnation and sequence number the one with the higher state wins.
const (
	Alive State = iota
	Suspect
	Dead
	// Leaving is final for its incarnation. It takes precedence over every other state,
	// whatever the sequence number, so that a delayed Alive record can't route work to
	// a node that is shutting down.
	Leaving
)

// String returns the name of the state in status output.
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

// Limits of a member's record.
const (
	maxTargets = 16
	// maxNameSize bounds each name and address, in bytes.
	maxNameSize = 128
	// MaxMembers is the maximum number of records in the table, tombstones included.
	MaxMembers = 8192
	// maxRevision bounds the incarnation and the sequence number of a record from a peer.
	// No clock and no process gets there, and a host can refute a record only with a higher
	// number.
	maxRevision = 1 << 53
)

// Target describes one target that a node serves.
type Target struct {
	Service  string `cbor:"1,keyasint"`
	Slots    int    `cbor:"2,keyasint"`           // calls that it runs at the same time
	Draining bool   `cbor:"3,keyasint,omitempty"` // takes no new calls
	// Version is the version of its software; empty if unknown.
	Version string `cbor:"4,keyasint,omitempty"`
}

// Member is the record of a node: its identity, location and targets.
type Member struct {
	Host   string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	Region string `cbor:"3,keyasint"`
	// PeerAddr and CallAddr are the addresses for gossip and for calls.
	PeerAddr string `cbor:"4,keyasint"`
	CallAddr string `cbor:"5,keyasint"`
	// Incarnation increases with each start of the node's process, Seq with each change
	// of its record within one incarnation.
	Incarnation uint64   `cbor:"6,keyasint"`
	Seq         uint64   `cbor:"7,keyasint,omitempty"`
	State       State    `cbor:"8,keyasint,omitempty"`
	Targets     []Target `cbor:"9,keyasint,omitempty"`
}

// live reports whether the member takes part in the mesh. A suspected member is live;
// one that is dead or leaving is not.
func (m *Member) live() bool { return m.State == Alive || m.State == Suspect }

// valid reports whether a record received from a peer is complete and within its limits.
func (m *Member) valid() bool {
	for _, s := range []string{m.Host, m.Domain, m.Region, m.PeerAddr, m.CallAddr} {
		if s == "" || len(s) > maxNameSize {
			return false
		}
	}
	if m.State > Leaving || len(m.Targets) > maxTargets || max(m.Incarnation, m.Seq) >= maxRevision {
		return false
	}
	for i := range m.Targets {
		if max(len(m.Targets[i].Service), len(m.Targets[i].Version)) > maxNameSize || m.Targets[i].Slots < 0 || m.Targets[i].Slots > math.MaxInt32 {
			return false
		}
	}
	return true
}

// rank decides which of two records of one host is newer.
type rank struct {
	incarnation uint64
	seq         uint64
	state       State
}

func (m *Member) rank() rank { return rank{m.Incarnation, m.Seq, m.State} }

// supersedes reports whether a record of rank r replaces one of rank o.
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

// digest returns the record's contribution to the digest of its domain. It is 0 for
// members that are not live: nodes delete tombstones at different times, which must not
// make digests differ.
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

// record is a member's record as stored in the table.
type record struct {
	Member
	since time.Time // when this node recorded the current state
	score uint64    // sort key in the order of the domain; see score
}

// domain is the part of the table for one failure domain.
type domain struct {
	name         string
	region       string
	digest       uint64               // XOR of the digests of its records
	count        int                  // number of live members
	order        []*record            // live members by score
	tree         map[string]*position // of the live members; nil if it must be rebuilt
	lastReceived time.Time            // when a frame last arrived over a link to the domain
}

// table holds the records of all known members, by host and by domain. Two tables can
// be compared by exchanging digests, which takes some tens of bytes.
type table struct {
	byHost    map[string]*record
	domains   map[string]*domain
	root      uint64 // cached rootDigest
	rootValid bool   // false if root must be recomputed
}

func newTable() *table {
	return &table{
		byHost:  make(map[string]*record),
		domains: make(map[string]*domain),
	}
}

// score returns the sort key of a host in the order of its domain. It depends only on
// the host name, so that all nodes compute the same order without coordination.
func score(host string) uint64 { return xxhash.Sum64String(host) }

// put stores a record if it supersedes the stored one, and reports whether it did. The number of
// members and of domains is bounded.
func (t *table) put(now time.Time, m Member) bool {
	old := t.byHost[m.Host]
	if old != nil && !m.rank().supersedes(old.rank()) {
		return false
	}
	if old == nil && len(t.byHost) >= MaxMembers {
		return false
	}
	d := t.domains[m.Domain]
	if d == nil && m.live() {
		if len(t.domains) >= maxDomains {
			return false
		}
		d = &domain{name: m.Domain, region: m.Region}
		t.domains[m.Domain] = d
	}
	r := &record{Member: m, since: now, score: score(m.Host)}
	t.byHost[m.Host] = r
	if old != nil && old.Domain == m.Domain && old.live() && r.live() {
		// The order stays, and with it the tree.
		i, _ := d.search(r)
		d.order[i] = r
		d.digest ^= old.digest() ^ r.digest()
		t.rootValid = false
		return true
	}
	if old != nil {
		t.removeFromDomain(old)
	}
	if r.live() {
		d.digest ^= r.digest()
		d.insert(r)
	}
	t.rootValid = false
	return true
}

// removeFromDomain removes a record from its domain, and the domain with its last live member.
func (t *table) removeFromDomain(r *record) {
	if !r.live() {
		return
	}
	d := t.domains[r.Domain]
	d.digest ^= r.digest()
	d.remove(r)
	if d.count == 0 {
		delete(t.domains, d.name)
	}
	t.rootValid = false
}

// search returns the place of a record in the order, and whether its host is there.
func (d *domain) search(r *record) (int, bool) {
	return slices.BinarySearchFunc(d.order, r, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Host, b.Host))
	})
}

// insert and remove replace the order, since callers change members while they iterate.
func (d *domain) insert(r *record) {
	i, _ := d.search(r)
	d.order = slices.Concat(d.order[:i], []*record{r}, d.order[i:])
	d.tree = nil
	d.count++
}

func (d *domain) remove(r *record) {
	if i, ok := d.search(r); ok {
		d.order = slices.Concat(d.order[:i], d.order[i+1:])
		d.tree = nil
		d.count--
	}
}

// forget deletes the record of a host.
func (t *table) forget(host string) {
	if r := t.byHost[host]; r != nil {
		t.removeFromDomain(r)
		delete(t.byHost, host)
	}
}

// receive records that a frame has arrived from a domain.
func (t *table) receive(now time.Time, name string) {
	if d := t.domains[name]; d != nil {
		d.lastReceived = now
	}
}

// members returns the live members of a domain in the order of the domain.
func (t *table) members(name string) []*record {
	if d := t.domains[name]; d != nil {
		return d.order
	}
	return nil
}

// position returns a member's place in the tree of its domain; nil if it is not live.
func (t *table) position(domain, host string) *position {
	d := t.domains[domain]
	if d == nil {
		return nil
	}
	if d.tree == nil {
		d.tree = newTree(d.order)
	}
	return d.tree[host]
}

// neighbours returns a member's neighbours in its domain: its parent and its children in
// the tree, and those before and after it in the order. There are none if it is not live.
func (t *table) neighbours(domain, host string) []*record {
	p := t.position(domain, host)
	if p == nil {
		return nil
	}
	order := t.members(domain)
	i, _ := t.domains[domain].search(t.byHost[host])
	var out []*record
	if p.parent != "" {
		out = append(out, t.byHost[p.parent])
	}
	if i > 0 && order[i-1].Host != p.parent {
		out = append(out, order[i-1])
	}
	if i+1 < len(order) && !slices.Contains(p.children, order[i+1].Host) {
		out = append(out, order[i+1])
	}
	for _, child := range p.children {
		out = append(out, t.byHost[child])
	}
	return out
}

// names returns the names of all domains with live members, sorted.
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

// rootDigest returns the digest of the whole table.
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
