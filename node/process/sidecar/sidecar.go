// Package sidecar implements the node that runs beside a backend server on a platform whose store holds the operators'
// routing and the nodes' addresses. Callers and the backend server send their requests to the node at their host.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/ingress"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/internal/membudget"
	"github.com/radishstand/radishstand/node/process/budget"
	"github.com/radishstand/radishstand/node/process/localserver"
	"github.com/radishstand/radishstand/node/process/peers"
	"github.com/radishstand/radishstand/node/request/front"
	"github.com/radishstand/radishstand/node/version/routing"
)

// Log is a structured logger; keyvals are alternating keys and values.
type Log interface {
	Info(message any, keyvals ...any)
	Warn(message any, keyvals ...any)
}

// Node is one node of the fleet. It is a link.Handler.
type Node struct {
	ctx     context.Context // ends with the process
	config  atomic.Pointer[Config]
	adapter Adapter
	store   Store
	log     Log

	routing *routing.Holder
	history routing.History
	server  *localserver.Server
	links   *link.Server
	egress  *link.Egress
	peers   *peers.Set
	front   *front.Handler
	metrics metrics.Registry
	knees   knees
	// identity is that of the backend server.
	identity identity
	poll     routingPoll
	// freshness holds the proofs that the current routing version is the newest one.
	freshness *freshnessLease
	eras      eras
	// lastRead is the time of the latest read of the operators' whole state. It is used by watchRouting only.
	lastRead    time.Time
	evacuations evacuations
	evacuated   metrics.Gauge   // number of evacuated places
	eraChanges  metrics.Counter // how often the store came back from an older copy
	quotas      quotas
	// pollersChanged receives when this node may have become one of the frequent pollers.
	pollersChanged chan struct{}
	callers        atomic.Pointer[ingress.Server] // nil before the node listens
	closers        []func()                       // close the listeners; set by listen

	registered     atomic.Bool // this node's entry is in the store, and the others were read after that
	stopping       atomic.Bool // readiness is withdrawn
	stoppedServing atomic.Bool // this node accepts no more calls for the backend server
	localState     sync.Mutex  // held while this node's state is set in its peer set
	storeFailing   atomic.Bool // the latest call for routing changes has failed
	activeCalls    atomic.Int64
	invalidRows    atomic.Int64 // in the latest reading of the members
	failingCalls   sync.Map     // name of a call to the store -> true while that call fails
}

// New returns a node that runs until ctx ends.
func New(ctx context.Context, c Config, adapter Adapter, log Log) *Node {
	n := &Node{ctx: ctx, adapter: adapter, store: adapter.Store(), log: log, routing: &routing.Holder{}, metrics: metrics.NewRegistry()}
	n.pollersChanged = make(chan struct{}, 1)
	n.config.Store(&c)
	n.freshness = &freshnessLease{node: n}
	memory := membudget.New(bodyBytes(c.MemoryBytes))
	n.egress = n.newEgress()
	n.server = n.newServer(memory)
	n.registerMetrics()
	exchange := link.EvacuationExchange{Current: n.currentEvacuations, Received: n.receiveEvacuations}
	n.links = link.NewServer(n, memory)
	n.links.ExchangeEvacuations(exchange)
	n.links.SendThrough(n.egress)
	n.peers = n.newPeers(memory, exchange)
	n.quotas.init(n)
	n.front = n.newFront(memory)
	return n
}

// newServer returns the backend server's part of a node.
func (n *Node) newServer(memory *membudget.Budget) *localserver.Server {
	return localserver.New(localserver.Config{
		Address:    func() string { return n.config.Load().ServerAddress },
		HasService: n.knownService, HealthPath: n.healthPath,
		AnnounceInterval: func() time.Duration { return n.config.Load().AnnounceInterval },
		Names:            n.adapter.Names(), Memory: memory, Now: time.Now, Boottime: boottime.Now, Changed: n.serverChanged,
		Stated:      n.serverStated,
		EgressBytes: n.egress.WaitingBytes,
		ColdLimit:   n.coldLimit, ColdChanged: n.coldChanged,
		FairShares: n.fairShares, BackPressure: n.backPressure,
		BackPressureChanged: n.backPressureChanged,
		PeerKnee:            n.sharedKnee, KneeChanged: n.kneeChanged,
	})
}

// newPeers returns the node's connections to the other nodes.
func (n *Node) newPeers(memory *membudget.Budget, exchange link.EvacuationExchange) *peers.Set {
	c := n.config.Load()
	var dial func(ctx context.Context, address string) (net.Conn, error)
	if dialer, ok := n.adapter.(PeerDialer); ok {
		dial = dialer.DialPeer
	}
	return peers.New(n.ctx, peers.Config{
		Dial:  dial,
		Hello: &linkpb.Hello{Node: c.Name, Address: c.Listen.Peers, Place: c.Place}, Serve: n.Serve,
		LocalVersion: n.routing.Number, Memory: memory, Log: n.log,
		Routing: n.applyPeerRouting, VersionMissing: n.versionMissing, PollersChanged: n.signalPollersChanged,
		Proof:       n.freshness.addProof,
		Evacuations: exchange, StoreEra: n.peerReportedEra, Egress: n.egress,
		Leaving:    n.newLeaving(),
		QuotaReply: func(peer string, r *linkpb.QuotaReply) { n.quotas.borrower.HandleReply(peer, r) },
	})
}

