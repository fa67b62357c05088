package target

import "time"

// How the bodies of requests share the host's link.
const (
	// longBody is the length in bytes from which on a body counts. Shorter ones
	// are sent along with their heads and take a slow link some 20 ms.
	longBody = 16 << 10
	// unknownBody stands for a length that is not known, in bytes.
	unknownBody = 64 << 10
	// eachAtLeast is the share of the link, in bytes a second, that each long
	// body under way is to get: 60 KB then come in within 150 ms.
	eachAtLeast = 400 << 10
	// leastBodies is how many may be under way in any case. One alone leaves the
	// least before the short calls that share the link; that it rests for the way
	// there and back between two costs less.
	leastBodies = 1
	// flowOver is the time over which the use of the link is averaged.
	flowOver = time.Second
)

// bodies bounds how many long bodies come in at once.
//
// A small host's link takes a tenth of a second for one upload. If all that come
// are let in together they fill the queues in front of the link, and everything
// else that the host has to receive stands behind them for seconds: short calls,
// answers to the calls of its own target, heartbeats of its peers. Nothing
// of it fails by itself; it is all late. With few at a time the rest wait where
// they came in, without a byte on the way, and what is short passes.
type bodies struct {
	link   float64          // bytes a second; 0 for no bound
	coming map[CallID]int64 // bytes of those under way
	// flow is the average use of the link by long bodies at flowAt, in bytes a
	// second.
	flow   float64
	flowAt time.Time
}

func (b *bodies) long(a *Arrival) bool {
	return b.link > 0 && (a.BodyBytes < 0 || a.BodyBytes > longBody)
}

func (b *bodies) size(a *Arrival) int64 {
	if a.BodyBytes < 0 {
		return unknownBody
	}
	return a.BodyBytes
}

// most is how many long bodies may come in at once.
func (b *bodies) most() int { return max(leastBodies, int(b.link/eachAtLeast)) }

// room tells whether a call's body may come in now.
func (b *bodies) room(a *Arrival) bool { return !b.long(a) || len(b.coming) < b.most() }

func (b *bodies) begin(now time.Time, a *Arrival) {
	if !b.long(a) {
		return
	}
	if b.coming == nil {
		b.coming = make(map[CallID]int64)
	}
	b.coming[a.ID] = b.size(a)
	b.flow = b.flowNow(now) + float64(b.size(a))/flowOver.Seconds()
	b.flowAt = now
}

func (b *bodies) taken(id CallID) { delete(b.coming, id) }

func (b *bodies) flowNow(now time.Time) float64 {
	return b.flow / (1 + now.Sub(b.flowAt).Seconds()/flowOver.Seconds())
}

// wait is how long a body behind so many bytes of queued ones waits.
func (b *bodies) wait(queued int64) time.Duration {
	for _, n := range b.coming {
		queued += n
	}
	return time.Duration(float64(queued) / b.link * float64(time.Second))
}

// load is how taken the link is: 1 when it is used all the time, more when
// bodies wait for it.
func (b *bodies) load(now time.Time, queued int64) float64 {
	if b.link <= 0 {
		return 0
	}
	return b.flowNow(now)/b.link + float64(queued)/b.link/flowOver.Seconds()
}
