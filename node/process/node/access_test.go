package node

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/node/backendtest"
	"github.com/radishstand/radishstand/node/certtest"
)

// protectedPaths lists the GET paths of the operators' listener, and one that does not exist.
var protectedPaths = []string{
	operator.PathSettings, operator.PathExplain, operator.PathHistory, operator.PathInForce, operator.PathDump, operator.PathStatus,
	operator.PathMembers, operator.PathServers, operator.PathMetrics, operator.PathPrometheus, operator.PathHealth, "/debug/pprof/",
	"/debug/pprof/cmdline", "/debug/pprof/heap", "/debug/pprof/profile?seconds=1", "/debug/pprof/trace?seconds=1", "/nothing",
}

const operatorURI = "spiffe://radishstand.example/operator"

// withTLS enables TLS on all listeners, and client certificates of operators if clients is set. The operators' CA is that of
// the nodes, which is the weaker of the allowed configurations.
func withTLS(a *certtest.Authority, clients bool) func(*Config) {
	return func(c *Config) {
		files := a.Issue("radishnode", nil)
		server := ServerTLS{CertFile: files.CertFile, KeyFile: files.KeyFile}
		c.TLS = TLSConfig{CertFile: files.CertFile, KeyFile: files.KeyFile, CAFile: a.CAFile}
		c.CallersTLS, c.Operators.TLS = server, server
		if clients {
			c.Operators.ClientCAFile, c.Operators.ClientCommonNames, c.Operators.ClientURIs = a.CAFile, []string{"alice"}, []string{operatorURI}
		}
	}
}

// httpsClient returns a client that presents the certificate in files, if any.
func httpsClient(t *testing.T, caFile string, files certtest.Files) *http.Client {
	roots, err := loadRoots(caFile)
	require.NoError(t, err)
	config := &tls.Config{RootCAs: roots}
	if files.CertFile != "" {
		pair, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
		require.NoError(t, err)
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: awaitTimeout}
}

// sendOperatorRequest sends a request to the operators' API and returns the status and the reason of a refusal.
func sendOperatorRequest(t *testing.T, client *http.Client, method, address, authorization string) (status int, reason string) {
	request, err := http.NewRequest(method, address, strings.NewReader("{}"))
	require.NoError(t, err)
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var refused operator.Error
	_ = json.Unmarshal(body, &refused)
	return response.StatusCode, refused.Message
}

