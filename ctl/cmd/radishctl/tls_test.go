package main

import (
	"context"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/ctl/cli"
	"github.com/radishstand/radishstand/node/certtest"
	"github.com/radishstand/radishstand/node/platformtest"
	"github.com/radishstand/radishstand/node/process/node"
)

// startSecureNode runs a node whose listeners for operators and callers use TLS.
func startSecureNode(t *testing.T, a *certtest.Authority) node.Config {
	files := a.Issue("radishnode", nil)
	server := node.ServerTLS{CertFile: files.CertFile, KeyFile: files.KeyFile}
	const anyPort = "127.0.0.1:0"
	config := node.Config{
		Place: "hue", ListenCallers: anyPort, ListenPeers: anyPort, ListenServer: anyPort, ListenOperators: anyPort,
		TLS: node.TLSConfig{Insecure: true}, CallersTLS: server,
		Operators: node.OperatorAccess{TLS: server, Token: "secret", ClientCAFile: a.CAFile, ClientCommonNames: []string{"alice"}},
	}
	require.NoError(t, config.Provision())
	store := platformtest.NewMemory()
	n, err := node.New(config, node.Store{Table: store, Objects: store}, log.New(io.Discard))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return n.Config()
}

// Guards against options for keys and tokens that have no effect, a token that is sent to an untrusted node, and refusals
// without their reason or with another exit code than the documented one.
func TestTLSAndTokenOptions(t *testing.T) {
	fleet, stranger, dir := certtest.New(t), certtest.New(t), t.TempDir()
	secured := startSecureNode(t, fleet)
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	plain := httptest.NewServer(http.NotFoundHandler())
	defer plain.Close()
	expired := fleet.Issue("expired", func(c *x509.Certificate) {
		c.Subject.CommonName = "alice"
		certtest.Expired(c)
	})
	alice, impostor := fleet.Issue("alice", nil), stranger.Issue("alice", nil)
	values := map[string]string{
		"NODE": "--node " + secured.ListenOperators, "HTTPS": "--node https://" + secured.ListenOperators, "CA": "--ca-file " + fleet.CAFile,
		"ALICE":    "--cert-file " + alice.CertFile + " --key-file " + alice.KeyFile,
		"IMPOSTOR": "--cert-file " + impostor.CertFile + " --key-file " + impostor.KeyFile,
		"EXPIRED":  "--cert-file " + expired.CertFile + " --key-file " + expired.KeyFile, "CERT": alice.CertFile, "KEY": impostor.KeyFile,
		"TOKEN": write("token", "secret\n"), "WRONG": write("wrong", "wrong"), "BLANK": write("blank", "\n"),
		"OTHERCA": stranger.CAFile, "CALLERS": secured.ListenCallers, "PLAIN": strings.TrimPrefix(plain.URL, "http://"),
		"OPERATORS": secured.ListenOperators, "LOAD": "load --rate 50 --duration 200ms --token-header= --target https://" + secured.ListenCallers,
	}
	for _, c := range []struct {
		name, args string
		code       int
		output     string
	}{
		{"a token file is a proof", "status $HTTPS $CA --token-file $TOKEN", cli.ExitOK, "hue"},
		{"a certificate is a proof", "status $HTTPS $CA $ALICE", cli.ExitOK, "hue"},
		{"a CA makes https the default", "status $NODE $CA --token secret", cli.ExitOK, "hue"},
		{"no proof is refused", "status $HTTPS $CA", cli.ExitFailed, "need a bearer token or a client certificate"},
		{"a wrong token is refused", "status $HTTPS $CA --token-file $WRONG", cli.ExitFailed, "unauthorized: the bearer token is not valid"},
		{"a certificate of another CA is refused", "status $HTTPS $CA $IMPOSTOR", cli.ExitFailed, "signed by unknown authority"},
		{"an expired certificate is refused", "status $HTTPS $CA $EXPIRED", cli.ExitFailed, "expired"},
		{"a node is not trusted without its CA", "status $HTTPS --token secret", cli.ExitFailed, "the node's certificate is not trusted (--ca-file names the CA)"},
		{"a node of another CA is not trusted", "status $HTTPS --ca-file $OTHERCA --token secret", cli.ExitFailed, "the node's certificate is not trusted"},
		{"plain HTTP to a node with TLS is wrong usage", "status --node http://$OPERATORS", cli.ExitInvalid, "the node speaks https"},
		{"TLS to a node without is wrong usage", "status --node https://$PLAIN", cli.ExitInvalid, "the node speaks http"},
		{"a missing CA file is wrong usage", "status $HTTPS --ca-file /nothing", cli.ExitInvalid, "ca-file: open /nothing"},
		{"a CA file without certificates is wrong usage", "status $HTTPS --ca-file $TOKEN", cli.ExitInvalid, "holds no certificate"},
		{"a certificate without key is wrong usage", "status $HTTPS $CA --cert-file $CERT", cli.ExitInvalid, "a client certificate needs both"},
		{"a key of another certificate is wrong usage", "status $HTTPS $CA --cert-file $CERT --key-file $KEY", cli.ExitInvalid, "does not match"},
		{"a blank token file is wrong usage", "status $HTTPS $CA --token-file $BLANK", cli.ExitInvalid, "holds no token"},
		{"two tokens are wrong usage", "status $HTTPS $CA --token-file $TOKEN --token secret", cli.ExitInvalid, "only one of them"},
		{"another scheme is wrong usage", "status --node ftp://$OPERATORS", cli.ExitInvalid, "URLs with http or https"},
		{"load reaches an https listener", "$LOAD $CA --work '1 GET quotes /'", cli.ExitOK, "failed 0"},
		{"load does not trust a node of another CA", "$LOAD --ca-file $OTHERCA --work '1 GET quotes /'", cli.ExitFailed, "unknown authority"},
	} {
		t.Run(c.name, func(t *testing.T) {
			line := os.Expand(c.args, func(name string) string { return values[name] })
			var args []string
			for i, part := range strings.Split(line, "'") {
				if i%2 == 1 {
					args = append(args, part)
					continue
				}
				args = append(args, strings.Fields(part)...)
			}
			code, stdout, stderr := ctl(t, "", args...)
			require.Equal(t, c.code, code, stdout+stderr)
			require.Contains(t, stdout+stderr, c.output)
		})
	}
	t.Run("the environment names files", func(t *testing.T) {
		for name, value := range map[string]string{
			"NODE": "https://" + secured.ListenOperators, "CA_FILE": fleet.CAFile, "CERT_FILE": alice.CertFile, "KEY_FILE": alice.KeyFile,
		} {
			t.Setenv("RADISHCTL_"+name, value)
		}
		code, stdout, stderr := ctl(t, "", "status")
		require.Equal(t, cli.ExitOK, code, stdout+stderr)
		t.Setenv("RADISHCTL_CERT_FILE", "")
		t.Setenv("RADISHCTL_KEY_FILE", "")
		t.Setenv("RADISHCTL_TOKEN_FILE", values["TOKEN"])
		code, stdout, stderr = ctl(t, "", "status")
		require.Equal(t, cli.ExitOK, code, stdout+stderr)
	})
}

// Guards against a token that leaves the host unencrypted although the address does not have the scheme http.
func TestAddressesWithoutSchemeAreHTTPSBeyondLoopback(t *testing.T) {
	for address, want := range map[string]string{
		"10.1.2.3:7403": "https://10.1.2.3:7403", "node.example:7403": "https://node.example:7403", "[2001:db8::1]:7403": "https://[2001:db8::1]:7403",
		"127.0.0.1:7403": "http://127.0.0.1:7403", "localhost:7403": "http://localhost:7403", "[::1]:7403": "http://[::1]:7403",
		"http://10.1.2.3:7403/": "http://10.1.2.3:7403", "localhost.example:7403": "https://localhost.example:7403",
	} {
		got, err := (&cli.Env{}).Endpoint(address)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}
