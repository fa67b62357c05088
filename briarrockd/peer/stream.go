package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"briarrock.example/mesh/event"
)

// rawMessage is a drpc message that is already encoded.
type rawMessage struct{ bytes []byte }

// rawEncoding passes encoded messages through drpc unchanged. Frames are encoded as
// CBOR, so no generated code is needed.
type rawEncoding struct{}

// Marshal implements drpc.Encoding.
func (rawEncoding) Marshal(m drpc.Message) ([]byte, error) {
	b, ok := m.(*rawMessage)
	if !ok {
		return nil, ErrFrame
	}
	return b.bytes, nil
}

// Unmarshal implements drpc.Encoding.
func (rawEncoding) Unmarshal(buf []byte, m drpc.Message) error {
	b, ok := m.(*rawMessage)
	if !ok {
		return ErrFrame
	}
	b.bytes = append([]byte(nil), buf...)
	return nil
}

// stream is one open link: a drpc stream and the outbox of the goroutine that writes
// to it.
type stream struct {
	id        LinkID
	rpc       drpc.Stream
	conn      *countedConn
	out       chan []byte
	done      chan struct{}
	closeOnce sync.Once
	drainOnce sync.Once
	draining  chan struct{}
	// queued is the size of the received frames that the Core has not processed. room has an
	// element if that may have become small enough for the next frame.
	queued atomic.Int64
	room   chan struct{}
}

// maxQueued is the size of a link's unprocessed frames, in bytes, above which no further frame
// is read. The inbox bounds only their number.
const maxQueued = 64 << 10

// queuedFrame is a frame from a link in the inbox.
type queuedFrame struct {
	Received
	from *stream
	size int
}

// awaitRoom waits until the next frame may be read. It returns false if the link ends.
func (st *stream) awaitRoom() bool {
	for st.queued.Load() > maxQueued {
		select {
		case <-st.room:
		case <-st.done:
			return false
		}
	}
	return true
}

// processed reports that the Core has processed a frame.
func (st *stream) processed(size int) {
	if st.queued.Add(-int64(size)) <= maxQueued {
		select {
		case st.room <- struct{}{}:
		default:
		}
	}
}

// close ends the link at once.
func (st *stream) close() {
	st.closeOnce.Do(func() {
		close(st.done)
		_ = st.conn.Close()
	})
}

// drain ends the link after the frames in its outbox have been written.
func (st *stream) drain() { st.drainOnce.Do(func() { close(st.draining) }) }

// inboundPeer is the remote side of an accepted connection.
type inboundPeer struct {
	name  string // host name in its certificate; empty without TLS
	conn  *countedConn
	first *firstCallConn
	// callTimeout closes the connection unless its first procedure is called in time.
	callTimeout *time.Timer
}

// maxFirstCall is how many bytes an accepted connection may send until its hello, or the call of
// another procedure, has been received.
const maxFirstCall = 64 << 10

// firstCallConn is an accepted connection that fails after maxFirstCall bytes until accept is
// called. Package drpc keeps up to 4 MB of a packet in memory.
type firstCallConn struct {
	net.Conn
	received int // only read and written by Read
	accepted atomic.Bool
}

func (c *firstCallConn) accept() { c.accepted.Store(true) }

// Read implements net.Conn.
func (c *firstCallConn) Read(p []byte) (int, error) {
	if c.accepted.Load() {
		return c.Conn.Read(p) //nolint:wrapcheck // the caller compares with io.EOF
	}
	if c.received >= maxFirstCall {
		return 0, ErrFrame
	}
	n, err := c.Conn.Read(p[:min(len(p), maxFirstCall-c.received)])
	c.received += n
	return n, err //nolint:wrapcheck // the caller compares with io.EOF
}

type peerKey struct{}

func withPeer(ctx context.Context, p *inboundPeer) context.Context {
	return context.WithValue(ctx, peerKey{}, p)
}

func (t *Transport) secureServer(conn net.Conn) (net.Conn, string, error) {
	if t.creds.Server == nil {
		return conn, "", nil
	}
	return t.handshake(tls.Server(conn, t.creds.Server()))
}

func (t *Transport) secureClient(conn net.Conn) (net.Conn, string, error) {
	if t.creds.Client == nil {
		return conn, "", nil
	}
	return t.handshake(tls.Client(conn, t.creds.Client()))
}

func (t *Transport) handshake(c *tls.Conn) (net.Conn, string, error) {
	ctx, cancel := context.WithTimeout(t.ctx, helloTimeout)
	defer cancel()
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, "", errors.Wrap(err, "peer: TLS handshake")
	}
	name, err := t.creds.VerifyPeer(c.ConnectionState())
	return c, name, err
}

