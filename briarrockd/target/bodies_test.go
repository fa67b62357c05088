package target

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// uploads is a slow link in front of a gate: bodies that were let in share its
// bandwidth, and each call works for a while once its body has come in. Times
// are of its own clock, in steps of a millisecond.
type uploads struct {
	gate    *Gate
	now     time.Time
	link    float64 // bytes a second
	work    time.Duration
	queued  map[CallID]upload
	coming  map[CallID]upload
	working map[CallID]upload
	// most is how many bytes were on the way at once at the worst moment.
	most float64
	// inAim, late and refused count how uploads ended; held is the longest time
	// after which one was refused.
	inAim, late, refused int
	held                 time.Duration
	// short is the longest time that a short call waited for its start.
	short time.Duration
}

type upload struct {
	at   time.Time
	left float64
	ends time.Time
	aim  time.Time
	size int64
}

func (u *uploads) handle(cmds []Cmd) {
	for _, x := range cmds {
		switch x := x.(type) {
		case Start:
			b := u.queued[x.ID]
			delete(u.queued, x.ID)
			if b.size == 0 {
				u.short = max(u.short, u.now.Sub(b.at))
				b.ends = u.now.Add(u.work)
				u.working[x.ID] = b
				continue
			}
			u.coming[x.ID] = b
		case Refuse:
			u.refused++
			u.held = max(u.held, u.now.Sub(u.queued[x.ID].at))
			delete(u.queued, x.ID)
		}
	}
}

func (u *uploads) arrive(id CallID, size int64, aim time.Duration) {
	b := upload{at: u.now, left: float64(size), aim: u.now.Add(aim), size: size}
	u.queued[id] = b
	u.handle(u.gate.Step(u.now, Arrival{
		ID: id, Priority: snapshot.Normal, Deadline: u.now.Add(2 * aim), Aim: b.aim, BodyBytes: size,
	}))
}

// pass lets a millisecond pass.
func (u *uploads) pass() {
	u.now = u.now.Add(time.Millisecond)
	onWay := 0.0
	for id, b := range u.coming {
		onWay += b.left
		b.left -= u.link / 1000 / float64(len(u.coming))
		u.coming[id] = b
	}
	u.most = max(u.most, onWay)
	for id, b := range u.coming {
		if b.left > 0 {
			continue
		}
		delete(u.coming, id)
		b.ends = u.now.Add(u.work)
		u.working[id] = b
		u.handle(u.gate.Step(u.now, BodyReceived{id}))
	}
	for id, b := range u.working {
		if b.ends.After(u.now) {
			continue
		}
		delete(u.working, id)
		switch {
		case b.size == 0:
		case u.now.After(b.aim):
			u.late++
		default:
			u.inAim++
		}
		u.handle(u.gate.Step(u.now, Completed{ID: id, Duration: u.now.Sub(b.at)}))
	}
	u.handle(u.gate.Step(u.now, Tick{}))
}

// TestUploads sends uploads and short calls to a target behind a slow link, at
// half, nine tenths and twice of what the link takes.
//
// The pattern is that of many small hosts, with slots to spare: 7 Mbit/s, uploads of 60 KB on the
// average that work for 370 ms, and calls of other targets with no body. Twenty
// uploads at once would put two seconds of bytes before everything else that
// the host receives. Here no more than one is on the way, short calls never
// wait for them, and what the link can't take in time is refused early, while
// there is time to go elsewhere; the link itself stays in use.
func TestUploads(t *testing.T) {
	c := qt.New(t)
	const (
		link    = 7e6 / 8
		mean    = 60e3
		seconds = 60
		aim     = 1500 * time.Millisecond
	)
	for _, use := range []float64{0.5, 0.9, 2} {
		rng := rand.New(rand.NewPCG(1, 7))
		u := &uploads{
			now: time.Unix(0, 0), link: link, work: 370 * time.Millisecond,
			queued: map[CallID]upload{}, coming: map[CallID]upload{}, working: map[CallID]upload{},
		}
		u.gate = NewGate(Limits{Slots: 40, Queue: 80, LinkBandwidth: link})
		perMS := use * link / mean / 1000
		id, sent := CallID(0), 0
		for range seconds * 1000 {
			if rng.Float64() < perMS {
				id++
				sent++
				u.arrive(id, 20e3+int64(rng.ExpFloat64()*(mean-20e3)), aim)
			}
			if rng.Float64() < 0.01 {
				id++
				u.arrive(id, 0, aim)
			}
			u.pass()
		}
		took := float64(u.inAim) * mean / (link * seconds)
		c.Logf("use %.1f: sent %d, in aim %d, late %d, refused %d (held %v), link used well %.2f, most %.0f KB at once, short waited %v",
			use, sent, u.inAim, u.late, u.refused, u.held, took, u.most/1000, u.short)
		c.Check(u.most <= 400e3, qt.IsTrue)
		c.Check(u.short <= time.Millisecond, qt.IsTrue)
		c.Check(u.late*50 <= sent, qt.IsTrue)
		c.Check(took >= 0.85*min(use, 1), qt.IsTrue, qt.Commentf("%v of the link at %v", took, use))
		c.Check(u.held <= aim, qt.IsTrue)
	}
}
