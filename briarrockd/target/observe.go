package target

import (
	"net/http"
	"time"

	"briarrock.example/mesh/event"
)

// Headers by which a target tells of itself in its answers.
const (
	// HeaderRate names the requests a second that it takes from all callers together;
	// without it there is no bound.
	HeaderRate = "Briarrock-Rate"
	// HeaderLeaving is set once it is about to stop.
	HeaderLeaving = "Briarrock-Leaving"
)

// observe takes what a target tells of itself in the head of an answer to a request
// that was sent at sent.
func (t *Targets) observe(x *target, h http.Header, sent time.Time) {
	t.observeRate(x, h, sent)
	if h.Get(HeaderLeaving) != "" {
		t.deps.Log.Emit(event.TargetState, event.Fields{event.Subject: x.addr, "id": t.lastAnnouncement(x).ID, "leaving": "answer"})
	}
}

func (t *Targets) observeRate(x *target, h http.Header, sent time.Time) {
	var r Rate
	if text := h.Get(HeaderRate); text != "" {
		var err error
		if r, err = ParseRate(text); err != nil {
			t.deps.Log.Emit(event.AnswerBad, event.Fields{event.Subject: x.addr, "service": x.service, "rate": text, "reason": err.Error()})
			return
		}
	}
	now := time.Now()
	x.mu.Lock()
	old := x.named
	x.named.answered(sent, now, r)
	named := x.named
	x.mu.Unlock()
	if named.rate != old.rate {
		t.logRate(x, old, named, "answer")
	}
}

func (t *Targets) logRate(x *target, old, named namedRate, source string) {
	f := event.Fields{
		event.Subject: x.addr, "service": x.service, "id": t.lastAnnouncement(x).ID,
		"from": old.rate.String(), "rate": named.rate.String(), "source": source,
	}
	if !old.at.IsZero() {
		f["age"] = named.at.Sub(old.at).Milliseconds()
	}
	t.deps.Log.Emit(event.TargetRate, f)
}

// limited is how many targets of this host name a rate now.
func (t *Targets) limited() int {
	n := 0
	for _, x := range t.list() {
		if r := x.rate(); r.bounded {
			n++
		}
	}
	return n
}

// rate is the rate that the target names now.
func (x *target) rate() Rate {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.named.rate
}
