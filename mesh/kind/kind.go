// Package kind defines the closed set of failure kinds of calls and operator
// requests, and the table that maps each kind to its HTTP response.
//
// Every failure reported outside a process has exactly one Kind. The Kind
// determines the three properties that a caller acts on: the HTTP status,
// whether a target executed the request (Ran), and whether the request is safe
// to retry (Retryable). No other code determines them, so that the same failure
// is reported in the same way by every part of the system.
//
// Ran is the most important column of the table. RanNo guarantees that no byte
// of the request can have reached the target. Where that cannot be proven, the
// kind must be one whose Ran is RanUnknown.
//
//	k := kind.Full
//	w.Header().Set(kind.HeaderRan, k.Answer().Ran.String())
//	w.WriteHeader(k.Answer().Status)
package kind

import "net/http"

// Ran reports whether a target executed a request.
type Ran int

// The values of Ran.
const (
	// RanUnknown means that bytes of the request may have reached a target.
	RanUnknown Ran = iota
	// RanNo guarantees that no byte of the request reached a target.
	RanNo
	// RanYes means that a target has answered the request.
	RanYes
)

// String returns the value of the Briarrock-Ran header.
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

// ParseRan parses the value of a Briarrock-Ran header. It returns RanUnknown,
// which guarantees nothing, for any other value.
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

// Response headers that describe a failure to the caller.
const (
	HeaderKind = "Briarrock-Kind"
	HeaderRan  = "Briarrock-Ran"
	// HeaderAfter is the delay before a retry in milliseconds. Retry-After only
	// has a resolution of one second.
	HeaderAfter = "Briarrock-After"
)

// Kind is a failure kind. Its string is the value of the Briarrock-Kind header
// and the name of the kind in logs and metrics.
type Kind string

// The failure kinds. docs/ERRORS.md documents each of them for operators; a
// test checks that the page and this list agree.
const (
	None      Kind = ""
	Config    Kind = "config"    // this node has no configuration yet
	Service   Kind = "service"   // no such service
	Route     Kind = "route"     // the service has no route for this request
	Caller    Kind = "caller"    // the caller is not allowed to use the route
	Empty     Kind = "empty"     // the service has no live target
	Full      Kind = "full"      // the target's slots and queue are full
	Rate      Kind = "rate"      // the target's limit of requests per second is reached
	Shed      Kind = "shed"      // the target refused the request without executing it
	Limit     Kind = "limit"     // the caller's share of a queue is used up
	Drain     Kind = "drain"     // the target or the node is draining
	Refused   Kind = "refused"   // the connection to the target could not be opened
	Deadline  Kind = "deadline"  // the deadline passed before the request was sent
	Late      Kind = "late"      // the deadline passed after the request was sent
	Broken    Kind = "broken"    // the connection failed after the request was sent
	Stall     Kind = "stall"     // no byte was transferred for too long
	Held      Kind = "held"      // the request is blocked because it crashed targets
	Claim     Kind = "claim"     // the store is unavailable, so the idempotency key cannot be checked
	Repeat    Kind = "repeat"    // the idempotency key was already used; outcome unknown
	Conflict  Kind = "conflict"  // the idempotency key was used with another request
	Key       Kind = "key"       // the idempotency key is malformed
	Workspace Kind = "workspace" // the caller's key is missing or belongs to no workspace
	Allowance Kind = "allowance" // the workspace's allowance of requests is used up
	Unproven  Kind = "unproven"  // this node cannot prove that the caller's key is still valid
	Request   Kind = "request"   // the request is malformed
	Large     Kind = "large"     // the request body is larger than allowed
	Cancel    Kind = "cancel"    // the caller canceled the request
	Internal  Kind = "internal"  // internal error of the node
)

