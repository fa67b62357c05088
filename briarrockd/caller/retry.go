package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"briarrock.example/briarrockd/claim"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

const (
	// maxReroutes is how many refusals by targets' nodes are followed by another
	// choice. Each costs a way there and back and no work at any target; where
	// so many refuse, the service has no room, and the caller is told so.
	maxReroutes = 3
	// minTimeLeft is the time below which an attempt is not worth making.
	minTimeLeft = 5 * time.Millisecond
)

// mayRetry decides whether a failed attempt may be followed by another one.
//
// A request that provably did not run may always be sent again; one that may
// have run only if its route says that it may be repeated. A target's own
// answer is never retried, whatever its status: it ran, and in a chain of
// services each link's retries would multiply with those of the next. Where
// the operator wants it nevertheless, mayRepeat decides.
func mayRetry(k kind.Kind, ran kind.Ran, mode snapshot.Mode, replayable bool) bool {
	if !replayable {
		return false
	}
	switch k {
	case kind.None, kind.Cancel, kind.Held, kind.Deadline, kind.Request, kind.Large, kind.Limit, kind.Stall:
		return false
	}
	return ran == kind.RanNo || mode == snapshot.Repeatable
}

// mayRepeat decides whether a request may run again after its target answered
// that it failed.
func mayRepeat(r *snapshot.Route, replayable bool) bool {
	return r.Again && r.Mode == snapshot.Repeatable && replayable
}

// replayable tells whether the body can still be sent from its start.
func (c *call) replayable() bool { return !c.streamed || !c.begun.read.Load() }

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

// race is the attempts of one call that are under way.
type race struct {
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
	x := &race{p: p, c: c, results: make(chan attempt, maxReroutes+c.route.Retries+2)}
	if !x.start("to") {
		return p.noUpstream(c)
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
func (p *Proxy) noUpstream(c *call) attempt {
	if p.deps.Chooser.anyFull(time.Now(), c.service.Name, c.set, c.route.Priority) {
		return attempt{kind: kind.Full, ran: kind.RanNo, after: fullAgain + rand.N(fullAgain)}
	}
	return attempt{kind: kind.Empty, ran: kind.RanNo, after: emptyAfter}
}

// start begins an attempt at another upstream; false if there is none left.
func (x *race) start(what string) bool {
	u, ok := x.p.deps.Chooser.pick(time.Now(), x.c.service.Name, x.c.set, x.tried, x.c.route.Priority)
	if !ok {
		return false
	}
	x.tried = append(x.tried, u.host)
	x.c.callTrace.step(what, u.host, kind.None)
	x.inFlight++
	// The attempt ends with the caller, but not with this race: one that lost
	// it may be at work, and breaking that off would only waste it.
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.c.r.Context()))
	stop := context.AfterFunc(x.c.r.Context(), cancel)
	go func() {
		a := x.p.try(ctx, x.c, u)
		a.cancel = func() { stop(); cancel() }
		x.results <- a
	}()
	return true
}

// resolve takes the end of an attempt and decides whether it is the call's:
// if not, another one is under way.
func (x *race) resolve(a *attempt) bool {
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
	if x.shouldRetry(a) && x.start("again") {
		x.drop(a)
		return false
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
func (x *race) leave() {
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
func (x *race) drop(a *attempt) {
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
func (x *race) shouldRetry(a *attempt) bool {
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
func (x *race) mayRun() bool { return x.reached+x.inFlight <= x.c.route.Retries }

// affordsRun takes another run at a target out of the service's budget.
func (x *race) affordsRun() bool { return x.p.deps.Budget.retry(x.c.service.Name) }

// worse is what is to be said of a call after several attempts: it did not
// run only if none of them did.
func (x *race) worse(now kind.Ran) kind.Ran {
	if x.sent && now == kind.RanNo {
		return kind.RanUnknown
	}
	return now
}

// hedgeAim is the part of the time that the route aims at, and hedgeDeadline that
// of its deadline where it has no aim, after which a second target is asked as well. Most work ends well
// before; an answer that was lost, or a target that has stopped, costs the
// caller this long and not its whole deadline.
const (
	hedgeAim      = 0.6
	hedgeDeadline = 0.4
)

// hedgeTimer fires when the first attempt has taken unusually long. Where the
// request must not run twice it never does.
func (x *race) hedgeTimer() *time.Timer {
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
func (x *race) hedge() {
	if x.p.deps.Chooser.overloaded(time.Now(), x.c.service.Name, x.c.set) {
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
	out := relay.Answer(w, a.res, p.deps.Stall)
	if out.Kind != kind.None {
		panic(http.ErrAbortHandler)
	}
}

// once runs a call that may run at most once and carries a key.
func (p *Proxy) once(w http.ResponseWriter, c *call) {
	key := c.r.Header.Get(HeaderKey)
	if len(key) > claim.MaxKey || len(c.r.Header[HeaderKey]) != 1 {
		p.fail(w, c, kind.Key, kind.RanNo, 0)
		return
	}
	d := p.deps.Claims.Begin(c.r.Context(), claim.Request{Service: c.service.Name, Key: key, Print: c.print})
	switch d.Verdict {
	case claim.Run:
		c.claim = d.Claim
		p.runOnce(w, c)
	case claim.Replay:
		p.replay(w, c, d.Outcome)
	case claim.Repeat:
		p.fail(w, c, kind.Repeat, kind.RanUnknown, 0)
	case claim.Conflict:
		p.fail(w, c, kind.Conflict, kind.RanNo, 0)
	default:
		p.fail(w, c, kind.Claim, kind.RanNo, 0)
	}
}

func (p *Proxy) runOnce(w http.ResponseWriter, c *call) {
	a := p.attemptAll(c)
	defer a.done()
	if a.res == nil {
		if a.ran == kind.RanNo {
			p.deps.Claims.Release(c.claim)
		}
		p.fail(w, c, a.kind, a.ran, a.after)
		return
	}
	keep := &keeper{status: a.res.StatusCode, mime: a.res.Header.Get("Content-Type")}
	p.answer(w, c, a, keep)
	p.deps.Claims.Finish(c.claim, keep.outcome())
}

func (p *Proxy) replay(w http.ResponseWriter, c *call, o claim.Outcome) {
	h := w.Header()
	h.Set(target.HeaderTrace, c.trace)
	h.Set(kind.HeaderRan, kind.RanYes.String())
	h.Set(HeaderReplay, "yes")
	if o.Type != "" {
		h.Set("Content-Type", o.Type)
	}
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}

// keeper copies an answer as it passes, up to the bound of a replay.
type keeper struct {
	status int
	mime   string
	body   []byte
	cut    bool
}

// kept is a body that a keeper copies.
type kept struct {
	io.ReadCloser
	k *keeper
}

func (k *keeper) wrap(b io.ReadCloser) io.ReadCloser { return &kept{b, k} }

// Read implements io.Reader.
func (b *kept) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if len(b.k.body)+n > claim.MaxBody {
		b.k.cut = true
		b.k.body = nil
	}
	if !b.k.cut {
		b.k.body = append(b.k.body, p[:n]...)
	}
	return n, err //nolint:wrapcheck // io.EOF must pass as it is
}

func (k *keeper) outcome() claim.Outcome {
	return claim.Outcome{Status: k.status, Type: k.mime, Body: k.body, Cut: k.cut}
}
