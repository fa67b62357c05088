package local_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrock/local"
	"briarrock.example/briarrockd/keys"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/kind"
	api "briarrock.example/mesh/operator"
	standintarget "briarrock.example/standin/target"
)

func startSecure(c *qt.C) (*local.Mesh, *local.Authority) {
	a, err := local.NewAuthority(c.TempDir())
	c.Assert(err, qt.IsNil)
	m, err := local.Start(local.Spec{
		Places: twoRegions, PerDomain: 1, Services: []string{"orderdesk"}, Authority: a,
		Target: standintarget.Config{Slots: 2, Conns: 20},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(m.Close)
	c.Assert(m.Joined(patience), qt.IsNil)
	return m, a
}

// clientFor is an HTTP client with a certificate in a role.
func clientFor(c *qt.C, a *local.Authority, name string, role keys.Role) (*http.Client, *keys.Keys) {
	files, err := a.Issue(name, role)
	c.Assert(err, qt.IsNil)
	k, err := keys.Load(keys.Files{Cert: files.Cert, Key: files.Key, CA: files.CA})
	c.Assert(err, qt.IsNil)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: k.ClientConfig()}, Timeout: patience}, k
}

// TestSecure runs a mesh with certificates and knocks at its doors without the
// right ones.
//
// Whoever gets in as a peer could send any node work or versions, and whoever
// gets in as an operator could change the text. A certificate of another
// role, of another authority, or none must get nobody in.
func TestSecure(t *testing.T) {
	c := qt.New(t)
	m, a := startSecure(c)
	ctx := context.Background()
	res, err := m.Operator(1).Apply(ctx, api.Apply{Text: []byte(meshText), Write: "secure-text"})
	c.Assert(err, qt.IsNil)
	c.Assert(res.Outcome, qt.Equals, api.Accepted)
	c.Assert(m.InForce(1, patience), qt.IsNil)
	waitUpstreams(c, m, 4)
	for i := range m.Nodes {
		c.Check(call(m, i, "GET", "/orders", "").status, qt.Equals, http.StatusOK)
	}
	h, err := m.Operator(0).History(ctx, 0, 10)
	c.Assert(err, qt.IsNil)
	c.Check(h.Entries[0].Who, qt.Equals, "otto")

	other, err := local.NewAuthority(c.TempDir())
	c.Assert(err, qt.IsNil)
	node := m.Nodes[0].Cfg
	asNode, nodeKeys := clientFor(c, a, "northgate-9", keys.Node)
	asOperator, operatorKeys := clientFor(c, a, "eve", keys.Operator)
	stranger, _ := clientFor(c, other, "northgate-9", keys.Node)

	// A node's certificate is no operator's.
	_, err = api.New(asNode, "https://"+node.OperatorAddr, "").Status(ctx)
	c.Check(err, qt.ErrorMatches, ".*401.*")
	// An operator's is no node's, where calls come in.
	r, err := asOperator.Get("https://" + node.CallAddr + "/orders")
	c.Assert(err, qt.IsNil)
	_ = r.Body.Close()
	c.Check(r.Header.Get(kind.HeaderKind), qt.Equals, string(kind.Caller))
	// Another authority's, or none, ends in the handshake.
	_, err = stranger.Get("https://" + node.CallAddr + "/orders")
	c.Check(err, qt.IsNotNil)
	plain, err := http.Get("http://" + node.CallAddr + "/orders")
	if err == nil {
		_ = plain.Body.Close()
		c.Check(plain.StatusCode, qt.Equals, http.StatusBadRequest)
	}

	// A peer must be what its certificate says.
	c.Check(linkAs(c, node.PeerAddr, operatorKeys, "eve"), qt.IsFalse)
	c.Check(linkAs(c, node.PeerAddr, nodeKeys, "millbank-0"), qt.IsFalse)
	c.Check(linkAs(c, node.PeerAddr, nodeKeys, "northgate-9"), qt.IsTrue)
	c.Check(linkAs(c, node.PeerAddr, nil, "northgate-9"), qt.IsFalse)
}

// linkAs tries to open a link to a node under a name, and tells whether the
// node answered its hello.
func linkAs(c *qt.C, addr string, k *keys.Keys, name string) bool {
	var p peer.Keys
	if k != nil {
		p = peer.Keys{
			Client: k.ClientConfig, Server: k.ServerConfig,
			Peer: func(cs tls.ConnectionState) (string, error) { return keys.PeerName(cs, keys.Node) },
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	links := peer.NewLinks(peer.Config{
		Self:     peer.Member{Host: name, Domain: "elsewhere", Region: "elsewhere", Peer: l.Addr().String(), Call: "127.0.0.1:1", Incarnation: 1},
		Contacts: []string{addr},
	}, peer.Deps{Store: noStore{}, Keys: p, Listener: l, Hooks: peer.Hooks{
		Use: func(peer.Use) {}, Publish: func(peer.Publish) {}, Held: func(peer.Held) {},
	}})
	defer links.Close()
	linked := func() bool {
		n := 0
		links.Ask(func(h *peer.Core) { n = h.Members() })
		return n > 1
	}
	return local.Until(refusedWithin, linked) == nil
}

// refusedWithin is how long linkAs tries: many attempts, each refused.
const refusedWithin = 2 * time.Second

// TestReload replaces the key files of a running node: new connections use
// them, and files that are not good change nothing.
func TestReload(t *testing.T) {
	c := qt.New(t)
	m, a := startSecure(c)
	n := m.Nodes[0]
	serial := func() string {
		_, k := clientFor(c, a, "someone", keys.Node)
		conn, err := tls.Dial("tcp", n.Cfg.CallAddr, k.ClientConfig())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	first := serial()
	_, err := a.Issue(n.Cfg.Host, keys.Node)
	c.Assert(err, qt.IsNil)
	c.Check(serial(), qt.Equals, first)
	n.ReloadKeys()
	second := serial()
	c.Check(second, qt.Not(qt.Equals), first)
	c.Assert(os.WriteFile(n.Cfg.Security.Cert, []byte("not a certificate"), 0o600), qt.IsNil)
	n.ReloadKeys()
	c.Check(serial(), qt.Equals, second)
}
