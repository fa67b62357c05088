// Package node puts the parts of one briarrock node together: its side towards
// peers, targets, callers, operators and the platform.
//
//	n, err := node.New(settings, node.Deps{Log: log})
//	…
//	n.Stop(ctx) // graceful: nothing in flight is cut off
//
// The parts don't know each other. What the Core in package peer decides
// comes here and is passed on: a version or a change of members becomes one
// new table for the callers' side.
package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"briarrock.example/briarrockd/caller"
	"briarrock.example/briarrockd/claim"
	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/keys"
	"briarrock.example/briarrockd/operator"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/briarrockd/settings"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
)

// Deps are what a node may be given instead of making it itself.
type Deps struct {
	Log *event.Log
	// Store, if set, is used instead of the one in the settings.
	Store platform.Store
	// HTTP1 uses this project's HTTP/1.1 between nodes and towards callers,
	// instead of net/http's servers and HTTP/2.
	HTTP1 bool
	// Platform, if set, makes the node one of a platform with protocols of its
	// own.
	Platform *Platform
	// Metrics, if set, is the set that the node's metrics join.
	Metrics *metrics.Set
	// Dial, if set, opens the connections to peers and to the platform.
	Dial relay.DialFunc
	// OnVersion, if set, is told of each version that callers are served by.
	OnVersion func(version uint64)
}

// Node is one running node. New makes one.
type Node struct {
	cfg     settings.Settings
	log     *event.Log
	metrics *metrics.Set
	keys    *keys.Keys

	peers     *peer.Transport
	targets   *target.Targets
	proxy     *caller.Proxy
	claims    *claim.Claims
	operators *operator.API
	listeners map[string]net.Listener
	servers   []server
	transport transport
	budget    *caller.Budget
	platform  Platform
	follow    *WatchHandle
	wg        sync.WaitGroup

	// mu guards what the next table is made of.
	mu      sync.Mutex
	version uint64
	snap    *snapshot.Snapshot
	members []peer.Member
	prints  map[uint64]int

	used      func(version uint64)
	startedAt time.Time
	leaving   atomic.Bool
	once      sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
}

// New starts a node. It returns once its addresses are listened at.
func New(cfg settings.Settings, d Deps) (*Node, error) {
	n := &Node{
		cfg: cfg, log: d.Log, metrics: cmp.Or(d.Metrics, metrics.NewSet()),
		listeners: make(map[string]net.Listener),
		prints:    make(map[uint64]int),
		startedAt: time.Now(),
	}
	if err := n.loadKeys(); err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	st := d.Store
	if st == nil {
		st = platform.NewHTTP(storeClient(d.Dial), cfg.Platform.URL, cfg.Platform.Token)
	}
	n.used = d.OnVersion
	if d.Platform != nil {
		n.platform = *d.Platform
	}
	n.start(st, d)
	n.log.Emit(event.Started, event.Fields{"domain": cfg.Domain, "region": cfg.Region, "caller": cfg.CallerAddr, "plain": cfg.Security.Plain})
	return n, nil
}

func storeClient(dial relay.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: storeConns, IdleConnTimeout: time.Minute,
	}}
}

// storeConns bounds the idle connections to the platform.
const storeConns = 4

func (n *Node) loadKeys() error {
	if n.cfg.Security.Plain {
		return nil
	}
	k, err := keys.Load(keys.Files{Cert: n.cfg.Security.Cert, Key: n.cfg.Security.Key, CA: n.cfg.Security.CA})
	if err != nil {
		return err
	}
	n.keys = k
	return nil
}

// Names of the listeners.
const (
	callers   = "caller"
	calls     = "call"
	peers     = "peer"
	operators = "operator"
	announce  = "announce"
)

