package peer

import (
	"slices"
	"time"
)

// Who watches the platform, where the platform's adapter does the reading.
//
// In a large region only its carriers watch, and of several regions only those that
// are near the platform: calls to it then don't grow with the hosts, and a change
// crosses between regions once, as a difference. The others get versions from their
// peers, and freshness notices that say how long ago the platform was last polled. Any
// node polls once its last freshness notice expires, so the role needs no handover:
// losing all watchers costs pollNoticeTimeout, well within the time in which a change must be
// in force.
const (
	// smallDomainSize is the size of a domain up to which all of its members watch, each
	// for itself, if no domain of the region is larger.
	smallDomainSize = 4
	// longPollWait is how long one question waits for a change where all watch. A
	// longer one costs fewer calls; but one whose store has fallen silent and come
	// back meanwhile is waited for in vain until its end.
	longPollWait = 6 * time.Second
	// shortPollWait is the same for the watchers of a large region: others count on
	// their freshness notices.
	shortPollWait = 2 * time.Second
	// pollNoticeInterval is how often a node that watches says so while its poll waits
	// for a change: others notice within pollNoticeTimeout that it has gone.
	pollNoticeInterval = time.Second
	// pollNoticeStartDelay is the time in which a starting node gets to know the others.
	pollNoticeStartDelay = time.Second
	// maxNoticedPollAge is the age of its last answered poll up to which it does. A poll
	// that is overdue has most likely met a silent connection.
	maxNoticedPollAge = shortPollWait + time.Second
	// pollNoticeTimeout is the age of the newest freshness notice from which on a node
	// polls itself: one pollNoticeInterval and the way here through the tree.
	// pollNoticeTimeoutSpread is added by the place in the domain, so that the first to
	// poll spare the others.
	pollNoticeTimeout       = 1500 * time.Millisecond
	pollNoticeTimeoutSpread = 600 * time.Millisecond
	// minFallbackPolling is how long a node that has begun to poll goes on, so that two
	// of them don't make each other stop and lapse again in turns.
	minFallbackPolling = 5 * time.Second
	// fallbackPollInterval is the mean time between the polls of all spare nodes
	// together while they fail: an outage of the platform must not multiply them by
	// the hosts, but one that rejects most hosts must still find those it serves.
	fallbackPollInterval = 100 * time.Millisecond
	// startReadDelay is the time that a starting node gives its peers to send it the
	// version in use, before it reads the whole from the platform. One of a domain
	// where all watch doesn't wait.
	startReadDelay = 500 * time.Millisecond
	// gatewayStartReadDelay is the same for a carrier, which may just have been linked with
	// others that have started with it. startReadStep is added by the place in the domain
	// for each of the others that is linked.
	gatewayStartReadDelay = 100 * time.Millisecond
	startReadStep         = 100 * time.Millisecond
	// bootstrapReadDelay is the same where the whole mesh starts for the first time. The
	// carriers read the version then, and callers come only after that.
	bootstrapReadDelay = 3 * time.Second
	// nearerRegionFactor is how many times nearer the platform another region must be for this
	// one to leave the polling to it, rttSmoothing the inverse weight of a longer delay
	// than the usual one.
	nearerRegionFactor = 3
	rttSmoothing       = 10
	// maxKnownPollers bounds the hosts whose polls are told apart.
	maxKnownPollers = 2048
	// minFetchInterval is the least time between two versions that are fetched from
	// peers: in a storm of changes a small node would do nothing else.
	minFetchInterval = 250 * time.Millisecond
)

// pollRole is this node's part in watching the platform.
type pollRole struct {
	current Watch
	// emitted is set once a Watch has been given out.
	emitted bool
	// pollUntil is how long a node that polls since nobody else did goes on.
	pollUntil time.Time
	// noticedAt is when the newest freshness notice came, ownPollAt the time of this
	// node's own newest poll.
	noticedAt time.Time
	ownPollAt time.Time
	// lastSerial counts this node's own freshness notices, noticeSentAt is the time of
	// the newest.
	lastSerial   uint64
	noticeSentAt time.Time
	// attemptAt is when a spare node last began to poll, or this node's own poll last
	// failed, and pause how long after that this node may begin.
	attemptAt    time.Time
	attemptPause time.Duration
	// rtt is this node's way to the platform and back, as a rule; 0 if unknown.
	rtt time.Duration
	// nearerRegionAt is when a notice last came from a region that is much nearer to it.
	nearerRegionAt time.Time
	// lastNotice is the newest notice of each host.
	lastNotice map[string]noticeID
}

