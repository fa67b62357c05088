package http1

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// closeCheckInterval is the interval at which a connection is checked for the peer's close
// while it is not being read. It is short compared with the half second after which a
// request whose caller has closed the connection must not reach a target any more.
const closeCheckInterval = 100 * time.Millisecond

// isPeerClosed reports whether the peer has closed or reset a connection, also if there are
// unread bytes before that. It neither blocks nor consumes bytes.
//
// Under load a request may be read long after it was received, when the caller has
// already timed out and closed the connection. Only a read behind the request would detect
// that, and by then the request would have been forwarded to a target.
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
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(fds, 0)
		}
		closed = n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}

// awaitUnread waits until one of two channels is closed. Since the connection is not being
// read meanwhile, it cancels the requests if the peer closes it.
func (c *conn) awaitUnread(a, b <-chan struct{}) {
	defer c.stopCloseCheck()
	for {
		select {
		case <-a:
			return
		case <-b:
			return
		case <-c.nextCloseCheck():
			if isPeerClosed(c.nc) {
				c.cancel()
			}
		}
	}
}

// awaitSlot waits until fewer than maxPipelinedRequests are pending. It returns false if
// the connection was closed.
func (c *conn) awaitSlot() bool {
	select {
	case c.pipelineSlots <- struct{}{}:
		return true
	default:
	}
	defer c.stopCloseCheck()
	for {
		select {
		case c.pipelineSlots <- struct{}{}:
			return true
		case <-c.ctx.Done():
			return false
		case <-c.nextCloseCheck():
			if isPeerClosed(c.nc) {
				c.cancel()
			}
		}
	}
}

// nextCloseCheck returns a channel that receives after closeCheckInterval.
func (c *conn) nextCloseCheck() <-chan time.Time {
	if c.closeCheck == nil {
		c.closeCheck = time.NewTimer(closeCheckInterval)
	} else {
		c.closeCheck.Reset(closeCheckInterval)
	}
	return c.closeCheck.C
}

func (c *conn) stopCloseCheck() {
	if c.closeCheck != nil {
		c.closeCheck.Stop()
	}
}
