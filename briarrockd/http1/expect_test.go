package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/http1"
)

// pipes is a listener whose connections are pipes in memory, so that their time
// is the test's.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipes) Accept() (net.Conn, error) {
	select {
	case nc := <-l.conns:
		return nc, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipes) Close() error   { close(l.closed); return nil }
func (l *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// TestExpectLate sends two requests on a kept connection, the second one half a
// minute after the first, with a body that waits to be asked for.
//
// The time in which the first answer had to be written has long passed by then.
// If it still held, the question for the body could not be written: the
// connection would end, and the caller could not know whether its request ran.
func TestExpectLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := http1.NewServer(http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			c.Check(err, qt.IsNil)
			_, _ = w.Write(b)
		})})
		go func() { _ = s.Serve(l) }()
		near, far := net.Pipe()
		l.conns <- far
		br := bufio.NewReader(near)
		answer := func() string {
			res, err := http.ReadResponse(br, nil)
			c.Assert(err, qt.IsNil)
			b, err := io.ReadAll(res.Body)
			c.Assert(err, qt.IsNil)
			return res.Status + " " + string(b)
		}
		for range 2 {
			_, err := io.WriteString(near, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
			c.Assert(err, qt.IsNil)
			c.Check(strings.TrimSpace(answer()), qt.Equals, "100 Continue")
			_, err = io.WriteString(near, "abc")
			c.Assert(err, qt.IsNil)
			c.Check(answer(), qt.Equals, "200 OK abc")
			time.Sleep(30 * time.Second)
		}
		_ = near.Close()
		s.Close()
	})
}

// TestHeld sends uploads to a server that refuses each second one without having
// asked for its body, over one connection.
//
// The connection stays: nothing of a refused body has been sent, and nothing of
// it may be taken for the next request. A client that has not promised to hold
// its body back loses the connection, since its bytes may come at any time.
func TestHeld(t *testing.T) {
	c := qt.New(t)
	n := 0
	s := http1.NewServer(http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n++
		if n%2 == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		_, _ = w.Write(b[:3])
	})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve(l) }()
	c.Cleanup(s.Close)
	dials := 0
	p := http1.NewPool(http1.PoolConfig{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials++
		return new(net.Dialer).DialContext(ctx, network, addr)
	}})
	c.Cleanup(p.Close)
	post := func(held bool) string {
		req, _ := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/", struct{ io.Reader }{strings.NewReader(strings.Repeat("x", 70000))})
		req.ContentLength = 70000
		req.Header.Set("Expect", http1.ExpectContinue)
		if held {
			req.Header.Set(http1.HeaderHeld, "yes")
		}
		body, err := do(p, req)
		c.Assert(err, qt.IsNil)
		return body
	}
	for range 10 {
		c.Check(post(true), qt.Equals, "xxx")
		c.Check(post(true), qt.Equals, "")
	}
	c.Check(dials, qt.Equals, 1)
	c.Check(post(false), qt.Equals, "xxx")
	c.Check(post(false), qt.Equals, "")
	c.Check(post(true), qt.Equals, "xxx")
	c.Check(dials, qt.Equals, 2)
}
