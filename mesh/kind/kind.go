// Package kind is the closed list of ways in which a call or an operator's
// request can fail, with the one table that turns a kind into an answer.
//
// Every failure that leaves a process carries exactly one Kind. The Kind
// decides three things that a caller acts on: the HTTP status, whether the
// request ran at a target (Ran), and whether it is safe to send again (Retryable).
// No other code decides them, so that two parts of the system can never give
// two answers to the same failure.
//
// The heart of the table is Ran. RanNo is a promise: no byte of the request
// can have reached the target. Wherever that can't be shown the kind must be
// one whose Ran is RanUnknown.
//
//	k := kind.Full
//	w.Header().Set(kind.HeaderRan, k.Answer().Ran.String())
//	w.WriteHeader(k.Answer().Status)
package kind

import "net/http"

// Ran tells whether a request was run by a target.
type Ran int

// The three answers to "did it run?".
const (
	// RanUnknown is for a request of which bytes may have reached a target.
	RanUnknown Ran = iota
	// RanNo is the promise that no byte of the request reached a target.
	RanNo
	// RanYes is for a request that a target has answered.
	RanYes
)

// String returns the word used in the Briarrock-Ran header.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// ParseRan reads the word of a Briarrock-Ran header. Anything that it does
// not know is RanUnknown, the one answer that promises nothing.
func ParseRan(s string) Ran {
	switch s {
	case "no":
		return RanNo
	case "yes":
		return RanYes
	default:
		return RanUnknown
	}
}

// Headers that carry a failure from a node to its caller.
const (
	HeaderKind = "Briarrock-Kind"
	HeaderRan  = "Briarrock-Ran"
	// HeaderAfter tells in milliseconds when it is worth asking again, more
	// finely than Retry-After can.
	HeaderAfter = "Briarrock-After"
)

// Kind is one way of failing. Its text is the word in the Briarrock-Kind
// header, in logs and in metrics.
type Kind string

// The closed list. docs/ERRORS.md explains each one to operators; a test holds
// the page and this list together.
const (
	None     Kind = ""
	Config   Kind = "config"   // this node has no configuration yet
	Service  Kind = "service"  // no such service
	Route    Kind = "route"    // the service has no route for this request
	Caller   Kind = "caller"   // this caller may not use the route
	Empty    Kind = "empty"    // the service has no live target
	Full     Kind = "full"     // slots and queue of the target are taken
	Rate     Kind = "rate"     // the target takes no more requests a second
	Shed     Kind = "shed"     // the target itself refused the request, unrun
	Limit    Kind = "limit"    // the caller's share of a queue is taken
	Drain    Kind = "drain"    // the target or the node is leaving
	Refused  Kind = "refused"  // the target could not be connected to
	Deadline Kind = "deadline" // the deadline passed before the request was sent
	Late     Kind = "late"     // the deadline passed after the request was sent
	Broken   Kind = "broken"   // the connection failed after the request was sent
	Stall    Kind = "stall"    // no byte moved for too long
	Held     Kind = "held"     // this request has crashed targets
	Claim    Kind = "claim"    // at-most-once could not be decided: store unavailable
	Repeat   Kind = "repeat"   // the same key was already sent and its outcome is unknown
	Conflict Kind = "conflict" // the same key was used with another request
	Key      Kind = "key"      // the idempotency key is malformed
	Request  Kind = "request"  // the request is malformed
	Large    Kind = "large"    // the request's body is larger than allowed
	Cancel   Kind = "cancel"   // the caller went away
	Internal Kind = "internal" // a fault of the node itself
)

// Answer is what a kind means to whoever asked.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Ran tells whether the request was run.
	Ran Ran
	// Retryable tells whether the very same request may be sent again without
	// the risk of running twice.
	Retryable bool
	// RetryAfter is the number of seconds to wait before asking again; 0 for none.
	RetryAfter int
	// Text is one line for people.
	Text string
}

var table = map[Kind]Answer{
	Config:   {http.StatusServiceUnavailable, RanNo, true, 1, "this node has no configuration yet"},
	Service:  {http.StatusNotFound, RanNo, false, 0, "no service of that name"},
	Route:    {http.StatusNotFound, RanNo, false, 0, "the service has no route for this method and path"},
	Caller:   {http.StatusForbidden, RanNo, false, 0, "this caller may not use the route"},
	Empty:    {http.StatusServiceUnavailable, RanNo, true, 1, "the service has no live target"},
	Full:     {http.StatusServiceUnavailable, RanNo, true, 1, "the service is at its limit"},
	Rate:     {http.StatusServiceUnavailable, RanNo, true, 1, "the target takes no more requests a second"},
	Shed:     {http.StatusServiceUnavailable, RanNo, true, 1, "the target refused the request"},
	Limit:    {http.StatusTooManyRequests, RanNo, true, 1, "this caller is over its share"},
	Drain:    {http.StatusServiceUnavailable, RanNo, true, 1, "the target is leaving"},
	Refused:  {http.StatusBadGateway, RanNo, true, 1, "the target could not be connected to"},
	Deadline: {http.StatusGatewayTimeout, RanNo, true, 0, "the deadline passed before the request was sent"},
	Late:     {http.StatusGatewayTimeout, RanUnknown, false, 0, "the deadline passed while the target had the request"},
	Broken:   {http.StatusBadGateway, RanUnknown, false, 0, "the connection failed while the target had the request"},
	Stall:    {http.StatusGatewayTimeout, RanUnknown, false, 0, "no byte moved for too long"},
	Held:     {http.StatusServiceUnavailable, RanNo, false, 60, "this request has crashed targets and is held back"},
	Claim:    {http.StatusServiceUnavailable, RanNo, true, 2, "whether this key was used before cannot be decided now"},
	Repeat:   {http.StatusConflict, RanUnknown, false, 0, "this key was sent before and its outcome is not known"},
	Conflict: {http.StatusUnprocessableEntity, RanNo, false, 0, "this key was used with another request"},
	Key:      {http.StatusBadRequest, RanNo, false, 0, "the idempotency key is malformed"},
	Request:  {http.StatusBadRequest, RanNo, false, 0, "the request is malformed"},
	Large:    {http.StatusRequestEntityTooLarge, RanNo, false, 0, "the request's body is larger than allowed"},
	Cancel:   {499, RanUnknown, false, 0, "the caller went away"},
	Internal: {http.StatusInternalServerError, RanUnknown, false, 0, "internal fault of the node"},
}

// Answer looks the kind up. A kind that is not in the list is answered as
// Internal, which promises nothing.
func (k Kind) Answer() Answer {
	a, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return a
}

// All returns every kind with an answer, in no particular order.
func All() []Kind {
	all := make([]Kind, 0, len(table))
	for k := range table {
		all = append(all, k)
	}
	return all
}

// Error makes a kind usable as an error, so that errors.As finds it.
func (k Kind) Error() string {
	return string(k) + ": " + k.Answer().Text
}
