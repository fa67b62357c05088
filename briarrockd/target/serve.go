package target

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// Headers from the node at the entry to the target's node.
const (
	HeaderService     = "Briarrock-Service"
	HeaderDeadline    = "Briarrock-Deadline" // milliseconds that are left
	HeaderAim         = "Briarrock-Aim"      // milliseconds until the answer loses most of its worth
	HeaderCaller      = "Briarrock-Caller"
	HeaderPriority    = "Briarrock-Priority"
	HeaderFingerprint = "Briarrock-Print" // fingerprint of the request
	HeaderRoute       = "Briarrock-Route" // name of the route
	HeaderAtMostOnce  = "Briarrock-Once"  // set if it may run only once
	HeaderCrossRegion = "Briarrock-Far"   // set if the call comes from another region
	// HeaderLoad tells the entry how taken the target is, and HeaderUsual how
	// many milliseconds its work takes as a rule.
	HeaderLoad         = "Briarrock-Load"
	HeaderMeanDuration = "Briarrock-Usual"
	// HeaderInstance tells a target whom the request is for, by its ID.
	HeaderInstance = "Briarrock-Instance"
	// HeaderTrace names a call through all of its way.
	HeaderTrace = "Briarrock-Trace"
)

// maxDeadline bounds what a header may ask for.
const maxDeadline = time.Hour

// call is what the headers of a call say.
type call struct {
	service  string
	caller   string
	priority snapshot.Priority
	route    string
	deadline time.Time
	aim      time.Time // zero if the caller's node says none
	mark     uint64    // fingerprint of the request
	trace    string
	once     bool
	far      bool
	// waited is how long the gate held the call back.
	waited time.Duration
}

func readCall(r *http.Request, now time.Time) (call, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return call{}, false
	}
	mark, _ := strconv.ParseUint(r.Header.Get(HeaderFingerprint), 16, 64)
	priority, _ := strconv.ParseUint(r.Header.Get(HeaderPriority), 10, 8)
	var aim time.Time
	if ms, err := strconv.ParseInt(r.Header.Get(HeaderAim), 10, 64); err == nil && ms <= maxDeadline.Milliseconds() {
		aim = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return call{
		aim:      aim,
		service:  r.Header.Get(HeaderService),
		caller:   r.Header.Get(HeaderCaller),
		priority: min(snapshot.Priority(priority), snapshot.MostUrgent),
		deadline: now.Add(time.Duration(ms) * time.Millisecond),
		route:    r.Header.Get(HeaderRoute),
		mark:     mark,
		trace:    r.Header.Get(HeaderTrace),
		once:     r.Header.Get(HeaderAtMostOnce) != "",
		far:      r.Header.Get(HeaderCrossRegion) != "",
	}, true
}

// ServeHTTP runs a call that another node sends for a target of this host.
func (t *Targets) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c, ok := readCall(r, now)
	if !ok {
		relay.WriteFailure(w, kind.Request, kind.RanNo, 0)
		return
	}
	t.learn(ReadNotices(r.Header, now))
	x := t.find(c.service)
	if x == nil {
		t.refuse(w, c, nil, Refuse{Kind: kind.Drain})
		return
	}
	if c.mark != 0 && t.deps.CrashCount(c.mark) >= peer.HoldThreshold {
		t.refuse(w, c, x, Refuse{Kind: kind.Held})
		return
	}
	relay.EnableFullDuplex(w, r)
	arrive := Arrival{Caller: c.caller, Priority: c.priority, Route: c.route, Deadline: c.deadline, Aim: c.aim, CrossRegion: c.far, BodyBytes: r.ContentLength}
	if t.deps.NoFairQueueing {
		arrive.Caller = ""
	}
	id, refuse := x.enter(r.Context(), arrive)
	if refuse.Kind != kind.None {
		t.refuse(w, c, x, refuse)
		return
	}
	if !t.take(w, r, x, id, c) {
		return
	}
	c.waited = time.Since(now)
	t.waited.Update(c.waited.Seconds())
	t.run(w, r, x, id, c)
}

// heldBodyWithin bounds the time in which a short body comes once it has been asked for.
const heldBodyWithin = 500 * time.Millisecond

