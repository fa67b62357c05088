package peer

import (
	"sort"
	"time"

	"briarrock.example/mesh/event"
)

const (
	// HoldThreshold is how many crashes make a request one that is held back, here and
	// wherever calls are admitted.
	HoldThreshold = 2
	// crashTTL is how long a request is held back after its last crash, and
	// how long a first crash is remembered.
	crashTTL = 10 * time.Minute
	// maxCrashRecords bounds the table; past it nothing new is suspected.
	maxCrashRecords = 4096
	// clearedTTL is how long a request that has run to its end is remembered
	// with the reports about it, and maxCrashReports how many of these are kept.
	clearedTTL      = 30 * time.Second
	maxCrashReports = 64
)

// crashRecord is what is known of one request that was in flight at a crash.
type crashRecord struct {
	service   string
	reportIDs map[uint64]bool // reports, so that a relayed one counts once
	crashes   int             // 0 once it has run to its end
	updatedAt time.Time
}

// crashTable are the requests that are suspected of crashing targets.
type crashTable struct {
	records map[uint64]*crashRecord
}

func newCrashTable() crashTable { return crashTable{records: make(map[uint64]*crashRecord)} }

// onCrashed takes what this node saw at its own target.
func (c *Core) onCrashed(m Crashed) {
	f := CrashReport{Print: m.Print, Service: m.Service, Crashes: 1, Clear: m.Clear, ID: c.rng.Uint64()}
	if p := c.crashes.records[m.Print]; m.Clear && (p == nil || p.crashes == 0) {
		return
	}
	c.applyCrashReport(0, f)
}

func (c *Core) onCrashReport(l *link, f CrashReport) { c.applyCrashReport(l.id, f) }

// applyCrashReport counts a report once and passes it on to every link, the lazy ones
// included: a request that crashes targets must not get through to another
// region because one link was quiet.
//
// What was seen of a request outlives its clearing. A crash and the word that the
// request has run to its end go round the mesh close to each other; a node that
// forgot the first on hearing the second would take the first for news when it
// comes by another way, and the two would chase each other for good.
func (c *Core) applyCrashReport(from LinkID, f CrashReport) {
	p := c.crashes.records[f.Print]
	if p == nil {
		if f.Clear || len(c.crashes.records) >= maxCrashRecords {
			return
		}
		p = &crashRecord{service: f.Service, reportIDs: make(map[uint64]bool)}
		c.crashes.records[f.Print] = p
	}
	if p.reportIDs[f.ID] || len(p.reportIDs) >= maxCrashReports || (f.Clear && p.crashes >= HoldThreshold) {
		return
	}
	p.reportIDs[f.ID] = true
	p.updatedAt = c.now
	if f.Clear {
		p.crashes = 0
	} else {
		p.crashes++
	}
	c.emit(HeldRequest{f.Print, p.service, p.crashes})
	if p.crashes == HoldThreshold && !f.Clear {
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
	for mark, p := range c.crashes.records {
		kept := crashTTL
		if p.crashes == 0 {
			kept = clearedTTL
		}
		if c.now.Sub(p.updatedAt) > kept {
			delete(c.crashes.records, mark)
			c.emit(HeldRequest{mark, p.service, 0})
		}
	}
}

// heldRequests returns what is held back now.
func (t *crashTable) heldRequests() []HeldRequest {
	var out []HeldRequest
	for mark, p := range t.records {
		if p.crashes >= HoldThreshold {
			out = append(out, HeldRequest{mark, p.service, p.crashes})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Print < out[j].Print })
	return out
}
