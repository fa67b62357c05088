package caller

import (
	"sync"
	"time"
)

// retryTimeoutShare is the part of the longest deadline that callers of one entry
// have at least when they first ask: below it a request has come back.
const retryTimeoutShare = 0.85

// maxTrackedEntries bounds the entries that are remembered.
const maxTrackedEntries = 4096

// callerTimeouts knows how long the callers of each entry are ready to wait at most. A
// caller who was refused and comes back has less time left than one who asks for the
// first time.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// observe takes the time that a caller of an entry has left, and tells whether it
// seems to have asked before.
func (p *callerTimeouts) observe(entry string, timeout time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil || len(p.longest) >= maxTrackedEntries {
		p.longest = make(map[string]time.Duration)
	}
	longest := max(p.longest[entry], timeout)
	p.longest[entry] = longest
	return float64(timeout) < retryTimeoutShare*float64(longest)
}
