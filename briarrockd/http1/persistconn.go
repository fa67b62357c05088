package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxResponseHeaderBytes limits the status line and headers of a response, together
	// with those of the informational responses before it.
	maxResponseHeaderBytes = 64 << 10
	// maxUnsolicitedResponses is how many responses to other requests are discarded
	// before the connection is closed.
	maxUnsolicitedResponses = 4
	// maxUnsolicitedBodyBytes limits the body of a discarded response.
	maxUnsolicitedBodyBytes = 1 << 20
	// keepAliveMargin is how much earlier than the server an idle connection is closed.
	// If a request is sent just as the server closes the connection, it is unknown
	// whether the server has read it.
	keepAliveMargin = time.Second
	// writeFinishTimeout limits the wait for the writing goroutine to finish after it
	// has read the whole body.
	writeFinishTimeout = time.Second
	// earlyResponseTimeout limits the wait for a response after writing the request
	// has failed: a server that rejects a long body responds before it has read it
	// and may close the connection.
	earlyResponseTimeout = 200 * time.Millisecond
)

// pendingRequest is a request that is sent on a persistConn, until the end of its response.
type pendingRequest struct {
	req    *http.Request
	result chan result
	// written is closed when writing the request has ended, with writeErr set if it
	// failed.
	written  chan struct{}
	writeErr error
	// bodyDecided is closed when it is known whether to send the body. After 100 Continue
	// bodyRequested is set; after a final response or a failure it is not. Only requests
	// with an Expect header wait for it.
	bodyDecided   chan struct{}
	bodyRequested bool
	decideOnce    sync.Once
	// bodySkipped is set if the body was not sent since the server did not request it.
	bodySkipped bool
	// bodyLeft is the number of bytes of the body that the writing goroutine has not
	// read yet; negative if the length is unknown.
	bodyLeft atomic.Int64
	// reusable receives whether another request may be sent after the response.
	reusable chan bool
	// stop ends the supervision of the request's context. It returns false if the
	// context has already ended.
	stop func() bool
}

// result is a response or the error in its place.
type result struct {
	res *http.Response
	err error
}

func newPendingRequest(req *http.Request) *pendingRequest {
	pr := &pendingRequest{
		req: req, result: make(chan result, 1), written: make(chan struct{}),
		reusable: make(chan bool, 1), bodyDecided: make(chan struct{}),
	}
	pr.bodyLeft.Store(req.ContentLength)
	if req.ContentLength < 0 {
		// For some methods net/http would first probe the body in a goroutine of its own, which
		// reads beside the writing goroutine and may outlive it.
		req.TransferEncoding = []string{"chunked"}
	}
	if req.ContentLength > 0 && req.Body != nil {
		req.Body = &countingBody{req.Body, pr}
	}
	if req.Header.Get("Expect") == ExpectContinue && req.Body != nil {
		req.Body = &continueBody{req.Body, pr}
	}
	return pr
}

// countingBody is a request body that subtracts the bytes read from bodyLeft.
type countingBody struct {
	io.ReadCloser
	pr *pendingRequest
}

// Read implements io.Reader.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.pr.bodyLeft.Add(int64(-n))
	return n, err //nolint:wrapcheck // the caller compares with io.EOF
}

// isWritten reports whether writing the request has ended. A response can arrive before
// the writing goroutine has been scheduled to report that it has written the last
// bytes. In this case isWritten waits for it, since the connection would otherwise be
// closed needlessly.
func (pr *pendingRequest) isWritten() bool {
	select {
	case <-pr.written:
		return true
	default:
	}
	if pr.bodyLeft.Load() != 0 {
		return false
	}
	timer := time.NewTimer(writeFinishTimeout)
	defer timer.Stop()
	select {
	case <-pr.written:
		return true
	case <-timer.C:
		return false
	}
}

