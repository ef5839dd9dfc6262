package node

import (
	"context"
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
	"google.golang.org/grpc"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/peer"
)

// authority signs certificates for tests.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	return key
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// config returns the identity of a node with the given name in its certificate.
func (a *authority) config(name string) TLSConfig {
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	return TLSConfig{
		CertFile: a.write(name+".pem", "CERTIFICATE", der), KeyFile: a.write(name+".key", "EC PRIVATE KEY", keyDER),
		CAFile: filepath.Join(a.dir, "ca.pem"),
	}
}

// answerer answers every ping.
type answerer struct{ peerpb.UnimplementedPeerServer }

func (answerer) Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{Alive: true}, nil
}

func servePings(t *testing.T, c TLSConfig) string {
	listener, err := net.Listen("tcp", anyPort)
	require.NoError(t, err)
	credentials, _ := peerCredentials(c)
	server := peer.NewServer(credentials, answerer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func ping(t *testing.T, c TLSConfig, address string) error {
	_, credentials := peerCredentials(c)
	pool := peer.NewPool(credentials)
	defer pool.Close()
	client, err := pool.Client(address)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err = client.Ping(ctx, &peerpb.PingRequest{}, grpc.WaitForReady(false))
	return err
}

// Guards against peer traffic with processes that do not belong to the fleet, on either side.
func TestOnlyNodesOfTheFleetTalk(t *testing.T) {
	fleet, stranger := newAuthority(t), newAuthority(t)
	member := fleet.config(peerServerName)
	cases := map[string]struct {
		server, client TLSConfig
		allowed        bool
	}{
		"two nodes of the fleet":                         {member, member, true},
		"a client of another authority":                  {member, stranger.config(peerServerName), false},
		"a server of another authority":                  {stranger.config(peerServerName), member, false},
		"a client without TLS":                           {member, TLSConfig{Insecure: true}, false},
		"a server with a certificate for something else": {fleet.config("printer"), member, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := ping(t, c.client, servePings(t, c.server))
			if c.allowed {
				require.NoError(t, err)
			} else {
				require.Error(t, err)
			}
		})
	}
}

// Guards against keys that need a restart: replaced files are used, and broken files keep the old key in use.
func TestReplacedKeysAreUsedWithoutARestart(t *testing.T) {
	fleet := newAuthority(t)
	i := &identity{config: fleet.config(peerServerName)}
	first, err := i.current()
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(i.config.CertFile, []byte("half written"), 0o600))
	i.at = time.Time{}
	kept, err := i.current()
	require.NoError(t, err)
	require.Equal(t, first, kept)
	fleet.config(peerServerName)
	i.at = time.Time{}
	replaced, err := i.current()
	require.NoError(t, err)
	require.NotEqual(t, first.certificate.Certificate, replaced.certificate.Certificate)
}
