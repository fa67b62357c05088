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

// Headers from the caller's node to the target's node, and back.
const (
	HeaderService     = "Briarrock-Service"
	HeaderDeadline    = "Briarrock-Deadline" // milliseconds left
	HeaderAim         = "Briarrock-Aim"      // milliseconds until the call's aim, negative after it
	HeaderCaller      = "Briarrock-Caller"
	HeaderWorkspace   = "Briarrock-Workspace" // name of the caller's workspace
	HeaderPriority    = "Briarrock-Priority"
	HeaderFingerprint = "Briarrock-Print" // fingerprint of the request
	HeaderRoute       = "Briarrock-Route" // name of the route
	HeaderAtMostOnce  = "Briarrock-Once"  // set if the request may run at most once
	HeaderCrossRegion = "Briarrock-Far"   // set if the call comes from another region
	// HeaderLoad reports to the caller's node the utilization of the target, and
	// HeaderMeanDuration the mean duration of its calls in milliseconds.
	HeaderLoad         = "Briarrock-Load"
	HeaderMeanDuration = "Briarrock-Usual"
	// HeaderShedShare reports the share of recent calls that the target itself refused.
	HeaderShedShare = "Briarrock-Shed"
	// HeaderRouteDuration reports the mean duration of the target's calls of the same route, in
	// milliseconds.
	HeaderRouteDuration = "Briarrock-Route-Usual"
	// HeaderVersion is the version of the target that a request is for; empty for any.
	HeaderVersion = "Briarrock-Version"
	// HeaderTook reports to the caller's node how long the target took, in microseconds, and
	// HeaderCold that it has just started. They are only sent for requests with a version.
	HeaderTook = "Briarrock-Took"
	HeaderCold = "Briarrock-Cold"
	// HeaderInstance is the ID of the target that the request is for.
	HeaderInstance = "Briarrock-Instance"
	// HeaderTrace is the trace ID of a call, the same on every hop.
	HeaderTrace = "Briarrock-Trace"
)

// minReportedShedShare is the least share of refused calls that is reported.
const minReportedShedShare = 0.01

// maxDeadline bounds the time that a deadline header may set.
const maxDeadline = time.Hour

// call is the metadata in the headers of a call.
type call struct {
	service     string
	caller      string
	workspace   string // empty if the caller has none
	priority    snapshot.Priority
	route       string
	deadline    time.Time
	aim         time.Time // zero if the call has none
	fingerprint uint64    // fingerprint of the request
	trace       string
	atMostOnce  bool
	crossRegion bool
	version     string // the target's version; empty for any
	// queuedFor is the time from the arrival of the call until it was passed on to the target.
	queuedFor time.Duration
}

func parseCall(r *http.Request, now time.Time) (call, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return call{}, false
	}
	fingerprint, _ := strconv.ParseUint(r.Header.Get(HeaderFingerprint), 16, 64)
	priority, _ := strconv.ParseUint(r.Header.Get(HeaderPriority), 10, 8)
	var aim time.Time
	if ms, err := strconv.ParseInt(r.Header.Get(HeaderAim), 10, 64); err == nil && ms <= maxDeadline.Milliseconds() {
		aim = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return call{
		aim:         aim,
		service:     r.Header.Get(HeaderService),
		caller:      r.Header.Get(HeaderCaller),
		workspace:   r.Header.Get(HeaderWorkspace),
		priority:    min(snapshot.Priority(priority), snapshot.MaxPriority),
		deadline:    now.Add(time.Duration(ms) * time.Millisecond),
		route:       r.Header.Get(HeaderRoute),
		fingerprint: fingerprint,
		trace:       r.Header.Get(HeaderTrace),
		atMostOnce:  r.Header.Get(HeaderAtMostOnce) != "",
		crossRegion: r.Header.Get(HeaderCrossRegion) != "",
		version:     r.Header.Get(HeaderVersion),
	}, true
}

