package main

import (
	"bytes"
	"context"
	"crypto/x509"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/certtest"
)

const validConfig = `{"place": "hue", "listen": {"callers": "127.0.0.1:7400", "peers": "127.0.0.1:7401", "server": "127.0.0.1:7402",
  "operators": "127.0.0.1:7403"}, "operators": {"token": "secret"}, "tls": {"insecure": true},
  "platform": {"accessKey": "k", "secretKey": "s"}}`

// runCheck runs the command with --check on a configuration and returns its exit code and output.
func runCheck(t *testing.T, config string) (code int, output string) {
	path := filepath.Join(t.TempDir(), "node.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), []string{"--config", path, "--check"}, &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// Guards against a node that starts with settings that it cannot use, and against messages that don't name the setting.
func TestCheckNamesInvalidSetting(t *testing.T) {
	code, output := runCheck(t, validConfig)
	require.Equal(t, exitOK, code, output)
	cases := map[string]struct{ from, to, path, allowed string }{
		"a missing place":                     {`"hue"`, `""`, "place", "allowed are 1 to 64 characters"},
		"a place with a dot":                  {`"hue"`, `"hue.1"`, "place", "without space, dot and slash"},
		"a host name for an address":          {"127.0.0.1:7400", "localhost:7400", "listen.callers", "IP number with a port"},
		"an address without a port":           {"127.0.0.1:7401", "127.0.0.1", "listen.peers", "IP number with a port"},
		"an unspecified address to advertise": {`"127.0.0.1:7401"`, `"0.0.0.0:7401"`, "advertise", "must be given"},
		"no token for operators":              {`"secret"`, `""`, "operators.token", "give a token"},
		"no files for TLS":                    {`"insecure": true`, `"insecure": false`, "tls.certFile", "name a PEM file"},
		"a file for TLS that is missing":      {`"insecure": true`, `"certFile": "a", "keyFile": "b", "caFile": "c"`, "tls", "no such file"},
		"an unknown setting":                  {`"place"`, `"plaice"`, "plaice", "not defined"},
		"a value of the wrong type":           {`"insecure": true`, `"insecure": "perhaps"`, "tls.insecure", "perhaps"},
		"a limit out of range":                {`"place"`, `"maxInProgress": -1, "place"`, "maxInProgress", "allowed are 1 to 1000000"},
		"no processors":                       {`"place"`, `"processors": 0, "place"`, "processors", "allowed are 1 to 64"},
		"text that is not JSON":               {`{"place"`, `{place`, "JSON", "invalid character"},
		"a platform without keys":             {`"secretKey": "s"`, `"secretKey": ""`, "platform.secretKey", "empty"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			broken := bytes.Replace([]byte(validConfig), []byte(c.from), []byte(c.to), 1)
			code, output := runCheck(t, string(broken))
			require.Equal(t, exitSettings, code, output)
			require.Contains(t, output, c.path)
			require.Contains(t, output, c.allowed)
		})
	}
}

// Guards against flags that are silently ignored because they follow an argument that is not a flag.
func TestNonFlagArgumentIsRejected(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := run(context.Background(), []string{"--tls.insecure", "true", "--place", "hue", "--check"}, &stdout, &stderr)
	require.Equal(t, exitSettings, code)
	require.Contains(t, stderr.String(), `argument "true" is not a flag`)
}

const securedConfig = `{"place": "hue", "listen": {"callers": "10.0.0.1:7400", "peers": "10.0.0.1:7401", "server": "127.0.0.1:7402",
  "operators": "10.0.0.1:7403"}, "tls": {"certFile": "$NODE.pem", "keyFile": "$NODE.key", "caFile": "$CA"},
  "callers": {"tls": {"certFile": "$NODE.pem", "keyFile": "$NODE.key"}},
  "operators": {"tls": {"certFile": "$NODE.pem", "keyFile": "$NODE.key"}, "tokenFile": "$TOKEN",
    "clients": {"caFile": "$CA", "commonNames": ["alice", "bob"], "uris": ["spiffe://example/operator"]}},
  "platform": {"accessKey": "k", "secretKey": "s"}}`

// certificateFiles returns the values of the variables in securedConfig, and of variables that name invalid files.
func certificateFiles(t *testing.T) map[string]string {
	fleet, stranger, dir := certtest.New(t), certtest.New(t), t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	issue := func(a *certtest.Authority, name string, change func(*x509.Certificate)) string {
		file := a.Issue(name, change).CertFile
		return file[:len(file)-len(".pem")]
	}
	return map[string]string{
		"CA": fleet.CAFile, "NODE": issue(fleet, "radishnode", nil), "STRANGER": issue(stranger, "radishnode", nil),
		"OTHERNAME": issue(fleet, "printer", nil), "TOKEN": write("token", "secret\n"), "BLANK": write("blank", " \n"),
		"EXPIRED": issue(fleet, "expired", func(c *x509.Certificate) {
			c.DNSNames = []string{"radishnode"}
			certtest.Expired(c)
		}),
	}
}

// Guards against a node that starts with keys that nobody accepts, with a protection that is disabled unnoticed, or with
// operator authentication that cannot work, and against messages that don't say what to change.
func TestCheckNamesInvalidKeyOrMissingProtection(t *testing.T) {
	files := certificateFiles(t)
	expand := func(text string) string { return os.Expand(text, func(name string) string { return files[name] }) }
	code, output := runCheck(t, expand(securedConfig))
	require.Equal(t, exitOK, code, output)
	const (
		peerTLS     = `"tls": {"certFile": "$NODE.pem", "keyFile": "$NODE.key", "caFile": "$CA"}`
		callerTLS   = `"callers": {"tls": {"certFile": "$NODE.pem", "keyFile": "$NODE.key"}}`
		operatorTLS = `"operators": {"tls": {"certFile": "$NODE.pem", "keyFile": "$NODE.key"}`
		names       = `"commonNames": ["alice", "bob"], "uris": ["spiffe://example/operator"]`
	)
	cases := map[string]struct{ from, to, message string }{
		"plain HTTP for operators beyond loopback": {operatorTLS, `"operators": {"tls": {}`,
			"operators.tls.certFile: is empty; name a PEM file, or set operators.tls.insecure to true to speak plain HTTP on 10.0.0.1:7403"},
		"plain HTTP for callers beyond loopback": {callerTLS, `"callers": {}`,
			"callers.tls.certFile: is empty; name a PEM file, or set callers.tls.insecure to true to speak plain HTTP on 10.0.0.1:7400"},
		"a certificate without a key": {callerTLS, `"callers": {"tls": {"certFile": "$NODE.pem"}}`,
			"callers.tls: names only one of certFile and keyFile"},
		"a key of another certificate": {callerTLS, `"callers": {"tls": {"certFile": "$NODE.pem", "keyFile": "$STRANGER.key"}}`,
			"callers.tls: certificate $NODE.pem with key $STRANGER.key: tls: private key does not match public key"},
		"an expired certificate for operators": {operatorTLS, `"operators": {"tls": {"certFile": "$EXPIRED.pem", "keyFile": "$EXPIRED.key"}`,
			"operators.tls.certFile: the certificate in $EXPIRED.pem expired at "},
		"an expired certificate for peers": {peerTLS, `"tls": {"certFile": "$EXPIRED.pem", "keyFile": "$EXPIRED.key", "caFile": "$CA"}`,
			"tls: the certificate in $EXPIRED.pem expired at "},
		"a certificate for peers under another name": {peerTLS, `"tls": {"certFile": "$OTHERNAME.pem", "keyFile": "$OTHERNAME.key", "caFile": "$CA"}`,
			"tls: other nodes would refuse the certificate in $OTHERNAME.pem: x509: certificate is valid for printer, not radishnode"},
		"a certificate for peers of another CA": {peerTLS, `"tls": {"certFile": "$STRANGER.pem", "keyFile": "$STRANGER.key", "caFile": "$CA"}`,
			"tls: other nodes would refuse the certificate in $STRANGER.pem: x509: certificate signed by unknown authority"},
		"a CA file without certificates": {`"caFile": "$CA", "commonNames"`, `"caFile": "$TOKEN", "commonNames"`,
			"operators.clients.caFile: $TOKEN: no certificate found in the CA file"},
		"a CA for operators without allowed names": {", " + names, "", "operators.clients: allows no name; list the operators in commonNames or uris"},
		"allowed names without a CA":               {`"caFile": "$CA", "commonNames"`, `"commonNames"`, "operators.clients.caFile: is empty; name a PEM file"},
		"client certificates without TLS": {operatorTLS, `"operators": {"tls": {"insecure": true}`,
			"operators.clients.caFile: needs TLS; give operators.tls.certFile and operators.tls.keyFile"},
		"a token and a token file":                   {`"tokenFile"`, `"token": "secret", "tokenFile"`, "operators.tokenFile: is given together with operators.token"},
		"a token file that is blank":                 {"$TOKEN", "$BLANK", "operators.tokenFile: $BLANK: the file holds no token"},
		"a token file that is missing":               {"$TOKEN", "$TOKEN.missing", "operators.tokenFile: open $TOKEN.missing: no such file"},
		"a name that is neither a list nor a string": {names, `"commonNames": {"alice": true}`, "operators.clients.commonNames.alice"},
		"an insecure setting that is not a boolean":  {callerTLS, `"callers": {"tls": {"insecure": "maybe"}}`, `is "maybe"; allowed are true and false`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, securedConfig, c.from)
			code, output := runCheck(t, expand(string(bytes.Replace([]byte(securedConfig), []byte(c.from), []byte(c.to), 1))))
			require.Equal(t, exitSettings, code, output)
			require.Contains(t, output, expand(c.message))
		})
	}
}

