package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"briarrock.example/briarrockd/relay"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// send tries a call until it is answered or may not be tried again. It gives
// the final answer as soon as that is known, however much time is left.
func (p *Proxy) send(w http.ResponseWriter, c *call) {
	a := p.runAttempts(c)
	defer a.release()
	if a.res == nil {
		p.fail(w, c, a.kind, a.ran, a.retryAfter)
		return
	}
	p.writeAnswer(w, c, a, nil)
}

// attempts are the attempts of one call.
type attempts struct {
	p        *Proxy
	c        *call
	results  chan attempt
	inFlight int // attempts that have not ended
	tried    []string
	reachedTarget  int // attempts that got to a target
	reroutes int // attempts that a target's node refused
	hedged   bool
	// mayHaveRun is set when an earlier attempt may have run.
	mayHaveRun bool
	// minRetryAfter is the soonest time to come back that any refusal named.
	minRetryAfter time.Duration
}

// runAttempts makes attempts until one is final, and returns that one.
func (p *Proxy) runAttempts(c *call) attempt {
	p.deps.Budget.addCall(c.service.Name)
	x := &attempts{p: p, c: c, results: make(chan attempt, maxReroutes+c.route.Retries+2)}
	if r, ok := x.startAttempt("to"); !ok {
		return noUpstreamResult(r)
	}
	hedge := x.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case a := <-x.results:
			x.inFlight--
			if x.handleResult(&a) {
				return a
			}
		case <-hedge.C:
			x.hedge()
		}
	}
}

// jitter draws a time around one, so that callers who are refused together don't
// return together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// fullRetryAfter is when to ask again for a service that is known to have no room.
// In this time as many requests end as fill the queues anew; twice the range
// spreads the return of those who were refused together.
const fullRetryAfter = 40 * time.Millisecond

// noUpstreamResult is the end of a call that has no upstream to go to.
func noUpstreamResult(r refusal) attempt {
	switch r.kind {
	case kind.Rate:
		r.retryAfter += rand.N(fullRetryAfter + r.retryAfter)
	case kind.Full:
		r.retryAfter = fullRetryAfter + rand.N(fullRetryAfter)
	default:
		r.retryAfter = emptyRetryAfter
	}
	return attempt{kind: r.kind, ran: kind.RanNo, retryAfter: r.retryAfter}
}

// startAttempt begins an attempt at another upstream; false if there is none left, and why.
func (x *attempts) startAttempt(what string) (refusal, bool) {
	u, none, ok := x.p.deps.Balancer.pick(time.Now(), x.c.service.Name, x.c.upstreams, x.tried, x.c.route.Priority)
	if !ok {
		return none, false
	}
	x.tried = append(x.tried, u.host)
	x.c.steps.step(what, u.host, kind.None)
	x.inFlight++
	// The attempt ends with the caller, but not with the answer of another attempt: it
	// may be at work, and breaking that off would only waste it.
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.c.r.Context()))
	stop := context.AfterFunc(x.c.r.Context(), cancel)
	go func() {
		a := x.p.sendAttempt(ctx, x.c, u)
		a.cancel = func() { stop(); cancel() }
		x.results <- a
	}()
	return refusal{}, true
}

