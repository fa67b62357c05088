// Package caller serves callers. It accepts their requests over plain HTTP, finds the
// route that the configuration gives them, and sends each request to a target's node by
// the policy of the route.
//
//	p := caller.New(caller.Deps{Claims: claims, Transport: tr, …})
//	p.SetTable(table)      // replaces the routing table atomically
//	http.Serve(listener, p)
//
// A request names its service in the Host header. The response is the target's, or one of
// the failures listed in package kind, each of which states whether the request ran.
//
// The rules for retries are in one place, retry.go. They depend on three facts: whether
// the route's requests may be repeated, whether any byte was sent, and what the target's
// node reported.
package caller

import (
	"bytes"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"briarrock.example/briarrockd/claim"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/briarrockd/rollout"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// HeaderKey carries the idempotency key (draft-ietf-httpapi-idempotency-key-header).
const HeaderKey = "Idempotency-Key"

// HeaderReplay marks a recorded response to an earlier request with the same idempotency
// key.
const HeaderReplay = "Briarrock-Replay"

// Deps are the dependencies and settings of a Proxy.
type Deps struct {
	Balancer  *Balancer
	Budget    *Budget
	Claims    *claim.Claims
	Transport http.RoundTripper
	// Scheme is the URL scheme of requests to other nodes: http, or https if there are
	// keys.
	Scheme string
	// CrashCount returns how often a request with this fingerprint was in flight when a
	// target crashed.
	CrashCount func(fingerprint uint64) int
	// IsRunning reports whether a target of this host is running the call with this trace
	// ID. It is nil for a node without targets.
	IsRunning func(trace string) bool
	// Proven reports whether the version in use is known to have been the newest one
	// recently enough to serve requests with keys. Nil means always.
	Proven func() bool
	// Allowance limits the requests of workspaces. Nil means no limits.
	Allowance Allowance
	// Rollouts decides which versions of a service's targets a request may run at. Nil
	// means all.
	Rollouts *rollout.Registry
	// Authenticate returns the caller's name by the request's headers; false if the
	// request is not from a permitted caller.
	Authenticate func(h http.Header) (string, bool)
	Log          *event.Log
	Metrics      *metrics.Set
	// StallTimeout is the longest time without any byte transferred after which a request
	// or a response is aborted.
	StallTimeout time.Duration
	// Hedge enables hedged requests: a request that may be repeated is also sent to a
	// second target when the first attempt takes unusually long.
	Hedge bool
}

// Allowance limits the requests of workspaces over all nodes.
type Allowance interface {
	// Take takes one request from a workspace's allowance. If none is left it returns
	// false and when to retry.
	Take(workspace string) (retryAfter time.Duration, ok bool)
	// Return returns the token of a request that did not run.
	Return(workspace string)
}

// Proxy is the http.Handler for callers' requests. New makes one.
type Proxy struct {
	deps     Deps
	table    atomic.Pointer[Table]
	draining atomic.Bool
	// shutdownAt is when the node's process ends, in Unix nanoseconds; 0 if that is not
	// planned.
	shutdownAt atomic.Int64
	inFlight   atomic.Int64
	timeouts   callerTimeouts
	startup    *startup
	counters   routeCounters
	calls      *metrics.Counter
	attempts   *metrics.Counter
	duration   *metrics.Histogram
}

// maxInFlightCalls bounds the calls in flight at a node, and so the memory that they use:
// some tens of kilobytes each.
const maxInFlightCalls = 2048

// New returns a Proxy without a routing table. It refuses calls with kind.Config until
// SetTable is called.
func New(d Deps) *Proxy {
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	p := &Proxy{
		deps:     d,
		startup:  newStartup(),
		counters: routeCounters{set: d.Metrics},
		calls:    d.Metrics.GetOrCreateCounter("briarrock_calls_total"),
		attempts: d.Metrics.GetOrCreateCounter("briarrock_attempts_total"),
		duration: d.Metrics.GetOrCreateHistogram("briarrock_call_seconds"),
	}
	p.registerWorkspaceGauges()
	d.Metrics.GetOrCreateGauge("briarrock_ejected", func() float64 {
		return float64(d.Balancer.Ejected(time.Now()))
	})
	return p
}

// SetTable replaces the routing table. Calls in flight keep the table that they started
// with.
func (p *Proxy) SetTable(t *Table) {
	old := p.table.Swap(t)
	p.logWorkspaces(old, t)
	if !p.startup.finished() {
		p.startup.notify()
	}
}

// Table returns the current routing table; nil before the first.
func (p *Proxy) Table() *Table { return p.table.Load() }

// Drain makes the proxy refuse all new calls, because the node is about to stop.
func (p *Proxy) Drain() { p.draining.Store(true) }

// SetShutdownTime sets the time at which the node's process ends and cuts off the calls
// in flight. The proxy refuses calls whose deadline is later than t, also those that it has
// accepted and not yet sent. A nested call of a local target is still accepted if its aim is not
// later: the outer call would fail without it, and ends with the process as well. Its deadline
// is then t.
func (p *Proxy) SetShutdownTime(t time.Time) { p.shutdownAt.Store(t.UnixNano()) }

func (p *Proxy) isShuttingDown() bool { return p.shutdownAt.Load() != 0 }

// endsBeforeShutdown reports whether a call that is sent now has ended by its deadline when the
// node's process ends. For a nested call it is enough that its aim is met.
func (p *Proxy) endsBeforeShutdown(c *call) bool {
	shutdownAt := p.shutdownAt.Load()
	if shutdownAt == 0 || c.deadline.UnixNano() <= shutdownAt {
		return true
	}
	return c.nested && c.route.Aim > 0 && time.Now().Add(c.route.Aim).UnixNano() <= shutdownAt
}

// sendDeadline returns the deadline of an attempt that is sent now. It is not later than the end
// of the node's process for a nested call, which has to be answered before.
func (p *Proxy) sendDeadline(c *call) time.Time {
	if shutdownAt := p.shutdownAt.Load(); c.nested && shutdownAt != 0 && shutdownAt < c.deadline.UnixNano() {
		return time.Unix(0, shutdownAt)
	}
	return c.deadline
}

// call is a request in progress and the decisions made about it.
type call struct {
	r         *http.Request
	table     *Table
	entryName string // name of the entry that matched, if any
	service   *service
	upstreams []upstream // the service's targets in the table
	route     snapshot.Route
	caller    string
	// workspace is the one that the caller's key belongs to; nil if there is none. keyState
	// is why the call is refused for its key.
	workspace *snapshot.Workspace
	keyState  keyState
	// hasToken is set while the call has a token of its workspace's allowance.
	hasToken  bool
	startedAt time.Time
	deadline  time.Time
	// aim is the call's latency objective as a point in time: a response after it has
	// lost most of its value. Zero if the route has no aim.
	aim time.Time
	// nested is set for a call that a target of this host makes while it runs another
	// call, the outer one.
	nested bool
	// callerRetry is set if the caller appears to retry after a refusal.
	callerRetry bool
	body        []byte // kept for retries; nil if empty or streamed
	streamed    bool
	stream      *streamedBody
	// interruptBody aborts a read of the request's body that is in progress.
	interruptBody func()
	fingerprint   uint64
	claim         *claim.Claim
	trace         string
	decisions     callDecisions
}

// refusal is the reason for which a call is refused, and the delay before a retry if one
// is known.
type refusal struct {
	kind       kind.Kind
	retryAfter time.Duration
}

// emptyRetryAfter is the retry delay for callers of a service without live targets: a
// target that was restarted is back in about this time.
const emptyRetryAfter = 300 * time.Millisecond

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Inc()
	if p.inFlight.Add(1) > maxInFlightCalls {
		p.inFlight.Add(-1)
		p.fail(w, &call{r: r, trace: traceID(r), startedAt: time.Now()}, kind.Full, kind.RanNo, 0)
		return
	}
	defer p.inFlight.Add(-1)
	relay.EnableFullDuplex(w, r)
	began := time.Now()
	defer p.duration.UpdateDuration(began)
	key := takeKey(r.Header)
	p.waitAtStartup(r, key)
	c, ref := p.admit(r, key, began)
	if ref.kind != kind.None {
		p.fail(w, c, ref.kind, kind.RanNo, ref.retryAfter)
		return
	}
	c.interruptBody = func() { relay.InterruptBody(w) }
	if r.Header.Get(HeaderKey) != "" && c.route.Mode == snapshot.Once {
		p.serveOnce(w, c)
		return
	}
	p.send(w, c)
}

