package peers

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

// routingNode is the link handler of a node with a routing version. It does not answer a request for a document that it lacks.
type routingNode struct {
	version  uint64
	document []byte
}

func (n *routingNode) Serve(context.Context, *linkpb.Call, func(*linkpb.Frame)) {}
func (n *routingNode) Hello(*linkpb.Hello)                                      {}
func (n *routingNode) State() *linkpb.State                                     { return &linkpb.State{} }
func (n *routingNode) Leaving(*linkpb.Leaving)                                  {}
func (n *routingNode) Routing() []byte                                          { return n.document }
func (n *routingNode) LocalVersion() uint64                                     { return n.version }
func (n *routingNode) ProofAge(uint64) uint32                                   { return 0 }
func (n *routingNode) ObserveVersion(string, uint64)                            {}

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

// Guards against a version that is never requested again after the first node that has it did not answer.
func TestVersionIsRequestedFromTheNextNodeWhenOneDoesNotAnswer(t *testing.T) {
	var version atomic.Uint64
	received := make(chan []byte, 1)
	set := New(t.Context(), Config{
		Hello: &linkpb.Hello{Address: "10.0.0.1:1"}, LocalVersion: version.Load, Memory: membudget.New(1 << 20), Log: silentLog{},
		PollersChanged: func() {},
		Routing: func(_ string, document []byte) {
			version.Store(2)
			received <- document
		},
	})
	set.Add(startRoutingNode(t, &routingNode{version: 2}))
	require.Eventually(t, func() bool { _, linked := set.Linked(); return linked == 1 }, time.Second, time.Millisecond)
	set.Add(startRoutingNode(t, &routingNode{version: 2, document: []byte("version 2")}))
	select {
	case document := <-received:
		require.Equal(t, "version 2", string(document))
	case <-time.After(2 * time.Second):
		t.Fatal("no node was asked after the first one")
	}
}
