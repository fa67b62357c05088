// Package relay carries one HTTP exchange from one connection to another, as
// a stream in both directions, and knows at each failure how far it came.
//
// Both halves of a call's way use it: the node at the entry, towards the
// target's node, and the target's node, towards the target.
//
//	res, out := relay.Send(ctx, relay.Call{In: r, URL: url, Transport: tr, Body: body})
//	if out.Kind != kind.None {
//		// out.Kind says what failed and out.Sent whether any byte went out
//	}
//	out = relay.Answer(w, res, stall)
//
// Send never sends twice: a request that failed is the caller's to retry.
// Sent is measured, not guessed: the connection counts the bytes written, and
// only if it wrote none did the request provably not run.
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

	"briarrock.example/mesh/kind"
)

// Causes by which this package cancels an exchange.
var (
	ErrStall    = errors.New("relay: no byte moved for too long")
	ErrDeadline = errors.New("relay: deadline")
)

// HeaderPrefix begins each header that nodes use among themselves or towards
// callers. Nothing with this prefix passes through from outside.
const HeaderPrefix = "Briarrock-"

// HeaderSeal is the one exception: a target's proof that an answer is its own,
// which passes to the caller as it is.
const HeaderSeal = HeaderPrefix + "Seal"

// Call is one exchange to be sent.
type Call struct {
	// In is the request as it came in.
	In *http.Request
	// URL is where to send it.
	URL *url.URL
	// Host is the Host header to send.
	Host string
	// ExtraHeader are headers to set, after the hop's own were removed.
	ExtraHeader http.Header
	// Body is what to send; nil for none.
	Body io.Reader
	// ContentLength is the number of bytes in Body, -1 if not known.
	ContentLength int64
	// Transport sends. Its connections must come from Dialer.
	Transport http.RoundTripper
	// StallTimeout bounds the time without a byte moving while Body is sent.
	StallTimeout time.Duration
	// Once is set for a request that must not be sent twice by anybody.
	Once bool
	// Deadline is when the answer's head must be there.
	Deadline time.Time
	// ForwardAfterBody is set for a request of which the other side passes nothing on before
	// it has asked for the body and got it. It has not been sent as long as nothing of
	// the body has.
	ForwardAfterBody bool
	// Streamed is set for a body whose sending may take any time as long as
	// it moves: the time until Deadline then counts from the body's end.
	Streamed bool
}

// MaxBufferedBody bounds the bodies that are sent as one piece; larger ones, and
// those of unknown length, are streamed.
const MaxBufferedBody = 64 << 10

// MaxBufferedResponse bounds the answers that are read whole before any of them is passed
// on. One that breaks off then costs no connection, the request can still be
// sent again, and its caller gets a clear failure.
const MaxBufferedResponse = 64 << 10

// IsStreamed tells whether a request's body is streamed.
func IsStreamed(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > MaxBufferedBody
}

// ReadBody reads a request's body of known length into memory. A body that has not come
// within the given time is closed, and the read fails.
func ReadBody(r *http.Request, within time.Duration) ([]byte, error) {
	timer := time.AfterFunc(within, func() { _ = r.Body.Close() })
	defer timer.Stop()
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b); err != nil {
		return nil, errors.WithStack(err)
	}
	return b, nil
}

// Outcome is how far an exchange came.
type Outcome struct {
	// Kind is None for an exchange that came to its end.
	Kind kind.Kind
	// Sent tells whether any byte of the request can have left this process.
	Sent bool
	// Err is the cause, for the log.
	Err error
}

// Send sends the request and returns the answer's head, its body still to be
// read. The Outcome's Kind is None exactly if the response is not nil.
func Send(ctx context.Context, c Call) (*http.Response, Outcome) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx = context.WithValue(ctx, cancelKey{}, cancel)
	var w watch
	req, err := request(httptrace.WithClientTrace(ctx, w.trace()), c)
	if err != nil {
		cancel(nil)
		return nil, Outcome{Kind: kind.Request, Err: err}
	}
	left := time.Until(c.Deadline)
	timer := time.AfterFunc(left, func() { cancel(ErrDeadline) })
	var g *guard
	if c.Body != nil {
		g = newGuard(req.Body, c.StallTimeout, func() { cancel(ErrStall) })
		req.Body = g
	}
	if c.Streamed && g != nil {
		timer.Stop()
		g.ended = func() { timer.Reset(left) }
	}
	res, err := c.Transport.RoundTrip(req)
	if g != nil {
		g.stop()
	}
	timer.Stop()
	if err != nil {
		out := w.outcome(ctx, err, w.sent() && !c.isWithheld(g))
		cancel(nil)
		return nil, out
	}
	res.Body = &closing{ReadCloser: res.Body, cancel: cancel}
	return res, Outcome{Sent: true}
}

