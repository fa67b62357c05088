package peer

import (
	"slices"
	"time"
)

// These constants apply where polling is delegated to the platform's adapter
// (Config.DelegatePolling): the Core decides whether this node polls, and the adapter
// carries out the polls.
//
// In a small region each node polls for itself. In a large region, one with a domain of
// more than smallDomainSize members, only its first gateway node polls, or two in strict
// mode: the gateway nodes hold the links to other regions. Of several regions only those
// near the platform poll. So the number of calls to the platform doesn't grow with the
// number of hosts, and a change crosses between two regions once, as a delta.
//
// The other nodes receive versions from their peers, and a poll notice (PollNotice) of
// each answered poll. An open poll proves nothing: it may be on a dead connection. Once
// its newest poll notice is older than pollNoticeTimeout, a node polls itself, as a
// fallback node. So the role needs no handover: the loss of the polling node delays a
// change by pollNoticeTimeout, well within the time in which a change must be in force.
const (
	// smallDomainSize is the size of a domain up to which each of its members polls
	// for itself, if no domain of the region is larger.
	smallDomainSize = 4
	// longPollWait is how long one poll waits for a change where all members poll. A
	// longer wait costs fewer calls, but if the store becomes unreachable and recovers
	// during a poll, that poll stays unanswered until its wait ends. The polls of all
	// nodes may be open then, since a change ends them all at once, so no node can rely on
	// its peers for this time.
	longPollWait = 2 * time.Second
	// shortPollWait is the same for a node that polls for others. Only its answered polls
	// show the others that it still reaches the platform, so the wait has to be well below
	// pollNoticeTimeout.
	shortPollWait = time.Second
	// pollNoticeStartDelay is how long after its start a node doesn't broadcast its
	// long polls: it doesn't know the other members yet.
	pollNoticeStartDelay = time.Second
	// answeredPollAge is the age of its last answered poll up to which the polls of a
	// fallback node wait for a change.
	answeredPollAge = 3 * time.Second
	// pollNoticeTimeout is the age of the newest poll notice above which a node polls
	// itself. It covers shortPollWait and the transit through the tree.
	// Up to pollNoticeTimeoutSpread is added, in proportion to the node's position in
	// its domain's order: the first nodes to poll make the polls of the others
	// unnecessary.
	pollNoticeTimeout       = 1500 * time.Millisecond
	pollNoticeTimeoutSpread = 600 * time.Millisecond
	// minFallbackPolling is the minimum time for which a fallback node polls once it
	// has started. It keeps two such nodes from stopping each other by their notices
	// and timing out again in turns.
	minFallbackPolling = 5 * time.Second
	// fallbackPollInterval is the mean time between the polls of all fallback nodes
	// together while polls fail. In an outage of the platform the polls must not be
	// multiplied by the number of hosts; if the platform rejects most hosts only,
	// those that it still serves must be found.
	fallbackPollInterval = 100 * time.Millisecond
	// maxFallbackPause is how long a fallback node leaves the polls to others while no
	// notice of their attempts arrives. These are mostly fallbackPollInterval apart, so a
	// node that receives none for so long is cut off from those that poll. Up to
	// maxFallbackPauseSpread is added at random.
	maxFallbackPause       = 1000 * time.Millisecond
	maxFallbackPauseSpread = 600 * time.Millisecond
	// startReadDelay is how long a starting node waits for its peers to send it the
	// version in use before it reads the full snapshot from the platform. A node of a
	// domain where all members poll doesn't wait.
	startReadDelay = 500 * time.Millisecond
	// gatewayStartReadDelay is the same for a gateway node: its links may lead only to
	// nodes that have started at the same time. For any other node that has a link,
	// startReadStep is added to startReadDelay per position in the domain's order.
	gatewayStartReadDelay = 100 * time.Millisecond
	startReadStep         = 100 * time.Millisecond
	// bootstrapReadDelay is the same at the first start of the whole mesh. The gateway
	// nodes read the version during that time, and caller traffic starts only after it.
	bootstrapReadDelay = 3 * time.Second
	// nearerRegionFactor is the ratio of round-trip times to the platform above which
	// this region leaves the polling to a nearer one. rttSmoothing is the inverse
	// weight of a sample above the current estimate.
	nearerRegionFactor = 3
	rttSmoothing       = 10
	// maxKnownPollers bounds the hosts whose newest notice is remembered.
	maxKnownPollers = 2048
	// minFetchInterval is the minimum time after a version arrives before a peer is
	// asked for the next one. Without it, a small host would do nothing but fetch
	// while many changes are made.
	minFetchInterval = 250 * time.Millisecond
)

