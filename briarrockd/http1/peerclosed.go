package http1

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// isPeerClosed reports whether the peer has closed or reset a connection that has no
// unread bytes. It neither blocks nor consumes bytes.
//
// Under load a request may be read long after it was received, when the caller has
// already timed out and closed the connection. Only the next read would detect that, and
// by then the request would have been forwarded to a target.
func isPeerClosed(nc net.Conn) bool {
	c, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == nil {
			closed = n == 0
			return
		}
		closed = errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ETIMEDOUT)
	})
	return closed || err != nil
}
