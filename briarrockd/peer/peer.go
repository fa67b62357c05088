// Package peer is a node's share in the mesh: which members there are, which
// version of the configuration is the newest, and how both reach every node.
//
// The package is built like a state machine. A Core holds everything that a
// node knows. Step takes one message, something that happened, and returns
// commands, things to do:
//
//	h := peer.New(peer.Config{Self: me}, rand.New(rand.NewPCG(1, 2)), now)
//	for _, c := range h.Step(now, peer.LinkUp{Link: 1, Hello: hello}) {
//		// carry out c: dial, send, read the store, serve a version …
//	}
//
// A Core does no I/O, starts no goroutine and reads no clock, so a test can
// drive hundreds of them through any order of events. The shell in links.go
// does the I/O of one Core.
//
// # Links
//
// Nodes keep few, lasting links. Within a failure domain the live members
// have an order that all of them compute alike (by a hash of the host's
// name). The order is read as a tree of degree four, and as a chain: each
// node dials its parent in the tree and its predecessor in the chain. The
// first two of the order, the bridges, also link to the bridges of other
// domains; between regions only the first two bridges of a region do, and the
// second of these links stays quiet unless the first one fails to deliver.
//
// # Members
//
// A record belongs to one incarnation of one node. News of records floods
// along the links; heartbeats carry a digest of the whole table, and where
// two digests differ the two sides compare domain by domain and send each
// other what is missing. A member whose neighbours lose it is suspected, may
// object, and is declared dead if it doesn't.
//
// # Versions
//
// A node that learns of a newer version, from a peer's notice or from the
// head, fetches it from whoever told it, as a difference to the version that
// it has. It is checked whole (hash, inventory) before it is used, then
// announced on all other links. A version that is not above the one in use is
// never used.
//
// # What is in force
//
// Each node reports up the tree how many nodes below it use which version.
// The first of the order has the whole domain's count and tells the other
// domains.
package peer

import (
	"math/rand/v2"
	"time"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// TickInterval is how often a Core wants a Tick.
const TickInterval = 100 * time.Millisecond

// The times by which a Core decides.
const (
	// beatEvery is the time between heartbeats on a link.
	beatEvery = 2 * time.Second
	// silentAfter is how long a link may be silent before it is closed: two
	// heartbeats lost and some delay.
	silentAfter = 5 * time.Second
	// reverseAfter is how long a neighbour that should dial may be missing
	// before this node dials it.
	reverseAfter = time.Second
	// suspectAfter is how long a neighbour may be without a link.
	suspectAfter = 3 * time.Second
	// deadAfter is how long a suspect has for its objection.
	deadAfter = 4 * time.Second
	// forgetAfter is how long a tombstone is kept.
	forgetAfter = 10 * time.Minute
	// staleAfter is how long a domain may be unheard of before it is stale.
	staleAfter = 8 * time.Second
)

// Config is what a Core must be told.
type Config struct {
	// Self is the node's own record, with its first incarnation.
	Self Member
	// Contacts are addresses of some peers, to find the others by.
	Contacts []string
	// StoreRegion is the region of the platform's store, if known: its nodes
	// do the regular reads, which then cost nothing on the paid link.
	StoreRegion string
	// Hosts is about how many nodes the mesh has. A node that starts together
	// with all the others can't know it otherwise.
	ExpectedHosts int
	// Bootstrap is set when the whole mesh starts for the first time: nobody is
	// there yet to be found.
	Bootstrap bool
	// DelegatePolling is set where the platform's adapter does the reading: the Core
	// says who is to poll (Watch) and is told what was found (Committed,
	// Polled). It then reads nothing itself.
	DelegatePolling bool
}

// Core is everything that a node knows and decides about its peers. Its zero
// value is not useful; New makes one.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Time
	cmds []Cmd

	self  Member
	table *table
	links map[LinkID]*link
	// byHost is the one link that is used for each linked host.
	byHost map[string]*link
	dials  map[string]*dialing

	lost       map[string]time.Time // neighbours without a link, since when
	updates    map[string]bool      // hosts whose records are still to be sent
	updateFrom map[string]LinkID    // and the link that each came over
	changed    bool                 // members changed since the last Publish
	nextTry    time.Time            // next attempt at a contact or a tombstone
	nextSweep  time.Time

	version versions
	watch   watch
	stored  contacts
	report  reports
	holds   holds
}

// link is one open link.
type link struct {
	id       LinkID
	host     string
	domain   string
	region   string
	outbound bool
	lazy     bool
	heardAt  time.Time
	beatAt   time.Time // next heartbeat to send
	openedAt time.Time
	// differs counts the heartbeats in a row whose digest was not ours.
	differs int
	// version is the highest version that the peer is known to hold, told the
	// one that it was last told of.
	version uint64
	told    uint64
	toldAt  time.Time
	// owed is when a lazy link is to be told of a version, if still needed.
	owed time.Time
	// introduces is until when the link only leads a newcomer to its own domain.
	introduces time.Time
	// unwanted is since when the topology has had no use for the link.
	unwanted time.Time
}

