package peer

import (
	"maps"
	"time"

	"briarrock.example/mesh/event"
)

// versionLag is how far the version in use is behind, for the log.
type versionLag struct {
	newest uint64    // the newest version that a peer or a poll has named
	since  time.Time // when the first version above the one in use was named; zero if none
	logged bool      // that this node is behind
	// named has the versions above the one in use that have been named.
	named map[uint64]versionHistory
	// The rest is about the version in use: the time from since until it arrived, from source,
	// after tries fetches.
	duration time.Duration
	source   string
	tries    int
	history  versionHistory
}

// versionHistory is how a version came to this node. Times are zero for what has not happened.
type versionHistory struct {
	namedBy   string // the peer, or platformSource
	namedAt   time.Time
	fetchedAt time.Time // when it was first requested from a peer or the store
}

// maxNamed bounds versionLag.named.
const maxNamed = 64

// behindLogDelay is how long a newer version has to be known before the log has that this
// node is behind.
const behindLogDelay = time.Second

// linkSource returns the host at the other end of a link, or platformSource for 0.
func (c *Core) linkSource(id LinkID) string {
	if l := c.links[id]; l != nil {
		return l.host
	}
	return platformSource
}

// nameVersion records that a peer or a poll has named a version.
func (c *Core) nameVersion(number uint64, by string) {
	lag := &c.version.lag
	lag.newest = max(lag.newest, number)
	if number <= c.version.number {
		return
	}
	if lag.since.IsZero() {
		lag.since = c.now
	}
	if _, ok := lag.named[number]; !ok && len(lag.named) < maxNamed {
		if lag.named == nil {
			lag.named = make(map[uint64]versionHistory)
		}
		lag.named[number] = versionHistory{namedBy: by, namedAt: c.now}
	}
}

// recordFetch records that a version is requested.
func (lag *versionLag) recordFetch(number uint64, now time.Time) {
	if h, ok := lag.named[number]; ok && h.fetchedAt.IsZero() {
		h.fetchedAt = now
		lag.named[number] = h
	}
}

// endLag records how the version in use has come.
func (c *Core) endLag(source string) {
	lag := &c.version.lag
	lag.duration, lag.source, lag.tries = 0, source, c.version.pending.tries
	if !lag.since.IsZero() {
		lag.duration = c.now.Sub(lag.since)
	}
	history, ok := lag.named[c.version.number]
	if !ok {
		history = versionHistory{namedBy: source, namedAt: c.now}
	}
	lag.history = history
	maps.DeleteFunc(lag.named, func(n uint64, _ versionHistory) bool { return n <= c.version.number })
	lag.since, lag.logged = time.Time{}, false
	for _, h := range lag.named {
		if lag.since.IsZero() || h.namedAt.Before(lag.since) {
			lag.since = h.namedAt
		}
	}
}

// logInUse logs how the version that is served from now on has come.
func (c *Core) logInUse() {
	v := &c.version
	h := &v.lag.history
	fetched := int64(-1)
	if !h.fetchedAt.IsZero() {
		fetched = h.fetchedAt.Sub(h.namedAt).Milliseconds()
	}
	c.log(event.VersionInUse, event.Fields{
		event.Subject: v.hash.Short(), "version": v.number, "from": v.lag.source, "behind": v.lag.duration.Milliseconds(),
		"by": h.namedBy, "fetched": fetched, "arrived": v.stagedAt.Sub(h.namedAt).Milliseconds(),
		"tries": v.lag.tries, "staged": c.now.Sub(v.stagedAt).Milliseconds(), "polled": c.ownPollAge(),
	})
}

// logLag logs once that this node is behind.
func (c *Core) logLag() {
	v := &c.version
	if v.lag.since.IsZero() || v.lag.logged || c.now.Sub(v.lag.since) < behindLogDelay {
		return
	}
	v.lag.logged = true
	c.log(event.VersionBehind, event.Fields{
		"version": v.number, "newest": v.lag.newest, "behind": c.now.Sub(v.lag.since).Milliseconds(),
		"fetching": v.pending.number, "tries": v.pending.tries, "links": len(c.links),
		"polled": c.ownPollAge(), "fails": c.watch.failures,
	})
}

// ownPollAge returns the age of this node's own newest answered poll in milliseconds, or -1
// if there is none.
func (c *Core) ownPollAge() int64 {
	if c.watch.role.ownPollAt.IsZero() {
		return -1
	}
	return c.now.Sub(c.watch.role.ownPollAt).Milliseconds()
}
