// Package caller is a node's side towards callers: it takes their requests
// over plain HTTP, finds the route that the operator's text gives them, and
// sends each to a target's node by the route's policy.
//
//	p := caller.New(caller.Deps{Claims: claims, Transport: tr, …})
//	p.SetTable(table)      // replaces the routing table atomically
//	http.Serve(listener, p)
//
// A request names its service in the Host header. The answer is the target's,
// or a failure of the closed list in package kind, which always says whether
// the request ran.
//
// What may be retried is decided in one place, retry.go, from three facts:
// whether the route's requests may be repeated, whether any byte went out,
// and what the target's node said.
package caller

import (
	"bytes"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"briarrock.example/briarrockd/claim"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// HeaderKey carries the idempotency key (draft-ietf-httpapi-idempotency-key-header).
const HeaderKey = "Idempotency-Key"

// HeaderReplay marks an answer that was kept from the first time.
const HeaderReplay = "Briarrock-Replay"

// Deps are what a Proxy needs from outside.
type Deps struct {
	Balancer  *Balancer
	Budget    *Budget
	Claims    *claim.Claims
	Transport http.RoundTripper
	// Scheme is that of the nodes' call addresses: http, or https with keys.
	Scheme string
	// CrashCount tells how often a request has been in flight at a crash.
	CrashCount func(fingerprint uint64) int
	// IsRunning tells whether a target of this host runs a call of a name now; nil for
	// a node that has no targets.
	IsRunning func(trace string) bool
	// Authenticate finds out who calls, by the request's headers; false if it is
	// nobody who may.
	Authenticate func(h http.Header) (string, bool)
	Log          *event.Log
	Metrics      *metrics.Set
	// StallTimeout bounds the time without a byte moving.
	StallTimeout time.Duration
	// Hedge sends a request that may be repeated to a second target when the
	// first one takes unusually long.
	Hedge bool
}

// Proxy takes requests from callers. New makes one; it is an http.Handler.
type Proxy struct {
	deps    Deps
	table   atomic.Pointer[Table]
	leaving atomic.Bool
	// until is when the node ends, in Unix nanoseconds; 0 while it stays.
	until    atomic.Int64
	inflight atomic.Int64
	patience patience
	starting *starting
	counts   counts
	calls    *metrics.Counter
	attempts *metrics.Counter
	took     *metrics.Histogram
}

// maxInflight bounds the calls that one node has under way, and so the memory
// that callers can make it take: some tens of kilobytes each.
const maxInflight = 2048

// New returns a Proxy that has no table yet and says so to callers.
func New(d Deps) *Proxy {
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	p := &Proxy{
		deps:     d,
		starting: newStarting(),
		counts:   counts{set: d.Metrics},
		calls:    d.Metrics.GetOrCreateCounter("briarrock_calls_total"),
		attempts: d.Metrics.GetOrCreateCounter("briarrock_attempts_total"),
		took:     d.Metrics.GetOrCreateHistogram("briarrock_call_seconds"),
	}
	d.Metrics.GetOrCreateGauge("briarrock_ejected", func() float64 {
		return float64(d.Balancer.Ejected(time.Now()))
	})
	return p
}

// SetTable swaps in a table. Calls that are under way keep theirs.
func (p *Proxy) SetTable(t *Table) {
	p.table.Store(t)
	if !p.starting.over() {
		p.starting.tell()
	}
}

// Table returns the table in use; nil before the first.
func (p *Proxy) Table() *Table { return p.table.Load() }

// Drain makes the proxy refuse all new calls, because the node is about to stop.
func (p *Proxy) Drain() { p.leaving.Store(true) }

// SetShutdownTime makes the proxy refuse calls whose deadline is later than t, when the
// node ends and cuts off the calls in flight. Calls that local targets make for requests
// in progress have short deadlines and are still accepted.
func (p *Proxy) SetShutdownTime(t time.Time) { p.until.Store(t.UnixNano()) }

// call is one request on its way, with what was decided about it.
type call struct {
	r        *http.Request
	table    *Table
	entry    string // name of the entry that it came by, if any
	service  *service
	set      []upstream // the service's targets by the table
	route    snapshot.Route
	caller   string
	began    time.Time
	deadline time.Time
	// aim is when the answer loses most of its worth; zero if the route says
	// nothing.
	aim time.Time
	// nested is set for a call that a target of this host makes for one that it runs.
	nested bool
	// returns is set for a caller that seems to have been refused before.
	returns   bool
	body      []byte // kept to be sent again; nil for none or a streamed one
	streamed  bool
	begun     *begun
	print     uint64
	claim     *claim.Claim
	trace     string
	callTrace callTrace
}

// refusal is a decision against a call.
type refusal struct {
	kind  kind.Kind
	after time.Duration
}

// emptyAfter is when to ask again for a service that has no live target: one
// that was restarted is back in about this time.
const emptyAfter = 300 * time.Millisecond

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Inc()
	if p.inflight.Add(1) > maxInflight {
		p.inflight.Add(-1)
		p.fail(w, &call{r: r, trace: traceOf(r), began: time.Now()}, kind.Full, kind.RanNo, 0)
		return
	}
	defer p.inflight.Add(-1)
	relay.EnableFullDuplex(w, r)
	began := time.Now()
	defer p.took.UpdateDuration(began)
	p.holdAtStart(r)
	c, no := p.admit(r, began)
	if no.kind != kind.None {
		p.fail(w, c, no.kind, kind.RanNo, no.after)
		return
	}
	if r.Header.Get(HeaderKey) != "" && c.route.Mode == snapshot.Once {
		p.once(w, c)
		return
	}
	p.send(w, c)
}

