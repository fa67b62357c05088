// Package relay forwards one HTTP exchange from an incoming connection to an
// outgoing one, streams the bodies in both directions, and reports for each
// failure whether any byte of the request was sent.
//
// Both hops of a call use it: the entry node, which forwards to the target's
// node, and the target's node, which forwards to the target.
//
//	res, out := relay.Send(ctx, relay.Call{In: r, Base: base, Transport: tr, Body: body})
//	if out.Kind != kind.None {
//		// out.Kind is the failure; out.Sent reports whether any byte was sent
//	}
//	out = relay.CopyResponse(w, res, stallTimeout)
//
// Send makes one attempt; retries are up to its caller. Outcome.Sent is measured:
// the connection counts the bytes written to it, and only if it wrote none is it
// certain that the request was not executed.
package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/briarrockd/tcp"
	"briarrock.example/mesh/kind"
)

// Causes with which this package cancels the context of an exchange.
var (
	// ErrStall is the cause if no body bytes were transferred within the stall timeout.
	ErrStall = errors.New("relay: no body bytes transferred within the stall timeout")
	// ErrDeadline is the cause if the response was not complete before Call.Deadline.
	ErrDeadline = errors.New("relay: no complete response before the deadline")
	// ErrResend is the cause if the transport was about to send a request again although
	// Call.Once is set.
	ErrResend = errors.New("relay: request must be sent only once")
)

// HeaderPrefix is the prefix of all headers that nodes send to each other or to
// callers. Headers with this prefix are removed from forwarded requests and
// responses, so that nobody else can set them.
const HeaderPrefix = "Briarrock-"

// HeaderSeal is the only exception: it carries a target's signature of its
// response, and is forwarded to the caller unchanged.
const HeaderSeal = HeaderPrefix + "Seal"

// Call describes one request to forward.
type Call struct {
	// In is the incoming request.
	In *http.Request
	// Base has the scheme and host to send the request to. The request target is that of
	// In, see RequestTarget.
	Base *url.URL
	// Host is the value of the Host header to send.
	Host string
	// ExtraHeader has headers to set on the outgoing request in addition to the
	// forwarded ones. They replace forwarded headers of the same name.
	ExtraHeader http.Header
	// Body is the body to send; nil for none.
	Body io.Reader
	// InterruptBody, if set, aborts a read of Body that is in progress. net/http's HTTP/2
	// transport waits for that read after the exchange has failed.
	InterruptBody func()
	// ContentLength is the number of bytes in Body, -1 if unknown.
	ContentLength int64
	// Transport sends the request. Its connections must be opened by Dialer.
	Transport http.RoundTripper
	// StallTimeout is the longest time without a successful read of Body while it is
	// sent. After it the exchange is canceled.
	StallTimeout time.Duration
	// Once is set for a request that must be sent at most once, which also forbids
	// retries inside Transport.
	Once bool
	// Deadline is the time by which the response must be received, to the end of its body.
	Deadline time.Time
	// ForwardAfterBody is set if the next hop forwards the request only after it has
	// sent 100 Continue and received the body. Such a request counts as not sent
	// until the transport begins to read Body.
	ForwardAfterBody bool
	// Streamed is set for a body that may take any time to arrive, as long as it does not
	// stall. Deadline is then extended by the time that reads of Body take before
	// the response begins. All other waits count: for a connection, for 100 Continue, and
	// for the next hop to receive the body.
	Streamed bool
}

// MaxBufferedBody is the size in bytes up to which a request body is buffered.
// Larger bodies, and those of unknown length, are streamed.
const MaxBufferedBody = 64 << 10

// MaxBufferedResponse is the size in bytes up to which a response body is buffered
// before it is forwarded. If a buffered response is truncated, the request can still
// be retried. If it is not, the caller gets an error response, and its connection
// stays open.
const MaxBufferedResponse = 64 << 10

// IsStreamed reports whether the body of a request is streamed instead of buffered.
func IsStreamed(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > MaxBufferedBody
}

// ReadBody reads a request body of known length into memory. If the body is not
// complete within timeout, it is closed and an error is returned.
func ReadBody(r *http.Request, timeout time.Duration) ([]byte, error) {
	body := r.Body // the caller may replace it while the timer's function runs
	timer := time.AfterFunc(timeout, func() { _ = body.Close() })
	defer timer.Stop()
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(body, b); err != nil {
		return nil, errors.WithStack(err)
	}
	return b, nil
}

// Outcome is the result of an exchange, or of a part of it.
type Outcome struct {
	// Kind is the failure kind; None on success.
	Kind kind.Kind
	// Sent reports whether any byte of the request can have been sent.
	Sent bool
	// Err is the cause of the failure, for the log.
	Err error
}

