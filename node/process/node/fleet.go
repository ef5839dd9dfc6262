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

// refreshEvery bounds how often a burst of membership changes is handed to the chooser and the ledger.
const refreshEvery = 20 * time.Millisecond

// readersPerPlace is the number of nodes of a place that poll the head of the settings: a second one, so that the loss of
// one delays no change until the loss is noticed.
const readersPerPlace = 2

// ledgerCloseTimeout bounds the wait for outcomes and releases that are not recorded yet. Without the bound, nodes that
// stop together wait for each other's ranges until the end of the drain time. What is lost reads as unknown.
const ledgerCloseTimeout = 3 * time.Second

// fleet is what the node shares with others: membership, settings versions and the idempotency ledger.
type fleet struct {
	node        *Node
	guard       *platform.Guard
	members     *membership.Membership
	holder      *ledger.Server
	ledger      *ledger.Client
	store       *commit.Store
	editor      *commit.Editor
	distributor *distribution.Distributor
	counter     *inforce.Counter

	// holders caches the holder of each ledger range for one generation of the membership.
	holders   atomic.Pointer[holders]
	witnessed atomic.Pointer[witnesses]
	changed   chan struct{}
	distances *distances
	started   time.Time
	mu        sync.Mutex
	dirty     map[string]bool
	// firstSeen is when servers appeared that are new to the fleet, by server id.
	firstSeen map[string]time.Time

	// tracked holds a *sync.Once for each service whose servers the chooser keeps records of, by name.
	tracked sync.Map
}

// holders are the members that hold the ledger's ranges.
type holders struct {
	generation uint64
	member     [ledger.RangeCount]string
}