// newFront returns the handler of the callers' requests.
func (n *Node) newFront(memory *membudget.Budget) *front.Handler {
	return front.New(front.Config{
		Names: n.adapter.Names(), Routing: n.routing, Peers: n.peers,
		Egress:  n.egress,
		Budget:  budget.New(n.config.Load().Limits, func() int { known, _ := n.peers.Linked(); return known + 1 }),
		Service: func() string { return n.config.Load().Service }, Parent: n.server.Parent,
		NestedEnded: n.server.NestedEnded,
		Freshness:   n.freshness, Quota: n.quotas.borrower,
		Memory: memory, Log: n.log, Counters: counters{n.metrics},
	})
}

const (
	// bodyShare is the divisor that determines which part of the process's memory the bodies of requests and answers may take.
	bodyShare = 4
	// defaultBodyBytes bounds them when the memory of the process is not configured.
	defaultBodyBytes = 64 << 20
)

// bodyBytes returns the number of bytes of bodies that a process with the given memory may hold.
func bodyBytes(memory int64) int64 {
	if memory <= 0 {
		return defaultBodyBytes
	}
	return memory / bodyShare
}

// Reload applies a changed configuration. Changed listen addresses take effect only after a restart.
func (n *Node) Reload(c Config) {
	old := n.config.Swap(&c)
	if *old != c {
		n.log.Info("configuration reloaded", "service", c.Service, "serverAddress", c.ServerAddress)
		n.freshness.start(n.ctx)
		n.reloadEvacuations()
	}
}

// knownService reports whether a service is configured. Before the first routing version, only the service of this host is.
func (n *Node) knownService(name string) bool {
	v := n.routing.Current()
	if v == nil {
		return name == n.config.Load().Service
	}
	_, known := v.Services[name]
	return known
}

// healthPath returns the path of the health check of a service, or "" before the first routing version.
func (n *Node) healthPath(service string) string {
	if v := n.routing.Current(); v != nil {
		return v.Services[service].HealthPath
	}
	return ""
}

// serverChanged reports a change of the backend server's state to the other nodes.
func (n *Node) serverChanged(status localserver.Status) {
	n.log.Info("server state", "server", status.ID, "service", status.Service, "state", status.State, "slots", status.Slots)
	if status.Announced && n.identity.announce(ServerIdentity{ID: status.ID, Service: status.Service}) {
		go n.storeIdentity()
	}
	n.broadcastState()
}

// serverStated logs what the backend server says about itself in its answers.
func (n *Node) serverStated(s localserver.Statement, source string) {
	status := n.server.Status()
	n.log.Info("server statement", "server", status.ID, "service", status.Service, "limited", s.Limited, "perSecond", s.PerSecond,
		"unreadable", s.Unreadable, "leaving", s.Leaving, "source", source, "requests", n.server.Requests())
}

// broadcastState updates the state of this node in its own peer set and sends it to the other nodes.
func (n *Node) broadcastState() {
	n.setLocalState()
	n.links.Broadcast()
}

// setLocalState updates the state of this node in its own peer set. The lock keeps an older state from replacing a newer one.
func (n *Node) setLocalState() {
	n.localState.Lock()
	defer n.localState.Unlock()
	n.peers.SetLocal(n.State())
}

// State returns the state of this node as it is sent to other nodes.
func (n *Node) State() *linkpb.State {
	status := n.server.Status()
	c := n.config.Load()
	return &linkpb.State{
		Node: c.Name, Place: c.Place, Service: status.Service, ServerId: status.ID, Slots: uint32(max(status.Slots, 0)),
		Ready: status.Ready && !n.stoppedServing.Load(), ColdMs: uint32(status.WarmUpLeft.Milliseconds()), Load: n.server.Load(),
		Knee: uint32(n.server.Knee()), StartedMs: uint64(max(status.StartedAtMs, 0)),
		Leaving: status.Leaving(), StoreFailing: n.storeFailing.Load(), StoreEra: n.eras.get(),
		LinkKbps: uint32(max(c.LinkBitsPerSecond/1000, 0)), CpuMillis: uint32(n.cpuMillis()),
	}
}

// Serve runs a call at the backend server, unless an outdated version decided about it, and passes the frame that ends it to reply.
func (n *Node) Serve(ctx context.Context, call *linkpb.Call, reply func(*linkpb.Frame)) {
	n.activeCalls.Add(1)
	defer n.activeCalls.Add(-1)
	if refusal := n.refuseOutdated(call); refusal != nil {
		reply(refusal)
		return
	}
	n.server.Serve(ctx, call, reply)
}

// Leaving records that the backend server has said to another node that it leaves.
func (n *Node) Leaving(l *linkpb.Leaving) {
	_ = n.server.Leave(localserver.Leave{ID: l.ServerId, StartedAtMs: int64(l.StartedMs)}) // fails only without an ID
}

// Hello adds another node that introduced itself to the peers.
func (n *Node) Hello(h *linkpb.Hello) { n.peers.Add(h.Address) }

// Routing returns the document of the current routing version, or nil.
func (n *Node) Routing() []byte {
	if v := n.routing.Current(); v != nil {
		return v.Document
	}
	return nil
}

// LocalVersion returns the number of the current routing version, or 0.
func (n *Node) LocalVersion() uint64 { return n.routing.Number() }

// ProofAge returns the age of the proof that a routing version is the newest one, as it is passed on to other nodes.
func (n *Node) ProofAge(version uint64) uint32 { return n.freshness.proofAge(version) }

// ObserveVersion handles the routing version number of a node that opened a link.
func (n *Node) ObserveVersion(address string, number uint64) { n.peers.ObserveVersion(address, number) }

// ready serves the readiness check: it fails before the first routing version and while the node stops.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.routing.Current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
