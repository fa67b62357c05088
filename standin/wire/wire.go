// Package wire is a small fault-injecting TCP proxy for tests: it stands
// between two processes and delays, slows, cuts or silences what they say.
//
//	p, _ := wire.New("127.0.0.1:0", "127.0.0.1:7400")
//	p.Set(wire.Fault{Delay: 20 * time.Millisecond, Rate: 30e6 / 8})
//	p.Cut() // resets open connections and refuses new ones
package wire

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Fault is the set of faults that a Proxy injects.
type Fault struct {
	// Delay is the latency added in each direction.
	Delay time.Duration
	// Rate is the bandwidth limit of each connection in bytes per second, in
	// each direction; 0 for no limit.
	Rate int
	// Blackhole discards all data on connections that are open when the fault
	// is set and leaves them open. New connections work.
	Blackhole bool
	// DropFromClient discards the data sent by the side that opened the
	// connection, on open and on new connections (a one-way partition).
	DropFromClient bool
	// Cut closes open connections and refuses new ones.
	Cut bool
}

// Proxy passes connections on to one address.
type Proxy struct {
	l     net.Listener
	to    string
	mu    sync.Mutex
	fault Fault
	conns map[*pair]struct{}
	wg    sync.WaitGroup
	bytes atomic.Int64
}

// pair is one proxied connection.
type pair struct {
	near, far net.Conn
	silent    atomic.Bool
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

// New listens at addr and passes connections on to the address to.
func New(addr, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &Proxy{l: l, to: to, conns: make(map[*pair]struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr is the address that the proxy listens at.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

// Bytes is how many bytes have passed, both directions added up.
func (p *Proxy) Bytes() int64 { return p.bytes.Load() }

// Set changes the fault from now on. Silent hits the connections open now.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.conns {
		if f.Blackhole {
			c.silent.Store(true)
		}
		if f.Cut {
			c.close()
		}
	}
	p.fault.Blackhole = false
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.Set(Fault{Cut: true})
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		near, err := p.l.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(near) })
	}
}

func (p *Proxy) now() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) serve(near net.Conn) {
	f := p.now()
	if f.Cut {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &pair{near: near, far: far}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(c, near, far) })
	wg.Go(func() { p.pump(c, far, near) })
	wg.Wait()
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// piece is some bytes and when they may be passed on.
type piece struct {
	b  []byte
	at time.Time
}

// maxPieces bounds what is on its way in one direction.
const maxPieces = 256

// pump passes bytes from one side to the other. Reading and writing are apart,
// so that a delay does not bound the rate.
func (p *Proxy) pump(c *pair, from, to net.Conn) {
	way := make(chan piece, maxPieces)
	go func() {
		defer close(way)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				way <- piece{b[:n], time.Now().Add(p.now().Delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for x := range way {
		time.Sleep(time.Until(x.at))
		if c.silent.Load() || (from == c.near && p.now().DropFromClient) {
			continue
		}
		if rate := p.now().Rate; rate > 0 {
			time.Sleep(time.Duration(len(x.b)) * time.Second / time.Duration(rate))
		}
		p.bytes.Add(int64(len(x.b)))
		if _, err := to.Write(x.b); err != nil {
			c.close()
		}
	}
	if !c.silent.Load() {
		c.close()
	}
}
