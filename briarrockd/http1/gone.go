package http1

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// hasGone tells whether the other side has closed or reset a connection on which
// no more bytes wait to be read. It doesn't block, and takes nothing from the
// connection.
//
// Under load a request may be read long after it has come, when its caller has
// given up and closed. Its end is only seen by the next read, and by then the
// request would be on its way to a target.
func hasGone(nc net.Conn) bool {
	c, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == nil {
			gone = n == 0
			return
		}
		gone = errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ETIMEDOUT)
	})
	return gone || err != nil
}