// Guards against protections that are disabled without a warning, and against warnings about enabled protections.
func TestDisabledProtectionsAreLogged(t *testing.T) {
	files := certificateFiles(t)
	load := func(config string) []string {
		path := filepath.Join(t.TempDir(), "node.json")
		text := os.Expand(config, func(name string) string { return files[name] })
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		o, err := parse([]string{"--config", path}, os.Stderr)
		require.NoError(t, err)
		return o.config.Warnings()
	}
	require.Empty(t, load(securedConfig))
	open := load(`{"place": "hue", "listen": {"callers": "10.0.0.1:7400", "peers": "10.0.0.1:7401", "server": "10.0.0.1:7402",
	  "operators": "10.0.0.1:7403"}, "tls": {"insecure": true}, "callers": {"tls": {"insecure": true}},
	  "operators": {"tls": {"insecure": true}, "open": true}, "platform": {"accessKey": "k", "secretKey": "s"}}`)
	for i, protection := range []string{"nodes talk", "callers talk", "operators talk", "operators need no", "server's listener"} {
		require.Contains(t, open[i], protection)
	}
}

// Guards against an example configuration in the README that the node rejects.
func TestReadmeConfigurationIsValid(t *testing.T) {
	page, err := os.ReadFile("../../../README.md")
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(page), "Write `node.json`")
	require.True(t, ok)
	_, rest, ok = strings.Cut(rest, "```json\n")
	require.True(t, ok)
	example, _, ok := strings.Cut(rest, "```")
	require.True(t, ok)
	files := certificateFiles(t)
	code, output := runCheck(t, strings.NewReplacer("node.crt", files["NODE"]+".pem", "node.key", files["NODE"]+".key", "ca.crt", files["CA"],
		"operators.token", files["TOKEN"]).Replace(example))
	require.Equal(t, exitOK, code, output)
}

// Guards against options that are missing from the operators' guide.
func TestEveryOptionIsInTheGuide(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	flags, _ := (&options{}).flags(io.Discard)
	flags.VisitAll(func(f *flag.Flag) { require.Contains(t, string(page), "`"+f.Name+"`") })
}