// waitAtStartup delays a call at a node that has just started until the call can be
// served, for a limited time.
func (p *Proxy) waitAtStartup(r *http.Request, key callerKey) {
	if p.startup.finished() || p.draining.Load() {
		return
	}
	timeLeft := startupWaitDivisor * maxStartupWait
	if ms, err := strconv.ParseInt(r.Header.Get(target.HeaderDeadline), 10, 64); err == nil {
		timeLeft = time.Duration(ms) * time.Millisecond
	}
	p.startup.wait(r.Context(), timeLeft, func() bool { return p.canDecide(r, key) })
}

// canDecide reports whether a call at a node that has just started needs to wait no longer:
// it can be served, or no other table would make a difference. A call with a key waits for
// the proof of the version too, which arrives shortly after it. It waits also if the key is
// unknown: the first table, a peer's, may be behind and lack a new key.
func (p *Proxy) canDecide(r *http.Request, key callerKey) bool {
	proven := p.proven(key)
	t := p.table.Load()
	switch {
	case t == nil:
		return false
	case t.needsKey(r):
		return key.state != keyPresent || (proven && t.canServe(r))
	default:
		return t.canServe(r)
	}
}

// NotifyProof wakes the calls that wait at a node that has just started, because Deps.Proven
// may have changed.
func (p *Proxy) NotifyProof() {
	if !p.startup.finished() {
		p.startup.notify()
	}
}

