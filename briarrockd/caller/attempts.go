package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"briarrock.example/briarrockd/relay"
	"briarrock.example/briarrockd/rollout"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// send makes attempts at a call until one succeeds or no further one is allowed. It
// answers the caller as soon as the result is final, however much time is left.
func (p *Proxy) send(w http.ResponseWriter, c *call) {
	a := p.runAttempts(c)
	defer a.release()
	if a.res == nil {
		p.fail(w, c, a.kind, a.ran, a.retryAfter)
		return
	}
	p.writeResponse(w, c, a, nil)
}

// attempts holds the state of all attempts of one call.
type attempts struct {
	p             *Proxy
	c             *call
	results       chan attempt
	inFlight      int // attempts that have not ended
	tried         []string
	reachedTarget int // attempts that reached a target
	reroutes      int // attempts that did not reach a target
	hedged        bool
	// choice is which versions the next attempt may run at.
	choice rollout.Choice
	// mayHaveRun is set when the request may have run in an earlier attempt.
	mayHaveRun bool
	// minRetryAfter is the shortest delay before a retry that a refusal named; 0 if none
	// did.
	minRetryAfter time.Duration
}

// runAttempts makes attempts until one is final, and returns that one.
func (p *Proxy) runAttempts(c *call) attempt {
	// The shutdown time may have been set while the call waited for its body or its claim.
	if !p.endsBeforeShutdown(c) {
		return attempt{kind: kind.Drain, ran: kind.RanNo}
	}
	p.deps.Budget.addCall(c.service.Name)
	x := &attempts{p: p, c: c, results: make(chan attempt, maxReroutes+c.route.Retries+2)}
	if ref, ok := x.startAttempt("to"); !ok {
		return noUpstreamResult(ref)
	}
	hedge := x.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case a := <-x.results:
			x.inFlight--
			if x.handleResult(&a) {
				x.countReached()
				return a
			}
		case <-hedge.C:
			x.hedge()
		}
	}
}

// jitter returns a random duration between d/2 and 3d/2, so that callers who were refused
// together don't retry together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// fullRetryAfter is the minimum retry delay for callers of a full service. In this time
// enough requests end for the queues to be filled anew. A random addition of up to the
// same length spreads the retries of callers who were refused together.
const fullRetryAfter = 40 * time.Millisecond

// noUpstreamResult returns the result of a call for which no upstream can be picked.
func noUpstreamResult(ref refusal) attempt {
	switch ref.kind {
	case kind.Rate:
		ref.retryAfter += rand.N(fullRetryAfter + ref.retryAfter)
	case kind.Full:
		ref.retryAfter = fullRetryAfter + rand.N(fullRetryAfter)
	default:
		ref.retryAfter = emptyRetryAfter
	}
	return attempt{kind: ref.kind, ran: kind.RanNo, retryAfter: ref.retryAfter}
}

// startAttempt starts an attempt at an upstream that has not been tried. If there is none
// it returns false and the reason.
func (x *attempts) startAttempt(what string) (refusal, bool) {
	u, ref, ok := x.pick(time.Now())
	if !ok {
		return ref, false
	}
	body, ok := x.c.payload()
	if !ok {
		x.p.deps.Balancer.done(time.Now(), x.c.service.Name, u.host, Feedback{Load: -1, Priority: x.c.route.Priority})
		return refusal{}, false
	}
	x.tried = append(x.tried, u.host)
	x.c.decisions.add(what, u.host, kind.None)
	x.inFlight++
	// The attempt is cancelled when the caller's request is. It is not cancelled when
	// another attempt is answered: its target may be running the request, and that work
	// would be wasted.
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.c.r.Context()))
	stop := context.AfterFunc(x.c.r.Context(), cancel)
	ended := x.p.deps.Rollouts.Started(x.c.service.Name, u.version)
	if x.c.r.Context().Err() != nil {
		cancel() // AfterFunc does it in a goroutine, after which the request may be sent
	}
	go func() {
		a := x.p.sendAttempt(ctx, x.c, u, body)
		a.cancel = func() { stop(); cancel(); ended() }
		x.results <- a
	}()
	return refusal{}, true
}

// handleResult handles a finished attempt and reports whether its result is that of the
// call. If not, another attempt is in flight.
func (x *attempts) handleResult(a *attempt) bool {
	c := x.c
	if a.reachedTarget {
		if x.reachedTarget++; x.reachedTarget == 1 {
			x.p.deps.Budget.addReached(time.Now(), c.service.Name, c.nested)
		}
	} else {
		x.reroutes++
	}
	if a.kind != kind.None || a.targetFailed() {
		c.decisions.add("got", a.host, a.kind)
		c.decisions.cause = a.err
	}
	if a.kind == kind.None && a.res != nil && !a.targetFailed() {
		x.discardRemaining()
		return true
	}
	if a.retryAfter > 0 && (x.minRetryAfter == 0 || a.retryAfter < x.minRetryAfter) {
		x.minRetryAfter = a.retryAfter
	}
	if x.shouldRetry(a) {
		if _, ok := x.startAttempt("again"); ok {
			x.discardAttempt(a)
			return false
		}
	}
	if x.inFlight > 0 {
		x.discardAttempt(a)
		return false
	}
	if a.kind != kind.None {
		x.discardAttempt(a)
		a.ran = x.combinedRan(a.ran)
		if a.ran == kind.RanNo && x.minRetryAfter > 0 {
			a.retryAfter = jitter(x.minRetryAfter)
		}
	}
	return true
}