func newFleet(n *Node, store Store) *fleet {
	f := &fleet{
		node: n, changed: make(chan struct{}, 1), dirty: map[string]bool{}, firstSeen: map[string]time.Time{}, started: time.Now(),
		distances: newDistances(n.config.Place, time.Now),
	}
	f.guard = platform.NewGuard(store.Table, store.Objects, platform.Options{
		Limits: platform.DefaultLimits(), Nodes: f.liveNodes, Share: f.storeShare, Metrics: n.metrics,
	})
	f.members = membership.New(membership.Config{
		Address: n.config.Advertise, Place: n.config.Place, Peers: n.config.Peers, Table: f.guard, Log: n.log,
		OnPeerVersion: func(address string, version int64) { f.distributor.RecordPeerVersion(address, version) },
	}, transport{pool: n.pool, answered: f.answered}, membership.SystemClock{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	f.holder = ledger.NewServer(ledger.Config{
		Table: f.guard, Locate: f.locate, Self: n.id, Peers: ledgerPeers{n.pool}, Witnesses: f.witnesses,
		Retention:      func() time.Duration { return time.Duration(n.core.values("").Ledger.RetentionS) * time.Second },
		MaxAnswerBytes: func() int { return n.core.values("").Ledger.MaxAnswerBytes },
		Log:            func(message string, keyvals ...any) { n.log.Info(message, append(keyvals, "component", "ledger")...) },
		Metrics:        n.metrics,
	})
	f.ledger = ledger.NewClient(ledger.ClientConfig{Local: f.holder, Peers: ledgerPeers{n.pool}, Locate: f.locate, Metrics: n.metrics})
	f.store = commit.NewStore(f.guard, f.guard)
	f.editor = commit.NewEditor(f.store, time.Now)
	return f
}

// assemble joins the fleet with the request path.
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

// service joins the handlers of the messages between nodes.
func (f *fleet) service(local *serve.Handler) *peer.Service {
	return &peer.Service{Local: local, Membership: f.members, Settings: settingsServer{f.distributor, f.counter}, Ledger: f.holder}
}

func (f *fleet) start(ctx context.Context, loops *sync.WaitGroup) {
	loops.Go(func() { f.runMembership(ctx) })
	loops.Go(func() { f.distributor.Run(ctx) })
	loops.Go(func() { f.refresh(ctx) })
}

// runMembership ends the process when another one has taken over its address: two processes with one identity would
// answer for each other.
func (f *fleet) runMembership(ctx context.Context) {
	if err := f.members.Run(ctx); errors.Is(err, membership.ErrSuperseded) {
		f.node.failed <- err
	}
}

// leave announces to the fleet that the node has left and waits for what the ledger still has to record.
func (f *fleet) leave(ctx context.Context) {
	closing, cancel := context.WithTimeout(ctx, ledgerCloseTimeout)
	defer cancel()
	f.ledger.Close(closing)
	f.editor.Close()
	f.holder.Close()
	if err := f.members.Leave(ctx); err != nil {
		f.node.log.Warn("leaving is not recorded in the table", "component", "membership", "error", err)
	}
}

// liveNodes is asked by the guard from its construction on, when there is no membership yet.
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

// Parts of the store's budget that belong to roles; the remainder is divided equally among all nodes. An equal division
// of everything left a ledger holder among 13,000 nodes one write in 32 s.
const (
	holderWrites = 0.8
	holderReads  = 0.2
	readerReads  = 0.2
)

// storeShare returns this node's shares of the fleet's reads and writes.
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
	reads = (1-holderReads-readerReads)*equal + holderReads*holder
	if f.isReader() {
		reads += readerReads / float64(readersPerPlace*max(1, f.placeCount()))
	}
	return reads, (1-holderWrites)*equal + holderWrites*holder
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
	here := func(place string) bool { return place == f.node.config.Place }
	for _, m := range f.members.RendezvousN("settings-head", readersPerPlace, here) {
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
	cached := f.holders.Load()
	if cached == nil || cached.generation != generation {
		cached = f.findHolders(generation)
		f.holders.Store(cached)
	}
	member = cached.member[index]
	return member, member == f.node.id, member != ""
}

// lonelyTime is how long a node that has started waits for its first peer before it holds the ranges of a fleet of one.
// Without it, each node that joins takes all ranges from their holders for a moment.
const lonelyTime = 2 * time.Second

// joining reports whether this node has started only now and does not know any of its peers yet.
func (f *fleet) joining() bool {
	if len(f.node.config.Peers) == 0 || time.Since(f.started) > lonelyTime {
		return false
	}
	for m := range f.members.Members() {
		if m.State.Live() && m.Address != f.node.id {
			return false
		}
	}
	return true
}

func (f *fleet) findHolders(generation uint64) *holders {
	h := &holders{generation: generation}
	for i := range h.member {
		if m, ok := f.members.Rendezvous(rangeName(i), nil); ok {
			h.member[i] = m.Address
		}
	}
	return h
}

// maxWitnesses is the number of witnesses of a range. It takes in all of today's fleets. Of a large fleet, the holder and
// all its witnesses are on one side of a cut that halves the fleet in 2^-16 of the cases.
const maxWitnesses = 16

// witnessesEvery bounds how often the witnesses are found anew: ranking 13,000 members for 16 ranges takes 3.6 ms, and
// the membership of a large fleet changes all the time.
const witnessesEvery = time.Second

// witnesses are the members that may take the ledger's ranges over.
type witnesses struct {
	generation uint64
	found      time.Time
	members    [ledger.RangeCount][]string
}

// witnesses implements ledger.Config. Dead members are witnesses too, since they may be alive behind a cut.
func (f *fleet) witnesses(index int) []string {
	generation := f.members.Generation()
	cached := f.witnessed.Load()
	if cached == nil || cached.generation != generation && time.Since(cached.found) > witnessesEvery {
		cached = f.findWitnesses(generation)
		f.witnessed.Store(cached)
	}
	return cached.members[index]
}

func (f *fleet) findWitnesses(generation uint64) *witnesses {
	w := &witnesses{generation: generation, found: time.Now()}
	ranked := f.members.RankedMembers()
	for i := range w.members {
		for _, m := range ranked(rangeName(i), maxWitnesses) {
			w.members[i] = append(w.members[i], m.Address)
		}
	}
	return w
}

// rangeName is the rendezvous key of a range.
func rangeName(index int) string { return fmt.Sprintf("ledger-%d", index) }

// serverChanged publishes the local server.
func (f *fleet) serverChanged(s *registry.Server) {
	if s == nil {
		f.members.SetSelf(membership.Server{}, false)
		return
	}
	f.track(s.Announced.Service)
	draining := s.State() == registry.StateDraining
	f.members.SetSelf(membership.Server{ID: s.ID, Service: s.Announced.Service, Slots: s.Announced.Slots}, draining)
}

// acceptedWait is how long an operator's answer waits for the accepted version to be in force at this node, so that the
// operator sees the change when reading from the same node.
const acceptedWait = time.Second

// accepted hands out a version that this node committed.
func (f *fleet) accepted(r commit.Result) {
	if r.Accepted != nil {
		f.distributor.Accept(*r.Accepted)
		ctx, cancel := context.WithTimeout(context.Background(), acceptedWait)
		defer cancel()
		f.distributor.AwaitInForce(ctx, r.Version)
	}
}
