// Package keys holds a node's certificate and the authority that it trusts,
// and makes TLS 1.3 settings from them. The files can be replaced while the
// node runs: Reload takes the new ones, and connections made after that use
// them.
//
//	k, err := keys.Load(keys.Files{Cert: "node.crt", Key: "node.key", CA: "ca.crt"})
//	listener := tls.NewListener(l, k.Server())
//
// Who may do what is in the certificate's organizational unit: a node has
// "node", an operator "operator". Name checks it, so that an operator's key
// can't pose as a node or the other way round.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Role is what a certificate's holder may be.
type Role string

// The roles.
const (
	Node     Role = "node"
	Operator Role = "operator"
)

// ErrRole says that a certificate is good but not for this.
var ErrRole = errors.New("keys: certificate has the wrong role")

// Files name the PEM files.
type Files struct{ Cert, Key, CA string }

// Keys are the keys of the moment.
type Keys struct {
	files Files
	now   atomic.Pointer[loaded]
}

type loaded struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// Load reads the files.
func Load(f Files) (*Keys, error) {
	k := &Keys{files: f}
	return k, k.Reload()
}

// Reload reads the files again. If they are not good, the old keys stay.
func (k *Keys) Reload() error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	pem, err := os.ReadFile(k.files.CA)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("keys: %s has no certificate", k.files.CA)
	}
	k.now.Store(&loaded{cert, pool})
	return nil
}

// ServerConfig returns settings for a listener: the other side must have a
// certificate of the same authority.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := k.now.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    l.pool,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// ClientConfig returns settings for connecting to a node. Nodes are known by
// address, not by a name in DNS, so instead of a host name it is checked that
// the certificate is of the authority and of a node.
func (k *Keys) ClientConfig() *tls.Config {
	l := k.now.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{l.cert},
		// The check of the host name is replaced, not left out: see below.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection does it
		VerifyConnection: func(cs tls.ConnectionState) error {
			if err := verify(cs, l.pool); err != nil {
				return err
			}
			_, err := PeerName(cs, Node)
			return err
		},
	}
}

func verify(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("keys: no certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return errors.Wrap(err, "keys")
}

// PeerName returns the common name of the other side's certificate, or ErrRole.
func PeerName(cs tls.ConnectionState, role Role) (string, error) {
	if len(cs.PeerCertificates) == 0 {
		return "", ErrRole
	}
	subject := cs.PeerCertificates[0].Subject
	if !slices.Contains(subject.OrganizationalUnit, string(role)) {
		return "", errors.Wrapf(ErrRole, "%q is not a %s", subject.CommonName, role)
	}
	return subject.CommonName, nil
}
