// Package node assembles one briarrock node from its parts: those for peers,
// targets, callers, operators and the platform.
//
//	n, err := node.New(settings, node.Deps{Log: log})
//	…
//	n.Stop(ctx) // graceful shutdown; calls in flight end first
//
// The parts do not depend on each other. The node passes the decisions of the
// Core in package peer to the other parts: each new version and each change of
// the members becomes a new routing table for the callers' proxy.
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
	"briarrock.example/briarrockd/rollout"
	"briarrock.example/briarrockd/settings"
	"briarrock.example/briarrockd/target"
	"briarrock.example/briarrockd/tcp"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
)

// Deps are the dependencies of a node. Only Log is required.
type Deps struct {
	Log *event.Log
	// Store, if set, is used instead of the one in the settings.
	Store platform.Store
	// HTTP1 selects package http1 between nodes, instead of net/http and HTTP/2. Callers
	// can then not use HTTP/2 either.
	HTTP1 bool
	// Platform, if set, adapts the node to a platform that has its own protocols.
	Platform *Platform
	// Metrics, if set, is the set in which the node registers its metrics.
	Metrics *metrics.Set
	// Dial, if set, opens the connections to peers and to the platform.
	Dial relay.DialFunc
	// OnVersion, if set, is called with each version that comes into use.
	OnVersion func(version uint64)
	// BootTime, if set, is used instead of the host's clock of the time since its boot,
	// which also advances while the host is suspended.
	BootTime func() time.Duration
}

// Node is one running node. New makes one.
type Node struct {
	cfg     settings.Settings
	log     *event.Log
	metrics *metrics.Set
	keys    *keys.Keys

	peers      *peer.Transport
	targets    *target.Targets
	proxy      *caller.Proxy
	claims     *claim.Claims
	operators  *operator.API
	listeners  map[string]net.Listener
	servers    []server
	transport  transport
	budget     *caller.Budget
	platform   Platform
	allowances *allowances
	watch      *WatchHandle
	wg         sync.WaitGroup
	prover     *prover
	rollouts   *rollout.Registry

	// mu guards the inputs of the next table and the crash counts by a request's
	// fingerprint.
	mu          sync.Mutex
	version     uint64
	snap        *snapshot.Snapshot
	members     []peer.Member
	crashCounts map[uint64]int

	// countersMu guards the contributions to the mesh-wide sums, by the prefix of
	// their user.
	countersMu sync.Mutex
	counters   map[string]map[string][]uint64

	onVersion func(version uint64)
	startedAt time.Time
	stopping  atomic.Bool
	closeOnce sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
}

// New starts a node. It returns once the node listens on all its addresses.
func New(cfg settings.Settings, d Deps) (*Node, error) {
	n := &Node{
		cfg: cfg, log: d.Log, metrics: cmp.Or(d.Metrics, metrics.NewSet()),
		listeners:   make(map[string]net.Listener),
		crashCounts: make(map[uint64]int),
		startedAt:   time.Now(),
	}
	if err := n.loadKeys(); err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	store := d.Store
	if store == nil {
		store = platform.NewHTTP(storeClient(d.Dial), cfg.Platform.URL, cfg.Platform.Token)
	}
	n.onVersion = d.OnVersion
	if d.Platform != nil {
		n.platform = *d.Platform
		n.platform.Revoke = cmp.Or(n.platform.Revoke, defaultRevoke)
	}
	n.rollouts = n.newRollouts()
	n.start(store, d)
	n.log.Emit(event.Started, event.Fields{"domain": cfg.Domain, "region": cfg.Region, "caller": cfg.CallerAddr, "plain": cfg.Security.Plain})
	return n, nil
}

// storeClient returns the client of the platform's store. dial, if set, opens its connections.
func storeClient(dial relay.DialFunc) *http.Client {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: tcp.Dialer(dial), MaxIdleConnsPerHost: maxIdleStoreConns, IdleConnTimeout: time.Minute,
	}}
}

