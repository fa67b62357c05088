package caller

import (
	"context"
	"sync"
	"time"
)

const (
	// startFor is how long after its start a node may still be without a configuration
	// or targets for want of time.
	startFor = 3 * time.Second
	// holdFor is the longest that a call is held for them, and holdShare the part of
	// its time left, as 1/holdShare.
	holdFor   = 600 * time.Millisecond
	holdShare = 4
	// startAgain is when it is worth asking a starting node again that held a call in
	// vain.
	startAgain = 300 * time.Millisecond
)

// starting tells the calls at a node that has just been started when there is a new
// table. Such a node has a configuration within some tenths of a second, and its
// callers have nowhere else to go: refused at once, most would come back too early.
type starting struct {
	began time.Time
	mu    sync.Mutex
	next  chan struct{} // closed with the next table
}

func newStarting() *starting {
	return &starting{began: time.Now(), next: make(chan struct{})}
}

// over tells whether the node has been up for so long that what is missing is not
// missing for want of time.
func (s *starting) over() bool { return time.Since(s.began) >= startFor }

// tell wakes the calls that wait for a table.
func (s *starting) tell() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.next)
	s.next = make(chan struct{})
}

// changed is closed with the next table.
func (s *starting) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// hold waits until ready holds, for a part of the time that a call has left.
func (s *starting) hold(ctx context.Context, left time.Duration, ready func() bool) {
	timer := time.NewTimer(min(holdFor, left/holdShare))
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
