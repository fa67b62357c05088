package peer

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// minForwardingDomain is the number of members from which on a domain's claims are
// gathered by its first node. Below it, every node's own transactions are few
// enough, and a hop less is worth more.
const minForwardingDomain = 8

// ErrNotForwarded says that there is nobody to hand claims to: this node is to
// commit them, or the one that gathers could not be connected to.
var ErrNotForwarded = errors.New("peer: no node gathers")

// claimsConn is a lasting connection to the first node of the domain. A drpc
// connection carries one call at a time, and there is one batch at a time.
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

// Committers returns the address of the node that gathers this one's claims,
// empty for this node itself, and how many nodes of the mesh commit claims.
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

// ForwardClaims sends claims to the node that gathers them. Its error is
// ErrNotForwarded if nothing was sent.
func (t *Transport) ForwardClaims(ctx context.Context, orders []byte) ([]byte, error) {
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
	if err := rpc.Invoke(ctx, rpcClaims, rawEncoding{}, &rawMessage{orders}, out); err != nil {
		_ = rpc.Close()
		t.claimsConn.rpc = nil
		return nil, errors.Wrap(err, "peer: claims")
	}
	return out.bytes, nil
}

// claimsRPC returns the lasting connection, opened anew if the first node is
// another one or the connection has ended.
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
