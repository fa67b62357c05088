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
		Locations: twoRegions, NodesPerDomain: 1, Services: []string{"orderdesk"}, Authority: a,
		Target: standintarget.Config{Slots: 2, Conns: 20},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(m.Close)
	c.Assert(m.WaitJoined(testTimeout), qt.IsNil)
	return m, a
}

// clientFor returns an HTTP client with a certificate for a name in a role, and its
// keys.
func clientFor(c *qt.C, a *local.Authority, name string, role keys.Role) (*http.Client, *keys.Keys) {
	files, err := a.Issue(name, role)
	c.Assert(err, qt.IsNil)
	k, err := keys.Load(keys.Files{Cert: files.Cert, Key: files.Key, CA: files.CA})
	c.Assert(err, qt.IsNil)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: k.ClientConfig()}, Timeout: testTimeout}, k
}

// TestSecure runs a mesh with certificates and connects to it with wrong ones.
//
// A client that is accepted as a peer could send calls or versions to any node,
// and a client that is accepted as an operator could change the text. A client
// with a certificate for another role, of another authority, or without one must
// be rejected.
func TestSecure(t *testing.T) {
	c := qt.New(t)
	m, a := startSecure(c)
	ctx := context.Background()
	res, err := m.Operator(1).Apply(ctx, api.Apply{Text: []byte(meshText), Write: "secure-text"})
	c.Assert(err, qt.IsNil)
	c.Assert(res.Outcome, qt.Equals, api.Accepted)
	c.Assert(m.WaitInForce(1, testTimeout), qt.IsNil)
	waitTargets(c, m, 4)
	for i := range m.Nodes {
		c.Check(sendCall(m, i, "GET", "/orders", "").status, qt.Equals, http.StatusOK)
	}
	h, err := m.Operator(0).History(ctx, 0, 10)
	c.Assert(err, qt.IsNil)
	c.Check(h.Entries[0].Who, qt.Equals, "otto")

	otherCA, err := local.NewAuthority(c.TempDir())
	c.Assert(err, qt.IsNil)
	node := m.Nodes[0].Cfg
	nodeClient, nodeKeys := clientFor(c, a, "northgate-9", keys.Node)
	operatorClient, operatorKeys := clientFor(c, a, "eve", keys.Operator)
	untrusted, _ := clientFor(c, otherCA, "northgate-9", keys.Node)

	// The operator API rejects a node's certificate.
	_, err = api.New(nodeClient, "https://"+node.OperatorAddr, "").Status(ctx)
	c.Check(err, qt.ErrorMatches, ".*401.*")
	// The call address, which nodes use, rejects an operator's certificate.
	r, err := operatorClient.Get("https://" + node.CallAddr + "/orders")
	c.Assert(err, qt.IsNil)
	_ = r.Body.Close()
	c.Check(r.Header.Get(kind.HeaderKind), qt.Equals, string(kind.Caller))
	// A certificate of another authority fails in the TLS handshake, and plaintext
	// is rejected.
	_, err = untrusted.Get("https://" + node.CallAddr + "/orders")
	c.Check(err, qt.IsNotNil)
	plaintext, err := http.Get("http://" + node.CallAddr + "/orders")
	if err == nil {
		_ = plaintext.Body.Close()
		c.Check(plaintext.StatusCode, qt.Equals, http.StatusBadRequest)
	}

	// A peer must be a node and use the name in its certificate.
	c.Check(linkAs(c, node.PeerAddr, operatorKeys, "eve"), qt.IsFalse)
	c.Check(linkAs(c, node.PeerAddr, nodeKeys, "millbank-0"), qt.IsFalse)
	c.Check(linkAs(c, node.PeerAddr, nodeKeys, "northgate-9"), qt.IsTrue)
	c.Check(linkAs(c, node.PeerAddr, nil, "northgate-9"), qt.IsFalse)
}

// linkAs tries to open a link to a node under a name, and reports whether the node
// accepted it and sent its members.
func linkAs(c *qt.C, addr string, k *keys.Keys, name string) bool {
	var p peer.Credentials
	if k != nil {
		p = peer.Credentials{
			Client: k.ClientConfig, Server: k.ServerConfig,
			VerifyPeer: func(cs tls.ConnectionState) (string, error) { return keys.PeerName(cs, keys.Node) },
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	links := peer.NewTransport(peer.Config{
		Self:     peer.Member{Host: name, Domain: "elsewhere", Region: "elsewhere", PeerAddr: l.Addr().String(), CallAddr: "127.0.0.1:1", Incarnation: 1},
		Contacts: []string{addr},
	}, peer.Deps{Store: unavailableStore{}, Credentials: p, Listener: l, Hooks: peer.Hooks{
		ServeVersion: func(peer.ServeVersion) {}, PublishMembers: func(peer.PublishMembers) {}, HeldRequest: func(peer.HeldRequest) {},
	}})
	defer links.Close()
	linked := func() bool {
		n := 0
		links.WithCore(func(core *peer.Core) { n = core.Members() })
		return n > 1
	}
	return local.WaitUntil(linkTimeout, linked) == nil
}

// linkTimeout is long enough for many connection attempts of linkAs.
const linkTimeout = 2 * time.Second

// TestReload replaces the key files of a running node: new connections must use
// the new files, and invalid files must not change the certificate in use.
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
