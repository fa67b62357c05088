// Package local runs a complete mesh in one process on loopback addresses: a
// stand-in platform, nodes in several failure domains, and stand-in targets. The
// demo, the tests and the benchmarks use it.
//
//	m, err := local.Start(local.Spec{Locations: locations, NodesPerDomain: 4, Services: names})
//	defer m.Close()
//	res, err := m.Operator(0).Apply(ctx, …)
package local

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"briarrock.example/briarrockd/keys"
	"briarrock.example/briarrockd/node"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/briarrockd/settings"
	"briarrock.example/mesh/event"
	api "briarrock.example/mesh/operator"
	standinplatform "briarrock.example/standin/platform"
	standintarget "briarrock.example/standin/target"
	"briarrock.example/standin/wire"
)

// Location is a failure domain and its region.
type Location struct{ Domain, Region string }

// Spec configures a mesh.
type Spec struct {
	Locations      []Location
	NodesPerDomain int
	// Services are assigned to the targets in turn: node i of a domain has a
	// target of service i modulo their number. Empty for nodes without targets.
	Services []string
	// Target configures the targets; Start sets Service, Addr and Crash.
	Target standintarget.Config
	// StoreRegion is the region of the store.
	StoreRegion string
	// Store is the URL of the platform; if empty, Start runs a stand-in.
	Store string
	// Contacts is the maximum number of contacts (seed nodes) in each node's
	// settings; defaultContacts if 0.
	Contacts int
	// HTTP1 makes nodes use HTTP/1.1 between each other instead of HTTP/2.
	HTTP1 bool
	// BetweenRegions is the network path between two regions; the zero Path adds
	// no delay and no bandwidth limit.
	BetweenRegions wire.Path
	// BetweenDomains is the network path between two domains of a region.
	BetweenDomains wire.Path
	// StallTimeout is the time without a transferred byte after which a call
	// ends; a minute if 0.
	StallTimeout time.Duration
	// Authority, if set, issues certificates to the nodes; otherwise they use
	// plaintext.
	Authority *Authority
	// OnVersion, if set, is called when a node begins to serve a version.
	OnVersion func(host string, version uint64)
	// Log receives the nodes' log; nil disables it.
	Log io.Writer
	// Level is the log level; logrus.WarnLevel if 0.
	Level logrus.Level
}

// Node is one node of the mesh with its target, if it has one.
type Node struct {
	*node.Node
	Target *standintarget.Target
	// Cfg holds the settings with the addresses that the node listens at.
	Cfg            settings.Settings
	stopAnnouncing context.CancelFunc
	targetServer   *http.Server
	targetAddr     string
}

// Mesh is a running mesh.
type Mesh struct {
	Spec      Spec
	Platform  *standinplatform.Server
	Nodes     []*Node // node i is in location i modulo the number of locations
	store     string  // URL of the platform
	servers   []*http.Server
	contacts  []string // peer addresses of the first nodes, for the settings of later ones
	mu        sync.Mutex
	locations map[string]Location // by address of a node or the store
	proxies   map[string]string   // proxy by address, see RouteVia
}

// defaultContacts lets nodes join while one contact is down.
const defaultContacts = 3

// Start starts a mesh. It does not wait until the nodes have joined; see
// WaitJoined.
func Start(spec Spec) (*Mesh, error) {
	m := &Mesh{Spec: spec, Platform: standinplatform.New(), store: spec.Store, locations: make(map[string]Location), proxies: make(map[string]string)}
	if spec.Contacts == 0 {
		m.Spec.Contacts = defaultContacts
	}
	if m.store == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.WithStack(err)
		}
		m.store = "http://" + l.Addr().String()
		m.locations[l.Addr().String()] = Location{Domain: "store", Region: spec.StoreRegion}
		m.serve(l, m.Platform)
	}
	for i := range spec.NodesPerDomain {
		for _, loc := range spec.Locations {
			if err := m.addNode(i, loc); err != nil {
				m.Close()
				return nil, err
			}
		}
	}
	return m, nil
}

func (m *Mesh) serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	m.servers = append(m.servers, s)
	go func() { _ = s.Serve(l) }()
	return s
}

