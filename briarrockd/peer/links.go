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
	// helloWithin bounds the time until a peer has said hello.
	helloWithin = 3 * time.Second
	// maxInbound bounds the connections that peers may hold open.
	maxInbound = 2 * maxLinks
	// storeWithin bounds one question to the platform.
	storeWithin = 4 * time.Second
	// sendWithin bounds the writing of one frame.
	sendWithin = silentAfter
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
	heart  *Core
	store  platform.Store
	log    *event.Log
	hooks  Hooks
	keys   Credentials
	domain string
	inbox  chan Msg
	asks   chan func(*Core)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	streams map[LinkID]*stream
	lastID  LinkID

	inbound atomic.Int64
	refused *metrics.Counter
	claims  func(ctx context.Context, orders []byte) ([]byte, error)
	root    rootConn
	traffic *traffic
	dialTCP func(ctx context.Context, network, addr string) (net.Conn, error)
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
	s := &Transport{
		heart:   New(cfg, rand.New(rand.NewPCG(d.Seed, score(cfg.Self.Host))), time.Now()),
		store:   d.Store,
		log:     d.Log,
		hooks:   d.Hooks,
		keys:    d.Credentials,
		domain:  cfg.Self.Domain,
		claims:  d.CommitClaims,
		inbox:   make(chan Msg, inboxSize),
		asks:    make(chan func(*Core)),
		ctx:     ctx,
		cancel:  cancel,
		streams: make(map[LinkID]*stream),
		traffic: newTraffic(d.Metrics, cfg.Self),
		refused: d.Metrics.GetOrCreateCounter("briarrock_peers_refused_total"),
	}
	s.dialTCP = d.Dial
	if s.dialTCP == nil {
		s.dialTCP = new(net.Dialer).DialContext
	}
	s.wg.Go(s.run)
	s.wg.Go(func() { s.accept(d.Listener) })
	context.AfterFunc(ctx, func() { _ = d.Listener.Close() })
	return s
}

// Close ends all links and waits for the goroutines. Say Leave first.
func (s *Transport) Close() {
	s.cancel()
	s.wg.Wait()
	s.root.close()
}

// Tell gives the Core a message. It returns false when Links is closed.
func (s *Transport) Post(m Msg) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// Ask runs f with the Core, between two steps.
func (s *Transport) WithCore(f func(*Core)) bool {
	done := make(chan struct{})
	select {
	case s.asks <- func(h *Core) { f(h); close(done) }:
		<-done
		return true
	case <-s.ctx.Done():
		return false
	}
}

// run is the only goroutine that touches the Core.
func (s *Transport) run() {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	s.step(Tick{})
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.asks:
			f(s.heart)
		case m := <-s.inbox:
			s.step(m)
		case <-tick.C:
			s.step(Tick{})
		}
	}
}

func (s *Transport) step(m Msg) {
	for _, c := range s.heart.Step(time.Now(), m) {
		s.carryOut(c)
	}
}

func (s *Transport) carryOut(c Cmd) {
	switch c := c.(type) {
	case Dial:
		s.wg.Go(func() { s.dial(c) })
	case SendHello:
		s.send(c.Link, c.Hello)
	case CloseLink:
		s.closeLink(c.Link)
	case Send:
		s.send(c.Link, c.Frame)
	case ReadHead:
		s.wg.Go(s.readHead)
	case ReadObject:
		s.wg.Go(func() { s.readObject(c.Hash) })
	case ReadContacts:
		s.wg.Go(s.readContacts)
	case WriteContacts:
		s.wg.Go(func() { s.writeContacts(c.Addrs) })
	case ServeVersion:
		s.hooks.ServeVersion(c)
	case PublishMembers:
		s.hooks.PublishMembers(c)
	case HeldRequest:
		s.hooks.HeldRequest(c)
	case Watch:
		s.hooks.Watch(c)
	case Log:
		s.log.Emit(c.Event, c.Fields)
	}
}

func (s *Transport) readHead() {
	ctx, cancel := context.WithTimeout(s.ctx, storeWithin)
	defer cancel()
	row, err := s.store.Get(ctx, platform.HeadKey)
	if errors.Is(err, platform.ErrMissing) {
		s.Post(HeadRead{})
		return
	}
	if err != nil {
		s.Post(HeadRead{Err: err})
		return
	}
	head, hash, err := platform.ParseHead(row.Value)
	s.Post(HeadRead{Version: head.Version, Hash: hash, Err: err})
}

func (s *Transport) readObject(hash snapshot.Hash) {
	ctx, cancel := context.WithTimeout(s.ctx, storeWithin)
	defer cancel()
	b, err := platform.GetContent(ctx, s.store, hash)
	s.Post(ObjectRead{Hash: hash, Content: b, Err: err})
}