// pollRole is this node's role in polling the platform.
type pollRole struct {
	// current is the last Watch command that was emitted; emitted is set once there
	// is one.
	current Watch
	emitted bool
	// pollUntil is when this node stops polling as a fallback.
	pollUntil time.Time
	// noticedAt is when the newest poll notice arrived, or when this node became ready
	// if that was later. ownPollAt is the time of this node's own newest poll.
	noticedAt time.Time
	ownPollAt time.Time
	// lastSerial counts this node's own poll notices.
	lastSerial uint64
	// attemptAt is when a fallback node, this one included, last began to poll, or when
	// this node's own poll failed later. This node may begin attemptPause after that.
	attemptAt    time.Time
	attemptPause time.Duration
	// rtt is the estimated round-trip time to the platform; 0 if unknown.
	rtt time.Duration
	// nearerRegionAt is when the last notice came from a region much nearer to the
	// platform.
	nearerRegionAt time.Time
	// lastNotice is, by host, the newest notice received.
	lastNotice map[string]noticeID
}

// noticeID identifies a notice among those of its host; later ones are greater.
type noticeID struct{ incarnation, serial uint64 }

func (a noticeID) after(b noticeID) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	return a.serial > b.serial
}

// allMembersPoll reports whether each node of the region polls for itself: no domain of
// the region has more than smallDomainSize members.
func (c *Core) allMembersPoll() bool {
	for _, d := range c.table.domains {
		if d.region == c.self.Region && d.count > smallDomainSize {
			return false
		}
	}
	return true
}

// pollsForRegion reports whether this node polls on behalf of its region: it is the first of
// the region's gateway nodes, and no region much nearer to the platform polls. One node is
// enough, since the others notice soon that it doesn't. Strict nodes would refuse keys during
// that time, so with them the second gateway node polls too.
func (c *Core) pollsForRegion() bool {
	own := c.gateways(c.self.Region)
	i := slices.IndexFunc(own, func(r *record) bool { return r.Host == c.self.Host })
	return !c.nearerRegionPolls() && (i == 0 || (i > 0 && c.cfg.Strict))
}

// nearerRegionPolls reports whether a region much nearer to the platform polls.
func (c *Core) nearerRegionPolls() bool {
	return c.now.Sub(c.watch.role.nearerRegionAt) <= pollNoticeTimeout
}

// isGateway reports whether this node is a gateway node of its region.
func (c *Core) isGateway() bool {
	return slices.ContainsFunc(c.gateways(c.self.Region), func(r *record) bool { return r.Host == c.self.Host })
}

// updatePollRole decides whether and how this node polls the platform, and emits a Watch
// command when that changes.
func (c *Core) updatePollRole() {
	if !c.cfg.DelegatePolling {
		return
	}
	w := c.choosePolling()
	r := &c.watch.role
	if r.emitted && w.On == r.current.On && w.Wait == r.current.Wait && w.Fallback == r.current.Fallback {
		return
	}
	if w.On && w.Fallback && (!r.current.On || !r.current.Fallback) {
		c.delayFallbackPoll()
		c.broadcastPollStart()
	}
	r.current, r.emitted = w, true
	c.emit(w)
}

