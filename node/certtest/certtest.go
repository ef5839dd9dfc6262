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

// Authority is a certificate authority for one test. Its files are in a temporary directory of the test.
type Authority struct {
	// CAFile is the path of the authority's own certificate.
	CAFile string

	t    testing.TB
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files holds the paths of a certificate and its key.
type Files struct{ CertFile, KeyFile string }

// New creates an Authority with a self-signed certificate.
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

// Issue creates a certificate for a server and client at 127.0.0.1 and its key, and writes both to files. name is the common
// name, the DNS name and the base name of the files. modify, if not nil, can change the certificate before it is signed.
func (a *Authority) Issue(name string, modify func(*x509.Certificate)) Files {
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if modify != nil {
		modify(template)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	return Files{CertFile: a.write(name+".pem", "CERTIFICATE", der), KeyFile: a.write(name+".key", "EC PRIVATE KEY", keyDER)}
}

// Expired sets the validity of a certificate to end a minute ago. Pass it to Issue as modify.
func Expired(c *x509.Certificate) {
	c.NotBefore, c.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(-time.Minute)
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	return key
}

func (a *Authority) write(name, blockType string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
	return path
}