// take reads a short body that the caller's node has held back before anything of its
// request goes to the target: without it, the request has not run. It returns false if
// the body did not come.
func (t *Targets) take(w http.ResponseWriter, r *http.Request, x *target, id CallID, c call) bool {
	if r.Header.Get(http1.HeaderHeld) == "" || relay.IsStreamed(r) {
		return true
	}
	// A caller's node that has been cut off meanwhile must not keep the slot.
	b, err := relay.ReadBody(r, min(heldBodyWithin, time.Until(c.deadline)))
	if err != nil {
		x.step(Completed{ID: id, Route: c.route})
		t.refuse(w, c, x, Refuse{Kind: kind.Cancel})
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	return true
}

// find is the least taken target of a service on this host. One that leaves looks idle,
// and is returned only if there is no other.
func (t *Targets) find(service string) *target {
	var best, leaving *target
	least := 0.0
	for _, x := range t.list() {
		admitted, drains := t.open(x)
		if x.service != service || !admitted {
			continue
		}
		if drains {
			leaving = x
			continue
		}
		x.mu.Lock()
		load := x.gate.Load(time.Now())
		x.mu.Unlock()
		if best == nil || load < least {
			best, least = x, load
		}
	}
	return cmp.Or(best, leaving)
}

// open tells whether calls may pass to a target at all, and whether it leaves.
func (t *Targets) open(x *target) (admitted, drains bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return x.admitted, x.drains()
}

func (t *Targets) refuse(w http.ResponseWriter, c call, x *target, r Refuse) {
	t.refused.Inc()
	if r.Kind == kind.Rate {
		t.overRate.Inc()
	}
	f := event.Fields{"trace": c.trace, "service": c.service, "priority": c.priority, "kind": string(r.Kind), "after": r.RetryAfter.Milliseconds()}
	if x != nil {
		f["target"], f["load"] = x.addr, x.writeState(w.Header())
		x.describeRate(f)
	}
	t.deps.Log.Call(event.RunRefused, f, false)
	if r.RetryAfter > 0 {
		relay.WriteFailureWithRetryAfter(w, r.Kind, kind.RanNo, r.RetryAfter)
		return
	}
	relay.WriteFailure(w, r.Kind, kind.RanNo, r.RetryAfterSeconds)
}

// writeState puts into a head how taken the target is and what it has told of itself. It
// returns the load.
func (x *target) writeState(h http.Header) string {
	x.mu.Lock()
	load, usual := x.gate.Load(time.Now()), x.gate.MeanDuration()
	x.mu.Unlock()
	text := strconv.FormatFloat(load, 'f', 2, 64)
	h.Set(HeaderLoad, text)
	if usual > 0 {
		h.Set(HeaderMeanDuration, strconv.FormatInt(usual.Milliseconds(), 10))
	}
	if n, ok := x.notice(); ok {
		WriteNotices(h, time.Now(), n)
	}
	return text
}

// run passes a call that the gate has started on to its target.
func (t *Targets) run(w http.ResponseWriter, r *http.Request, x *target, id CallID, c call) {
	t.started.Inc()
	defer t.track(c.trace)()
	ended := Completed{ID: id, Route: c.route}
	defer func() { x.step(ended) }()
	began := time.Now()
	ctx := r.Context()
	if c.once {
		// What must not run twice is not broken off in the midst either: its
		// caller could not tell how far it came.
		ctx = context.WithoutCancel(ctx)
	}
	res, out := relay.Send(ctx, relay.Call{
		In: r, URL: relay.RebaseURL(x.url, r), Host: r.Host, ExtraHeader: t.towardsTarget(r, x, c),
		Body: body(r, func() { x.step(BodyReceived{id}) }), ContentLength: r.ContentLength, Transport: x.transport, StallTimeout: t.deps.Stall,
		Deadline: c.deadline, Streamed: relay.IsStreamed(r), Once: c.once,
	})
	if res != nil {
		t.observe(x, res.Header, began)
	}
	if res != nil && (res.ContentLength >= 0 || !relay.IsStreamed(r)) {
		if err := relay.BufferResponse(res, relay.MaxBufferedResponse); err != nil {
			res, out = nil, relay.Outcome{Kind: kind.Broken, Sent: true, Err: err}
		}
	}
	ended.Duration = time.Since(began)
	if res == nil {
		ended.Failed = out.Kind == kind.Broken || out.Kind == kind.Late
		t.tell(c, x, ended.Duration, string(out.Kind), out.Err)
		t.failed(w, x, c, out)
		return
	}
	if kind.ParseRan(res.Header.Get(kind.HeaderRan)) == kind.RanNo {
		t.unrun(w, x, c, res, &ended)
		return
	}
	if ended.Shed = shed(res); ended.Shed {
		x.step(ended) // counts now, so that this very answer tells of it
	}
	ended.Failed = res.StatusCode >= http.StatusInternalServerError
	t.tell(c, x, ended.Duration, strconv.Itoa(res.StatusCode), nil)
	_ = x.writeState(w.Header())
	w.Header().Set(kind.HeaderRan, kind.RanYes.String())
	out = relay.CopyResponse(w, res, t.deps.Stall)
	if out.Kind != kind.None {
		panic(http.ErrAbortHandler)
	}
	if c.mark != 0 && t.deps.CrashCount(c.mark) > 0 {
		t.deps.OnCrash(peer.Crashed{Print: c.mark, Service: c.service, Clear: true})
	}
}

// unrun takes a target's answer that it did not run a request: it has no room,
// or it is another target than the one that the request was for.
func (t *Targets) unrun(w http.ResponseWriter, x *target, c call, res *http.Response, ended *Completed) {
	// Read to its end, the refusal leaves the connection for the next request. A
	// target that sheds would otherwise cost its node a new one each time, and a
	// small host's processor is then taken up by them.
	_, _ = io.CopyN(io.Discard, res.Body, maxRefusal)
	_ = res.Body.Close()
	if res.StatusCode == http.StatusMisdirectedRequest {
		t.drop(x, "another target answers at its address")
		t.refuse(w, c, nil, Refuse{Kind: kind.Drain})
		return
	}
	ended.Shed = true
	x.step(*ended)
	t.refuse(w, c, x, Refuse{Kind: kind.Shed, RetryAfter: shedAgain})
}

// maxRefusal bounds what is read of the body of a refusal, in bytes.
const maxRefusal = 4 << 10

// shedAgain is when to ask again after a target refused a request by itself:
// some usual requests have ended by then.
const shedAgain = 50 * time.Millisecond

// tell writes the line of a call that ran.
func (t *Targets) tell(c call, x *target, took time.Duration, outcome string, cause error) {
	plain := len(outcome) > 0 && outcome[0] == '2'
	f := event.Fields{
		"trace": c.trace, "service": c.service, "priority": c.priority, "target": x.addr, "waited": c.waited.Milliseconds(),
		"ms": took.Milliseconds(), "outcome": outcome, "left": time.Until(c.deadline).Milliseconds(),
	}
	if cause != nil {
		f["cause"] = cause.Error()
	}
	x.describeRate(f)
	t.deps.Log.Call(event.RunEnded, f, plain)
}

// body is a request's body, nil for none. taken is called at its end.
func body(r *http.Request, taken func()) io.Reader {
	if r.ContentLength == 0 {
		return nil
	}
	return &taking{r.Body, taken}
}

// taking is a body that tells when it has come in.
type taking struct {
	io.Reader
	taken func()
}

// Read implements io.Reader.
func (t *taking) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	if err != nil && t.taken != nil {
		t.taken()
		t.taken = nil
	}
	return n, err //nolint:wrapcheck // io.EOF must pass as it is
}

