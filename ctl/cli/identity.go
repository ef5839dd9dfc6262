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

// Identity names the files with which a command authenticates nodes and authenticates itself as an operator's.
type Identity struct {
	// CAFile is a PEM file with the CA of the listeners' certificates. If it is empty, the system's CAs are used.
	CAFile string
	// CertFile and KeyFile are PEM files with the operator's client certificate and its key.
	CertFile, KeyFile string
	// TokenFile is a file with the operators' bearer token.
	TokenFile string
}

// BearerToken returns the token from the options or from the token file, or "" if neither is set.
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

// TLS returns the TLS configuration of connections to nodes.
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
	// The certificate is sent regardless of the CAs that the node accepts, so that the node reports why it refuses it.
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	return config, nil
}

// Endpoint returns the URL of a listener that is given as host:port or URL. The default scheme is https, except for
// loopback addresses if no option configures TLS: the token must not leave the host unencrypted unless the address has the
// scheme http.
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
