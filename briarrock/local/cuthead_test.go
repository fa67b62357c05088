package local_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/relay"
)

const cutText = `
mesh: test
services:
  - name: orderdesk
    upstreams: 1
    slots: 1000
    connections: 2000
    queue: 1000
    routes:
      - {path: /orders, methods: [POST], mode: once, deadline: 5s, retries: 0}
      - {path: /orders, methods: [GET], mode: repeatable, deadline: 5s, retries: 0}
`

// resetDelay is the time between the last byte before a reset and the reset, which would discard
// bytes that have not been read.
const resetDelay = 5 * time.Millisecond

// cutResponse is a response of a target that breaks off.
type cutResponse struct {
	name, head, body string
	// untilClose is set if the body ends with the connection.
	untilClose bool
}

// cutResponses are the responses, each of which would be a success.
func cutResponses() []cutResponse {
	const ok = "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 2*relay.MaxBufferedResponse)
	chunked := ok + "X-Name: value\r\nTransfer-Encoding: chunked\r\n\r\n"
	return []cutResponse{
		{name: "length", head: ok + "Content-Length: 11\r\nX-Name: value\r\n\r\n", body: "hello world"},
		{name: "length last", head: ok + "X-Name: value\r\nContent-Length: 11\r\n\r\n", body: "hello world"},
		{name: "empty", head: ok + "Content-Length: 0\r\n\r\n"},
		{name: "no content", head: "HTTP/1.1 204 No Content\r\nX-Name: value\r\n\r\n"},
		{name: "chunked", head: chunked, body: "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"},
		{name: "neither", head: ok + "X-Name: value\r\n\r\n", body: "hello world", untilClose: true},
		{name: "HTTP/1.0", head: "HTTP/1.0 200 OK\r\nX-Name: value\r\n\r\n", body: "hello world", untilClose: true},
		{name: "after 103", head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + "Content-Length: 11\r\n\r\n", body: "hello world"},
		{name: "after 100", head: "HTTP/1.1 100 Continue\r\n\r\n" + chunked, body: "5\r\nhello\r\n0\r\n\r\n"},
		{name: "streamed length", head: ok + "Content-Length: " + strconv.Itoa(len(long)) + "\r\n\r\n", body: long},
		{name: "streamed chunks", head: chunked, body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long)},
		{name: "streamed neither", head: ok + "X-Name: value\r\n\r\n", body: long, untilClose: true},
	}
}

// cuts returns the numbers of bytes after which a response breaks off: every one within the head,
// some within the body. A body without a length is complete if its connection ends by FIN.
func (r *cutResponse) cuts(reset bool) []int {
	n := len(r.head) + len(r.body)
	if r.untilClose && !reset {
		n = len(r.head)
	}
	var out []int
	for i := range n {
		inBody := i - len(r.head)
		if inBody <= 32 || inBody == len(r.body)/2 || i >= n-8 {
			out = append(out, i)
		}
	}
	return out
}

// cutTarget is a target that sends the beginning of a response to each request. The request names
// the response, the length of the beginning and the kind of end in its query.
type cutTarget struct {
	responses []cutResponse
	reached   atomic.Int64
}

func (x *cutTarget) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	x.reached.Add(1)
	q := req.URL.Query()
	i, _ := strconv.Atoi(q.Get("response"))
	n, _ := strconv.Atoi(q.Get("cut"))
	r := &x.responses[i]
	_, _ = io.WriteString(nc, (r.head + r.body)[:n])
	endConn(nc, q.Get("reset") == "true")
}

// endConn ends a connection by FIN or by RST.
func endConn(nc net.Conn, reset bool) {
	if tcp, ok := nc.(*net.TCPConn); ok && reset {
		time.Sleep(resetDelay)
		_ = tcp.SetLinger(0)
	}
	_ = nc.Close()
}

// cutCall sends a call and returns the status and the body of the response, and an error if it is
// not complete.
type cutCall func(addr, method, path, body string) (int, []byte, error)

// cutCallers are the ways to send a call to a node; nodes that use HTTP/1.1 between each other
// serve no callers with HTTP/2.
func cutCallers(c *qt.C, http1 bool) map[string]cutCall {
	raw := func(proto string) cutCall {
		return func(addr, method, path, body string) (int, []byte, error) {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				return 0, nil, err
			}
			defer func() { _ = nc.Close() }()
			_ = nc.SetDeadline(time.Now().Add(testTimeout))
			if _, err := fmt.Fprintf(nc, "%s %s %s\r\nHost: orderdesk\r\nContent-Length: %d\r\n\r\n%s", method, path, proto, len(body), body); err != nil {
				return 0, nil, err
			}
			res, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err != nil {
				return 0, nil, err
			}
			b, err := io.ReadAll(res.Body)
			return res.StatusCode, b, err
		}
	}
	callers := map[string]cutCall{"HTTP/1.1": raw("HTTP/1.1"), "HTTP/1.0": raw("HTTP/1.0")}
	if http1 {
		return callers
	}
	tr := &http.Transport{Protocols: new(http.Protocols), DisableCompression: true}
	tr.Protocols.SetUnencryptedHTTP2(true)
	c.Cleanup(tr.CloseIdleConnections)
	callers["HTTP/2"] = func(addr, method, path, body string) (int, []byte, error) {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		req.Host = "orderdesk"
		res, err := tr.RoundTrip(req)
		if err != nil {
			return 0, nil, err
		}
		defer func() { _ = res.Body.Close() }()
		b, err := io.ReadAll(res.Body)
		return res.StatusCode, b, err
	}
	return callers
}

