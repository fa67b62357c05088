package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Dial opens a connection, which must be of package tcp: a response may end with it.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// IdleTimeout is how long an idle connection is kept; less if the server
	// announces a shorter time in the Keep-Alive header.
	IdleTimeout time.Duration
	// MaxConnsPerAddr limits the connections to one address, idle and active; 0
	// means no limit. A request over the limit fails with ErrTooManyConns and is
	// not sent.
	MaxConnsPerAddr int
	// ResponseMatches, if set, reports which responses belong to a request. One that does
	// not match is discarded, and the next one is read.
	ResponseMatches ResponseMatcher
}

// ResponseMatcher reports whether a response belongs to a request. first is set for the
// first response on a connection, which cannot be a late one to an earlier request.
type ResponseMatcher func(req *http.Request, res *http.Response, first bool) bool

// ErrTooManyConns is returned if all connections allowed to an address are in use.
var ErrTooManyConns = errors.New("http1: connection limit of the address reached")

// Pool is an http.RoundTripper that keeps idle connections to any number of addresses.
// The zero value cannot be used; call NewPool.
type Pool struct {
	cfg    PoolConfig
	mu     sync.Mutex
	byAddr map[string]*addrConns
	closed bool
}

// addrConns are a pool's connections to one address.
type addrConns struct {
	idle []*persistConn // the most recently used one last
	open int            // idle, active and being opened
}

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	return &Pool{cfg: cfg, byAddr: make(map[string]*addrConns)}
}

// RoundTrip implements http.RoundTripper. It sends the request on one connection and
// does not retry.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	// A request on an idle connection would be written before the end of its context closes
	// the connection.
	if req.Context().Err() != nil {
		return nil, errors.WithStack(context.Cause(req.Context()))
	}
	pr := newPendingRequest(req)
	pc, err := p.getConn(req.Context(), req.URL.Host, pr)
	if err != nil {
		return nil, err
	}
	if tr := httptrace.ContextClientTrace(req.Context()); tr != nil && tr.GotConn != nil {
		tr.GotConn(httptrace.GotConnInfo{Conn: pc.nc})
	}
	return pc.roundTrip(pr)
}

// getConn assigns a connection to a request: the most recently used idle one, or else
// a new one.
func (p *Pool) getConn(ctx context.Context, addr string, pr *pendingRequest) (*persistConn, error) {
	for {
		pc, err := p.popIdle(addr)
		if err != nil {
			return nil, err
		}
		if pc == nil {
			break
		}
		if pc.acquire(pr) {
			return pc, nil
		}
	}
	nc, err := p.cfg.Dial(ctx, "tcp", addr)
	if err != nil {
		p.decrementOpen(addr)
		return nil, errors.WithStack(err)
	}
	pc := newPersistConn(p, addr, nc)
	pc.acquire(pr)
	go pc.readLoop()
	return pc, nil
}

// popIdle takes an idle connection out of the pool. If there is none, it returns nil
// after counting the connection that the caller is going to open.
func (p *Pool) popIdle(addr string) (*persistConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	conns := p.byAddr[addr]
	if conns == nil {
		conns = new(addrConns)
		p.byAddr[addr] = conns
	}
	if n := len(conns.idle); n > 0 {
		pc := conns.idle[n-1]
		conns.idle = conns.idle[:n-1]
		return pc, nil
	}
	if p.cfg.MaxConnsPerAddr > 0 && conns.open >= p.cfg.MaxConnsPerAddr {
		return nil, ErrTooManyConns
	}
	conns.open++
	return nil, nil
}

// putIdle adds an idle connection to the pool. It returns false if the pool is closed.
func (p *Pool) putIdle(pc *persistConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byAddr[pc.addr]
	if p.closed || conns == nil {
		return false
	}
	conns.idle = append(conns.idle, pc)
	return true
}

// decrementOpen is called when a connection was closed or could not be opened.
func (p *Pool) decrementOpen(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byAddr[addr]
	if conns == nil {
		return
	}
	conns.open--
	if conns.open <= 0 && len(conns.idle) == 0 {
		delete(p.byAddr, addr)
	}
}

// remove removes a closed connection from the pool.
func (p *Pool) remove(pc *persistConn) {
	p.mu.Lock()
	if conns := p.byAddr[pc.addr]; conns != nil {
		for i, c := range conns.idle {
			if c == pc {
				conns.idle = append(conns.idle[:i], conns.idle[i+1:]...)
				break
			}
		}
	}
	p.mu.Unlock()
	p.decrementOpen(pc.addr)
}

// OpenConns returns the number of connections that are open or being opened.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, conns := range p.byAddr {
		n += conns.open
	}
	return n
}

// CloseIdleConnections closes the idle connections.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	var idle []*persistConn
	for _, conns := range p.byAddr {
		idle = append(idle, conns.idle...)
	}
	p.mu.Unlock()
	for _, pc := range idle {
		pc.close(ErrClosed)
	}
}

// Close closes the idle connections. Active connections are closed when their requests
// have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdleConnections()
}
