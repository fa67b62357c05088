package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/http1"
)

// TestGoneUnread has a caller send a request and give up before the server comes
// to read it, as it does when its processor is short.
//
// The request must not be handled: it would run at a target for nobody, more than
// half a second after its caller has left.
func TestGoneUnread(t *testing.T) {
	c := qt.New(t)
	l, err := http1.ListenConfig().Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	nc := dial(c, l.Addr().String())
	send(c, nc, "GET / HTTP/1.1\nHost: a\n\n")
	c.Assert(nc.(*net.TCPConn).CloseWrite(), qt.IsNil)
	var handled atomic.Bool
	s := http1.NewServer(http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Store(true)
		_, _ = io.WriteString(w, "handled")
	})})
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	got, err := io.ReadAll(nc)
	c.Check(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "")
	s.Close()
	<-done
	c.Check(handled.Load(), qt.IsFalse)
}

// TestCrowd opens more connections than a server may hold, all of them idle
// after one request, as refused callers leave them behind.
//
// From half of the bound on, answers say that their connection closes; a caller
// who comes when all places are taken gets that of an idle one.
func TestCrowd(t *testing.T) {
	c := qt.New(t)
	const most = 4
	s, nc := serve(c, http1.ServerConfig{MaxConns: most, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
	})})
	ask := func(nc net.Conn) *http.Response {
		send(c, nc, "GET / HTTP/1.1\nHost: a\n\n")
		res, _, err := receive(bufio.NewReader(nc))
		c.Assert(err, qt.IsNil)
		return res
	}
	addr := nc.RemoteAddr().String()
	c.Check(ask(nc).Close, qt.IsFalse)
	c.Check(ask(dial(c, addr)).Close, qt.IsFalse)
	c.Check(ask(dial(c, addr)).Close, qt.IsTrue)
	for range 2 * most {
		idle := dial(c, addr)
		ask(idle)
	}
	c.Check(s.OpenConns() <= most, qt.IsTrue)
	c.Check(ask(dial(c, addr)).StatusCode, qt.Equals, http.StatusOK)
}

// TestDrainBehind drains a server while a request is under way, and sends another
// one behind it on the same connection.
//
// The answer of the second could only be given after that of the first, which may
// take until the server's end: it would be lost although it was ready. So it is not
// handled; the first answer says that the connection closes, and the caller sends
// the second one again elsewhere.
func TestDrainBehind(t *testing.T) {
	c := qt.New(t)
	begun, end := make(chan string, 2), make(chan struct{})
	s, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		<-end
	})})
	send(c, nc, "GET /1 HTTP/1.1\nHost: a\n\n")
	c.Assert(<-begun, qt.Equals, "/1")
	s.Drain()
	send(c, nc, "GET /2 HTTP/1.1\nHost: a\n\n")
	c.Assert(until(func() bool { return s.PendingRequests() == 2 }), qt.IsTrue)
	close(end)
	br := bufio.NewReader(nc)
	res, _, err := receive(br)
	c.Assert(err, qt.IsNil)
	c.Check(res.Close, qt.IsTrue)
	_, err = br.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
	c.Check(begun, qt.HasLen, 0)
}

// until waits for a condition that comes true soon.
func until(ok func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// TestReadyAtTheEnd ends a server while an answer is ready that waits for the one
// before it, whose handler is still at work.
//
// The caller must get it: its request has run. The earlier one is cut short, and its
// handler's last word goes first.
func TestReadyAtTheEnd(t *testing.T) {
	c := qt.New(t)
	begun := make(chan struct{}, 2)
	s, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		if r.URL.Path == "/1" {
			<-r.Context().Done()
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_, _ = io.WriteString(w, "ready")
	})})
	send(c, nc, "GET /1 HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\n")
	<-begun
	<-begun
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	done := make(chan struct{})
	go func() { defer close(done); s.Shutdown(ctx) }()
	br := bufio.NewReader(nc)
	res, _, err := receive(br)
	c.Assert(err, qt.IsNil)
	c.Check(res.StatusCode, qt.Equals, http.StatusBadGateway)
	_, body, err := receive(br)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "ready")
	<-done
}