// discardRemaining lets the attempts that are still in flight end by themselves, and
// discards their responses.
func (x *attempts) discardRemaining() {
	if x.inFlight == 0 {
		return
	}
	remaining := x.inFlight
	go func() {
		for range remaining {
			a := <-x.results
			discardBody(a.res)
			a.release()
		}
	}()
}

// discardAttempt releases an attempt whose result is not that of the call, and records
// whether the request may have run in it.
func (x *attempts) discardAttempt(a *attempt) {
	x.mayHaveRun = x.mayHaveRun || a.ran != kind.RanNo
	discardBody(a.res)
	a.res = nil
	a.release()
}

// release frees the context of the attempt.
func (a *attempt) release() {
	if a.cancel != nil {
		a.cancel()
	}
}

// shouldRetry reports whether another attempt is to follow one that failed. If that
// attempt counts against the retry budget, shouldRetry has taken a retry from it.
func (x *attempts) shouldRetry(a *attempt) bool {
	c := x.c
	if time.Until(x.p.sendDeadline(c)) < minTimeLeft || c.route.Retries == 0 || c.r.Context().Err() != nil || !x.belowRunLimit() {
		return false
	}
	if a.ran == kind.RanNo && !x.mayHaveRun && !x.p.endsBeforeShutdown(c) {
		return false // the caller can still be told that the request has not run
	}
	if a.targetFailed() {
		return mayRepeat(&c.route, c.replayable()) && x.takeRetryToken()
	}
	if !mayRetry(a.kind, a.ran, c.route.Mode, c.replayable()) {
		return false
	}
	if a.reachedTarget && a.ran == kind.RanNo && !c.nested {
		// The caller can retry a call that did not run, so the node's retry is optional.
		// A nested call is excluded: the outer call can't be retried without repeating
		// its work.
		return x.p.deps.Budget.takeOptional(x.c.service.Name)
	}
	if a.reachedTarget {
		return x.takeRetryToken()
	}
	// The request reached no target and cost none of them any work, so picking another
	// upstream needs no budget. maxReroutes bounds the time that it takes.
	return x.reroutes <= maxReroutes
}

// belowRunLimit reports whether one more target may get the request. Attempts in flight
// count as if they had reached a target, because it isn't known yet whether they have.
// Otherwise the request could run at more targets than its route allows.
func (x *attempts) belowRunLimit() bool { return x.reachedTarget+x.inFlight <= x.c.route.Retries }

// takeRetryToken takes one retry from the service's budget; false if none is left.
func (x *attempts) takeRetryToken() bool {
	if x.c.nested {
		return x.p.deps.Budget.takeNested(x.c.service.Name)
	}
	return x.p.deps.Budget.takeRetry(x.c.service.Name)
}

// combinedRan returns whether a call ran, given the value of its last attempt: a call did
// not run only if it ran in none of its attempts.
func (x *attempts) combinedRan(last kind.Ran) kind.Ran {
	if x.mayHaveRun && last == kind.RanNo {
		return kind.RanUnknown
	}
	return last
}

// hedgeAimFraction is the part of the route's aim after which a hedged request is sent to
// a second target. For a route without an aim it is hedgeDeadlineFraction of the
// deadline. Most requests end well before. If a response is lost or a target has stopped,
// the caller waits this long instead of until its deadline.
const (
	hedgeAimFraction      = 0.6
	hedgeDeadlineFraction = 0.4
)

// hedgeTimer returns a timer that fires when the first attempt takes unusually long. It
// never fires if hedging is off or the request must not run twice.
func (x *attempts) hedgeTimer() *time.Timer {
	c := x.c
	d := time.Duration(hedgeAimFraction * float64(c.route.Aim))
	if d == 0 {
		d = time.Duration(hedgeDeadlineFraction * float64(c.route.Deadline))
	}
	t := time.NewTimer(d)
	if !x.p.deps.Hedge || c.route.Mode != snapshot.Repeatable || c.streamed || c.route.Retries == 0 {
		t.Stop()
	}
	return t
}

// overloadWindow is how long a service counts as overloaded after one of its upstreams
// was full.
const overloadWindow = 500 * time.Millisecond

// hedge sends the request to a second target, unless the service is overloaded: the
// attempt would take a slot from a call that has none.
func (x *attempts) hedge() {
	if x.p.deps.Balancer.overloaded(time.Now(), x.c.service.Name, x.c.upstreams) {
		return
	}
	if x.hedged || x.inFlight == 0 || !x.belowRunLimit() || !x.p.deps.Budget.takeOptional(x.c.service.Name) {
		return
	}
	x.hedged = true
	x.startAttempt("hedge")
}

// maxDiscardBytes bounds how much of the body of a discarded response is read so that its
// connection can be reused.
const maxDiscardBytes = 64 << 10

func discardBody(res *http.Response) {
	if res == nil {
		return
	}
	relay.Discard(res, maxDiscardBytes)
}

// writeResponse passes a target's response to the caller. If rec is not nil it records
// the response.
func (p *Proxy) writeResponse(w http.ResponseWriter, c *call, a attempt, rec *responseRecorder) {
	p.logCall(c, kind.None, a.ran, a.res.StatusCode, 0)
	if c.callerRetry {
		p.counters.callerRetryEnded(kind.None, a.ran)
	}
	h := w.Header()
	h.Set(target.HeaderTrace, c.trace)
	h.Set(kind.HeaderRan, a.ran.String())
	if rec != nil {
		a.res.Body = rec.wrap(a.res.Body)
	}
	out := relay.CopyResponse(w, a.res, p.deps.StallTimeout)
	if out.Kind != kind.None {
		c.decisions.cause = out.Err
		p.logCall(c, out.Kind, a.ran, a.res.StatusCode, 0)
		relay.Abort(w)
	}
}
