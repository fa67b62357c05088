package proof

import (
	"time"

	"github.com/pkg/errors"
)

// Limits of frames.
const (
	// echoWindow is how long the best reading of the peer's clock is preferred to newer
	// ones. The one that was under way for the shortest time gives the tightest bound.
	echoWindow = 10 * time.Second
	// maxHeld is the time for which a clock reading may be held before it is echoed. It
	// bounds the error from the difference of the hosts' clock rates.
	maxHeld = 30 * time.Second
	// maxMillis bounds all times in a frame, so that sums don't overflow: 35 years.
	maxMillis = 1 << 40
	// rateTolerance is the difference of two clocks over maxHeld that is not a fault.
	rateTolerance = 50 * time.Millisecond
	// resendDivisor is the inverse of the share of the proofs' age limit after which a
	// newer proof is sent again. An older proof is replaced at once.
	resendDivisor = 10
	// clockDivisor is the same for a frame without a newer proof. It renews the peer's
	// reading of this host's clock.
	clockDivisor = 2
)

// Frame carries a proof and what bounds its transit time over one link. Times are in
// milliseconds; 0 stands for none.
type Frame struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Age is the age of the proof when the frame was made, rounded up.
	Age uint64 `cbor:"2,keyasint,omitempty"`
	// Clock is the sender's clock at that time, plus 1.
	Clock uint64 `cbor:"3,keyasint"`
	// Echo is a Clock of the receiver, and Held the time since it arrived at the
	// sender, rounded down.
	Echo uint64 `cbor:"4,keyasint,omitempty"`
	Held uint64 `cbor:"5,keyasint,omitempty"`
}

// Errors of Receive. Such a frame proves nothing.
var (
	ErrClock = errors.New("proof: peer's clock is out of range or was set back")
	ErrEcho  = errors.New("proof: echo of a clock reading that was not sent or is too new")
	ErrAge   = errors.New("proof: age is out of range")
)

// Link is the state of one link to a peer. The zero value is that of a new link. A link
// ends with either process, so its clock readings never mix those of two processes.
type Link struct {
	// first and last are the first and the last Clock that was sent.
	first, last uint64
	// heard is the last Clock of the peer. best, which arrived at bestAt, is the one to
	// be echoed.
	heard, best uint64
	bestAt      time.Duration
	// sentAt is the time of the last frame. echoed is set once a frame has had an echo.
	sentAt time.Duration
	echoed bool
	// known is the time of the newest proof that the peer is known to have.
	known time.Duration
}

// Receive takes a frame from the peer at the time now. The proof is valid if ok is set;
// otherwise the frame has none that can be used yet.
//
// The frame was made at the time Echo + Held or later, since the peer can't echo a clock
// reading before it was sent. Time in transit is therefore never counted as the proof's.
func (l *Link) Receive(now time.Duration, f Frame) (p Proof, ok bool, err error) {
	if f.Clock == 0 || f.Clock > maxMillis || f.Clock < l.heard {
		return Proof{}, false, ErrClock
	}
	if f.Age > maxMillis || f.Held > maxMillis {
		return Proof{}, false, ErrAge
	}
	if f.Echo == 0 {
		l.hear(now, f.Clock)
		return Proof{}, false, nil
	}
	made := fromMillis(f.Echo-1) + fromMillis(f.Held)
	if l.last == 0 || f.Echo < l.first || f.Echo > l.last || made > now+rateTolerance {
		return Proof{}, false, ErrEcho
	}
	l.hear(now, f.Clock)
	if f.Age == 0 || fromMillis(f.Held) > maxHeld {
		return Proof{}, false, nil
	}
	p = Proof{Version: f.Version, At: min(made, now) - fromMillis(f.Age)}
	l.known = max(l.known, p.At)
	return p, p.At > 0, nil
}

func fromMillis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (l *Link) hear(now time.Duration, clock uint64) {
	ahead := func(clock uint64, at time.Duration) time.Duration { return fromMillis(clock) - at }
	if l.best == 0 || now-l.bestAt > echoWindow || ahead(clock, now) >= ahead(l.best, l.bestAt) {
		l.best, l.bestAt = clock, now
	}
	l.heard = clock
}

// Heard reports whether a frame has arrived from the peer.
func (l *Link) Heard() bool { return l.heard != 0 }

// Due reports whether a frame with the newest proof, if any, is to be sent at the time
// now. limit is the limit on the age of proofs. On a slow link only a proof that has
// aged is replaced.
func (l *Link) Due(now time.Duration, p Proof, limit time.Duration, slow bool) bool {
	resend, since := limit/resendDivisor, now-l.sentAt
	if slow {
		resend *= 2
	}
	switch {
	case l.last == 0, l.heard != 0 && !l.echoed:
		return true
	case p.At > l.known && l.echoed && (since >= resend || (p.At-l.known >= resend && !slow)):
		return true
	default:
		return since >= limit/clockDivisor
	}
}

// Frame returns the frame to be sent at the time now, with the newest proof if its At is
// not 0.
func (l *Link) Frame(now time.Duration, p Proof) Frame {
	f := Frame{Clock: uint64(now.Milliseconds()) + 1}
	if l.best != 0 {
		f.Echo, f.Held = l.best, uint64((now - l.bestAt).Milliseconds())
		l.echoed = true
	}
	if p.At > 0 {
		f.Version, f.Age = p.Version, uint64((now - p.At + time.Millisecond - 1).Milliseconds())
		f.Age = max(f.Age, 1)
	}
	if l.first == 0 {
		l.first = f.Clock
	}
	l.last, l.sentAt = f.Clock, now
	if f.Echo != 0 {
		l.known = max(l.known, p.At)
	}
	return f
}
