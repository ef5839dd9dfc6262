package explain_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/ctl/cli"
	"github.com/radishstand/radishstand/ctl/explain"
)

const answer = `{"node": "n", "place": "north", "version": 3, "outcome": {"result": "sent", "service": "quotes", "server": "i-1", "place": "south", "away": true},
	"identity": {"required": true, "given": "key", "team": "a"}, "lease": {"required": true, "held": true, "ageMs": 20, "limitMs": 5000},
	"candidates": [{"node": "10.1.2.3:7003", "server": "i-1", "place": "south", "chosen": true, "estimateMs": 9.5, "terms": {"work": 7, "wait": 2.5}, "reportAgeMs": 4},
	{"node": "local", "server": "i-2", "place": "north", "unusable": "leaving"}], "unknown": [{"what": "the answer of the queue", "why": "it was not asked"}]}`

// run runs the command with the key as standard input.
func run(t *testing.T, node, key string, args ...string) (output string, err error) {
	t.Helper()
	var out bytes.Buffer
	env := &cli.Env{Stdin: strings.NewReader(key), Stdout: &out, Stderr: &out, Node: cli.DefaultNode}
	command := explain.Command(env)
	err = command.ParseAndRun(t.Context(), append([]string{"--node", node}, args...))
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), err
}

// Guards against a key in an address or an output, also when the node refuses the request.
func TestKeyIsOnlyInTheBody(t *testing.T) {
	var requests, bodies strings.Builder
	status := http.StatusOK
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies.Write(body)
		requests.WriteString(r.Method + r.RequestURI)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, map[int]string{200: answer, 400: `{"error": "host and path are required"}`, 500: "x"}[status])
	}))
	defer node.Close()
	for _, status = range []int{200, 400, 500} {
		for _, args := range [][]string{{"--json"}, nil} {
			output, _ := run(t, node.Listener.Addr().String(), "secret\n", append(args, "--host", "h", "--path", "/p", "--key-from-stdin")...)
			assert.NotContains(t, output, "secret")
		}
	}
	assert.NotContains(t, requests.String(), "secret")
	assert.Equal(t, 6, strings.Count(bodies.String(), `"key":"secret"`))
}

// Guards against texts that do not say what happens and why, and against exit codes that differ from the documented ones.
func TestOutputAndExitCodes(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.FormValue("team") {
		case "none":
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, `{"error": "version 3 has no team of that name"}`)
		case "old":
			http.NotFound(w, r)
		default:
			_, _ = io.WriteString(w, answer)
		}
	}))
	defer node.Close()
	address := node.Listener.Addr().String()
	cases := map[string]struct {
		node, key string
		args      []string
		code      int
		want      string
	}{
		"text":                     {address, "", []string{"--host", "h", "--path", "/p"}, cli.ExitOK, "sent to another place: to server i-1 of service quotes in place south"},
		"candidates":               {address, "", []string{"--host", "h", "--path", "/p"}, cli.ExitOK, "unusable: leaving"},
		"terms":                    {address, "", []string{"--host", "h", "--path", "/p"}, cli.ExitOK, "work 7, wait 2.5, no room"},
		"json":                     {address, "", []string{"--host", "h", "--path", "/p", "--json"}, cli.ExitOK, `"result": "sent"`},
		"no host":                  {address, "", []string{"--path", "/p"}, cli.ExitInvalid, "--host is required"},
		"no path":                  {address, "", []string{"--host", "h"}, cli.ExitInvalid, "--path is required"},
		"no node":                  {cli.DefaultNode, "", []string{"--host", "h", "--path", "/p"}, cli.ExitInvalid, "--node is required"},
		"no key":                   {address, "\n", []string{"--host", "h", "--path", "/p", "--key-from-stdin"}, cli.ExitInvalid, "first line of standard input is empty"},
		"key and team":             {address, "k", []string{"--host", "h", "--path", "/p", "--key-from-stdin", "--team", "a"}, cli.ExitInvalid, "only one of them"},
		"key to another host":      {"10.9.9.9:9464", "k", []string{"--host", "h", "--path", "/p", "--key-from-stdin"}, cli.ExitInvalid, "unencrypted"},
		"refused by the node":      {address, "", []string{"--host", "h", "--path", "/p", "--team", "none"}, cli.ExitInvalid, "no team of that name"},
		"node that cannot explain": {address, "", []string{"--host", "h", "--path", "/p", "--team", "old"}, cli.ExitFailed, "status 404"},
		"unreachable":              {"127.0.0.1:1", "", []string{"--host", "h", "--path", "/p"}, cli.ExitUnavailable, "cannot be reached"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			output, err := run(t, c.node, c.key, c.args...)
			assert.Equal(t, c.code, cli.ExitCode(err))
			assert.Contains(t, output, c.want)
		})
	}
}