// Send sends the request and waits for the response headers. The caller reads and
// closes the response body. Outcome.Kind is None if and only if the response is
// not nil.
func Send(ctx context.Context, c Call) (*http.Response, Outcome) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx = context.WithValue(ctx, cancelKey{}, cancel)
	var tracker sendTracker
	if c.Once {
		tracker.onResend = func() { cancel(ErrResend) }
	}
	req, err := newRequest(httptrace.WithClientTrace(ctx, tracker.trace()), c)
	if err != nil {
		cancel(nil)
		return nil, Outcome{Kind: kind.Request, Err: err}
	}
	timer := newDeadlineTimer(time.Until(c.Deadline), func() { cancel(ErrDeadline) })
	var body *stallGuard
	if c.Body != nil {
		body = newStallGuard(req.Body, c.StallTimeout, func() { cancel(ErrStall) })
		body.interrupt = c.InterruptBody
		req.Body = body
	}
	if c.Streamed && body != nil {
		body.deadline = timer
	}
	res, err := c.Transport.RoundTrip(req)
	if body != nil {
		body.stop()
	}
	timer.disablePause()
	if err != nil {
		timer.stop()
		if body != nil {
			body.end()
		}
		out := tracker.outcome(ctx, err, tracker.sent() && !c.isForwardPending(body))
		cancel(nil)
		return nil, out
	}
	res.Body = &exchangeBody{ReadCloser: res.Body, cancel: cancel, timer: timer}
	return res, Outcome{Sent: true}
}

// isForwardPending reports whether the next hop cannot have forwarded the request yet,
// since the transport has not begun to read the body. body is nil for a request
// without one.
func (c *Call) isForwardPending(body *stallGuard) bool {
	return c.ForwardAfterBody && body != nil && !body.started.Load()
}

// newRequest builds the outgoing request.
func newRequest(ctx context.Context, c Call) (*http.Request, error) {
	u, err := outgoingURL(c.Base, c.In)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, c.In.Method, c.Base.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "relay: invalid outgoing request")
	}
	req.URL = u
	req.Host = c.Host
	req.Header = endToEndHeader(c.In.Header)
	for k, v := range c.ExtraHeader {
		req.Header[k] = v
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	req.Body = http.NoBody
	if c.Body != nil {
		req.Body = io.NopCloser(c.Body)
		req.ContentLength = c.ContentLength
	}
	req.GetBody = nil
	return req, nil
}

// EnableFullDuplex allows the response to start while the request body is still being
// received. net/http's HTTP/1.1 server otherwise reads the whole body before it sends
// the response headers, which deadlocks if the target responds while it reads the
// body and the caller waits for that response before it sends the rest.
func EnableFullDuplex(w http.ResponseWriter, r *http.Request) {
	if IsStreamed(r) {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
}

// sendTracker determines whether any byte of a request was written to a connection.
type sendTracker struct {
	conn atomic.Pointer[CountingConn]
	// writtenBefore is the byte count of conn before the request.
	writtenBefore atomic.Int64
	// uncounted is set if the request used a connection that is no CountingConn.
	uncounted atomic.Bool
	// resent is set if the transport sends the request again after some bytes were written.
	resent atomic.Bool
	// onResend, if set, is called when the transport is about to send the request again. It
	// cancels the request, which net/http's HTTP/2 transport checks before it writes.
	onResend func()
	// wroteHeader is set once a header field has been written, if onResend is set.
	wroteHeader atomic.Bool
}

// trace returns the httptrace hooks that record the connection used for the request.
func (t *sendTracker) trace() *httptrace.ClientTrace {
	hooks := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if t.wroteHeader.Load() {
			t.onResend()
			return
		}
		if t.onResend == nil && t.sent() {
			t.resent.Store(true)
			return
		}
		c := countingConn(info.Conn)
		if c == nil {
			t.uncounted.Store(true)
			return
		}
		t.writtenBefore.Store(c.written.Load())
		t.conn.Store(c)
	}}
	if t.onResend != nil {
		hooks.WroteHeaderField = func(string, []string) { t.wroteHeader.Store(true) }
	}
	return hooks
}

// sent reports whether any byte of the request can have been sent. Without a counting
// connection it has to assume so as soon as a connection was obtained.
func (t *sendTracker) sent() bool {
	if t.uncounted.Load() || t.resent.Load() {
		return true
	}
	c := t.conn.Load()
	return c != nil && c.written.Load() > t.writtenBefore.Load()
}

