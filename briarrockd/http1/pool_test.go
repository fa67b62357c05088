package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/http1"
)

// other is the other side of a pool: a listener whose connections are given to
// a function, one after the other.
func other(c *qt.C, serve func(n int, nc net.Conn, br *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(n, nc, bufio.NewReader(nc))
		}
	}()
	return l.Addr().String()
}

func pool(cfg http1.PoolConfig) *http1.Pool {
	cfg.Dial = new(net.Dialer).DialContext
	cfg.Matches = func(req *http.Request, res *http.Response) bool {
		return res.Header.Get("Name") == req.Header.Get("Name")
	}
	return http1.NewPool(cfg)
}

func get(p *http1.Pool, addr, name string) (string, error) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
	req.Header.Set("Name", name)
	return do(p, req)
}

func do(p *http1.Pool, req *http.Request) (string, error) {
	res, err := p.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

func answer(nc io.Writer, name, body string) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nName: %s\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
}

// TestStranger has a target that answers each request twice, the second time
// late: where the answer to the next request is due.
//
// The next caller would get another caller's answer. It is told apart by its
// name and dropped, and the right one follows on the same connection.
func TestStranger(t *testing.T) {
	c := qt.New(t)
	conns := atomic.Int32{}
	addr := other(c, func(n int, nc net.Conn, br *bufio.Reader) {
		conns.Store(int32(n))
		last := ""
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if last != "" {
				answer(nc, last, "old")
			}
			last = req.Header.Get("Name")
			answer(nc, last, "new "+last)
		}
	})
	p := pool(http1.PoolConfig{})
	for _, name := range []string{"a", "b", "c"} {
		body, err := get(p, addr, name)
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, "new "+name)
	}
	c.Check(conns.Load(), qt.Equals, int32(1))
}

// TestUnasked has a target that sends something while nobody asks.
//
// Whatever it is belongs to no request, so the connection is given up, and the
// next request goes over a new one.
func TestUnasked(t *testing.T) {
	c := qt.New(t)
	gone := make(chan struct{})
	addr := other(c, func(n int, nc net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		answer(nc, req.Header.Get("Name"), fmt.Sprint(n))
		if n == 1 {
			_, _ = io.WriteString(nc, "junk")
			_, _ = br.ReadByte()
			close(gone)
		}
	})
	p := pool(http1.PoolConfig{})
	body, err := get(p, addr, "a")
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "1")
	<-gone
	body, err = get(p, addr, "b")
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "2")
}

// TestBreaks goes through answers that end before they are whole: the caller
// of the pool sees an error with each of them.
func TestBreaks(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":        "",
		"half a head":      "HTTP/1.1 200 OK\r\nNam",
		"half a body":      "HTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 10\r\n\r\nhalf",
		"half a chunk":     "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhalf",
		"no answer's text": "hello\r\n\r\n",
	} {
		c := qt.New(t)
		addr := other(c, func(_ int, nc net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			_, _ = io.WriteString(nc, text)
			_ = nc.Close()
		})
		_, err := get(pool(http1.PoolConfig{}), addr, "a")
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}

// TestReset has an answer without a length whose connection is reset: it can't
// be told to be whole. One whose connection ends is whole.
func TestReset(t *testing.T) {
	for _, reset := range []bool{true, false} {
		c := qt.New(t)
		begun := make(chan struct{})
		addr := other(c, func(_ int, nc net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nName: a\r\n\r\nbody")
			<-begun
			if reset {
				_ = nc.(*net.TCPConn).SetLinger(0)
			}
			_ = nc.Close()
		})
		req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
		req.Header.Set("Name", "a")
		res, err := pool(http1.PoolConfig{}).RoundTrip(req)
		c.Assert(err, qt.IsNil)
		close(begun)
		b, err := io.ReadAll(res.Body)
		c.Check(err == nil, qt.Equals, !reset)
		if !reset {
			c.Check(string(b), qt.Equals, "body")
		}
	}
}

// TestEarly has a target that answers before it has read a long body, and
// keeps the connection.
//
// What it gets next on that connection must be the rest of the body. Since the
// rest is not sent any more, nothing else may be: the connection ends.
func TestEarly(t *testing.T) {
	c := qt.New(t)
	addr := other(c, func(n int, nc net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		answer(nc, req.Header.Get("Name"), fmt.Sprint(n))
	})
	p := pool(http1.PoolConfig{})
	more, w := io.Pipe()
	defer func() { _ = w.Close() }()
	req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/", io.MultiReader(strings.NewReader("begin"), more))
	req.ContentLength = 1 << 20
	req.Header.Set("Name", "a")
	body, err := do(p, req)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "1")
	body, err = get(p, addr, "b")
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "2")
}

