package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/http1"
)

// closedBound is the time after a caller has closed its connection in which its requests
// must be cancelled.
const closedBound = 500 * time.Millisecond

// TestCallerClosesUnread closes a connection while its requests are handled and the server
// does not read from it, so that it would not see the end of the connection.
//
// Nobody needs the responses. Requests that are not cancelled wait for a target and reach
// it late, and work at targets goes on.
func TestCallerClosesUnread(t *testing.T) {
	for name, x := range map[string]struct {
		text    string
		handled int // requests that are handled before the connection is closed
	}{
		"part of a body":         {"POST / HTTP/1.1\nHost: a\nContent-Length: 100000\n\n" + strings.Repeat("x", 20000), 1},
		"a whole body":           {"POST / HTTP/1.1\nHost: a\nContent-Length: 20000\n\n" + strings.Repeat("x", 20000), 1},
		"a chunked body":         {"POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n4\nabcd\n", 1},
		"a body to be requested": {"POST / HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 100000\n\n", 1},
		"the last request":       {"GET / HTTP/1.1\nHost: a\nConnection: close\n\n", 1},
		"HTTP/1.0":               {"GET / HTTP/1.0\nHost: a\n\n", 1},
		"a full pipeline":        {strings.Repeat("GET / HTTP/1.1\nHost: a\n\n", 40), 16},
		"a body in a pipeline":   {"GET / HTTP/1.1\nHost: a\n\nGET / HTTP/1.1\nHost: a\nContent-Length: 9\n\nxx", 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			started, canceled := make(chan struct{}, 100), make(chan struct{}, 100)
			_, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
				canceled <- struct{}{}
			})})
			send(c, nc, x.text)
			for range x.handled {
				<-started
			}
			_ = nc.Close()
			timeout := time.After(closedBound)
			for range x.handled {
				select {
				case <-canceled:
				case <-timeout:
					c.Fatalf("a request is not cancelled")
				}
			}
			time.Sleep(closedBound)
			c.Check(started, qt.HasLen, 0, qt.Commentf("requests are handled after the connection was closed"))
		})
	}
}

// TestWriteAfterClose writes the responses to pipelined requests after their caller has closed
// the connection.
//
// Requests then end out of order. A response that is written although a previous one has not
// ended shares the connection's buffer with it, which is a data race.
func TestWriteAfterClose(t *testing.T) {
	const requests = 16
	c := qt.New(t)
	started, errs := make(chan struct{}, requests), make(chan error, requests)
	_, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		_, err := io.WriteString(w, "late")
		errs <- err
	})})
	send(c, nc, strings.Repeat("GET / HTTP/1.1\nHost: a\n\n", requests))
	for range requests {
		<-started
	}
	_ = nc.Close()
	for range requests {
		c.Check(<-errs, qt.ErrorIs, http1.ErrClosed)
	}
}

// TestClosedBeforeReadUnread is TestClosedBeforeRead for requests behind which the end of
// the connection is not visible to a read.
func TestClosedBeforeReadUnread(t *testing.T) {
	for name, text := range map[string]string{
		"a body":           "POST / HTTP/1.1\nHost: a\nContent-Length: 20000\n\n" + strings.Repeat("x", 20000),
		"the last request": "GET / HTTP/1.1\nHost: a\nConnection: close\n\n",
		"a pipeline":       strings.Repeat("GET / HTTP/1.1\nHost: a\n\n", 40),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := http1.ListenConfig().Listen(context.Background(), "tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			nc := dial(c, l.Addr().String())
			send(c, nc, text)
			c.Assert(nc.(*net.TCPConn).CloseWrite(), qt.IsNil)
			var handled atomic.Int32
			s := http1.NewServer(http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				handled.Add(1)
				_, _ = io.WriteString(w, "handled")
			})})
			done := make(chan struct{})
			go func() { defer close(done); _ = s.Serve(l) }()
			_, _ = io.Copy(io.Discard, nc)
			s.Close()
			<-done
			c.Check(handled.Load(), qt.Equals, int32(0))
		})
	}
}

// TestCanceledBeforeSent has a request whose context has ended before it gets a connection.
//
// On an idle connection it would be written before the end of the context closes the
// connection, and reach a server for nothing.
func TestCanceledBeforeSent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	var received atomic.Int32
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(nc)
				for {
					if _, err := http.ReadRequest(br); err != nil {
						_ = nc.Close()
						return
					}
					received.Add(1)
					_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	p := http1.NewPool(http1.PoolConfig{Dial: new(net.Dialer).DialContext})
	c.Cleanup(p.Close)
	const rounds = 100
	for range rounds {
		req, _ := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/", nil)
		_, err := do(p, req)
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = do(p, req.WithContext(ctx))
		c.Check(err, qt.ErrorIs, context.Canceled)
	}
	time.Sleep(20 * time.Millisecond)
	c.Check(received.Load(), qt.Equals, int32(rounds))
}
