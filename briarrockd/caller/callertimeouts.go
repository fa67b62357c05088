package caller

import (
	"sync"
	"time"
)

// retryTimeoutShare is the share of an entry's longest caller timeout that a first
// request has at least. A request with less is taken for a retry.
const retryTimeoutShare = 0.85

// maxTrackedEntries bounds the entries whose longest timeout is kept.
const maxTrackedEntries = 4096

// callerTimeouts records the longest timeout that callers have sent for each entry. A
// caller that retries after a refusal has less time left, and sends a shorter timeout,
// than with its first request.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// observe records the timeout that a caller sent for an entry, and reports whether the
// request appears to be a retry.
func (t *callerTimeouts) observe(entry string, timeout time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.longest == nil || len(t.longest) >= maxTrackedEntries {
		t.longest = make(map[string]time.Duration)
	}
	longest := max(t.longest[entry], timeout)
	t.longest[entry] = longest
	return float64(timeout) < retryTimeoutShare*float64(longest)
}