// outcome classifies a failed round trip by the cause for which ctx was canceled, if
// it was, and by whether any byte was sent.
func (t *sendTracker) outcome(ctx context.Context, err error, sent bool) Outcome {
	out := Outcome{Sent: sent, Err: err, Kind: kind.Refused}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrResend):
		out.Kind = kind.Broken
	case errors.Is(cause, ErrStall):
		out.Kind = kind.Stall
	case errors.Is(cause, ErrDeadline), errors.Is(cause, context.DeadlineExceeded):
		out.Kind = kind.Deadline
		if sent {
			out.Kind = kind.Late
		}
	case cause != nil:
		out.Kind = kind.Cancel
	case sent:
		out.Kind = kind.Broken
	}
	return out
}

// BufferResponse reads a response body of at most limit bytes into memory, so that a
// truncated response is detected before any of it is forwarded. A larger body is left to
// be streamed. If Outcome.Kind is not None, the body has failed and is closed.
func BufferResponse(res *http.Response, limit int64) Outcome {
	if res.ContentLength > limit {
		return Outcome{Sent: true}
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		out := bodyOutcome(res, err)
		_ = res.Body.Close()
		return out
	}
	if int64(len(b)) > limit {
		res.Body = &prefixedBody{io.MultiReader(bytes.NewReader(b), res.Body), res.Body}
		return Outcome{Sent: true}
	}
	_ = res.Body.Close()
	res.Body = io.NopCloser(bytes.NewReader(b))
	if res.Request == nil || res.Request.Method != http.MethodHead {
		res.ContentLength = int64(len(b))
		res.TransferEncoding = nil
		res.Header.Set("Content-Length", strconv.Itoa(len(b)))
	}
	return Outcome{Sent: true}
}

// discardTimeout is the time for which Discard waits for the rest of a body.
const discardTimeout = 50 * time.Millisecond

// Discard closes the body of a response that is not forwarded. It reads the rest first, so
// that the connection can be reused, if that has at most limit bytes and arrives soon.
func Discard(res *http.Response, limit int64) {
	stall := time.AfterFunc(discardTimeout, func() { cancelStalled(res) })
	defer stall.Stop()
	_, _ = io.CopyN(io.Discard, res.Body, limit)
	_ = res.Body.Close()
}

// prefixedBody is a response body whose beginning was already read into memory: Reader
// returns that beginning and then the rest.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// CopyResponse copies a response to the caller and closes its body. stallTimeout limits
// each read of the body and each write. If copying fails, Outcome.Kind is not None and
// the handler must call Abort.
func CopyResponse(w http.ResponseWriter, res *http.Response, stallTimeout time.Duration) Outcome {
	defer func() { _ = res.Body.Close() }()
	announceTrailers(w.Header(), res.Trailer)
	copyHeader(w.Header(), endToEndHeader(res.Header))
	w.WriteHeader(res.StatusCode)
	out := copyBody(w, res, stallTimeout)
	for k, v := range res.Trailer {
		w.Header()[k] = v
	}
	return out
}

// Abort ends the handling of a request after its response has been begun and cannot be
// completed. It closes the connection by a panic with http.ErrAbortHandler, so that the
// caller cannot take a truncated response for a complete one.
func Abort(w http.ResponseWriter) {
	InterruptBody(w) // net/http's server waits for a read in progress
	panic(http.ErrAbortHandler)
}

// InterruptBody aborts a read of the request's body that is in progress.
func InterruptBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// announceTrailers adds the Trailer header, which net/http needs before the body.
func announceTrailers(h http.Header, trailer http.Header) {
	for k := range trailer {
		h.Add("Trailer", k)
	}
}

// copyBufferSize is the size in bytes of the buffer with which copyBody copies.
const copyBufferSize = 32 << 10

// bufferPool reuses the buffers of copyBody. Under load, allocating one for each response
// caused most of the garbage collector's work.
var bufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyBody copies the response body. It flushes after each read if the length is
// unknown, since the caller may be waiting for each part of such a response.
func copyBody(w http.ResponseWriter, res *http.Response, stallTimeout time.Duration) Outcome {
	ctl := http.NewResponseController(w)
	timer := time.AfterFunc(stallTimeout, func() { cancelStalled(res) })
	defer timer.Stop()
	pooled, _ := bufferPool.Get().(*[copyBufferSize]byte)
	defer bufferPool.Put(pooled)
	buf := pooled[:]
	for {
		n, err := res.Body.Read(buf)
		timer.Reset(stallTimeout)
		if n > 0 {
			_ = ctl.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return Outcome{Kind: kind.Cancel, Sent: true, Err: werr}
			}
			if res.ContentLength < 0 {
				_ = ctl.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return Outcome{Sent: true}
		}
		if err != nil {
			return bodyOutcome(res, err)
		}
	}
}

// cancelKey is the context key of the function that cancels an exchange. It is kept in
// the context since the response body may have been wrapped in the meantime.
type cancelKey struct{}

