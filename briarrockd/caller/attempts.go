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
	a := p.attemptAll(c)
	defer a.done()
	if a.res == nil {
		p.fail(w, c, a.kind, a.ran, a.after)
		return
	}
	p.answer(w, c, a, nil)
}

// attempts are the attempts of one call.
type attempts struct {
	p        *Proxy
	c        *call
	results  chan attempt
	inFlight int // attempts that have not ended
	tried    []string
	reached  int // attempts that got to a target
	reroutes int // attempts that a target's node refused
	hedged   bool
	// sent is set when an earlier attempt may have run.
	sent bool
	// after is the soonest time to come back that any refusal named.
	after time.Duration
}

// attemptAll makes attempts until one is final, and returns that one.
func (p *Proxy) attemptAll(c *call) attempt {
	p.deps.Budget.call(c.service.Name)
	x := &attempts{p: p, c: c, results: make(chan attempt, maxReroutes+c.route.Retries+2)}
	if none, ok := x.start("to"); !ok {
		return noUpstream(none)
	}
	hedge := x.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case a := <-x.results:
			x.inFlight--
			if x.resolve(&a) {
				return a
			}
		case <-hedge.C:
			x.hedge()
		}
	}
}

// spread draws a time around one, so that callers who are refused together don't
// return together.
func spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// fullAgain is when to ask again for a service that is known to have no room.
// In this time as many requests end as fill the queues anew; twice the range
// spreads the return of those who were refused together.
const fullAgain = 40 * time.Millisecond

// noUpstream is the end of a call that has no upstream to go to.
func noUpstream(none refusal) attempt {
	switch none.kind {
	case kind.Rate:
		none.after += rand.N(fullAgain + none.after)
	case kind.Full:
		none.after = fullAgain + rand.N(fullAgain)
	default:
		none.after = emptyAfter
	}
	return attempt{kind: none.kind, ran: kind.RanNo, after: none.after}
}

// start begins an attempt at another upstream; false if there is none left, and why.
func (x *attempts) start(what string) (refusal, bool) {
	u, none, ok := x.p.deps.Balancer.pick(time.Now(), x.c.service.Name, x.c.set, x.tried, x.c.route.Priority)
	if !ok {
		return none, false
	}
	x.tried = append(x.tried, u.host)
	x.c.callTrace.step(what, u.host, kind.None)
	x.inFlight++
	// The attempt ends with the caller, but not with the answer of another attempt: it
	// may be at work, and breaking that off would only waste it.
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.c.r.Context()))
	stop := context.AfterFunc(x.c.r.Context(), cancel)
	go func() {
		a := x.p.try(ctx, x.c, u)
		a.cancel = func() { stop(); cancel() }
		x.results <- a
	}()
	return refusal{}, true
}

// resolve takes the end of an attempt and decides whether it is the call's:
// if not, another one is under way.
func (x *attempts) resolve(a *attempt) bool {
	c := x.c
	if a.reached {
		x.reached++
	} else {
		x.reroutes++
	}
	if a.kind != kind.None || a.failure() {
		c.callTrace.step("got", a.host, a.kind)
		c.callTrace.cause = a.err
	}
	if a.kind == kind.None && a.res != nil && !a.failure() {
		x.leave()
		return true
	}
	if a.after > 0 && (x.after == 0 || a.after < x.after) {
		x.after = a.after
	}
	if x.shouldRetry(a) {
		if _, ok := x.start("again"); ok {
			x.drop(a)
			return false
		}
	}
	if x.inFlight > 0 {
		x.drop(a)
		return false
	}
	if a.kind != kind.None {
		x.drop(a)
		a.ran = x.worse(a.ran)
		if a.ran == kind.RanNo && x.after > 0 {
			a.after = spread(x.after)
		}
	}
	return true
}

// leave lets the attempts that lost run to their end, and reads their answers.
func (x *attempts) leave() {
	if x.inFlight == 0 {
		return
	}
	left := x.inFlight
	go func() {
		for range left {
			a := <-x.results
			discard(a.res)
			a.done()
		}
	}()
}

// drop ends an attempt that is not the call's, and remembers whether it may
// have run.
func (x *attempts) drop(a *attempt) {
	x.sent = x.sent || a.ran != kind.RanNo
	discard(a.res)
	a.res = nil
	a.done()
}