// TestCutResponses guards against a response that breaks off within its head or body, by the end
// or the reset of the target's connection, and that looks complete to the caller: with an empty
// body or a part of one.
func TestCutResponses(t *testing.T) {
	c := qt.New(t)
	for name, http1 := range map[string]bool{"HTTP/1.1 between nodes": true, "HTTP/2 between nodes": false} {
		c.Run(name, func(c *qt.C) {
			x := &cutTarget{responses: cutResponses()}
			m := startRawTarget(c, http1, cutText, x.serve)
			var calls int64
			var wg sync.WaitGroup
			running := make(chan struct{}, maxEndlessCalls)
			for caller, call := range cutCallers(c, http1) {
				for i, r := range x.responses {
					for _, reset := range []bool{false, true} {
						for _, cut := range r.cuts(reset) {
							for j, n := range m.Nodes {
								method := []string{http.MethodGet, http.MethodPost}[(cut+j)%2]
								calls++
								running <- struct{}{}
								wg.Go(func() {
									defer func() { <-running }()
									path := fmt.Sprintf("/orders?response=%d&cut=%d&reset=%t", i, cut, reset)
									status, b, err := call(n.Cfg.CallerAddr, method, path, "")
									if err == nil && status < http.StatusBadRequest {
										c.Errorf("%s at node %d, %s of %q cut after %d bytes, reset %t: complete response, status %d, body %.40q", caller, j, method, r.name, cut, reset, status, b)
									}
								})
							}
						}
					}
				}
			}
			wg.Wait()
			c.Check(x.reached.Load(), qt.Equals, calls)
		})
	}
}

// cutProxy forwards connections to a node, and ends each after a number of bytes of the responses.
type cutProxy struct {
	l      net.Listener
	target string
	mu     sync.Mutex
	cut    int
	reset  bool
	conns  int
}

func (p *cutProxy) set(cut int, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.reset = cut, reset
}

// accepted returns the number of connections.
func (p *cutProxy) accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

func (p *cutProxy) serve() {
	for {
		nc, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.forward(nc)
	}
}

func (p *cutProxy) forward(nc net.Conn) {
	p.mu.Lock()
	cut, reset := p.cut, p.reset
	p.conns++
	p.mu.Unlock()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = nc.Close()
		return
	}
	defer func() { _ = up.Close() }()
	go func() { _, _ = io.Copy(up, nc) }()
	if cut < 0 {
		_, _ = io.Copy(nc, up)
	} else {
		_, _ = io.CopyN(nc, up, int64(cut))
	}
	endConn(nc, reset)
}

// TestCutBetweenNodes guards against a response that breaks off between two nodes and that looks
// complete to the caller.
func TestCutBetweenNodes(t *testing.T) {
	c := qt.New(t)
	// A long upload waits for 100 Continue between the nodes.
	long := strings.Repeat("x", 2*relay.MaxBufferedResponse)
	const short = "hello world"
	for name, http1 := range map[string]bool{"HTTP/1.1": true, "HTTP/2": false} {
		for _, x := range []struct {
			name, method, upload, body string
			chunked                    bool
		}{
			{"length", http.MethodGet, "", short, false},
			{"chunked", http.MethodGet, "", short, true},
			{"streamed length", http.MethodGet, "", long, false},
			{"streamed chunks", http.MethodGet, "", long, true},
			{"after 100", http.MethodPost, long, short, false},
		} {
			c.Run(name+" "+x.name, func(c *qt.C) {
				c.Parallel()
				m := startRawTarget(c, http1, cutText, func(nc net.Conn) { respondWhole(nc, x.body, x.chunked) })
				addr := m.Nodes[0].Cfg.CallAddr
				l, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				c.Cleanup(func() { _ = l.Close() })
				p := &cutProxy{l: l, target: addr, cut: -1}
				go p.serve()
				m.RouteVia(addr, l.Addr().String())
				broken := 0
				for caller, call := range cutCallers(c, http1) {
					for _, reset := range []bool{false, true} {
						for cut := range maxCut {
							p.set(cut, reset)
							status, b, err := call(m.Nodes[1].Cfg.CallerAddr, x.method, "/orders", x.upload)
							if err != nil || status >= http.StatusBadRequest {
								broken++
								continue
							}
							c.Check(string(b) == x.body, qt.IsTrue, qt.Commentf("%s, cut after %d bytes, reset %t: complete response, status %d, %d bytes", caller, cut, reset, status, len(b)))
						}
					}
				}
				// Each call that failed was sent over a connection that was cut.
				c.Check(broken > 0 && p.accepted() >= broken, qt.IsTrue, qt.Commentf("%d, %d", broken, p.accepted()))
			})
		}
	}
}

// maxCut is above the size of a short response between nodes, in bytes.
const maxCut = 300

// respondWhole answers the requests of a connection with a whole body.
func respondWhole(nc net.Conn, body string, chunked bool) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		framing, end := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), ""
		if chunked {
			framing, end = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body)), "\r\n0\r\n\r\n"
		}
		if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+framing+body+end); err != nil {
			return
		}
	}
}
