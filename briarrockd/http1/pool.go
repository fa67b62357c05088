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

// PoolConfig says how a Pool connects and what it keeps.
type PoolConfig struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// IdleTimeout is how long a connection is kept that no request uses, less where
	// the other side says that it closes sooner.
	IdleTimeout time.Duration
	// MaxConnsPerAddr bounds the connections to one address, the busy ones included; 0
	// for no bound. A request beyond it fails with ErrTooMany, unsent.
	MaxConnsPerAddr int
	// Matches, if set, tells whether an answer is the one to a request. Any
	// other answer is dropped, and the next one is read.
	Matches func(req *http.Request, res *http.Response) bool
}

// ErrTooManyConns says that all connections to an address are taken.
var ErrTooManyConns = errors.New("http1: too many connections")

// Pool keeps connections to any number of addresses. It implements
// http.RoundTripper. The zero value is not useful; NewPool makes one.
type Pool struct {
	cfg    PoolConfig
	mu     sync.Mutex
	byAddr map[string]*site
	closed bool
}

// site is what a pool has of one address.
type site struct {
	idle []*link // the one used last at the end
	open int
}

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = idleWithin
	}
	return &Pool{cfg: cfg, byAddr: make(map[string]*site)}
}

// RoundTrip implements http.RoundTripper. The request is written to one
// connection, once.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	x := newTrip(req)
	l, err := p.take(req.Context(), req.URL.Host, x)
	if err != nil {
		return nil, err
	}
	if tr := httptrace.ContextClientTrace(req.Context()); tr != nil && tr.GotConn != nil {
		tr.GotConn(httptrace.GotConnInfo{Conn: l.nc})
	}
	return l.roundTrip(x)
}

// take gives a trip a connection: the idle one that was used last, or else a
// new one.
func (p *Pool) take(ctx context.Context, addr string, x *trip) (*link, error) {
	for {
		l, err := p.pop(addr)
		if err != nil {
			return nil, err
		}
		if l == nil {
			break
		}
		if l.begin(x) {
			return l, nil
		}
	}
	nc, err := p.cfg.Dial(ctx, "tcp", addr)
	if err != nil {
		p.gone(addr)
		return nil, errors.WithStack(err)
	}
	l := newLink(p, addr, nc)
	l.begin(x)
	go l.read()
	return l, nil
}

// pop returns an idle connection, or nil after counting a new one as open.
func (p *Pool) pop(addr string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	s := p.byAddr[addr]
	if s == nil {
		s = new(site)
		p.byAddr[addr] = s
	}
	if n := len(s.idle); n > 0 {
		l := s.idle[n-1]
		s.idle = s.idle[:n-1]
		return l, nil
	}
	if p.cfg.MaxConnsPerAddr > 0 && s.open >= p.cfg.MaxConnsPerAddr {
		return nil, ErrTooManyConns
	}
	s.open++
	return nil, nil
}

// put keeps a connection for the next request.
func (p *Pool) put(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byAddr[l.addr]
	if p.closed || s == nil {
		return false
	}
	s.idle = append(s.idle, l)
	return true
}

// gone notes that a connection has ended, or could not be opened.
func (p *Pool) gone(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byAddr[addr]
	if s == nil {
		return
	}
	s.open--
	if s.open <= 0 && len(s.idle) == 0 {
		delete(p.byAddr, addr)
	}
}

// drop takes a connection that has ended from the idle ones.
func (p *Pool) drop(l *link) {
	p.mu.Lock()
	if s := p.byAddr[l.addr]; s != nil {
		for i, x := range s.idle {
			if x == l {
				s.idle = append(s.idle[:i], s.idle[i+1:]...)
				break
			}
		}
	}
	p.mu.Unlock()
	p.gone(l.addr)
}

// OpenConns returns how many connections are open.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.byAddr {
		n += s.open
	}
	return n
}

// CloseIdleConnections closes the connections that no request uses.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	var idle []*link
	for _, s := range p.byAddr {
		idle = append(idle, s.idle...)
	}
	p.mu.Unlock()
	for _, l := range idle {
		l.close(ErrClosed)
	}
}

// Close closes the idle connections, and lets the others end with their
// requests.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdleConnections()
}
