package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
)

// Identity names the files by which a command trusts nodes and proves to be an operator's.
type Identity struct {
	// CAFile is a PEM file with the CA that signs the certificates of the listeners; the system's CAs when empty.
	CAFile string
	// CertFile and KeyFile are PEM files with the operator's client certificate.
	CertFile, KeyFile string
	// TokenFile holds the operators' bearer token.
	TokenFile string
}

// BearerToken returns the token of the options, or "".
func (e *Env) BearerToken() (string, error) {
	if e.Identity.TokenFile == "" {
		return e.Token, nil
	}
	if e.Token != "" {
		return "", Fail(ExitInvalid, "token-file: a token is given as well; give only one of them")
	}
	text, err := os.ReadFile(e.Identity.TokenFile)
	if err != nil {
		return "", Fail(ExitInvalid, "token-file: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", Fail(ExitInvalid, "token-file: %s holds no token", e.Identity.TokenFile)
	}
	return token, nil
}

// TLS returns the configuration of connections to nodes.
func (e *Env) TLS() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if file := e.Identity.CAFile; file != "" {
		pem, err := os.ReadFile(file)
		if err != nil {
			return nil, Fail(ExitInvalid, "ca-file: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, Fail(ExitInvalid, "ca-file: %s holds no certificate", file)
		}
	}
	if e.Identity.CertFile == "" && e.Identity.KeyFile == "" {
		return config, nil
	}
	if e.Identity.CertFile == "" || e.Identity.KeyFile == "" {
		return nil, Fail(ExitInvalid, "cert-file and key-file: only one is given; a client certificate needs both")
	}
	pair, err := tls.LoadX509KeyPair(e.Identity.CertFile, e.Identity.KeyFile)
	if err != nil {
		return nil, Fail(ExitInvalid, "cert-file %s with key-file %s: %w", e.Identity.CertFile, e.Identity.KeyFile, err)
	}
	// Sent whatever CAs the node names, so that the node's answer says why it refuses the certificate.
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	return config, nil
}

// Endpoint returns the URL of a listener, given as host:port or URL. Without a scheme it is https, except on loopback
// when no option asks for TLS: the token must not leave the host in clear unless the address says http.
func (e *Env) Endpoint(address string) (string, error) {
	if !strings.Contains(address, "://") {
		scheme := "https://"
		if e.Identity.CAFile == "" && e.Identity.CertFile == "" && isLoopback(address) {
			scheme = "http://"
		}
		address = scheme + address
	}
	parsed, err := url.Parse(address)
	if err != nil {
		return "", Fail(ExitInvalid, "address: %w", err)
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return "", Fail(ExitInvalid, "address %q: allowed are host:port and URLs with http or https", address)
	}
	return strings.TrimSuffix(address, "/"), nil
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	ip, err := netip.ParseAddr(host)
	return host == "localhost" || err == nil && ip.Unmap().IsLoopback()
}