func (c *Core) choosePolling() Watch {
	w := Watch{On: true, Cursor: c.watch.cursor, Paced: c.cfg.Strict}
	switch {
	case !c.version.ready:
		w.On = c.pollsAtStart()
	case c.allMembersPoll():
		w.Wait = c.pollWait(longPollWait)
	case c.pollsForRegion():
		w.Wait = c.pollWait(shortPollWait)
	default:
		w.Fallback = true
		w.On = c.pollNoticesLapsed()
		if c.now.Sub(c.watch.role.ownPollAt) <= answeredPollAge {
			// Only later polls wait for a change. The first one is answered at once,
			// so that its notice soon keeps other nodes from polling.
			w.Wait = c.pollWait(shortPollWait)
		}
	}
	return w
}

// pollsAtStart reports whether a node that is not ready yet polls the platform itself. A
// restarted node does so as soon as it has a version to confirm. If its linked peers
// have no version either, the gateway nodes read it for all: a full snapshot for each
// node would saturate the inter-region link for seconds.
func (c *Core) pollsAtStart() bool {
	since := c.now.Sub(c.watch.startedAt)
	gateway := len(c.links) > 0 && c.isGateway() && !c.nearerRegionPolls()
	switch {
	case c.cfg.Bootstrap:
		return since >= bootstrapReadDelay || (since >= startReadDelay && gateway)
	case c.version.number > 0 || c.contacts.smallDomain:
		return true
	case gateway:
		return since >= gatewayStartReadDelay
	case len(c.links) == 0:
		return since >= startReadDelay
	default:
		return since >= startReadDelay+startReadStep*time.Duration(max(c.orderIndex(), 0))
	}
}

// pollNoticesLapsed reports whether this node polls as a fallback, because its newest
// poll notice has timed out. If another fallback node has just begun to poll, this one
// first waits for attemptPause: a poll that succeeds makes its own unnecessary, and one
// that fails most likely fails for all nodes.
func (c *Core) pollNoticesLapsed() bool {
	r := &c.watch.role
	n := len(c.table.members(c.self.Domain))
	spread := pollNoticeTimeoutSpread * time.Duration(max(c.orderIndex(), 0)) / time.Duration(n+1)
	timedOut := c.now.Sub(r.noticedAt) > pollNoticeTimeout+spread || c.proofOverdue(spread)
	if timedOut && c.now.Sub(r.attemptAt) > r.attemptPause {
		r.pollUntil = c.now.Add(minFallbackPolling)
	}
	return c.now.Before(r.pollUntil)
}

// onPollFailed handles an unanswered poll of this node's own. A fallback node stops
// polling and leaves the next attempt to the others. Its pause counts from the start of
// its attempt, unless the poll that failed is a later one.
func (c *Core) onPollFailed() {
	c.watch.failures++
	r := &c.watch.role
	if !r.current.Fallback {
		return
	}
	r.pollUntil = time.Time{}
	if c.now.Sub(r.attemptAt) > maxFallbackPause+maxFallbackPauseSpread {
		c.delayFallbackPoll()
	}
	c.updatePollRole()
}

// delayFallbackPoll sets a random pause after a poll by any fallback node, this one
// included. Its mean grows with the number of members, up to a bound that matters only
// where this node doesn't receive the notices of the others.
func (c *Core) delayFallbackPoll() {
	r := &c.watch.role
	pause := c.jitter(fallbackPollInterval * time.Duration(c.Members()))
	if pause > maxFallbackPause {
		pause = maxFallbackPause + pause%maxFallbackPauseSpread
	}
	r.attemptAt, r.attemptPause = c.now, pause
}

// onPolled handles this node's own poll of the platform that found nothing newer than
// the version already reported by Committed.
func (c *Core) onPolled(m Polled) {
	c.watch.cursor = max(c.watch.cursor, m.Cursor)
	c.watch.role.updateRTT(m.RTT)
	c.addOwnProof(c.version.number, m.Sent)
	c.recordHeadRead(c.version.number, m.At)
	c.broadcastPoll(m.At)
}