// ServeHTTP handles a call that another node sends for a target of this host.
func (t *Targets) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c, ok := parseCall(r, now)
	if !ok {
		relay.WriteFailure(w, kind.Request, kind.RanNo, 0)
		return
	}
	t.applyReports(ReadNotices(r.Header, now))
	x := t.leastLoaded(c.service, c.version)
	if x == nil && c.version != "" && t.leastLoaded(c.service, "") != nil {
		// The target that the caller's node knows has been replaced by one of another version.
		t.refuse(w, c, nil, Refuse{Kind: kind.Empty})
		return
	}
	if x == nil {
		t.refuse(w, c, nil, Refuse{Kind: kind.Drain})
		return
	}
	if c.fingerprint != 0 && t.deps.CrashCount(c.fingerprint) >= peer.HoldThreshold {
		t.refuse(w, c, x, Refuse{Kind: kind.Held})
		return
	}
	relay.EnableFullDuplex(w, r)
	id, refuse := x.acquire(r.Context(), t.arrival(c, r.ContentLength))
	if refuse.Kind != kind.None {
		t.refuse(w, c, x, refuse)
		return
	}
	if !t.readWithheldBody(w, r, x, id, c) {
		return
	}
	c.queuedFor = time.Since(now)
	t.waited.Update(c.queuedFor.Seconds())
	t.forward(w, r, x, id, c)
}

// arrival returns the message to the gate for a call with a body of the given length. Calls of a
// workspace are queued fairly between workspaces, unless NoFairQueueing is set.
func (t *Targets) arrival(c call, bodyBytes int64) Arrival {
	a := Arrival{Caller: c.caller, Priority: c.priority, Route: c.route, Deadline: c.deadline, Aim: c.aim, CrossRegion: c.crossRegion, BodyBytes: bodyBytes}
	switch {
	case t.deps.NoFairQueueing:
		a.Caller = ""
	case c.workspace != "":
		a.Caller, a.Workspace = c.workspace, true
	}
	return a
}

// withheldBodyTimeout bounds the time in which a short withheld body has to arrive once it has been
// requested.
const withheldBodyTimeout = 500 * time.Millisecond

