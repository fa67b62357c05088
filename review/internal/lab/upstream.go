package lab

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// HeartbeatInterval is the interval of status reports.
const HeartbeatInterval = 870 * time.Millisecond

// Run is one request as an upstream began to work on it.
type Run struct {
	ID, Method, Path, Caller, Instance, Service string
	Body                                        []byte
}

// Upstream is a stand-in for an application upstream: one lifetime at one address.
type Upstream struct {
	ID, Service, Addr string
	Slots, Queue      int
	// Work is the time that a request takes.
	Work func(r *http.Request) time.Duration
	// OnRun is called when the upstream begins to work on a request.
	OnRun func(Run)
	// After, if set, is called after a complete response was written, with the function
	// that writes further bytes to the connection.
	After func(req *http.Request, write func([]byte))
	// BodySize is the size of a response body.
	BodySize int
	// EarlyHeader makes the upstream send the header of a response, in chunked encoding,
	// when it begins to work, and the body at the end.
	EarlyHeader bool
	// Listen, if set, is the address to listen at, behind a proxy at Addr.
	Listen string

	l        net.Listener
	slots    chan struct{}
	mu       sync.Mutex
	waiting  int
	conns    map[net.Conn]struct{}
	born     int64
	seq      int
	state    string
	ctx      context.Context
	cancel   context.CancelFunc
	AckedAt  time.Time // when draining was acknowledged
	LastBeat int       // status of the last report's response
}

// Start listens and reports to the node at control.
func (u *Upstream) Start(control string) error {
	var err error
	for range 50 {
		if u.l, err = net.Listen("tcp", cmp.Or(u.Listen, u.Addr)); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	u.slots = make(chan struct{}, u.Slots)
	u.conns = make(map[net.Conn]struct{})
	u.born, u.state = time.Now().UnixMilli(), "ready"
	go u.accept()
	go u.report(control)
	return nil
}

// Crash ends the upstream without a word: all of its connections close.
func (u *Upstream) Crash() {
	u.cancel()
	_ = u.l.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close()
	}
}

var reportClient = &http.Client{Timeout: time.Second}

func (u *Upstream) report(control string) {
	for u.ctx.Err() == nil {
		u.mu.Lock()
		u.seq++
		b, _ := json.Marshal(map[string]any{
			"service": u.Service, "address": u.Addr, "zone": "", "version": "v1", "slots": u.Slots,
			"state": u.state, "warmupLeft": "0ms", "sequence": u.seq, "born": u.born,
		})
		state := u.state
		u.mu.Unlock()
		res, err := reportClient.Post("http://"+control+"/briarrock/rpc?call=instances.heartbeat&of="+u.ID, "application/json", bytes.NewReader(b))
		status := 0
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			status = res.StatusCode
		}
		u.mu.Lock()
		u.LastBeat = status
		if status == http.StatusOK && state == "draining" && u.AckedAt.IsZero() {
			u.AckedAt = time.Now()
		}
		u.mu.Unlock()
		select {
		case <-u.ctx.Done():
		case <-time.After(HeartbeatInterval):
		}
	}
}

// Acked returns the status of the last report's response.
func (u *Upstream) Acked() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.LastBeat
}

func (u *Upstream) accept() {
	for {
		c, err := u.l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = struct{}{}
		u.mu.Unlock()
		go func() {
			u.serve(c)
			_ = c.Close()
			u.mu.Lock()
			delete(u.conns, c)
			u.mu.Unlock()
		}()
	}
}

// serve handles the requests of one connection, one at a time.
func (u *Upstream) serve(c net.Conn) {
	br := bufio.NewReader(c)
	var wmu sync.Mutex
	write := func(b []byte) {
		wmu.Lock()
		defer wmu.Unlock()
		_, _ = c.Write(b)
	}
	for u.ctx.Err() == nil {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // idle timeout
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		write(u.handle(req, body, write))
		if u.After != nil && req.URL.Path != "/healthz" {
			u.After(req, write)
		}
	}
}

// Response returns the bytes of a response.
func Response(status int, body []byte, headers ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// handle returns the rest of the response to a request.
func (u *Upstream) handle(req *http.Request, body []byte, write func([]byte)) []byte {
	if req.URL.Path == "/healthz" {
		return Response(http.StatusOK, nil, "Briarrock-Instance-Id", u.ID)
	}
	id := req.Header.Get("Briarrock-Attempt-Id")
	if id == "" {
		return Response(http.StatusBadRequest, nil, "Briarrock-Not-Executed", "1")
	}
	if want := req.Header.Get("Briarrock-Expected-Instance"); want != "" && want != u.ID {
		return Response(http.StatusMisdirectedRequest, nil, "Briarrock-Attempt-Id", id, "Briarrock-Instance-Id", u.ID)
	}
	if !u.acquire() {
		return Response(http.StatusServiceUnavailable, nil, "Briarrock-Attempt-Id", id, "Briarrock-Not-Executed", "1")
	}
	defer func() { <-u.slots }()
	u.OnRun(Run{
		ID: id, Method: req.Method, Path: req.URL.RequestURI(), Body: body, Instance: u.ID, Service: u.Service,
		Caller: req.Header.Get("Briarrock-Caller-Service"),
	})
	headers := []string{"Briarrock-Attempt-Id", id, "Briarrock-Response-Signature", "sig-" + u.ID + "-" + id}
	if u.EarlyHeader {
		write(earlyHeader(headers))
	}
	time.Sleep(u.Work(req))
	answer := append([]byte("answer to "+id+" by "+u.ID+"\n"), bytes.Repeat([]byte("x"), u.BodySize)...)
	if u.EarlyHeader {
		return append(fmt.Appendf(nil, "%x\r\n%s\r\n", len(answer), answer), "0\r\n\r\n"...)
	}
	return Response(http.StatusOK, answer, headers...)
}

// earlyHeader returns the header of a response whose body follows in chunks.
func earlyHeader(headers []string) []byte {
	b := []byte("HTTP/1.1 200 OK\r\n")
	for i := 0; i+1 < len(headers); i += 2 {
		b = fmt.Appendf(b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	return append(b, "Keep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n"...)
}

// acquire takes a slot, after a wait in the queue if there is room.
func (u *Upstream) acquire() bool {
	u.mu.Lock()
	if u.waiting >= u.Queue && len(u.slots) >= u.Slots {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	u.mu.Unlock()
	u.slots <- struct{}{}
	u.mu.Lock()
	u.waiting--
	u.mu.Unlock()
	return true
}
