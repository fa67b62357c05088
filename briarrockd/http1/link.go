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
	// maxAnswerHead bounds the head of an answer.
	maxAnswerHead = 64 << 10
	// maxUnsolicited is how many answers to other requests are dropped before a
	// connection is given up.
	maxUnsolicited = 4
	// maxUnsolicitedBody bounds the body of an answer that is dropped.
	maxUnsolicitedBody = 1 << 20
	// keepMargin is how much sooner than the other side a connection is closed:
	// a request that is sent just as the other side closes may or may not have
	// been read.
	keepMargin = time.Second
	// tailWithin bounds the wait for a writer that has been given all of a body.
	tailWithin = time.Second
	// answerAfterBreak is how long an answer is waited for when the request
	// could not be written whole: one that refuses a long body comes like this.
	answerAfterBreak = 200 * time.Millisecond
)

// trip is one request on its way over a link.
type trip struct {
	req    *http.Request
	answer chan answer
	// written is closed when the request has been written, with writeErr set if
	// it could not be.
	written  chan struct{}
	writeErr error
	// decided is closed when the other side has asked for the body (wanted) or
	// has shown that it doesn't need it; only requests with Expect wait for it.
	decided chan struct{}
	wanted  bool
	once    sync.Once
	// kept is set when the body was wanted by nobody and so not sent.
	kept bool
	// left is how many bytes of the body are still to be handed to the writer,
	// below 0 if nobody knows.
	left atomic.Int64
	// passed gets whether another request may follow the answer.
	passed chan bool
	stop   func() bool
}

// answer is what came back.
type answer struct {
	res *http.Response
	err error
}

func newTrip(req *http.Request) *trip {
	x := &trip{
		req: req, answer: make(chan answer, 1), written: make(chan struct{}),
		passed: make(chan bool, 1), decided: make(chan struct{}),
	}
	x.left.Store(req.ContentLength)
	if req.ContentLength > 0 && req.Body != nil {
		req.Body = &handing{req.Body, x}
	}
	if req.Header.Get("Expect") == ExpectContinue && req.Body != nil {
		req.Body = &expecting{req.Body, x}
	}
	return x
}

// handing is a body that counts what is handed to the writer.
type handing struct {
	io.ReadCloser
	x *trip
}

// Read implements io.Reader.
func (b *handing) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.x.left.Add(int64(-n))
	return n, err //nolint:wrapcheck // io.EOF must pass as it is
}

// isWritten tells whether the request has been written. An answer can come before
// its writer has been scheduled to say that the last bytes are out; that is waited
// for, as the connection would be given up for nothing.
func (x *trip) isWritten() bool {
	select {
	case <-x.written:
		return true
	default:
	}
	if x.left.Load() != 0 {
		return false
	}
	timer := time.NewTimer(tailWithin)
	defer timer.Stop()
	select {
	case <-x.written:
		return true
	case <-timer.C:
		return false
	}
}

// decide notes whether the other side wants the body. Only the first word
// counts.
func (x *trip) decide(wanted bool) {
	x.once.Do(func() {
		x.wanted = wanted
		close(x.decided)
	})
}

// ExpectContinue is the value of the header Expect by which a request's body is held
// back until the other side asks for it. A long body that would be refused then
// takes no bandwidth, and its request can go elsewhere.
//
// HeaderHeld beside it promises that the body never comes unasked. Other clients
// send theirs after a while in any case, so a server that has refused one can't
// tell what comes next on the connection and has to close it; after this promise
// the connection stays. A refused upload would otherwise cost a new connection
// at each target that it asks.
const (
	ExpectContinue = "100-continue"
	HeaderHeld     = "Briarrock-Held"
)

// unasked tells whether the body was held back and has not been asked for.
func (x *trip) unasked() bool {
	if _, held := x.req.Body.(*expecting); !held {
		return false
	}
	select {
	case <-x.decided:
		return !x.wanted
	default:
		return false
	}
}

