package caller

import (
	"sync"
	"time"
)

// patienceSpread is the part of the longest deadline that callers of one entry
// have at least when they first ask: below it a request has come back.
const patienceSpread = 0.85

// maxPatience bounds the entries that are remembered.
const maxPatience = 4096

// patience knows how long the callers of each entry are ready to wait at most.
//
// A caller who was refused and comes back has less time left than one who asks
// for the first time, and its answer is worth most until a moment that counts
// from its first request. Taken for a new one it would be queued where it can
// only be late, and make a caller late who could still be answered in time.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// passed takes the time that a caller of an entry has left, and returns how
// long ago it asked first, as far as that shows.
func (p *patience) passed(entry string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil || len(p.longest) >= maxPatience {
		p.longest = make(map[string]time.Duration)
	}
	longest := max(p.longest[entry], left)
	p.longest[entry] = longest
	return max(0, time.Duration(patienceSpread*float64(longest))-left)
}
