// Package local runs a whole mesh in one process on loopback: a stand-in
// platform, nodes in several failure domains, and stand-in targets. The demo,
// the tests and the measurements are built on it.
//
//	m, err := local.Start(local.Spec{Places: places, PerDomain: 4, Services: names})
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

// Place is a failure domain and its region.
type Place struct{ Domain, Region string }

// Spec says what to run.
type Spec struct {
	Places    []Place
	PerDomain int
	// Services are the services of the targets; node i of a domain has a
	// target of service i, round and round. None for nodes without targets.
	Services []string
	// Target is what the targets are like, Service and Addr aside.
	Target standintarget.Config
	// StoreRegion is the region of the store.
	StoreRegion string
	// Store is the URL of another platform than the one that Start runs.
	Store string
	// Contacts is how many contacts each node is given.
	Contacts int
	// HTTP1 uses HTTP/1.1 between nodes.
	HTTP1 bool
	// Paid is the way between two regions; the zero Path adds nothing.
	Paid wire.Path
	// Near is the way between two domains of a region.
	Near wire.Path
	// Stall bounds the time without a byte moving in a call; a minute if 0.
	Stall time.Duration
	// Authority, if set, issues certificates to the nodes; otherwise they talk
	// in the clear.
	Authority *Authority
	// Used, if set, is told of each version that a node serves.
	Used func(host string, version uint64)
	// Log is where the nodes log to; nil for nowhere.
	Log io.Writer
	// Level is the level of the log; warnings by default.
	Level logrus.Level
}

// Node is one node of the mesh with its target.
type Node struct {
	*node.Node
	Target *standintarget.Target
	Cfg    settings.Settings
	cancel context.CancelFunc
	server *http.Server
	addr   string
}

// Mesh is a running mesh.
type Mesh struct {
	Spec     Spec
	Platform *standinplatform.Server
	Nodes    []*Node
	store    string
	servers  []*http.Server
	contacts []string
	mu       sync.Mutex
	at       map[string]Place // by address
	via      map[string]string
}

// defaultContacts is enough that one contact's loss keeps nobody out.
const defaultContacts = 3

