package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"briarrock.example/mesh/codec"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
)

// The remote procedures of a node. Link is a long-lived bidirectional stream of frames.
// Status returns the status of the mesh. Claims forwards claims (see package claim) to
// the root of the domain.
const (
	rpcLink   = "/peer/Link"
	rpcStatus = "/peer/Status"
	rpcClaims = "/peer/Claims"
)

// Limits of a Transport.
const (
	// inboxSize is the capacity of the queue of messages to the Core, outboxSize that
	// of each link's queue of frames. If a peer doesn't read, its outbox fills up and
	// the link is closed.
	inboxSize  = 1024
	outboxSize = 512
	// slowStep is the time from which on a step of the Core is logged. Other messages wait
	// meanwhile.
	slowStep = 100 * time.Millisecond
	// helloTimeout is the time limit for a connection's handshake and its Hello.
	helloTimeout = 3 * time.Second
	// maxInbound is the maximum number of open inbound connections.
	maxInbound = 2 * maxLinks
	// storeTimeout is the time limit for one request to the platform.
	storeTimeout = 4 * time.Second
	// sendTimeout is the time limit for writing one frame.
	sendTimeout = linkSilenceTimeout
)

// Hooks are the callbacks that carry a Core's decisions to the rest of the node. They
// are called one at a time and must return quickly.
type Hooks struct {
	ServeVersion   func(ServeVersion)
	PublishMembers func(PublishMembers)
	HeldRequest    func(HeldRequest)
	// PublishProof may be nil if the node is not strict.
	PublishProof func(PublishProof)
	// Watch may be nil if the Core reads the head itself, without DelegatePolling.
	Watch func(Watch)
	// PublishSums may be nil if the sums are not used.
	PublishSums func(PublishSums)
	// PublishRollouts may be nil if there are no roll-outs.
	PublishRollouts func(PublishRollouts)
}

// Transport runs a Core: it owns the goroutines, the connections to peers and the
// requests to the platform. Use NewTransport to make one.
type Transport struct {
	core      *Core
	store     platform.Store
	log       *event.Log
	hooks     Hooks
	creds     Credentials
	domain    string
	inbox     chan Msg
	coreCalls chan func(*Core)
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu      sync.Mutex
	streams map[LinkID]*stream
	lastID  LinkID

	inbound      atomic.Int64
	refused      *metrics.Counter
	commitClaims func(ctx context.Context, batch []byte) ([]byte, error)
	claimsConn   claimsConn
	traffic      *traffic
	bootTime     func() time.Duration
	dialTCP      func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Credentials provide the current TLS settings; if the functions are nil, connections
// are plain TCP.
type Credentials struct {
	Server func() *tls.Config
	Client func() *tls.Config
	// VerifyPeer returns the host name in the other side's certificate, or an error if
	// the certificate does not authorize a peer.
	VerifyPeer func(tls.ConnectionState) (string, error)
}

// Deps holds the dependencies of a Transport.
type Deps struct {
	Store       platform.Store
	Log         *event.Log
	Hooks       Hooks
	Credentials Credentials
	Metrics     *metrics.Set
	Listener    net.Listener
	// Seed seeds the Core's random number generator.
	Seed uint64
	// Dial opens connections; if nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// CommitClaims commits claims that other nodes of the domain have forwarded.
	CommitClaims func(ctx context.Context, batch []byte) ([]byte, error)
	// BootTime reads a clock that also advances while the host is suspended. It is
	// required by a strict node.
	BootTime func() time.Duration
}

// NewTransport starts a Core and its Transport. Close stops both.
func NewTransport(cfg Config, d Deps) *Transport {
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		core:         New(cfg, rand.New(rand.NewPCG(d.Seed, score(cfg.Self.Host))), time.Now()),
		store:        d.Store,
		log:          d.Log,
		hooks:        d.Hooks,
		creds:        d.Credentials,
		domain:       cfg.Self.Domain,
		commitClaims: d.CommitClaims,
		bootTime:     d.BootTime,
		inbox:        make(chan Msg, inboxSize),
		coreCalls:    make(chan func(*Core)),
		ctx:          ctx,
		cancel:       cancel,
		streams:      make(map[LinkID]*stream),
		traffic:      newTraffic(d.Metrics, cfg.Self),
		refused:      d.Metrics.GetOrCreateCounter("briarrock_peers_refused_total"),
	}
	t.dialTCP = d.Dial
	if t.dialTCP == nil {
		t.dialTCP = new(net.Dialer).DialContext
	}
	t.wg.Go(t.run)
	t.wg.Go(func() { t.accept(d.Listener) })
	context.AfterFunc(ctx, func() { _ = d.Listener.Close() })
	return t
}

