package target

import (
	"net/http"
	"strconv"
	"time"

	"briarrock.example/mesh/event"
)

// Headers in which a target reports its state in its responses.
const (
	// HeaderRate is the rate limit that the target advertises, in requests a second from all
	// callers together. Without it there is no limit.
	HeaderRate = "Briarrock-Rate"
	// HeaderLeaving is set once the target is about to stop.
	HeaderLeaving = "Briarrock-Leaving"
)

// observeResponse applies the state that a target reports in the headers of its response to a
// request sent at sent.
func (t *Targets) observeResponse(x *target, h http.Header, sent time.Time) {
	t.observeRate(x, h, sent)
	t.observeLeaving(x, h, "answer")
}

// observeHealth applies the state that a target reports in its response to a health check. A
// response without a rate does not end the rate limit: only responses to requests are known to
// carry one.
func (t *Targets) observeHealth(x *target, h http.Header, sent time.Time) {
	if h.Get(HeaderRate) != "" {
		t.observeRate(x, h, sent)
	}
	t.observeLeaving(x, h, "health")
}

func (t *Targets) observeLeaving(x *target, h http.Header, source string) {
	text := h.Get(HeaderLeaving)
	if text == "" {
		return
	}
	leaving, err := strconv.ParseBool(text)
	if err != nil {
		t.deps.Log.Emit(event.AnswerBad, event.Fields{event.Subject: x.addr, "service": x.service, "leaving": text, "reason": "not a boolean"})
		return
	}
	if leaving {
		t.markLeaving(x, source)
	}
}

// markLeaving stops new calls to a target that is about to stop. A process never leaves that
// state, even if announcements that were sent earlier arrive afterwards.
func (t *Targets) markLeaving(x *target, source string) {
	if x.leaving.Swap(true) {
		return
	}
	t.mu.Lock()
	last := x.announcement
	last.State = StateDraining
	t.recordIfDraining(last)
	t.mu.Unlock()
	t.deps.Log.Emit(event.TargetState, event.Fields{event.Subject: x.addr, "id": last.ID, "state": StateDraining, "source": source})
	x.step(Drain{On: true})
	t.notifyChange()
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
	t.setRate(x, "answer", func(n *advertisedRate) { n.updateFromResponse(sent, time.Now(), r) })
}

// setRate applies a change to the rate that a target advertises, and to its gate if the rate
// differs.
func (t *Targets) setRate(x *target, source string, change func(*advertisedRate)) {
	x.mu.Lock()
	old := x.advertised
	change(&x.advertised)
	updated := x.advertised
	if updated.rate != old.rate {
		x.stepLocked(Throttle{updated.rate})
	}
	x.mu.Unlock()
	if updated.rate != old.rate {
		t.logRateChange(x, old, updated, source)
	}
}

func (t *Targets) logRateChange(x *target, old, updated advertisedRate, source string) {
	f := event.Fields{
		event.Subject: x.addr, "service": x.service, "id": t.lastAnnouncement(x).ID,
		"from": old.rate.String(), "rate": updated.rate.String(), "source": source,
	}
	if !old.updatedAt.IsZero() {
		f["age"] = time.Since(old.updatedAt).Milliseconds()
	}
	t.deps.Log.Emit(event.TargetRate, f)
}

// applyReports applies the notices that a caller's node sent about this host's targets. A node
// process that was started later than a target has not received what the target reported before.
func (t *Targets) applyReports(reports []Notice) {
	if len(reports) == 0 {
		return
	}
	for _, x := range t.list() {
		for _, n := range reports {
			if n.Process != x.process {
				continue
			}
			t.setRate(x, "report", func(advertised *advertisedRate) { advertised.updateFromReport(n.Rate) })
			if n.Leaving {
				t.markLeaving(x, "report")
			}
		}
	}
}

// notice returns the state that this node reports of a target, and false if the target has
// reported nothing.
func (x *target) notice() (Notice, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := Notice{Process: x.process, Rate: x.advertised.rate, Leaving: x.leaving.Load(), At: x.advertised.updatedAt}
	return n, x.advertised.known || n.Leaving
}

// countRateLimited returns the number of targets of this host that advertise a rate.
func (t *Targets) countRateLimited() int {
	n := 0
	for _, x := range t.list() {
		if notice, _ := x.notice(); notice.Rate.bounded {
			n++
		}
	}
	return n
}

// addRateFields adds the rate in force to the fields of a call's log line, with the number of
// calls that it lets start now (tokens) and the age of the rate in milliseconds (rateage).
func (x *target) addRateFields(f event.Fields) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.advertised.rate.bounded {
		return
	}
	now := time.Now()
	f["rate"], f["tokens"] = x.advertised.rate.String(), strconv.FormatFloat(x.gate.pacer.tokens(now), 'f', 2, 64)
	if !x.advertised.updatedAt.IsZero() {
		f["rateage"] = now.Sub(x.advertised.updatedAt).Milliseconds()
	}
}
