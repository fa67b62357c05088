package target

import (
	"context"
	"time"

	"briarrock.example/mesh/kind"
)

// step gives the gate a message and hands out what it decides.
func (x *target) step(m Msg) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stepLocked(m)
}

func (x *target) stepLocked(m Msg) {
	for _, c := range x.gate.Step(time.Now(), m) {
		switch c := c.(type) {
		case Start:
			x.hand(c.ID, c)
		case Refuse:
			x.hand(c.ID, c)
		}
	}
	x.setTimer()
}

func (x *target) hand(id CallID, c Cmd) {
	if ch, ok := x.waiters[id]; ok {
		delete(x.waiters, id)
		ch <- c
	}
}

// setTimer wakes the gate when a queued call's deadline passes or its turn comes.
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

// enter waits until the gate lets a call run or refuses it.
func (x *target) enter(ctx context.Context, a Arrival) (CallID, Refuse) {
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
		return a.ID, Refuse{}
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
