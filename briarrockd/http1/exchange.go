package http1

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// exchange is one request and its answer. It is the http.ResponseWriter that
// the handler is given.
type exchange struct {
	c       *conn
	req     *http.Request
	body    *body // nil for a request without one
	refusal int   // a status to answer with instead of calling the handler
	cancel  context.CancelFunc
	turn    chan struct{} // closed when the answer before is complete
	done    chan struct{} // closed when this one is

	header  http.Header
	wrote   bool
	status  int
	length  int64 // declared by the handler, -1 for not declared
	sent    int64
	chunks  io.WriteCloser
	noBody  bool
	err     error
	stopped bool
}

// run handles the request and completes its answer.
func (x *exchange) run() {
	defer x.end()
	if x.refusal != 0 {
		x.Header().Set("Content-Length", "0")
		x.stopped = true
		x.WriteHeader(x.refusal)
		return
	}
	// A request that may not be repeated is not begun behind others: if one of
	// their answers closed the connection, the caller would send it again.
	// Nor is any other while the server is about to end: an answer that has to
	// wait for a long one before it would be lost with the connection.
	if x.req.Method != http.MethodGet && x.req.Method != http.MethodHead || x.c.s.isDraining() {
		if !x.awaitTurn() {
			return
		}
	}
	if !x.c.begins(x) {
		x.err = ErrClosed
		return
	}
	defer x.cancel()
	defer x.recovered()
	x.c.s.cfg.Handler.ServeHTTP(x, x.req)
}

// recovered ends the connection after a handler that could not complete its
// answer: one that is cut short must not look complete.
func (x *exchange) recovered() {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		x.c.s.cfg.OnPanic(v, debug.Stack())
	}
	x.err = http.ErrAbortHandler
	x.c.abort()
}

func (x *exchange) end() {
	if x.err == nil {
		x.finish()
	}
	if x.body != nil {
		x.body.drain()
	}
	x.c.ended(x)
	<-x.c.slots
	close(x.done)
}

// awaitTurn waits until the answer before is complete.
func (x *exchange) awaitTurn() bool {
	select {
	case <-x.turn:
		return x.c.ctx.Err() == nil
	case <-x.c.ctx.Done():
		x.err = ErrClosed
		return false
	}
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header {
	if x.header == nil {
		x.header = make(http.Header)
	}
	return x.header
}

// WriteHeader implements http.ResponseWriter. It waits for the answer's turn.
func (x *exchange) WriteHeader(status int) {
	if x.wrote {
		return
	}
	x.wrote = true
	x.status = status
	if !x.awaitTurn() {
		return
	}
	h := x.Header()
	x.noBody = x.req.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		x.length = n
	} else {
		h.Del("Content-Length")
	}
	if x.length < 0 && !x.noBody {
		if x.req.ProtoAtLeast(1, 1) {
			h.Set("Transfer-Encoding", "chunked")
		} else {
			x.stopped = true
		}
	}
	x.stopped = x.c.closesAfter(x, x.stopped || x.unread())
	if x.stopped {
		h.Set("Connection", "close")
	}
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := fmt.Fprintf(x.c.bw, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	x.fail(err)
	x.fail(h.Write(x.c.bw))
	_, err = x.c.bw.WriteString("\r\n")
	x.fail(err)
	if h.Get("Transfer-Encoding") != "" {
		x.chunks = httputil.NewChunkedWriter(x.c.bw)
	}
}

// unread tells whether so much of the request's body is left that closing the
// connection is cheaper than reading it.
func (x *exchange) unread() bool {
	return x.body != nil && !x.body.over() && !x.body.withheld() && (x.req.ContentLength < 0 || x.req.ContentLength > maxDrain)
}

// fail notes the first error of the connection and ends it.
func (x *exchange) fail(err error) {
	if err == nil || x.err != nil {
		return
	}
	x.err = err
	x.c.abort()
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if !x.wrote {
		x.WriteHeader(http.StatusOK)
	}
	if x.err != nil {
		return 0, x.err
	}
	if x.noBody {
		return len(p), nil
	}
	if x.length >= 0 && x.sent+int64(len(p)) > x.length {
		return 0, http.ErrContentLength
	}
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeWithin))
	var w io.Writer = x.c.bw
	if x.chunks != nil {
		w = x.chunks
	}
	n, err := w.Write(p)
	x.sent += int64(n)
	x.fail(err)
	return n, err //nolint:wrapcheck // callers compare it
}

