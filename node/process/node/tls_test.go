package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/certtest"
	"github.com/radishstand/radishstand/node/connection/peer"
)

// peerFiles returns the identity of a node with the given name in its certificate.
func peerFiles(a *certtest.Authority, name string, change func(*x509.Certificate)) TLSConfig {
	files := a.Issue(name, change)
	return TLSConfig{CertFile: files.CertFile, KeyFile: files.KeyFile, CAFile: a.CAFile}
}

// answerer answers every ping.
type answerer struct{ peerpb.UnimplementedPeerServer }

func (answerer) Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{Alive: true}, nil
}

// identityOf returns nil for a node without TLS.
func identityOf(c TLSConfig) *identity { return newKeys(&Config{TLS: c}, nil).peers }

func servePings(t *testing.T, c TLSConfig) string {
	listener, err := net.Listen("tcp", anyPort)
	require.NoError(t, err)
	credentials, _ := peerCredentials(identityOf(c))
	server := peer.NewServer(credentials, answerer{})
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

// Guards against peer traffic with processes that do not belong to the fleet, on either side.
func TestOnlyNodesOfTheFleetTalk(t *testing.T) {
	fleet, stranger := certtest.New(t), certtest.New(t)
	member, impostor := peerFiles(fleet, peerServerName, nil), peerFiles(stranger, peerServerName, nil)
	impostor.CAFile = fleet.CAFile
	expired := peerFiles(fleet, "expired", func(c *x509.Certificate) {
		c.DNSNames = []string{peerServerName}
		certtest.Expired(c)
	})
	cases := map[string]struct {
		server, client TLSConfig
		allowed        bool
	}{
		"two nodes of the fleet":                         {member, member, true},
		"a client of another authority":                  {member, peerFiles(stranger, peerServerName, nil), false},
		"a server of another authority":                  {peerFiles(stranger, peerServerName, nil), member, false},
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

// Guards against peer traffic with a process that shows no certificate at all, or whose TLS is older than allowed.
func TestPeersNeedACertificateAndCurrentTLS(t *testing.T) {
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
				_, err = io.ReadAll(conn)
			}
			require.ErrorContains(t, err, c.refuse)
			require.Error(t, pingWith(t, credentials.NewTLS(c.config), address))
		})
	}
}

// Guards against keys that need a restart: replaced files are used, and broken files keep the old key in use.
func TestReplacedKeysAreUsedWithoutARestart(t *testing.T) {
	fleet := certtest.New(t)
	config := peerFiles(fleet, peerServerName, nil)
	i := newIdentity(config, nil)
	first, err := i.current()
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(config.CertFile, []byte("half written"), 0o600))
	i.at = time.Time{}
	kept, err := i.current()
	require.NoError(t, err)
	require.Equal(t, first, kept)
	peerFiles(fleet, peerServerName, nil)
	i.at = time.Time{}
	replaced, err := i.current()
	require.NoError(t, err)
	require.NotEqual(t, first.certificate.Certificate, replaced.certificate.Certificate)
}
