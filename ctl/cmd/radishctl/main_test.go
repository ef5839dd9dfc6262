package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/cli"
)

// fakeNode implements the operators' API. It answers changes with the elements of a list and repeats the last one.
type fakeNode struct {
	mu      sync.Mutex
	changes []operator.Change
	answers []any
	inForce operator.InForce
}

func (f *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var answer any
	switch r.URL.Path {
	case operator.PathSettings:
		answer = operator.Settings{Version: 7, Tree: json.RawMessage(`{"defaults":{"call":{"timeoutMs":900}},"places":{}}`)}
	case operator.PathInForce:
		answer = f.inForce
	case operator.PathChanges:
		var c operator.Change
		_ = json.NewDecoder(r.Body).Decode(&c)
		f.changes = append(f.changes, c)
		answer = f.answers[0]
		if len(f.answers) > 1 {
			f.answers = f.answers[1:]
		}
	default:
		answer = operator.Error{Code: operator.CodeNotFound}
	}
	if refusal, ok := answer.(operator.Error); ok {
		w.WriteHeader(map[string]int{
			operator.CodeInvalid: 422, operator.CodeConflict: 409, operator.CodeUnknown: 504, operator.CodeUnavailable: 503,
			operator.CodeUnauthorized: 401,
		}[refusal.Code])
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// ctl runs radishctl and returns its exit code and output.
func ctl(t *testing.T, node string, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	env := &cli.Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Node: node}
	return run(t.Context(), env, args), out.String(), errs.String()
}

// Guards against exit codes that differ from the documented ones, and against a change with an unknown outcome that is
// repeated under another id or reported as refused.
func TestSettingsSetExitCodes(t *testing.T) {
	accepted := operator.Accepted{Version: 8}
	unknown := operator.Error{Code: operator.CodeUnknown, Message: "outcome of the settings change is unknown"}
	unavailable := operator.Error{Code: operator.CodeUnavailable, Message: "store is unavailable"}
	unauthorized := operator.Error{Code: operator.CodeUnauthorized, Message: "the bearer token is not valid"}
	conflict := operator.Error{Code: operator.CodeConflict, Conflicts: []settings.Conflict{
		{Path: "defaults.call.timeoutMs", Yours: json.RawMessage("700"), Theirs: json.RawMessage("800")},
	}}
	half := operator.InForce{Version: 8, Places: map[string]operator.PlaceInForce{"a": {Nodes: 2, InForce: 2}, "b": {Nodes: 3, InForce: 1}}}
	whole := operator.InForce{Version: 8, Places: map[string]operator.PlaceInForce{"a": {Nodes: 2, InForce: 2}}}
	for _, c := range []struct {
		name    string
		args    string
		answers []any
		inForce operator.InForce
		code    int
		output  string
		submits int
	}{
		{"an accepted change is success", "a=1", []any{accepted}, whole, 0, "accepted as version 8", 1},
		{"an invalid change is 2 and names the path", "a=1", []any{operator.Error{Code: operator.CodeInvalid, Problems: []string{"a: unknown"}}}, whole, 2, "a: unknown", 1},
		{"a conflict is 3 and shows both values", "a=1", []any{conflict}, whole, 3, "yours 700, theirs 800", 1},
		{"an unavailable store is 4 at once", "a=1", []any{unavailable}, whole, 4, "store is unavailable", 1},
		{"an unknown outcome is resolved by the same id", "a=1", []any{unknown, operator.Accepted{Version: 8, Repeated: true}}, whole, 0, "accepted before", 2},
		{"an outage after an unknown outcome does not make it a refusal", "a=1", []any{unknown, unavailable, accepted}, whole, 0, "version 8", 3},
		{"an outcome that stays unknown is 4 and says how to resolve it", "--timeout 300ms a=1", []any{unknown}, whole, 4, "--change-id", 1},
		{"a refused token is 1", "a=1", []any{unauthorized}, whole, 1, "unauthorized: the bearer token is not valid", 1},
		{"a token replaced after an unknown outcome leaves it unknown", "a=1", []any{unknown, unauthorized}, whole, 4, "--change-id", 2},
		{"in force everywhere is success", "--wait 1s a=1", []any{accepted}, whole, 0, "in force at 2 of 2 nodes, in 1 of 1 places", 1},
		{"not in force everywhere by the deadline is 5", "--wait 100ms a=1", []any{accepted}, half, 5, "in force at 3 of 5 nodes, in 1 of 2 places", 1},
		{"a missing value is wrong usage", "a", nil, whole, 2, "<path>=<value>", 0},
		{"an option after the arguments is wrong usage", "a=1 --wait 1s", nil, whole, 2, "must stand before", 0},
		{"an unknown option is wrong usage", "--nope a=1", nil, whole, 2, "nope", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			node := &fakeNode{answers: c.answers, inForce: c.inForce}
			server := httptest.NewServer(node)
			defer server.Close()
			code, stdout, stderr := ctl(t, server.URL, append([]string{"settings", "set"}, strings.Fields(c.args)...)...)
			require.Equal(t, c.code, code, stdout+stderr)
			require.Contains(t, stdout+stderr, c.output)
			require.Len(t, node.changes, c.submits)
			for _, change := range node.changes {
				require.Equal(t, node.changes[0], change)
				require.Equal(t, int64(7), change.BaseVersion)
				require.Equal(t, []settings.Edit{settings.Set("a", json.RawMessage("1"))}, change.Edits)
			}
		})
	}
}

