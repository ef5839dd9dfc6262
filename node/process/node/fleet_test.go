package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/backendtest"
	"github.com/radishstand/radishstand/node/platformtest"
	"github.com/radishstand/radishstand/node/version/commit"
)

// testFleet is a fleet of real nodes with fake backend servers on loopback and an in-memory platform.
type testFleet struct {
	t       testing.TB
	store   *platformtest.Memory
	nodes   []*Node
	stops   []func()
	servers []*backendtest.Server
	tokens  atomic.Int64
	client  *http.Client
	// configure may change the configuration of a node before it starts.
	configure func(*Config)
}

// baseSettings configures two services at two places, with a short call timeout to keep the tests fast.
const baseSettings = `{
  "defaults": {"call": {"timeoutMs": 1000, "notRunStatus": 503, "notRunHeader": "X-Not-Run"}},
  "places": {
    "hue": {"services": {"quotes": {}, "crews": {"call": {"class": "critical"}}}},
    "hoian": {"services": {"quotes": {}, "crews": {"call": {"class": "critical"}}}}
  }}`

// newTestFleet starts one node with a backend server for each service name, alternating between the two places.
func newTestFleet(t testing.TB, services ...string) *testFleet {
	return newConfiguredFleet(t, nil, services...)
}

// newConfiguredFleet is like newTestFleet and applies configure to the configuration of each node.
func newConfiguredFleet(t testing.TB, configure func(*Config), services ...string) *testFleet {
	f := &testFleet{t: t, store: platformtest.NewMemory(), configure: configure, client: &http.Client{
		Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 500},
	}}
	f.commit("base", baseSettings)
	for i, service := range services {
		f.startNode([]string{"hue", "hoian"}[i%2], service, 4)
	}
	t.Cleanup(f.close)
	f.await("all nodes know all servers", func() bool { return f.allNodesKnow(services) })
	return f
}

// commit replaces the settings tree and returns the new version.
func (f *testFleet) commit(id, tree string) int64 {
	editor := commit.NewEditor(commit.NewStore(f.store, f.store), time.Now)
	defer editor.Close()
	parsed, err := settings.Parse([]byte(tree))
	require.NoError(f.t, err)
	head, err := editor.HeadVersion(context.Background())
	require.NoError(f.t, err)
	before := &settings.Tree{}
	if head > 0 {
		before, err = editor.Load(context.Background(), head)
		require.NoError(f.t, err)
	}
	result, err := editor.Commit(context.Background(), commit.Change{
		ID: id, Author: "test", BaseVersion: head, Edits: settings.EditsBetween(before, parsed),
	})
	require.NoError(f.t, err)
	return result.Version
}

// awaitTimeout ends a test that hangs. It is not a performance bound, since other processes may slow the machine down.
const awaitTimeout = time.Minute

const anyPort = "127.0.0.1:0"

// startNode starts a node and, unless the service is empty, its backend server. It returns the index of the node.
func (f *testFleet) startNode(place, service string, slots int) int {
	config := Config{
		Place: place, ListenCallers: anyPort, ListenPeers: anyPort, ListenServer: anyPort, ListenOperators: anyPort,
		Operators: OperatorAccess{Token: "secret"}, TLS: TLSConfig{Insecure: true}, StopGrace: 300 * time.Millisecond,
	}
	for _, n := range f.nodes {
		config.Peers = append(config.Peers, n.id)
	}
	if f.configure != nil {
		f.configure(&config)
	}
	require.NoError(f.t, config.Provision())
	n, err := New(config, Store{Table: f.store, Objects: f.store}, log.New(io.Discard))
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	f.nodes = append(f.nodes, n)
	f.stops = append(f.stops, func() {
		cancel()
		<-done
	})
	f.servers = append(f.servers, f.startServer(n, service, slots))
	return len(f.nodes) - 1
}

func (f *testFleet) startServer(n *Node, service string, slots int) *backendtest.Server {
	if service == "" {
		return nil
	}
	s, err := backendtest.Start(service, slots)
	require.NoError(f.t, err)
	require.NoError(f.t, s.KeepAnnounced(n.config.ListenServer, 500*time.Millisecond))
	return s
}

func (f *testFleet) close() {
	for _, stop := range f.stops {
		go stop()
	}
	for _, stop := range f.stops {
		stop()
	}
	for _, s := range f.servers {
		if s != nil {
			s.Close()
		}
	}
}

// allNodesKnow reports whether every node has settings and the expected number of servers of each service.
func (f *testFleet) allNodesKnow(services []string) bool {
	want := map[string]int{}
	for _, s := range services {
		want[s]++
	}
	for _, n := range f.nodes {
		if n.core.settings.Current() == nil {
			return false
		}
		for service, count := range want {
			if service == "" {
				continue
			}
			n.fleet.track(service)
			if len(n.core.balancer.Dump()[service]) != count {
				return false
			}
		}
	}
	return true
}

func (f *testFleet) await(what string, holds func() bool) {
	f.t.Helper()
	require.Eventually(f.t, holds, awaitTimeout, 10*time.Millisecond, what)
}

// reply is the response that a caller received.
type reply struct {
	token   string
	status  int
	outcome contract.Outcome
	header  http.Header
	body    string
	err     error
}

// call sends a request with a unique token to a node.
func (f *testFleet) call(node int, method, service, path string, header http.Header, body string) reply {
	token := fmt.Sprintf("token-%d", f.tokens.Add(1))
	request, err := http.NewRequest(method, f.callersURL(node)+path, strings.NewReader(body))
	require.NoError(f.t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	request.Host = service + ".example"
	request.Header.Set(backendtest.HeaderToken, token)
	response, err := f.client.Do(request)
	if err != nil {
		return reply{token: token, err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{
		token: token, status: response.StatusCode, outcome: contract.Outcome(response.Header.Get(contract.HeaderOutcome)),
		header: response.Header, body: string(text), err: err,
	}
}

// runs returns how often the call with the token ran, over all servers.
func (f *testFleet) runs(token string) int {
	n := 0
	for _, s := range f.servers {
		if s != nil {
			n += s.Runs(token)
		}
	}
	return n
}

// dial opens a connection to the callers' listener of a node and sends nothing.
func (f *testFleet) dial(node int) net.Conn {
	conn, err := net.Dial("tcp", f.nodes[node].config.ListenCallers)
	require.NoError(f.t, err)
	return conn
}

func (f *testFleet) callersURL(node int) string {
	c := f.nodes[node].config
	if c.CallersTLS.enabled() {
		return "https://" + c.ListenCallers
	}
	return "http://" + c.ListenCallers
}