// decideBody records whether the server has requested the body. Only the first call has
// an effect.
func (pr *pendingRequest) decideBody(bodyRequested bool) {
	pr.decideOnce.Do(func() {
		pr.bodyRequested = bodyRequested
		close(pr.bodyDecided)
	})
}

// ExpectContinue is the value of the Expect header with which a client sends the body
// only after the server has responded with 100 Continue. A long body that would be
// rejected then uses no bandwidth, and the request can be sent to another server.
//
// HeaderHeld, sent together with it with any value that is not empty, promises that the
// body is never sent without 100 Continue. Other clients send the body after a timeout in
// any case. After rejecting their request, a server cannot determine whether the next
// bytes on the connection are the body or another request, and must close the
// connection. With the promise the connection is kept. A rejected upload would otherwise
// cost a new connection to each target that is tried.
const (
	ExpectContinue = "100-continue"
	HeaderHeld     = "Briarrock-Held"
)

// isBodyRejected reports whether the body waited for 100 Continue and the server has
// sent something else.
func (pr *pendingRequest) isBodyRejected() bool {
	if _, waits := pr.req.Body.(*continueBody); !waits {
		return false
	}
	select {
	case <-pr.bodyDecided:
		return !pr.bodyRequested
	default:
		return false
	}
}

// isBodySkipped reports whether no byte of the body was sent since the server did not
// request it. It may be called once written is closed. (writeErr does not show it, since
// net/http returns an error of its own in place of errBodyNotRequested.)
func (pr *pendingRequest) isBodySkipped() bool { return pr.bodySkipped }

// errBodyNotRequested ends the writing of a request whose body the server did not request.
var errBodyNotRequested = errors.New("http1: request body not sent: no 100 Continue received")

// continueBody is a request body whose first read waits for 100 Continue.
type continueBody struct {
	io.ReadCloser
	pr *pendingRequest
}

// Read implements io.Reader.
func (b *continueBody) Read(p []byte) (int, error) {
	<-b.pr.bodyDecided
	if !b.pr.bodyRequested {
		b.pr.bodySkipped = true
		return 0, errBodyNotRequested
	}
	return b.ReadCloser.Read(p) //nolint:wrapcheck // the caller compares with io.EOF
}

// persistConn is one connection of a pool. Its readLoop goroutine reads all responses,
// so it notices at once when the server closes an idle connection or sends an
// unsolicited response.
type persistConn struct {
	pool        *Pool
	addr        string
	nc          net.Conn
	headerLimit *limitedReader
	br          *bufio.Reader
	// responses counts the final responses that readLoop has received, and carriedHEAD is set
	// once a request with that method was sent.
	responses   int
	carriedHEAD bool

	mu          sync.Mutex
	current     *pendingRequest // nil while idle
	err         error           // why the connection was closed; nil while it is open
	idleTimeout time.Duration
	idleTimer   *time.Timer
}

func newPersistConn(p *Pool, addr string, nc net.Conn) *persistConn {
	pc := &persistConn{pool: p, addr: addr, nc: nc, idleTimeout: p.cfg.IdleTimeout}
	pc.headerLimit = &limitedReader{r: nc}
	pc.br = bufio.NewReaderSize(pc.headerLimit, bufferSize)
	return pc
}

// acquire assigns the connection to a request. It returns false if the connection was
// closed in the meantime.
func (pc *persistConn) acquire(pr *pendingRequest) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.err != nil {
		return false
	}
	if pc.idleTimer != nil {
		pc.idleTimer.Stop()
	}
	pc.current = pr
	return true
}

// close closes the connection with err as the reason. Further calls have no effect.
func (pc *persistConn) close(err error) {
	pc.mu.Lock()
	first := pc.err == nil
	if first {
		pc.err = err
	}
	if pc.idleTimer != nil {
		pc.idleTimer.Stop()
	}
	pc.mu.Unlock()
	if first {
		pc.pool.remove(pc)
		_ = pc.nc.Close()
	}
}

