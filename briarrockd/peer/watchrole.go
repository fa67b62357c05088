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
// losing all watchers costs lapseAfter, well within the time in which a change must be
// in force.
const (
	// smallDomainSize is the size of a domain up to which all of its members watch, each
	// for itself, if no domain of the region is larger.
	smallDomainSize = 4
	// watchLong is how long one question waits for a change where all watch. A
	// longer one costs fewer calls; but one whose store has fallen silent and come
	// back meanwhile is waited for in vain until its end.
	watchLong = 6 * time.Second
	// watchShort is the same for the watchers of a large region: others count on
	// their freshness notices.
	watchShort = 2 * time.Second
	// announceEvery is how often a node that watches says so while its poll waits
	// for a change: others notice within lapseAfter that it has gone.
	announceEvery = time.Second
	// announceAfter is the time in which a starting node gets to know the others.
	announceAfter = time.Second
	// announceFor is the age of its last answered poll up to which it does. A poll
	// that is overdue has most likely met a silent connection.
	announceFor = watchShort + time.Second
	// lapseAfter is the age of the newest freshness notice from which on a node
	// polls itself: one announceEvery and the way here through the tree.
	// lapseSpread is added by the place in the domain, so that the first to
	// poll spare the others.
	lapseAfter  = 1500 * time.Millisecond
	lapseSpread = 600 * time.Millisecond
	// lapseKeep is how long a node that has begun to poll goes on, so that two
	// of them don't make each other stop and lapse again in turns.
	lapseKeep = 5 * time.Second
	// spareEvery is the mean time between the polls of all spare nodes
	// together while they fail: an outage of the platform must not multiply them by
	// the hosts, but one that rejects most hosts must still find those it serves.
	spareEvery = 100 * time.Millisecond
	// peersFirst is the time that a starting node gives its peers to send it the
	// version in use, before it reads the whole from the platform. One of a domain
	// where all watch doesn't wait.
	peersFirst = 500 * time.Millisecond
	// carriersFirst is the same for a carrier, which may just have been linked with
	// others that have started with it. readSpread is added by the place in the domain
	// for each of the others that is linked.
	carriersFirst = 100 * time.Millisecond
	readSpread    = 100 * time.Millisecond
	// bootFirst is the same where the whole mesh starts for the first time. The
	// carriers read the version then, and callers come only after that.
	bootFirst = 3 * time.Second
	// nearer is how many times nearer the platform another region must be for this
	// one to leave the polling to it, delayPart the inverse weight of a longer delay
	// than the usual one.
	nearer    = 3
	delayPart = 10
	// maxPollers bounds the hosts whose polls are told apart.
	maxPollers = 2048
	// fetchEvery is the least time between two versions that are fetched from
	// peers: in a storm of changes a small node would do nothing else.
	fetchEvery = 250 * time.Millisecond
)

// role is this node's part in watching the platform.
type role struct {
	now Watch
	// told is set once a Watch has been given out.
	told bool
	// until is how long a node that polls since nobody else did goes on.
	until time.Time
	// heardAt is when the newest freshness notice came, ownAt the time of this
	// node's own newest poll.
	heardAt time.Time
	ownAt   time.Time
	// notices counts this node's own freshness notices, announcedAt is the time of
	// the newest.
	notices     uint64
	announcedAt time.Time
	// triedAt is when a spare node last began to poll, or this node's own poll last
	// failed, and pause how long after that this node may begin.
	triedAt time.Time
	pause   time.Duration
	// delay is this node's way to the platform and back, as a rule; 0 if unknown.
	delay time.Duration
	// nearAt is when a notice last came from a region that is much nearer to it.
	nearAt time.Time
	// pollers is the newest notice of each host.
	pollers map[string]noticeName
}

// noticeName tells the notices of one host apart; later ones are greater.
type noticeName struct{ incarnation, poll uint64 }

func (a noticeName) after(b noticeName) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	return a.poll > b.poll
}