// Flush implements http.Flusher.
func (x *exchange) Flush() {
	if !x.wrote {
		x.WriteHeader(http.StatusOK)
	}
	if x.err == nil {
		x.fail(x.c.bw.Flush())
	}
}

// SetWriteDeadline lets http.ResponseController bound the writing.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	return x.c.nc.SetWriteDeadline(t) //nolint:wrapcheck // passed through
}

// EnableFullDuplex lets an answer begin before the request's body has ended:
// with this server it always may.
func (x *exchange) EnableFullDuplex() error { return nil }

// finish completes the answer.
func (x *exchange) finish() {
	if !x.wrote {
		x.Header().Set("Content-Length", "0")
		x.WriteHeader(http.StatusOK)
	}
	if x.err != nil {
		return
	}
	if x.chunks != nil {
		x.fail(x.chunks.Close())
		_, err := x.c.bw.WriteString("\r\n")
		x.fail(err)
	}
	if x.length >= 0 && !x.noBody && x.sent < x.length {
		x.fail(io.ErrUnexpectedEOF)
		return
	}
	x.fail(x.c.bw.Flush())
}

// maxDrain bounds what is read of a body that the handler left, to keep the
// connection.
const maxDrain = 256 << 10

// body is the body of a request.
type body struct {
	x        *exchange
	r        io.ReadCloser
	most     int64 // bytes that are allowed; 0 for no bound
	got      int64
	expected bool // the caller waits for 100 Continue
	held     bool // and doesn't send the body without it
	mu       sync.Mutex
	closed   bool
	err      error
	ended    chan struct{}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.expected {
		b.expected = false
		if !b.proceed() {
			b.finish(ErrClosed)
			return 0, b.err
		}
	}
	_ = b.x.c.nc.SetReadDeadline(time.Now().Add(bodyWithin))
	n, err := b.r.Read(p)
	b.got += int64(n)
	if b.most > 0 && b.got > b.most {
		n, err = 0, ErrTooLarge
	}
	if err != nil {
		_ = b.x.c.nc.SetReadDeadline(time.Time{})
		b.finish(err)
	}
	return n, err //nolint:wrapcheck // io.EOF must pass as it is
}

// proceed asks the caller for the body.
func (b *body) proceed() bool {
	if b.x.wrote || !b.x.awaitTurn() {
		return false
	}
	_ = b.x.c.nc.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := b.x.c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	b.x.fail(err)
	b.x.fail(b.x.c.bw.Flush())
	return b.x.err == nil
}

func (b *body) finish(err error) {
	b.err = err
	if !b.closed {
		b.closed = true
		close(b.ended)
	}
}

// over tells whether the whole body has been read.
func (b *body) over() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// withheld tells whether the caller keeps the body back for good, since it was
// not asked for.
func (b *body) withheld() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held && b.expected
}

// Close implements io.Closer. A read that waits for bytes is ended by it.
func (b *body) Close() error {
	_ = b.x.c.nc.SetReadDeadline(time.Now())
	return nil
}

// drain reads what the handler has left, so that the next request can be
// read; if that is too much, the connection ends.
func (b *body) drain() {
	if b.withheld() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.finish(io.EOF)
		return
	}
	if b.x.err == nil && !b.x.stopped {
		_, _ = io.CopyN(io.Discard, b, maxDrain)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) {
		return
	}
	b.x.c.mu.Lock()
	b.x.c.closing = true
	b.x.c.mu.Unlock()
	b.finish(ErrClosed)
}
