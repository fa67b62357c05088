package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// conn is one connection of a server. One goroutine reads requests; each
// request has another one that handles it. The answers take turns: each waits
// until the one before it is complete.
type conn struct {
	s      *Server
	nc     net.Conn
	head   *bounded
	br     *bufio.Reader
	bw     *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}

	mu      sync.Mutex
	pending int
	// begun are the pending exchanges that have been given to the handler.
	begun map[*exchange]struct{}
	// closing is set once an answer has said that the connection closes: what
	// is read after that counts as not read.
	closing bool
	// reading is set while the next head is on its way, so that the idle time
	// doesn't run.
	reading bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, slots: make(chan struct{}, maxPipeline)}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.head = &bounded{r: nc}
	c.br = bufio.NewReaderSize(c.head, bufferSize)
	c.bw = bufio.NewWriterSize(nc, bufferSize)
	return c
}

// abort ends the connection at once.
func (c *conn) abort() {
	c.cancel()
	_ = c.nc.Close()
}

func (c *conn) pendingNow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// closeIfIdle closes the connection if nothing is under way on it.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.reading {
		return false
	}
	c.closing = true
	_ = c.nc.Close()
	return true
}

// serve reads requests until the connection ends, and then waits for what is
// under way.
func (c *conn) serve() {
	defer c.abort()
	turn := make(chan struct{})
	close(turn)
	for {
		x := c.next(turn)
		if x == nil {
			break
		}
		turn = x.done
		go x.run()
		if !c.passed(x) {
			break
		}
	}
	<-turn
	c.linger()
}

// passed waits until the body of a request has been read, so that the next
// request can be. It returns false if none may follow.
func (c *conn) passed(x *exchange) bool {
	if x.body != nil {
		select {
		case <-x.body.ended:
		case <-x.done:
		}
	}
	if x.req.Close || x.refusal != 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}

// next reads one request; nil at the end of the connection.
func (c *conn) next(turn chan struct{}) *exchange {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return nil
	}
	limits := c.s.limits()
	c.wait(limits.IdleTime)
	c.head.armed = false
	if _, err := c.br.Peek(1); err != nil {
		c.over()
		return nil
	}
	c.begin(limits.HeaderTime)
	c.head.armed, c.head.left = true, max(limits.HeaderBytes-c.br.Buffered(), 1)
	req, err := http.ReadRequest(c.br)
	c.head.armed = false
	_ = c.nc.SetReadDeadline(time.Time{})
	x := &exchange{c: c, turn: turn, done: make(chan struct{}), length: -1}
	if err != nil {
		x.req = &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: make(http.Header)}
		x.refusal = refusalOf(err)
		if x.refusal == 0 {
			c.cancel()
			return nil
		}
	} else {
		c.prepare(x, req, limits.BodyBytes)
	}
	if err == nil && !req.Close && c.br.Buffered() == 0 && hasGone(c.nc) {
		c.cancel()
		return nil
	}
	if !c.admit() {
		return nil
	}
	return x
}

// over is called when nothing more can be read. Unless the connection is to be
// closed anyway, the caller has gone or was idle for too long, and what is
// under way is of no use to anybody.
func (c *conn) over() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.cancel()
	}
}

// refusalOf is the status for a head that can't be read; 0 if the connection
// has just ended.
func refusalOf(err error) int {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return 0
	default:
		return http.StatusBadRequest
	}
}

// prepare completes a request as net/http's server would.
func (c *conn) prepare(x *exchange, req *http.Request, maxBody int64) {
	req.RemoteAddr = c.nc.RemoteAddr().String()
	if !req.ProtoAtLeast(1, 1) {
		req.Close = true // no answer to 1.0 keeps its connection
	} else if req.Host == "" {
		x.refusal = http.StatusBadRequest
	}
	if maxBody > 0 && req.ContentLength > maxBody {
		x.refusal = http.StatusRequestEntityTooLarge
	}
	if req.ContentLength != 0 {
		x.body = &body{
			x: x, r: req.Body, most: maxBody, ended: make(chan struct{}),
			expected: strings.EqualFold(req.Header.Get("Expect"), ExpectContinue),
			held:     req.Header.Get(HeaderHeld) != "",
		}
		req.Body = x.body
	}
	req.Header.Del("Expect")
	ctx, cancel := context.WithCancel(c.ctx)
	x.cancel = cancel
	x.req = req.WithContext(ctx)
}

// wait lets the idle time run if nothing is under way.
func (c *conn) wait(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.pending == 0 {
		_ = c.nc.SetReadDeadline(time.Now().Add(idle))
		return
	}
	_ = c.nc.SetReadDeadline(time.Time{})
}

// begin notes that the first byte of a head has come.
func (c *conn) begin(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	_ = c.nc.SetReadDeadline(time.Now().Add(within))
}

// admit counts an exchange as under way, unless an answer has already said
// that the connection closes: the request then counts as not read.
func (c *conn) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return false
	}
	c.pending++
	return true
}

// begins gives an exchange to the handler, unless an answer has already said that
// the connection closes: its request then counts as not read.
func (c *conn) begins(x *exchange) bool {
	ending := c.s.isEnding()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || ending {
		return false
	}
	if c.begun == nil {
		c.begun = make(map[*exchange]struct{})
	}
	c.begun[x] = struct{}{}
	return true
}

// cutShort ends the work of the handlers if there are several, so that the answers
// of the later ones are not held up by the first.
func (c *conn) cutShort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.begun) < 2 {
		return
	}
	for x := range c.begun {
		x.cancel()
	}
}

// ended takes an exchange off. With the last one the idle time begins.
func (c *conn) ended(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	delete(c.begun, x)
	if c.pending == 0 && !c.reading && c.ctx.Err() == nil {
		if c.closing {
			_ = c.nc.SetReadDeadline(time.Now())
			return
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(c.s.limits().IdleTime))
	}
}

// closesAfter decides whether the answer of x is the last one of its
// connection, and if so notes it. While requests behind x are being handled it is
// not: their answers would be lost.
func (c *conn) closesAfter(x *exchange, must bool) bool {
	if !must && !x.req.Close && !c.s.sheds() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !must && len(c.begun) > 1 {
		return false
	}
	c.closing = true
	return true
}

// linger closes the connection in a way that doesn't destroy an answer which
// is still on its way: a socket that is closed with unread bytes in it is
// reset, and the reset overtakes the answer.
func (c *conn) linger() {
	const (
		lingerFor   = 500 * time.Millisecond
		lingerBytes = 1 << 20
	)
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || c.ctx.Err() != nil || half.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerFor))
	_, _ = io.CopyN(io.Discard, c.nc, lingerBytes)
}
