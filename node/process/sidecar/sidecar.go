// Package sidecar assembles the node that runs beside a backend server on a platform that keeps the operators' routing and
// the nodes' addresses in its store. Callers and the server send their requests to their own node.
package sidecar

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/ingress"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/process/budget"
	"github.com/radishstand/radishstand/node/process/localserver"
	"github.com/radishstand/radishstand/node/process/peers"
	"github.com/radishstand/radishstand/node/request/front"
	"github.com/radishstand/radishstand/node/version/routing"
)

// Log takes log lines with alternating keys and values.
type Log interface {
	Info(message any, keyvals ...any)
	Warn(message any, keyvals ...any)
}

// Node is one node of the fleet.
type Node struct {
	ctx     context.Context // ends with the process
	config  atomic.Pointer[Config]
	adapter Adapter
	store   Store
	log     Log

	routing *routing.Holder
	server  *localserver.Server
	links   *link.Server
	peers   *peers.Set
	front   *front.Handler
	metrics metrics.Registry
	knees   knees
	callers atomic.Pointer[ingress.Server] // nil before the node listens

	stopping  atomic.Bool // readiness is withdrawn
	handedOff atomic.Bool // the backend server takes no more calls through this node
	serving   atomic.Int64
	failing   sync.Map // call to the store -> true while it fails
}

// New returns a node that runs until ctx ends.
func New(ctx context.Context, c Config, adapter Adapter, log Log) *Node {
	n := &Node{ctx: ctx, adapter: adapter, store: adapter.Store(), log: log, routing: &routing.Holder{}, metrics: metrics.NewRegistry()}
	n.config.Store(&c)
	n.server = localserver.New(localserver.Config{
		Address:    func() string { return n.config.Load().ServerAddress },
		HasService: n.knownService, HealthPath: n.healthPath,
		Names: adapter.Names(), Now: time.Now, Changed: n.serverChanged,
		PeerKnee: n.othersKnee, KneeChanged: n.kneeFound,
	})
	n.links = link.NewServer(n)
	n.peers = peers.New(ctx, peers.Config{
		Hello: &linkpb.Hello{Node: c.Name, Address: c.Listen.Peers, Place: c.Place}, Serve: n.Serve,
		LocalVersion: n.routing.Number, Routing: n.offer, Log: log,
	})
	n.front = front.New(front.Config{
		Names: adapter.Names(), Routing: n.routing, Peers: n.peers,
		Budget:  budget.New(c.Limits, func() int { known, _ := n.peers.Linked(); return known + 1 }),
		Service: func() string { return n.config.Load().Service }, Log: log, Counters: counters{n.metrics},
	})
	return n
}

// Reload takes a changed configuration. Addresses to listen on change only with a restart.
func (n *Node) Reload(c Config) {
	old := n.config.Swap(&c)
	if *old != c {
		n.log.Info("configuration reloaded", "service", c.Service, "serverAddress", c.ServerAddress)
	}
}

// knownService reports whether a service is configured. Until the routing is known, the configured service of this host is.
func (n *Node) knownService(name string) bool {
	v := n.routing.Current()
	if v == nil {
		return name == n.config.Load().Service
	}
	_, known := v.Services[name]
	return known
}

// healthPath returns the path of the health check of a service, or "" while it is not known.
func (n *Node) healthPath(service string) string {
	if v := n.routing.Current(); v != nil {
		return v.Services[service].HealthPath
	}
	return ""
}

// serverChanged tells the other nodes of a change of the backend server's state.
func (n *Node) serverChanged(status localserver.Status) {
	n.log.Info("server state", "server", status.ID, "service", status.Service, "state", status.State, "slots", status.Slots)
	n.tell()
}

// tell tells this node and the others whether the backend server takes calls.
func (n *Node) tell() {
	n.peers.SetLocal(n.State())
	n.links.Broadcast()
}

// offer puts the routing version of a document in force if it is newer.
func (n *Node) offer(document []byte) {
	v, err := n.adapter.ParseRouting(document)
	if err != nil {
		n.log.Warn("routing refused", "error", err)
		return
	}
	v.Document = document
	if n.routing.Offer(v) {
		n.log.Info("routing in force", "version", v.Number)
		n.applyLimits()
	}
}

// applyLimits bounds what callers may send by the routing in force.
func (n *Node) applyLimits() {
	if callers := n.callers.Load(); callers != nil {
		callers.SetLimits(ingressLimits(n.routing.Current()))
	}
}

// State describes this node to others.
func (n *Node) State() *linkpb.State {
	status := n.server.Status()
	c := n.config.Load()
	return &linkpb.State{
		Node: c.Name, Place: c.Place, Service: status.Service, ServerId: status.ID, Slots: uint32(max(status.Slots, 0)),
		Ready: status.Ready && !n.handedOff.Load(), ColdMs: uint32(status.WarmUpLeft.Milliseconds()), Load: n.server.Load(),
		Knee: uint32(n.server.Knee()),
	}
}

// Serve runs a call at the backend server.
func (n *Node) Serve(ctx context.Context, call *linkpb.Call) *linkpb.Frame {
	n.serving.Add(1)
	defer n.serving.Add(-1)
	return n.server.Serve(ctx, call)
}

// Hello takes the introduction of another node.
func (n *Node) Hello(h *linkpb.Hello) { n.peers.Add(h.Address) }

// Routing returns the document of the routing version in force.
func (n *Node) Routing() []byte {
	if v := n.routing.Current(); v != nil {
		return v.Document
	}
	return nil
}

// LocalVersion returns the number of the routing version in force.
func (n *Node) LocalVersion() uint64 { return n.routing.Number() }

// ObserveVersion takes the version number of a node that opened a link. Its own link brings the version.
func (n *Node) ObserveVersion(uint64) {}

// ready answers the readiness check.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.routing.Current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// counters counts outcomes in a metrics registry.
type counters struct{ registry metrics.Registry }

// Count counts an outcome.
func (c counters) Count(name string) { metrics.GetOrRegisterCounter(name, c.registry).Inc(1) }

// Time records a duration in milliseconds.
func (c counters) Time(name string, took time.Duration) {
	sample := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) }
	c.registry.GetOrRegister(name+".ms", sample).(metrics.Histogram).Update(took.Milliseconds())
}

// sampleSize is the number of latencies that a histogram keeps.
const sampleSize = 512
