package node

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/keys"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
)

// Limits and timeouts of the HTTP servers and of the connections between nodes.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// dialTimeout is far above the round-trip time between two regions, but short
	// enough that a call to a partitioned domain does not use up its deadline.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections to one other node.
	maxIdleConns = 64
	// peerIdleTimeout is how long an idle connection to another node is kept. It
	// outlasts a short pause in traffic. After a burst of traffic it frees the
	// buffers of the connections that are no longer needed. The other side keeps
	// the connection for idleTimeout, which is longer, so this side closes it
	// first.
	peerIdleTimeout = 20 * time.Second
	// maxStreams is the maximum number of concurrent HTTP/2 streams of one
	// connection.
	maxStreams = 1000
	// pingIdleTime and pingTimeout detect an unresponsive connection: two seconds
	// after its last byte it is closed and a new one is opened.
	pingIdleTime = time.Second
	pingTimeout  = time.Second
	// maxStreamBuffer is how much of an HTTP/2 response is received ahead of the caller
	// that reads it. Every call may use that much memory.
	maxStreamBuffer = 256 << 10
)

func (n *Node) scheme() string {
	if n.keys == nil {
		return "http"
	}
	return "https"
}

func protocols(allowHTTP1, allowUnencryptedHTTP2 bool) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(allowHTTP1)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(allowUnencryptedHTTP2)
	return p
}

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:      maxStreams,
		MaxReceiveBufferPerStream: maxStreamBuffer,
		SendPingTimeout:           pingIdleTime,
		PingTimeout:               pingTimeout,
	}
}

// maxConns is the maximum number of open connections of each listener. Package
// peer counts the connections of the peer listener itself.
var maxConns = map[string]int{callerListener: 8192, callListener: 4096, peerListener: 4096, operatorListener: 256, announceListener: 64}

// The limit of open file descriptors divided by callerFilesDivisor bounds the
// connections of callers, and divided by callFilesDivisor those of other nodes.
// The remaining descriptors are for connections to other nodes and to targets,
// without which a node can't serve any call.
const (
	callerFilesDivisor = 2
	callFilesDivisor   = 4
)

// maxConns returns the maximum number of connections of a listener, within the
// limit of file descriptors.
func (n *Node) maxConns(name string) int {
	limit, files := maxConns[name], n.platform.MaxFiles
	switch {
	case files == 0:
		return limit
	case name == callerListener:
		return min(limit, files/callerFilesDivisor)
	case name == callListener:
		return min(limit, files/callFilesDivisor)
	default:
		return limit
	}
}

// server is the part of a server that a node uses. http1.Server and netServer
// implement it.
type server interface {
	// Drain makes each response announce that its connection closes, so that
	// clients send their next requests elsewhere.
	Drain()
	// Shutdown waits for the requests in flight until ctx ends.
	Shutdown(ctx context.Context)
	// Close closes all connections at once.
	Close()
}

// netServer implements server with net/http.
type netServer struct{ s *http.Server }

// Drain implements server.
func (s netServer) Drain() { s.s.SetKeepAlivesEnabled(false) }

// Shutdown implements server.
func (s netServer) Shutdown(ctx context.Context) { _ = s.s.Shutdown(ctx) } // it fails only if ctx ends

// Close implements server.
func (s netServer) Close() { _ = s.s.Close() } // an error of closing the listener has no consequence

// transport is the part of an HTTP transport to other nodes that a node uses.
type transport interface {
	http.RoundTripper
	CloseIdleConnections()
}

// serveHTTP1 runs an http1.Server on one of the node's listeners.
func (n *Node) serveHTTP1(name string, cfg http1.ServerConfig) {
	cfg.MaxConns = n.maxConns(name)
	cfg.OnPanic = n.logPanic
	cfg.OnReject = func(remote string, status int, reason string) { n.logMalformed(name, remote, status, reason) }
	s := http1.NewServer(cfg)
	n.servers = append(n.servers, s)
	l := n.listeners[name]
	n.wg.Go(func() { _ = s.Serve(l) }) // it returns when it is closed
}

// serve runs a net/http server on one of the node's listeners.
func (n *Node) serve(name string, h http.Handler, tlsConfig *tls.Config) {
	s := n.newServer(closeUnread(h), protocols(true, true))
	s.TLSConfig = tlsConfig
	l := netutil.LimitListener(n.listeners[name], n.maxConns(name))
	n.wg.Go(func() {
		if tlsConfig != nil {
			_ = s.ServeTLS(l, "", "")
			return
		}
		_ = s.Serve(l)
	})
}

