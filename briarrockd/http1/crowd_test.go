package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

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
	s := http1.NewServer(http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "handled")
	})})
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	defer func() { s.Close(); <-done }()
	got, err := io.ReadAll(nc)
	c.Check(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "")
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
	c.Check(s.Open() <= most, qt.IsTrue)
	c.Check(ask(dial(c, addr)).StatusCode, qt.Equals, http.StatusOK)
}