// Start runs a mesh. It does not wait until the nodes have found each other.
func Start(spec Spec) (*Mesh, error) {
	m := &Mesh{Spec: spec, Platform: standinplatform.New(), store: spec.Store, at: make(map[string]Place), via: make(map[string]string)}
	if spec.Contacts == 0 {
		m.Spec.Contacts = defaultContacts
	}
	if m.store == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.WithStack(err)
		}
		m.store = "http://" + l.Addr().String()
		m.at[l.Addr().String()] = Place{Domain: "store", Region: spec.StoreRegion}
		m.serve(l, m.Platform)
	}
	for i := range spec.PerDomain {
		for _, p := range spec.Places {
			if err := m.add(i, p); err != nil {
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

func (m *Mesh) add(i int, p Place) error {
	port := "127.0.0.1:0"
	cfg := settings.Settings{
		Host: fmt.Sprintf("%s-%d", p.Domain, i), Domain: p.Domain, Region: p.Region,
		CallerAddr: port, CallAddr: port, PeerAddr: port, OperatorAddr: port, AnnounceAddr: port,
		Contacts:     append([]string(nil), m.contacts...),
		Platform:     settings.Platform{URL: m.store, Region: m.Spec.StoreRegion},
		Security:     settings.Security{Plain: true},
		StallTimeout: m.Spec.Stall, DrainTimeout: time.Minute,
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
	n, err := m.run(cfg)
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

func (m *Mesh) run(cfg settings.Settings) (*Node, error) {
	var log *event.Log
	if m.Spec.Log != nil {
		level := m.Spec.Level
		if level == 0 {
			level = logrus.WarnLevel
		}
		log = event.New(m.Spec.Log, false, level, cfg.Host)
	}
	here := Place{cfg.Domain, cfg.Region}
	deps := node.Deps{Log: log, HTTP1: m.Spec.HTTP1, Dial: m.dialFrom(here)}
	if m.Spec.Used != nil {
		deps.OnVersion = func(version uint64) { m.Spec.Used(cfg.Host, version) }
	}
	n, err := node.New(cfg, deps)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	for _, addr := range []string{n.Settings().PeerAddr, n.Settings().CallAddr} {
		m.at[addr] = here
	}
	m.mu.Unlock()
	return &Node{Node: n, Cfg: n.Settings()}, nil
}

// Via lets all nodes reach an address through another one, such as that of a
// faulty wire.
func (m *Mesh) Via(addr, through string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.via[addr] = through
}

// dialFrom opens connections that are as slow as the way from one place to
// that of the address.
func (m *Mesh) dialFrom(here Place) relay.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		m.mu.Lock()
		there := m.at[addr]
		to, ok := m.via[addr]
		m.mu.Unlock()
		if !ok {
			to = addr
		}
		c, err := new(net.Dialer).DialContext(ctx, network, to)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		switch {
		case there.Region != here.Region && m.Spec.Paid != (wire.Path{}):
			return wire.Shape(c, m.Spec.Paid), nil
		case there.Domain != here.Domain && m.Spec.Near != (wire.Path{}):
			return wire.Shape(c, m.Spec.Near), nil
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
	cfg.Service, cfg.Addr, cfg.Crash = service, l.Addr().String(), n.crashOf()
	n.Target = standintarget.New(cfg)
	n.server = m.serve(l, n.Target)
	n.addr = cfg.Addr
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.Target.Announce(ctx, "http://"+n.Cfg.AnnounceAddr)
	return nil
}

// StopTarget ends a node's target as a crash would: connections are reset and
// nobody listens any more.
func (n *Node) StopTarget() {
	n.cancel()
	_ = n.server.Close()
}

// StartTarget starts a stopped target again at the same address.
func (m *Mesh) StartTarget(n *Node) error {
	l, err := net.Listen("tcp", n.addr)
	if err != nil {
		return errors.WithStack(err)
	}
	n.server = m.serve(l, n.Target)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.Target.Announce(ctx, "http://"+n.Cfg.AnnounceAddr)
	return nil
}

// crashOf returns what a stand-in target does to crash.
func (n *Node) crashOf() func() { return n.StopTarget }

// Restart kills node i and starts it anew on the same host: same name, same
// addresses, nothing remembered.
func (m *Mesh) Restart(i int) error {
	old := m.Nodes[i]
	old.Kill()
	return m.Revive(i)
}

// Revive starts node i again after it was killed.
func (m *Mesh) Revive(i int) error {
	n, err := m.run(m.Nodes[i].Cfg)
	if err != nil {
		return err
	}
	old := m.Nodes[i]
	n.Target, n.cancel, n.server, n.addr = old.Target, old.cancel, old.server, old.addr
	m.Nodes[i] = n
	return nil
}

// Close ends everything at once.
func (m *Mesh) Close() {
	var wg sync.WaitGroup
	for _, n := range m.Nodes {
		if n.cancel != nil {
			n.cancel()
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

// operatorName is who edits a mesh with certificates.
const operatorName = "otto"

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

// ErrTimeout says that something did not happen in time.
var ErrTimeout = errors.New("local: did not happen in time")

// pollEvery is how often the waiting functions look.
const pollEvery = 2 * time.Millisecond

// Until waits until ok returns true.
func Until(timeout time.Duration, ok func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollEvery) {
		if ok() {
			return nil
		}
	}
	return ErrTimeout
}

// Joined waits until every node knows every other, with its target.
func (m *Mesh) Joined(timeout time.Duration) error {
	return Until(timeout, func() bool {
		for _, n := range m.Nodes {
			if n.LiveMembers() < len(m.Nodes) {
				return false
			}
		}
		return true
	})
}

// InForce waits until every node serves at least a version.
func (m *Mesh) InForce(version uint64, timeout time.Duration) error {
	return Until(timeout, func() bool {
		for _, n := range m.Nodes {
			if n.Version() < version {
				return false
			}
		}
		return true
	})
}
