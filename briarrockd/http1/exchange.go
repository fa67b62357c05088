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

// exchange is one request and its response. It is the http.ResponseWriter that is passed
// to the handler.
type exchange struct {
	c            *conn
	req          *http.Request
	body         *body // nil for a request without one
	rejectStatus int   // if not 0, the status to respond with instead of calling the handler
	rejectReason string
	cancel       context.CancelFunc
	prev         *exchange     // the previous one; nil once this one has ended
	done         chan struct{} // closed when the exchange has ended
	unanswered   bool          // it ended without a complete response; set before done is closed

	header http.Header
	// headMu is held while 100 Continue is written, and for setting wroteHeader. Another
	// goroutine than the handler's may read the body.
	headMu        sync.Mutex
	wroteHeader   bool
	status        int
	contentLength int64          // as set by the handler, -1 if it was not
	written       int64          // bytes of the body
	chunkWriter   io.WriteCloser // nil if the response is not chunked
	noBody        bool           // the response has no body, as for HEAD, 204 and 304
	err           error          // why the response cannot be completed; nil if it can
	closeAfter    bool           // the connection closes after this response
}

func (x *exchange) reject(status int, reason string) { x.rejectStatus, x.rejectReason = status, reason }

// run handles the request and completes its response.
func (x *exchange) run() {
	defer x.end()
	if x.rejectStatus != 0 {
		x.c.s.cfg.OnReject(x.c.nc.RemoteAddr().String(), x.rejectStatus, x.rejectReason)
		x.Header().Set("Content-Length", "0")
		x.closeAfter = true
		x.WriteHeader(x.rejectStatus)
		return
	}
	// A request with a method other than GET and HEAD is not handled before the
	// previous responses are complete. If one of them closes the connection, the
	// caller sends the request again, and it would otherwise be executed twice.
	// While the server is draining this holds for all requests: a response that has to
	// wait for a slow one before it would be lost when the connection is closed.
	if x.req.Method != http.MethodGet && x.req.Method != http.MethodHead || x.c.s.draining.Load() {
		if !x.awaitPrevious() {
			x.err = ErrClosed
			return
		}
	}
	if !x.c.startHandling(x) {
		x.err = ErrClosed
		return
	}
	defer x.cancel()
	defer x.recoverPanic()
	x.c.s.cfg.Handler.ServeHTTP(x, x.req)
}

// recoverPanic closes the connection after a handler has panicked, so that the truncated
// response cannot be taken for a complete one.
func (x *exchange) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		x.c.s.cfg.OnPanic(v, debug.Stack())
	}
	x.err = http.ErrAbortHandler
	x.c.abortResponse(x)
}

// end completes the response, discards the rest of the request body and lets the next
// response be written.
func (x *exchange) end() {
	if x.err == nil {
		x.finish()
	}
	if x.body != nil {
		x.body.drain()
	}
	x.c.removePending(x)
	<-x.c.pipelineSlots
	x.unanswered = x.err != nil
	x.prev = nil
	close(x.done)
}

