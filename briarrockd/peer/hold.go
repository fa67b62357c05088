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
	// holdFor is how long a request is held back after its last crash, and
	// how long a first crash is remembered.
	holdFor = 10 * time.Minute
	// maxHolds bounds the table; past it nothing new is suspected.
	maxHolds = 4096
	// clearedFor is how long a request that has run to its end is remembered
	// with the reports about it, and maxReports how many of these are kept.
	clearedFor = 30 * time.Second
	maxReports = 64
)

// held is what is known of one request that was in flight at a crash.
type held struct {
	service string
	seen    map[uint64]bool // reports, so that a relayed one counts once
	crashes int             // 0 once it has run to its end
	at      time.Time
}

// holds are the requests that are suspected of crashing targets.
type holds struct {
	prints map[uint64]*held
}

func newHolds() holds { return holds{prints: make(map[uint64]*held)} }

// crashed takes what this node saw at its own target.
func (c *Core) crashed(m Crashed) {
	f := CrashReport{Print: m.Print, Service: m.Service, Crashes: 1, Clear: m.Clear, ID: c.rng.Uint64()}
	if p := c.holds.prints[m.Print]; m.Clear && (p == nil || p.crashes == 0) {
		return
	}
	c.takeHold(0, f)
}

func (c *Core) hold(l *link, f CrashReport) { c.takeHold(l.id, f) }

// takeHold counts a report once and passes it on to every link, the lazy ones
// included: a request that crashes targets must not get through to another
// region because one link was quiet.
//
// What was seen of a request outlives its clearing. A crash and the word that the
// request has run to its end go round the mesh close to each other; a node that
// forgot the first on hearing the second would take the first for news when it
// comes by another way, and the two would chase each other for good.
func (c *Core) takeHold(from LinkID, f CrashReport) {
	p := c.holds.prints[f.Print]
	if p == nil {
		if f.Clear || len(c.holds.prints) >= maxHolds {
			return
		}
		p = &held{service: f.Service, seen: make(map[uint64]bool)}
		c.holds.prints[f.Print] = p
	}
	if p.seen[f.ID] || len(p.seen) >= maxReports || (f.Clear && p.crashes >= HoldThreshold) {
		return
	}
	p.seen[f.ID] = true
	p.at = c.now
	if f.Clear {
		p.crashes = 0
	} else {
		p.crashes++
	}
	c.do(HeldRequest{f.Print, p.service, p.crashes})
	if p.crashes == HoldThreshold && !f.Clear {
		c.log(event.RequestHeld, event.Fields{event.Subject: f.Service, "print": f.Print})
	}
	c.relayHold(from, f)
}

func (c *Core) relayHold(from LinkID, f CrashReport) {
	for _, l := range c.sortedLinks() {
		if l.id != from {
			c.send(l, f)
		}
	}
}

func (c *Core) tickHolds() {
	for mark, p := range c.holds.prints {
		kept := holdFor
		if p.crashes == 0 {
			kept = clearedFor
		}
		if c.now.Sub(p.at) > kept {
			delete(c.holds.prints, mark)
			c.do(HeldRequest{mark, p.service, 0})
		}
	}
}

// list returns what is held back now.
func (t *holds) list() []HeldRequest {
	var out []HeldRequest
	for mark, p := range t.prints {
		if p.crashes >= HoldThreshold {
			out = append(out, HeldRequest{mark, p.service, p.crashes})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Print < out[j].Print })
	return out
}
