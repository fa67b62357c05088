package target

import (
	"context"
	"time"

	"briarrock.example/mesh/kind"
)

// step passes a message to the gate and delivers the gate's decisions to the waiting calls.
func (x *target) step(m Msg) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stepLocked(m)
}

func (x *target) stepLocked(m Msg) {
	for _, c := range x.gate.Step(time.Now(), m) {
		switch c := c.(type) {
		case Start:
			x.deliver(c.ID, c)
		case Refuse:
			x.deliver(c.ID, c)
		}
	}
	x.setTimer()
}

func (x *target) deliver(id CallID, c Cmd) {
	if ch, ok := x.waiters[id]; ok {
		delete(x.waiters, id)
		ch <- c
	}
}

// setTimer schedules the gate's next Tick: when a queued call's deadline or aim passes, or when
// the rate limit lets the next call start.
func (x *target) setTimer() {
	at := x.gate.NextTick()
	if at.IsZero() {
		if x.timer != nil {
			x.timer.Stop()
		}
		return
	}
	d := time.Until(at)
	if x.timer == nil {
		x.timer = time.AfterFunc(d, func() { x.step(Tick{}) })
		return
	}
	x.timer.Reset(d)
}

// acquire waits until the gate starts a call or refuses it. The returned Refuse has kind.None if
// the call was started.
func (x *target) acquire(ctx context.Context, a Arrival) (CallID, Refuse) {
	ch := make(chan Cmd, 1)
	x.mu.Lock()
	x.lastID++
	a.ID = x.lastID
	x.waiters[a.ID] = ch
	x.stepLocked(a)
	x.mu.Unlock()
	select {
	case c := <-ch:
		if r, ok := c.(Refuse); ok {
			return 0, r
		}
		if ctx.Err() == nil {
			return a.ID, Refuse{}
		}
		x.step(Completed{ID: a.ID})
		return 0, Refuse{Kind: kind.Cancel}
	case <-ctx.Done():
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, waiting := x.waiters[a.ID]; waiting {
		delete(x.waiters, a.ID)
		x.stepLocked(Canceled{a.ID})
		return 0, Refuse{Kind: kind.Cancel}
	}
	if _, started := (<-ch).(Start); started {
		x.stepLocked(Completed{ID: a.ID})
	}
	return 0, Refuse{Kind: kind.Cancel}
}
