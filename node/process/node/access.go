package node

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/radishstand/radishstand/api/operator"
)

// OperatorAccess configures the authentication of operators: by bearer token, by client certificate, or by either.
type OperatorAccess struct {
	// TLS configures TLS on the operators' listener.
	TLS ServerTLS
	// Token is the bearer token. TokenFile is the path of a file that contains it instead, which is reloaded at run time.
	Token     string
	TokenFile string
	// ClientCAFile is a PEM file with the CA of operators' certificates.
	ClientCAFile string
	// ClientCommonNames and ClientURIs list the common names and URIs of which a client certificate must have one. A
	// certificate of the CA without any of them is refused, so that a node whose CA is shared does not become an operator.
	ClientCommonNames []string
	ClientURIs        []string
	// Open disables the authentication of operators.
	Open bool
}

func (c *OperatorAccess) problems(address string) problems {
	p := c.TLS.problems("operators", address)
	if c.Token != "" && c.TokenFile != "" {
		p.add("operators.tokenFile", "is given together with operators.token; give only one of them")
	}
	if c.TokenFile != "" {
		if _, err := loadToken(c.TokenFile); err != nil {
			p.add("operators.tokenFile", "%v", err)
		}
	}
	if c.Token == "" && c.TokenFile == "" && c.ClientCAFile == "" && !c.Open {
		p.add("operators.token", "is empty; give a token, operators.tokenFile or operators.clients.caFile, or set operators.open to true to let everyone in")
	}
	return append(p, c.clientProblems()...)
}

func (c *OperatorAccess) clientProblems() problems {
	var p problems
	names := len(c.ClientCommonNames) + len(c.ClientURIs)
	if c.ClientCAFile == "" {
		if names > 0 {
			p.add("operators.clients.caFile", "is empty; name a PEM file with the CA that signs operators' certificates")
		}
		return p
	}
	if names == 0 {
		p.add("operators.clients", "allows no name; list the operators in commonNames or uris")
	}
	if !c.TLS.enabled() {
		p.add("operators.clients.caFile", "needs TLS; give operators.tls.certFile and operators.tls.keyFile")
	}
	if _, err := loadRoots(c.ClientCAFile); err != nil {
		p.add("operators.clients.caFile", "%v", err)
	}
	return p
}

// errEmptyToken is returned for a token file that contains no token.
var errEmptyToken = errors.New("the file holds no token")

// tokenDigest is the SHA-256 hash of a token. Digests are compared instead of tokens, so that the comparison does not
// reveal the length of the token.
type tokenDigest [sha256.Size]byte

func loadToken(file string) (tokenDigest, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return tokenDigest{}, err
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return tokenDigest{}, fmt.Errorf("%s: %w", file, errEmptyToken)
	}
	return sha256.Sum256([]byte(token)), nil
}

// Reasons for refusing a request of an operator.
var (
	errNoCredentials       = errors.New("operators need a bearer token or a client certificate, as this node is configured")
	errInvalidToken        = errors.New("the bearer token is not valid")
	errClientCertsDisabled = errors.New("this node does not accept client certificates")
	errNameNotAllowed      = errors.New("neither the common name nor a URI of the client certificate is allowed")
	errInvalidClientCert   = errors.New("the client certificate is not valid")
)

// authenticator authenticates requests of operators.
type authenticator struct {
	config OperatorAccess
	// token and clients (the CA of client certificates) are nil when that method of authentication is not configured.
	token   *reloadable[tokenDigest]
	clients *reloadable[*x509.CertPool]
}

func newAuthenticator(c OperatorAccess, onError func(error)) *authenticator {
	a := &authenticator{config: c}
	switch {
	case c.TokenFile != "":
		a.token = &reloadable[tokenDigest]{
			load: func() (tokenDigest, error) { return loadToken(c.TokenFile) }, onError: onError,
		}
	case c.Token != "":
		a.token = &reloadable[tokenDigest]{load: func() (tokenDigest, error) { return sha256.Sum256([]byte(c.Token)), nil }}
	}
	if c.ClientCAFile != "" {
		a.clients = &reloadable[*x509.CertPool]{
			load: func() (*x509.CertPool, error) { return loadRoots(c.ClientCAFile) }, onError: onError,
		}
	}
	return a
}

// clientAuth returns whether the listener requests a client certificate. The certificate is verified with each request and
// not in the handshake, so that a refusal states its reason and a replaced CA also applies to open connections.
func (a *authenticator) clientAuth() tls.ClientAuthType {
	if a.clients == nil {
		return tls.NoClientCert
	}
	return tls.RequestClientCert
}

// authenticate returns nil for a request of an operator, else the reason for the refusal. A valid token suffices,
// whatever the certificate.
func (a *authenticator) authenticate(r *http.Request) error {
	if a.config.Open {
		return nil
	}
	token, given := bearer(r)
	if given && a.validToken(token) {
		return nil
	}
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return a.checkCertificate(r.TLS.PeerCertificates)
	}
	if given {
		return errInvalidToken
	}
	return errNoCredentials
}

// bearer returns the bearer token of a request.
func bearer(r *http.Request) (token string, given bool) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	return token, strings.EqualFold(scheme, "Bearer") && token != ""
}

func (a *authenticator) validToken(token string) bool {
	if a.token == nil {
		return false
	}
	want, err := a.token.current()
	got := sha256.Sum256([]byte(token))
	return err == nil && subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func (a *authenticator) checkCertificate(chain []*x509.Certificate) error {
	if a.clients == nil {
		return errClientCertsDisabled
	}
	roots, err := a.clients.current()
	if err != nil {
		return err
	}
	leaf, err := verifyChain(chain, x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidClientCert, err)
	}
	if slices.Contains(a.config.ClientCommonNames, leaf.Subject.CommonName) {
		return nil
	}
	for _, uri := range leaf.URIs {
		if slices.Contains(a.config.ClientURIs, uri.String()) {
			return nil
		}
	}
	return errNameNotAllowed
}

// requireOperator is a middleware that refuses requests that are not authenticated as those of an operator.
func (n *Node) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := n.authenticator.authenticate(r)
		if err == nil {
			next.ServeHTTP(w, r)
			return
		}
		n.countEvent(counterRefused)
		n.log.Info("operator refused", "component", "operator", "from", r.RemoteAddr, "path", r.URL.Path, "error", err)
		w.Header().Set("WWW-Authenticate", "Bearer")
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusUnauthorized)
		_ = json.NewEncoder(w).Encode(operator.Error{Code: operator.CodeUnauthorized, Message: err.Error()})
	})
}
