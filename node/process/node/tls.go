package node

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// TLSConfig holds the paths of the files of a node's identity towards its peers. The files are reloaded at run time, so
// that keys are replaced without a restart.
type TLSConfig struct {
	// CertFile, KeyFile and CAFile are PEM files. The CA signs the certificates of all nodes.
	CertFile string
	KeyFile  string
	CAFile   string
	// Insecure disables TLS between nodes.
	Insecure bool
}

// ServerTLS holds the paths of the certificate files of an HTTP listener. The files are reloaded like those of TLSConfig.
type ServerTLS struct {
	// CertFile and KeyFile are PEM files. The listener serves plain HTTP when both are empty.
	CertFile string
	KeyFile  string
	// Insecure allows plain HTTP on an address other than loopback.
	Insecure bool
}

// enabled reports whether the listener uses TLS.
func (c *ServerTLS) enabled() bool { return c.CertFile != "" }

// peerServerName is the DNS name in the certificate of every node. Nodes are identified by IP addresses, which change, so
// the certificate proves membership of the fleet and not an address.
const peerServerName = "radishnode"

// Minimum TLS versions. Nodes and operators' clients are up to date; callers' clients may be older.
const (
	minPeerTLS     = tls.VersionTLS13
	minOperatorTLS = tls.VersionTLS13
	minCallerTLS   = tls.VersionTLS12
)

// ErrNoCertificates is returned for a CA file that contains no certificate.
var ErrNoCertificates = errors.New("no certificate found in the CA file")

// ExpiredError is returned for a file whose certificate has expired.
type ExpiredError struct {
	File  string
	Since time.Time
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the certificate in %s expired at %s", e.File, e.Since.UTC().Format(time.RFC3339))
}

func (c *TLSConfig) problems() problems {
	var p problems
	if c.Insecure {
		return nil
	}
	for _, file := range []struct{ path, value string }{
		{"tls.certFile", c.CertFile}, {"tls.keyFile", c.KeyFile}, {"tls.caFile", c.CAFile},
	} {
		if file.value == "" {
			p.add(file.path, "is empty; name a PEM file, or set tls.insecure to true to run without TLS between nodes")
		}
	}
	if len(p) > 0 {
		return p
	}
	m, err := loadKeyMaterial(*c)
	if err == nil {
		err = m.verify(time.Now())
	}
	if err != nil {
		p.add("tls", "%v", err)
	}
	return p
}

// problems validates the files of a listener; prefix is the path of the listener's options and address its listen address.
func (c *ServerTLS) problems(prefix, address string) problems {
	var p problems
	switch {
	case (c.CertFile == "") != (c.KeyFile == ""):
		p.add(prefix+".tls", "names only one of certFile and keyFile; TLS needs both")
	case c.enabled():
		if certificate, err := loadCertificate(c.CertFile, c.KeyFile); err != nil {
			p.add(prefix+".tls", "%v", err)
		} else if err := checkNotExpired(c.CertFile, certificate.Leaf); err != nil {
			p.add(prefix+".tls.certFile", "%v", err)
		}
	case !c.Insecure && !isLoopback(address):
		p.add(prefix+".tls.certFile", "is empty; name a PEM file, or set %s.tls.insecure to true to speak plain HTTP on %s", prefix, address)
	}
	return p
}

// keyMaterial is the identity of a node towards its peers: its certificate with key, and the CA.
type keyMaterial struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
	certFile    string
}

// verify runs the checks that peers run on the certificate.
func (m *keyMaterial) verify(now time.Time) error {
	if err := checkNotExpired(m.certFile, m.certificate.Leaf); err != nil {
		return err
	}
	if _, err := verifyChain(certificateChain(m.certificate), x509.VerifyOptions{
		DNSName: peerServerName, Roots: m.roots, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}); err != nil {
		return fmt.Errorf("other nodes would refuse the certificate in %s: %w", m.certFile, err)
	}
	return nil
}

func loadKeyMaterial(c TLSConfig) (*keyMaterial, error) {
	certificate, err := loadCertificate(c.CertFile, c.KeyFile)
	if err != nil {
		return nil, err
	}
	roots, err := loadRoots(c.CAFile)
	if err != nil {
		return nil, err
	}
	return &keyMaterial{certificate: certificate, roots: roots, certFile: c.CertFile}, nil
}

func loadCertificate(certFile, keyFile string) (*tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", certFile, keyFile, err)
	}
	return &certificate, nil
}

func loadRoots(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: %w", file, ErrNoCertificates)
	}
	return roots, nil
}

func checkNotExpired(file string, certificate *x509.Certificate) error {
	if time.Now().After(certificate.NotAfter) {
		return &ExpiredError{File: file, Since: certificate.NotAfter}
	}
	return nil
}

