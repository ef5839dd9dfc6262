package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishstand/radishstand/node/connection/peer"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/process/ledger"
	"github.com/radishstand/radishstand/node/process/membership"
	"github.com/radishstand/radishstand/node/process/registry"
	"github.com/radishstand/radishstand/node/request/serve"
	"github.com/radishstand/radishstand/node/version/commit"
	"github.com/radishstand/radishstand/node/version/distribution"
	"github.com/radishstand/radishstand/node/version/inforce"
)

// refreshInterval is the minimum interval between two updates of the balancer and the ledger during a burst of membership
// changes.
const refreshInterval = 20 * time.Millisecond

// readersPerPlace is the number of nodes of a place that poll the head of the settings. With a second reader, the failure
// of one delays no change until the failure is detected.
const readersPerPlace = 2

// ledgerCloseTimeout limits the wait for outcomes and releases that are not recorded yet. Without it, nodes that stop
// together wait for each other's ranges until the drain timeout. Outcomes that are lost are reported as unknown.
const ledgerCloseTimeout = 3 * time.Second

// fleet holds the components that communicate with other nodes: membership, settings versions and the idempotency ledger.
type fleet struct {
	node         *Node
	guard        *platform.Guard
	members      *membership.Membership
	ledgerServer *ledger.Server
	ledgerClient *ledger.Client
	store        *commit.Store
	editor       *commit.Editor
	distributor  *distribution.Distributor
	counter      *inforce.Counter

	// holderCache caches the holder of each ledger range for one generation of the membership.
	holderCache  atomic.Pointer[rangeHolders]
	witnessCache atomic.Pointer[rangeWitnesses]
	changed      chan struct{}
	roundTrips   *roundTrips
	started      time.Time
	mu           sync.Mutex
	// dirty holds the services whose servers the balancer has to receive again, or allServices.
	dirty map[string]bool
	// firstSeen maps the ids of servers that are new to the fleet to the times at which they appeared.
	firstSeen map[string]time.Time

	// tracked maps the name of each service whose servers the balancer keeps records of to a *sync.Once.
	tracked sync.Map
}

// rangeHolders lists the member that holds each ledger range.
type rangeHolders struct {
	generation uint64
	member     [ledger.RangeCount]string
}

