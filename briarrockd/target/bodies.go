package target

import "time"

// How the bodies of requests share the host's link.
const (
	// longBodyBytes is the length in bytes from which on a body counts. Shorter ones
	// are sent along with their heads and take a slow link some 20 ms.
	longBodyBytes = 16 << 10
	// unknownBodyBytes stands for a length that is not known, in bytes.
	unknownBodyBytes = 64 << 10
	// minBodyBandwidth is the share of the link, in bytes a second, that each long
	// body under way is to get: 60 KB then come in within 150 ms.
	minBodyBandwidth = 400 << 10
	// minConcurrentBodies is how many may be under way in any case. One alone leaves the
	// least before the short calls that share the link; that it rests for the way
	// there and back between two costs less.
	minConcurrentBodies = 1
	// usageWindow is the time over which the use of the link is averaged.
	usageWindow = time.Second
)

// bodyLimiter bounds how many long bodyLimiter come in at once.
//
// A small host's link takes a tenth of a second for one upload. If all that come
// are let in together they fill the queues in front of the link, and everything
// else that the host has to receive stands behind them for seconds: short calls,
// answers to the calls of its own target, heartbeats of its peers. Nothing
// of it fails by itself; it is all late. With few at a time the rest wait where
// they came in, without a byte on the way, and what is short passes.
type bodyLimiter struct {
	bandwidth float64          // bytes a second; 0 for no bound
	inFlight  map[CallID]int64 // bytes of those under way
	// usage is the average use of the link by long bodies at flowAt, in bytes a
	// second.
	usage   float64
	usageAt time.Time
}

func (b *bodyLimiter) isLong(a *Arrival) bool {
	return b.bandwidth > 0 && (a.BodyBytes < 0 || a.BodyBytes > longBodyBytes)
}

func (b *bodyLimiter) size(a *Arrival) int64 {
	if a.BodyBytes < 0 {
		return unknownBodyBytes
	}
	return a.BodyBytes
}

// limit is how many long bodies may come in at once.
func (b *bodyLimiter) limit() int { return max(minConcurrentBodies, int(b.bandwidth/minBodyBandwidth)) }

// admits tells whether a call's body may come in now.
func (b *bodyLimiter) admits(a *Arrival) bool { return !b.isLong(a) || len(b.inFlight) < b.limit() }

func (b *bodyLimiter) start(now time.Time, a *Arrival) {
	if !b.isLong(a) {
		return
	}
	if b.inFlight == nil {
		b.inFlight = make(map[CallID]int64)
	}
	b.inFlight[a.ID] = b.size(a)
	b.usage = b.currentUsage(now) + float64(b.size(a))/usageWindow.Seconds()
	b.usageAt = now
}

func (b *bodyLimiter) received(id CallID) { delete(b.inFlight, id) }

func (b *bodyLimiter) currentUsage(now time.Time) float64 {
	return b.usage / (1 + now.Sub(b.usageAt).Seconds()/usageWindow.Seconds())
}

// wait is how long a body behind so many bytes of queued ones waits.
func (b *bodyLimiter) wait(queued int64) time.Duration {
	for _, n := range b.inFlight {
		queued += n
	}
	return time.Duration(float64(queued) / b.bandwidth * float64(time.Second))
}

// load is how taken the link is: 1 when it is used all the time, more when
// bodies wait for it.
func (b *bodyLimiter) load(now time.Time, queued int64) float64 {
	if b.bandwidth <= 0 {
		return 0
	}
	return b.currentUsage(now)/b.bandwidth + float64(queued)/b.bandwidth/usageWindow.Seconds()
}
