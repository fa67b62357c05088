package http1

import (
	"bytes"
	"net"
	"sync"
)

// The preface of HTTP/2 (RFC 9113, section 3.4), which has the form of a request's head with
// further bytes.
const (
	prefaceHead = "PRI * HTTP/2.0\r\n\r\n"
	prefaceRest = "SM\r\n\r\n"
)

// beginsHTTP2 reports whether a connection whose first head was read begins with the preface of
// HTTP/2.
func (c *conn) beginsHTTP2(head []byte) bool {
	if string(head) != prefaceHead {
		return false
	}
	rest, err := c.br.Peek(len(prefaceRest))
	return err == nil && string(rest) == prefaceRest
}

// handOver passes the connection to ServerConfig.HTTP2, with all that was read from it, and
// waits until it is closed. Until then it counts as a connection with a pending request.
func (c *conn) handOver(head []byte) {
	defer c.cancel()
	if !c.addPending() {
		return
	}
	buffered, _ := c.br.Peek(c.br.Buffered()) // cannot fail
	nc := &handedConn{Conn: c.nc, unread: append(bytes.Clone(head), buffered...), closed: make(chan struct{})}
	c.s.cfg.HTTP2(nc)
	<-nc.closed
}

// handedConn is a connection that first returns bytes that were already read from it.
type handedConn struct {
	net.Conn
	unread    []byte
	closed    chan struct{}
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *handedConn) Read(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.Conn.Read(p) //nolint:wrapcheck // net/http inspects the type of the error
}

// Close implements net.Conn.
func (c *handedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { close(c.closed) })
	return err //nolint:wrapcheck // passed through
}
