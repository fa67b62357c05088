package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// conn is one connection of a server. One goroutine reads the requests, and each request
// is handled in its own goroutine. The responses are written in the order of the requests:
// each waits until the one before it is complete.
type conn struct {
	s           *Server
	nc          net.Conn
	headerLimit *limitedReader
	br          *bufio.Reader
	bw          *bufio.Writer
	ctx         context.Context
	cancel      context.CancelFunc
	// pipelineSlots limits the pending requests to its capacity.
	pipelineSlots chan struct{}
	// closeCheck is the timer of the reading goroutine's checks for the peer's close.
	closeCheck *time.Timer

	mu sync.Mutex
	// pending is the number of requests that were read and have not ended.
	pending int
	// handling are the pending requests for which the handler was called.
	handling map[*exchange]struct{}
	// closing is set once a response with "Connection: close" was sent, or the connection
	// has to be closed for another reason. Requests that are read later are discarded.
	closing bool
	// unreadable is set once a request's body has not been read to its end: where the next
	// request begins is unknown. Requests that were read before are handled.
	unreadable bool
	// readingHeader is set while the headers of a request are being received. The idle
	// timeout does not apply then.
	readingHeader bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, pipelineSlots: make(chan struct{}, maxPipelinedRequests)}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.headerLimit = &limitedReader{r: nc}
	c.br = bufio.NewReaderSize(c.headerLimit, bufferSize)
	c.bw = bufio.NewWriterSize(nc, bufferSize)
	return c
}

// abort cancels all requests and closes the connection immediately.
func (c *conn) abort() {
	c.cancel()
	_ = c.nc.Close()
}

// abortResponse is abort after a response that has failed. If only the end of the
// connection marks that of the response, it resets the connection, since the caller
// would otherwise take a truncated response for a complete one.
func (c *conn) abortResponse(x *exchange) {
	if l, ok := c.nc.(interface{ SetLinger(sec int) error }); ok && x.endsWithConn() {
		_ = l.SetLinger(0)
	}
	c.abort()
}

func (c *conn) pendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// closeIfIdle closes the connection if it has no pending request and none is being
// received. It reports whether it did.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.readingHeader {
		return false
	}
	c.closing = true
	_ = c.nc.Close()
	return true
}

// serve reads requests until the connection closes or may carry no further request, and
// then waits for the pending ones.
func (c *conn) serve() {
	defer c.abort()
	last := &exchange{done: make(chan struct{})} // stands for the one before the first
	close(last.done)
	for {
		x := c.readRequest(last)
		if x == nil {
			break
		}
		last = x
		go x.run()
		if !c.awaitBodyRead(x) {
			break
		}
	}
	c.awaitUnread(last.done, nil)
	c.closeGracefully()
}

// awaitBodyRead waits until the body of a request has been read, since the next request
// follows it. It returns false if no further request may be read.
func (c *conn) awaitBodyRead(x *exchange) bool {
	if x.body != nil {
		c.awaitUnread(x.body.ended, x.done)
	}
	if x.req.Close || x.rejectStatus != 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && !c.unreadable
}

// readRequest reads the headers of one request, which follows prev. It returns nil if no
// request can be handled on the connection any more.
func (c *conn) readRequest(prev *exchange) *exchange {
	if !c.awaitSlot() {
		return nil
	}
	limits := c.s.limits()
	c.startIdleTimeout(limits.IdleTime)
	c.headerLimit.enabled = false
	if err := c.skipEmptyLines(); err != nil {
		c.cancelUnlessClosing()
		return nil
	}
	c.startHeaderTimeout(limits.HeaderTime)
	c.headerLimit.startHead(c.br, max(limits.HeaderBytes-c.br.Buffered(), 1))
	req, err := http.ReadRequest(c.br)
	head := c.headerLimit.endHead(c.br)
	isHTTP2 := err == nil && prev.req == nil && c.s.cfg.HTTP2 != nil && c.beginsHTTP2(head)
	_ = c.nc.SetReadDeadline(time.Time{})
	if isHTTP2 {
		c.handOver(head)
		return nil
	}
	switch {
	case err == nil:
		err = checkFraming(head, req.Header, req.ProtoAtLeast(1, 1))
	case c.headerLimit.exceeded:
		err = ErrTooLarge // net/http may report the truncated line instead
	}
	x := &exchange{c: c, prev: prev, done: make(chan struct{}), contentLength: -1}
	if err != nil {
		x.req = &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: make(http.Header)}
		x.reject(readErrorStatus(err), err.Error())
		if x.rejectStatus == 0 {
			c.cancel()
			return nil
		}
	} else {
		c.prepare(x, req, limits.BodyBytes)
	}
	if err == nil && isPeerClosed(c.nc) {
		c.cancel()
		return nil
	}
	if !c.addPending() {
		return nil
	}
	return x
}

// maxEmptyLineBytes limits the bytes of empty lines before a request.
const maxEmptyLineBytes = 4

// skipEmptyLines waits for the first byte of a request. It discards empty lines before the
// request (RFC 9112, section 2.2): some old clients send one after the body of a POST.
func (c *conn) skipEmptyLines() error {
	for range maxEmptyLineBytes {
		b, err := c.br.Peek(1)
		if err != nil || b[0] != '\r' && b[0] != '\n' {
			return errors.WithStack(err)
		}
		_, _ = c.br.Discard(1)
	}
	_, err := c.br.Peek(1)
	return errors.WithStack(err)
}

