// Package certtest issues certificates for tests.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Authority signs certificates. Its files are in a directory of the test.
type Authority struct {
	// CAFile holds the authority's own certificate.
	CAFile string

	t    testing.TB
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files are a certificate and its key.
type Files struct{ CertFile, KeyFile string }

// New returns a new Authority.
func New(t testing.TB) *Authority {
	a := &Authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.CAFile = a.write("ca.pem", "CERTIFICATE", der)
	return a
}

// Issue writes a certificate for servers and clients at 127.0.0.1 and its key. The name becomes the common name, the DNS
// name and the name of the files; change may alter the rest.
func (a *Authority) Issue(name string, change func(*x509.Certificate)) Files {
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if change != nil {
		change(template)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	return Files{CertFile: a.write(name+".pem", "CERTIFICATE", der), KeyFile: a.write(name+".key", "EC PRIVATE KEY", keyDER)}
}

// Expired makes a certificate that ended a minute ago.
func Expired(c *x509.Certificate) {
	c.NotBefore, c.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(-time.Minute)
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	return key
}

func (a *Authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}
