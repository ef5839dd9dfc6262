// Package explain implements the subcommand that explains where a request would go at a node of the users' platform.
package explain

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	api "github.com/radishstand/radishstand/api/explain"
	"github.com/radishstand/radishstand/ctl/cli"
)

const (
	requestTimeout = 10 * time.Second
	maxAnswerBytes = 16 << 20
	// maxKeyBytes bounds the key on standard input.
	maxKeyBytes = 4096
)

// Command returns the subcommand `explain`.
func Command(env *cli.Env) *ffcli.Command {
	fs := env.Flags("explain")
	var r api.Request
	fs.StringVar(&r.Host, "host", "", "Host header of the request")
	fs.StringVar(&r.Path, "path", "", "path of the request, with its query")
	fs.StringVar(&r.Method, "method", http.MethodGet, "method of the request")
	fs.StringVar(&r.Team, "team", "", "name of the caller's team")
	keyFromStdin := fs.Bool("key-from-stdin", false, "read the caller's key from the first line of standard input")
	return cli.Command{
		Name: "explain", Usage: "radishctl explain --node HOST:PORT --host H --path P [options]", Flags: fs,
		Short: "explain where a request would go at a node of the users' platform, and why",
		Long: "Asks a node at its metrics address what it would do with a request now: the caller's team, the lease, the quota, the\n" +
			"route, the servers with their estimates, and what the queue would answer. Nothing is sent to a server, no token is taken,\n" +
			"and nothing is counted. What the node cannot know is listed. The key is sent in the body of a POST and is in no output.\n" +
			"Exit codes: 0 explained, whatever the result; 1 the answer is unreadable, 2 wrong usage or a request that the node cannot\n" +
			"explain, 4 the node cannot be reached.",
		Examples: []string{
			"radishctl explain --node 10.1.2.3:9464 --host shop.example --path /orders/1 --team acme",
			"radishctl explain --node 127.0.0.1:9464 --host shop.example --path /orders/1 --key-from-stdin --json < key",
		},
		Run: func(ctx context.Context, _ []string) error { return run(ctx, env, r, *keyFromStdin) },
	}.Build()
}

func run(ctx context.Context, env *cli.Env, r api.Request, keyFromStdin bool) error {
	switch {
	case env.Node == cli.DefaultNode:
		return cli.Fail(cli.ExitInvalid, "--node is required: the metrics address of a node")
	case r.Host == "":
		return cli.Fail(cli.ExitInvalid, "--host is required")
	case !strings.HasPrefix(r.Path, "/"):
		return cli.Fail(cli.ExitInvalid, "--path is required and starts with /")
	case keyFromStdin && r.Team != "":
		return cli.Fail(cli.ExitInvalid, "--team and --key-from-stdin: give only one of them")
	}
	if keyFromStdin {
		var err error
		if r.Key, err = readKey(env.Stdin); err != nil {
			return err
		}
	}
	endpoint, err := endpointOf(env, r.Key != "")
	if err != nil {
		return err
	}
	raw, err := ask(ctx, env, endpoint, r)
	if err != nil {
		return err
	}
	var answer api.Answer
	if err := json.Unmarshal(raw, &answer); err != nil || answer.Outcome.Result == "" {
		return cli.Fail(cli.ExitFailed, "%s: the answer is no explanation; is it the metrics address of a node?", env.Node)
	}
	if env.JSON {
		return env.PrintJSON(json.RawMessage(raw))
	}
	return Print(env, &answer)
}

// readKey reads the key. Errors do not contain what was read.
func readKey(input io.Reader) (string, error) {
	line, err := bufio.NewReader(io.LimitReader(input, maxKeyBytes)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", cli.Fail(cli.ExitInvalid, "--key-from-stdin: standard input cannot be read: %w", err)
	}
	key := strings.TrimSpace(line)
	if key == "" {
		return "", cli.Fail(cli.ExitInvalid, "--key-from-stdin: the first line of standard input is empty")
	}
	return key, nil
}

// endpointOf returns the URL of the explanation. The metrics address has no TLS, so a key is sent to another host only if the address
// explicitly starts with http://.
func endpointOf(env *cli.Env, withKey bool) (string, error) {
	address := env.Node
	if !strings.Contains(address, "://") && !withKey {
		address = "http://" + address
	}
	endpoint, err := env.Endpoint(address)
	if err != nil {
		return "", err
	}
	if withKey && strings.HasPrefix(endpoint, "https://") && !strings.Contains(env.Node, "://") {
		return "", cli.Fail(cli.ExitInvalid, "--node %s: the key would leave this host unencrypted; run the command on that host, use --team, or write http://%s",
			env.Node, env.Node)
	}
	return endpoint + api.Path, nil
}

// ask sends the request and returns the explanation as JSON.
func ask(ctx context.Context, env *cli.Env, endpoint string, r api.Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	method, content := http.MethodPost, io.Reader(bytes.NewReader(body))
	if r.Key == "" {
		method, content = http.MethodGet, nil
		endpoint += "?" + url.Values{"host": {r.Host}, "path": {r.Path}, "method": {r.Method}, "team": {r.Team}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, endpoint, content)
	if err != nil {
		return nil, cli.Fail(cli.ExitInvalid, "--node %s: %w", env.Node, err)
	}
	tls, err := env.TLS()
	if err != nil {
		return nil, err
	}
	client := http.Client{Transport: &http.Transport{TLSClientConfig: tls, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, cli.Fail(cli.ExitUnavailable, "node %s cannot be reached: %w", env.Node, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return nil, cli.Fail(cli.ExitUnavailable, "node %s: the answer is incomplete: %w", env.Node, err)
	case response.StatusCode == http.StatusOK:
		return raw, nil
	}
	var refused api.Error
	if json.Unmarshal(raw, &refused) == nil && refused.Error != "" {
		return nil, cli.Fail(cli.ExitInvalid, "node %s: %s", env.Node, refused.Error)
	}
	return nil, cli.Fail(cli.ExitFailed, "node %s answers with status %d; is it the metrics address of a node that can explain?",
		env.Node, response.StatusCode)
}
