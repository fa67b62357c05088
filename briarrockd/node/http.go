package node

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
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

// Bounds of the HTTP servers and of the connections between nodes.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
	// dialTimeout is far above the way there and back between two regions; a
	// call must not lose its deadline to a domain that is cut off.
	dialTimeout = 500 * time.Millisecond
	idleConns   = 64
	// peerIdle is how long a connection to another node is kept: long enough to
	// outlast a lull, short enough that its buffers don't stay for good after a
	// rush. The other side keeps it for idleTimeout, so this side closes first.
	peerIdle   = 20 * time.Second
	maxStreams = 1000
	// pingAfter and pingWithin find a connection that has gone silent: within
	// two seconds of its last byte it is closed and a new one is opened.
	pingAfter  = time.Second
	pingWithin = time.Second
)

func (n *Node) scheme() string {
	if n.keys == nil {
		return "http"
	}
	return "https"
}

func protocols(http1, plain bool) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(http1)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(plain)
	return p
}

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      pingAfter,
		PingTimeout:          pingWithin,
	}
}

// maxConns bounds the connections that each listener holds open. The peers'
// side counts its own.
var maxConns = map[string]int{callers: 8192, calls: 4096, peers: 4096, operators: 256, announce: 64}

// The parts of the descriptors, as 1/part, that connections of callers and of
// other nodes may take. What is left is for the way to other nodes and targets:
// a node that can't open connections there serves nobody.
const (
	callersPart = 2
	callsPart   = 4
)

func (n *Node) maxConns(name string) int {
	most, files := maxConns[name], n.platform.MaxFiles
	switch {
	case files == 0:
		return most
	case name == callers:
		return min(most, files/callersPart)
	case name == calls:
		return min(most, files/callsPart)
	default:
		return most
	}
}

// server is what a node needs of its servers, whichever made them.
type server interface {
	// Drain tells callers, with each answer, to open no more requests here.
	Drain()
	// Shutdown lets what is under way end, until ctx does.
	Shutdown(ctx context.Context)
	// Close ends everything at once.
	Close()
}

// netServer is a server of net/http.
type netServer struct{ s *http.Server }

// Drain implements server.
func (s netServer) Drain() { s.s.SetKeepAlivesEnabled(false) }

// Shutdown implements server.
func (s netServer) Shutdown(ctx context.Context) { _ = s.s.Shutdown(ctx) } // it fails only with ctx

// Close implements server.
func (s netServer) Close() { _ = s.s.Close() } // the listener's error is of no use here

// transport is what a node needs of its connections to other nodes.
type transport interface {
	http.RoundTripper
	CloseIdleConnections()
}

// serveHTTP1 runs one of this project's own servers.
func (n *Node) serveHTTP1(name string, cfg http1.ServerConfig) {
	cfg.MaxConns = n.maxConns(name)
	cfg.OnPanic = n.panicked
	s := http1.NewServer(cfg)
	n.servers = append(n.servers, s)
	l := n.listeners[name]
	n.wg.Go(func() { _ = s.Serve(l) }) // it ends by being closed
}

// serve runs an HTTP server on one of the node's listeners.
func (n *Node) serve(name string, h http.Handler, conf *tls.Config) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		Protocols:         protocols(true, true),
		HTTP2:             http2Config(),
		TLSConfig:         conf,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	n.servers = append(n.servers, netServer{s})
	l := netutil.LimitListener(n.listeners[name], n.maxConns(name))
	n.wg.Go(func() {
		if conf != nil {
			_ = s.ServeTLS(l, "", "")
			return
		}
		_ = s.Serve(l)
	})
}

func (n *Node) serverKeys() *tls.Config {
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

// onlyPeers lets only nodes send calls to the targets of this host.
func (n *Node) onlyPeers(next http.Handler) http.Handler {
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

// newTransport makes the connections to other nodes. HTTP/2 is used for its
// pings: a connection that has gone silent is found while calls wait on it.
func (n *Node) newTransport(own bool, open relay.DialFunc) transport {
	dial := relay.Dialer(dialTimeout, open)
	if own && n.keys == nil {
		if open == nil {
			dial = relay.Dialer(dialTimeout, http1.Dialer(dialTimeout))
		}
		return http1.NewPool(http1.PoolConfig{Dial: dial, IdleTimeout: peerIdle})
	}
	t := &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
		Protocols:              protocols(own, !own),
		HTTP2:                  http2Config(),
	}
	if own {
		t.Protocols.SetHTTP2(false)
	}
	if n.keys != nil {
		t.DialTLSContext = n.dialTLS(dial, own)
	}
	return t
}

func (n *Node) dialTLS(dial relay.DialFunc, own bool) relay.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		conf := n.keys.ClientConfig()
		if !own {
			conf.NextProtos = []string{"h2"}
		}
		c := tls.Client(raw, conf)
		if err := c.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, errors.WithStack(err)
		}
		return c, nil
	}
}

// callerName returns how callers are known: by a token, where the settings
// list them, or else by what they call themselves.
func (n *Node) callerName() func(h http.Header) (string, bool) {
	if name := n.platform.CallerName; name != "" {
		return func(http.Header) (string, bool) { return name, true }
	}
	if len(n.cfg.Callers) == 0 {
		return func(h http.Header) (string, bool) { return h.Get(target.HeaderCaller), true }
	}
	return func(h http.Header) (string, bool) { return n.cfg.Callers.Name(h.Get(headerToken)) }
}

// headerToken is the secret that proves a caller's name.
const headerToken = "Briarrock-Token"
