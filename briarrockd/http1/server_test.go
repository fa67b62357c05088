package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/mesh/snapshot"
)

// patience only ends a test that would hang.
const patience = 30 * time.Second

// serve runs a server for one test and returns a connection to it.
func serve(c *qt.C, cfg http1.ServerConfig) (*http1.Server, net.Conn) {
	l, err := http1.ListenConfig().Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := http1.NewServer(cfg)
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	c.Cleanup(func() { s.Close(); <-done })
	return s, dial(c, l.Addr().String())
}

func dial(c *qt.C, addr string) net.Conn {
	nc, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(patience))
	return nc
}

func send(c *qt.C, nc net.Conn, text string) {
	_, err := io.WriteString(nc, strings.ReplaceAll(text, "\n", "\r\n"))
	c.Assert(err, qt.IsNil)
}

// receive reads one answer and its body.
func receive(br *bufio.Reader) (*http.Response, string, error) {
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(res.Body)
	return res, string(b), err
}

// TestPipeline sends three requests before any is answered, the first of them
// long.
//
// The second and third are handled while the first is, since their caller is
// waiting for them as well, and the answers come in the order of the requests.
func TestPipeline(t *testing.T) {
	c := qt.New(t)
	others := make(chan struct{}, 2)
	_, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-others
			<-others
		} else {
			others <- struct{}{}
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	send(c, nc, "GET /1 HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\nGET /3 HTTP/1.1\nHost: a\n\n")
	br := bufio.NewReader(nc)
	for _, want := range []string{"/1", "/2", "/3"} {
		_, body, err := receive(br)
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, want)
	}
}

// TestOnceBehind sends an order behind a request that is still being handled.
//
// The answer before it could still close the connection, and its caller would
// take the order for not read and send it again. So it isn't begun until then.
func TestOnceBehind(t *testing.T) {
	c := qt.New(t)
	first, begun := make(chan struct{}), make(chan struct{}, 1)
	_, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			<-first
			return
		}
		begun <- struct{}{}
	})})
	send(c, nc, "GET /1 HTTP/1.1\nHost: a\n\nPOST /2 HTTP/1.1\nHost: a\nContent-Length: 0\n\n")
	br := bufio.NewReader(nc)
	select {
	case <-begun:
		t.Fatal("the order was begun")
	default:
	}
	close(first)
	_, _, err := receive(br)
	c.Assert(err, qt.IsNil)
	<-begun
}

// TestGone lets a caller leave while its request is handled, with another one
// waiting behind.
//
// The work would go on for nobody. The request's context ends as soon as the
// connection does, whatever else is on it.
func TestGone(t *testing.T) {
	c := qt.New(t)
	begun, gone := make(chan struct{}, 2), make(chan struct{}, 2)
	_, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
		gone <- struct{}{}
	})})
	send(c, nc, "GET /1 HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\n")
	<-begun
	<-begun
	_ = nc.Close()
	<-gone
	<-gone
}

// TestDrain drains a server with two requests under way on one connection.
//
// Both have been read, so both are answered; the last answer says that the
// connection closes, and then it does.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	begun, end := make(chan struct{}, 2), make(chan struct{})
	s, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-end
	})})
	send(c, nc, "GET /1 HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\n")
	<-begun
	<-begun
	s.Drain()
	close(end)
	br := bufio.NewReader(nc)
	res, _, err := receive(br)
	c.Assert(err, qt.IsNil)
	c.Check(res.Close, qt.IsFalse)
	res, _, err = receive(br)
	c.Assert(err, qt.IsNil)
	c.Check(res.Close, qt.IsTrue)
	_, err = br.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s.Shutdown(ctx)
	c.Check(ctx.Err(), qt.IsNil)
}

// TestCutShort has a handler that can't complete its answer: with a length and
// without. The caller must not take what came for the whole.
func TestCutShort(t *testing.T) {
	for _, length := range []string{"10", ""} {
		c := qt.New(t)
		_, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})})
		send(c, nc, "GET / HTTP/1.1\nHost: a\n\n")
		_, _, err := receive(bufio.NewReader(nc))
		c.Check(err, qt.IsNotNil, qt.Commentf("length %q", length))
	}
}

// TestBounds sends what a caller may not: each is refused with its own status,
// and the handler never sees it.
func TestBounds(t *testing.T) {
	for name, x := range map[string]struct {
		request string
		status  int
	}{
		"a head that is too large": {"GET / HTTP/1.1\nHost: a\nX: " + strings.Repeat("x", 9000) + "\n\n", http.StatusRequestHeaderFieldsTooLarge},
		"a body that is too large": {"POST / HTTP/1.1\nHost: a\nContent-Length: 101\n\n" + strings.Repeat("x", 101), http.StatusRequestEntityTooLarge},
		"no host":                  {"GET / HTTP/1.1\n\n", http.StatusBadRequest},
		"no request":               {"hello\n\n", http.StatusBadRequest},
		"two lengths":              {"POST / HTTP/1.1\nHost: a\nContent-Length: 1\nContent-Length: 2\n\nxx", http.StatusBadRequest},
	} {
		c := qt.New(t)
		_, nc := serve(c, http1.ServerConfig{
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Errorf("%s: handled", name) }),
			Limits:  func() snapshot.Limits { return snapshot.Limits{HeaderBytes: 5000, BodyBytes: 100} },
		})
		send(c, nc, x.request)
		res, _, err := receive(bufio.NewReader(nc))
		c.Assert(err, qt.IsNil, qt.Commentf("%s", name))
		c.Check(res.StatusCode, qt.Equals, x.status, qt.Commentf("%s", name))
	}
}

// TestChunkedBound sends a body without a length that grows too large: the
// handler sees an error and not the end of the body.
func TestChunkedBound(t *testing.T) {
	c := qt.New(t)
	got := make(chan error, 1)
	_, nc := serve(c, http1.ServerConfig{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			got <- err
		}),
		Limits: func() snapshot.Limits { return snapshot.Limits{BodyBytes: 10} },
	})
	send(c, nc, "POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n10\n0123456789abcdef\n0\n\n")
	c.Check(<-got, qt.Equals, http1.ErrTooLarge)
}

// TestLeftBody has a handler that answers without reading the body: the next
// request on the connection is read from where it begins.
func TestLeftBody(t *testing.T) {
	c := qt.New(t)
	_, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	send(c, nc, "POST /1 HTTP/1.1\nHost: a\nContent-Length: 20\n\nGET /x HTTP/1.1xxxxxGET /2 HTTP/1.1\nHost: a\n\n")
	br := bufio.NewReader(nc)
	for _, want := range []string{"/1", "/2"} {
		_, body, err := receive(br)
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, want)
	}
}

// TestContinue lets a caller wait for the word to go on.
func TestContinue(t *testing.T) {
	c := qt.New(t)
	_, nc := serve(c, http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})})
	send(c, nc, "POST / HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 2\n\n")
	br := bufio.NewReader(nc)
	line, err := br.ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Check(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
	_, _ = br.ReadString('\n')
	send(c, nc, "ok")
	_, body, err := receive(br)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "ok")
}
