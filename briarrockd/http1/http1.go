// Package http1 speaks HTTP/1.1 with callers, targets and other nodes.
//
// Server serves an http.Handler. Unlike the one in net/http it handles the
// requests that a caller pipelines on one connection at the same time, and
// gives their answers in order: a short request then doesn't wait for the
// work of a long one before it. It notices at any time that a caller has gone.
//
//	s := http1.NewServer(http1.ServerConfig{Handler: h, Limits: limits})
//	go s.Serve(listener)
//	s.Drain()       // answers say from now on that their connection closes
//	s.Shutdown(ctx) // no request that has been read is cut off
//
// Pool is an http.RoundTripper over kept connections. It sends each request
// once, and tells by httptrace which connection it used, so that package relay
// can say whether any byte of the request has left. An answer that belongs to
// another request is never given to this one.
//
// The syntax of requests and answers is read by net/http.
package http1

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Sentinel errors of connections.
var (
	// ErrClosed says that a server or a connection has been closed.
	ErrClosed = errors.New("http1: closed")
	// ErrTooLarge says that a head or a body is larger than allowed.
	ErrTooLarge = errors.New("http1: too large")
	// ErrUnsolicited says that bytes came that no request had asked for.
	ErrUnsolicited = errors.New("http1: bytes without a request")
)

// bufferSize is enough for the head of nearly every message; each connection
// keeps one buffer of this size for reading.
const bufferSize = 4 << 10

// How a silent connection is found.
const (
	// probeEvery is the time between the probes of an idle connection, and
	// until the first one: a second is the least that the kernel takes.
	probeEvery = time.Second
	// probeTries is how many probes may go unanswered. A peer that is cut off
	// is noticed within three seconds.
	probeTries = 2
	// ackWithin is how long sent bytes may stay unacknowledged. It leaves room
	// for a few packets lost in a row between regions.
	ackWithin = 2 * time.Second
)

func probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeTries}
}

// ListenConfig returns how to listen so that callers who vanish without a
// word are noticed.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: probes(), Control: boundAck}
}

// Dialer returns how to connect: each try ends after timeout, and a
// connection whose other side has vanished is noticed.
//
// Without it a request on a connection that was cut would wait for its whole
// deadline, since the kernel goes on sending for a quarter of an hour.
func Dialer(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAliveConfig: probes(), Control: boundAck}
	return d.DialContext
}

// boundAck bounds the time that sent bytes may stay unacknowledged. Where the
// kernel doesn't know the option, the probes still find idle connections.
func boundAck(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackWithin.Milliseconds()))
	})
}

// bounded lets at most left bytes through while it is armed: the head of a
// message must not fill the memory.
type bounded struct {
	r     io.Reader
	left  int
	armed bool
}

// Read implements io.Reader.
func (b *bounded) Read(p []byte) (int, error) {
	if !b.armed {
		return b.r.Read(p) //nolint:wrapcheck // io.EOF must pass as it is
	}
	if b.left <= 0 {
		return 0, ErrTooLarge
	}
	if len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= n
	return n, err //nolint:wrapcheck // io.EOF must pass as it is
}
