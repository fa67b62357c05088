package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/http1"
)

// TestClosedBeforeRead has a caller that sends a request and closes the connection before
// the server reads the request, as happens when the server is short of CPU time.
//
// The request must not be handled: it would be executed by a target more than half a
// second after its caller had closed the connection.
func TestClosedBeforeRead(t *testing.T) {
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

// TestMaxConns opens more connections than MaxConns. All of them are idle after one
// request, as connections of rejected callers are.
//
// When more than half of MaxConns are open, responses close their connections. At the
// limit, a new connection evicts an idle one.
func TestMaxConns(t *testing.T) {
	c := qt.New(t)
	const maxConns = 4
	s, nc := serve(c, http1.ServerConfig{MaxConns: maxConns, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
	})})
	request := func(nc net.Conn) *http.Response {
		send(c, nc, "GET / HTTP/1.1\nHost: a\n\n")
		res, _, err := receive(bufio.NewReader(nc))
		c.Assert(err, qt.IsNil)
		return res
	}
	addr := nc.RemoteAddr().String()
	c.Check(request(nc).Close, qt.IsFalse)
	c.Check(request(dial(c, addr)).Close, qt.IsFalse)
	c.Check(request(dial(c, addr)).Close, qt.IsTrue)
	for range 2 * maxConns {
		idle := dial(c, addr)
		request(idle)
	}
	c.Check(s.OpenConns() <= maxConns, qt.IsTrue)
	c.Check(request(dial(c, addr)).StatusCode, qt.Equals, http.StatusOK)
}

// TestPipelinedWhileDraining drains a server while a request is handled, and pipelines a
// second request on the same connection.
//
// The second response could only be sent after the first, which may take until the server
// closes the connection: it would be lost although it was ready. So the second request
// is not handled. The first response closes the connection, and the caller sends the
// second request again on another one.
//
// The first request ends only when all goroutines of the server are blocked, so that the
// second has either been handled or waits for the first.
func TestPipelinedWhileDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		started, end := make(chan string, 2), make(chan struct{})
		s := http1.NewServer(http1.ServerConfig{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			started <- r.URL.Path
			<-end
		})})
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		go func() { _ = s.Serve(l) }()
		defer s.Close()
		nc, server := net.Pipe()
		defer func() { _ = nc.Close() }()
		l.conns <- server
		send(c, nc, "GET /1 HTTP/1.1\nHost: a\n\n")
		c.Assert(<-started, qt.Equals, "/1")
		s.Drain()
		send(c, nc, "GET /2 HTTP/1.1\nHost: a\n\n")
		synctest.Wait()
		c.Check(s.PendingRequests(), qt.Equals, 2)
		c.Check(started, qt.HasLen, 0, qt.Commentf("the second request was handled before the first response"))
		close(end)
		br := bufio.NewReader(nc)
		res, _, err := receive(br)
		c.Assert(err, qt.IsNil)
		c.Check(res.Close, qt.IsTrue)
		_, err = br.ReadByte()
		c.Check(err, qt.Equals, io.EOF)
		c.Check(started, qt.HasLen, 0)
	})
}

// TestPipelinedAtShutdown shuts a server down while a response is ready that waits for the
// response before it, whose handler is still running.
//
// The caller must get it, since its request was executed. The earlier request is
// canceled, and its response is sent first.
func TestPipelinedAtShutdown(t *testing.T) {
	c := qt.New(t)
	started := make(chan struct{}, 2)
	s, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		if r.URL.Path == "/1" {
			<-r.Context().Done()
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_, _ = io.WriteString(w, "ready")
	})})
	send(c, nc, "GET /1 HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\n")
	<-started
	<-started
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
