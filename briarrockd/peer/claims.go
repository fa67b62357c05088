package peer

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// minForwardingDomain is the size of a domain from which on its nodes forward their
// claims to the root, which commits them in batches. In a smaller domain the nodes' own
// transactions are few enough, and saving a hop is worth more.
const minForwardingDomain = 8

// ErrNotForwarded reports that no claims were sent, because this node commits its own
// claims or because the connection to the root failed. The caller is to commit them.
var ErrNotForwarded = errors.New("peer: claims not forwarded to the root of the domain")

// claimsConn is a long-lived connection to the root of the domain. A drpc connection
// carries one call at a time, and at most one batch is in flight.
type claimsConn struct {
	mu   sync.Mutex
	addr string
	rpc  *drpcconn.Conn
}

func (c *claimsConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		_ = c.rpc.Close()
		c.rpc = nil
	}
}

// Committers returns the address of the node that commits this node's claims, empty for
// this node itself, and the number of nodes in the mesh that commit claims.
func (c *Core) Committers() (string, int) {
	n := 0
	for _, d := range c.table.domains {
		if d.count >= minForwardingDomain {
			n++
		} else {
			n += d.count
		}
	}
	r := c.root()
	if r == nil || r.Host == c.self.Host || len(c.table.members(c.self.Domain)) < minForwardingDomain {
		return "", n
	}
	return r.PeerAddr, n
}

// ForwardClaims sends a batch of claims, encoded by package claim, to the root of the
// domain and returns its answer. It returns ErrNotForwarded if nothing was sent.
func (t *Transport) ForwardClaims(ctx context.Context, batch []byte) ([]byte, error) {
	addr := ""
	t.WithCore(func(core *Core) { addr, _ = core.Committers() })
	if addr == "" {
		return nil, ErrNotForwarded
	}
	t.claimsConn.mu.Lock()
	defer t.claimsConn.mu.Unlock()
	rpc, err := t.claimsRPC(ctx, addr)
	if err != nil {
		return nil, ErrNotForwarded
	}
	out := new(rawMessage)
	if err := rpc.Invoke(ctx, rpcClaims, rawEncoding{}, &rawMessage{batch}, out); err != nil {
		_ = rpc.Close()
		t.claimsConn.rpc = nil
		return nil, errors.Wrap(err, "peer: claims")
	}
	return out.bytes, nil
}

// claimsRPC returns the long-lived connection. It opens a new one if the root has
// changed or the connection is closed.
func (t *Transport) claimsRPC(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	c := &t.claimsConn
	if c.rpc != nil && c.addr == addr && !isClosed(c.rpc) {
		return c.rpc, nil
	}
	if c.rpc != nil {
		_ = c.rpc.Close()
		c.rpc = nil
	}
	conn, err := t.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn.setPeer(Member{Domain: t.domain})
	c.rpc, c.addr = drpcconn.New(conn), addr
	return c.rpc, nil
}

func isClosed(rpc *drpcconn.Conn) bool {
	select {
	case <-rpc.Closed():
		return true
	default:
		return false
	}
}

func (t *Transport) serveClaims(rpc drpc.Stream) error {
	var in rawMessage
	if err := rpc.MsgRecv(&in, rawEncoding{}); err != nil {
		return errors.Wrap(err, "peer: claims")
	}
	if t.commitClaims == nil {
		return ErrNotForwarded
	}
	out, err := t.commitClaims(rpc.Context(), in.bytes)
	if err != nil {
		return err
	}
	return errors.WithStack(rpc.MsgSend(&rawMessage{out}, rawEncoding{}))
}
