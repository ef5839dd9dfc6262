package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const good = `{"place": "hue", "listen": {"callers": "127.0.0.1:7400", "peers": "127.0.0.1:7401", "server": "127.0.0.1:7402",
  "operators": "127.0.0.1:7403"}, "operators": {"token": "secret"}, "tls": {"insecure": true},
  "platform": {"accessKey": "k", "secretKey": "s"}}`

func check(t *testing.T, config string) (code int, output string) {
	path := filepath.Join(t.TempDir(), "node.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), []string{"--config", path, "--check"}, &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// Guards against a node that starts on settings that it cannot use, and against messages that don't name the setting.
func TestCheckNamesTheWrongSetting(t *testing.T) {
	code, output := check(t, good)
	require.Equal(t, exitOK, code, output)
	cases := map[string]struct{ from, to, path, allowed string }{
		"a missing place":                {`"hue"`, `""`, "place", "allowed are 1 to 64 characters"},
		"a place with a dot":             {`"hue"`, `"hue.1"`, "place", "without space, dot and slash"},
		"a host name for an address":     {"127.0.0.1:7400", "localhost:7400", "listen.callers", "IP number with a port"},
		"an address without a port":      {"127.0.0.1:7401", "127.0.0.1", "listen.peers", "IP number with a port"},
		"an unspecific advertise":        {`"127.0.0.1:7401"`, `"0.0.0.0:7401"`, "advertise", "must be given"},
		"no token for operators":         {`"secret"`, `""`, "operators.token", "give a token"},
		"no files for TLS":               {`"insecure": true`, `"insecure": false`, "tls.certFile", "name a PEM file"},
		"a file for TLS that is missing": {`"insecure": true`, `"certFile": "a", "keyFile": "b", "caFile": "c"`, "tls", "no such file"},
		"an unknown setting":             {`"place"`, `"plaice"`, "plaice", "not defined"},
		"a value of the wrong type":      {`"insecure": true`, `"insecure": "perhaps"`, "tls.insecure", "perhaps"},
		"a limit out of range":           {`"place"`, `"maxInProgress": -1, "place"`, "maxInProgress", "allowed are 1 to 1000000"},
		"no processors":                  {`"place"`, `"processors": 0, "place"`, "processors", "allowed are 1 to 64"},
		"text that is no JSON":           {`{"place"`, `{place`, "JSON", "invalid character"},
		"a platform without keys":        {`"secretKey": "s"`, `"secretKey": ""`, "platform.secretKey", "empty"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			broken := bytes.Replace([]byte(good), []byte(c.from), []byte(c.to), 1)
			code, output := check(t, string(broken))
			require.Equal(t, exitSettings, code, output)
			require.Contains(t, output, c.path)
			require.Contains(t, output, c.allowed)
		})
	}
}

// Guards against flags that are silently ignored because they follow an argument that is no flag.
func TestArgumentThatIsNoFlagIsRefused(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := run(context.Background(), []string{"--tls.insecure", "true", "--place", "hue", "--check"}, &stdout, &stderr)
	require.Equal(t, exitSettings, code)
	require.Contains(t, stderr.String(), `argument "true" is not a flag`)
}