// withheld tells whether the body was not asked for, and so nothing of it sent.
// It may be called once written is closed. (net/http hides errUnwanted in an
// error of its own.)
func (x *trip) withheld() bool { return x.kept }

// errUnwanted ends the writing of a request whose body was not asked for.
var errUnwanted = errors.New("http1: the body was not asked for")

// expecting is a body that is held back until it is asked for.
type expecting struct {
	io.ReadCloser
	x *trip
}

// Read implements io.Reader.
func (b *expecting) Read(p []byte) (int, error) {
	<-b.x.decided
	if !b.x.wanted {
		b.x.kept = true
		return 0, errUnwanted
	}
	return b.ReadCloser.Read(p) //nolint:wrapcheck // io.EOF must pass as it is
}

// link is one connection of a pool. Its goroutine reads all answers, and so
// notices at once when the other side closes an idle connection or sends what
// nobody has asked for.
type link struct {
	pool *Pool
	addr string
	nc   net.Conn
	head *bounded
	br   *bufio.Reader

	mu     sync.Mutex
	now    *trip // the request under way; nil while idle
	err    error // why the link has ended
	keep   time.Duration
	expire *time.Timer
}

func newLink(p *Pool, addr string, nc net.Conn) *link {
	l := &link{pool: p, addr: addr, nc: nc, keep: p.cfg.IdleTimeout}
	l.head = &bounded{r: nc}
	l.br = bufio.NewReaderSize(l.head, bufferSize)
	return l
}

// begin makes the link busy with a trip; false if it has ended meanwhile.
func (l *link) begin(x *trip) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return false
	}
	if l.expire != nil {
		l.expire.Stop()
	}
	l.now = x
	return true
}

// close ends the link. The first reason stays.
func (l *link) close(err error) {
	l.mu.Lock()
	first := l.err == nil
	if first {
		l.err = err
	}
	if l.expire != nil {
		l.expire.Stop()
	}
	l.mu.Unlock()
	if first {
		l.pool.drop(l)
		_ = l.nc.Close()
	}
}

func (l *link) reason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// roundTrip writes the request and waits for the head of its answer.
func (l *link) roundTrip(x *trip) (*http.Response, error) {
	ctx := x.req.Context()
	x.stop = context.AfterFunc(ctx, func() { l.close(context.Cause(ctx)) })
	send := func() {
		x.writeErr = l.write(x.req)
		close(x.written)
	}
	if x.req.Body == nil || x.req.Body == http.NoBody {
		send()
	} else {
		go send()
	}
	select {
	case a := <-x.answer:
		return l.answered(x, a)
	case <-x.written:
	}
	if x.writeErr != nil && !x.withheld() {
		return l.broken(x, x.writeErr)
	}
	return l.answered(x, <-x.answer)
}

// writers are used again: a request needs one only while it is written.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

func (l *link) write(req *http.Request) error {
	w, _ := writers.Get().(*bufio.Writer)
	w.Reset(deadlined{l.nc})
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	if err := req.Write(w); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(w.Flush())
}

// deadlined bounds each write, so that a peer which reads nothing more is
// noticed.
type deadlined struct{ net.Conn }

// Write implements io.Writer.
func (d deadlined) Write(p []byte) (int, error) {
	_ = d.SetWriteDeadline(time.Now().Add(writeWithin))
	return d.Conn.Write(p) //nolint:wrapcheck // callers look at its type
}

// broken is called when the request could not be written whole. The other
// side may have answered before it had read all.
func (l *link) broken(x *trip, err error) (*http.Response, error) {
	timer := time.NewTimer(answerAfterBreak)
	defer timer.Stop()
	select {
	case a := <-x.answer:
		if a.err == nil {
			a.res.Close = true
			return l.answered(x, a)
		}
	case <-timer.C:
	}
	x.stop()
	l.close(err)
	return nil, err
}