// dialing is what is known of an address that links were sought to.
type dialing struct {
	host   string
	busy   bool
	fails  int
	nextAt time.Time
}

// New returns a Core that knows only itself and its contacts. rng decides
// all that is spread at random.
func New(cfg Config, rng *rand.Rand, now time.Time) *Core {
	h := &Core{
		cfg:        cfg,
		rng:        rng,
		now:        now,
		self:       cfg.Self,
		table:      newTable(),
		links:      make(map[LinkID]*link),
		byHost:     make(map[string]*link),
		dials:      make(map[string]*dialing),
		lost:       make(map[string]time.Time),
		updates:    make(map[string]bool),
		updateFrom: make(map[string]LinkID),
		changed:    true,
	}
	h.version = newVersions()
	h.watch = newWatch(now, h.jitter(joinSpread))
	h.report = newReports()
	h.holds = newHolds()
	h.table.put(now, h.self)
	return h
}

// Step takes what happened at now and returns what to do. Times must not go
// back from one call to the next.
func (h *Core) Step(now time.Time, m Msg) []Cmd {
	h.now = now
	h.cmds = nil
	switch m := m.(type) {
	case Tick:
		h.tick()
	case LinkUp:
		h.linkUp(m)
	case LinkDown:
		h.linkDown(m.Link)
	case DialFailed:
		h.dialFailed(m)
	case Received:
		h.received(m)
	case TargetsChanged:
		h.targetsChanged(m.Targets)
	case HeadRead:
		h.headRead(m)
	case ObjectRead:
		h.objectRead(m)
	case ContactsRead:
		h.contactsRead(m)
	case Committed:
		h.committed(m)
	case Polled:
		h.polled(m)
	case PollFailed:
		h.pollFailed()
	case Crashed:
		h.crashed(m)
	case Leave:
		h.leave()
	}
	return h.cmds
}

func (h *Core) do(c Cmd) { h.cmds = append(h.cmds, c) }

func (h *Core) log(e event.Event, f event.Fields) { h.do(Log{e, f}) }

func (h *Core) send(l *link, f Frame) { h.do(Send{l.id, f}) }

// jitter is a random time below d.
func (h *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(d) + 1))
}

func (h *Core) tick() {
	h.flushUpdates()
	h.topology()
	h.tickLinks()
	h.tickMembers()
	h.tickVersion()
	h.tickWatch()
	h.updateWatchRole()
	h.tickContacts()
	h.tickReport()
	h.tickHolds()
	if h.changed {
		h.changed = false
		h.do(PublishMembers{h.members()})
	}
}

// members copies the live members, this node included.
func (h *Core) members() []Member {
	out := make([]Member, 0, len(h.table.byHost))
	for _, name := range h.table.names() {
		for _, r := range h.table.members(name) {
			out = append(out, r.Member)
		}
	}
	return out
}

func (h *Core) received(m Received) {
	l := h.links[m.Link]
	if l == nil {
		return
	}
	l.heardAt = h.now
	h.table.domain(l.domain, l.region).heardAt = h.now
	switch f := m.Frame.(type) {
	case Heartbeat:
		h.beat(l, f)
	case Digests:
		h.digests(l, f)
	case Listing:
		h.listing(l, f)
	case RecordRequest:
		h.wants(l, f)
	case Records:
		h.records(l, f)
	case VersionNotice:
		h.notice(l, f)
	case Fetch:
		h.fetch(l, f)
	case Content:
		h.content(l, f)
	case Report:
		h.reported(l, f)
	case Summary:
		h.summary(l, f)
	case CrashReport:
		h.hold(l, f)
	case VersionAck:
		h.have(l, f)
	case FloorNotice:
		h.observeFloor(l.id, f.Version)
	case PollNotice:
		h.fresh(l, f)
	default:
		// A second Hello on an open link is of no use to an honest peer.
		h.log(event.PeerGarbage, event.Fields{event.Subject: l.host})
		h.do(CloseLink{l.id})
	}
}

func (h *Core) hello(l *link) Hello {
	hi := Hello{
		Member:      h.self,
		Version:     h.version.number,
		Hash:        h.version.hash,
		HeadAge:     age(h.now, h.watch.freshAt),
		Cursor:      h.watch.seen,
		RemoteFloor: h.version.outside,
		Members:     h.Members(),
	}
	if l != nil {
		hi.Lazy = l.lazy
		hi.Floor = h.version.seen[l.host]
		hi.DomainFloor = h.version.domains[l.domain]
		if r := h.table.byHost[l.host]; r != nil {
			hi.KnownIncarnation = r.Incarnation
		}
	}
	return hi
}

// Version returns the version in use and its hash; 0 before the first.
func (h *Core) Version() (uint64, snapshot.Hash) { return h.version.number, h.version.hash }

// Ready tells whether the node may serve: see versions.ready.
func (h *Core) Ready() bool { return h.version.ready }

// Links returns how many links are open.
func (h *Core) Links() int { return len(h.links) }

// Members returns how many live members are known, this node included.
func (h *Core) Members() int {
	n := 0
	for _, d := range h.table.domains {
		n += d.count
	}
	return n
}
