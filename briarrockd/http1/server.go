package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/mesh/snapshot"
)

// Bounds of a server where its Limits set none.
const (
	// maxHead bounds the head of a request.
	maxHead = 64 << 10
	// headWithin bounds the time from a head's first byte to its last.
	headWithin = 10 * time.Second
	// idleWithin bounds the time between two requests on a connection.
	idleWithin = 2 * time.Minute
	// writeWithin bounds the writing of one piece of an answer: a caller that
	// doesn't read must not hold its answer in memory for good.
	writeWithin = 10 * time.Second
	// bodyWithin bounds the time without a byte of a body.
	bodyWithin = 10 * time.Second
	// maxPipeline bounds the requests of one connection that are under way.
	maxPipeline = 16
	// acceptPause is the wait after a failed accept, for want of descriptors
	// as a rule.
	acceptPause = 50 * time.Millisecond
)

// ServerConfig is what a Server needs.
type ServerConfig struct {
	Handler http.Handler
	// Limits, if set, returns the bounds for callers at the moment.
	Limits func() snapshot.Limits
	// MaxConns bounds the open connections; 0 for no bound. One more takes the
	// place of an idle one, and is closed as soon as it is opened if none is idle.
	MaxConns int
	// OnPanic, if set, is told of a handler that panicked.
	OnPanic func(v any, stack []byte)
}

// Server serves connections. NewServer makes one.
type Server struct {
	cfg      ServerConfig
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	ending   bool
	closed   bool
	wg       sync.WaitGroup
}

// NewServer returns a server that serves nothing yet.
func NewServer(cfg ServerConfig) *Server {
	if cfg.OnPanic == nil {
		cfg.OnPanic = func(any, []byte) {}
	}
	s := &Server{cfg: cfg, conns: make(map[*conn]struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// limits are the configured bounds, with the package's own for what is unset.
func (s *Server) limits() snapshot.Limits {
	var l snapshot.Limits
	if s.cfg.Limits != nil {
		l = s.cfg.Limits()
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = maxHead
	}
	if l.HeaderTime == 0 {
		l.HeaderTime = headWithin
	}
	if l.IdleTime == 0 {
		l.IdleTime = idleWithin
	}
	return l
}

// Serve takes connections from l until the server is closed, which also
// closes l. It returns ErrClosed then.
func (s *Server) Serve(l net.Listener) error {
	stop := context.AfterFunc(s.ctx, func() { _ = l.Close() })
	defer stop()
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.serve(nc)
		case s.ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return ErrClosed
		default:
			time.Sleep(acceptPause)
		}
	}
}

func (s *Server) serve(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.evictIdle() {
		_ = nc.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.wg.Go(func() {
		c.serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
}

// Drain makes every answer from now on say that its connection closes.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// overConnLimit is the part of MaxConns, as overConnLimit/overConnLimitOf, from which on answers
// close their connections. Callers who were refused come back on a new one and
// leave the old one open: in a rush these would take all descriptors, and none
// would be left for the way to the targets.
const (
	overConnLimit   = 1
	overConnLimitOf = 2
)

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// sheds tells whether answers should close their connections.
func (s *Server) sheds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || (s.cfg.MaxConns > 0 && len(s.conns)*overConnLimitOf > s.cfg.MaxConns*overConnLimit)
}

// evictIdle tells whether there is room for one more connection, once an idle one
// has been closed if need be.
func (s *Server) evictIdle() bool {
	if s.cfg.MaxConns == 0 || len(s.conns) < s.cfg.MaxConns {
		return true
	}
	for c := range s.conns {
		if c.closeIfIdle() {
			delete(s.conns, c)
			return true
		}
	}
	return false
}

// Shutdown closes connections as they become idle, and returns when there are
// none left or ctx ends. Requests that have been read are answered.
func (s *Server) Shutdown(ctx context.Context) {
	const look = 20 * time.Millisecond // far below what anybody waits for
	s.Drain()
	tick := time.NewTicker(look)
	defer tick.Stop()
	for ctx.Err() == nil && s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	s.cutShort()
	for end := time.Now().Add(cutWithin); time.Now().Before(end) && s.closeIdle() > 0; {
		time.Sleep(look)
	}
	s.Close()
}

// cutWithin is the time for the last answers once handlers have been cut short.
const cutWithin = 100 * time.Millisecond

// cutShort ends the work of handlers whose answers share a connection. One that is
// ready may be waiting for the one before it, and would be lost with that: once the
// earlier request has been given up, both are answered.
func (s *Server) cutShort() {
	s.mu.Lock()
	s.ending = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.cutShort()
	}
}

func (s *Server) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// closeIdle closes idle connections and returns how many others there are.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.conns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

// OpenConns returns how many connections are open.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// PendingRequests returns how many requests are under way.
func (s *Server) PendingRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.pendingNow()
	}
	return n
}

// Close ends all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.cancel()
	for c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
