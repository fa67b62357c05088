package local

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/briarrockd/keys"
	"briarrock.example/briarrockd/settings"
)

// Authority is a certificate authority for a mesh on loopback addresses. In a
// deployment the operator provides one.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates a certificate authority that stores its files in dir. Its
// certificates are valid for 24 hours.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	a := &Authority{dir: dir, key: key, cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return a, writePEM(a.path("ca.crt"), "CERTIFICATE", der)
}

func (a *Authority) path(name string) string { return filepath.Join(a.dir, name) }

func writePEM(path, kind string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.WithStack(os.WriteFile(path, b, 0o600))
}

// Issue creates a certificate for a name in a role and returns the paths of its
// files.
func (a *Authority) Issue(name string, role keys.Role) (settings.Security, error) {
	out := settings.Security{Cert: a.path(name + ".crt"), Key: a.path(name + ".key"), CA: a.path("ca.crt")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return out, errors.WithStack(err)
	}
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore:    time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return out, errors.WithStack(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return out, errors.WithStack(err)
	}
	if err := writePEM(out.Key, "PRIVATE KEY", private); err != nil {
		return out, err
	}
	return out, writePEM(out.Cert, "CERTIFICATE", der)
}
