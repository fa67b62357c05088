package target

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// uploads simulates a slow link in front of a gate: admitted bodies share its bandwidth, and
// each call runs for a while once its body has been received. It has its own clock, in steps of
// a millisecond.
type uploads struct {
	gate      *Gate
	now       time.Time
	link      float64 // bytes a second
	work      time.Duration
	queued    map[CallID]upload
	receiving map[CallID]upload
	working   map[CallID]upload
	// maxInFlightBytes is the highest number of bytes in transit at once.
	maxInFlightBytes float64
	// inTime, late and refused count the outcomes of uploads; maxTimeToRefuse is the longest
	// time after which one was refused.
	inTime, late, refused int
	maxTimeToRefuse       time.Duration
	// maxShortWait is the longest time that a call without a body waited for its start.
	maxShortWait time.Duration
}

type upload struct {
	arrivedAt time.Time
	left      float64
	endsAt    time.Time
	aim       time.Time
	size      int64
}

func (u *uploads) handle(cmds []Cmd) {
	for _, x := range cmds {
		switch x := x.(type) {
		case Start:
			b := u.queued[x.ID]
			delete(u.queued, x.ID)
			if b.size == 0 {
				u.maxShortWait = max(u.maxShortWait, u.now.Sub(b.arrivedAt))
				b.endsAt = u.now.Add(u.work)
				u.working[x.ID] = b
				continue
			}
			u.receiving[x.ID] = b
		case Refuse:
			u.refused++
			u.maxTimeToRefuse = max(u.maxTimeToRefuse, u.now.Sub(u.queued[x.ID].arrivedAt))
			delete(u.queued, x.ID)
		}
	}
}

func (u *uploads) arrive(id CallID, size int64, aim time.Duration) {
	b := upload{arrivedAt: u.now, left: float64(size), aim: u.now.Add(aim), size: size}
	u.queued[id] = b
	u.handle(u.gate.Step(u.now, Arrival{
		ID: id, Priority: snapshot.Normal, Deadline: u.now.Add(2 * aim), Aim: b.aim, BodyBytes: size,
	}))
}

// advance moves the clock by a millisecond.
func (u *uploads) advance() {
	u.now = u.now.Add(time.Millisecond)
	inFlightBytes := 0.0
	for id, b := range u.receiving {
		inFlightBytes += b.left
		b.left -= u.link / 1000 / float64(len(u.receiving))
		u.receiving[id] = b
	}
	u.maxInFlightBytes = max(u.maxInFlightBytes, inFlightBytes)
	for id, b := range u.receiving {
		if b.left > 0 {
			continue
		}
		delete(u.receiving, id)
		b.endsAt = u.now.Add(u.work)
		u.working[id] = b
		u.handle(u.gate.Step(u.now, BodyReceived{id}))
	}
	for id, b := range u.working {
		if b.endsAt.After(u.now) {
			continue
		}
		delete(u.working, id)
		switch {
		case b.size == 0:
		case u.now.After(b.aim):
			u.late++
		default:
			u.inTime++
		}
		u.handle(u.gate.Step(u.now, Completed{ID: id, Duration: u.now.Sub(b.arrivedAt)}))
	}
	u.handle(u.gate.Step(u.now, Tick{}))
}

// TestUploads sends uploads and short calls to a target behind a slow link, at 0.5, 0.9 and 2
// times the link's bandwidth.
//
// The load is that of many small hosts. Their slots are not the limit, but their link of 7 Mbit/s.
// Uploads have 60 KB on average and run for 370 ms, and the calls of other targets have no body.
// Twenty uploads at once would put two seconds of bytes before everything else that the host
// receives. The test checks that at most 400 KB of uploads are in transit, that short calls never
// wait for uploads, that few uploads are late, and that the link stays in use. Uploads that can't
// be received in time must be refused while their callers can still try another target.
func TestUploads(t *testing.T) {
	c := qt.New(t)
	const (
		link    = 7e6 / 8 // bytes a second
		mean    = 60e3    // bytes of an upload
		seconds = 60
		aim     = 1500 * time.Millisecond
	)
	for _, use := range []float64{0.5, 0.9, 2} {
		rng := rand.New(rand.NewPCG(1, 7))
		u := &uploads{
			now: time.Unix(0, 0), link: link, work: 370 * time.Millisecond,
			queued: map[CallID]upload{}, receiving: map[CallID]upload{}, working: map[CallID]upload{},
		}
		u.gate = NewGate(Limits{Slots: 40, Queue: 80, LinkBytesPerSecond: link})
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
			u.advance()
		}
		utilization := float64(u.inTime) * mean / (link * seconds)
		c.Logf("load %.1f: sent %d, in time %d, late %d, refused %d (after %v at most), link utilization %.2f, at most %.0f KB in transit, short calls waited %v at most",
			use, sent, u.inTime, u.late, u.refused, u.maxTimeToRefuse, utilization, u.maxInFlightBytes/1000, u.maxShortWait)
		c.Check(u.maxInFlightBytes <= 400e3, qt.IsTrue)
		c.Check(u.maxShortWait <= time.Millisecond, qt.IsTrue)
		c.Check(u.late*50 <= sent, qt.IsTrue)
		c.Check(utilization >= 0.85*min(use, 1), qt.IsTrue, qt.Commentf("link utilization %v at load %v", utilization, use))
		c.Check(u.maxTimeToRefuse <= aim, qt.IsTrue)
	}
}
