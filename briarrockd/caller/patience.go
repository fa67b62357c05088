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

// patience knows how long the callers of each entry are ready to wait at most. A
// caller who was refused and comes back has less time left than one who asks for the
// first time.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// returns takes the time that a caller of an entry has left, and tells whether it
// seems to have asked before.
func (p *patience) returns(entry string, left time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil || len(p.longest) >= maxPatience {
		p.longest = make(map[string]time.Duration)
	}
	longest := max(p.longest[entry], left)
	p.longest[entry] = longest
	return float64(left) < patienceSpread*float64(longest)
}
