package http1

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/mesh/snapshot"
)

// Limits of a server. Those with the prefix default apply if ServerConfig.Limits sets none.
const (
	// defaultHeaderBytes limits the request line and headers of a request.
	defaultHeaderBytes = 64 << 10
	// defaultHeaderTimeout limits the time from the first byte of a request to the end
	// of its headers.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout limits the time between two requests on a connection.
	defaultIdleTimeout = 2 * time.Minute
	// writeTimeout limits each write. The response to a caller that does not read
	// would otherwise stay in memory forever.
	writeTimeout = 10 * time.Second
	// bodyReadTimeout limits each read of a request body: the time for which the
	// client may send no byte of it.
	bodyReadTimeout = 10 * time.Second
	// maxPipelinedRequests limits the pending requests of one connection.
	maxPipelinedRequests = 16
	// acceptRetryDelay is the delay after a failed accept, which usually means that no
	// file descriptor is available.
	acceptRetryDelay = 50 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Handler http.Handler
	// Limits, if set, returns the current limits for callers.
	Limits func() snapshot.Limits
	// MaxConns limits the open connections; 0 means no limit. At the limit, a new
	// connection evicts an idle one; if none is idle, the new connection is closed.
	MaxConns int
	// ServesNodes is set if all clients are nodes, which are trusted to send no body after a
	// rejected request with HeaderHeld. Such a body would be read as a request.
	ServesNodes bool
	// HTTP2, if set, takes over each connection that begins with the preface of HTTP/2, and
	// must close it. Without it such a connection is rejected.
	HTTP2 func(net.Conn)
	// OnPanic, if set, is called with the value and the stack of a handler's panic.
	OnPanic func(v any, stack []byte)
	// OnReject, if set, is called for each request that is rejected without the handler, with
	// the client's address, the status of the response and the reason.
	OnReject func(remote string, status int, reason string)
}

// Server is an HTTP/1.1 server. Create it with NewServer.
type Server struct {
	cfg    ServerConfig
	ctx    context.Context
	cancel context.CancelFunc
	// The writing of responses needs only these, and not mu.
	draining     atomic.Bool // Drain was called
	shuttingDown atomic.Bool // Shutdown has canceled pipelined requests
	openConns    atomic.Int64
	mu           sync.Mutex
	conns        map[*conn]struct{}
	closed       bool
	wg           sync.WaitGroup
}

// NewServer returns a server. Serve starts it.
func NewServer(cfg ServerConfig) *Server {
	if cfg.OnPanic == nil {
		cfg.OnPanic = func(any, []byte) {}
	}
	if cfg.OnReject == nil {
		cfg.OnReject = func(string, int, string) {}
	}
	s := &Server{cfg: cfg, conns: make(map[*conn]struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// limits returns the configured limits, with the defaults for those that are not set.
func (s *Server) limits() snapshot.Limits {
	var l snapshot.Limits
	if s.cfg.Limits != nil {
		l = s.cfg.Limits()
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTime == 0 {
		l.HeaderTime = defaultHeaderTimeout
	}
	if l.IdleTime == 0 {
		l.IdleTime = defaultIdleTimeout
	}
	return l
}

// Serve accepts connections from l until the server is closed, which also closes l. It
// then returns ErrClosed.
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
			time.Sleep(acceptRetryDelay)
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
	s.updateOpenConns()
	s.wg.Go(func() {
		c.serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
		s.updateOpenConns()
	})
}

// updateOpenConns is called when conns has changed. s.mu must be held.
func (s *Server) updateOpenConns() { s.openConns.Store(int64(len(s.conns))) }

// Drain makes responses close their connections, with the header "Connection: close".
// While later pipelined requests are being handled, a connection stays open for their
// responses.
func (s *Server) Drain() { s.draining.Store(true) }

// If more than shedConnsNumerator/shedConnsDenominator of MaxConns are open, responses
// close their connections. Callers that were rejected retry on a new connection and leave
// the old one open. In an overload these idle connections would use up all file
// descriptors, and none would be left for the connections to targets.
const (
	shedConnsNumerator   = 1
	shedConnsDenominator = 2
)

// shouldCloseConns reports whether responses close their connections.
func (s *Server) shouldCloseConns() bool {
	return s.draining.Load() || (s.cfg.MaxConns > 0 && s.OpenConns()*shedConnsDenominator > s.cfg.MaxConns*shedConnsNumerator)
}

// evictIdle makes sure that one more connection can be added, by closing an idle one if
// MaxConns is reached. It returns false if none is idle. s.mu must be held.
func (s *Server) evictIdle() bool {
	if s.cfg.MaxConns == 0 || len(s.conns) < s.cfg.MaxConns {
		return true
	}
	for c := range s.conns {
		if c.closeIfIdle() {
			delete(s.conns, c)
			s.updateOpenConns()
			return true
		}
	}
	return false
}

// Shutdown drains the server and closes connections as they become idle, until none is
// left or ctx ends. Until then it sends the responses to all requests that were read.
// It then cancels pipelined requests and closes the remaining connections.
func (s *Server) Shutdown(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond // short compared with the time that a shutdown takes
	s.Drain()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && s.closeIdleConns() > 0 {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	s.cancelPipelined()
	for end := time.Now().Add(canceledResponseTimeout); time.Now().Before(end) && s.closeIdleConns() > 0; {
		time.Sleep(pollInterval)
	}
	s.Close()
}

// canceledResponseTimeout is the time for sending the last responses after pipelined
// requests were canceled.
const canceledResponseTimeout = 100 * time.Millisecond

// cancelPipelined cancels the requests on connections with several of them. A response
// that is ready may be waiting for that to an earlier request on the connection, and
// would be lost when the connection is closed. After the earlier request was canceled,
// both responses can be sent.
func (s *Server) cancelPipelined() {
	s.shuttingDown.Store(true)
	for _, c := range s.listConns() {
		c.cancelPipelined()
	}
}

// listConns returns the open connections.
func (s *Server) listConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// closeIdleConns closes the idle connections and returns the number of active ones.
func (s *Server) closeIdleConns() int {
	busy := 0
	for _, c := range s.listConns() {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int { return int(s.openConns.Load()) }

// PendingRequests returns the number of requests that were read and whose responses are
// not complete.
func (s *Server) PendingRequests() int {
	n := 0
	for _, c := range s.listConns() {
		n += c.pendingCount()
	}
	return n
}

// Close closes all connections immediately and waits for their handlers to return.
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