// cancelStalled cancels the exchange of a response with ErrStall.
func cancelStalled(res *http.Response) {
	if cancel, ok := requestContext(res).Value(cancelKey{}).(context.CancelCauseFunc); ok {
		cancel(ErrStall)
	}
}

// requestContext returns the context of the request of a response.
func requestContext(res *http.Response) context.Context {
	if res.Request == nil {
		return context.Background()
	}
	return res.Request.Context()
}

// bodyOutcome classifies an error in reading a response body.
func bodyOutcome(res *http.Response, err error) Outcome {
	out := Outcome{Kind: kind.Broken, Sent: true, Err: err}
	cause := context.Cause(requestContext(res))
	switch {
	case errors.Is(cause, ErrStall):
		out.Kind = kind.Stall
	case errors.Is(cause, ErrDeadline):
		out.Kind, out.Err = kind.Late, ErrDeadline
	case errors.Is(cause, context.Canceled):
		out.Kind = kind.Cancel
	}
	return out
}

// exchangeBody is a response body that ends its exchange when it is closed.
type exchangeBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
	timer  *deadlineTimer
}

// Close implements io.Closer.
func (c *exchangeBody) Close() error {
	c.timer.stop()
	// Cancel first: closing an HTTP/2 response body waits until the request has been
	// sent, which never happens if the caller has stopped in the middle of its
	// body. The call would then occupy its concurrency slot forever.
	c.cancel(nil)
	return errors.WithStack(c.ReadCloser.Close())
}

// stallGuard is a request body that calls a function if no read succeeds for timeout.
type stallGuard struct {
	io.ReadCloser
	timer   *time.Timer
	timeout time.Duration
	// deadline, if set, is paused during reads.
	deadline *deadlineTimer
	// interrupt, if set, aborts a read in progress.
	interrupt func()
	reading   atomic.Bool
	closed    atomic.Bool
	started   atomic.Bool // a read has begun
	done      atomic.Bool // the body has ended, or stop was called
}

func newStallGuard(b io.ReadCloser, timeout time.Duration, onStall func()) *stallGuard {
	return &stallGuard{ReadCloser: b, timer: time.AfterFunc(timeout, onStall), timeout: timeout}
}

// Read implements io.Reader.
func (g *stallGuard) Read(p []byte) (int, error) {
	g.started.Store(true)
	g.reading.Store(true)
	defer g.reading.Store(false)
	if g.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if g.deadline != nil {
		g.deadline.pause()
		defer g.deadline.resume()
	}
	n, err := g.ReadCloser.Read(p)
	switch {
	case err == nil:
		g.timer.Reset(g.timeout)
	case g.done.CompareAndSwap(false, true):
		g.timer.Stop()
	}
	return n, err //nolint:wrapcheck // the caller compares with io.EOF
}

// end makes later reads fail. A transport may still be about to read the body after the
// exchange has failed. If no read has begun when end returns, none of the body is ever read.
func (g *stallGuard) end() { g.closed.Store(true) }

// Close implements io.Closer. A transport calls it once it needs no more of the body.
func (g *stallGuard) Close() error {
	g.closed.Store(true)
	if g.reading.Load() && g.interrupt != nil {
		g.interrupt()
	}
	return nil
}

// stop ends the supervision once the response headers have been received. A target
// may respond without reading the whole body; that is not a stall.
func (g *stallGuard) stop() {
	g.done.Store(true)
	g.timer.Stop()
}

// CountingConn is a net.Conn that counts the bytes written to it.
type CountingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. It counts before it writes, so that the bytes of an
// interrupted write count as sent.
func (c *CountingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	return n, err //nolint:wrapcheck // net/http inspects the type of the error
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a dial function whose connections are of type CountingConn. They are
// opened by dial. If dial is nil, a net.Dialer opens them, with timeout as its dial
// timeout and as its TCP keep-alive interval.
func Dialer(timeout time.Duration, dial DialFunc) DialFunc {
	if dial == nil {
		d := &net.Dialer{Timeout: timeout, KeepAlive: timeout}
		dial = d.DialContext
	}
	dial = tcp.Dialer(dial)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		return &CountingConn{Conn: c}, nil
	}
}

// countingConn returns the CountingConn below a connection, which may be a TLS one; nil
// if there is none.
func countingConn(c net.Conn) *CountingConn {
	if x, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = x.NetConn()
	}
	cc, _ := c.(*CountingConn)
	return cc
}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1). "Expect" is one of
// them, since each node requests the body by itself.
var hopByHopHeaders = []string{
	"Expect",
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns the headers to forward: neither hop-by-hop headers nor those
// that nodes use among themselves.
func endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !strings.HasPrefix(k, HeaderPrefix) || k == HeaderSeal {
			out[k] = v
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

func copyHeader(dst, src http.Header) {
	for k, v := range src {
		dst[k] = append(dst[k], v...)
	}
}
