package peer

import (
	"slices"
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

const (
	// HoldThreshold is the number of crashes from which on a request is held back, both
	// in this package and where calls are admitted.
	HoldThreshold = 2
	// crashTTL is how long a request is held back after its last crash, and how long
	// the first crash is remembered.
	crashTTL = 10 * time.Minute
	// maxCrashRecords is the maximum number of suspected requests. While the table is
	// full no further requests are suspected.
	maxCrashRecords = 4096
	// clearedTTL is how long a request is remembered that has been cleared of all crashes.
	clearedTTL = 30 * time.Second
	// maxCrashes is the maximum number of crashes that are kept per request.
	maxCrashes = 64
)

// crashRecord holds the crashes during which one request was in flight.
type crashRecord struct {
	service string
	// cleared has an entry for each crash, by its ID: true once the request has been
	// cleared of it. Entries are never removed and change only to true, so that reports
	// may arrive in any order and by several paths.
	cleared   map[uint64]bool
	updatedAt time.Time
}

// uncleared returns the IDs of the crashes that the request has not been cleared of, in
// ascending order.
func (r *crashRecord) uncleared() []uint64 {
	var ids []uint64
	for id, cleared := range r.cleared {
		if !cleared {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// add records a report. It returns false for a duplicate, or if the record is full.
func (r *crashRecord) add(f CrashReport) bool {
	cleared, known := r.cleared[f.ID]
	if known && (cleared || !f.Clear) || !known && len(r.cleared) >= maxCrashes {
		return false
	}
	r.cleared[f.ID] = f.Clear
	return true
}

// crashTable holds the requests that are suspected of crashing targets, by fingerprint.
type crashTable struct {
	records map[uint64]*crashRecord
}

func newCrashTable() crashTable { return crashTable{records: make(map[uint64]*crashRecord)} }

// onCrashed processes a crash, or the completion of a suspected request, at one of this
// node's targets. A request that has completed is cleared of all crashes known so far.
func (c *Core) onCrashed(m Crashed) {
	f := CrashReport{Print: m.Print, Service: m.Service, Crashes: 1, ID: m.ID, Clear: m.Clear}
	if !m.Clear {
		c.applyCrashReport(0, f)
		return
	}
	r := c.crashes.records[m.Print]
	if r == nil {
		return
	}
	for _, f.ID = range r.uncleared() {
		c.applyCrashReport(0, f)
	}
}

func (c *Core) onCrashReport(l *link, f CrashReport) { c.applyCrashReport(l.id, f) }

// applyCrashReport adds a report to the record of its request and, if it was new, floods it
// over all links, the lazy ones included: a request that crashes targets must not reach
// another region because a lazy link did not carry the report.
//
// All reports of one crash have the same ID, so that several requests with one fingerprint
// in flight at a crash count as one crash. A report that clears a crash may overtake the
// report of that crash, and is recorded too.
func (c *Core) applyCrashReport(from LinkID, f CrashReport) {
	r := c.crashes.records[f.Print]
	if r == nil {
		if len(c.crashes.records) >= maxCrashRecords {
			return
		}
		r = &crashRecord{service: f.Service, cleared: make(map[uint64]bool)}
		c.crashes.records[f.Print] = r
	}
	before := len(r.uncleared())
	if !r.add(f) {
		return
	}
	r.updatedAt = c.now
	crashes := len(r.uncleared())
	c.emit(HeldRequest{f.Print, r.service, crashes})
	switch {
	case before < HoldThreshold && crashes >= HoldThreshold:
		c.log(event.RequestHeld, event.Fields{event.Subject: r.service, "print": f.Print, "crashes": r.uncleared()})
	case before >= HoldThreshold && crashes < HoldThreshold:
		c.log(event.RequestReleased, event.Fields{event.Subject: r.service, "print": f.Print})
	}
	c.relayCrashReport(from, f)
}

func (c *Core) relayCrashReport(from LinkID, f CrashReport) {
	for _, l := range c.sortedLinks() {
		if l.id != from {
			c.send(l, f)
		}
	}
}

func (c *Core) tickCrashes() {
	for fingerprint, r := range c.crashes.records {
		ttl := crashTTL
		if len(r.uncleared()) == 0 {
			ttl = clearedTTL
		}
		if c.now.Sub(r.updatedAt) > ttl {
			delete(c.crashes.records, fingerprint)
			c.emit(HeldRequest{fingerprint, r.service, 0})
		}
	}
}

// heldRequests returns the requests that are held back now.
func (t *crashTable) heldRequests() []HeldRequest {
	var out []HeldRequest
	for fingerprint, r := range t.records {
		if crashes := len(r.uncleared()); crashes >= HoldThreshold {
			out = append(out, HeldRequest{fingerprint, r.service, crashes})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Print < out[j].Print })
	return out
}