// Answer is the response to a request that failed with a given Kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Ran reports whether a target executed the request.
	Ran Ran
	// Retryable reports whether the same request may be sent again without the
	// risk that it is executed twice.
	Retryable bool
	// RetryAfter is the delay before a retry in seconds; 0 means none is given.
	RetryAfter int
	// Text is a one-line description for people.
	Text string
}

// answers maps each kind to its Status, Ran, Retryable, RetryAfter and Text.
var answers = map[Kind]Answer{
	Config:    {http.StatusServiceUnavailable, RanNo, true, 1, "this node has no configuration yet"},
	Service:   {http.StatusNotFound, RanNo, false, 0, "no service of that name"},
	Route:     {http.StatusNotFound, RanNo, false, 0, "the service has no route for this method and path"},
	Caller:    {http.StatusForbidden, RanNo, false, 0, "this caller may not use the route"},
	Empty:     {http.StatusServiceUnavailable, RanNo, true, 1, "the service has no live target"},
	Full:      {http.StatusServiceUnavailable, RanNo, true, 1, "the service is at its limit"},
	Rate:      {http.StatusServiceUnavailable, RanNo, true, 1, "the target takes no more requests a second"},
	Shed:      {http.StatusServiceUnavailable, RanNo, true, 1, "the target refused the request"},
	Limit:     {http.StatusTooManyRequests, RanNo, true, 1, "this caller is over its share"},
	Drain:     {http.StatusServiceUnavailable, RanNo, true, 1, "the target is leaving"},
	Refused:   {http.StatusBadGateway, RanNo, true, 1, "the target could not be connected to"},
	Deadline:  {http.StatusGatewayTimeout, RanNo, true, 0, "the deadline passed before the request was sent"},
	Late:      {http.StatusGatewayTimeout, RanUnknown, false, 0, "the deadline passed while the target had the request"},
	Broken:    {http.StatusBadGateway, RanUnknown, false, 0, "the connection failed while the target had the request"},
	Stall:     {http.StatusGatewayTimeout, RanUnknown, false, 0, "no byte moved for too long"},
	Held:      {http.StatusServiceUnavailable, RanNo, false, 60, "this request has crashed targets and is held back"},
	Claim:     {http.StatusServiceUnavailable, RanNo, true, 2, "whether this key was used before cannot be decided now"},
	Repeat:    {http.StatusConflict, RanUnknown, false, 0, "this key was sent before and its outcome is not known"},
	Conflict:  {http.StatusUnprocessableEntity, RanNo, false, 0, "this key was used with another request"},
	Key:       {http.StatusBadRequest, RanNo, false, 0, "the idempotency key is malformed"},
	Workspace: {http.StatusUnauthorized, RanNo, false, 0, "the caller's key is missing or unknown"},
	Allowance: {http.StatusTooManyRequests, RanNo, true, 1, "the workspace has used up its allowance"},
	Unproven:  {http.StatusServiceUnavailable, RanNo, true, 1, "this node cannot check the caller's key now"},
	Request:   {http.StatusBadRequest, RanNo, false, 0, "the request is malformed"},
	Large:     {http.StatusRequestEntityTooLarge, RanNo, false, 0, "the request's body is larger than allowed"},
	// 499 is no registered status; nginx uses it for a request that its client canceled.
	Cancel:   {499, RanUnknown, false, 0, "the caller went away"},
	Internal: {http.StatusInternalServerError, RanUnknown, false, 0, "internal fault of the node"},
}

// Answer returns the answer for k. For an undefined kind it returns the answer
// for Internal, which guarantees nothing.
func (k Kind) Answer() Answer {
	a, ok := answers[k]
	if !ok {
		return answers[Internal]
	}
	return a
}

// All returns every kind except None, in no particular order.
func All() []Kind {
	all := make([]Kind, 0, len(answers))
	for k := range answers {
		all = append(all, k)
	}
	return all
}

// Error implements error, so that a kind can be found with errors.As.
func (k Kind) Error() string {
	return string(k) + ": " + k.Answer().Text
}
