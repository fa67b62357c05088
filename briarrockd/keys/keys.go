// Package keys holds a node's certificate and its trusted certificate authority,
// and makes configurations for mutual TLS 1.3 from them. The files can be
// replaced while the node runs: Reload reads them again, and connections made
// after that use the new ones.
//
//	k, err := keys.Load(keys.Files{Cert: "node.crt", Key: "node.key", CA: "ca.crt"})
//	listener := tls.NewListener(l, k.ServerConfig())
//
// The certificate's organizational unit is the role of its holder: "node" for a
// node, "operator" for an operator. PeerName checks it, so that an operator's
// certificate is not accepted as a node's, nor a node's as an operator's.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Role is the role that a certificate gives its holder.
type Role string

// The roles.
const (
	Node     Role = "node"
	Operator Role = "operator"
)

// ErrRole reports a certificate that is missing or has another role.
var ErrRole = errors.New("keys: no certificate with the required role")

// Files are the paths of the PEM files.
type Files struct{ Cert, Key, CA string }

// Keys holds the certificate, its private key and the authority that were loaded
// last.
type Keys struct {
	files   Files
	current atomic.Pointer[credentials]
}

type credentials struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// Load reads the files.
func Load(f Files) (*Keys, error) {
	k := &Keys{files: f}
	return k, k.Reload()
}

// Reload reads the files again. If it returns an error, the old keys stay in use.
func (k *Keys) Reload() error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return errors.Wrap(err, "keys: load certificate")
	}
	pem, err := os.ReadFile(k.files.CA)
	if err != nil {
		return errors.Wrap(err, "keys: load certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("keys: no certificate found in %s", k.files.CA)
	}
	k.current.Store(&credentials{cert, pool})
	return nil
}

// ServerConfig returns a configuration for a listener. Clients must present a
// certificate that the authority has signed.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := k.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{creds.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    creds.pool,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// ClientConfig returns a configuration for connecting to a node. Nodes are
// addressed by IP address and have no DNS names. So instead of the host name it
// verifies that the authority has signed the certificate and that its role is
// Node.
func (k *Keys) ClientConfig() *tls.Config {
	creds := k.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{creds.cert},
		// VerifyConnection replaces the default verification, which needs a host
		// name.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the certificate
		VerifyConnection: func(cs tls.ConnectionState) error {
			if err := verifyChain(cs, creds.pool); err != nil {
				return err
			}
			_, err := PeerName(cs, Node)
			return err
		},
	}
}

func verifyChain(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("keys: no certificate presented")
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
	return errors.Wrap(err, "keys: verify certificate")
}

// PeerName returns the common name of the peer's certificate. It returns ErrRole
// if there is no certificate or it does not have the role.
func PeerName(cs tls.ConnectionState, role Role) (string, error) {
	if len(cs.PeerCertificates) == 0 {
		return "", ErrRole
	}
	subject := cs.PeerCertificates[0].Subject
	if !slices.Contains(subject.OrganizationalUnit, string(role)) {
		return "", errors.Wrapf(ErrRole, "certificate of %q does not have the role %q", subject.CommonName, role)
	}
	return subject.CommonName, nil
}