// closeReason returns the error with which the connection was closed, nil while it is open.
func (pc *persistConn) closeReason() error {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return pc.err
}

// roundTrip writes the request and waits for the response headers.
func (pc *persistConn) roundTrip(pr *pendingRequest) (*http.Response, error) {
	ctx := pr.req.Context()
	pr.stop = context.AfterFunc(ctx, func() { pc.close(context.Cause(ctx)) })
	send := func() {
		pr.writeErr = pc.write(pr.req)
		close(pr.written)
	}
	if pr.req.Body == nil || pr.req.Body == http.NoBody {
		send()
	} else {
		go send()
	}
	select {
	case r := <-pr.result:
		return pc.wrapResponse(pr, r)
	case <-pr.written:
	}
	if pr.writeErr != nil && !pr.isBodySkipped() {
		return pc.awaitEarlyResponse(pr, pr.writeErr)
	}
	return pc.wrapResponse(pr, <-pr.result)
}

// writerPool reuses buffers: a request needs one only while it is written.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

func (pc *persistConn) write(req *http.Request) error {
	w, _ := writerPool.Get().(*bufio.Writer)
	w.Reset(deadlineWriter{pc.nc})
	defer func() {
		w.Reset(nil)
		writerPool.Put(w)
	}()
	if err := req.Write(w); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(w.Flush())
}

// deadlineWriter sets a deadline for each write, so that a peer that has stopped reading
// is detected.
type deadlineWriter struct{ net.Conn }

// Write implements io.Writer.
func (d deadlineWriter) Write(p []byte) (int, error) {
	_ = d.SetWriteDeadline(time.Now().Add(writeTimeout))
	return d.Conn.Write(p) //nolint:wrapcheck // callers inspect the type of the error
}

// awaitEarlyResponse is called when the request could not be written completely. The
// server may have responded before it had read all of it.
func (pc *persistConn) awaitEarlyResponse(pr *pendingRequest, err error) (*http.Response, error) {
	timer := time.NewTimer(earlyResponseTimeout)
	defer timer.Stop()
	select {
	case r := <-pr.result:
		if r.err == nil {
			r.res.Close = true
			return pc.wrapResponse(pr, r)
		}
	case <-timer.C:
	}
	pr.stop()
	pc.close(err)
	return nil, err
}

// wrapResponse returns a response whose body releases the connection at its end.
func (pc *persistConn) wrapResponse(pr *pendingRequest, r result) (*http.Response, error) {
	if r.err != nil {
		pr.stop()
		return nil, r.err
	}
	b := &responseBody{ReadCloser: r.res.Body, pc: pc, pr: pr, reusable: !r.res.Close}
	if r.res.Body == http.NoBody {
		b.release(b.reusable)
	}
	r.res.Body = b
	return r.res, nil
}

// readLoop reads responses until the connection is closed. It runs in its own goroutine.
func (pc *persistConn) readLoop() {
	for {
		pc.headerLimit.enabled = false
		_, err := pc.br.Peek(1)
		pc.mu.Lock()
		pr := pc.current
		pc.mu.Unlock()
		if pr == nil {
			if err == nil {
				err = ErrUnsolicited
			}
			pc.close(err)
			return
		}
		if err != nil {
			pc.fail(pr, err)
			return
		}
		res, err := pc.readResponse(pr)
		if err != nil {
			pc.fail(pr, err)
			return
		}
		pr.decideBody(false)
		pr.result <- result{res: res}
		if !<-pr.reusable {
			pc.close(ErrClosed)
			return
		}
	}
}

// fail closes the connection and ends the round trip with the reason for which the
// connection was closed first.
func (pc *persistConn) fail(pr *pendingRequest, err error) {
	pc.close(err)
	pr.decideBody(false)
	pr.result <- result{err: pc.closeReason()}
}