// allWatch tells whether each node watches for itself: no domain of the region is
// large.
func (c *Core) allWatch() bool {
	for _, d := range c.table.domains {
		if d.region == c.self.Region && d.count > smallDomainSize {
			return false
		}
	}
	return true
}

// watches tells whether this node is one of those that watch for a large region,
// while no region nearer to the platform does.
func (c *Core) watches() bool {
	if c.now.Sub(c.watch.role.nearAt) <= lapseAfter {
		return false
	}
	return slices.ContainsFunc(c.gateways(c.self.Region), func(r *record) bool { return r.Host == c.self.Host })
}

// updateWatchRole decides whether this node is to poll the platform, and how.
func (c *Core) updateWatchRole() {
	if !c.cfg.DelegatePolling {
		return
	}
	w := c.watchRole()
	c.announce()
	d := &c.watch.role
	if d.told && w.On == d.now.On && w.Wait == d.now.Wait && w.Fallback == d.now.Fallback {
		return
	}
	if w.On && w.Fallback && (!d.now.On || !d.now.Fallback) {
		c.broadcastTry()
	}
	d.now, d.told = w, true
	c.emit(w)
}

func (c *Core) watchRole() Watch {
	w := Watch{On: true, Cursor: c.watch.seen}
	switch {
	case !c.version.ready:
		w.On = c.readsAtStart()
	case c.allWatch():
		w.Wait = watchLong
	case c.watches():
		w.Wait = watchShort
	default:
		w.Fallback = true
		w.On = c.lapsed()
		if c.now.Sub(c.watch.role.ownAt) <= announceFor {
			// The first poll is answered at once, and spares the others theirs.
			w.Wait = watchShort
		}
	}
	return w
}

// readsAtStart tells whether a node that is not ready yet polls the platform itself.
// A restarted node does so as soon as it has a version to confirm. Where nobody that it
// is linked to has one either, the carriers read it for all: whole copies for each node
// would fill the link between regions for seconds.
func (c *Core) readsAtStart() bool {
	since := c.now.Sub(c.watch.startedAt)
	carrier := len(c.links) > 0 && c.watches()
	switch {
	case c.cfg.Bootstrap:
		return since >= bootFirst || (since >= peersFirst && carrier)
	case c.version.number > 0 || c.contacts.smallDomain:
		return true
	case carrier:
		return since >= carriersFirst
	case len(c.links) == 0:
		return since >= peersFirst
	default:
		return since >= peersFirst+readSpread*time.Duration(max(c.orderIndex(), 0))
	}
}

// lapsed tells whether nobody else seems to poll the platform. Where others have just
// tried, this node waits for its turn: a poll that succeeds makes its own needless,
// and one that fails most likely fails for all.
func (c *Core) lapsed() bool {
	d := &c.watch.role
	n := len(c.table.members(c.self.Domain))
	spread := lapseSpread * time.Duration(max(c.orderIndex(), 0)) / time.Duration(n+1)
	// A version that has come says as well that somebody polls.
	silent := c.now.Sub(later(d.heardAt, c.version.stagedAt)) > lapseAfter+spread
	if silent && c.now.Sub(d.triedAt) > d.pause {
		d.until = c.now.Add(lapseKeep)
	}
	return c.now.Before(d.until)
}

// pollFailed notes that this node's own poll had no answer. A spare node leaves the
// next try to the others.
func (c *Core) onPollFailed() {
	c.watch.fails++
	d := &c.watch.role
	if !d.now.Fallback {
		return
	}
	d.until = time.Time{}
	c.tried()
	c.updateWatchRole()
}

// tried draws the pause after a poll by a spare node, here or elsewhere.
func (c *Core) tried() {
	d := &c.watch.role
	d.triedAt, d.pause = c.now, c.jitter(spareEvery*time.Duration(c.Members()))
}

// polled takes this node's own poll of the platform, which found nothing newer
// than what it has told.
func (c *Core) onPolled(m Polled) {
	c.watch.seen = max(c.watch.seen, m.Cursor)
	c.watch.role.measured(m.RTT)
	c.headIs(c.version.number, m.At)
	c.broadcastPoll(m.At)
}