// updateRTT updates the round-trip estimate with the sample of one poll. The estimate
// follows the lowest recent samples, since time above that was spent in queues.
func (r *pollRole) updateRTT(sample time.Duration) {
	switch {
	case sample <= 0:
	case r.rtt == 0 || sample < r.rtt:
		r.rtt = sample
	default:
		r.rtt += (sample - r.rtt) / rttSmoothing
	}
}

// broadcastPoll floods a poll notice of this node's own poll, if it polls for other
// nodes. Nodes that start together also poll, each for itself, and each takes itself for
// a gateway node until it knows the other members. The number of notices of those polls
// would grow with the square of the number of hosts, so none are sent.
func (c *Core) broadcastPoll(at time.Time) {
	r := &c.watch.role
	forOthers := r.current.Fallback || (r.current.Wait > 0 && c.now.Sub(c.watch.startedAt) >= pollNoticeStartDelay)
	if !c.cfg.DelegatePolling || c.allMembersPoll() || !r.current.On || !forOthers {
		return
	}
	f := c.newPollNotice()
	f.Version, f.Cursor, f.HeadAge = c.version.number, c.watch.cursor, age(c.now, at)
	f.RTT = uint64(r.rtt.Milliseconds())
	c.floodPollNotice(0, f)
}

// broadcastPollStart floods the notice that this node begins to poll as a fallback.
func (c *Core) broadcastPollStart() {
	f := c.newPollNotice()
	f.Started = true
	c.floodPollNotice(0, f)
}

func (c *Core) newPollNotice() PollNotice {
	r := &c.watch.role
	r.lastSerial++
	return PollNotice{Host: c.self.Host, Incarnation: c.self.Incarnation, Serial: r.lastSerial, Region: c.self.Region}
}

// onPollNotice handles a peer's notice of a poll of the platform, and forwards it.
//
// Each notice is handled once per node. The age in a notice doesn't include its transit
// time, so a notice that reached a node again over another path would make the poll
// seem more recent each time. Over slow links the notices would then circulate in a
// region, and suppress polling, long after the last node stopped polling.
func (c *Core) onPollNotice(l *link, f PollNotice) {
	r := &c.watch.role
	received := noticeID{f.Incarnation, f.Serial}
	last, known := r.lastNotice[f.Host]
	if f.Host == c.self.Host || (known && !received.after(last)) {
		return
	}
	if r.lastNotice == nil || len(r.lastNotice) >= maxKnownPollers {
		r.lastNotice = make(map[string]noticeID)
	}
	r.lastNotice[f.Host] = received
	if f.Region != c.self.Region && f.RTT > 0 && nearerRegionFactor*time.Duration(f.RTT)*time.Millisecond < r.rtt {
		r.nearerRegionAt = c.now
	}
	if f.Started {
		c.delayFallbackPoll()
	} else {
		c.onPeerPoll(poll{host: f.Host, version: f.Version, cursor: f.Cursor, at: c.ago(f.HeadAge), noticedAt: c.now})
	}
	c.floodPollNotice(l.id, f)
}

// floodPollNotice sends a notice over all links except the one that it came from, lazy
// links and links that only introduce a newcomer. A from of 0 excludes no link.
func (c *Core) floodPollNotice(from LinkID, f PollNotice) {
	for _, l := range c.sortedLinks() {
		if l.id != from && !l.lazy && !c.introductionOnly(l) {
			c.send(l, f)
		}
	}
}

// earliestFetch returns the time from which a version held by a peer may be fetched.
func (c *Core) earliestFetch() time.Time {
	switch {
	case !c.cfg.DelegatePolling || !c.version.ready:
		return c.now
	case c.watch.role.current.On && (c.watch.role.current.Fallback || c.watch.failures > 0):
		// This node's own poll may fail or take long, and the nodes below it in the tree
		// wait for the version too.
		return c.now
	case c.watch.role.current.On:
		// This node's own poll has most likely found the version too. It is fetched
		// from a peer only if it has not arrived by then.
		return c.now.Add(hedgeDelay)
	default:
		return c.version.stagedAt.Add(minFetchInterval)
	}
}
