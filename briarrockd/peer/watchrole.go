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
	// wholeDomain is the size of a domain up to which all of its members watch, each
	// for itself, if no domain of the region is larger.
	wholeDomain = 4
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
func (h *Core) allWatch() bool {
	for _, d := range h.table.domains {
		if d.region == h.self.Region && d.count > wholeDomain {
			return false
		}
	}
	return true
}

// watches tells whether this node is one of those that watch for a large region,
// while no region nearer to the platform does.
func (h *Core) watches() bool {
	if h.now.Sub(h.watch.role.nearAt) <= lapseAfter {
		return false
	}
	return slices.ContainsFunc(h.carriers(h.self.Region), func(r *record) bool { return r.Host == h.self.Host })
}

// updateWatchRole decides whether this node is to poll the platform, and how.
func (h *Core) updateWatchRole() {
	if !h.cfg.DelegatePolling {
		return
	}
	w := h.watchRole()
	h.announce()
	d := &h.watch.role
	if d.told && w.On == d.now.On && w.Wait == d.now.Wait && w.Fallback == d.now.Fallback {
		return
	}
	if w.On && w.Fallback && (!d.now.On || !d.now.Fallback) {
		h.broadcastTry()
	}
	d.now, d.told = w, true
	h.do(w)
}

func (h *Core) watchRole() Watch {
	w := Watch{On: true, Cursor: h.watch.seen}
	switch {
	case !h.version.ready:
		w.On = h.readsAtStart()
	case h.allWatch():
		w.Wait = watchLong
	case h.watches():
		w.Wait = watchShort
	default:
		w.Fallback = true
		w.On = h.lapsed()
		if h.now.Sub(h.watch.role.ownAt) <= announceFor {
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
func (h *Core) readsAtStart() bool {
	since := h.now.Sub(h.watch.startedAt)
	carrier := len(h.links) > 0 && h.watches()
	switch {
	case h.cfg.Bootstrap:
		return since >= bootFirst || (since >= peersFirst && carrier)
	case h.version.number > 0 || h.stored.small:
		return true
	case carrier:
		return since >= carriersFirst
	case len(h.links) == 0:
		return since >= peersFirst
	default:
		return since >= peersFirst+readSpread*time.Duration(max(h.position(), 0))
	}
}

// lapsed tells whether nobody else seems to poll the platform. Where others have just
// tried, this node waits for its turn: a poll that succeeds makes its own needless,
// and one that fails most likely fails for all.
func (h *Core) lapsed() bool {
	d := &h.watch.role
	n := len(h.table.members(h.self.Domain))
	spread := lapseSpread * time.Duration(max(h.position(), 0)) / time.Duration(n+1)
	// A version that has come says as well that somebody polls.
	silent := h.now.Sub(later(d.heardAt, h.version.stagedAt)) > lapseAfter+spread
	if silent && h.now.Sub(d.triedAt) > d.pause {
		d.until = h.now.Add(lapseKeep)
	}
	return h.now.Before(d.until)
}

// pollFailed notes that this node's own poll had no answer. A spare node leaves the
// next try to the others.
func (h *Core) pollFailed() {
	h.watch.fails++
	d := &h.watch.role
	if !d.now.Fallback {
		return
	}
	d.until = time.Time{}
	h.tried()
	h.updateWatchRole()
}

// tried draws the pause after a poll by a spare node, here or elsewhere.
func (h *Core) tried() {
	d := &h.watch.role
	d.triedAt, d.pause = h.now, h.jitter(spareEvery*time.Duration(h.Members()))
}

// polled takes this node's own poll of the platform, which found nothing newer
// than what it has told.
func (h *Core) polled(m Polled) {
	h.watch.seen = max(h.watch.seen, m.Cursor)
	h.watch.role.measured(m.RTT)
	h.headIs(h.version.number, m.At)
	h.broadcastPoll(m.At)
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
func (h *Core) broadcastPoll(at time.Time) {
	d := &h.watch.role
	forOthers := d.now.Fallback || (d.now.Wait > 0 && h.now.Sub(h.watch.startedAt) >= announceAfter)
	if !h.cfg.DelegatePolling || h.allWatch() || !d.now.On || !forOthers {
		return
	}
	d.announcedAt = h.now
	f := h.ownNotice()
	f.Version, f.Cursor, f.HeadAge = h.version.number, h.watch.seen, age(h.now, at)
	f.RTT = uint64(d.delay.Milliseconds())
	h.floodFresh(0, f)
}

// announce tells the other nodes that this node still watches, while its poll waits.
func (h *Core) announce() {
	d := &h.watch.role
	waits := d.now.On && d.now.Wait > 0 && h.watch.fails == 0
	if waits && h.now.Sub(d.announcedAt) >= announceEvery && h.now.Sub(d.ownAt) <= announceFor {
		h.broadcastPoll(d.ownAt)
	}
}

// broadcastTry tells the other nodes that this one begins to poll since nobody else
// seems to.
func (h *Core) broadcastTry() {
	f := h.ownNotice()
	f.Started = true
	h.floodFresh(0, f)
}

func (h *Core) ownNotice() PollNotice {
	d := &h.watch.role
	d.notices++
	return PollNotice{Host: h.self.Host, Incarnation: h.self.Incarnation, Serial: d.notices, Region: h.self.Region}
}

// fresh takes a peer's notice of a poll of the platform, and passes it on.
//
// Each poll counts once. Its age doesn't grow on its way over a link; if a poll
// could come back to a node by another way it would seem younger each time, and
// over slow links a region would go on telling itself that somebody polls long
// after nobody did.
func (h *Core) fresh(l *link, f PollNotice) {
	d := &h.watch.role
	name := noticeName{f.Incarnation, f.Serial}
	last, known := d.pollers[f.Host]
	if f.Host == h.self.Host || (known && !name.after(last)) {
		return
	}
	if d.pollers == nil || len(d.pollers) >= maxPollers {
		d.pollers = make(map[string]noticeName)
	}
	d.pollers[f.Host] = name
	if f.Region != h.self.Region && f.RTT > 0 && nearer*time.Duration(f.RTT)*time.Millisecond < d.delay {
		d.nearAt = h.now
	}
	if f.Started {
		h.tried()
	} else {
		h.heardFresh(poll{version: f.Version, seen: f.Cursor, at: h.ago(f.HeadAge), told: h.now})
	}
	h.floodFresh(l.id, f)
}

func (h *Core) floodFresh(from LinkID, f PollNotice) {
	for _, l := range h.sortedLinks() {
		if l.id != from && !l.lazy && !h.restricted(l) {
			h.send(l, f)
		}
	}
}

// fetchAt is from when on a version that a peer has may be asked for.
func (h *Core) fetchAt() time.Time {
	switch {
	case !h.cfg.DelegatePolling || !h.version.ready:
		return h.now
	case h.watch.role.now.On:
		// This node's own watch has most likely seen the version too. A peer is
		// asked only if it has not come by then.
		return h.now.Add(hedgeAfter)
	default:
		return h.version.stagedAt.Add(fetchEvery)
	}
}
