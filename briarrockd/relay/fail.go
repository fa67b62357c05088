package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"briarrock.example/mesh/kind"
)

// Failure is the body of an answer that a node itself gives.
type Failure struct {
	Kind  string `json:"kind"`
	Ran   string `json:"ran"`
	Again bool   `json:"again"`
	Text  string `json:"text"`
}

// WriteFailure answers a call with a kind. ran says whether the request ran, where
// this is known better than by the kind alone; after is the number of seconds
// to wait before asking again, 0 for the kind's own.
func WriteFailure(w http.ResponseWriter, k kind.Kind, ran kind.Ran, after int) {
	a := k.Answer()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(kind.HeaderKind, string(k))
	h.Set(kind.HeaderRan, ran.String())
	if after == 0 {
		after = a.After
	}
	if after > 0 {
		h.Set("Retry-After", strconv.Itoa(after))
	}
	body, err := json.Marshal(Failure{string(k), ran.String(), a.Again && ran == kind.RanNo, a.Text})
	if err != nil {
		body = nil // a struct of strings always has a form
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(body)
}

// WriteFailureWithRetryAfter is Fail with the time until it is worth asking again, exact to
// the millisecond; 0 if nobody knows it.
func WriteFailureWithRetryAfter(w http.ResponseWriter, k kind.Kind, ran kind.Ran, wait time.Duration) {
	after := 0
	if wait > 0 {
		w.Header().Set(kind.HeaderAfter, strconv.FormatInt(wait.Milliseconds(), 10))
		after = int((wait + time.Second - 1) / time.Second)
	}
	WriteFailure(w, k, ran, after)
}

// RetryAfter reads the time until it is worth asking again from an answer's head;
// 0 if it says none.
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