// noticeID tells the notices of one host apart; later ones are greater.
type noticeID struct{ incarnation, serial uint64 }

func (a noticeID) after(b noticeID) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	return a.serial > b.serial
}

// allMembersPoll tells whether each node watches for itself: no domain of the region is
// large.
func (c *Core) allMembersPoll() bool {
	for _, d := range c.table.domains {
		if d.region == c.self.Region && d.count > smallDomainSize {
			return false
		}
	}
	return true
}

// pollsForRegion tells whether this node is one of those that watch for a large region,
// while no region nearer to the platform does.
func (c *Core) pollsForRegion() bool {
	if c.now.Sub(c.watch.role.nearerRegionAt) <= pollNoticeTimeout {
		return false
	}
	return slices.ContainsFunc(c.gateways(c.self.Region), func(r *record) bool { return r.Host == c.self.Host })
}

// updatePollRole decides whether this node is to poll the platform, and how.
func (c *Core) updatePollRole() {
	if !c.cfg.DelegatePolling {
		return
	}
	w := c.choosePolling()
	c.repeatPollNotice()
	d := &c.watch.role
	if d.emitted && w.On == d.current.On && w.Wait == d.current.Wait && w.Fallback == d.current.Fallback {
		return
	}
	if w.On && w.Fallback && (!d.current.On || !d.current.Fallback) {
		c.broadcastPollStart()
	}
	d.current, d.emitted = w, true
	c.emit(w)
}

func (c *Core) choosePolling() Watch {
	w := Watch{On: true, Cursor: c.watch.cursor}
	switch {
	case !c.version.ready:
		w.On = c.pollsAtStart()
	case c.allMembersPoll():
		w.Wait = longPollWait
	case c.pollsForRegion():
		w.Wait = shortPollWait
	default:
		w.Fallback = true
		w.On = c.pollNoticesLapsed()
		if c.now.Sub(c.watch.role.ownPollAt) <= maxNoticedPollAge {
			// The first poll is answered at once, and spares the others theirs.
			w.Wait = shortPollWait
		}
	}
	return w
}

// pollsAtStart tells whether a node that is not ready yet polls the platform itself.
// A restarted node does so as soon as it has a version to confirm. Where nobody that it
// is linked to has one either, the carriers read it for all: whole copies for each node
// would fill the link between regions for seconds.
func (c *Core) pollsAtStart() bool {
	since := c.now.Sub(c.watch.startedAt)
	carrier := len(c.links) > 0 && c.pollsForRegion()
	switch {
	case c.cfg.Bootstrap:
		return since >= bootstrapReadDelay || (since >= startReadDelay && carrier)
	case c.version.number > 0 || c.contacts.smallDomain:
		return true
	case carrier:
		return since >= gatewayStartReadDelay
	case len(c.links) == 0:
		return since >= startReadDelay
	default:
		return since >= startReadDelay+startReadStep*time.Duration(max(c.orderIndex(), 0))
	}
}

// pollNoticesLapsed tells whether nobody else seems to poll the platform. Where others have just
// tried, this node waits for its turn: a poll that succeeds makes its own needless,
// and one that fails most likely fails for all.
func (c *Core) pollNoticesLapsed() bool {
	d := &c.watch.role
	n := len(c.table.members(c.self.Domain))
	spread := pollNoticeTimeoutSpread * time.Duration(max(c.orderIndex(), 0)) / time.Duration(n+1)
	// A version that has come says as well that somebody polls.
	silent := c.now.Sub(laterOf(d.noticedAt, c.version.stagedAt)) > pollNoticeTimeout+spread
	if silent && c.now.Sub(d.attemptAt) > d.attemptPause {
		d.pollUntil = c.now.Add(minFallbackPolling)
	}
	return c.now.Before(d.pollUntil)
}

// onPollFailed notes that this node's own poll had no answer. A spare node leaves the
// next try to the others.
func (c *Core) onPollFailed() {
	c.watch.failures++
	d := &c.watch.role
	if !d.current.Fallback {
		return
	}
	d.pollUntil = time.Time{}
	c.delayFallbackPoll()
	c.updatePollRole()
}

// delayFallbackPoll draws the pause after a poll by a spare node, here or elsewhere.
func (c *Core) delayFallbackPoll() {
	d := &c.watch.role
	d.attemptAt, d.attemptPause = c.now, c.jitter(fallbackPollInterval*time.Duration(c.Members()))
}