// readWithheldBody reads a short body that the caller's node has withheld, before anything of the
// request is sent to the target. If the body does not arrive, or the node stops meanwhile, the request
// has not run: it is refused, and readWithheldBody returns false.
func (t *Targets) readWithheldBody(w http.ResponseWriter, r *http.Request, x *target, id CallID, c call) bool {
	if r.Header.Get(http1.HeaderHeld) == "" || relay.IsStreamed(r) {
		return true
	}
	// If the caller's node has been cut off meanwhile, it must not keep the slot.
	b, err := relay.ReadBody(r, min(withheldBodyTimeout, time.Until(c.deadline)))
	refusal := kind.None
	switch {
	case err != nil || r.Context().Err() != nil:
		refusal = kind.Cancel
	case t.isStopping():
		refusal = kind.Drain
	}
	if refusal != kind.None {
		x.step(Completed{ID: id, Route: c.route})
		t.refuse(w, c, x, Refuse{Kind: refusal})
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	return true
}

// leastLoaded returns the target of a service on this host with the lowest load, among those of
// a version if that is not empty. A draining target looks idle, and is returned only if there is
// no other.
func (t *Targets) leastLoaded(service, version string) *target {
	var best, draining *target
	minLoad := 0.0
	for _, x := range t.list() {
		admitted, isDraining := t.admissionState(x)
		if x.service != service || !admitted || (version != "" && t.lastAnnouncement(x).Version != version) {
			continue
		}
		if isDraining {
			draining = x
			continue
		}
		x.mu.Lock()
		load := x.gate.Load(time.Now())
		x.mu.Unlock()
		if best == nil || load < minLoad {
			best, minLoad = x, load
		}
	}
	return cmp.Or(best, draining)
}

// admissionState reports whether calls may pass to a target at all, and whether it is draining.
func (t *Targets) admissionState(x *target) (admitted, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return x.admitted, x.isDraining()
}

func (t *Targets) refuse(w http.ResponseWriter, c call, x *target, r Refuse) {
	t.refused.Inc()
	if r.Kind == kind.Rate {
		t.overRate.Inc()
	}
	f := event.Fields{"trace": event.ShortID(c.trace), "service": c.service, "priority": c.priority, "kind": string(r.Kind), "after": r.RetryAfter.Milliseconds()}
	if c.workspace != "" {
		f["workspace"] = c.workspace
	}
	if x != nil {
		f["target"], f["load"] = x.addr, x.writeLoad(w.Header())
		x.addRateFields(f)
	}
	t.deps.Log.Call(event.RunRefused, f, false)
	if r.RetryAfter > 0 {
		relay.WriteFailureWithRetryAfter(w, r.Kind, kind.RanNo, r.RetryAfter)
		return
	}
	relay.WriteFailure(w, r.Kind, kind.RanNo, r.RetryAfterSeconds)
}

// writeLoad adds the target's load, the mean duration of its calls and the state that it has
// reported to the headers of a response. It returns the load.
func (x *target) writeLoad(h http.Header) string {
	x.mu.Lock()
	load, mean, shed := x.gate.Load(time.Now()), x.gate.MeanDuration(), x.gate.ShedShare()
	x.mu.Unlock()
	text := strconv.FormatFloat(load, 'f', 2, 64)
	h.Set(HeaderLoad, text)
	if mean > 0 {
		h.Set(HeaderMeanDuration, strconv.FormatInt(mean.Milliseconds(), 10))
	}
	if shed >= minReportedShedShare {
		h.Set(HeaderShedShare, strconv.FormatFloat(shed, 'f', 2, 64))
	}
	if n, ok := x.notice(); ok {
		WriteNotices(h, time.Now(), n)
	}
	return text
}

// writeRouteDuration adds the mean duration of a route's calls to the headers of a response.
func (x *target) writeRouteDuration(h http.Header, route string) {
	x.mu.Lock()
	mean := x.gate.RouteDuration(route)
	x.mu.Unlock()
	if mean > 0 {
		h.Set(HeaderRouteDuration, strconv.FormatFloat(float64(mean)/float64(time.Millisecond), 'f', 1, 64))
	}
}

// forward sends a call that the gate has started to its target, and the response back.
func (t *Targets) forward(w http.ResponseWriter, r *http.Request, x *target, id CallID, c call) {
	t.started.Inc()
	defer t.track(c.trace)()
	completed := Completed{ID: id, Route: c.route}
	defer func() { x.step(completed) }()
	sent := time.Now()
	ctx := r.Context()
	if c.atMostOnce {
		// A call that may run at most once continues if its caller disconnects. Otherwise the
		// caller could not tell how far it got.
		ctx = context.WithoutCancel(ctx)
	}
	res, out := relay.Send(ctx, relay.Call{
		In: r, Base: x.url, Host: r.Host, ExtraHeader: t.targetHeaders(r, x, c),
		Body: requestBody(r, func() { x.step(BodyReceived{id}) }), ContentLength: r.ContentLength, Transport: x.transport, StallTimeout: t.deps.StallTimeout,
		Deadline: c.deadline, Streamed: relay.IsStreamed(r), Once: c.atMostOnce, InterruptBody: func() { relay.InterruptBody(w) },
	})
	if res != nil {
		t.observeResponse(x, res.Header, sent)
	}
	if res != nil && (res.ContentLength >= 0 || !relay.IsStreamed(r)) {
		if out = relay.BufferResponse(res, relay.MaxBufferedResponse); out.Kind != kind.None {
			res = nil
		}
	}
	completed.Duration = time.Since(sent)
	if res == nil {
		completed.Failed = out.Kind == kind.Broken || out.Kind == kind.Late
		t.logCall(c, x, completed.Duration, string(out.Kind), out.Err)
		t.handleFailure(w, x, c, out)
		return
	}
	if kind.ParseRan(res.Header.Get(kind.HeaderRan)) == kind.RanNo {
		t.handleNotRun(w, x, c, res, &completed)
		return
	}
	if completed.Shed = isShed(res); completed.Shed {
		x.step(completed) // before writeLoad, so that the load in this response includes the refusal
	}
	completed.Failed = res.StatusCode >= http.StatusInternalServerError
	t.logCall(c, x, completed.Duration, strconv.Itoa(res.StatusCode), nil)
	_ = x.writeLoad(w.Header())
	x.writeRouteDuration(w.Header(), c.route)
	if c.version != "" {
		w.Header().Set(HeaderTook, strconv.FormatInt(completed.Duration.Microseconds(), 10))
		if t.lastAnnouncement(x).State == StateCold {
			w.Header().Set(HeaderCold, "yes")
		}
	}
	w.Header().Set(kind.HeaderRan, kind.RanYes.String())
	out = relay.CopyResponse(w, res, t.deps.StallTimeout)
	if out.Kind != kind.None {
		completed.Failed = out.Kind != kind.Cancel
		t.logCall(c, x, time.Since(sent), string(out.Kind), out.Err)
		relay.Abort(w)
	}
	// A refusal or a failure of the target does not clear the request.
	if c.fingerprint != 0 && !completed.Shed && !completed.Failed && t.deps.CrashCount(c.fingerprint) > 0 {
		t.deps.OnCrash(peer.Crashed{Print: c.fingerprint, Service: c.service, Clear: true})
	}
}

// handleNotRun handles a target's response that it did not run a request. Either the target has no
// capacity, or it is not the target that the request was for.
func (t *Targets) handleNotRun(w http.ResponseWriter, x *target, c call, res *http.Response, completed *Completed) {
	// Once the response has been read to its end, the connection can be reused. A target that sheds
	// load would otherwise cost its node a new connection for each request, which uses up the CPU
	// of a small host.
	relay.Discard(res, maxRefusalBytes)
	if res.StatusCode == http.StatusMisdirectedRequest {
		t.drop(x, "address is used by another target")
		t.refuse(w, c, nil, Refuse{Kind: kind.Drain})
		return
	}
	completed.Shed = true
	x.step(*completed)
	t.refuse(w, c, x, Refuse{Kind: kind.Shed, RetryAfter: shedRetryAfter})
}

// maxRefusalBytes bounds how much of the body of a refusal is read.
const maxRefusalBytes = 4 << 10

// shedRetryAfter is the delay before a retry after a target itself refused a request: some calls of
// usual duration have ended by then.
const shedRetryAfter = 50 * time.Millisecond

// logCall writes the log line of a call that was sent to a target.
func (t *Targets) logCall(c call, x *target, took time.Duration, outcome string, cause error) {
	success := len(outcome) > 0 && outcome[0] == '2'
	f := event.Fields{
		"trace": event.ShortID(c.trace), "service": c.service, "priority": c.priority, "target": x.addr, "waited": c.queuedFor.Milliseconds(),
		"ms": took.Milliseconds(), "outcome": outcome, "left": time.Until(c.deadline).Milliseconds(),
	}
	if cause != nil {
		f["cause"] = cause.Error()
	}
	if c.workspace != "" {
		f["workspace"] = c.workspace
	}
	x.addRateFields(f)
	t.deps.Log.Call(event.RunEnded, f, success)
}

// requestBody returns a request's body, nil for none. onEnd is called once the body has been read
// to its end or a read has failed.
func requestBody(r *http.Request, onEnd func()) io.Reader {
	if r.ContentLength == 0 {
		return nil
	}
	return &notifyingBody{r.Body, onEnd}
}

// notifyingBody is a body that calls onEnd once, when it has been read to its end or a read has
// failed.
type notifyingBody struct {
	io.Reader
	onEnd func()
}

// Read implements io.Reader.
func (t *notifyingBody) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	if err != nil && t.onEnd != nil {
		t.onEnd()
		t.onEnd = nil
	}
	return n, err //nolint:wrapcheck // io.EOF must not be wrapped
}