// addNode starts node i of a domain and its target.
func (m *Mesh) addNode(i int, loc Location) error {
	anyPort := "127.0.0.1:0"
	cfg := settings.Settings{
		Host: fmt.Sprintf("%s-%d", loc.Domain, i), Domain: loc.Domain, Region: loc.Region,
		CallerAddr: anyPort, CallAddr: anyPort, PeerAddr: anyPort, OperatorAddr: anyPort, AnnounceAddr: anyPort,
		Contacts:     append([]string(nil), m.contacts...),
		Platform:     settings.Platform{URL: m.store, Region: m.Spec.StoreRegion},
		Security:     settings.Security{Plain: true},
		StallTimeout: m.Spec.StallTimeout, DrainTimeout: time.Minute,
	}
	if cfg.StallTimeout == 0 {
		cfg.StallTimeout = time.Minute
	}
	if m.Spec.Authority != nil {
		var err error
		if cfg.Security, err = m.Spec.Authority.Issue(cfg.Host, keys.Node); err != nil {
			return err
		}
	}
	n, err := m.newNode(cfg)
	if err != nil {
		return err
	}
	if len(m.Spec.Services) > 0 {
		if err := m.addTarget(n, m.Spec.Services[i%len(m.Spec.Services)]); err != nil {
			return err
		}
	}
	m.Nodes = append(m.Nodes, n)
	if len(m.contacts) < m.Spec.Contacts {
		m.contacts = append(m.contacts, n.Cfg.PeerAddr)
	}
	return nil
}

func (m *Mesh) newNode(cfg settings.Settings) (*Node, error) {
	var log *event.Log
	if m.Spec.Log != nil {
		level := m.Spec.Level
		if level == 0 {
			level = logrus.WarnLevel
		}
		log = event.New(m.Spec.Log, false, level, cfg.Host)
	}
	from := Location{cfg.Domain, cfg.Region}
	deps := node.Deps{Log: log, HTTP1: m.Spec.HTTP1, Dial: m.dialFrom(from)}
	if m.Spec.OnVersion != nil {
		deps.OnVersion = func(version uint64) { m.Spec.OnVersion(cfg.Host, version) }
	}
	n, err := node.New(cfg, deps)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	for _, addr := range []string{n.Settings().PeerAddr, n.Settings().CallAddr} {
		m.locations[addr] = from
	}
	m.mu.Unlock()
	return &Node{Node: n, Cfg: n.Settings()}, nil
}

// RouteVia makes all nodes connect to proxy instead of addr, for example to a
// fault-injecting proxy.
func (m *Mesh) RouteVia(addr, proxy string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proxies[addr] = proxy
}

// dialFrom returns a dial function for the nodes at a location. Its connections
// have the delay and bandwidth of the network path to the location of the dialed
// address.
func (m *Mesh) dialFrom(from Location) relay.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		m.mu.Lock()
		dest := m.locations[addr]
		dialAddr, ok := m.proxies[addr]
		m.mu.Unlock()
		if !ok {
			dialAddr = addr
		}
		c, err := new(net.Dialer).DialContext(ctx, network, dialAddr)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		switch {
		case dest.Region != from.Region && m.Spec.BetweenRegions != (wire.Path{}):
			return wire.Shape(c, m.Spec.BetweenRegions), nil
		case dest.Domain != from.Domain && m.Spec.BetweenDomains != (wire.Path{}):
			return wire.Shape(c, m.Spec.BetweenDomains), nil
		default:
			return c, nil
		}
	}
}

func (m *Mesh) addTarget(n *Node, service string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.WithStack(err)
	}
	cfg := m.Spec.Target
	cfg.Service, cfg.Addr, cfg.Crash = service, l.Addr().String(), n.crashFunc()
	n.Target = standintarget.New(cfg)
	n.targetServer = m.serve(l, n.Target)
	n.targetAddr = cfg.Addr
	ctx, stopAnnouncing := context.WithCancel(context.Background())
	n.stopAnnouncing = stopAnnouncing
	go n.Target.Announce(ctx, "http://"+n.Cfg.AnnounceAddr)
	return nil
}