// cancelUnlessClosing is called when no further request can be read. Unless the connection
// is closing anyway, the caller has closed it or was idle for too long, and nobody needs
// the responses to the pending requests.
func (c *conn) cancelUnlessClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.cancel()
	}
}

// readErrorStatus returns the response status for request headers that cannot be read;
// 0 if the connection was closed.
func readErrorStatus(err error) int {
	var netErr net.Error
	var urlErr *url.Error // also a net.Error
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return http.StatusRequestTimeout
	case errors.As(err, &urlErr):
		return http.StatusBadRequest
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return 0
	default:
		return http.StatusBadRequest
	}
}

// prepare sets the fields of a request that net/http's server would set, and rejects
// invalid and too large requests.
func (c *conn) prepare(x *exchange, req *http.Request, maxBody int64) {
	req.RemoteAddr = c.nc.RemoteAddr().String()
	switch {
	case req.ProtoMajor != 1:
		x.reject(http.StatusHTTPVersionNotSupported, "unsupported version "+req.Proto)
	case !req.ProtoAtLeast(1, 1):
		req.Close = true // HTTP/1.0 connections are not kept alive
	case req.Host == "", !httpguts.ValidHostHeader(req.Host):
		x.reject(http.StatusBadRequest, "missing or invalid Host")
	}
	if req.URL.Scheme != "" && req.URL.Scheme != "http" && req.URL.Scheme != "https" {
		x.reject(http.StatusBadRequest, "unsupported scheme")
	}
	if req.Method == http.MethodConnect {
		// A success would turn the connection into a tunnel.
		x.reject(http.StatusBadRequest, "CONNECT")
	}
	if maxBody > 0 && req.ContentLength > maxBody {
		x.reject(http.StatusRequestEntityTooLarge, "body exceeds the size limit")
	}
	if req.ContentLength != 0 {
		x.body = &body{
			x: x, r: req.Body, limit: maxBody, ended: make(chan struct{}),
			awaitsContinue: req.ProtoAtLeast(1, 1) && strings.EqualFold(req.Header.Get("Expect"), ExpectContinue),
			heldBack:       c.s.cfg.ServesNodes && req.Header.Get(HeaderHeld) != "",
		}
		req.Body = x.body
	}
	req.Header.Del("Expect")
	ctx, cancel := context.WithCancel(c.ctx)
	x.cancel = cancel
	x.req = req.WithContext(ctx)
}

// startIdleTimeout sets the read deadline to the idle timeout if no request is pending.
func (c *conn) startIdleTimeout(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingHeader = false
	if c.pending == 0 {
		_ = c.nc.SetReadDeadline(time.Now().Add(idle))
		return
	}
	_ = c.nc.SetReadDeadline(time.Time{})
}

// startHeaderTimeout is called when the first byte of a request was received.
func (c *conn) startHeaderTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingHeader = true
	_ = c.nc.SetReadDeadline(time.Now().Add(timeout))
}

// addPending counts a request as pending. It returns false if the connection is closing:
// by HTTP/1.1 a request after a response with "Connection: close" is not processed, so
// the caller can send it again.
func (c *conn) addPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingHeader = false
	if c.closing {
		return false
	}
	c.pending++
	return true
}

// startHandling is called before the handler. It returns false if the request must not be
// handled since the connection is closing, or the server is shutting down: the
// caller then gets no response and can send the request again.
func (c *conn) startHandling(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.s.shuttingDown.Load() {
		return false
	}
	if c.handling == nil {
		c.handling = make(map[*exchange]struct{})
	}
	c.handling[x] = struct{}{}
	return true
}

// cancelPipelined cancels the requests being handled if there are several, so that the
// responses to later requests do not wait for that to the first.
func (c *conn) cancelPipelined() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.handling) < 2 {
		return
	}
	for x := range c.handling {
		x.cancel()
	}
}

// removePending is called when a request has ended. After the last pending one it starts
// the idle timeout.
func (c *conn) removePending(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	delete(c.handling, x)
	if c.pending == 0 && !c.readingHeader && c.ctx.Err() == nil {
		if c.closing {
			_ = c.nc.SetReadDeadline(time.Now())
			return
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(c.s.limits().IdleTime))
	}
}

// setUnreadable ends the reading of requests.
func (c *conn) setUnreadable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadable = true
}

// decideClose decides whether the response of x is the last one on the connection, and
// if so sets closing. must is set if the connection cannot be reused after it. Otherwise
// the connection stays open while later requests are being handled, since their responses
// would be lost.
func (c *conn) decideClose(x *exchange, must bool) bool {
	if !must && !x.req.Close && !c.s.shouldCloseConns() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !must && len(c.handling) > 1 {
		return false
	}
	c.closing = true
	return true
}

// closeGracefully half-closes the connection and discards what the caller still sends.
// Closing a socket with unread bytes resets the connection, and the caller may receive
// the reset before it has read the response.
func (c *conn) closeGracefully() {
	const (
		discardTimeout  = 500 * time.Millisecond
		maxDiscardBytes = 1 << 20
	)
	halfCloser, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || c.ctx.Err() != nil || halfCloser.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, c.nc, maxDiscardBytes)
}