// onPolled takes this node's own poll of the platform, which found nothing newer
// than what it has told.
func (c *Core) onPolled(m Polled) {
	c.watch.cursor = max(c.watch.cursor, m.Cursor)
	c.watch.role.updateRTT(m.RTT)
	c.recordHeadRead(c.version.number, m.At)
	c.broadcastPoll(m.At)
}

// updateRTT takes the delay of one poll. The least of late counts: what it is above
// that was spent in queues.
func (d *pollRole) updateRTT(delay time.Duration) {
	switch {
	case delay <= 0:
	case d.rtt == 0 || delay < d.rtt:
		d.rtt = delay
	default:
		d.rtt += (delay - d.rtt) / rttSmoothing
	}
}

// broadcastPoll tells the other nodes of this node's own poll, if it polls for them. A
// herd of starting nodes polls as well, each for itself, and takes itself for a carrier
// until it knows the others: notices of that would grow with the square of the hosts.
func (c *Core) broadcastPoll(at time.Time) {
	d := &c.watch.role
	forOthers := d.current.Fallback || (d.current.Wait > 0 && c.now.Sub(c.watch.startedAt) >= pollNoticeStartDelay)
	if !c.cfg.DelegatePolling || c.allMembersPoll() || !d.current.On || !forOthers {
		return
	}
	d.noticeSentAt = c.now
	f := c.newPollNotice()
	f.Version, f.Cursor, f.HeadAge = c.version.number, c.watch.cursor, age(c.now, at)
	f.RTT = uint64(d.rtt.Milliseconds())
	c.floodPollNotice(0, f)
}

// repeatPollNotice tells the other nodes that this node still watches, while its poll waits.
func (c *Core) repeatPollNotice() {
	d := &c.watch.role
	waits := d.current.On && d.current.Wait > 0 && c.watch.failures == 0
	if waits && c.now.Sub(d.noticeSentAt) >= pollNoticeInterval && c.now.Sub(d.ownPollAt) <= maxNoticedPollAge {
		c.broadcastPoll(d.ownPollAt)
	}
}

// broadcastPollStart tells the other nodes that this one begins to poll since nobody else
// seems to.
func (c *Core) broadcastPollStart() {
	f := c.newPollNotice()
	f.Started = true
	c.floodPollNotice(0, f)
}

func (c *Core) newPollNotice() PollNotice {
	d := &c.watch.role
	d.lastSerial++
	return PollNotice{Host: c.self.Host, Incarnation: c.self.Incarnation, Serial: d.lastSerial, Region: c.self.Region}
}

// onPollNotice takes a peer's notice of a poll of the platform, and passes it on.
//
// Each poll counts once. Its age doesn't grow on its way over a link; if a poll
// could come back to a node by another way it would seem younger each time, and
// over slow links a region would go on telling itself that somebody polls long
// after nobody did.
func (c *Core) onPollNotice(l *link, f PollNotice) {
	d := &c.watch.role
	name := noticeID{f.Incarnation, f.Serial}
	last, known := d.lastNotice[f.Host]
	if f.Host == c.self.Host || (known && !name.after(last)) {
		return
	}
	if d.lastNotice == nil || len(d.lastNotice) >= maxKnownPollers {
		d.lastNotice = make(map[string]noticeID)
	}
	d.lastNotice[f.Host] = name
	if f.Region != c.self.Region && f.RTT > 0 && nearerRegionFactor*time.Duration(f.RTT)*time.Millisecond < d.rtt {
		d.nearerRegionAt = c.now
	}
	if f.Started {
		c.delayFallbackPoll()
	} else {
		c.onPeerPoll(poll{version: f.Version, cursor: f.Cursor, at: c.ago(f.HeadAge), noticedAt: c.now})
	}
	c.floodPollNotice(l.id, f)
}

func (c *Core) floodPollNotice(from LinkID, f PollNotice) {
	for _, l := range c.sortedLinks() {
		if l.id != from && !l.lazy && !c.introductionOnly(l) {
			c.send(l, f)
		}
	}
}

// earliestFetch is from when on a version that a peer has may be asked for.
func (c *Core) earliestFetch() time.Time {
	switch {
	case !c.cfg.DelegatePolling || !c.version.ready:
		return c.now
	case c.watch.role.current.On:
		// This node's own watch has most likely seen the version too. A peer is
		// asked only if it has not come by then.
		return c.now.Add(hedgeDelay)
	default:
		return c.version.stagedAt.Add(minFetchInterval)
	}
}
