package relay

import (
	"sync"
	"time"
)

// deadlineTimer calls a function after a given time, not counting the time for which it
// is paused.
type deadlineTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	// left is the time that was left at resumedAt.
	left      time.Duration
	resumedAt time.Time
	paused    bool
	// noPause is set once the timer is not to be paused any more.
	noPause bool
}

func newDeadlineTimer(left time.Duration, onExpire func()) *deadlineTimer {
	return &deadlineTimer{timer: time.AfterFunc(left, onExpire), left: left, resumedAt: time.Now()}
}

func (t *deadlineTimer) pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A timer that has expired stays expired.
	if t.paused || t.noPause || !t.timer.Stop() {
		return
	}
	t.paused = true
	t.left -= time.Since(t.resumedAt)
}

func (t *deadlineTimer) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumeLocked()
}

// disablePause resumes the timer for good.
func (t *deadlineTimer) disablePause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noPause = true
	t.resumeLocked()
}

func (t *deadlineTimer) resumeLocked() {
	if !t.paused {
		return
	}
	t.paused = false
	t.resumedAt = time.Now()
	t.timer.Reset(t.left)
}

func (t *deadlineTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paused, t.noPause = false, true
	t.timer.Stop()
}
