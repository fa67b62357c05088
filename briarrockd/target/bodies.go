package target

import "time"

// Limits of the bandwidth that request bodies share on the host's link.
const (
	// longBodyBytes is the length above which a body counts towards the limit. Shorter bodies
	// are sent along with their heads and occupy a slow link for about 20 ms.
	longBodyBytes = 16 << 10
	// unknownBodyBytes is assumed for a body of unknown length.
	unknownBodyBytes = 64 << 10
	// minBodyBandwidth is the bandwidth in bytes a second that each long body in transit should
	// get: 60 KB are then received within 150 ms.
	minBodyBandwidth = 400 << 10
	// minConcurrentBodies is the number of long bodies that may always be in transit. A single
	// body delays the short calls on the same link least. The link is then idle for a round trip
	// between two bodies, which costs less.
	minConcurrentBodies = 1
	// usageWindow is the time over which the use of the link is averaged.
	usageWindow = time.Second
)

// bodyLimiter limits how many long request bodies the host receives at once.
//
// The link of a small host needs a tenth of a second for one upload. If all uploads are admitted
// at once, they fill the queues in front of the link, and everything else that the host receives
// waits behind them for seconds: short calls, responses to its own target's calls, and
// heartbeats of its peers. Nothing fails then, but everything is late. With few uploads at a
// time, the others wait at the node that received them from the caller, without a byte in
// transit, and short messages pass.
type bodyLimiter struct {
	bandwidth float64          // bytes a second; 0 for no bound
	inFlight  map[CallID]int64 // lengths of the bodies in transit
	// usage is the moving average of the bandwidth that long bodies used, at usageAt, in bytes a
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

// limit returns how many long bodies may be in transit at once.
func (b *bodyLimiter) limit() int { return max(minConcurrentBodies, int(b.bandwidth/minBodyBandwidth)) }

// admits reports whether a call's body may be sent now.
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

// wait returns the time that a body waits for the bodies in transit and for queued bytes before
// it.
func (b *bodyLimiter) wait(queued int64) time.Duration {
	for _, n := range b.inFlight {
		queued += n
	}
	return time.Duration(float64(queued) / b.bandwidth * float64(time.Second))
}

// load returns the utilization of the link: 1 if it is always in use, more if bodies are queued.
func (b *bodyLimiter) load(now time.Time, queued int64) float64 {
	if b.bandwidth <= 0 {
		return 0
	}
	return b.currentUsage(now)/b.bandwidth + float64(queued)/b.bandwidth/usageWindow.Seconds()
}