// holdAtStart holds a call at a node that has just been started until it can be served.
func (p *Proxy) holdAtStart(r *http.Request) {
	if p.starting.over() || p.leaving.Load() {
		return
	}
	left := holdShare * holdFor
	if ms, err := strconv.ParseInt(r.Header.Get(target.HeaderDeadline), 10, 64); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	p.starting.hold(r.Context(), left, func() bool {
		t := p.table.Load()
		return t != nil && t.canServe(r)
	})
}

// admit finds the route of a request and checks all that can be checked
// before anything is sent.
func (p *Proxy) admit(r *http.Request, now time.Time) (*call, refusal) {
	c := &call{r: r, trace: traceOf(r), began: now, table: p.table.Load()}
	if p.leaving.Load() {
		return c, refusal{kind: kind.Drain}
	}
	if c.table == nil {
		return c, refusal{kind: kind.Config, after: startAgain}
	}
	if k := c.find(); k != kind.None {
		return c, refusal{kind: k}
	}
	c.set = c.table.sets[c.service.Name]
	p.promote(c)
	var ok bool
	c.caller, ok = p.deps.Authenticate(r.Header)
	if !ok || !c.route.Allows(c.caller) {
		return c, refusal{kind: kind.Caller}
	}
	c.deadline, ok = deadline(r, c.route, now)
	if !ok {
		return c, refusal{kind: kind.Request}
	}
	if until := p.until.Load(); until != 0 && c.deadline.UnixNano() > until {
		return c, refusal{kind: kind.Drain}
	}
	p.setAim(c)
	if len(c.set) == 0 {
		return c, refusal{kind: kind.Empty, after: emptyAfter}
	}
	if k := p.readBody(c); k != kind.None {
		return c, refusal{kind: k}
	}
	c.print = claim.Fingerprint(c.service.Name, r.Method, r.URL.RequestURI(), r.ContentLength, c.body)
	if p.deps.CrashCount(c.print) >= peer.HoldThreshold {
		return c, refusal{kind: kind.Held}
	}
	return c, refusal{}
}

// promote gives the highest priority to a call that a run of this host's target waits
// for: if it is refused, all that was done for the run is lost. A name alone gives no
// right to it: the call that it names as its parent must run here now.
func (p *Proxy) promote(c *call) {
	parent, ok := target.ParentTrace(c.trace)
	if !ok || p.deps.IsRunning == nil || !p.deps.IsRunning(parent) {
		return
	}
	c.nested = true
	c.route.Priority = snapshot.MostUrgent
}

