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
	// heartbeatInterval is the time between heartbeats on a link.
	heartbeatInterval = 2 * time.Second
	// linkSilenceTimeout is how long a link may be silent before it is closed: two
	// heartbeats lost and some delay.
	linkSilenceTimeout = 5 * time.Second
	// reverseDialDelay is how long a neighbour that should dial may be missing
	// before this node dials it.
	reverseDialDelay = time.Second
	// suspectDelay is how long a neighbour may be without a link.
	suspectDelay = 3 * time.Second
	// suspicionTimeout is how long a suspect has for its objection.
	suspicionTimeout = 4 * time.Second
	// tombstoneTTL is how long a tombstone is kept.
	tombstoneTTL = 10 * time.Minute
	// domainStaleAfter is how long a domain may be unheard of before it is stale.
	domainStaleAfter = 8 * time.Second
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
	// linkByHost is the one link that is used for each linked host.
	linkByHost map[string]*link
	dials      map[string]*dialState

	missingSince   map[string]time.Time // neighbours without a link, since when
	pendingUpdates map[string]bool      // hosts whose records are still to be sent
	updateSource   map[string]LinkID    // and the link that each came over
	membersChanged bool                 // members changed since the last Publish
	nextRejoin     time.Time            // next attempt at a contact or a tombstone
	nextSweep      time.Time

	version  versions
	watch    headWatch
	contacts contactRows
	reports  reports
	crashes  crashTable
}

// link is one open link.
type link struct {
	id            LinkID
	host          string
	domain        string
	region        string
	outbound      bool
	lazy          bool
	lastReceived  time.Time
	nextHeartbeat time.Time // next heartbeat to send
	openedAt      time.Time
	// digestMismatches counts the heartbeats in a row whose digest was not ours.
	digestMismatches int
	// version is the highest version that the peer is known to hold, told the
	// one that it was last told of.
	version     uint64
	announced   uint64
	announcedAt time.Time
	// lazyNoticeAt is when a lazy link is to be told of a version, if still needed.
	lazyNoticeAt time.Time
	// introductionUntil is until when the link only leads a newcomer to its own domain.
	introductionUntil time.Time
	// unwantedSince is since when the topology has had no use for the link.
	unwantedSince time.Time
}

// dialState is what is known of an address that links were sought to.
type dialState struct {
	host       string
	inProgress bool
	failures   int
	nextAt     time.Time
}

// New returns a Core that knows only itself and its contacts. rng decides
// all that is spread at random.
func New(cfg Config, rng *rand.Rand, now time.Time) *Core {
	c := &Core{
		cfg:            cfg,
		rng:            rng,
		now:            now,
		self:           cfg.Self,
		table:          newTable(),
		links:          make(map[LinkID]*link),
		linkByHost:     make(map[string]*link),
		dials:          make(map[string]*dialState),
		missingSince:   make(map[string]time.Time),
		pendingUpdates: make(map[string]bool),
		updateSource:   make(map[string]LinkID),
		membersChanged: true,
	}
	c.version = newVersions()
	c.watch = newWatch(now, c.jitter(startJitter))
	c.reports = newReports()
	c.crashes = newCrashTable()
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
		c.onLinkUp(m)
	case LinkDown:
		c.onLinkDown(m.Link)
	case DialFailed:
		c.onDialFailed(m)
	case Received:
		c.onFrame(m)
	case TargetsChanged:
		c.onTargetsChanged(m.Targets)
	case HeadRead:
		c.onHeadRead(m)
	case ObjectRead:
		c.onObjectRead(m)
	case ContactsRead:
		c.onContactsRead(m)
	case Committed:
		c.onCommitted(m)
	case Polled:
		c.onPolled(m)
	case PollFailed:
		c.onPollFailed()
	case Crashed:
		c.onCrashed(m)
	case Leave:
		c.leave()
	}
	return c.cmds
}

func (c *Core) emit(cmd Cmd) { c.cmds = append(c.cmds, cmd) }

func (c *Core) log(e event.Event, f event.Fields) { c.emit(Log{e, f}) }

func (c *Core) send(l *link, f Frame) { c.emit(Send{l.id, f}) }

// jitter is a random time below d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

func (c *Core) tick() {
	c.flushUpdates()
	c.maintainLinks()
	c.tickLinks()
	c.tickMembers()
	c.tickVersion()
	c.tickWatch()
	c.updatePollRole()
	c.tickContacts()
	c.tickReport()
	c.tickCrashes()
	if c.membersChanged {
		c.membersChanged = false
		c.emit(PublishMembers{c.liveMembers()})
	}
}

// liveMembers copies the live members, this node included.
func (c *Core) liveMembers() []Member {
	out := make([]Member, 0, len(c.table.byHost))
	for _, name := range c.table.names() {
		for _, r := range c.table.members(name) {
			out = append(out, r.Member)
		}
	}
	return out
}

func (c *Core) onFrame(m Received) {
	l := c.links[m.Link]
	if l == nil {
		return
	}
	l.lastReceived = c.now
	c.table.domain(l.domain, l.region).lastReceived = c.now
	switch f := m.Frame.(type) {
	case Heartbeat:
		c.onHeartbeat(l, f)
	case Digests:
		c.onDigests(l, f)
	case Listing:
		c.onListing(l, f)
	case RecordRequest:
		c.onRecordRequest(l, f)
	case Records:
		c.onRecords(l, f)
	case VersionNotice:
		c.onVersionNotice(l, f)
	case Fetch:
		c.onFetch(l, f)
	case Content:
		c.onContent(l, f)
	case Report:
		c.onReport(l, f)
	case Summary:
		c.onSummary(l, f)
	case CrashReport:
		c.onCrashReport(l, f)
	case VersionAck:
		c.onVersionAck(l, f)
	case FloorNotice:
		c.raiseRemoteFloor(l.id, f.Version)
	case PollNotice:
		c.onPollNotice(l, f)
	default:
		// A second Hello on an open link is of no use to an honest peer.
		c.log(event.PeerGarbage, event.Fields{event.Subject: l.host})
		c.emit(CloseLink{l.id})
	}
}

func (c *Core) newHello(l *link) Hello {
	hi := Hello{
		Member:      c.self,
		Version:     c.version.number,
		Hash:        c.version.hash,
		HeadAge:     age(c.now, c.watch.headReadAt),
		Cursor:      c.watch.cursor,
		RemoteFloor: c.version.remoteFloor,
		Members:     c.Members(),
	}
	if l != nil {
		hi.Lazy = l.lazy
		hi.Floor = c.version.peerVersions[l.host]
		hi.DomainFloor = c.version.domainVersions[l.domain]
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
