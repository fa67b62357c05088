package caller

import (
	"context"
	"sync"
	"time"
)

const (
	// startupPeriod is how long after its start a node may lack a configuration or
	// targets because they have not arrived yet.
	startupPeriod = 3 * time.Second
	// maxStartupWait and startupWaitDivisor bound how long a call waits for them: for at
	// most maxStartupWait, and for at most 1/startupWaitDivisor of its time left.
	maxStartupWait     = 600 * time.Millisecond
	startupWaitDivisor = 4
	// startupRetryAfter is the retry delay for callers whose call has waited at a
	// starting node in vain.
	startupRetryAfter = 300 * time.Millisecond
)

// startup notifies the calls at a node that has just started when a new routing table is
// set, or a proof of its version has arrived. Such a node gets a configuration within some tenths of a second, and its callers
// can use no other node. If they were refused at once, most would retry too early.
type startup struct {
	startedAt time.Time
	mu        sync.Mutex
	next      chan struct{} // closed at the next table or proof
}

func newStartup() *startup {
	return &startup{startedAt: time.Now(), next: make(chan struct{})}
}

// finished reports whether startupPeriod is over: a configuration or target that is still
// missing is then not just late.
func (s *startup) finished() bool { return time.Since(s.startedAt) >= startupPeriod }

// notify wakes the calls that wait for a table or a proof.
func (s *startup) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.next)
	s.next = make(chan struct{})
}

// changed returns a channel that is closed when the next table is set or the next proof
// arrives.
func (s *startup) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// wait blocks until ready returns true, for at most a part of the time that a call has
// left.
func (s *startup) wait(ctx context.Context, timeLeft time.Duration, ready func() bool) {
	timer := time.NewTimer(min(maxStartupWait, timeLeft/startupWaitDivisor))
	defer timer.Stop()
	for {
		changed := s.changed()
		if ready() {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