// isShed reports whether a target's response is a refusal because of load.
func isShed(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
}

// targetHeaders returns the headers that a target may use: the ID of the target that the request is
// for, the caller and its workspace, the time left, and the trace ID.
func (t *Targets) targetHeaders(r *http.Request, x *target, c call) http.Header {
	h := make(http.Header, 4)
	if id := t.lastAnnouncement(x).ID; id != "" {
		h.Set(HeaderInstance, id)
	}
	for _, name := range []string{HeaderTrace, HeaderCaller, HeaderWorkspace} {
		if v := r.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	h.Set(HeaderDeadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 0), 10))
	return h
}

// handleFailure writes the failure of a call that got no response from its target, and checks
// whether the target has crashed.
func (t *Targets) handleFailure(w http.ResponseWriter, x *target, c call, out relay.Outcome) {
	t.deps.Log.Emit(event.CallFailed, event.Fields{
		event.Subject: x.addr, "service": c.service, "kind": string(out.Kind), "sent": out.Sent,
	})
	ran := out.Kind.Answer().Ran
	if !out.Sent {
		ran = kind.RanNo
	}
	switch out.Kind {
	case kind.Refused:
		t.drop(x, "connection refused")
	case kind.Broken:
		t.detectCrash(x, c)
	}
	_ = x.writeLoad(w.Header())
	relay.WriteFailure(w, out.Kind, ran, 0)
}

// detectCrash checks after a broken connection whether the target still listens. If it does not,
// it has crashed, and the request in flight may be the cause. Each request in flight is reported
// separately, so no list of them is kept; all reports of one crash have the same ID. A suspected
// request that later completes is cleared.
func (t *Targets) detectCrash(x *target, c call) {
	conn, err := net.DialTimeout("tcp", x.addr, dialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	t.drop(x, "crashed")
	if c.fingerprint == 0 {
		return
	}
	t.deps.Log.Emit(event.TargetCrashed, event.Fields{event.Subject: x.addr, "service": c.service, "print": c.fingerprint, "crash": x.crashID})
	t.deps.OnCrash(peer.Crashed{Print: c.fingerprint, Service: c.service, ID: x.crashID})
}
