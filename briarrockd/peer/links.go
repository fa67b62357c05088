package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
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

// The remote procedures of a node. Link is a stream of frames in both
// directions that lasts; Status asks once; Claims hands claims to the first node
// of the domain.
const (
	rpcLink   = "/peer/Link"
	rpcStatus = "/peer/Status"
	rpcClaims = "/peer/Claims"
)

// Bounds of the shell.
const (
	// inboxSize and outboxSize bound what waits for the Core and for a link.
	// A peer that doesn't read fills its outbox and loses the link.
	inboxSize  = 1024
	outboxSize = 512
	// helloTimeout bounds the time until a peer has said hello.
	helloTimeout = 3 * time.Second
	// maxInbound bounds the connections that peers may hold open.
	maxInbound = 2 * maxLinks
	// storeTimeout bounds one question to the platform.
	storeTimeout = 4 * time.Second
	// sendTimeout bounds the writing of one frame.
	sendTimeout = linkSilenceTimeout
)

// Hooks are what the rest of the node does with a Core's decisions. They are
// called one after the other and must return soon.
type Hooks struct {
	ServeVersion   func(ServeVersion)
	PublishMembers func(PublishMembers)
	HeldRequest    func(HeldRequest)
	// Watch may be nil where the Core reads the head itself.
	Watch func(Watch)
}

// Links is the shell around a Core: it owns the goroutines and sockets. Make
// one with New.
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
	commitClaims func(ctx context.Context, orders []byte) ([]byte, error)
	claimsConn   claimsConn
	traffic      *traffic
	dialTCP      func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Keys give the TLS settings of the moment; nil functions mean plain TCP.
type Credentials struct {
	Server func() *tls.Config
	Client func() *tls.Config
	// Peer returns the name in the certificate of the other side, or an
	// error if it may not be a peer.
	VerifyPeer func(tls.ConnectionState) (string, error)
}

// Deps are what Links needs from outside.
type Deps struct {
	Store       platform.Store
	Log         *event.Log
	Hooks       Hooks
	Credentials Credentials
	Metrics     *metrics.Set
	Listener    net.Listener
	// Seed starts the random numbers of the Core.
	Seed uint64
	// Dial opens connections; nil for the usual way.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Claims commits the claims of other nodes of the domain.
	CommitClaims func(ctx context.Context, orders []byte) ([]byte, error)
}

// NewTransport starts a Core with its shell. Close stops it.
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

// Close ends all links and waits for the goroutines. Say Leave first.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
	t.claimsConn.close()
}

// Tell gives the Core a message. It returns false when Links is closed.
func (t *Transport) Post(m Msg) bool {
	select {
	case t.inbox <- m:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// Ask runs f with the Core, between two steps.
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

// run is the only goroutine that touches the Core.
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
			t.step(m)
		case <-tick.C:
			t.step(Tick{})
		}
	}
}

func (t *Transport) step(m Msg) {
	for _, c := range t.core.Step(time.Now(), m) {
		t.execute(c)
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
	case Watch:
		t.hooks.Watch(c)
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

// contactsPrefix begins the key of each domain's row of contacts.
const contactsPrefix = "contacts/"

func (t *Transport) readContacts() {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	rows, err := t.store.List(ctx, platform.Scan{Prefix: contactsPrefix, Limit: maxDomains})
	if err != nil {
		return // asked again later
	}
	var m ContactsRead
	for _, row := range rows {
		var some []string
		if json.Unmarshal(row.Value, &some) != nil {
			continue
		}
		m.Addrs = append(m.Addrs, some...)
		if row.Key == contactsPrefix+t.domain {
			m.OwnDomain = len(some)
		}
	}
	t.Post(m)
}

// writeContacts leaves the addresses without a condition: whichever root of a
// domain writes last, they are addresses of its members.
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

// send puts a frame in a link's outbox. A full one means that the peer has
// stopped reading: the link is given up, so that memory stays bounded.
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

// Content returns a version's bytes if this node holds them.
func (t *Transport) Content(hash snapshot.Hash) ([]byte, bool) {
	var b []byte
	t.WithCore(func(core *Core) { b = core.version.content[hash] })
	return b, b != nil
}

// Status answers for the whole mesh: from this node's Core if it is the root
// of its domain, or else by asking the root.
func (t *Transport) Status(ctx context.Context) Status {
	var st Status
	var root string
	t.WithCore(func(core *Core) { st, root = core.Status(time.Now()) })
	if root == "" {
		return st
	}
	whole, err := t.requestStatus(ctx, root)
	if err != nil {
		return st
	}
	whole.Version, whole.Hash = st.Version, st.Hash
	return whole
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
	switch name {
	case rpcLink:
		return t.serveLink(rpc)
	case rpcStatus:
		return t.serveStatus(rpc)
	case rpcClaims:
		return t.serveClaims(rpc)
	default:
		return errors.Errorf("peer: no procedure %q", name)
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

// accept takes connections from peers, a bounded number at a time.
func (t *Transport) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			time.Sleep(minDialBackoff) // out of descriptors, say: don't spin
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
	counted := t.traffic.wrap(secured)
	ctx := withPeer(t.ctx, &inboundPeer{name: name, conn: counted})
	_ = drpcserver.New(t).ServeOne(ctx, counted)
}
