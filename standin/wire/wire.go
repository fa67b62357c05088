// Package wire provides network faults for tests: a TCP proxy that injects
// latency, bandwidth limits and connection failures between two processes, and
// in-process connections with the latency and bandwidth of a network path.
//
//	p, _ := wire.New("127.0.0.1:0", "127.0.0.1:7400")
//	p.Set(wire.Fault{Delay: 20 * time.Millisecond, Rate: 30e6 / 8}) // 30 Mbit/s
//	p.Set(wire.Fault{Cut: true}) // closes open connections and each new one
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
	// Cut closes open connections, and new ones as soon as they are accepted.
	Cut bool
}

// Proxy forwards TCP connections to one upstream address.
type Proxy struct {
	l            net.Listener
	upstreamAddr string
	mu           sync.Mutex
	fault        Fault
	conns        map[*proxiedConn]struct{}
	wg           sync.WaitGroup
	bytes        atomic.Int64
}

// proxiedConn is one proxied connection.
type proxiedConn struct {
	client, upstream net.Conn
	blackholed       atomic.Bool
}

func (c *proxiedConn) close() {
	_ = c.client.Close()
	_ = c.upstream.Close()
}

// New listens at addr and forwards connections to upstreamAddr.
func New(addr, upstreamAddr string) (*Proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &Proxy{l: l, upstreamAddr: upstreamAddr, conns: make(map[*proxiedConn]struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens at.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

// Bytes returns the number of bytes forwarded in both directions.
func (p *Proxy) Bytes() int64 { return p.bytes.Load() }

// Set replaces the injected faults. Blackhole applies only to the connections
// that are open at the call.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.conns {
		if f.Blackhole {
			c.blackholed.Store(true)
		}
		if f.Cut {
			c.close()
		}
	}
	p.fault.Blackhole = false
}

// Close closes the listener and all connections, and waits for them to end.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.Set(Fault{Cut: true})
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		client, err := p.l.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(client) })
	}
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) serve(client net.Conn) {
	f := p.currentFault()
	if f.Cut {
		_ = client.Close()
		return
	}
	upstream, err := net.DialTimeout("tcp", p.upstreamAddr, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxiedConn{client: client, upstream: upstream}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, client, upstream) })
	wg.Go(func() { p.forward(c, upstream, client) })
	wg.Wait()
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// chunk is the data of one read and the earliest time at which it may be
// forwarded.
type chunk struct {
	b  []byte
	at time.Time
}

// maxQueuedChunks bounds the chunks that are queued in one direction.
const maxQueuedChunks = 256

// forward copies bytes from one side to the other. Separate goroutines read
// and write, so that the delay does not limit the throughput.
func (p *Proxy) forward(c *proxiedConn, from, to net.Conn) {
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				chunks <- chunk{b[:n], time.Now().Add(p.currentFault().Delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for ch := range chunks {
		time.Sleep(time.Until(ch.at))
		if c.blackholed.Load() || (from == c.client && p.currentFault().DropFromClient) {
			continue
		}
		if rate := p.currentFault().Rate; rate > 0 {
			time.Sleep(time.Duration(len(ch.b)) * time.Second / time.Duration(rate))
		}
		p.bytes.Add(int64(len(ch.b)))
		if _, err := to.Write(ch.b); err != nil {
			c.close()
		}
	}
	if !c.blackholed.Load() {
		c.close()
	}
}