// TestKeepAlive has targets that say how long they keep a connection. One that
// is about to be closed is not used: a request on it may be lost, and nobody
// could tell whether it was read.
func TestKeepAlive(t *testing.T) {
	for head, conns := range map[string]string{"": "1", "Keep-Alive: timeout=60\r\n": "1", "Keep-Alive: timeout=1\r\n": "2", "Connection: close\r\n": "2"} {
		c := qt.New(t)
		addr := other(c, func(n int, nc net.Conn, br *bufio.Reader) {
			for {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nName: %s\r\n%sContent-Length: 1\r\n\r\n%d", req.Header.Get("Name"), head, n)
			}
		})
		p := pool(http1.PoolConfig{})
		_, err := get(p, addr, "a")
		c.Assert(err, qt.IsNil)
		body, err := get(p, addr, "b")
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, conns, qt.Commentf("%q", head))
	}
}

// TestCancel gives a request up: its connection ends, so that the other side
// notices and stops.
func TestCancel(t *testing.T) {
	c := qt.New(t)
	asked, noticed := make(chan struct{}), make(chan struct{})
	addr := other(c, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		close(asked)
		_, _ = br.ReadByte()
		close(noticed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/", nil)
	go func() { <-asked; cancel() }()
	p := pool(http1.PoolConfig{})
	_, err := p.RoundTrip(req)
	c.Check(err, qt.ErrorIs, context.Canceled)
	<-noticed
	c.Check(p.OpenConns(), qt.Equals, 0)
}

// TestMost bounds the connections to one address: the request beyond is not
// sent.
func TestMost(t *testing.T) {
	c := qt.New(t)
	asked, end := make(chan struct{}), make(chan struct{})
	addr := other(c, func(_ int, nc net.Conn, br *bufio.Reader) {
		req, _ := http.ReadRequest(br)
		asked <- struct{}{}
		<-end
		answer(nc, req.Header.Get("Name"), "")
	})
	p := pool(http1.PoolConfig{MaxConnsPerAddr: 1})
	done := make(chan error)
	go func() { _, err := get(p, addr, "a"); done <- err }()
	<-asked
	_, err := get(p, addr, "b")
	c.Check(err, qt.ErrorIs, http1.ErrTooManyConns)
	close(end)
	c.Check(<-done, qt.IsNil)
}

// TestExpect sends long bodies that the other side wants, refuses, and never
// answers to.
//
// A body that is refused must not take any bandwidth, nor be taken for the next
// request on its connection; one that nobody asks for must not keep its request
// from ending with its caller.
func TestExpect(t *testing.T) {
	c := qt.New(t)
	var asked atomic.Int32
	addr := other(c, func(_ int, nc net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			asked.Add(1)
			name := req.Header.Get("Name")
			switch name {
			case "wanted":
				_, _ = io.WriteString(nc, "HTTP/1.1 100 Continue\r\n\r\n")
				b, _ := io.ReadAll(req.Body)
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nName: wanted\r\nContent-Length: 3\r\n\r\n%03d", len(b)%1000)
			case "refused":
				_, _ = io.WriteString(nc, "HTTP/1.1 503 No\r\nName: refused\r\nContent-Length: 2\r\n\r\nno")
				n, _ := io.Copy(io.Discard, br)
				if n != 0 {
					t.Errorf("%d bytes of a body that was refused", n)
				}
				return
			default:
				_, _ = io.Copy(io.Discard, br)
				return
			}
		}
	})
	p := pool(http1.PoolConfig{})
	post := func(ctx context.Context, name string) (string, error) {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", struct{ io.Reader }{strings.NewReader(strings.Repeat("x", 70123))})
		req.ContentLength = 70123
		req.Header.Set("Name", name)
		req.Header.Set("Expect", http1.ExpectContinue)
		return do(p, req)
	}
	for range 3 {
		body, err := post(context.Background(), "wanted")
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, "123")
		body, err = post(context.Background(), "refused")
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, "no")
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := post(ctx, "never")
		ended <- err
	}()
	for asked.Load() < 7 {
		runtime.Gosched()
	}
	cancel()
	c.Check(<-ended, qt.IsNotNil)
	p.Close()
}