// admit finds the route of a request and makes all checks that are possible before
// anything is sent.
func (p *Proxy) admit(r *http.Request, key callerKey, now time.Time) (*call, refusal) {
	// A table that is loaded before the proof may be older than the version that it proves.
	proven := p.proven(key)
	c := &call{r: r, trace: traceID(r), startedAt: now, table: p.table.Load()}
	if p.draining.Load() {
		return c, refusal{kind: kind.Drain}
	}
	if c.table == nil {
		return c, refusal{kind: kind.Config, retryAfter: startupRetryAfter}
	}
	requestTarget, err := relay.RequestTarget(r)
	if err != nil {
		return c, refusal{kind: kind.Request}
	}
	if k := c.findRoute(); k != kind.None {
		return c, refusal{kind: k}
	}
	c.upstreams = c.table.upstreams[c.service.Name]
	if ref := p.identify(c, key, proven); ref.kind != kind.None {
		return c, ref
	}
	p.promoteNested(c)
	var ok bool
	c.caller, ok = p.deps.Authenticate(r.Header)
	if !ok || !c.route.Allows(c.caller) {
		return c, refusal{kind: kind.Caller}
	}
	c.deadline, ok = deadline(r, c.route, now)
	if !ok {
		return c, refusal{kind: kind.Request}
	}
	if !p.endsBeforeShutdown(c) {
		return c, refusal{kind: kind.Drain}
	}
	p.setAim(c)
	if ref := p.takeToken(c); ref.kind != kind.None {
		return c, ref
	}
	if len(c.upstreams) == 0 {
		return c, refusal{kind: kind.Empty, retryAfter: emptyRetryAfter}
	}
	if k := p.readBody(c); k != kind.None {
		return c, refusal{kind: k}
	}
	c.fingerprint = claim.Fingerprint(c.service.Name, r.Method, requestTarget, r.ContentLength, c.body)
	if p.deps.CrashCount(c.fingerprint) >= peer.HoldThreshold {
		return c, refusal{kind: kind.Held}
	}
	return c, refusal{}
}

// promoteNested gives the highest priority to a nested call of a target of this host. If
// it is refused, all work for the outer call is lost. A trace ID alone does not qualify:
// the outer call that it names must be running on this host now.
func (p *Proxy) promoteNested(c *call) {
	parent, ok := target.ParentTrace(c.trace)
	if !ok || p.deps.IsRunning == nil || !p.deps.IsRunning(parent) {
		return
	}
	c.nested = true
	c.route.Priority = snapshot.MaxPriority
}

// setAim sets the call's aim, and whether the caller appears to retry after a refusal.
func (p *Proxy) setAim(c *call) {
	if c.route.Aim == 0 {
		return
	}
	c.aim = c.startedAt.Add(c.route.Aim)
	if ms, err := strconv.ParseInt(c.r.Header.Get(target.HeaderDeadline), 10, 64); err == nil && c.entryName != "" {
		c.callerRetry = p.timeouts.observe(c.entryName, time.Duration(ms)*time.Millisecond)
	}
}

