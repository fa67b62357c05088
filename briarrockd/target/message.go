package target

import (
	"time"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// CallID identifies a call at one gate.
type CallID uint64

// Msg is an event that the gate processes.
type Msg interface{ msg() }

// Arrival is the arrival of a call to be run.
type Arrival struct {
	ID CallID
	// Caller is the name of the caller, or that of its workspace if Workspace is set.
	Caller    string
	Workspace bool
	Priority  snapshot.Priority
	// Route is the name of the call's route, empty if unknown. Calls of one route take about the
	// same time.
	Route    string
	Deadline time.Time
	// Aim is the call's latency objective as a point in time: a response after it has lost most
	// of its value. Zero if the call has none.
	Aim time.Time
	// CrossRegion is set for a call from another region.
	CrossRegion bool
	// BodyBytes is the length of the request's body, -1 if unknown.
	BodyBytes int64
}

// Canceled reports that the caller of a queued call has disconnected.
type Canceled struct{ ID CallID }

// BodyReceived reports that the body of a started call has been received.
type BodyReceived struct{ ID CallID }

// Completed reports the end of a call that was started.
type Completed struct {
	ID CallID
	// Route is the name of the call's route.
	Route string
	// Duration is the time that the target took to answer.
	Duration time.Duration
	// Shed is set if the target refused the call because of its load.
	Shed bool
	// Failed is set if the call broke off, was late or failed: its duration then says nothing
	// about how long calls take.
	Failed bool
}

// Limits are the limits that the target announces and the operator configures.
type Limits struct {
	// Slots is how many calls may run at once, Queue how many may be queued.
	Slots int
	Queue int
	// LinkBytesPerSecond is the bandwidth of the host's link; 0 if unknown.
	LinkBytesPerSecond float64
}

// Throttle limits the calls started in a second to the target's rate.
type Throttle struct{ Rate Rate }

// Drain turns draining on or off: while it is on, running calls may end and no other call
// starts.
type Drain struct{ On bool }

// Tick reports that time has passed.
type Tick struct{}

func (Arrival) msg()      {}
func (Canceled) msg()     {}
func (BodyReceived) msg() {}
func (Completed) msg()    {}
func (Limits) msg()       {}
func (Throttle) msg()     {}
func (Drain) msg()        {}
func (Tick) msg()         {}

// Cmd is a decision of the gate.
type Cmd interface{ cmd() }

// Start starts a call.
type Start struct{ ID CallID }

// Refuse refuses a call. RetryAfter is the time until a retry is useful, and RetryAfterSeconds
// the same in whole seconds; 0 if unknown.
type Refuse struct {
	ID                CallID
	Kind              kind.Kind
	RetryAfterSeconds int
	RetryAfter        time.Duration
}

func (Start) cmd()  {}
func (Refuse) cmd() {}