// measured takes the delay of one poll. The least of late counts: what it is above
// that was spent in queues.
func (d *role) measured(delay time.Duration) {
	switch {
	case delay <= 0:
	case d.delay == 0 || delay < d.delay:
		d.delay = delay
	default:
		d.delay += (delay - d.delay) / delayPart
	}
}

// broadcastPoll tells the other nodes of this node's own poll, if it polls for them. A
// herd of starting nodes polls as well, each for itself, and takes itself for a carrier
// until it knows the others: notices of that would grow with the square of the hosts.
func (c *Core) broadcastPoll(at time.Time) {
	d := &c.watch.role
	forOthers := d.now.Fallback || (d.now.Wait > 0 && c.now.Sub(c.watch.startedAt) >= announceAfter)
	if !c.cfg.DelegatePolling || c.allWatch() || !d.now.On || !forOthers {
		return
	}
	d.announcedAt = c.now
	f := c.ownNotice()
	f.Version, f.Cursor, f.HeadAge = c.version.number, c.watch.seen, age(c.now, at)
	f.RTT = uint64(d.delay.Milliseconds())
	c.floodFresh(0, f)
}

// announce tells the other nodes that this node still watches, while its poll waits.
func (c *Core) announce() {
	d := &c.watch.role
	waits := d.now.On && d.now.Wait > 0 && c.watch.fails == 0
	if waits && c.now.Sub(d.announcedAt) >= announceEvery && c.now.Sub(d.ownAt) <= announceFor {
		c.broadcastPoll(d.ownAt)
	}
}

// broadcastTry tells the other nodes that this one begins to poll since nobody else
// seems to.
func (c *Core) broadcastTry() {
	f := c.ownNotice()
	f.Started = true
	c.floodFresh(0, f)
}

func (c *Core) ownNotice() PollNotice {
	d := &c.watch.role
	d.notices++
	return PollNotice{Host: c.self.Host, Incarnation: c.self.Incarnation, Serial: d.notices, Region: c.self.Region}
}

// fresh takes a peer's notice of a poll of the platform, and passes it on.
//
// Each poll counts once. Its age doesn't grow on its way over a link; if a poll
// could come back to a node by another way it would seem younger each time, and
// over slow links a region would go on telling itself that somebody polls long
// after nobody did.
func (c *Core) onPollNotice(l *link, f PollNotice) {
	d := &c.watch.role
	name := noticeName{f.Incarnation, f.Serial}
	last, known := d.pollers[f.Host]
	if f.Host == c.self.Host || (known && !name.after(last)) {
		return
	}
	if d.pollers == nil || len(d.pollers) >= maxPollers {
		d.pollers = make(map[string]noticeName)
	}
	d.pollers[f.Host] = name
	if f.Region != c.self.Region && f.RTT > 0 && nearer*time.Duration(f.RTT)*time.Millisecond < d.delay {
		d.nearAt = c.now
	}
	if f.Started {
		c.tried()
	} else {
		c.heardFresh(poll{version: f.Version, seen: f.Cursor, at: c.ago(f.HeadAge), told: c.now})
	}
	c.floodFresh(l.id, f)
}

func (c *Core) floodFresh(from LinkID, f PollNotice) {
	for _, l := range c.sortedLinks() {
		if l.id != from && !l.lazy && !c.introductionOnly(l) {
			c.send(l, f)
		}
	}
}

// fetchAt is from when on a version that a peer has may be asked for.
func (c *Core) fetchAt() time.Time {
	switch {
	case !c.cfg.DelegatePolling || !c.version.ready:
		return c.now
	case c.watch.role.now.On:
		// This node's own watch has most likely seen the version too. A peer is
		// asked only if it has not come by then.
		return c.now.Add(hedgeAfter)
	default:
		return c.version.stagedAt.Add(fetchEvery)
	}
}