// done frees what the attempt holds.
func (a *attempt) done() {
	if a.cancel != nil {
		a.cancel()
	}
}

// shouldRetry decides whether another attempt follows one that failed.
func (x *attempts) shouldRetry(a *attempt) bool {
	c := x.c
	if time.Until(c.deadline) < minTimeLeft || c.route.Retries == 0 || c.r.Context().Err() != nil || !x.mayRun() {
		return false
	}
	if a.failure() {
		return mayRepeat(&c.route, c.replayable()) && x.affordsRun()
	}
	if !mayRetry(a.kind, a.ran, c.route.Mode, c.replayable()) {
		return false
	}
	if a.reached && a.ran == kind.RanNo && !c.nested {
		// Its caller can come back by itself; runs and their calls can't.
		return x.p.deps.Budget.spare(x.c.service.Name)
	}
	if a.reached {
		return x.affordsRun()
	}
	// Nothing reached a target, so no target's work is at stake: another
	// choice is free, and what bounds it is the time that it takes.
	return x.reroutes <= maxReroutes
}

// mayRun tells whether one more target may get the request. Attempts that are
// still under way count as if they had reached theirs: nobody knows yet that
// they have not, and the request would run at more targets than its route
// allows.
func (x *attempts) mayRun() bool { return x.reached+x.inFlight <= x.c.route.Retries }

// affordsRun takes another run at a target out of the service's budget.
func (x *attempts) affordsRun() bool { return x.p.deps.Budget.retry(x.c.service.Name) }

// worse is what is to be said of a call after several attempts: it did not
// run only if none of them did.
func (x *attempts) worse(now kind.Ran) kind.Ran {
	if x.sent && now == kind.RanNo {
		return kind.RanUnknown
	}
	return now
}

// hedgeAim is the part of the time that the route aims at, and hedgeDeadline that
// of its deadline where it has no aim, after which a second target is asked as well.
// Most work ends well before; an answer that was lost, or a target that has stopped,
// costs the caller this long and not its whole deadline.
const (
	hedgeAim      = 0.6
	hedgeDeadline = 0.4
)

// hedgeTimer fires when the first attempt has taken unusually long. Where the
// request must not run twice it never does.
func (x *attempts) hedgeTimer() *time.Timer {
	c := x.c
	d := time.Duration(hedgeAim * float64(c.route.Aim))
	if d == 0 {
		d = time.Duration(hedgeDeadline * float64(c.route.Deadline))
	}
	t := time.NewTimer(d)
	if !x.p.deps.Hedge || c.route.Mode != snapshot.Repeatable || c.streamed || c.route.Retries == 0 {
		t.Stop()
	}
	return t
}

// overloadedFor is how long after an upstream had no room its service counts as
// overloaded.
const overloadedFor = 500 * time.Millisecond

// hedge asks a second target, unless the service is overloaded: the attempt would
// take a slot from a call that has none.
func (x *attempts) hedge() {
	if x.p.deps.Balancer.overloaded(time.Now(), x.c.service.Name, x.c.set) {
		return
	}
	if x.hedged || x.inFlight == 0 || !x.mayRun() || !x.p.deps.Budget.spare(x.c.service.Name) {
		return
	}
	x.hedged = true
	x.start("hedge")
}

// maxDiscard bounds what is read of a failure's body to keep its connection.
const maxDiscard = 64 << 10

func discard(res *http.Response) {
	if res == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, res.Body, maxDiscard)
	_ = res.Body.Close()
}

// answer passes a target's answer on. keep, if any, gets a copy of it.
func (p *Proxy) answer(w http.ResponseWriter, c *call, a attempt, keep *keeper) {
	p.tell(c, kind.None, a.ran, a.res.StatusCode, 0)
	if c.returns {
		p.counts.returned(kind.None, a.ran)
	}
	h := w.Header()
	h.Set(target.HeaderTrace, c.trace)
	h.Set(kind.HeaderRan, a.ran.String())
	if keep != nil {
		a.res.Body = keep.wrap(a.res.Body)
	}
	out := relay.CopyResponse(w, a.res, p.deps.StallTimeout)
	if out.Kind != kind.None {
		panic(http.ErrAbortHandler)
	}
}
