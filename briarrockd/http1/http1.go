// Package http1 implements the HTTP/1.1 server and client connections to callers,
// targets and other nodes.
//
// Server serves an http.Handler. Unlike net/http's server it handles pipelined requests
// of one connection concurrently, and sends the responses in order. The handling of a
// short request does not wait for that of a long one before it. Server detects at any
// time that a caller has closed its connection.
//
//	s := http1.NewServer(http1.ServerConfig{Handler: h, Limits: limits})
//	go s.Serve(listener)
//	s.Drain()       // from now on responses have "Connection: close"
//	s.Shutdown(ctx) // waits until the requests that were read have ended
//
// Pool is an http.RoundTripper that reuses connections. It sends each request once,
// and reports the connection through httptrace, so that package relay can determine
// whether any byte of the request was sent. A response to another request is
// detected and not returned for this one.
//
// Requests and responses are parsed by net/http.
package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Errors of connections.
var (
	// ErrClosed is returned if a server, a pool or a connection has been closed.
	ErrClosed = errors.New("http1: server, pool or connection closed")
	// ErrTooLarge is returned if the headers or the body of a message exceed their
	// size limit.
	ErrTooLarge = errors.New("http1: headers or body exceed the size limit")
	// ErrUnsolicited is returned if a server has sent bytes that belong to no request.
	ErrUnsolicited = errors.New("http1: unsolicited response")
)

// bufferSize is the size in bytes of a connection's read buffer. The headers of nearly
// all messages fit into it.
const bufferSize = 4 << 10

// Detection of a peer that has become unreachable.
const (
	// keepAliveInterval is the time until the first TCP keep-alive probe of an idle
	// connection and between probes. One second is the kernel's minimum.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes after which a connection is
	// closed. An unreachable peer is detected within three seconds.
	keepAliveProbes = 2
	// userTimeout is the longest time for which sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT). It tolerates the loss of a few packets in a row between
	// regions.
	userTimeout = 2 * time.Second
)

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// ListenConfig returns a listener configuration with which callers that become
// unreachable without closing their connection are detected.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// Dialer returns a dial function with the given timeout. Its connections detect a peer
// that has become unreachable.
//
// Without this, a request on such a connection would wait until its deadline, since
// the kernel retransmits for a quarter of an hour.
func Dialer(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
	return d.DialContext
}

// setUserTimeout limits the time for which sent bytes may stay unacknowledged. If the
// kernel does not support the option, keep-alive probes still cover idle connections.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// limitedReader fails with ErrTooLarge after remaining bytes or maxHeadLines lines while it is
// enabled. It limits the memory for the headers of a message. While it is enabled it also
// records what was read in head, see startHead.
type limitedReader struct {
	r         io.Reader
	remaining int
	enabled   bool
	head      []byte
	lines     int  // in head
	exceeded  bool // Read has failed with ErrTooLarge
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.enabled {
		return l.r.Read(p) //nolint:wrapcheck // the caller compares with io.EOF
	}
	if l.remaining <= 0 || l.lines > maxHeadLines {
		l.exceeded = true
		return 0, ErrTooLarge
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= n
	l.head = append(l.head, p[:n]...)
	l.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err //nolint:wrapcheck // the caller compares with io.EOF
}