func (n *Node) newServer(h http.Handler, p *http.Protocols) *http.Server {
	s := &http.Server{
		Handler:           guardDeadlines(h),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         p,
		HTTP2:             http2Config(),
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	n.servers = append(n.servers, netServer{s})
	return s
}

// serveHTTP2 runs a net/http server for the HTTP/2 connections that the returned function
// receives. HTTP/1.1 is left to package http1: net/http ignores a Transfer-Encoding in HTTP/1.0
// and a Content-Length beside one, and reads on behind such a message.
func (n *Node) serveHTTP2(name string, h http.Handler) func(net.Conn) {
	l := &connListener{addr: n.listeners[name].Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	s := n.newServer(n.checkLength(h), protocols(false, true))
	n.wg.Go(func() { _ = s.Serve(l) })
	return l.add
}

// connListener is a net.Listener for connections that were accepted elsewhere.
type connListener struct {
	addr      net.Addr
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// add passes a connection to Accept, or closes it if the listener is closed.
func (l *connListener) add(nc net.Conn) {
	select {
	case l.conns <- nc:
	case <-l.closed:
		_ = nc.Close()
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case nc := <-l.conns:
		return nc, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }

func (n *Node) serverTLS() *tls.Config {
	if n.keys == nil {
		return nil
	}
	return n.keys.ServerConfig()
}

func (n *Node) peerKeys() peer.Credentials {
	if n.keys == nil {
		return peer.Credentials{}
	}
	return peer.Credentials{
		Server: n.keys.ServerConfig, Client: n.keys.ClientConfig,
		VerifyPeer: func(cs tls.ConnectionState) (string, error) { return keys.PeerName(cs, keys.Node) },
	}
}

// requireNode rejects calls to this host's targets from clients whose certificate
// is not a node's.
func (n *Node) requireNode(next http.Handler) http.Handler {
	if n.keys == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := keys.PeerName(*r.TLS, keys.Node); err != nil {
			n.log.Emit(event.PeerRefused, event.Fields{event.Subject: r.RemoteAddr, "error": err.Error()})
			relay.WriteFailure(w, kind.Caller, kind.RanNo, 0)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// newTransport returns the transport to other nodes: HTTP/1.1 if useHTTP1 is set,
// or else HTTP/2. HTTP/2 has pings, which detect an unresponsive connection while
// calls wait on it. customDial, if set, opens the connections.
func (n *Node) newTransport(useHTTP1 bool, customDial relay.DialFunc) transport {
	dial := relay.Dialer(dialTimeout, customDial)
	if useHTTP1 && n.keys == nil {
		if customDial == nil {
			dial = relay.Dialer(dialTimeout, http1.Dialer(dialTimeout))
		}
		return http1.NewPool(http1.PoolConfig{Dial: dial, IdleTimeout: peerIdleTimeout})
	}
	t := &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              protocols(useHTTP1, !useHTTP1),
		HTTP2:                  http2Config(),
	}
	if useHTTP1 {
		t.Protocols.SetHTTP2(false)
	}
	if n.keys != nil {
		t.DialTLSContext = n.dialTLS(dial, useHTTP1)
	}
	if useHTTP1 {
		return onceTransport{t}
	}
	return t
}

// onceTransport keeps net/http's HTTP/1.1 transport from sending a request again that may run
// only once. On a broken connection it does so with each request that it considers idempotent,
// for example by an Idempotency-Key header, unless the request has a body other than
// http.NoBody.
type onceTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t onceTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body == http.NoBody && req.Header.Get(target.HeaderAtMostOnce) != "" {
		req = req.WithContext(req.Context())
		req.Body = io.NopCloser(strings.NewReader(""))
		req.TransferEncoding = []string{"identity"} // or else the empty body would be sent in chunks
	}
	return t.Transport.RoundTrip(req) //nolint:wrapcheck // passed through
}

func (n *Node) dialTLS(dial relay.DialFunc, useHTTP1 bool) relay.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		tlsConfig := n.keys.ClientConfig()
		if !useHTTP1 {
			tlsConfig.NextProtos = []string{"h2"}
		}
		c := tls.Client(conn, tlsConfig)
		if err := c.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.WithStack(err)
		}
		return c, nil
	}
}

// callerIdentifier returns the function that identifies callers. It returns the
// caller's name, and false for an unknown one. The name is the platform's, if it
// has one for all callers; or else the holder of the token, if the settings list
// tokens; or else what the caller's own header says.
func (n *Node) callerIdentifier() func(h http.Header) (string, bool) {
	if name := n.platform.CallerName; name != nil {
		return func(http.Header) (string, bool) { return name(), true }
	}
	if len(n.cfg.Callers) == 0 {
		return func(h http.Header) (string, bool) { return h.Get(target.HeaderCaller), true }
	}
	return func(h http.Header) (string, bool) { return n.cfg.Callers.Name(h.Get(headerToken)) }
}

// headerToken is the header with a caller's secret token.
const headerToken = "Briarrock-Token"