// connect opens a connection to a peer, with TLS if there are credentials.
func (t *Transport) connect(ctx context.Context, addr string) (*countedConn, error) {
	conn, err := t.dialTCP(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	secured, _, err := t.secureClient(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return t.traffic.wrap(secured), nil
}

// dial opens a link. It posts LinkUp to the Core, or DialFailed on failure.
func (t *Transport) dial(c Dial) {
	ctx, cancel := context.WithTimeout(t.ctx, helloTimeout)
	defer cancel()
	conn, err := t.connect(ctx, c.Addr)
	if err != nil {
		t.Post(DialFailed{Addr: c.Addr, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	rpc := drpcconn.New(conn)
	st, hello, err := t.openStream(rpc, conn, c.Hello)
	if err != nil {
		_ = conn.Close()
		t.Post(DialFailed{Addr: c.Addr})
		return
	}
	t.wg.Go(func() {
		defer func() { _ = rpc.Close() }()
		t.runLink(st, LinkUp{Link: st.id, Hello: hello, Addr: c.Addr})
	})
}

// openStream starts the stream of an outbound link, sends own and returns the peer's
// hello.
func (t *Transport) openStream(rpc *drpcconn.Conn, conn *countedConn, own Hello) (*stream, Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	st, err := rpc.NewStream(t.ctx, rpcLink, rawEncoding{})
	if err != nil {
		return nil, Hello{}, errors.WithStack(err)
	}
	b, err := EncodeFrame(own)
	if err != nil {
		return nil, Hello{}, err
	}
	if err := st.MsgSend(&rawMessage{b}, rawEncoding{}); err != nil {
		return nil, Hello{}, errors.WithStack(err)
	}
	hello, err := recvHello(st)
	if err != nil {
		return nil, Hello{}, err
	}
	_ = conn.SetDeadline(time.Time{})
	conn.setPeer(hello.Member)
	return t.newStream(st, conn), hello, nil
}

func recvHello(rpc drpc.Stream) (Hello, error) {
	var m rawMessage
	if err := rpc.MsgRecv(&m, rawEncoding{}); err != nil {
		return Hello{}, errors.WithStack(err)
	}
	f, err := DecodeFrame(m.bytes)
	if err != nil {
		return Hello{}, err
	}
	hello, ok := f.(Hello)
	if !ok {
		return Hello{}, ErrFrame
	}
	return hello, nil
}

func (t *Transport) newStream(rpc drpc.Stream, conn *countedConn) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	st := &stream{
		id: t.lastID, rpc: rpc, conn: conn,
		out: make(chan []byte, outboxSize), done: make(chan struct{}), draining: make(chan struct{}),
		room: make(chan struct{}, 1),
	}
	t.streams[st.id] = st
	return st
}

// serveLink runs a link that a peer has opened. The host name in the peer's
// certificate must equal the host in its hello.
func (t *Transport) serveLink(rpc drpc.Stream) error {
	p, _ := rpc.Context().Value(peerKey{}).(*inboundPeer)
	if p == nil {
		return errors.New("peer: stream context has no accepted connection")
	}
	_ = p.conn.SetReadDeadline(time.Now().Add(helloTimeout))
	hello, err := recvHello(rpc)
	if err != nil {
		t.log.Emit(event.PeerGarbage, event.Fields{event.Subject: p.conn.RemoteAddr().String()})
		return err
	}
	if p.name != "" && p.name != hello.Member.Host {
		t.refused.Inc()
		t.log.Emit(event.PeerRefused, event.Fields{event.Subject: p.name, "claims": hello.Member.Host})
		return errors.Errorf("peer: certificate is for host %q, hello claims host %q", p.name, hello.Member.Host)
	}
	_ = p.conn.SetReadDeadline(time.Time{})
	p.first.accept()
	p.conn.setPeer(hello.Member)
	st := t.newStream(rpc, p.conn)
	t.runLink(st, LinkUp{Link: st.id, Hello: hello})
	return nil
}

// runLink runs an open link until either side ends it.
func (t *Transport) runLink(st *stream, up LinkUp) {
	stop := context.AfterFunc(t.ctx, st.close)
	defer stop()
	t.wg.Go(func() { t.write(st) })
	if t.Post(up) {
		t.read(st)
	}
	st.close()
	t.mu.Lock()
	delete(t.streams, st.id)
	t.mu.Unlock()
	t.Post(LinkDown{st.id})
}

func (t *Transport) read(st *stream) {
	for st.awaitRoom() {
		var m rawMessage
		if err := st.rpc.MsgRecv(&m, rawEncoding{}); err != nil {
			return
		}
		f, err := DecodeFrame(m.bytes)
		if err != nil {
			t.log.Emit(event.PeerGarbage, event.Fields{event.Subject: st.conn.RemoteAddr().String()})
			return
		}
		st.queued.Add(int64(len(m.bytes)))
		if !t.Post(queuedFrame{Received{st.id, f}, st, len(m.bytes)}) {
			return
		}
	}
}

func (t *Transport) write(st *stream) {
	defer st.close()
	for {
		select {
		case <-st.done:
			return
		case b := <-st.out:
			if !st.writeFrame(b) {
				return
			}
		case <-st.draining:
			for len(st.out) > 0 {
				if !st.writeFrame(<-st.out) {
					return
				}
			}
			return
		}
	}
}

func (st *stream) writeFrame(b []byte) bool {
	_ = st.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	return st.rpc.MsgSend(&rawMessage{b}, rawEncoding{}) == nil
}
