package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Path is a network path between two endpoints: a one-way delay, added in each
// direction, and, if Link is set, a bandwidth limit shared with other paths.
type Path struct {
	Delay time.Duration
	Link  *Link
}

// Link is a bandwidth limit that several connections share. It counts the bytes
// that cross it.
type Link struct {
	limiters [2]*rate.Limiter // one per direction
	mu       sync.Mutex
	bytes    int64
	cut      atomic.Bool
}

// Cut starts (on) or stops (off) discarding all data that crosses the link.
// Connections are not reset: both sides only stop receiving data. A connection
// that lost data stays dead after the link is restored.
func (l *Link) Cut(on bool) { l.cut.Store(on) }

// NewLink returns a link with a bandwidth of bytesPerSecond in each direction.
func NewLink(bytesPerSecond int) *Link {
	l := new(Link)
	for i := range l.limiters {
		l.limiters[i] = rate.NewLimiter(rate.Limit(bytesPerSecond), maxChunkBytes)
	}
	return l
}

// Bytes returns the number of bytes that crossed the link in both directions.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// transmit counts n bytes and waits until the bandwidth limit of the direction
// admits them.
func (l *Link) transmit(direction, n int) {
	l.mu.Lock()
	l.bytes += int64(n)
	l.mu.Unlock()
	_ = l.limiters[direction].WaitN(context.Background(), n)
}

// maxChunkBytes bounds the size of one read. It is also the burst of a link's
// limiters, since they reject a wait for more than the burst.
const maxChunkBytes = 64 << 10

// Shape returns a connection that adds the delay and the bandwidth limit of a
// path to c, to data written and to data read. It is applied by the side that
// dialed and covers both directions.
func Shape(c net.Conn, p Path) net.Conn {
	local, remote := net.Pipe()
	go forwardShaped(c, local, p, 0)
	go forwardShaped(local, c, p, 1)
	return &shapedConn{Conn: remote, underlying: c}
}

// shapedConn is the caller's end of a connection returned by Shape.
type shapedConn struct {
	net.Conn
	underlying net.Conn
}

// Close closes the pipe and the underlying connection.
func (s *shapedConn) Close() error {
	_ = s.Conn.Close()
	return s.underlying.Close() //nolint:wrapcheck // a test's connection
}

// LocalAddr returns that of the underlying connection.
func (s *shapedConn) LocalAddr() net.Addr { return s.underlying.LocalAddr() }

// RemoteAddr returns that of the underlying connection.
func (s *shapedConn) RemoteAddr() net.Addr { return s.underlying.RemoteAddr() }

// forwardShaped copies bytes from one connection to the other, each chunk after
// the path's delay. direction is the index of the link's limiter.
func forwardShaped(from, to net.Conn, p Path, direction int) {
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, maxChunkBytes)
			n, err := from.Read(b)
			if n > 0 {
				chunks <- chunk{b[:n:n], time.Now().Add(p.Delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	dropping := false
	for c := range chunks {
		if p.Link != nil && p.Link.cut.Load() {
			dropping = true // TCP would retransmit; this connection stays dead instead
		}
		if dropping {
			continue
		}
		if p.Link != nil {
			p.Link.transmit(direction, len(c.b))
		}
		time.Sleep(time.Until(c.at))
		if _, err := to.Write(c.b); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range chunks {
	}
}