// isWithheld tells whether the other side still waits for the body, whose guard is g.
func (c *Call) isWithheld(g *guard) bool { return c.ForwardAfterBody && g != nil && !g.begun.Load() }

func request(ctx context.Context, c Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.In.Method, c.URL.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "relay: request")
	}
	req.Host = c.Host
	req.Header = endToEnd(c.In.Header)
	for k, v := range c.ExtraHeader {
		req.Header[k] = v
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	// net/http sends a request again by itself when its connection breaks, if
	// it takes the request for one that may be repeated, and it takes every
	// request with an Idempotency-Key for one. The symptom would be an order
	// that lands twice. It can't do so with a body that it has no GetBody for,
	// and that is why a request which may run only once gets even an empty one.
	switch {
	case c.Body != nil:
		req.Body = io.NopCloser(c.Body)
		req.ContentLength = c.ContentLength
	case c.Once:
		req.Body = io.NopCloser(strings.NewReader(""))
	default:
		req.Body = http.NoBody
	}
	req.GetBody = nil
	return req, nil
}

// EnableFullDuplex lets an answer begin while its request's body is still coming in.
// HTTP/1.1 servers otherwise read the body to its end first, and a target that
// answers as it reads would wait for a caller that waits for it.
func EnableFullDuplex(w http.ResponseWriter, r *http.Request) {
	if IsStreamed(r) {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
}

// RebaseURL is the URL of the request in at another address. The path goes on in
// the form in which it came, so that no escape changes its meaning on the way.
func RebaseURL(base *url.URL, in *http.Request) *url.URL {
	u := *in.URL
	u.Scheme = base.Scheme
	u.Host = base.Host
	return &u
}

// watch finds out whether a request can have left the process.
type watch struct {
	conn   atomic.Pointer[CountingConn]
	before atomic.Int64
	// got is set when a connection was had that does not count its bytes.
	got atomic.Bool
}

func (w *watch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c := counted(i.Conn)
		if c == nil {
			w.got.Store(true)
			return
		}
		w.before.Store(c.written.Load())
		w.conn.Store(c)
	}}
}

func (w *watch) sent() bool {
	if w.got.Load() {
		return true
	}
	c := w.conn.Load()
	return c != nil && c.written.Load() > w.before.Load()
}

