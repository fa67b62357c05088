// Package peer implements a node's membership of the mesh: a gossip protocol that
// replicates the member table and distributes versions of the configuration.
//
// A [Core] is a deterministic state machine. Step takes one event as a message and
// returns the commands that follow from it:
//
//	c := peer.New(peer.Config{Self: me}, rand.New(rand.NewPCG(1, 2)), now)
//	for _, cmd := range c.Step(now, peer.LinkUp{Link: 1, Hello: hello}) {
//		// execute cmd: dial, send, read the store, serve a version …
//	}
//
// A Core does no I/O, starts no goroutine and reads no clock, so a test can drive
// hundreds of Cores through any order of events. [Transport] does the I/O of one Core.
//
// # Links
//
// Nodes keep a small number of long-lived connections, called links. The live members
// of a failure domain are ordered by a hash of the host name, so all of them compute
// the same order. The hashes define a tree of degree four and a chain: each node dials
// its parent in the tree and its predecessor in the chain. The first member in the
// order is the root of the domain. The first two members, the bridge nodes, also link to
// the bridge nodes of the other domains in their region. Between regions only two members
// of each region, its gateway nodes, keep links. Those of the second gateway node are
// lazy: they carry a version only if the first one's link has failed to deliver it.
//
// # Members
//
// A record describes one incarnation of one node. Changed records are flooded over the
// links. Heartbeats carry a digest of the member table; if the digests of two nodes
// differ, the nodes compare their tables domain by domain and exchange the missing
// records (anti-entropy). A member that loses the links to its neighbours is suspected.
// It refutes the suspicion with a higher sequence number, or is declared dead after a
// timeout.
//
// # Versions
//
// A node learns of a newer version from a peer or from the head, the row in the
// platform's store that names the newest accepted version. It fetches the version from
// a peer that has it, as a delta against its own, verifies hash and inventory, puts it
// into use and announces it on its other links. A version that is not higher than the
// one in use is never used.
//
// # Status
//
// Each node reports to its parent in the tree how many nodes of its subtree use which
// version. The root has the counts of the whole domain and sends them to the other
// domains.
package peer

import (
	"math/rand/v2"
	"time"

	"briarrock.example/briarrockd/proof"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// TickInterval is the interval at which a Core expects a Tick.
const TickInterval = 100 * time.Millisecond

// Timeouts and intervals of the gossip protocol.
const (
	// heartbeatInterval is the interval between heartbeats on a link.
	heartbeatInterval = 2 * time.Second
	// linkSilenceTimeout is how long a link may be silent before it is closed: it
	// allows for two lost heartbeats and some delay.
	linkSilenceTimeout = 5 * time.Second
	// reverseDialDelay is how long a node waits for a neighbour that has to dial it
	// before it dials the neighbour itself.
	reverseDialDelay = time.Second
	// suspectDelay is how long a neighbour may be without a link before it is
	// suspected.
	suspectDelay = 3 * time.Second
	// suspicionTimeout is how long a suspected member has to refute the suspicion
	// before it is declared dead.
	suspicionTimeout = 4 * time.Second
	// tombstoneTTL is how long the record of a member that is dead or has left is kept.
	tombstoneTTL = 10 * time.Minute
	// domainStaleAfter is how long no frame may arrive from a domain before the domain
	// counts as stale.
	domainStaleAfter = 8 * time.Second
)

// Config holds the settings of a Core.
type Config struct {
	// Self is the node's own record, with its initial incarnation.
	Self Member
	// Contacts are addresses of some peers, used to join the mesh.
	Contacts []string
	// StoreRegion is the region of the platform's store, if known. Nodes of this region
	// do the regular reads of the head, so that these don't use the paid inter-region
	// link.
	StoreRegion string
	// ExpectedHosts is the approximate number of nodes in the mesh. A node that starts
	// at the same time as all the others can't determine it.
	ExpectedHosts int
	// Bootstrap is set if the whole mesh starts for the first time, so that there is no
	// running peer to join.
	Bootstrap bool
	// DelegatePolling is set if the platform adapter polls for changes. The Core then
	// decides whether this node polls (Watch), receives the results (Committed, Polled)
	// and does not read the head or the object store itself.
	DelegatePolling bool
	// Rollouts is set if the deployment has roll-outs. A new peer is then told of all
	// orders, also if there are none.
	Rollouts bool
	// Strict is set if this node serves requests with keys only while it can prove that
	// its version was the newest one at most Revoke ago.
	Strict bool
	Revoke time.Duration
}

// Core holds the state of one node's gossip protocol and makes its decisions. Use New
// to make one; the zero value is not usable.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Time
	cmds []Cmd

	self  Member
	table *table
	links map[LinkID]*link
	// linkByHost has the link in use for each linked host.
	linkByHost map[string]*link
	dials      map[string]*dialState // by address

	missingSince   map[string]time.Time // since when a neighbour has had no link
	pendingUpdates map[string]bool      // hosts whose records are still to be sent
	updateSource   map[string]LinkID    // the link over which each pending record arrived
	membersChanged bool                 // members changed since the last PublishMembers
	nextRejoin     time.Time            // next attempt to link a contact or a dead member
	nextSweep      time.Time

	version  versions
	watch    headWatch
	contacts contactRows
	reports  reports
	crashes  crashTable
	proofs   proofs
	sums     sums
	rollouts rollouts
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
	nextHeartbeat time.Time // when the next heartbeat is due
	openedAt      time.Time
	// digestMismatches counts consecutive heartbeats whose digest differed from the
	// local one.
	digestMismatches int
	// version is the highest version that the peer is known to hold; announced is the
	// version last announced to the peer, at announcedAt.
	version     uint64
	announced   uint64
	announcedAt time.Time
	// lazyNoticeAt is when a lazy link is sent a notice of the version in use, unless
	// the peer has the version by then; zero if none is due.
	lazyNoticeAt time.Time
	// introductionUntil is the time until which the link is used only to introduce a
	// starting node to its own domain.
	introductionUntil time.Time
	// joining is set on an outbound link to an address whose host was not known, such as
	// a contact's, until it turns out to be one that this node should have.
	joining bool
	// takesProofs is set if the peer takes Proof frames; proof is their state.
	takesProofs bool
	// takesRollouts is set if the peer takes Rollout frames.
	takesRollouts bool
	proof         proof.Link
	// unwantedSince is when the link ceased to be one that this node should have; zero
	// if it should have it.
	unwantedSince time.Time
}