// handleResult takes the end of an attempt and decides whether it is the call's:
// if not, another one is under way.
func (x *attempts) handleResult(a *attempt) bool {
	c := x.c
	if a.reachedTarget {
		x.reachedTarget++
	} else {
		x.reroutes++
	}
	if a.kind != kind.None || a.targetFailed() {
		c.steps.step("got", a.host, a.kind)
		c.steps.cause = a.err
	}
	if a.kind == kind.None && a.res != nil && !a.targetFailed() {
		x.drainRemaining()
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

// drainRemaining lets the attempts that lost run to their end, and reads their answers.
func (x *attempts) drainRemaining() {
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

// discardAttempt ends an attempt that is not the call's, and remembers whether it may
// have run.
func (x *attempts) discardAttempt(a *attempt) {
	x.mayHaveRun = x.mayHaveRun || a.ran != kind.RanNo
	discardBody(a.res)
	a.res = nil
	a.release()
}

// release frees what the attempt holds.
func (a *attempt) release() {
	if a.cancel != nil {
		a.cancel()
	}
}

// shouldRetry decides whether another attempt follows one that failed.
func (x *attempts) shouldRetry(a *attempt) bool {
	c := x.c
	if time.Until(c.deadline) < minTimeLeft || c.route.Retries == 0 || c.r.Context().Err() != nil || !x.belowRunLimit() {
		return false
	}
	if a.targetFailed() {
		return mayRepeat(&c.route, c.replayable()) && x.takeRetryToken()
	}
	if !mayRetry(a.kind, a.ran, c.route.Mode, c.replayable()) {
		return false
	}
	if a.reachedTarget && a.ran == kind.RanNo && !c.nested {
		// Its caller can come back by itself; runs and their calls can't.
		return x.p.deps.Budget.takeOptional(x.c.service.Name)
	}
	if a.reachedTarget {
		return x.takeRetryToken()
	}
	// Nothing reached a target, so no target's work is at stake: another
	// choice is free, and what bounds it is the time that it takes.
	return x.reroutes <= maxReroutes
}

// belowRunLimit tells whether one more target may get the request. Attempts that are
// still under way count as if they had reached theirs: nobody knows yet that
// they have not, and the request would run at more targets than its route
// allows.
func (x *attempts) belowRunLimit() bool { return x.reachedTarget+x.inFlight <= x.c.route.Retries }

// takeRetryToken takes another run at a target out of the service's budget.
func (x *attempts) takeRetryToken() bool { return x.p.deps.Budget.takeRetry(x.c.service.Name) }

// combinedRan is what is to be said of a call after several attempts: it did not
// run only if none of them did.
func (x *attempts) combinedRan(last kind.Ran) kind.Ran {
	if x.mayHaveRun && last == kind.RanNo {
		return kind.RanUnknown
	}
	return last
}

// hedgeAimFraction is the part of the time that the route aims at, and hedgeDeadlineFraction that
// of its deadline where it has no aim, after which a second target is asked as well.
// Most work ends well before; an answer that was lost, or a target that has stopped,
// costs the caller this long and not its whole deadline.
const (
	hedgeAimFraction      = 0.6
	hedgeDeadlineFraction = 0.4
)

// hedgeTimer fires when the first attempt has taken unusually long. Where the
// request must not run twice it never does.
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

// overloadWindow is how long after an upstream had no room its service counts as
// overloaded.
const overloadWindow = 500 * time.Millisecond

// hedge asks a second target, unless the service is overloaded: the attempt would
// take a slot from a call that has none.
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

// maxDiscardBytes bounds what is read of a failure's body to keep its connection.
const maxDiscardBytes = 64 << 10

func discardBody(res *http.Response) {
	if res == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, res.Body, maxDiscardBytes)
	_ = res.Body.Close()
}

// writeAnswer passes a target's writeAnswer on. keep, if any, gets a copy of it.
func (p *Proxy) writeAnswer(w http.ResponseWriter, c *call, a attempt, rec *answerRecorder) {
	p.logCall(c, kind.None, a.ran, a.res.StatusCode, 0)
	if c.callerRetry {
		p.counts.returned(kind.None, a.ran)
	}
	h := w.Header()
	h.Set(target.HeaderTrace, c.trace)
	h.Set(kind.HeaderRan, a.ran.String())
	if rec != nil {
		a.res.Body = rec.wrap(a.res.Body)
	}
	out := relay.Answer(w, a.res, p.deps.StallTimeout)
	if out.Kind != kind.None {
		panic(http.ErrAbortHandler)
	}
}
