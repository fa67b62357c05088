package peer

import (
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
	// clearedTTL is how long a request that has completed is kept together with the
	// reports about it, and maxCrashReports how many reports are kept per request.
	clearedTTL      = 30 * time.Second
	maxCrashReports = 64
)

// crashRecord is the state of one request that was in flight during a crash.
type crashRecord struct {
	service   string
	reportIDs map[uint64]bool // IDs of the reports, so that a relayed report counts once
	crashes   int             // 0 once the request has completed
	updatedAt time.Time
}

// crashTable holds the requests that are suspected of crashing targets, by fingerprint.
type crashTable struct {
	records map[uint64]*crashRecord
}

func newCrashTable() crashTable { return crashTable{records: make(map[uint64]*crashRecord)} }

// onCrashed processes a crash, or the completion of a suspected request, at one of this
// node's targets.
func (c *Core) onCrashed(m Crashed) {
	f := CrashReport{Print: m.Print, Service: m.Service, Crashes: 1, Clear: m.Clear, ID: c.rng.Uint64()}
	if r := c.crashes.records[m.Print]; m.Clear && (r == nil || r.crashes == 0) {
		return
	}
	c.applyCrashReport(0, f)
}

func (c *Core) onCrashReport(l *link, f CrashReport) { c.applyCrashReport(l.id, f) }

// applyCrashReport counts a report once and floods it over all links, the lazy ones
// included: a request that crashes targets must not reach another region because a lazy
// link did not carry the report.
//
// The record of a request is kept for a while after the request has been cleared. The
// report of a crash and the report that clears it spread through the mesh shortly after
// one another. A node that deleted the record on receiving the second would take the
// first for a new report when it arrives by another path, and the two reports would
// circulate forever.
func (c *Core) applyCrashReport(from LinkID, f CrashReport) {
	r := c.crashes.records[f.Print]
	if r == nil {
		if f.Clear || len(c.crashes.records) >= maxCrashRecords {
			return
		}
		r = &crashRecord{service: f.Service, reportIDs: make(map[uint64]bool)}
		c.crashes.records[f.Print] = r
	}
	if r.reportIDs[f.ID] || len(r.reportIDs) >= maxCrashReports || (f.Clear && r.crashes >= HoldThreshold) {
		return
	}
	r.reportIDs[f.ID] = true
	r.updatedAt = c.now
	if f.Clear {
		r.crashes = 0
	} else {
		r.crashes++
	}
	c.emit(HeldRequest{f.Print, r.service, r.crashes})
	if r.crashes == HoldThreshold && !f.Clear {
		c.log(event.RequestHeld, event.Fields{event.Subject: f.Service, "print": f.Print})
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
		if r.crashes == 0 {
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
		if r.crashes >= HoldThreshold {
			out = append(out, HeldRequest{fingerprint, r.service, r.crashes})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Print < out[j].Print })
	return out
}