// certificateChain returns the certificates of a file, the leaf first.
func certificateChain(certificate *tls.Certificate) []*x509.Certificate {
	chain := []*x509.Certificate{certificate.Leaf}
	for _, der := range certificate.Certificate[1:] {
		if parsed, err := x509.ParseCertificate(der); err == nil {
			chain = append(chain, parsed)
		}
	}
	return chain
}

// verifyChain verifies the first certificate of the chain and returns it; the others may be intermediates.
func verifyChain(chain []*x509.Certificate, options x509.VerifyOptions) (*x509.Certificate, error) {
	options.Intermediates = x509.NewCertPool()
	for _, certificate := range chain[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(options)
	return chain[0], err
}

// identity is the loaded identity of a node towards its peers.
type identity struct{ reloadable[*keyMaterial] }

func newIdentity(c TLSConfig, onError func(error)) *identity {
	return &identity{reloadable[*keyMaterial]{
		load: func() (*keyMaterial, error) { return loadKeyMaterial(c) }, onError: onError,
	}}
}

// peerCredentials returns the server and client credentials of connections between nodes. With a nil identity, the
// connections use no TLS.
func peerCredentials(i *identity) (server, client credentials.TransportCredentials) {
	if i == nil {
		return insecure.NewCredentials(), insecure.NewCredentials()
	}
	serverTLS := &tls.Config{
		MinVersion: minPeerTLS,
		NextProtos: []string{"h2"},
		// Session resumption would skip the verification against a replaced CA.
		SessionTicketsDisabled: true,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := i.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion: minPeerTLS, NextProtos: []string{"h2"}, SessionTicketsDisabled: true,
				Certificates: []tls.Certificate{*m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert, ClientCAs: m.roots,
			}, nil
		},
	}
	clientTLS := &tls.Config{
		MinVersion: minPeerTLS,
		ServerName: peerServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m, err := i.current()
			if err != nil {
				return nil, err
			}
			return m.certificate, nil
		},
		// The CA may be replaced at run time, so VerifyConnection verifies the chain against the current CA instead.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verifyServer,
	}
	return credentials.NewTLS(serverTLS), credentials.NewTLS(clientTLS)
}

// verifyServer verifies the certificate of a peer against the current CA and peerServerName.
func (i *identity) verifyServer(state tls.ConnectionState) error {
	m, err := i.current()
	if err != nil {
		return err
	}
	_, err = verifyChain(state.PeerCertificates, x509.VerifyOptions{DNSName: peerServerName, Roots: m.roots})
	return err
}

// serverCertificate is the loaded certificate of an HTTP listener.
type serverCertificate struct{ reloadable[*tls.Certificate] }

func newServerCertificate(c ServerTLS, onError func(error)) *serverCertificate {
	return &serverCertificate{reloadable[*tls.Certificate]{
		load: func() (*tls.Certificate, error) { return loadCertificate(c.CertFile, c.KeyFile) }, onError: onError,
	}}
}

// config returns the TLS configuration of a listener. It offers HTTP/1.1 only: with HTTP/2, one connection could carry
// hundreds of calls past the connection limit, and an aborted answer would no longer close its connection.
func (s *serverCertificate) config(minVersion uint16, clients tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: minVersion, NextProtos: []string{"http/1.1"}, ClientAuth: clients,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current() },
	}
}

// certificates holds the certificates of a node's listeners; each is nil if that listener uses no TLS.
type certificates struct {
	peers     *identity
	callers   *serverCertificate
	operators *serverCertificate
}

func newCertificates(c *Config, onError func(error)) *certificates {
	certs := &certificates{}
	if !c.TLS.Insecure {
		certs.peers = newIdentity(c.TLS, onError)
	}
	if c.CallersTLS.enabled() {
		certs.callers = newServerCertificate(c.CallersTLS, onError)
	}
	if c.Operators.TLS.enabled() {
		certs.operators = newServerCertificate(c.Operators.TLS, onError)
	}
	return certs
}

// expiries returns, for each listener with TLS, a function that returns the expiry time of the current certificate, or the
// Unix epoch if the certificate cannot be loaded.
func (c *certificates) expiries() map[string]func() time.Time {
	list := map[string]func() time.Time{}
	if c.peers != nil {
		list["peers"] = func() time.Time {
			m, err := c.peers.current()
			if err != nil {
				return time.Unix(0, 0)
			}
			return m.certificate.Leaf.NotAfter
		}
	}
	for listener, certificate := range map[string]*serverCertificate{"callers": c.callers, "operators": c.operators} {
		if certificate != nil {
			list[listener] = certificate.expiry
		}
	}
	return list
}

func (s *serverCertificate) expiry() time.Time {
	certificate, err := s.current()
	if err != nil {
		return time.Unix(0, 0)
	}
	return certificate.Leaf.NotAfter
}