func (w *watch) outcome(ctx context.Context, err error, sent bool) Outcome {
	out := Outcome{Sent: sent, Err: err, Kind: kind.Refused}
	cause := context.Cause(ctx)
	switch {
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

// BufferResponse reads the body of an answer into memory if it has at most limit bytes,
// so that an answer which breaks off is noticed before any of it is passed on.
// A larger one is left to be streamed. The error is that of the body.
func BufferResponse(res *http.Response, limit int64) error {
	if res.ContentLength > limit {
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		_ = res.Body.Close()
		return errors.WithStack(err)
	}
	if int64(len(b)) > limit {
		res.Body = &resumed{io.MultiReader(bytes.NewReader(b), res.Body), res.Body}
		return nil
	}
	_ = res.Body.Close()
	res.Body = io.NopCloser(bytes.NewReader(b))
	if res.Request == nil || res.Request.Method != http.MethodHead {
		res.ContentLength = int64(len(b))
		res.TransferEncoding = nil
		res.Header.Set("Content-Length", strconv.Itoa(len(b)))
	}
	return nil
}

// resumed is a body of which the beginning has been read already.
type resumed struct {
	io.Reader
	io.Closer
}

// CopyResponse copies an answer to the caller. When it fails half-way the only
// honest thing left is to break the connection to the caller, so that a short
// answer can't pass as a whole one: the Outcome's Kind is then not None and
// the handler must panic with http.ErrAbortHandler.
func CopyResponse(w http.ResponseWriter, res *http.Response, stall time.Duration) Outcome {
	defer func() { _ = res.Body.Close() }()
	announceTrailers(w.Header(), res.Trailer)
	copyHeader(w.Header(), endToEnd(res.Header))
	w.WriteHeader(res.StatusCode)
	out := stream(w, res, stall)
	for k, v := range res.Trailer {
		w.Header()[k] = v
	}
	return out
}

func announceTrailers(h http.Header, trailer http.Header) {
	for k := range trailer {
		h.Add("Trailer", k)
	}
}

const bufferSize = 32 << 10

// buffers are used again: a fresh one for each answer was most of what the
// garbage collector had to do under load.
var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

func stream(w http.ResponseWriter, res *http.Response, stall time.Duration) Outcome {
	ctl := http.NewResponseController(w)
	ctx := res.Request.Context()
	timer := time.AfterFunc(stall, func() { cancelExchange(ctx) })
	defer timer.Stop()
	pooled, _ := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := res.Body.Read(buf)
		timer.Reset(stall)
		if n > 0 {
			_ = ctl.SetWriteDeadline(time.Now().Add(stall))
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
			return Outcome{Kind: bodyKind(ctx), Sent: true, Err: err}
		}
	}
}

// cancelKey finds the function that ends an exchange in its context, behind
// whatever its answer's body has been wrapped in since.
type cancelKey struct{}

func cancelExchange(ctx context.Context) {
	if cancel, ok := ctx.Value(cancelKey{}).(context.CancelCauseFunc); ok {
		cancel(ErrStall)
	}
}

func bodyKind(ctx context.Context) kind.Kind {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrStall):
		return kind.Stall
	case errors.Is(cause, context.Canceled):
		return kind.Cancel
	default:
		return kind.Broken
	}
}

// closing is an answer's body that ends its exchange when it is closed.
type closing struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (c *closing) Close() error {
	// The exchange is cancelled first: closing an HTTP/2 answer waits until its
	// request has been sent, and if the caller has stopped in the midst of its
	// body that is never. The call would hold its slot for good.
	c.cancel(nil)
	return errors.WithStack(c.ReadCloser.Close())
}

// guard is a request's body that gives up when no byte moves for too long.
type guard struct {
	io.ReadCloser
	timer *time.Timer
	d     time.Duration
	// ended is called when the body has been read to its end.
	ended func()
	begun atomic.Bool
	over  atomic.Bool
}

func newGuard(b io.ReadCloser, d time.Duration, expire func()) *guard {
	return &guard{ReadCloser: b, timer: time.AfterFunc(d, expire), d: d}
}

// Read implements io.Reader.
func (g *guard) Read(p []byte) (int, error) {
	g.begun.Store(true)
	n, err := g.ReadCloser.Read(p)
	switch {
	case err == nil:
		g.timer.Reset(g.d)
	case g.over.CompareAndSwap(false, true):
		g.timer.Stop()
		if g.ended != nil {
			g.ended()
		}
	}
	return n, err //nolint:wrapcheck // io.EOF must pass as it is
}

// stop is called when the answer's head is there. A body of which the target
// read no more than it needed is no stall.
func (g *guard) stop() {
	g.over.Store(true)
	g.timer.Stop()
}

// CountingConn is a connection that counts the bytes that were written to it.
type CountingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. The count goes up before the bytes go out, so
// that a write that is cut off counts as sent.
func (c *CountingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	return n, err //nolint:wrapcheck // net/http looks at the error's type
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a dial function whose connections are counted. dial, if not
// nil, opens them.
func Dialer(timeout time.Duration, dial DialFunc) DialFunc {
	if dial == nil {
		d := &net.Dialer{Timeout: timeout, KeepAlive: timeout}
		dial = d.DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		return &CountingConn{Conn: c}, nil
	}
}

func counted(c net.Conn) *CountingConn {
	if x, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = x.NetConn()
	}
	cc, _ := c.(*CountingConn)
	return cc
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd copies the headers that concern the exchange as a whole.
func endToEnd(h http.Header) http.Header {
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
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = append(to[k], v...)
	}
}