// findRoute finds the call's route and service: by the entries of its host name, or else
// by the service that the host name names.
func (c *call) findRoute() kind.Kind {
	e, known := c.table.entry(hostName(c.r.Host), routePath(c.r.URL))
	if e != nil {
		c.entryName, c.route, c.service = e.Name, e.Route, e.pick()
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
	c.route, ok = c.service.route(c.r.Method, routePath(c.r.URL))
	if !ok {
		return kind.Route
	}
	return kind.None
}

// serviceName returns the first label of a host name without its port: both "orderdesk"
// and "orderdesk.mesh:8080" name the service orderdesk.
func serviceName(host string) string {
	name, _, _ := strings.Cut(hostName(host), ".")
	return name
}

// deadline returns the route's deadline, or the caller's if that is sooner. It returns
// false if the caller's header is malformed.
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

// readBody reads a short body of known length into memory. Any other body is wrapped, to
// record whether any of it has been read for sending.
func (p *Proxy) readBody(c *call) kind.Kind {
	n := c.r.ContentLength
	if n == 0 {
		return kind.None
	}
	if relay.IsStreamed(c.r) {
		c.streamed = true
		c.stream = &streamedBody{body: c.r.Body}
		return kind.None
	}
	var err error
	if c.body, err = relay.ReadBody(c.r, p.deps.StallTimeout); err != nil {
		return kind.Request
	}
	return kind.None
}

// streamedBody is the body of a streamed request. It has one reader at a time: a transport
// may still be about to read the body for an attempt that has ended. Once a read has begun
// the body can't be sent again.
type streamedBody struct {
	body    io.Reader
	mu      sync.Mutex
	current *streamReader
	started bool // a read has begun
}

// newReader returns the reader for the next attempt. The one before it can't read any more.
// It returns false if a read has begun.
func (b *streamedBody) newReader() (*streamReader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started {
		return nil, false
	}
	b.current = &streamReader{b}
	return b.current, true
}

// isStarted reports whether a read has begun.
func (b *streamedBody) isStarted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started
}

// streamReader reads a streamedBody for one attempt.
type streamReader struct{ stream *streamedBody }

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	if !r.start() {
		return 0, http.ErrBodyReadAfterClose
	}
	return r.stream.body.Read(p) //nolint:wrapcheck // io.EOF must not be wrapped
}

// start records that a read has begun. It returns false if another reader has taken over.
func (r *streamReader) start() bool {
	r.stream.mu.Lock()
	defer r.stream.mu.Unlock()
	if r.stream.current != r {
		return false
	}
	r.stream.started = true
	return true
}

// isReading reports whether a read of the body has begun for this reader's attempt.
func (r *streamReader) isReading() bool {
	r.stream.mu.Lock()
	defer r.stream.mu.Unlock()
	return r.stream.current == r && r.stream.started
}

// bodyInterrupter returns the function that aborts a read of an attempt's body, nil if such a
// read can't block. It must not abort that of a later attempt.
func (c *call) bodyInterrupter(body io.Reader) func() {
	r, ok := body.(*streamReader)
	if !ok {
		return nil
	}
	return func() {
		if r.isReading() {
			c.interruptBody()
		}
	}
}

// payload returns the body for one attempt, nil if the call has none. It returns false if the
// body can't be sent again. An earlier attempt can't read a streamed body any more.
func (c *call) payload() (io.Reader, bool) {
	switch {
	case c.streamed:
		return c.stream.newReader()
	case len(c.body) > 0:
		return bytes.NewReader(c.body), true
	default:
		return nil, true
	}
}

// payloadLength returns the length of the body, -1 if unknown.
func (c *call) payloadLength() int64 {
	if c.streamed {
		return c.r.ContentLength
	}
	return int64(len(c.body))
}

// traceID returns the trace ID that the caller sent, or a random one if there is none.
func traceID(r *http.Request) string {
	if t := r.Header.Get(target.HeaderTrace); t != "" {
		return t
	}
	var b [8]byte
	n := rand.Uint64()
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	return hex.EncodeToString(b[:])
}

// fail answers a call with a failure that this node reports.
func (p *Proxy) fail(w http.ResponseWriter, c *call, k kind.Kind, ran kind.Ran, retryAfter time.Duration) {
	p.deps.Metrics.GetOrCreateCounter(`briarrock_failures_total{kind="` + string(k) + `",ran="` + ran.String() + `"}`).Inc()
	if ran == kind.RanNo {
		p.returnToken(c)
	}
	if ran == kind.RanNo && c.service != nil {
		p.counters.refused(c.routeName(), k)
	}
	if c.callerRetry {
		p.counters.callerRetryEnded(k, ran)
	}
	p.logCall(c, k, ran, k.Answer().Status, retryAfter)
	w.Header().Set(target.HeaderTrace, c.trace)
	relay.WriteFailureWithRetryAfter(w, k, ran, retryAfter)
}
