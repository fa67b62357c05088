// Package tcp returns the error of a TCP connection to its reader, also if a write has
// received it first.
//
// The kernel reports an error such as a reset once. If a write receives it, the reads after it
// return the end of the stream, as they do after the peer has closed the connection. A response
// whose end is that of its connection would then look complete.
package tcp

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a dial function whose connections are opened by dial and of type Conn.
// Connections that have no file descriptor are returned as they are.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		sc, ok := nc.(syscall.Conn)
		if !ok {
			return nc, nil
		}
		raw, err := sc.SyscallConn()
		if err != nil {
			_ = nc.Close()
			return nil, errors.WithStack(err)
		}
		return &Conn{Conn: nc, raw: raw}, nil
	}
}

// Conn is a TCP connection. Its Read returns io.EOF only if the peer has ended the stream.
type Conn struct {
	net.Conn
	raw syscall.RawConn

	writing  sync.Mutex // held during writes
	writeErr error      // the connection's error, if a write has received it; guarded by writing
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if isConnError(err) {
		c.writeErr = err
	}
	return n, err //nolint:wrapcheck // callers inspect the type of the error
}

// isConnError reports whether an error of a write is that of a connection whose peer has not
// ended the stream. If the peer has ended it before a reset, the kernel's error is EPIPE.
func isConnError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF || !c.isDown() { //nolint:errorlint // net.Conn returns io.EOF itself
		return n, err //nolint:wrapcheck // callers inspect the type of the error
	}
	// A write may have received the error and not recorded it yet.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		err = c.writeErr
	}
	return n, err //nolint:wrapcheck // callers inspect the type of the error
}

// isDown reports whether the connection has ended in both directions, so that no write waits for
// the peer. After the peer has only ended its own stream, a write may wait for long.
func (c *Conn) isDown() bool {
	down := false
	err := c.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}} // POLLHUP is reported in any case
		n, err := unix.Poll(fds, 0)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(fds, 0)
		}
		down = n > 0 && fds[0].Revents&unix.POLLHUP != 0
	})
	return down || err != nil
}