// StopTarget stops a node's target as a crash does: it closes the target's
// connections and its listener.
func (n *Node) StopTarget() {
	n.stopAnnouncing()
	_ = n.targetServer.Close()
}

// StartTarget restarts a stopped target at the same address.
func (m *Mesh) StartTarget(n *Node) error {
	l, err := net.Listen("tcp", n.targetAddr)
	if err != nil {
		return errors.WithStack(err)
	}
	n.targetServer = m.serve(l, n.Target)
	ctx, stopAnnouncing := context.WithCancel(context.Background())
	n.stopAnnouncing = stopAnnouncing
	go n.Target.Announce(ctx, "http://"+n.Cfg.AnnounceAddr)
	return nil
}

// crashFunc returns the function that a request with HeaderCrash calls at the
// node's target: it stops the target.
func (n *Node) crashFunc() func() { return n.StopTarget }

// RestartNode kills node i and starts it with the same name and addresses and
// no state.
func (m *Mesh) RestartNode(i int) error {
	old := m.Nodes[i]
	old.Kill()
	return m.StartNode(i)
}

// StartNode starts node i after it was killed.
func (m *Mesh) StartNode(i int) error {
	n, err := m.newNode(m.Nodes[i].Cfg)
	if err != nil {
		return err
	}
	old := m.Nodes[i]
	n.Target, n.stopAnnouncing, n.targetServer, n.targetAddr = old.Target, old.stopAnnouncing, old.targetServer, old.targetAddr
	m.Nodes[i] = n
	return nil
}

// Close kills all nodes and then stops the targets and the platform.
func (m *Mesh) Close() {
	var wg sync.WaitGroup
	for _, n := range m.Nodes {
		if n.stopAnnouncing != nil {
			n.stopAnnouncing()
		}
		wg.Go(n.Kill)
	}
	wg.Wait()
	for _, s := range m.servers {
		_ = s.Close()
	}
}

// Operator returns a client for the operator address of node i.
func (m *Mesh) Operator(i int) *api.Client {
	if a := m.Spec.Authority; a != nil {
		return m.secureOperator(i, a)
	}
	return api.New(http.DefaultClient, "http://"+m.Nodes[i].Cfg.OperatorAddr, "")
}

// operatorName is the operator's name in the certificate that Operator uses.
const operatorName = "otto"

// secureOperator returns an operator's client with a new certificate. Without one,
// if it can't be issued, the requests of the client fail in the TLS handshake.
func (m *Mesh) secureOperator(i int, a *Authority) *api.Client {
	c := new(http.Client)
	files, err := a.Issue(operatorName, keys.Operator)
	if err == nil {
		var k *keys.Keys
		if k, err = keys.Load(keys.Files{Cert: files.Cert, Key: files.Key, CA: files.CA}); err == nil {
			c.Transport = &http.Transport{TLSClientConfig: k.ClientConfig()}
		}
	}
	return api.New(c, "https://"+m.Nodes[i].Cfg.OperatorAddr, "")
}

// ErrTimeout is returned when a condition was not met within its timeout.
var ErrTimeout = errors.New("local: condition not met within the timeout")

// pollInterval is the interval at which WaitUntil evaluates its condition.
const pollInterval = 2 * time.Millisecond

// WaitUntil polls ok until it returns true, and returns ErrTimeout if it does not
// within the timeout.
func WaitUntil(timeout time.Duration, ok func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return nil
		}
	}
	return ErrTimeout
}

// WaitJoined waits until every node sees all nodes of the mesh as live members.
func (m *Mesh) WaitJoined(timeout time.Duration) error {
	return WaitUntil(timeout, func() bool {
		for _, n := range m.Nodes {
			if n.LiveMembers() < len(m.Nodes) {
				return false
			}
		}
		return true
	})
}

// WaitInForce waits until every node serves the given version or a newer one.
func (m *Mesh) WaitInForce(version uint64, timeout time.Duration) error {
	return WaitUntil(timeout, func() bool {
		for _, n := range m.Nodes {
			if n.Version() < version {
				return false
			}
		}
		return true
	})
}
