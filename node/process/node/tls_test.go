package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/certtest"
	"github.com/radishstand/radishstand/node/connection/peer"
)

// peerFiles issues a certificate with the given name and returns the TLS configuration of a node that uses it.
func peerFiles(a *certtest.Authority, name string, change func(*x509.Certificate)) TLSConfig {
	files := a.Issue(name, change)
	return TLSConfig{CertFile: files.CertFile, KeyFile: files.KeyFile, CAFile: a.CAFile}
}

// pingServer answers every ping.
type pingServer struct{ peerpb.UnimplementedPeerServer }

func (pingServer) Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{Alive: true}, nil
}

// identityOf returns the identity of a node, or nil for a node without TLS.
func identityOf(c TLSConfig) *identity { return newCertificates(&Config{TLS: c}, nil).peers }

func servePings(t *testing.T, c TLSConfig) string { return serveIdentity(t, identityOf(c)) }

func serveIdentity(t *testing.T, i *identity) string {
	listener, err := net.Listen("tcp", anyPort)
	require.NoError(t, err)
	credentials, _ := peerCredentials(i)
	server := peer.NewServer(credentials, pingServer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func ping(t *testing.T, c TLSConfig, address string) error {
	_, credentials := peerCredentials(identityOf(c))
	return pingWith(t, credentials, address)
}

func pingWith(t *testing.T, credentials credentials.TransportCredentials, address string) error {
	pool := peer.NewPool(credentials)
	defer pool.Close()
	client, err := pool.Client(address)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err = client.Ping(ctx, &peerpb.PingRequest{}, grpc.WaitForReady(false))
	return err
}

// Guards against peer connections from or to processes that do not belong to the fleet.
func TestOnlyFleetNodesCanConnect(t *testing.T) {
	fleet, otherCA := certtest.New(t), certtest.New(t)
	member, impostor := peerFiles(fleet, peerServerName, nil), peerFiles(otherCA, peerServerName, nil)
	impostor.CAFile = fleet.CAFile
	expired := peerFiles(fleet, "expired", func(c *x509.Certificate) {
		withPeerName(c)
		certtest.Expired(c)
	})
	cases := map[string]struct {
		server, client TLSConfig
		allowed        bool
	}{
		"two nodes of the fleet":                         {member, member, true},
		"a client of another authority":                  {member, peerFiles(otherCA, peerServerName, nil), false},
		"a server of another authority":                  {peerFiles(otherCA, peerServerName, nil), member, false},
		"a client of another authority that trusts ours": {member, impostor, false},
		"a client with an expired certificate":           {member, expired, false},
		"a server with an expired certificate":           {expired, member, false},
		"a client without TLS":                           {member, TLSConfig{Insecure: true}, false},
		"a server with a certificate for something else": {peerFiles(fleet, "printer", nil), member, false},
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

// Guards against peer connections from a process that presents no certificate or uses an outdated TLS version.
func TestPeersRequireACertificateAndCurrentTLS(t *testing.T) {
	fleet := certtest.New(t)
	member := peerFiles(fleet, peerServerName, nil)
	address := servePings(t, member)
	pair, err := tls.LoadX509KeyPair(member.CertFile, member.KeyFile)
	require.NoError(t, err)
	for name, c := range map[string]struct {
		config *tls.Config
		refuse string
	}{
		"no certificate": {&tls.Config{}, "certificate required"},
		"TLS 1.2":        {&tls.Config{Certificates: []tls.Certificate{pair}, MaxVersion: tls.VersionTLS12}, "protocol version"},
	} {
		t.Run(name, func(t *testing.T) {
			c.config.InsecureSkipVerify, c.config.NextProtos = true, []string{"h2"}
			conn, err := tls.Dial("tcp", address, c.config)
			if err == nil {
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(awaitTimeout)))
				_, err = io.ReadAll(conn)
			}
			require.ErrorContains(t, err, c.refuse)
			require.Error(t, pingWith(t, credentials.NewTLS(c.config), address))
		})
	}
}

// Guards against replaced keys that take effect only after a restart, and against invalid files that replace a working key.
func TestReplacedKeysAreUsedWithoutARestart(t *testing.T) {
	fleet := certtest.New(t)
	config := peerFiles(fleet, peerServerName, nil)
	i := newIdentity(config, nil)
	first, err := i.current()
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(config.CertFile, []byte("half written"), 0o600))
	i.loadedAt = time.Time{}
	kept, err := i.current()
	require.NoError(t, err)
	require.Equal(t, first, kept)
	peerFiles(fleet, peerServerName, nil)
	i.loadedAt = time.Time{}
	replaced, err := i.current()
	require.NoError(t, err)
	require.NotEqual(t, first.certificate.Certificate, replaced.certificate.Certificate)
}

// Guards against nodes that still trust a replaced CA, and against nodes that cannot connect during a rolling replacement of
// keys.
func TestReplacedFleetCATakesEffect(t *testing.T) {
	old, next := certtest.New(t), certtest.New(t)
	server, oldMember, newMember := peerFiles(old, "server", withPeerName), peerFiles(old, "a", withPeerName), peerFiles(next, "b", withPeerName)
	both := concatenate(t, old.CAFile, next.CAFile)
	server.CAFile, oldMember.CAFile, newMember.CAFile = concatenate(t, old.CAFile), both, both
	i := newIdentity(server, nil)
	address := serveIdentity(t, i)
	replace := func(from, to string) {
		data, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(to, data, 0o600))
		expire(&i.reloadable)
	}
	require.NoError(t, ping(t, oldMember, address))
	require.Error(t, ping(t, newMember, address))
	replace(both, server.CAFile)
	require.NoError(t, ping(t, oldMember, address))
	require.NoError(t, ping(t, newMember, address))
	replace(next.CAFile, server.CAFile)
	require.Error(t, ping(t, oldMember, address))
	require.NoError(t, ping(t, newMember, address))
}

func withPeerName(c *x509.Certificate) { c.DNSNames = []string{peerServerName} }

func concatenate(t *testing.T, files ...string) string {
	var all []byte
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		all = append(all, data...)
	}
	path := filepath.Join(t.TempDir(), "ca.pem")
	require.NoError(t, os.WriteFile(path, all, 0o600))
	return path
}

// Guards against values that are never reloaded or are reloaded with every request, and against unreported failures.
func TestValuesAreReloadedAfterTheInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loads, failures, failing := 0, 0, false
		r := &reloadable[int]{load: func() (int, error) {
			loads++
			if failing {
				return 0, errEmptyToken
			}
			return loads, nil
		}, onError: func(error) { failures++ }}
		requireValue := func(want int) {
			t.Helper()
			value, err := r.current()
			require.NoError(t, err)
			require.Equal(t, want, value)
		}
		requireValue(1)
		time.Sleep(reloadInterval - time.Millisecond)
		requireValue(1)
		time.Sleep(time.Millisecond)
		requireValue(2)
		failing = true
		time.Sleep(reloadInterval)
		requireValue(2)
		requireValue(2)
		require.Equal(t, 1, failures)
		failing = false
		time.Sleep(reloadInterval)
		requireValue(4)
	})
}