// setAim works out until when the answer is worth most, and whether the caller seems
// to have been refused before.
func (p *Proxy) setAim(c *call) {
	if c.route.Aim == 0 {
		return
	}
	c.aim = c.began.Add(c.route.Aim)
	if ms, err := strconv.ParseInt(c.r.Header.Get(target.HeaderDeadline), 10, 64); err == nil && c.entry != "" {
		c.returns = p.patience.returns(c.entry, time.Duration(ms)*time.Millisecond)
	}
}

// find finds the call's route and the service that it goes to: by the entries
// of its host name, or else by the service that the host name names.
func (c *call) find() kind.Kind {
	e, known := c.table.entry(hostName(c.r.Host), c.r.URL.Path)
	if e != nil {
		c.entry, c.route, c.service = e.Name, e.Route, e.pick()
		return kind.None
	}
	if known {
		return kind.Route
	}
	c.service = c.table.services[serviceName(c.r.Host)]
	if c.service == nil {
		return kind.Service
	}
	var ok bool
	c.route, ok = c.service.route(c.r.Method, c.r.URL.Path)
	if !ok {
		return kind.Route
	}
	return kind.None
}

// serviceName is the first label of a host name without its port, so that
// both "orderdesk" and "orderdesk.mesh:8080" name the service orderdesk.
func serviceName(host string) string {
	name, _, _ := strings.Cut(hostName(host), ".")
	return name
}

// deadline is the route's, or the caller's if that is sooner.
func deadline(r *http.Request, route snapshot.Route, now time.Time) (time.Time, bool) {
	d := route.Deadline
	if h := r.Header.Get(target.HeaderDeadline); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms < 0 {
			return time.Time{}, false
		}
		if ms < d.Milliseconds() {
			d = time.Duration(ms) * time.Millisecond
		}
	}
	return now.Add(d), true
}

// readBody keeps a short body of known length, and wraps any other one so
// that it is known whether its sending has begun.
func (p *Proxy) readBody(c *call) kind.Kind {
	n := c.r.ContentLength
	if n == 0 {
		return kind.None
	}
	if relay.IsStreamed(c.r) {
		c.streamed = true
		c.begun = &begun{ReadCloser: c.r.Body}
		return kind.None
	}
	var err error
	if c.body, err = relay.ReadBody(c.r, p.deps.StallTimeout); err != nil {
		return kind.Request
	}
	return kind.None
}

// begun is a streamed body. Once a byte of it was read it can't be sent again.
type begun struct {
	io.ReadCloser
	read atomic.Bool
}

// Read implements io.Reader.
func (b *begun) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.ReadCloser.Read(p) //nolint:wrapcheck // io.EOF must pass as it is
}

// payload is the body for one attempt and its length.
func (c *call) payload() (io.Reader, int64) {
	switch {
	case c.streamed:
		return c.begun, c.r.ContentLength
	case len(c.body) > 0:
		return bytes.NewReader(c.body), int64(len(c.body))
	default:
		return nil, 0
	}
}

// traceOf is the name of a call: the caller's if it is a plausible one.
func traceOf(r *http.Request) string {
	const most = 64
	if t := r.Header.Get(target.HeaderTrace); t != "" && len(t) <= most {
		return t
	}
	var b [8]byte
	n := rand.Uint64()
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	return hex.EncodeToString(b[:])
}

// fail answers a call that the node itself gives up.
func (p *Proxy) fail(w http.ResponseWriter, c *call, k kind.Kind, ran kind.Ran, after time.Duration) {
	p.deps.Metrics.GetOrCreateCounter(`briarrock_failures_total{kind="` + string(k) + `",ran="` + ran.String() + `"}`).Inc()
	if ran == kind.RanNo && c.service != nil {
		p.counts.refused(c.routeName(), k)
	}
	if c.returns {
		p.counts.returned(k, ran)
	}
	p.tell(c, k, ran, k.Answer().Status, after)
	w.Header().Set(target.HeaderTrace, c.trace)
	relay.WriteFailureWithRetryAfter(w, k, ran, after)
}
