package lab

import (
	"net"
	"sync"
	"sync/atomic"
)

// Proxy forwards TCP connections to one address. Open connections can be silenced: they
// stay open, and nothing passes any more in either direction. New ones work.
type Proxy struct {
	Addr  string
	to    string
	l     net.Listener
	mu    sync.Mutex
	conns map[*proxied]struct{}
}

type proxied struct {
	client, server net.Conn
	silent         atomic.Bool
}

// NewProxy starts a proxy.
func NewProxy(addr, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: l.Addr().String(), to: to, l: l, conns: make(map[*proxied]struct{})}
	go p.accept()
	return p, nil
}

func (p *Proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		x := &proxied{client: c, server: s}
		p.mu.Lock()
		p.conns[x] = struct{}{}
		p.mu.Unlock()
		go x.copy(s, c)
		go func() {
			x.copy(c, s)
			p.mu.Lock()
			delete(p.conns, x)
			p.mu.Unlock()
		}()
	}
}

// copy forwards bytes. On a silent connection it discards them, and the end of one side
// does not reach the other.
func (x *proxied) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if x.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// Silence silences all open connections and returns their number.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.conns {
		x.silent.Store(true)
	}
	return len(p.conns)
}

// Open returns the number of open connections by the IP address of the client.
func (p *Proxy) Open() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int)
	for x := range p.conns {
		host, _, _ := net.SplitHostPort(x.client.RemoteAddr().String())
		out[host]++
	}
	return out
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.conns {
		_ = x.client.Close()
		_ = x.server.Close()
	}
}