// shed tells whether a target's answer is a refusal for load.
func shed(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
}

// towardsTarget are the headers that a target may use: who calls, how much
// time is left, and the name of the call.
func (t *Targets) towardsTarget(r *http.Request, x *target, c call) http.Header {
	h := make(http.Header, 4)
	if id := t.lastAnnouncement(x).ID; id != "" {
		h.Set(HeaderInstance, id)
	}
	for _, name := range []string{HeaderTrace, HeaderCaller} {
		if v := r.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	h.Set(HeaderDeadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 0), 10))
	return h
}

// failed answers a call whose target did not, and finds out whether the
// target has crashed.
func (t *Targets) failed(w http.ResponseWriter, x *target, c call, out relay.Outcome) {
	t.deps.Log.Emit(event.CallFailed, event.Fields{
		event.Subject: x.addr, "service": c.service, "kind": string(out.Kind), "sent": out.Sent,
	})
	ran := out.Kind.Answer().Ran
	if !out.Sent {
		ran = kind.RanNo
	}
	switch out.Kind {
	case kind.Refused:
		t.drop(x, "refuses connections")
	case kind.Broken:
		t.lookForCrash(x, c)
	}
	_ = x.writeState(w.Header())
	relay.WriteFailure(w, out.Kind, ran, 0)
}

// lookForCrash is called for a request whose connection broke off. If the
// target no longer listens it has crashed, and the request was in flight: it
// may be the reason. Each request that was in flight reports itself, so no
// list of them is kept; one that runs to its end later is cleared.
func (t *Targets) lookForCrash(x *target, c call) {
	conn, err := net.DialTimeout("tcp", x.addr, dialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	t.drop(x, "crashed")
	if c.mark == 0 {
		return
	}
	t.deps.Log.Emit(event.TargetCrashed, event.Fields{event.Subject: x.addr, "service": c.service, "print": c.mark})
	t.deps.OnCrash(peer.Crashed{Print: c.mark, Service: c.service})
}
