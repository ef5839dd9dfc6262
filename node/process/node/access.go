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

// OperatorAccess says how operators prove who they are: by a bearer token or by a client certificate, as configured.
type OperatorAccess struct {
	// TLS of the operators' listener.
	TLS ServerTLS
	// Token is the bearer token. TokenFile names a file with it instead, which is read again when it changes.
	Token     string
	TokenFile string
	// ClientCAFile is a PEM file with the CA of operators' certificates.
	ClientCAFile string
	// ClientCommonNames and ClientURIs are the names that let a certificate of the CA in: its common name, or one of its
	// URIs. A certificate with neither is refused, so that a CA shared with the nodes makes no node an operator.
	ClientCommonNames []string
	ClientURIs        []string
	// Open lets everyone in.
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

// errEmptyToken means that a token file holds no token.
var errEmptyToken = errors.New("the file holds no token")

// digest is the hash of a token. Digests are compared instead of tokens, since their length tells nothing.
type digest [sha256.Size]byte

func loadToken(file string) (digest, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return digest{}, err
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return digest{}, fmt.Errorf("%s: %w", file, errEmptyToken)
	}
	return sha256.Sum256([]byte(token)), nil
}

// Reasons for refusing an operator.
var (
	errNoProof      = errors.New("operators need a bearer token or a client certificate, as this node is configured")
	errWrongToken   = errors.New("the bearer token is not valid")
	errNoClients    = errors.New("this node takes no client certificates")
	errNameRefused  = errors.New("neither the common name nor a URI of the client certificate is allowed")
	errWrongClients = errors.New("the client certificate is not valid")
)

// access decides who is an operator.
type access struct {
	config OperatorAccess
	// token and clients are nil when that proof is not configured.
	token   *reloaded[digest]
	clients *reloaded[*x509.CertPool]
}

func newAccess(c OperatorAccess, failed func(error)) *access {
	a := &access{config: c}
	switch {
	case c.TokenFile != "":
		a.token = &reloaded[digest]{load: func() (digest, error) { return loadToken(c.TokenFile) }, failed: failed}
	case c.Token != "":
		a.token = &reloaded[digest]{load: func() (digest, error) { return sha256.Sum256([]byte(c.Token)), nil }}
	}
	if c.ClientCAFile != "" {
		a.clients = &reloaded[*x509.CertPool]{load: func() (*x509.CertPool, error) { return loadRoots(c.ClientCAFile) }, failed: failed}
	}
	return a
}

// clientAuth says whether clients are asked for a certificate. It is verified with each request and not in the handshake:
// a refused operator is told the reason, and a replaced CA also counts for open connections.
func (a *access) clientAuth() tls.ClientAuthType {
	if a.clients == nil {
		return tls.NoClientCert
	}
	return tls.RequestClientCert
}

// check returns why a request is not an operator's, or nil. A valid token is enough, whatever the certificate.
func (a *access) check(r *http.Request) error {
	if a.config.Open {
		return nil
	}
	token, given := bearer(r)
	if given && a.tokenValid(token) {
		return nil
	}
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return a.checkCertificate(r.TLS.PeerCertificates)
	}
	if given {
		return errWrongToken
	}
	return errNoProof
}

// bearer returns the token of a request.
func bearer(r *http.Request) (token string, given bool) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	return token, strings.EqualFold(scheme, "Bearer") && token != ""
}

func (a *access) tokenValid(token string) bool {
	if a.token == nil {
		return false
	}
	want, err := a.token.current()
	got := sha256.Sum256([]byte(token))
	return err == nil && subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func (a *access) checkCertificate(chain []*x509.Certificate) error {
	if a.clients == nil {
		return errNoClients
	}
	roots, err := a.clients.current()
	if err != nil {
		return err
	}
	leaf, err := verifyChain(chain, x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	if err != nil {
		return fmt.Errorf("%w: %w", errWrongClients, err)
	}
	if slices.Contains(a.config.ClientCommonNames, leaf.Subject.CommonName) {
		return nil
	}
	for _, uri := range leaf.URIs {
		if slices.Contains(a.config.ClientURIs, uri.String()) {
			return nil
		}
	}
	return errNameRefused
}

// authorized lets only operators in.
func (n *Node) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := n.access.check(r)
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
