// Package peer is a node's share in the mesh: which members there are, which
// version of the configuration is the newest, and how both reach every node.
//
// The package is built like a state machine. A Core holds everything that a
// node knows. Step takes one message, something that happened, and returns
// commands, things to do:
//
//	c := peer.New(peer.Config{Self: me}, rand.New(rand.NewPCG(1, 2)), now)
//	for _, cmd := range c.Step(now, peer.LinkUp{Link: 1, Hello: hello}) {
//		// carry out cmd: dial, send, read the store, serve a version …
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
	c := &Core{
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
	c.version = newVersions()
	c.watch = newWatch(now, c.jitter(joinSpread))
	c.report = newReports()
	c.holds = newHolds()
	c.table.put(now, c.self)
	return c
}

// Step takes what happened at now and returns what to do. Times must not go
// back from one call to the next.
func (c *Core) Step(now time.Time, m Msg) []Cmd {
	c.now = now
	c.cmds = nil
	switch m := m.(type) {
	case Tick:
		c.tick()
	case LinkUp:
		c.linkUp(m)
	case LinkDown:
		c.linkDown(m.Link)
	case DialFailed:
		c.dialFailed(m)
	case Received:
		c.received(m)
	case TargetsChanged:
		c.targetsChanged(m.Targets)
	case HeadRead:
		c.headRead(m)
	case ObjectRead:
		c.objectRead(m)
	case ContactsRead:
		c.contactsRead(m)
	case Committed:
		c.committed(m)
	case Polled:
		c.polled(m)
	case PollFailed:
		c.pollFailed()
	case Crashed:
		c.crashed(m)
	case Leave:
		c.leave()
	}
	return c.cmds
}

func (c *Core) do(cmd Cmd) { c.cmds = append(c.cmds, cmd) }

func (c *Core) log(e event.Event, f event.Fields) { c.do(Log{e, f}) }

func (c *Core) send(l *link, f Frame) { c.do(Send{l.id, f}) }

// jitter is a random time below d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

func (c *Core) tick() {
	c.flushUpdates()
	c.topology()
	c.tickLinks()
	c.tickMembers()
	c.tickVersion()
	c.tickWatch()
	c.updateWatchRole()
	c.tickContacts()
	c.tickReport()
	c.tickHolds()
	if c.changed {
		c.changed = false
		c.do(PublishMembers{c.members()})
	}
}

// members copies the live members, this node included.
func (c *Core) members() []Member {
	out := make([]Member, 0, len(c.table.byHost))
	for _, name := range c.table.names() {
		for _, r := range c.table.members(name) {
			out = append(out, r.Member)
		}
	}
	return out
}

func (c *Core) received(m Received) {
	l := c.links[m.Link]
	if l == nil {
		return
	}
	l.heardAt = c.now
	c.table.domain(l.domain, l.region).heardAt = c.now
	switch f := m.Frame.(type) {
	case Heartbeat:
		c.beat(l, f)
	case Digests:
		c.digests(l, f)
	case Listing:
		c.listing(l, f)
	case RecordRequest:
		c.wants(l, f)
	case Records:
		c.records(l, f)
	case VersionNotice:
		c.notice(l, f)
	case Fetch:
		c.fetch(l, f)
	case Content:
		c.content(l, f)
	case Report:
		c.reported(l, f)
	case Summary:
		c.summary(l, f)
	case CrashReport:
		c.hold(l, f)
	case VersionAck:
		c.have(l, f)
	case FloorNotice:
		c.observeFloor(l.id, f.Version)
	case PollNotice:
		c.fresh(l, f)
	default:
		// A second Hello on an open link is of no use to an honest peer.
		c.log(event.PeerGarbage, event.Fields{event.Subject: l.host})
		c.do(CloseLink{l.id})
	}
}

func (c *Core) hello(l *link) Hello {
	hi := Hello{
		Member:      c.self,
		Version:     c.version.number,
		Hash:        c.version.hash,
		HeadAge:     age(c.now, c.watch.freshAt),
		Cursor:      c.watch.seen,
		RemoteFloor: c.version.outside,
		Members:     c.Members(),
	}
	if l != nil {
		hi.Lazy = l.lazy
		hi.Floor = c.version.seen[l.host]
		hi.DomainFloor = c.version.domains[l.domain]
		if r := c.table.byHost[l.host]; r != nil {
			hi.KnownIncarnation = r.Incarnation
		}
	}
	return hi
}

// Version returns the version in use and its hash; 0 before the first.
func (c *Core) Version() (uint64, snapshot.Hash) { return c.version.number, c.version.hash }

// Ready tells whether the node may serve: see versions.ready.
func (c *Core) Ready() bool { return c.version.ready }

// Links returns how many links are open.
func (c *Core) Links() int { return len(c.links) }

// Members returns how many live members are known, this node included.
func (c *Core) Members() int {
	n := 0
	for _, d := range c.table.domains {
		n += d.count
	}
	return n
}