// contactsPrefix begins the key of each domain's row of contacts.
const contactsPrefix = "contacts/"

func (s *Transport) readContacts() {
	ctx, cancel := context.WithTimeout(s.ctx, storeWithin)
	defer cancel()
	rows, err := s.store.List(ctx, platform.Scan{Prefix: contactsPrefix, Limit: maxDomains})
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
		if row.Key == contactsPrefix+s.domain {
			m.OwnDomain = len(some)
		}
	}
	s.Post(m)
}

// writeContacts leaves the addresses without a condition: whichever root of a
// domain writes last, they are addresses of its members.
func (s *Transport) writeContacts(addrs []string) {
	ctx, cancel := context.WithTimeout(s.ctx, storeWithin)
	defer cancel()
	b, err := json.Marshal(addrs)
	if err != nil {
		return
	}
	key := contactsPrefix + s.domain
	_ = s.store.Transact(ctx, platform.Transaction{Writes: []platform.Write{{Key: key, Value: b}}})
}

// send puts a frame in a link's outbox. A full one means that the peer has
// stopped reading: the link is given up, so that memory stays bounded.
func (s *Transport) send(id LinkID, f Frame) {
	s.mu.Lock()
	st := s.streams[id]
	s.mu.Unlock()
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

func (s *Transport) closeLink(id LinkID) {
	s.mu.Lock()
	st := s.streams[id]
	s.mu.Unlock()
	if st != nil {
		st.drain()
	}
}

// Content returns a version's bytes if this node holds them.
func (s *Transport) Content(hash snapshot.Hash) ([]byte, bool) {
	var b []byte
	s.WithCore(func(h *Core) { b = h.version.content[hash] })
	return b, b != nil
}

// Status answers for the whole mesh: from this node's Core if it is the root
// of its domain, or else by asking the root.
func (s *Transport) Status(ctx context.Context) Status {
	var st Status
	var root string
	s.WithCore(func(h *Core) { st, root = h.Status(time.Now()) })
	if root == "" {
		return st
	}
	whole, err := s.askStatus(ctx, root)
	if err != nil {
		return st
	}
	whole.Version, whole.Hash = st.Version, st.Hash
	return whole
}

func (s *Transport) askStatus(ctx context.Context, addr string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, helloWithin)
	defer cancel()
	conn, err := s.connect(ctx, addr)
	if err != nil {
		return Status{}, err
	}
	rpc := drpcconn.New(conn)
	defer func() { _ = rpc.Close() }()
	var in, out blob
	if err := rpc.Invoke(ctx, rpcStatus, encoding{}, &in, &out); err != nil {
		return Status{}, errors.Wrap(err, "peer: status")
	}
	var st Status
	if err := codec.Decode(out.bytes, &st); err != nil {
		return Status{}, errors.Wrap(err, "peer: status")
	}
	return st, nil
}

// HandleRPC implements drpc.Handler.
func (s *Transport) HandleRPC(rpc drpc.Stream, name string) error {
	switch name {
	case rpcLink:
		return s.serveLink(rpc)
	case rpcStatus:
		return s.serveStatus(rpc)
	case rpcClaims:
		return s.serveClaims(rpc)
	default:
		return errors.Errorf("peer: no procedure %q", name)
	}
}

func (s *Transport) serveStatus(rpc drpc.Stream) error {
	var in blob
	if err := rpc.MsgRecv(&in, encoding{}); err != nil {
		return errors.Wrap(err, "peer: status")
	}
	var st Status
	s.WithCore(func(h *Core) { st, _ = h.Status(time.Now()) })
	b, err := codec.Encode(st)
	if err != nil {
		return errors.Wrap(err, "peer: status")
	}
	return rpc.MsgSend(&blob{b}, encoding{})
}

// accept takes connections from peers, a bounded number at a time.
func (s *Transport) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return
			}
			time.Sleep(dialFirst) // out of descriptors, say: don't spin
			continue
		}
		if s.inbound.Add(1) > maxInbound {
			s.inbound.Add(-1)
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() {
			defer s.inbound.Add(-1)
			s.serveConn(conn)
		})
	}
}

func (s *Transport) serveConn(conn net.Conn) {
	stop := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer stop()
	secured, name, err := s.secureServer(conn)
	if err != nil {
		s.refused.Inc()
		s.log.Emit(event.PeerRefused, event.Fields{event.Subject: conn.RemoteAddr().String(), "error": err.Error()})
		_ = conn.Close()
		return
	}
	counted := s.traffic.wrap(secured)
	ctx := withPeer(s.ctx, &inboundPeer{name: name, conn: counted})
	_ = drpcserver.New(s).ServeOne(ctx, counted)
}