// readResponse reads the response to a request. Responses that do not match the request
// are discarded: the server has sent two responses to an earlier request, or one too late.
func (pc *persistConn) readResponse(pr *pendingRequest) (*http.Response, error) {
	req := pr.req
	pc.carriedHEAD = pc.carriedHEAD || req.Method == http.MethodHead
	for range maxUnsolicitedResponses {
		res, err := pc.readFinalResponse(pr)
		if err != nil {
			return nil, err
		}
		pc.responses++
		if pc.pool.cfg.ResponseMatches == nil || pc.pool.cfg.ResponseMatches(req, res, pc.responses == 1) {
			return res, nil
		}
		if res.ContentLength < 0 && !isChunked(res) || res.Close {
			return nil, ErrUnsolicited // the connection ends with this response
		}
		if res.ContentLength != 0 && pc.carriedHEAD {
			return nil, ErrUnsolicited // a response to a HEAD request would have no body
		}
		if _, err := io.CopyN(io.Discard, res.Body, maxUnsolicitedBodyBytes); !errors.Is(err, io.EOF) {
			return nil, ErrUnsolicited
		}
	}
	return nil, ErrUnsolicited
}

func isChunked(res *http.Response) bool {
	return len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
}

// readFinalResponse reads responses up to the first one that is not informational (1xx).
func (pc *persistConn) readFinalResponse(pr *pendingRequest) (*http.Response, error) {
	limit := maxResponseHeaderBytes
	for {
		pc.headerLimit.startHead(pc.br, limit)
		res, err := http.ReadResponse(pc.br, pr.req)
		head := pc.headerLimit.endHead(pc.br)
		limit = pc.headerLimit.remaining
		if err == nil {
			err = checkFraming(head, res.Header, res.ProtoAtLeast(1, 1))
		}
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if res.StatusCode >= http.StatusOK {
			pc.applyKeepAlive(res)
			return res, nil
		}
		if res.StatusCode == http.StatusContinue {
			pr.decideBody(true)
		}
	}
}

// applyKeepAlive adopts the idle timeout that the server gives in the Keep-Alive header,
// less a margin.
func (pc *persistConn) applyKeepAlive(res *http.Response) {
	for field := range strings.SplitSeq(res.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		n, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil || n < 0 {
			continue
		}
		pc.mu.Lock()
		pc.idleTimeout = min(pc.pool.cfg.IdleTimeout, time.Duration(n)*time.Second-keepAliveMargin)
		pc.mu.Unlock()
	}
}

// release ends a request. It returns the connection to the pool if ok is set and the
// connection can carry another request; otherwise it closes the connection.
func (pc *persistConn) release(pr *pendingRequest, ok bool) {
	ok = pr.stop() && ok
	if pr.isBodyRejected() {
		<-pr.written // writing ends at once
	}
	if pr.isWritten() {
		ok = ok && (pr.writeErr == nil || (pr.isBodySkipped() && pr.req.Header.Get(HeaderHeld) != ""))
	} else {
		// The request is still being written. The server must not parse the rest of it
		// as the next request, so the connection is closed.
		ok = false
	}
	pc.mu.Lock()
	idleTimeout := pc.idleTimeout
	pc.mu.Unlock()
	// Bytes after a complete response belong to no request. (The buffer can be accessed
	// here since readLoop waits for reusable.)
	if !ok || idleTimeout <= 0 || pc.br.Buffered() > 0 {
		pc.close(ErrClosed)
		pr.reusable <- false
		return
	}
	pc.mu.Lock()
	pc.current = nil
	pc.idleTimer = time.AfterFunc(idleTimeout, func() { pc.closeIfIdle() })
	pc.mu.Unlock()
	pr.reusable <- true
	if !pc.pool.putIdle(pc) {
		pc.close(ErrClosed)
	}
}

// closeIfIdle is called when the idle timeout has passed.
func (pc *persistConn) closeIfIdle() {
	pc.mu.Lock()
	idle := pc.current == nil
	pc.mu.Unlock()
	if idle {
		pc.close(ErrClosed)
	}
}
