package target

import (
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// CallID names one call at one gate.
type CallID uint64

// Msg is something that happened at a gate.
type Msg interface{ msg() }

// Arrival is a call that wants to be run.
type Arrival struct {
	ID       CallID
	Caller   string
	Priority snapshot.Priority
	// Route names the route that the call came by, empty if nobody says: calls
	// of one route take about the same time.
	Route    string
	Deadline time.Time
	// Aim is when the answer loses most of its worth; zero if nobody says.
	Aim time.Time
	// CrossRegion is set for a call from another region.
	CrossRegion bool
	// BodyBytes is the length of the request's body in bytes, -1 if not known.
	BodyBytes int64
}

// Canceled is a call whose caller went away while it was queued.
type Canceled struct{ ID CallID }

// BodyReceived says that the body of a call that was started has come in.
type BodyReceived struct{ ID CallID }

// Completed is a call that was started and is now at its end.
type Completed struct {
	ID CallID
	// Route is that of the call.
	Route string
	// Duration is the time that the target took.
	Duration time.Duration
	// Shed is set when the target refused it for load.
	Shed bool
	// Failed is set when the target broke off, was late or failed: the time that
	// it took says nothing of how long work takes.
	Failed bool
}

// Limits sets what the target and the operator allow.
type Limits struct {
	Slots int
	Queue int
	// LinkBandwidth is the bandwidth of the host's link in bytes a second; 0 if not known.
	LinkBandwidth float64
}

// Throttle bounds the calls that start in a second to what the target takes.
type Throttle struct{ Rate Rate }

// Drain says that the target leaves: what runs may end, nothing else starts.
type Drain struct{ On bool }

// Tick says that time has passed.
type Tick struct{}

func (Arrival) msg()      {}
func (Canceled) msg()     {}
func (BodyReceived) msg() {}
func (Completed) msg()    {}
func (Limits) msg()       {}
func (Throttle) msg()     {}
func (Drain) msg()        {}
func (Tick) msg()         {}

// Cmd is what a gate decides.
type Cmd interface{ cmd() }

// Start lets a call run.
type Start struct{ ID CallID }

// Refuse turns a call away. After is the number of seconds until it is worth
// asking again, and Wait the same more finely; 0 if nobody knows.
type Refuse struct {
	ID                CallID
	Kind              kind.Kind
	RetryAfterSeconds int
	RetryAfter        time.Duration
}

func (Start) cmd()  {}
func (Refuse) cmd() {}