// maxIdleStoreConns is the maximum number of idle connections to the platform.
const maxIdleStoreConns = 4

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

// Names of the listeners, as errors have them.
const (
	callerListener   = "caller"
	callListener     = "call"
	peerListener     = "peer"
	operatorListener = "operator"
	announceListener = "announce"
)

func (n *Node) listen() error {
	for name, addr := range map[string]*string{
		callerListener: &n.cfg.CallerAddr, callListener: &n.cfg.CallAddr, peerListener: &n.cfg.PeerAddr,
		operatorListener: &n.cfg.OperatorAddr, announceListener: &n.cfg.AnnounceAddr,
	} {
		l, err := http1.ListenConfig().Listen(context.Background(), "tcp", *addr)
		if err != nil {
			return errors.Wrapf(err, "node: listen on the %s address", name)
		}
		n.listeners[name] = l
		*addr = l.Addr().String() // the actual port, if the settings have port 0
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

func (n *Node) start(store platform.Store, d Deps) {
	n.targets = target.New(target.Deps{
		OnChange:   func(t []peer.Target) { n.sendToCore(peer.TargetsChanged{Targets: t}) },
		OnCrash:    func(c peer.Crashed) { n.sendToCore(c) },
		CrashCount: n.crashCount,
		Log:        n.log, Metrics: n.metrics, StallTimeout: n.cfg.StallTimeout,
		Versions:      n.usesVersions,
		WrapTransport: n.platform.WrapTargets, ResponseMatches: n.platform.ResponseMatches, AnnouncementTimeout: n.platform.AnnouncementTimeout, LinkBytesPerSecond: n.platform.LinkBytesPerSecond, NoFairQueueing: n.platform.CallerName != nil,
	})
	n.claims = claim.New(claim.Deps{Store: store, Log: n.log, Host: n.cfg.Host, Metrics: n.metrics, Forward: n.forwardClaims})
	n.transport = n.newTransport(d.HTTP1, d.Dial)
	n.budget = caller.NewBudget()
	n.prover = newProver(n.platform.Revoke, d.BootTime, n.Version)
	n.allowances = newAllowances(n.platform.AllowanceBounds, n.log, n.metrics)
	n.proxy = caller.New(caller.Deps{
		Balancer: caller.NewBalancer(n.cfg.Domain, n.cfg.Region, rand.Uint64()),
		Budget:   n.budget, Claims: n.claims,
		Transport: n.transport, Scheme: n.scheme(), CrashCount: n.crashCount, IsRunning: n.targets.IsRunning,
		Authenticate: n.callerIdentifier(), Log: n.log, Metrics: n.metrics, StallTimeout: n.cfg.StallTimeout,
		Hedge: d.Platform != nil, Proven: n.proven(), Allowance: n.allowances, Rollouts: n.rollouts,
	})
	n.watch = newWatchHandle(n, n.sendToCore, n.prover.bootTime, n.log)
	n.peers = peer.NewTransport(n.peerConfig(), peer.Deps{
		Store: store, Log: n.log, Metrics: n.metrics, Credentials: n.peerKeys(), Listener: n.listeners[peerListener], Seed: rand.Uint64(),
		Dial: d.Dial, CommitClaims: n.claims.CommitForwarded, BootTime: n.coreBootTime(),
		Hooks: peer.Hooks{
			ServeVersion: n.useVersion, PublishMembers: n.useMembers, HeldRequest: n.setCrashCount, Watch: n.watch.setTurn,
			PublishProof: n.useProof, PublishSums: n.useSums, PublishRollouts: n.useRollouts,
		},
	})
	n.operators = operator.New(operator.Deps{
		Host: n.cfg.Host, Store: store, Peers: n.peers, Log: n.log, Metrics: n.metrics,
		Identify: n.identify, Explain: n.proxy.Explain, Ready: n.Ready, Rollouts: n,
	})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.wg.Go(n.maintainClaims)
	n.wg.Go(n.publishAllowances)
	n.metrics.GetOrCreateGauge("briarrock_version", func() float64 { return float64(n.Version()) })
	n.metrics.GetOrCreateGauge("briarrock_members", func() float64 { return float64(n.LiveMembers()) })
	n.serveAll(d)
	if run := n.platform.Watch; run != nil {
		n.wg.Go(func() { run(n.ctx, n.watch) })
	}
	n.startRollouts(store)
}

// serveAll starts the servers of all listeners but that of the peers.
func (n *Node) serveAll(d Deps) {
	useHTTP1 := d.HTTP1 && n.keys == nil
	var callerHandler http.Handler = n.proxy
	if n.platform.WrapCallers != nil {
		callerHandler = n.platform.WrapCallers(n.proxy)
	}
	announcements := n.targets.Announcements()
	if n.platform.Announcements != nil {
		announcements = n.platform.Announcements(n.targets)
	}
	callers := http1.ServerConfig{Handler: callerHandler, Limits: n.limits}
	if !useHTTP1 {
		callers.HTTP2 = n.serveHTTP2(callerListener, callerHandler)
	}
	n.serveHTTP1(callerListener, callers)
	if useHTTP1 {
		n.serveHTTP1(callListener, http1.ServerConfig{Handler: n.targets, ServesNodes: true})
		n.serveHTTP1(announceListener, http1.ServerConfig{Handler: announcements})
	} else {
		n.serve(callListener, n.requireNode(n.targets), n.serverTLS())
		n.serve(announceListener, announcements, nil)
	}
	n.serve(operatorListener, n.operators, n.serverTLS())
}

// forwardClaims sends encoded claims to the node that commits those of the domain.
// It returns claim.ErrCommitLocally if nothing was sent.
func (n *Node) forwardClaims(ctx context.Context, writes []byte) ([]byte, error) {
	b, err := n.peers.ForwardClaims(ctx, writes)
	if errors.Is(err, peer.ErrNotForwarded) {
		return nil, claim.ErrCommitLocally
	}
	return b, errors.WithStack(err)
}

// updateCommitters adapts the rate limit of claims to the number of nodes that
// commit claims.
func (n *Node) updateCommitters() {
	committers := 1
	n.peers.WithCore(func(c *peer.Core) { _, committers = c.Committers() })
	n.claims.SetCommitters(committers)
}

// sendToCore sends a message to the Core. It drops messages until the Core exists.
func (n *Node) sendToCore(m peer.Msg) {
	if n.peers != nil {
		n.peers.Post(m)
	}
}

func (n *Node) peerConfig() peer.Config {
	peerAddr, callAddr := cmp.Or(n.cfg.AdvertisedPeerAddr, n.cfg.PeerAddr), cmp.Or(n.cfg.AdvertisedCallAddr, n.cfg.CallAddr)
	return peer.Config{
		Self: peer.Member{
			Host: n.cfg.Host, Domain: n.cfg.Domain, Region: n.cfg.Region,
			PeerAddr: peerAddr, CallAddr: callAddr, Incarnation: uint64(time.Now().UnixMilli()),
		},
		Contacts:        n.cfg.Contacts,
		StoreRegion:     n.cfg.Platform.Region,
		ExpectedHosts:   n.cfg.ExpectedHosts,
		DelegatePolling: n.platform.Watch != nil,
		Bootstrap:       n.platform.Bootstrap,
		Rollouts:        n.platform.Rollout.Share > 0,
		Strict:          n.platform.Strict,
		Revoke:          n.platform.Revoke,
	}
}

// useVersion puts a version from the Core into use.
func (n *Node) useVersion(u peer.ServeVersion) {
	n.targets.Configure(u.Snapshot)
	n.allowances.setVersion(u.Snapshot)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version, n.snap = u.Version, u.Snapshot
	n.updateTable()
	if n.onVersion != nil {
		n.onVersion(u.Version)
	}
}

// useProof puts a proof from the Core into use.
func (n *Node) useProof(p peer.PublishProof) {
	n.prover.publish(p)
	n.proxy.NotifyProof()
}

// useMembers puts the members from the Core into use.
func (n *Node) useMembers(p peer.PublishMembers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = p.Members
	if n.platform.RetryBudget > 0 {
		n.budget.SetNodeShare(n.platform.RetryBudget, len(p.Members))
	}
	n.updateTable()
}

// updateTable makes a routing table of the newest version and members, and the
// proxy uses it from then on. The caller holds mu.
func (n *Node) updateTable() {
	if n.snap == nil {
		return
	}
	if t := n.proxy.Table(); t != nil && t.Version() == n.version {
		n.proxy.SetTable(t.WithMembers(n.members))
		return
	}
	n.proxy.SetTable(caller.NewTable(n.version, n.snap, n.members))
}

// setCrashCount sets how many times requests with a fingerprint have been in
// flight when a target crashed. A count of 0 removes the fingerprint.
func (n *Node) setCrashCount(h peer.HeldRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.Crashes == 0 {
		delete(n.crashCounts, h.Print)
		return
	}
	n.crashCounts[h.Print] = h.Crashes
}

// crashCount returns how many times requests with a fingerprint have been in
// flight when a target crashed.
func (n *Node) crashCount(fingerprint uint64) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashCounts[fingerprint]
}

// soloReadyDelay is how long a node that knows no other node waits for others
// before it reports that it is ready.
const soloReadyDelay = 2 * time.Second

// Ready reports whether the node has a configuration and is not shutting down. If
// the platform's adapter watches the platform, a node that has just started and has
// found no other node is not ready either: it would reject calls because it knows
// no targets.
func (n *Node) Ready() bool {
	if n.proxy.Table() == nil || n.stopping.Load() {
		return false
	}
	return n.platform.Watch == nil || n.LiveMembers() > 1 || time.Since(n.startedAt) > soloReadyDelay
}

// Version returns the version in use for callers; 0 before the first.
func (n *Node) Version() uint64 {
	if t := n.proxy.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// Settings returns the settings with the addresses on which the node listens.
func (n *Node) Settings() settings.Settings { return n.cfg }

// Peers returns the node's links to its peers.
func (n *Node) Peers() *peer.Transport { return n.peers }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// ReloadKeys reads the key files again. If that fails, the old keys stay in use.
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

// sweepInterval is how often one node of the mesh deletes expired claims, and
// committersInterval how often each node reads how many nodes commit claims.
const (
	sweepInterval      = 10 * time.Minute
	committersInterval = 2 * time.Second
)

// maintainClaims updates the rate limit of claims and deletes expired claims, until
// the node closes.
func (n *Node) maintainClaims() {
	nextSweep := time.Now().Add(sweepInterval)
	for n.ctx.Err() == nil {
		n.updateCommitters()
		platform.Pause(n.ctx, committersInterval)
		if time.Now().Before(nextSweep) {
			continue
		}
		nextSweep = time.Now().Add(sweepInterval)
		leads := false
		n.peers.WithCore(func(c *peer.Core) { leads = c.IsLeader() })
		if leads {
			_, _ = n.claims.Sweep(n.ctx, time.Now()) // the next sweep deletes the rest
		}
	}
}

// identify returns the name of the operator with the token or the certificate.
// Without TLS and without configured operators it accepts every client.
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
	return "", errors.New("node: no valid operator token or certificate")
}

// LiveMembers returns the number of live members that the node knows, including
// itself.
func (n *Node) LiveMembers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members)
}

// LiveTargets returns the number of targets of a service that are on live members
// and not draining.
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

// CloseIdle closes the idle connections to other nodes.
func (n *Node) CloseIdle() { n.transport.CloseIdleConnections() }
