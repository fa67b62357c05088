package caller

import (
	"context"
	"sync"
	"time"
)

const (
	// startupPeriod is how long after its start a node may still be without a configuration
	// or targets for want of time.
	startupPeriod = 3 * time.Second
	// maxStartupWait is the longest that a call is held for them, and holdShare the part of
	// its time left, as 1/holdShare.
	maxStartupWait   = 600 * time.Millisecond
	startupWaitDivisor = 4
	// startupRetryAfter is when it is worth asking a starting node again that held a call in
	// vain.
	startupRetryAfter = 300 * time.Millisecond
)

// startup tells the calls at a node that has just been started when there is a new
// table. Such a node has a configuration within some tenths of a second, and its
// callers have nowhere else to go: refused at once, most would come back too early.
type startup struct {
	startedAt time.Time
	mu    sync.Mutex
	tableSet  chan struct{} // closed with the next table
}

func newStartup() *startup {
	return &startup{startedAt: time.Now(), tableSet: make(chan struct{})}
}

// finished tells whether the node has been up for so long that what is missing is not
// missing for want of time.
func (s *startup) finished() bool { return time.Since(s.startedAt) >= startupPeriod }

// notify wakes the calls that wait for a table.
func (s *startup) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.tableSet)
	s.tableSet = make(chan struct{})
}

// changed is closed with the next table.
func (s *startup) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableSet
}

// wait waits until ready holds, for a part of the time that a call has left.
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
