package peers

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

// routingNode is the link handler of a node with a routing version. It does not answer a request for a document that it lacks.
type routingNode struct {
	version  uint64
	document []byte
	// unanswered is the number of requests for the document that get no answer.
	unanswered atomic.Int32
}

func (n *routingNode) Serve(context.Context, *linkpb.Call, func(*linkpb.Frame)) {}
func (n *routingNode) Hello(*linkpb.Hello)                                      {}
func (n *routingNode) State() *linkpb.State                                     { return &linkpb.State{} }
func (n *routingNode) Leaving(*linkpb.Leaving)                                  {}
func (n *routingNode) LocalVersion() uint64                                     { return n.version }
func (n *routingNode) ProofAge(uint64) uint32                                   { return 0 }
func (n *routingNode) ObserveVersion(string, uint64)                            {}

func (n *routingNode) Routing() []byte {
	if n.unanswered.Add(-1) >= 0 {
		return nil
	}
	return n.document
}

// startRoutingNode accepts links for a node and returns its address.
func startRoutingNode(t *testing.T, n *routingNode) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = link.NewServer(n, membudget.New(1<<20)).Serve(listener) }()
	return listener.Addr().String()
}

// silentLog discards log lines.
type silentLog struct{}

func (silentLog) Info(any, ...any) {}
func (silentLog) Warn(any, ...any) {}

// startVersionSet returns the set of a node with version 0, and a channel that receives the document of the first newer version.
func startVersionSet(t *testing.T) (*Set, <-chan []byte) {
	t.Helper()
	var version atomic.Uint64
	received := make(chan []byte, 1)
	return New(t.Context(), Config{
		Hello: &linkpb.Hello{Address: "10.0.0.1:1"}, LocalVersion: version.Load, Memory: membudget.New(1 << 20), Log: silentLog{},
		PollersChanged: func() {},
		Routing: func(_ string, document []byte) {
			if version.Swap(2) != 2 {
				received <- document
			}
		},
	}), received
}

// requireDocument fails if no document arrives in time.
func requireDocument(t *testing.T, received <-chan []byte) {
	t.Helper()
	select {
	case document := <-received:
		require.Equal(t, "version 2", string(document))
	case <-time.After(2 * time.Second):
		t.Fatal("the version has not arrived")
	}
}

// Guards against a version that is never requested again after the first node that has it did not answer.
func TestVersionIsRequestedFromTheNextNodeWhenOneDoesNotAnswer(t *testing.T) {
	set, received := startVersionSet(t)
	set.Add(startRoutingNode(t, &routingNode{version: 2}))
	require.Eventually(t, func() bool { _, linked := set.Linked(); return linked == 1 }, time.Second, time.Millisecond)
	set.Add(startRoutingNode(t, &routingNode{version: 2, document: []byte("version 2")}))
	requireDocument(t, received)
}

// Guards against a node that knows of a newer version and no longer asks for it once each node that has it was asked.
func TestVersionIsRequestedAgainFromANodeThatDidNotAnswer(t *testing.T) {
	set, received := startVersionSet(t)
	n := &routingNode{version: 2, document: []byte("version 2")}
	n.unanswered.Store(2)
	set.Add(startRoutingNode(t, n))
	requireDocument(t, received)
}

// Guards against a version that is not requested, since another node has reported it while the requests for the one before ended.
func TestRequestsGoOnForAVersionThatIsReportedAsTheyEnd(t *testing.T) {
	sources := &versionSources{}
	require.True(t, sources.add(&Server{}, 2))
	require.False(t, sources.add(&Server{}, 3))
	assert.False(t, sources.finish(2))
	assert.True(t, sources.finish(3))
	assert.True(t, sources.add(&Server{}, 4), "a new request must be scheduled")
}

// Guards against a node that asks those first of whose links it has heard nothing for long.
func TestNodesThatWereHeardLatelyAreAskedFirst(t *testing.T) {
	set, _ := startVersionSet(t)
	for range 2 {
		set.Add(startRoutingNode(t, &routingNode{}))
	}
	require.Eventually(t, func() bool { _, linked := set.Linked(); return linked == 2 }, time.Second, time.Millisecond)
	sources := &versionSources{}
	for _, known := range set.peers {
		sources.add(known.server, 2)
	}
	silent, heard := sources.sources[0].server, sources.sources[1].server
	require.Eventually(t, func() bool { return !silent.heardLately() }, 3*silentLinkTime, 10*time.Millisecond)
	heard.currentClient().Ask()
	require.Eventually(t, heard.heardLately, time.Second, time.Millisecond)
	require.False(t, silent.heardLately())
	var asked []*Server
	for range 3 {
		s, _ := sources.next(1, "")
		asked = append(asked, s)
	}
	assert.Equal(t, []*Server{heard, silent, heard}, asked)
}