// Guards against access to settings, dumps, metrics or profiles without valid credentials: with a wrong, empty or malformed
// token, or with a certificate that is expired, of another CA, of a node, for servers only or with another name.
func TestOnlyAuthenticatedOperatorsAreAllowed(t *testing.T) {
	fleet, otherCA := certtest.New(t), certtest.New(t)
	both := newConfiguredFleet(t, withTLS(fleet, true), "quotes")
	tokenOnly := newConfiguredFleet(t, withTLS(fleet, false), "quotes")
	clientsOnly := newConfiguredFleet(t, func(c *Config) {
		withTLS(fleet, true)(c)
		c.Operators.Token = ""
	}, "quotes")
	none := certtest.Files{}
	alice := fleet.Issue("alice", nil)
	withURI := fleet.Issue("bob", func(c *x509.Certificate) {
		c.URIs = []*url.URL{{Scheme: "spiffe", Host: "radishstand.example", Path: "/operator"}}
	})
	otherURI := fleet.Issue("carol", func(c *x509.Certificate) {
		c.URIs = []*url.URL{{Scheme: "spiffe", Host: "radishstand.example", Path: "/reader"}}
	})
	expired := fleet.Issue("expired", func(c *x509.Certificate) {
		c.Subject.CommonName = "alice"
		certtest.Expired(c)
	})
	forServers := fleet.Issue("server", func(c *x509.Certificate) {
		c.Subject.CommonName, c.ExtKeyUsage = "alice", []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	})
	dnsName := fleet.Issue("dns", func(c *x509.Certificate) { c.Subject.CommonName, c.DNSNames = "", []string{"alice"} })
	cases := []struct {
		name   string
		fleet  *testFleet
		files  certtest.Files
		header string
		reason string // empty for operators
	}{
		{"the token", both, none, "Bearer secret", ""},
		{"the token under another spelling of the scheme", both, none, "bearer secret", ""},
		{"the token with a certificate of another name", both, otherURI, "Bearer secret", ""},
		{"an allowed common name", both, alice, "", ""},
		{"an allowed URI", clientsOnly, withURI, "", ""},
		{"a wrong token", both, none, "Bearer wrong", "token is not valid"},
		{"the start of the token", both, none, "Bearer secre", "token is not valid"},
		{"the token without a scheme", both, none, "secret", "need a bearer token"},
		{"the token under another scheme", both, none, "Basic secret", "need a bearer token"},
		{"no credentials", both, none, "", "need a bearer token"},
		{"no credentials where only certificates are accepted", clientsOnly, none, "", "need a bearer token"},
		{"an empty token where no token is configured", clientsOnly, none, "Bearer ", "need a bearer token"},
		{"a token where no token is configured", clientsOnly, none, "Bearer secret", "token is not valid"},
		{"a certificate where only the token is accepted", tokenOnly, alice, "", "need a bearer token"},
		{"the certificate of a node", both, fleet.Issue("radishnode", nil), "", "is allowed"},
		{"a certificate with another URI", both, otherURI, "", "is allowed"},
		{"a certificate with an allowed name as DNS name only", both, dnsName, "", "is allowed"},
		{"an allowed name signed by another CA", both, otherCA.Issue("alice", nil), "", "unknown authority"},
		{"an expired certificate", both, expired, "", "expired"},
		{"a certificate for servers only", both, forServers, "", "incompatible key usage"},
		{"an expired certificate with a wrong token", both, expired, "Bearer wrong", "expired"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := httpsClient(t, fleet.CAFile, c.files)
			base := "https://" + c.fleet.nodes[0].config.ListenOperators
			if c.reason == "" {
				status, _ := sendOperatorRequest(t, client, http.MethodGet, base+operator.PathDump, c.header)
				require.Equal(t, http.StatusOK, status)
				return
			}
			for _, path := range protectedPaths {
				status, reason := sendOperatorRequest(t, client, http.MethodGet, base+path, c.header)
				require.Equal(t, http.StatusUnauthorized, status, path)
				require.Contains(t, reason, c.reason, path)
			}
			for _, path := range []string{operator.PathChanges, operator.PathRollback} {
				status, _ := sendOperatorRequest(t, client, http.MethodPost, base+path, c.header)
				require.Equal(t, http.StatusUnauthorized, status, path)
			}
		})
	}
}

// Guards against TLS listeners that also accept plain HTTP or outdated TLS versions, or that offer HTTP/2.
func TestListenersAcceptOnlyCurrentTLS(t *testing.T) {
	fleet := certtest.New(t)
	f := newConfiguredFleet(t, withTLS(fleet, true), "quotes")
	for _, listener := range []struct {
		address string
		lowest  uint16
	}{{f.nodes[0].config.ListenCallers, tls.VersionTLS12}, {f.nodes[0].config.ListenOperators, tls.VersionTLS13}} {
		status, _ := sendOperatorRequest(t, f.client, http.MethodGet, "http://"+listener.address+operator.PathDump, "Bearer secret")
		require.Equal(t, http.StatusBadRequest, status)
		_, err := tls.Dial("tcp", listener.address, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS10, MaxVersion: listener.lowest - 1})
		require.ErrorContains(t, err, "protocol version")
		conn, err := tls.Dial("tcp", listener.address, &tls.Config{
			InsecureSkipVerify: true, MaxVersion: listener.lowest, NextProtos: []string{"h2", "http/1.1"},
		})
		require.NoError(t, err)
		require.Equal(t, "http/1.1", conn.ConnectionState().NegotiatedProtocol)
		require.NoError(t, conn.Close())
	}
}

