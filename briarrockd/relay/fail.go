package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"briarrock.example/mesh/kind"
)

// Failure is the JSON body of an error response that a node generates itself, as
// opposed to a response that it relays from a target.
type Failure struct {
	// Kind is the failure kind, as in the Briarrock-Kind header.
	Kind string `json:"kind"`
	// Ran is "yes", "no" or "unknown": whether the request was executed.
	Ran string `json:"ran"`
	// Again is set if the request can be sent again safely.
	Again bool `json:"again"`
	// Text describes the failure for people.
	Text string `json:"text"`
}

// WriteFailure writes an error response of the given kind. ran says whether the
// request was executed, which the call site may know more exactly than the kind
// does. retryAfter is the value of the Retry-After header in seconds; 0 selects
// the default of the kind.
func WriteFailure(w http.ResponseWriter, k kind.Kind, ran kind.Ran, retryAfter int) {
	a := k.Answer()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(kind.HeaderKind, string(k))
	h.Set(kind.HeaderRan, ran.String())
	if retryAfter == 0 {
		retryAfter = a.RetryAfter
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	body, err := json.Marshal(Failure{string(k), ran.String(), a.Retryable && ran == kind.RanNo, a.Text})
	if err != nil {
		body = nil // cannot happen: all fields are strings and bools
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(body)
}

// WriteFailureWithRetryAfter is WriteFailure with a retry delay that is also sent
// in milliseconds, in the Briarrock-After header. Retry-After gets the delay
// rounded up to seconds. A wait of 0 means that the delay is not known; Retry-After
// then has the default of the kind.
func WriteFailureWithRetryAfter(w http.ResponseWriter, k kind.Kind, ran kind.Ran, wait time.Duration) {
	retryAfter := 0
	if wait > 0 {
		w.Header().Set(kind.HeaderAfter, strconv.FormatInt(wait.Milliseconds(), 10))
		retryAfter = int((wait + time.Second - 1) / time.Second)
	}
	WriteFailure(w, k, ran, retryAfter)
}

// RetryAfter returns the retry delay given by a response's headers. Briarrock-After
// takes precedence over Retry-After. It returns 0 if neither header is valid.
func RetryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(kind.HeaderAfter), 10, 64); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}