// dialState is the state of the dial attempts to one address.
type dialState struct {
	host       string
	inProgress bool
	failures   int       // consecutive failed attempts
	nextAt     time.Time // earliest time of the next attempt
	retriedAt  time.Time // last time that retryMember set failures back
}

// New returns a Core whose member table holds only its own record. All random choices
// use rng.
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
	c.sums = newSums()
	c.table.put(now, c.self)
	return c
}

// Step processes one message at time now and returns the resulting commands. now must
// not decrease between calls.
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
	case CountersChanged:
		c.onCountersChanged(m.Counters)
	case RolloutsChanged:
		c.onRolloutsChanged(m)
	case Leave:
		c.leave()
	}
	return c.cmds
}

func (c *Core) emit(cmd Cmd) { c.cmds = append(c.cmds, cmd) }

func (c *Core) log(e event.Event, f event.Fields) { c.emit(Log{e, f}) }

func (c *Core) send(l *link, f Frame) { c.emit(Send{l.id, f}) }

// jitter returns a random duration from 0 to d.
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
	c.tickProofs()
	c.tickReport()
	c.tickCrashes()
	c.tickSums()
	c.tickRollouts()
	if c.membersChanged {
		c.membersChanged = false
		c.emit(PublishMembers{c.liveMembers()})
	}
}

// liveMembers returns copies of the records of all live members, this node included.
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
	c.table.receive(c.now, l.domain)
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
	case Proof:
		c.onProof(l, f)
	case Sums:
		c.onSums(l, f)
	case Totals:
		c.onTotals(l, f)
	case Rollout:
		c.onRollout(l, f)
	default:
		// A second Hello on an open link violates the protocol.
		c.log(event.PeerGarbage, event.Fields{event.Subject: l.host})
		c.emit(CloseLink{l.id})
	}
}

func (c *Core) newHello(l *link) Hello {
	hello := Hello{
		Member:      c.self,
		Version:     c.version.number,
		Hash:        c.version.hash,
		HeadAge:     age(c.now, c.watch.headReadAt),
		Cursor:      c.watch.cursor,
		RemoteFloor: c.version.remoteFloor,
		Members:     c.Members(),
		Proofs:      c.cfg.Strict,
		Rollouts:    true,
	}
	if l != nil {
		hello.Lazy = l.lazy
		hello.Floor = c.version.peerVersions[l.host]
		hello.DomainFloor = c.version.domainVersions[l.domain]
		if r := c.table.byHost[l.host]; r != nil {
			hello.KnownIncarnation = r.Incarnation
		}
	}
	return hello
}

// Version returns the version in use and its hash; 0 before the first.
func (c *Core) Version() (uint64, snapshot.Hash) { return c.version.number, c.version.hash }

// Ready reports whether the node may serve; see becomeReady.
func (c *Core) Ready() bool { return c.version.ready }

// Links returns the number of open links.
func (c *Core) Links() int { return len(c.links) }

// Members returns the number of known live members, this node included.
func (c *Core) Members() int {
	n := 0
	for _, d := range c.table.domains {
		n += d.count
	}
	return n
}