// Guards against a contract that differs over TLS: complete answers, aborted connections instead of truncated answers, the
// header limit, and the connection limit, which also counts connections without a handshake.
func TestTLSKeepsTheCallersContract(t *testing.T) {
	fleet := certtest.New(t)
	f := newConfiguredFleet(t, func(c *Config) {
		withTLS(fleet, false)(c)
		c.MaxConnections = 3
	}, "quotes", "crews")
	f.client = httpsClient(t, fleet.CAFile, certtest.Files{})
	r := f.call(1, http.MethodGet, "quotes", "/offer", nil, "")
	require.Equal(t, contract.OutcomeRun, r.outcome, r.body)
	require.Equal(t, r.token, r.header.Get(backendtest.HeaderToken))
	r = f.call(1, http.MethodGet, "quotes", "/offer", http.Header{"X-Large": {strings.Repeat("x", 2*maxHeaderBytes)}}, "")
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, r.status)
	f.servers[0].Set(backendtest.Behaviour{AnswerBytes: 2 << 20, TruncateAt: 1 << 20})
	r = f.call(1, http.MethodGet, "quotes", "/offer", nil, "")
	require.ErrorIs(t, r.err, io.ErrUnexpectedEOF)
	f.servers[0].Set(backendtest.Behaviour{})
	f.client.CloseIdleConnections()
	f.client.Timeout = time.Second
	f.await("connections without a handshake count against the limit", func() bool {
		for range 3 {
			defer f.dial(1).Close()
		}
		var timeout interface{ Timeout() bool }
		r := f.call(1, http.MethodGet, "quotes", "/offer", nil, "")
		return errors.As(r.err, &timeout) && timeout.Timeout()
	})
	silent := f.dial(0)
	defer silent.Close()
	require.NoError(t, silent.SetReadDeadline(time.Now().Add(awaitTimeout)))
	_, err := io.ReadAll(silent)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "a connection without a handshake must end")
}

// expire makes the next use reload the files.
func expire[T any](r *reloadable[T]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loadedAt = time.Time{}
}

// Guards against keys, tokens and CAs that take effect only after a restart, and against open connections that stay
// authorized after the CA has been replaced.
func TestReplacedFilesOfListenersTakeEffect(t *testing.T) {
	old, replaced := certtest.New(t), certtest.New(t)
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	put := func(from, to string) {
		data, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(file(to), data, 0o600))
	}
	install := func(a *certtest.Authority, token string) {
		server := a.Issue("radishnode", nil)
		put(server.CertFile, "cert.pem")
		put(server.KeyFile, "key.pem")
		put(a.CAFile, "ca.pem")
		require.NoError(t, os.WriteFile(file("token"), []byte(token+"\n"), 0o600))
	}
	install(old, "first")
	f := newConfiguredFleet(t, func(c *Config) {
		server := ServerTLS{CertFile: file("cert.pem"), KeyFile: file("key.pem")}
		c.CallersTLS = server
		c.Operators = OperatorAccess{TLS: server, TokenFile: file("token"), ClientCAFile: file("ca.pem"), ClientCommonNames: []string{"alice"}}
	}, "quotes")
	n := f.nodes[0]
	expireAll := func() {
		expire(n.authenticator.token)
		expire(n.authenticator.clients)
		expire(&n.certificates.callers.reloadable)
		expire(&n.certificates.operators.reloadable)
	}
	base := "https://" + n.config.ListenOperators + operator.PathStatus
	before, after := httpsClient(t, old.CAFile, old.Issue("alice", nil)), httpsClient(t, replaced.CAFile, replaced.Issue("alice", nil))
	requireStatus := func(client *http.Client, authorization string, want int) {
		t.Helper()
		status, reason := sendOperatorRequest(t, client, http.MethodGet, base, authorization)
		require.Equal(t, want, status, reason)
	}
	requireStatus(before, "Bearer first", http.StatusOK)
	requireStatus(before, "", http.StatusOK)

	for _, name := range []string{"cert.pem", "ca.pem", "token"} {
		require.NoError(t, os.WriteFile(file(name), nil, 0o600))
	}
	expireAll()
	requireStatus(before, "Bearer first", http.StatusOK)
	requireStatus(before, "", http.StatusOK)

	install(replaced, "second")
	expireAll()
	requireStatus(before, "Bearer first", http.StatusUnauthorized)
	requireStatus(before, "", http.StatusUnauthorized)
	requireStatus(after, "", http.StatusOK)
	requireStatus(after, "Bearer second", http.StatusOK)
	before.CloseIdleConnections()
	_, err := before.Get(base)
	require.ErrorContains(t, err, "unknown authority")
	_, err = before.Get("https://" + n.config.ListenCallers)
	require.ErrorContains(t, err, "unknown authority")
	_, err = after.Get("https://" + n.config.ListenCallers)
	require.NoError(t, err)
}