// Guards against an unreachable node being reported like a node that refuses the request.
func TestUnreachableNodeExits4(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	code, _, stderr := ctl(t, "", "status", "--node", server.URL)
	require.Equal(t, cli.ExitUnavailable, code, stderr)
	code, _, stderr = ctl(t, server.URL, "settings", "set", "--expect-version", "0", "a=1")
	require.Equal(t, cli.ExitUnavailable, code)
	require.NotContains(t, stderr, "outcome", "the outcome is known if the connection was not opened")
}

// Guards against accepting a settings file with several faults, and against reporting only the first one.
func TestCheckNamesEveryFault(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"defaults":{"call":{"timeoutMs":0}},"places":{"p":{"services":{"s":{"nope":1}}}}}`), 0o600))
	code, _, stderr := ctl(t, "", "settings", "check", file)
	require.Equal(t, cli.ExitInvalid, code)
	require.Contains(t, stderr, "defaults.call.timeoutMs")
	require.Contains(t, stderr, "places.p.services.s.nope")
}

// Guards against a subcommand without help or examples, and against an exit code other than 0 for help.
func TestEverySubcommandHasHelpWithExamples(t *testing.T) {
	env := &cli.Env{Stdout: &bytes.Buffer{}, Stderr: &bytes.Buffer{}}
	commands := root(env).Subcommands
	for _, c := range commands {
		path := []string{c.Name}
		if len(c.Subcommands) > 0 {
			for _, sub := range c.Subcommands {
				requireHelp(t, append(path, sub.Name))
			}
			continue
		}
		requireHelp(t, path)
	}
}

func requireHelp(t *testing.T, path []string) {
	code, _, stderr := ctl(t, "", append(path, "--help")...)
	require.Equal(t, cli.ExitOK, code, path)
	require.Contains(t, stderr, "EXAMPLES", path)
}

// Guards against an outdated page of the settings reference and against a second copy of it in the operations guide.
func TestOnePageHoldsTheSettingsReference(t *testing.T) {
	page, err := os.ReadFile("../../../docs/settings.md")
	require.NoError(t, err)
	code, stdout, _ := ctl(t, "", "settings", "reference")
	require.Equal(t, cli.ExitOK, code)
	require.Equal(t, stdout, string(page), "run: go generate ./api/settings")
	guide, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	require.Contains(t, string(guide), "(settings.md)")
	require.NotContains(t, string(guide), "| `call.timeoutMs` |")
}

// Guards against settings in the README that radishctl refuses as invalid.
func TestReadmeExampleSettingsAreValid(t *testing.T) {
	page, err := os.ReadFile("../../../README.md")
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(page), "`settings.json`:")
	require.True(t, ok)
	_, rest, ok = strings.Cut(rest, "```json\n")
	require.True(t, ok)
	example, _, ok := strings.Cut(rest, "```")
	require.True(t, ok)
	var out, errs bytes.Buffer
	env := &cli.Env{Stdin: strings.NewReader(example), Stdout: &out, Stderr: &errs}
	require.Equal(t, cli.ExitOK, run(context.Background(), env, []string{"settings", "check", "-"}), errs.String())
}
