package node

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// TLSConfig names the files of a node's identity. They are read again when they change, so that keys are replaced
// without a restart.
type TLSConfig struct {
	// CertFile, KeyFile and CAFile are PEM files. The CA signs the certificates of all nodes.
	CertFile string
	KeyFile  string
	CAFile   string
	// Insecure runs without TLS between nodes.
	Insecure bool
}

// peerServerName is the name that every node's certificate carries. Nodes are known by IP numbers that change, so the
// certificate proves membership of the fleet and not an address.
const peerServerName = "radishnode"

// reloadAfter is how long loaded files are used before they are looked at again.
const reloadAfter = 5 * time.Second

// ErrNoCertificates means that a CA file holds no certificate.
var ErrNoCertificates = errors.New("no certificate found in the CA file")

func (c *TLSConfig) problems() problems {
	var p problems
	if c.Insecure {
		return nil
	}
	for path, value := range map[string]string{
		"tls.certFile": c.CertFile, "tls.keyFile": c.KeyFile, "tls.caFile": c.CAFile,
	} {
		if value == "" {
			p.add(path, "is empty; name a PEM file, or set tls.insecure to true to run without TLS between nodes")
		}
	}
	if len(p) > 0 {
		return p
	}
	if _, err := (&identity{config: *c}).load(); err != nil {
		p.add("tls", "%v", err)
	}
	return p
}

// identity is the loaded certificate and the CA.
type identity struct {
	config TLSConfig

	mu     sync.Mutex
	loaded *material
	at     time.Time
}

type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

func (i *identity) load() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(i.config.CertFile, i.config.KeyFile)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(i.config.CAFile)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, ErrNoCertificates
	}
	return &material{certificate: certificate, roots: roots}, nil
}

// current returns the material, loaded again if it is old. A failed reload keeps the old material, since files may be
// half written while keys are replaced.
func (i *identity) current() (*material, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.loaded != nil && time.Since(i.at) < reloadAfter {
		return i.loaded, nil
	}
	fresh, err := i.load()
	if err != nil && i.loaded == nil {
		return nil, err
	}
	if err == nil {
		i.loaded = fresh
	}
	i.at = time.Now()
	return i.loaded, nil
}

// peerCredentials returns the credentials of the server and the client side of connections between nodes.
func peerCredentials(c TLSConfig) (server, client credentials.TransportCredentials) {
	if c.Insecure {
		return insecure.NewCredentials(), insecure.NewCredentials()
	}
	i := &identity{config: c}
	serverTLS := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := i.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
				Certificates: []tls.Certificate{m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert, ClientCAs: m.roots,
			}, nil
		},
	}
	clientTLS := &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: peerServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m, err := i.current()
			if err != nil {
				return nil, err
			}
			return &m.certificate, nil
		},
		// The CA may be replaced while the node runs, so the chain is checked against the current one below.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verifyServer,
	}
	return credentials.NewTLS(serverTLS), credentials.NewTLS(clientTLS)
}

// verifyServer checks a peer's certificate against the current CA and the name of all nodes.
func (i *identity) verifyServer(state tls.ConnectionState) error {
	m, err := i.current()
	if err != nil {
		return err
	}
	options := x509.VerifyOptions{DNSName: peerServerName, Roots: m.roots, Intermediates: x509.NewCertPool()}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return err
}