func (n *Node) listen() error {
	for name, addr := range map[string]*string{
		callers: &n.cfg.CallerAddr, calls: &n.cfg.CallAddr, peers: &n.cfg.PeerAddr,
		operators: &n.cfg.OperatorAddr, announce: &n.cfg.AnnounceAddr,
	} {
		l, err := http1.ListenConfig().Listen(context.Background(), "tcp", *addr)
		if err != nil {
			return errors.Wrapf(err, "node: %s address", name)
		}
		n.listeners[name] = l
		*addr = l.Addr().String() // port 0 has become a real one
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

func (n *Node) start(st platform.Store, d Deps) {
	n.targets = target.New(target.Deps{
		OnChange:   func(t []peer.Target) { n.tell(peer.TargetsChanged{Targets: t}) },
		OnCrash:    func(c peer.Crashed) { n.tell(c) },
		CrashCount: n.suspicion,
		Log:        n.log, Metrics: n.metrics, Stall: n.cfg.StallTimeout,
		WrapTransport: n.platform.WrapTargets, ResponseMatches: n.platform.AnswersRequest, AnnouncementTimeout: n.platform.SilenceTimeout, LinkBandwidth: n.platform.LinkBytesPerSecond, NoFairQueueing: n.platform.CallerName != "",
	})
	n.claims = claim.New(claim.Deps{Store: st, Log: n.log, Host: n.cfg.Host, Metrics: n.metrics, Forward: n.handClaims})
	n.transport = n.newTransport(d.HTTP1, d.Dial)
	n.budget = caller.NewBudget()
	n.proxy = caller.New(caller.Deps{
		Balancer: caller.NewBalancer(n.cfg.Domain, n.cfg.Region, rand.Uint64()),
		Budget:   n.budget, Claims: n.claims,
		Transport: n.transport, Scheme: n.scheme(), CrashCount: n.suspicion, IsRunning: n.targets.IsRunning,
		Authenticate: n.callerName(), Log: n.log, Metrics: n.metrics, StallTimeout: n.cfg.StallTimeout,
		Hedge: d.Platform != nil,
	})
	n.follow = newFollow(n.tell, n.log)
	n.peers = peer.NewTransport(n.peerConfig(), peer.Deps{
		Store: st, Log: n.log, Metrics: n.metrics, Credentials: n.peerKeys(), Listener: n.listeners[peers], Seed: rand.Uint64(),
		Dial: d.Dial, CommitClaims: n.claims.CommitForwarded,
		Hooks: peer.Hooks{ServeVersion: n.use, PublishMembers: n.publish, HeldRequest: n.held, Watch: n.follow.set},
	})
	n.operators = operator.New(operator.Deps{
		Host: n.cfg.Host, Store: st, Peers: n.peers, Log: n.log, Metrics: n.metrics,
		Identify: n.identify, Explain: n.proxy.Explain, Ready: n.Ready,
	})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.wg.Go(n.keepClaims)
	n.metrics.GetOrCreateGauge("briarrock_version", func() float64 { return float64(n.Version()) })
	n.metrics.GetOrCreateGauge("briarrock_members", func() float64 { return float64(n.LiveMembers()) })
	n.serveAll(d)
	if watch := n.platform.Watch; watch != nil {
		n.wg.Go(func() { watch(n.ctx, n.follow) })
	}
}

// serveAll starts the servers.
func (n *Node) serveAll(d Deps) {
	plain := d.HTTP1 && n.keys == nil
	var fromCallers http.Handler = n.proxy
	if n.platform.WrapCallers != nil {
		fromCallers = n.platform.WrapCallers(n.proxy)
	}
	announcements := n.targets.Announcements()
	if n.platform.Announcements != nil {
		announcements = n.platform.Announcements(n.targets)
	}
	if plain {
		n.serveHTTP1(callers, http1.ServerConfig{Handler: fromCallers, Limits: n.limits})
		n.serveHTTP1(calls, http1.ServerConfig{Handler: n.targets})
		n.serveHTTP1(announce, http1.ServerConfig{Handler: announcements})
	} else {
		n.serve(callers, fromCallers, nil)
		n.serve(calls, n.onlyPeers(n.targets), n.serverKeys())
		n.serve(announce, announcements, nil)
	}
	n.serve(operators, n.operators, n.serverKeys())
}

// handClaims passes claims on to the node that gathers those of the domain.
func (n *Node) handClaims(ctx context.Context, orders []byte) ([]byte, error) {
	b, err := n.peers.ForwardClaims(ctx, orders)
	if errors.Is(err, peer.ErrNotForwarded) {
		return nil, claim.ErrCommitLocally
	}
	return b, errors.WithStack(err)
}

// shareClaims gives the claims their part of what the platform can do.
func (n *Node) shareClaims() {
	committers := 1
	n.peers.WithCore(func(h *peer.Core) { _, committers = h.Committers() })
	n.claims.SetCommitters(committers)
}

// tell passes a message to the Core; before there is one, nothing can happen.
func (n *Node) tell(m peer.Msg) {
	if n.peers != nil {
		n.peers.Post(m)
	}
}

func (n *Node) peerConfig() peer.Config {
	addr, call := cmp.Or(n.cfg.AdvertisedPeerAddr, n.cfg.PeerAddr), cmp.Or(n.cfg.AdvertisedCallAddr, n.cfg.CallAddr)
	return peer.Config{
		Self: peer.Member{
			Host: n.cfg.Host, Domain: n.cfg.Domain, Region: n.cfg.Region,
			PeerAddr: addr, CallAddr: call, Incarnation: uint64(time.Now().UnixMilli()),
		},
		Contacts:        n.cfg.Contacts,
		StoreRegion:     n.cfg.Platform.Region,
		ExpectedHosts:   n.cfg.ExpectedHosts,
		DelegatePolling: n.platform.Watch != nil,
		Bootstrap:       n.platform.Bootstrap,
	}
}

// use takes a version from the Core.
func (n *Node) use(u peer.ServeVersion) {
	n.targets.Configure(u.Snapshot)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version, n.snap = u.Version, u.Snapshot
	n.retable()
	if n.used != nil {
		n.used(u.Version)
	}
}

// publish takes the members from the Core.
func (n *Node) publish(p peer.PublishMembers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = p.Members
	if n.platform.RetryBudget > 0 {
		n.budget.SetNodeShare(n.platform.RetryBudget, len(p.Members))
	}
	n.retable()
}

// retable makes a table of the newest version and members and swaps it in.
func (n *Node) retable() {
	if n.snap == nil {
		return
	}
	if t := n.proxy.Table(); t != nil && t.Version() == n.version {
		n.proxy.SetTable(t.WithMembers(n.members))
		return
	}
	n.proxy.SetTable(caller.NewTable(n.version, n.snap, n.members))
}

func (n *Node) held(h peer.HeldRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.Crashes == 0 {
		delete(n.prints, h.Print)
		return
	}
	n.prints[h.Print] = h.Crashes
}

func (n *Node) suspicion(mark uint64) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.prints[mark]
}

// alone is how long a node that knows nobody else waits for others before it
// says that it is ready.
const alone = 2 * time.Second

// Ready tells whether the node serves a configuration and is not leaving. One
// that has just started and has found nobody yet would only refuse its callers
// for want of targets.
func (n *Node) Ready() bool {
	if n.proxy.Table() == nil || n.leaving.Load() {
		return false
	}
	return n.platform.Watch == nil || n.LiveMembers() > 1 || time.Since(n.startedAt) > alone
}

// Version is the version that callers are served by; 0 before the first.
func (n *Node) Version() uint64 {
	if t := n.proxy.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// Settings returns the settings with the addresses that are listened at.
func (n *Node) Settings() settings.Settings { return n.cfg }

// Peers returns the node's side towards its peers.
func (n *Node) Peers() *peer.Transport { return n.peers }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// ReloadKeys takes new keys from the files. If they are not good the old ones
// stay in use.
func (n *Node) ReloadKeys() {
	if n.keys == nil {
		return
	}
	if err := n.keys.Reload(); err != nil {
		n.log.Emit(event.KeysBad, event.Fields{"error": err.Error()})
		return
	}
	n.log.Emit(event.KeysLoaded, nil)
}

// sweepEvery is how often old claims are deleted, by one node of the mesh, and
// shareEvery how often a node looks how many others commit claims.
const (
	sweepEvery = 10 * time.Minute
	shareEvery = 2 * time.Second
)

// keepClaims keeps the claims' share of the platform up to date, and their
// rows swept.
func (n *Node) keepClaims() {
	next := time.Now().Add(sweepEvery)
	for n.ctx.Err() == nil {
		n.shareClaims()
		platform.Pause(n.ctx, shareEvery)
		if time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(sweepEvery)
		leads := false
		n.peers.WithCore(func(h *peer.Core) { leads = h.IsLeader() })
		if leads {
			_, _ = n.claims.Sweep(n.ctx, time.Now()) // what is left is for the next time
		}
	}
}

func (n *Node) identify(cs *tls.ConnectionState, token string) (string, error) {
	if name, ok := n.cfg.Operators.Name(token); ok {
		return name, nil
	}
	if cs != nil {
		name, err := keys.PeerName(*cs, keys.Operator)
		return name, errors.WithStack(err)
	}
	if n.cfg.Security.Plain && len(n.cfg.Operators) == 0 {
		return "local", nil
	}
	return "", errors.New("node: no token or certificate of an operator")
}

// LiveMembers returns how many live members the node knows, itself included.
func (n *Node) LiveMembers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members)
}

// LiveTargets returns how many targets the node knows of a service.
func (n *Node) LiveTargets(service string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for i := range n.members {
		for _, t := range n.members[i].Targets {
			if t.Service == service && !t.Draining && n.members[i].State == peer.Alive {
				count++
			}
		}
	}
	return count
}

// CloseIdle closes the connections to other nodes that no call uses.
func (n *Node) CloseIdle() { n.transport.CloseIdleConnections() }