// Close closes all links and waits for the goroutines. Post Leave beforehand.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
	t.claimsConn.close()
}

// Post enqueues a message for the Core. It returns false if the Transport is closed.
func (t *Transport) Post(m Msg) bool {
	select {
	case t.inbox <- m:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// WithCore calls f with the Core, between two steps. It returns false if the Transport
// is closed.
func (t *Transport) WithCore(f func(*Core)) bool {
	done := make(chan struct{})
	select {
	case t.coreCalls <- func(core *Core) { f(core); close(done) }:
		<-done
		return true
	case <-t.ctx.Done():
		return false
	}
}

// run is the only goroutine that accesses the Core.
func (t *Transport) run() {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	t.step(Tick{})
	for {
		select {
		case <-t.ctx.Done():
			return
		case f := <-t.coreCalls:
			f(t.core)
		case m := <-t.inbox:
			if f, ok := m.(queuedFrame); ok {
				t.step(f.Received)
				f.from.processed(f.size)
				continue
			}
			t.step(m)
		case <-tick.C:
			t.step(Tick{})
		}
	}
}

func (t *Transport) step(m Msg) {
	if t.bootTime != nil {
		t.core.SetBootTime(t.bootTime())
	}
	start := time.Now()
	for _, c := range t.core.Step(start, m) {
		t.execute(c)
	}
	if took := time.Since(start); took >= slowStep {
		t.log.Emit(event.SlowStep, event.Fields{event.Subject: fmt.Sprintf("%T", m), "took": took.Milliseconds(), "queued": len(t.inbox)})
	}
}

func (t *Transport) execute(c Cmd) {
	switch c := c.(type) {
	case Dial:
		t.wg.Go(func() { t.dial(c) })
	case SendHello:
		t.send(c.Link, c.Hello)
	case CloseLink:
		t.closeLink(c.Link)
	case Send:
		t.send(c.Link, c.Frame)
	case ReadHead:
		t.wg.Go(t.readHead)
	case ReadObject:
		t.wg.Go(func() { t.readObject(c.Hash) })
	case ReadContacts:
		t.wg.Go(t.readContacts)
	case WriteContacts:
		t.wg.Go(func() { t.writeContacts(c.Addrs) })
	case ServeVersion:
		t.hooks.ServeVersion(c)
	case PublishMembers:
		t.hooks.PublishMembers(c)
	case HeldRequest:
		t.hooks.HeldRequest(c)
	case PublishProof:
		t.hooks.PublishProof(c)
	case Watch:
		t.hooks.Watch(c)
	case PublishSums:
		if t.hooks.PublishSums != nil {
			t.hooks.PublishSums(c)
		}
	case PublishRollouts:
		if t.hooks.PublishRollouts != nil {
			t.hooks.PublishRollouts(c)
		}
	case Log:
		t.log.Emit(c.Event, c.Fields)
	}
}

func (t *Transport) readHead() {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	row, err := t.store.Get(ctx, platform.HeadKey)
	if errors.Is(err, platform.ErrMissing) {
		t.Post(HeadRead{})
		return
	}
	if err != nil {
		t.Post(HeadRead{Err: err})
		return
	}
	head, hash, err := platform.ParseHead(row.Value)
	t.Post(HeadRead{Version: head.Version, Hash: hash, Err: err})
}

func (t *Transport) readObject(hash snapshot.Hash) {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	b, err := platform.GetContent(ctx, t.store, hash)
	t.Post(ObjectRead{Hash: hash, Content: b, Err: err})
}

// contactsPrefix is the prefix of the key of each domain's row of contacts.
const contactsPrefix = "contacts/"

func (t *Transport) readContacts() {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	rows, err := t.store.List(ctx, platform.Scan{Prefix: contactsPrefix, Limit: maxDomains})
	if err != nil {
		return // the Core repeats the request later
	}
	var m ContactsRead
	for _, row := range rows {
		addrs := parseContacts(row.Value)
		m.Addrs = append(m.Addrs, addrs...)
		if row.Key == contactsPrefix+t.domain {
			m.OwnDomain = len(addrs)
		}
	}
	t.Post(m)
}

// writeContacts writes the row unconditionally. Several nodes may take themselves for the
// root of the domain for a moment, but whichever writes last, the row has addresses of
// members.
func (t *Transport) writeContacts(addrs []string) {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	b, err := json.Marshal(addrs)
	if err != nil {
		return
	}
	key := contactsPrefix + t.domain
	_ = t.store.Transact(ctx, platform.Transaction{Writes: []platform.Write{{Key: key, Value: b}}})
}

// send enqueues a frame in a link's outbox. If the outbox is full, the peer has stopped
// reading, and the link is closed so that memory stays bounded.
func (t *Transport) send(id LinkID, f Frame) {
	t.mu.Lock()
	st := t.streams[id]
	t.mu.Unlock()
	if st == nil {
		return
	}
	b, err := EncodeFrame(f)
	if err != nil {
		return
	}
	select {
	case st.out <- b:
	default:
		st.close()
	}
}

func (t *Transport) closeLink(id LinkID) {
	t.mu.Lock()
	st := t.streams[id]
	t.mu.Unlock()
	if st != nil {
		st.drain()
	}
}

// Content returns the content of a version if this node holds it.
func (t *Transport) Content(hash snapshot.Hash) ([]byte, bool) {
	var b []byte
	t.WithCore(func(core *Core) { b = core.version.content[hash] })
	return b, b != nil
}

// Status returns the status of the whole mesh: from this node's Core if it is the root
// of its domain, otherwise from the root. If the root does not answer, it returns what
// this node's Core knows. Version and Hash are always those of this node.
func (t *Transport) Status(ctx context.Context) Status {
	var st Status
	var root string
	t.WithCore(func(core *Core) { st, root = core.Status(time.Now()) })
	if root == "" {
		return st
	}
	remote, err := t.requestStatus(ctx, root)
	if err != nil {
		return st
	}
	remote.Version, remote.Hash = st.Version, st.Hash
	return remote
}

func (t *Transport) requestStatus(ctx context.Context, addr string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := t.connect(ctx, addr)
	if err != nil {
		return Status{}, err
	}
	rpc := drpcconn.New(conn)
	defer func() { _ = rpc.Close() }()
	var in, out rawMessage
	if err := rpc.Invoke(ctx, rpcStatus, rawEncoding{}, &in, &out); err != nil {
		return Status{}, errors.Wrap(err, "peer: status")
	}
	var st Status
	if err := codec.Decode(out.bytes, &st); err != nil {
		return Status{}, errors.Wrap(err, "peer: status")
	}
	return st, nil
}

// HandleRPC implements drpc.Handler.
func (t *Transport) HandleRPC(rpc drpc.Stream, name string) error {
	if p, ok := rpc.Context().Value(peerKey{}).(*inboundPeer); ok {
		p.callTimeout.Stop()
		if name != rpcLink {
			p.first.accept()
		}
	}
	switch name {
	case rpcLink:
		return t.serveLink(rpc)
	case rpcStatus:
		return t.serveStatus(rpc)
	case rpcClaims:
		return t.serveClaims(rpc)
	default:
		return errors.Errorf("peer: unknown procedure %q", name)
	}
}

func (t *Transport) serveStatus(rpc drpc.Stream) error {
	var in rawMessage
	if err := rpc.MsgRecv(&in, rawEncoding{}); err != nil {
		return errors.Wrap(err, "peer: status")
	}
	var st Status
	t.WithCore(func(core *Core) { st, _ = core.Status(time.Now()) })
	b, err := codec.Encode(st)
	if err != nil {
		return errors.Wrap(err, "peer: status")
	}
	return rpc.MsgSend(&rawMessage{b}, rawEncoding{})
}

// accept accepts connections from peers, at most maxInbound at a time.
func (t *Transport) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			time.Sleep(minDialBackoff) // for example out of file descriptors; avoids a busy loop
			continue
		}
		if t.inbound.Add(1) > maxInbound {
			t.inbound.Add(-1)
			_ = conn.Close()
			continue
		}
		t.wg.Go(func() {
			defer t.inbound.Add(-1)
			t.serveConn(conn)
		})
	}
}

func (t *Transport) serveConn(conn net.Conn) {
	stop := context.AfterFunc(t.ctx, func() { _ = conn.Close() })
	defer stop()
	secured, name, err := t.secureServer(conn)
	if err != nil {
		t.refused.Inc()
		t.log.Emit(event.PeerRefused, event.Fields{event.Subject: conn.RemoteAddr().String(), "error": err.Error()})
		_ = conn.Close()
		return
	}
	first := &firstCallConn{Conn: secured}
	counted := t.traffic.wrap(first)
	// Package drpc stops reading a connection whose first bytes do not call a procedure, and does
	// not detect that the other side has closed it.
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	timeout := time.AfterFunc(helloTimeout, cancel)
	defer timeout.Stop()
	ctx = withPeer(ctx, &inboundPeer{name: name, conn: counted, first: first, callTimeout: timeout})
	_ = drpcserver.New(t).ServeOne(ctx, counted)
}
