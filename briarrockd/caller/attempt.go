package caller

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// deadlineSlack is how long after a call's deadline a node still waits for the target's
// node. The target's node reports an expired deadline itself, because it knows whether
// the request was sent to the target.
const deadlineSlack = 50 * time.Millisecond

// expectContinueBytes is the body length above which a request is sent with "Expect:
// 100-continue" and its body is withheld until the target's node requests it. A shorter
// body is sent in less time than that round trip takes.
const expectContinueBytes = 16 << 10

// maxRouteMillis bounds the mean duration of a route that a target's node reports.
const maxRouteMillis = 3_600_000

// attempt is the result of one attempt to send a call to a target.
type attempt struct {
	res        *http.Response
	kind       kind.Kind
	ran        kind.Ran
	retryAfter time.Duration
	host       string
	// reachedTarget is set when the request reached the target, whatever the outcome.
	reachedTarget bool
	cancel        context.CancelFunc
	// err is why there is no response. It is only logged.
	err error
}

// targetFailed reports whether the target itself answered with a 5xx status.
func (a *attempt) targetFailed() bool {
	return a.kind == kind.None && a.res != nil && a.res.StatusCode >= http.StatusInternalServerError
}

// sendAttempt sends a call to one upstream. If no response arrives, res is nil and kind
// is set. If the target's node answers with a failure, both are set and the body of res
// is unread.
func (p *Proxy) sendAttempt(ctx context.Context, c *call, u upstream, body io.Reader) attempt {
	p.attempts.Inc()
	began := time.Now()
	withheld := c.withholdsBody(u)
	deadline := p.sendDeadline(c)
	// A body that takes long to arrive extends the deadline, but a stopping process ends at a
	// fixed time.
	extendDeadline := c.streamed && !p.isShuttingDown()
	res, out := relay.Send(ctx, relay.Call{
		In: c.r, Base: &url.URL{Scheme: p.deps.Scheme, Host: u.addr}, Host: c.r.Host,
		ExtraHeader: c.nodeHeaders(u, withheld, deadline), Body: body, ContentLength: c.payloadLength(), Transport: p.deps.Transport, StallTimeout: p.deps.StallTimeout,
		Deadline: deadline.Add(deadlineSlack), Streamed: extendDeadline,
		Once: c.route.Mode == snapshot.Once, ForwardAfterBody: withheld && !c.streamed, InterruptBody: c.bodyInterrupter(body),
	})
	a := attempt{res: res, host: u.host, kind: out.Kind, err: out.Err}
	if res != nil {
		a.readResponse(res, c.streamed)
	} else {
		a.reachedTarget = out.Sent
		a.ran = out.Kind.Answer().Ran
		if !out.Sent {
			a.ran = kind.RanNo
		}
	}
	if u.otherRegion {
		bytes := int64(0)
		if a.res != nil {
			bytes = a.res.ContentLength
		}
		p.counters.crossedRegions(c.routeName(), bytes)
	}
	p.observeVersion(c, u, &a, out, time.Since(began))
	p.deps.Balancer.done(time.Now(), c.service.Name, u.host, a.feedback(c, out))
	return a
}

// readResponse reads the headers of a response, and its body if that is short. The
// response to a streamed request may begin before the request has ended, so its body is
// streamed as well.
func (a *attempt) readResponse(res *http.Response, streamed bool) {
	a.ran = kind.ParseRan(res.Header.Get(kind.HeaderRan))
	a.kind = kind.Kind(res.Header.Get(kind.HeaderKind))
	a.retryAfter = relay.RetryAfter(res.Header)
	a.reachedTarget = a.kind == kind.None || a.kind == kind.Shed || a.ran != kind.RanNo
	if a.kind != kind.None || (streamed && res.ContentLength < 0) {
		return
	}
	if out := relay.BufferResponse(res, relay.MaxBufferedResponse); out.Kind != kind.None {
		a.res, a.kind, a.ran, a.err = nil, out.Kind, kind.RanUnknown, out.Err
	}
}

// feedback returns what the attempt showed about the upstream.
func (a *attempt) feedback(c *call, out relay.Outcome) Feedback {
	f := Feedback{Load: -1, Priority: c.route.Priority}
	if a.res == nil {
		f.Failed = out.Kind != kind.Cancel
		f.Unreachable = out.Kind == kind.Refused
		return f
	}
	h := a.res.Header
	if load, err := strconv.ParseFloat(h.Get(target.HeaderLoad), 64); err == nil {
		f.Load = load
	}
	if ms, err := strconv.ParseInt(h.Get(target.HeaderMeanDuration), 10, 64); err == nil {
		f.MeanDuration = time.Duration(ms) * time.Millisecond
	}
	if ms, err := strconv.ParseFloat(h.Get(target.HeaderRouteDuration), 64); err == nil && ms > 0 && ms < maxRouteMillis {
		f.RouteDuration, f.Route = time.Duration(ms*float64(time.Millisecond)), c.routeName()
	}
	if share, err := strconv.ParseFloat(h.Get(target.HeaderShedShare), 64); err == nil && share > 0 && share <= 1 {
		f.ShedShare = share
	}
	f.Failed = a.kind == kind.Refused || a.kind == kind.Broken || a.kind == kind.Late
	f.TargetFailed = a.kind == kind.Shed || a.targetFailed()
	f.Leaving = a.kind == kind.Drain
	f.Full, f.RateLimited, f.RetryAfter = a.kind == kind.Full || a.kind == kind.Rate, a.kind == kind.Rate, a.retryAfter
	f.Notices = target.ReadNotices(h, time.Now())
	return f
}

// routeName identifies the call's route among those of its service. The target's node
// estimates how long a call takes from earlier calls with the same name.
func (c *call) routeName() string { return cmp.Or(c.entryName, c.route.Name()) }

// withholdsBody reports whether a call's body is withheld until the target's node
// requests it. In an overload a body of any length is withheld: most calls are refused,
// and their bodies would use up the bandwidth between the nodes.
func (c *call) withholdsBody(u upstream) bool {
	n := c.r.ContentLength
	return n < 0 || n > expectContinueBytes || n > 0 && u.overloaded
}

func (c *call) nodeHeaders(u upstream, withheld bool, deadline time.Time) http.Header {
	h := make(http.Header, 6)
	h.Set(target.HeaderService, c.service.Name)
	h.Set(target.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 0), 10))
	h.Set(target.HeaderPriority, strconv.Itoa(int(c.route.Priority)))
	h.Set(target.HeaderRoute, c.routeName())
	h.Set(target.HeaderFingerprint, strconv.FormatUint(c.fingerprint, 16))
	h.Set(target.HeaderTrace, c.trace)
	if c.route.Mode == snapshot.Once {
		h.Set(target.HeaderAtMostOnce, "yes")
	}
	if u.otherRegion {
		h.Set(target.HeaderCrossRegion, "yes")
	}
	if u.pinned && u.version != "" {
		h.Set(target.HeaderVersion, u.version)
	}
	if !c.aim.IsZero() {
		h.Set(target.HeaderAim, strconv.FormatInt(time.Until(c.aim).Milliseconds(), 10))
	}
	if withheld {
		h.Set("Expect", http1.ExpectContinue)
		h.Set(http1.HeaderHeld, "yes")
	}
	if c.caller != "" {
		h.Set(target.HeaderCaller, c.caller)
	}
	if name := c.workspaceName(); name != "" {
		h.Set(target.HeaderWorkspace, name)
	}
	target.WriteNotices(h, time.Now(), u.notices...)
	return h
}
