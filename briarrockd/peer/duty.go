package peer

import "time"

// Who watches the platform, where the platform's adapter does the reading.
//
// Of a large domain only the first few members watch. A whole configuration for
// each node would fill the links, between regions above all: 40 copies of
// 100 KB take half a second of 60 Mbit/s, and a storm of changes brings several a
// second. The others get versions from their peers as differences, and hear
// from them how long ago the platform was last looked at. A node that hears
// nothing recent looks itself, so there is no duty to hand over: the loss of all
// watchers costs lapseAfter, well within the time in which a change must be in
// force.
const (
	// watchers is the number of members of a domain that watch as a rule: the
	// bridges, from which the tree starts.
	watchers = bridges
	// wholeDomain is the size up to which all of a domain's members watch, each
	// for itself: so few copies cost less than the talk that saves them.
	wholeDomain = 4
	// watchLong is how long one question waits for a change where all watch. A
	// longer one costs fewer calls; but one whose store has fallen silent and come
	// back meanwhile is waited for in vain until its end.
	watchLong = 6 * time.Second
	// watchShort is the same for the watchers of a large domain: others count on
	// the news that there is nothing new.
	watchShort = time.Second
	// lapseAfter is the age of the newest look, as peers tell, from which on a
	// node looks itself: one watchShort and the way here through the tree.
	// lapseSpread is added by the place in the domain, so that the first to
	// look spare the others.
	lapseAfter  = 1500 * time.Millisecond
	lapseSpread = 600 * time.Millisecond
	// lapseKeep is how long a node that has begun to look goes on, so that two
	// of them don't make each other stop and lapse again in turns.
	lapseKeep = 5 * time.Second
	// peersFirst is the time that a starting node gives its peers to send it the
	// version in use, before it reads the whole from the platform. One of a domain
	// where all watch doesn't wait.
	peersFirst = 500 * time.Millisecond
	// maxLookers bounds the hosts whose looks are told apart.
	maxLookers = 256
	// fetchEvery is the least time between two versions that are fetched from
	// peers: in a storm of changes a small node would do nothing else.
	fetchEvery = 250 * time.Millisecond
)

// duty is this node's part in watching the platform.
type duty struct {
	now Watch
	// told is set once a Watch has been given out.
	told bool
	// until is how long a node that looks since nobody else did goes on.
	until time.Time
	// heardAt is the time of the newest look that peers have told of, ownAt
	// that of this node's own newest.
	heardAt time.Time
	ownAt   time.Time
	// looks counts this node's own looks.
	looks uint64
	// lookers is the newest look of each host that was heard of.
	lookers map[string]lookName
}

// lookName tells the looks of one host apart; later ones are greater.
type lookName struct{ incarnation, look uint64 }

func (a lookName) after(b lookName) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	return a.look > b.look
}

// allWatch tells whether each node of this domain watches for itself.
func (h *Heart) allWatch() bool {
	return len(h.table.members(h.self.Domain)) <= wholeDomain
}

// tickDuty decides whether this node is to look at the platform, and how.
func (h *Heart) tickDuty() {
	if !h.cfg.HeadFed {
		return
	}
	w := h.dutyNow()
	d := &h.watch.duty
	if d.told && w.On == d.now.On && w.Wait == d.now.Wait && w.Spare == d.now.Spare {
		return
	}
	d.now, d.told = w, true
	h.do(w)
}

func (h *Heart) dutyNow() Watch {
	w := Watch{On: true, Seen: h.watch.seen}
	i := h.position()
	switch {
	case !h.version.ready:
		w.On = h.version.number > 0 || h.stored.small || h.now.Sub(h.watch.startedAt) >= peersFirst
	case h.allWatch():
		w.Wait = watchLong
	case i >= 0 && i < watchers:
		w.Wait = watchShort
	default:
		w.Spare = true
		w.On = h.lapsed(i)
		if h.now.Sub(h.watch.duty.ownAt) < lapseAfter {
			// The first look is answered at once, and spares the others theirs.
			w.Wait = watchShort
		}
	}
	return w
}

// lapsed tells whether nobody else seems to look at the platform.
func (h *Heart) lapsed(position int) bool {
	d := &h.watch.duty
	place := time.Duration(max(position, 0) - watchers)
	spread := lapseSpread * max(place, 0) / time.Duration(len(h.table.members(h.self.Domain))+1)
	// A version that has come says as well that somebody looks.
	if h.now.Sub(later(d.heardAt, h.version.stagedAt)) > lapseAfter+spread {
		d.until = h.now.Add(lapseKeep)
	}
	return h.now.Before(d.until)
}

// looked takes this node's own look at the platform, which found nothing newer
// than what it has told.
func (h *Heart) looked(m Looked) {
	h.watch.seen = max(h.watch.seen, m.Seen)
	h.headIs(h.version.number, m.At)
	h.tellLook(m.At)
}

// tellLook tells the domain of this node's own look.
func (h *Heart) tellLook(at time.Time) {
	if !h.cfg.HeadFed || h.allWatch() {
		return
	}
	d := &h.watch.duty
	d.looks++
	h.passFresh(0, Fresh{
		Version: h.version.number, Seen: h.watch.seen, Age: age(h.now, at),
		Host: h.self.Host, Incarnation: h.self.Incarnation, Look: d.looks,
	})
}

// fresh takes a peer's word of a look at the platform, and passes it on.
//
// Each look counts once. Its age doesn't grow on its way over a link; if a look
// could come back to a node by another way it would seem younger each time, and
// over slow links a domain would go on telling itself that somebody looks long
// after nobody did.
func (h *Heart) fresh(l *link, f Fresh) {
	d := &h.watch.duty
	name := lookName{f.Incarnation, f.Look}
	last, known := d.lookers[f.Host]
	if f.Host == h.self.Host || (known && !name.after(last)) {
		return
	}
	if d.lookers == nil || len(d.lookers) >= maxLookers {
		d.lookers = make(map[string]lookName)
	}
	d.lookers[f.Host] = name
	h.heardFresh(look{version: f.Version, seen: f.Seen, at: h.ago(f.Age), told: true})
	h.passFresh(l.id, f)
}

func (h *Heart) passFresh(from LinkID, f Fresh) {
	for _, l := range h.sortedLinks() {
		if l.id != from && l.domain == h.self.Domain {
			h.send(l, f)
		}
	}
}

// fetchAt is from when on a version that a peer has may be asked for.
func (h *Heart) fetchAt() time.Time {
	switch {
	case !h.cfg.HeadFed || !h.version.ready:
		return h.now
	case h.watch.duty.now.On:
		// This node's own watch has most likely seen the version too. A peer is
		// asked only if it has not come by then.
		return h.now.Add(hedgeAfter)
	default:
		return h.version.stagedAt.Add(fetchEvery)
	}
}