// answered hands out an answer whose body ends the trip.
func (l *link) answered(x *trip, a answer) (*http.Response, error) {
	if a.err != nil {
		x.stop()
		return nil, a.err
	}
	b := &answerBody{ReadCloser: a.res.Body, l: l, x: x, keep: !a.res.Close}
	if a.res.Body == http.NoBody {
		b.pass(b.keep)
	}
	a.res.Body = b
	return a.res, nil
}

// read is the link's goroutine.
func (l *link) read() {
	for {
		l.head.armed = false
		_, err := l.br.Peek(1)
		l.mu.Lock()
		x := l.now
		l.mu.Unlock()
		if x == nil {
			if err == nil {
				err = ErrUnsolicited
			}
			l.close(err)
			return
		}
		if err != nil {
			l.failed(x, err)
			return
		}
		res, err := l.readAnswer(x)
		if err != nil {
			l.failed(x, err)
			return
		}
		x.decide(false)
		x.answer <- answer{res: res}
		if !<-x.passed {
			l.close(ErrClosed)
			return
		}
	}
}

func (l *link) failed(x *trip, err error) {
	l.close(err)
	x.decide(false)
	x.answer <- answer{err: l.reason()}
}

// readAnswer reads the answer to a request. One that belongs to another
// request is dropped: its sender has answered twice, or too late.
func (l *link) readAnswer(x *trip) (*http.Response, error) {
	req := x.req
	for range maxUnsolicited {
		res, err := l.readOne(x)
		if err != nil {
			return nil, err
		}
		if l.pool.cfg.Matches == nil || l.pool.cfg.Matches(req, res) {
			return res, nil
		}
		if res.ContentLength < 0 && !chunked(res) || res.Close {
			return nil, ErrUnsolicited // nothing can follow it
		}
		if _, err := io.CopyN(io.Discard, res.Body, maxUnsolicitedBody); !errors.Is(err, io.EOF) {
			return nil, ErrUnsolicited
		}
	}
	return nil, ErrUnsolicited
}

func chunked(res *http.Response) bool {
	return len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
}

// readOne reads one final answer.
func (l *link) readOne(x *trip) (*http.Response, error) {
	for {
		l.head.armed, l.head.left = true, maxAnswerHead
		res, err := http.ReadResponse(l.br, x.req)
		l.head.armed = false
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if res.StatusCode >= http.StatusOK {
			l.keepFor(res)
			return res, nil
		}
		if res.StatusCode == http.StatusContinue {
			x.decide(true)
		}
	}
}

// keepFor takes the other side's word for how long it keeps the connection.
func (l *link) keepFor(res *http.Response) {
	for field := range strings.SplitSeq(res.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		n, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil || n < 0 {
			continue
		}
		l.mu.Lock()
		l.keep = min(l.pool.cfg.IdleTimeout, time.Duration(n)*time.Second-keepMargin)
		l.mu.Unlock()
	}
}

// pass ends a trip. It returns the link to its pool if another request may
// follow.
func (l *link) pass(x *trip, ok bool) {
	ok = x.stop() && ok
	if x.unasked() {
		<-x.written // it ends at once
	}
	if x.isWritten() {
		ok = ok && (x.writeErr == nil || (x.withheld() && x.req.Header.Get(HeaderHeld) != ""))
	} else {
		// The request is still being written: its rest must not be taken for
		// the next one, so the connection ends.
		ok = false
	}
	l.mu.Lock()
	keep := l.keep
	l.mu.Unlock()
	// Bytes behind a complete answer belong to no request. (The goroutine that
	// reads waits for passed, so the buffer is at rest.)
	if !ok || keep <= 0 || l.br.Buffered() > 0 {
		l.close(ErrClosed)
		x.passed <- false
		return
	}
	l.mu.Lock()
	l.now = nil
	l.expire = time.AfterFunc(keep, func() { l.expired() })
	l.mu.Unlock()
	x.passed <- true
	if !l.pool.put(l) {
		l.close(ErrClosed)
	}
}

func (l *link) expired() {
	l.mu.Lock()
	idle := l.now == nil
	l.mu.Unlock()
	if idle {
		l.close(ErrClosed)
	}
}