// awaitPrevious waits until the previous response is complete. It returns false if nothing may be
// written for x: because the connection was closed, while earlier responses may still be being
// written, or because the previous request got no response. The caller would take that of x for it.
func (x *exchange) awaitPrevious() bool {
	select {
	case <-x.prev.done:
		return x.c.ctx.Err() == nil && !x.prev.unanswered
	case <-x.c.ctx.Done():
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

// WriteHeader implements http.ResponseWriter. It waits until the previous response is
// complete.
func (x *exchange) WriteHeader(status int) {
	if x.wroteHeader {
		return
	}
	x.headMu.Lock()
	x.wroteHeader = true
	x.headMu.Unlock()
	x.status = status
	if !x.awaitPrevious() {
		x.err = ErrClosed
		return
	}
	h := x.Header()
	x.noBody = x.req.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		x.contentLength = n
	} else {
		h.Del("Content-Length")
	}
	if x.contentLength < 0 && !x.noBody {
		if x.req.ProtoAtLeast(1, 1) {
			h.Set("Transfer-Encoding", "chunked")
		} else {
			x.closeAfter = true
		}
	}
	x.closeAfter = x.c.decideClose(x, x.closeAfter || x.hasUnreadableBody())
	if x.closeAfter {
		h.Set("Connection", "close")
	}
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := fmt.Fprintf(x.c.bw, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	x.fail(err)
	x.fail(h.Write(x.c.bw))
	_, err = x.c.bw.WriteString("\r\n")
	x.fail(err)
	if h.Get("Transfer-Encoding") != "" {
		x.chunkWriter = httputil.NewChunkedWriter(x.c.bw)
	}
}

// hasUnreadableBody reports whether the connection has to be closed for the request's body:
// its end cannot be found any more, the caller may or may not send it without 100 Continue, or
// so much of it may be unread that closing is cheaper than reading it.
func (x *exchange) hasUnreadableBody() bool {
	if x.body == nil {
		return false
	}
	x.body.mu.Lock()
	defer x.body.mu.Unlock()
	switch {
	case x.body.err != nil:
		return !errors.Is(x.body.err, io.EOF)
	case x.body.awaitsContinue:
		return !x.body.heldBack
	default:
		return x.req.ContentLength < 0 || x.req.ContentLength > maxDrainBytes
	}
}

// fail records the first write error and closes the connection.
func (x *exchange) fail(err error) {
	if err == nil || x.err != nil {
		return
	}
	x.err = err
	x.c.abortResponse(x)
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if x.err != nil {
		return 0, x.err
	}
	if x.noBody {
		return len(p), nil
	}
	if x.contentLength >= 0 && x.written+int64(len(p)) > x.contentLength {
		return 0, http.ErrContentLength
	}
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	var w io.Writer = x.c.bw
	if x.chunkWriter != nil {
		w = x.chunkWriter
	}
	n, err := w.Write(p)
	x.written += int64(n)
	x.fail(err)
	return n, err //nolint:wrapcheck // callers compare the error
}

// Flush implements http.Flusher.
func (x *exchange) Flush() {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if x.err == nil {
		x.fail(x.c.bw.Flush())
	}
}

// SetWriteDeadline is used by http.ResponseController.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	return x.c.nc.SetWriteDeadline(t) //nolint:wrapcheck // passed through
}

// SetReadDeadline is used by http.ResponseController. Once the request body has ended, the
// connection's deadline belongs to the next request.
func (x *exchange) SetReadDeadline(t time.Time) error {
	if x.body == nil {
		return nil
	}
	x.body.mu.Lock()
	defer x.body.mu.Unlock()
	if x.body.closed {
		return nil
	}
	x.body.deadline = t
	return x.c.nc.SetReadDeadline(t) //nolint:wrapcheck // passed through
}

// EnableFullDuplex is used by http.ResponseController. It does nothing, since with this
// server a response may always start before the request body has ended.
func (x *exchange) EnableFullDuplex() error { return nil }

// endsWithConn reports whether the response has a body whose end is that of the connection.
func (x *exchange) endsWithConn() bool {
	return x.wroteHeader && !x.noBody && x.chunkWriter == nil && x.contentLength < 0
}

// finish completes the response.
func (x *exchange) finish() {
	if !x.wroteHeader {
		x.Header().Set("Content-Length", "0")
		x.WriteHeader(http.StatusOK)
	}
	if x.err != nil {
		return
	}
	if x.chunkWriter != nil {
		x.fail(x.chunkWriter.Close())
		_, err := x.c.bw.WriteString("\r\n")
		x.fail(err)
	}
	if x.contentLength >= 0 && !x.noBody && x.written < x.contentLength {
		x.fail(io.ErrUnexpectedEOF)
		return
	}
	x.fail(x.c.bw.Flush())
}

// maxDrainBytes limits how much of a request body that the handler did not read is
// discarded in order to reuse the connection.
const maxDrainBytes = 256 << 10

// body is the body of a request.
type body struct {
	x              *exchange
	r              io.ReadCloser
	limit          int64 // in bytes; 0 for no limit
	received       int64 // bytes read
	awaitsContinue bool  // the caller expects 100 Continue, which has not been sent
	heldBack       bool  // the caller never sends the body without 100 Continue
	// reading is held during reads, which may block for long. mu guards the state; a
	// response that begins before the body has ended needs it.
	reading sync.Mutex
	mu      sync.Mutex
	closed  bool // ended was closed
	err     error
	// deadline is the read deadline that the handler has set, if any.
	deadline time.Time
	ended    chan struct{} // closed when the body was read to its end or has failed
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if err := b.requestBytes(); err != nil {
		return 0, err
	}
	b.startRead()
	n, err := b.r.Read(p)
	b.received += int64(n)
	if b.limit > 0 && b.received > b.limit {
		n, err = 0, ErrTooLarge
	}
	if err != nil {
		_ = b.x.c.nc.SetReadDeadline(time.Time{})
		b.mu.Lock()
		defer b.mu.Unlock()
		b.finish(err)
	}
	return n, err //nolint:wrapcheck // the caller compares with io.EOF
}

// startRead limits the time of the next read, unless the handler has set a deadline.
func (b *body) startRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.deadline.IsZero() {
		_ = b.x.c.nc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	}
}

// requestBytes sends 100 Continue if the caller waits for it. It returns an error if the
// body has ended.
func (b *body) requestBytes() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil && b.awaitsContinue {
		b.awaitsContinue = false
		if !b.sendContinue() {
			b.finish(ErrClosed)
		}
	}
	return b.err
}

// sendContinue sends 100 Continue. It returns false if the response has already been
// started or the connection was closed.
func (b *body) sendContinue() bool {
	b.x.headMu.Lock()
	defer b.x.headMu.Unlock()
	if b.x.wroteHeader || !b.x.awaitPrevious() {
		return false
	}
	_ = b.x.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	// After a failed write, those of the response fail with the same error.
	_, err := b.x.c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil && b.x.c.bw.Flush() == nil
}

// finish ends the body with err, which later reads return. If that is not io.EOF, it is unknown
// where the next request begins, so none is read any more. b.mu must be held.
func (b *body) finish(err error) {
	b.err = err
	if !errors.Is(err, io.EOF) {
		b.x.c.setUnreadable()
	}
	if !b.closed {
		b.closed = true
		close(b.ended)
	}
}

// neverSent reports whether the caller will not send the body, since it did not receive
// 100 Continue and has promised with HeaderHeld to wait for it.
func (b *body) neverSent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heldBack && b.awaitsContinue
}

// Close implements io.Closer. It unblocks a pending Read.
func (b *body) Close() error { return b.x.SetReadDeadline(time.Now()) }

// drain discards the part of the body that the handler did not read, so that the next
// request can be read. If more than maxDrainBytes are left, the connection is closed.
func (b *body) drain() {
	if b.neverSent() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.finish(io.EOF)
		return
	}
	if b.x.err == nil && !b.x.closeAfter {
		_, _ = io.CopyN(io.Discard, b, maxDrainBytes)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !errors.Is(b.err, io.EOF) {
		b.finish(ErrClosed)
	}
}
