package caller

import (
	"cmp"
	"context"
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

// deadlineSlack leaves the target's node the time to say itself that the
// deadline has passed, since it knows whether the request was sent.
const deadlineSlack = 50 * time.Millisecond

// expectAbove is the length in bytes of a body that is held back until the
// target's node asks for it. A shorter one is on its way in less time than the
// question takes.
const expectAbove = 16 << 10

// attempt is what one try at a target told.
type attempt struct {
	res   *http.Response
	kind  kind.Kind
	ran   kind.Ran
	after time.Duration
	host  string
	// reached is set when the request got to the target, whatever came of it.
	reached bool
	cancel  context.CancelFunc
	// err is why there is no answer, for the log.
	err error
}

// failure tells whether the target answered that it failed.
func (a *attempt) failure() bool {
	return a.kind == kind.None && a.res != nil && a.res.StatusCode >= http.StatusInternalServerError
}

// try sends a call to one upstream. A nil res comes with a kind; an answer of
// a target's node that it is a failure comes with both, its body unread.
func (p *Proxy) try(ctx context.Context, c *call, u upstream) attempt {
	p.attempts.Inc()
	body, length := c.payload()
	held := c.holdsBody(u)
	res, out := relay.Send(ctx, relay.Call{
		In: c.r, URL: relay.RebaseURL(&url.URL{Scheme: p.deps.Scheme, Host: u.addr}, c.r), Host: c.r.Host,
		ExtraHeader: c.towardsNode(u, held), Body: body, ContentLength: length, Transport: p.deps.Transport, StallTimeout: p.deps.StallTimeout,
		Deadline: c.deadline.Add(deadlineSlack), Streamed: c.streamed,
		Once: c.route.Mode == snapshot.Once, ForwardAfterBody: held && !c.streamed,
	})
	a := attempt{res: res, host: u.host, kind: out.Kind, err: out.Err}
	if res != nil {
		a.read(res, c.streamed)
	} else {
		a.reached = out.Sent
		a.ran = out.Kind.Answer().Ran
		if !out.Sent {
			a.ran = kind.RanNo
		}
	}
	if u.far {
		bytes := int64(0)
		if a.res != nil {
			bytes = a.res.ContentLength
		}
		p.counts.crossed(c.routeName(), bytes)
	}
	p.deps.Balancer.done(time.Now(), c.service.Name, u.host, a.feedback(c, out))
	return a
}

// read takes an answer's head, and its body if that is short. The answer to a
// streamed request may begin before that has ended, and so is streamed as well.
func (a *attempt) read(res *http.Response, streamed bool) {
	a.ran = kind.ParseRan(res.Header.Get(kind.HeaderRan))
	a.kind = kind.Kind(res.Header.Get(kind.HeaderKind))
	a.after = relay.RetryAfter(res.Header)
	a.reached = a.kind == kind.None || a.kind == kind.Shed || a.ran != kind.RanNo
	if a.kind != kind.None || (streamed && res.ContentLength < 0) {
		return
	}
	if relay.BufferResponse(res, relay.MaxBufferedResponse) != nil {
		a.res, a.kind, a.ran = nil, kind.Broken, kind.RanUnknown
	}
}

// feedback is what the attempt tells about the upstream.
func (a *attempt) feedback(c *call, out relay.Outcome) Feedback {
	f := Feedback{Load: -1, Priority: c.route.Priority}
	if a.res == nil {
		f.Failed = out.Kind != kind.Cancel
		f.Unreached = out.Kind == kind.Refused
		return f
	}
	h := a.res.Header
	if load, err := strconv.ParseFloat(h.Get(target.HeaderLoad), 64); err == nil {
		f.Load = load
	}
	if ms, err := strconv.ParseInt(h.Get(target.HeaderMeanDuration), 10, 64); err == nil {
		f.Usual = time.Duration(ms) * time.Millisecond
	}
	f.Failed = a.kind == kind.Refused || a.kind == kind.Broken || a.kind == kind.Late
	f.TargetFailed = a.kind == kind.Shed || a.failure()
	f.Leaving = a.kind == kind.Drain
	f.Full, f.Paced, f.Again = a.kind == kind.Full || a.kind == kind.Rate, a.kind == kind.Rate, a.after
	f.Notices = target.ReadNotices(h, time.Now())
	return f
}

// routeName names the route among those of its service: calls of one route take
// about the same time.
func (c *call) routeName() string { return cmp.Or(c.entry, c.route.Name()) }

// holdsBody tells whether a call's body is held back until the target's node asks for
// it. In an overload a body of any length is: most calls are refused, and their bodies
// would take up the links.
func (c *call) holdsBody(u upstream) bool {
	n := c.r.ContentLength
	return n < 0 || n > expectAbove || n > 0 && u.overloaded
}

func (c *call) towardsNode(u upstream, held bool) http.Header {
	h := make(http.Header, 6)
	h.Set(target.HeaderService, c.service.Name)
	h.Set(target.HeaderDeadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 0), 10))
	h.Set(target.HeaderPriority, strconv.Itoa(int(c.route.Priority)))
	h.Set(target.HeaderRoute, c.routeName())
	h.Set(target.HeaderFingerprint, strconv.FormatUint(c.print, 16))
	h.Set(target.HeaderTrace, c.trace)
	if c.route.Mode == snapshot.Once {
		h.Set(target.HeaderAtMostOnce, "yes")
	}
	if u.far {
		h.Set(target.HeaderCrossRegion, "yes")
	}
	if !c.aim.IsZero() {
		h.Set(target.HeaderAim, strconv.FormatInt(time.Until(c.aim).Milliseconds(), 10))
	}
	if held {
		h.Set("Expect", http1.ExpectContinue)
		h.Set(http1.HeaderHeld, "yes")
	}
	if c.caller != "" {
		h.Set(target.HeaderCaller, c.caller)
	}
	target.WriteNotices(h, time.Now(), u.notices...)
	return h
}