func newFleet(n *Node, store Store) *fleet {
	f := &fleet{
		node: n, changed: make(chan struct{}, 1), dirty: map[string]bool{}, firstSeen: map[string]time.Time{},
		started: time.Now(), roundTrips: newRoundTrips(n.config.Place, time.Now),
	}
	f.guard = platform.NewGuard(store.Table, store.Objects, platform.Options{
		Limits: platform.DefaultLimits(), Nodes: f.liveNodes, Share: f.storeShare, Metrics: n.metrics,
	})
	f.members = membership.New(membership.Config{
		Address: n.config.Advertise, Place: n.config.Place, Peers: n.config.Peers, Table: f.guard, Log: n.log,
		OnPeerVersion: func(address string, version int64) { f.distributor.RecordPeerVersion(address, version) },
	}, transport{pool: n.pool, onRoundTrip: f.recordRoundTrip}, membership.SystemClock{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	f.ledgerServer = ledger.NewServer(ledger.Config{
		Table: f.guard, Locate: f.locate, Self: n.id, Peers: ledgerPeers{n.pool}, Witnesses: f.witnesses,
		Retention:      func() time.Duration { return time.Duration(n.core.values("").Ledger.RetentionS) * time.Second },
		MaxAnswerBytes: func() int { return n.core.values("").Ledger.MaxAnswerBytes },
		Log:            func(message string, keyvals ...any) { n.log.Info(message, append(keyvals, "component", "ledger")...) },
		Metrics:        n.metrics,
	})
	f.ledgerClient = ledger.NewClient(ledger.ClientConfig{
		Local: f.ledgerServer, Peers: ledgerPeers{n.pool}, Locate: f.locate, Metrics: n.metrics,
	})
	f.store = commit.NewStore(f.guard, f.guard)
	f.editor = commit.NewEditor(f.store, time.Now)
	return f
}

// assemble creates the components that depend on the request path.
func (f *fleet) assemble(k *core) {
	peers := &settingsPeers{fleet: f}
	f.distributor = distribution.New(distribution.Config{
		Holder: k.settings, Store: f.store, Peers: peers, IsReader: f.isReader, Random: rand.Float64,
	})
	f.counter = &inforce.Counter{
		ID: f.node.id, Place: f.node.config.Place, Peers: peers, AwaitInForce: f.distributor.AwaitInForce,
	}
	f.members.Subscribe(f.memberChanged)
}

// service returns the handlers of the messages between nodes.
func (f *fleet) service(local *serve.Handler) *peer.Service {
	return &peer.Service{
		Local: local, Membership: f.members, Settings: settingsServer{f.distributor, f.counter}, Ledger: f.ledgerServer,
	}
}

func (f *fleet) start(ctx context.Context, loops *sync.WaitGroup) {
	loops.Go(func() { f.runMembership(ctx) })
	loops.Go(func() { f.distributor.Run(ctx) })
	loops.Go(func() { f.refresh(ctx) })
}

// runMembership runs the membership protocol. It stops the node when another process has taken over its address, since
// two processes with the same identity would answer for each other.
func (f *fleet) runMembership(ctx context.Context) {
	if err := f.members.Run(ctx); errors.Is(err, membership.ErrSuperseded) {
		f.node.fatal <- err
	}
}

// leave waits for the outcomes and releases that the ledger still has to record and announces to the fleet that the node
// has left.
func (f *fleet) leave(ctx context.Context) {
	closing, cancel := context.WithTimeout(ctx, ledgerCloseTimeout)
	defer cancel()
	f.ledgerClient.Close(closing)
	f.editor.Close()
	f.ledgerServer.Close()
	if err := f.members.Leave(ctx); err != nil {
		f.node.log.Warn("recording the departure in the table failed", "component", "membership", "error", err)
	}
}

// liveNodes returns the number of live nodes, at least 1. The guard calls it from its construction on, before the
// membership exists.
func (f *fleet) liveNodes() int {
	if f.members == nil {
		return 1
	}
	live := 0
	for m := range f.members.Members() {
		if m.State.Live() {
			live++
		}
	}
	return max(1, live)
}

// Shares of the store's budget that are reserved for roles; the remainder is divided equally among all nodes. With an equal
// division of the whole budget, a ledger holder among 13,000 nodes had one write in 32 s.
const (
	holderWriteShare = 0.8
	holderReadShare  = 0.2
	readerReadShare  = 0.2
)

// storeShare returns this node's shares of the fleet's budget of store reads and writes.
func (f *fleet) storeShare(nodes int) (reads, writes float64) {
	equal := 1 / float64(nodes)
	if f.members == nil {
		return equal, equal
	}
	held := 0
	for i := range ledger.RangeCount {
		if _, self, _ := f.locate(i); self {
			held++
		}
	}
	holder := float64(held) / ledger.RangeCount
	reads = (1-holderReadShare-readerReadShare)*equal + holderReadShare*holder
	if f.isReader() {
		reads += readerReadShare / float64(readersPerPlace*max(1, f.placeCount()))
	}
	return reads, (1-holderWriteShare)*equal + holderWriteShare*holder
}

// placeCount returns the number of places with live members.
func (f *fleet) placeCount() int {
	places := map[string]bool{}
	for m := range f.members.Members() {
		if m.State.Live() {
			places[m.Place] = true
		}
	}
	return len(places)
}

// isReader reports whether this node polls the head of the settings for its place.
func (f *fleet) isReader() bool {
	inOwnPlace := func(place string) bool { return place == f.node.config.Place }
	for _, m := range f.members.RendezvousN("settings-head", readersPerPlace, inOwnPlace) {
		if m.Address == f.node.id {
			return true
		}
	}
	return false
}

// locate implements ledger.Locate.
func (f *fleet) locate(index int) (member string, self, ok bool) {
	if f.joining() {
		return "", false, false
	}
	generation := f.members.Generation()
	cached := f.holderCache.Load()
	if cached == nil || cached.generation != generation {
		cached = f.computeHolders(generation)
		f.holderCache.Store(cached)
	}
	member = cached.member[index]
	return member, member == f.node.id, member != ""
}

// firstPeerTimeout is how long a starting node waits for its first peer before it acts as the only node of the fleet and
// holds all ranges. Without it, each joining node would briefly take all ranges from their holders.
const firstPeerTimeout = 2 * time.Second

// joining reports whether this node is within firstPeerTimeout of its start and has configured peers but no live ones yet.
func (f *fleet) joining() bool {
	if len(f.node.config.Peers) == 0 || time.Since(f.started) > firstPeerTimeout {
		return false
	}
	for m := range f.members.Members() {
		if m.State.Live() && m.Address != f.node.id {
			return false
		}
	}
	return true
}

func (f *fleet) computeHolders(generation uint64) *rangeHolders {
	h := &rangeHolders{generation: generation}
	for i := range h.member {
		if m, ok := f.members.Rendezvous(rangeKey(i), nil); ok {
			h.member[i] = m.Address
		}
	}
	return h
}

// maxWitnesses is the maximum number of witnesses of a range. It covers all members of today's fleets. When a partition
// halves a large fleet, the holder and all its witnesses are on the same side with a probability of 2^-16.
const maxWitnesses = 16

// witnessRefreshInterval is the minimum interval between two computations of the witnesses: ranking 13,000 members for 16
// ranges takes 3.6 ms, and the membership of a large fleet changes continuously.
const witnessRefreshInterval = time.Second

// rangeWitnesses lists, for each ledger range, the members that may take it over.
type rangeWitnesses struct {
	generation uint64
	computedAt time.Time
	members    [ledger.RangeCount][]string
}

// witnesses implements ledger.Config.Witnesses. Dead members are included, since they may be alive on the other side of a
// partition.
func (f *fleet) witnesses(index int) []string {
	generation := f.members.Generation()
	cached := f.witnessCache.Load()
	if cached == nil || cached.generation != generation && time.Since(cached.computedAt) > witnessRefreshInterval {
		cached = f.computeWitnesses(generation)
		f.witnessCache.Store(cached)
	}
	return cached.members[index]
}

func (f *fleet) computeWitnesses(generation uint64) *rangeWitnesses {
	w := &rangeWitnesses{generation: generation, computedAt: time.Now()}
	ranked := f.members.RankedMembers()
	for i := range w.members {
		for _, m := range ranked(rangeKey(i), maxWitnesses) {
			w.members[i] = append(w.members[i], m.Address)
		}
	}
	return w
}

// rangeKey returns the rendezvous key of a range.
func rangeKey(index int) string { return fmt.Sprintf("ledger-%d", index) }

// serverChanged publishes the state of the local backend server; nil if there is none.
func (f *fleet) serverChanged(s *registry.Server) {
	if s == nil {
		f.members.SetSelf(membership.Server{}, false)
		return
	}
	f.track(s.Announced.Service)
	draining := s.State() == registry.StateDraining
	f.members.SetSelf(membership.Server{ID: s.ID, Service: s.Announced.Service, Slots: s.Announced.Slots}, draining)
}

// acceptedInForceTimeout is how long the answer to an operator waits until the accepted version is in force at this node,
// so that an operator who then reads from the same node sees the change.
const acceptedInForceTimeout = time.Second

// distributeAccepted starts the distribution of a version that this node committed and waits until it is in force here.
func (f *fleet) distributeAccepted(r commit.Result) {
	if r.Accepted != nil {
		f.distributor.Accept(*r.Accepted)
		ctx, cancel := context.WithTimeout(context.Background(), acceptedInForceTimeout)
		defer cancel()
		f.distributor.AwaitInForce(ctx, r.Version)
	}
}
