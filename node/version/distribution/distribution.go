// Package distribution distributes settings versions in the fleet: two readers per place poll the head in the table, a node
// that takes a version announces its number to a few peers, and a node that learns of a higher number pulls the changes
// from the peer that has them.
//
// A node first holds a version, which means that it hands it out, and puts it in force only after other nodes have said
// that they hold it too. While the table is down, a host that is replaced learns from them what it had in force.
package distribution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/version/commit"
	"github.com/radishstand/radishstand/node/version/current"
)

// ErrCorrupt means that a peer or the store sent a version that cannot be read.
var ErrCorrupt = eris.New("settings version cannot be read")

// Scope is the part of the fleet that Peers samples.
type Scope int

// Scopes.
const (
	// OwnPlace takes peers of the node's own place, and of others only while the own place has none.
	OwnPlace Scope = iota
	// Anywhere takes peers of all places.
	Anywhere
	// OtherPlaces takes peers of other places that can be reached.
	OtherPlaces
)

// Peers reaches the other nodes of the fleet. It is safe for concurrent use.
type Peers interface {
	// Successors returns the ids of at most n live nodes that follow this one on the ring of its place. Each node follows
	// another, so an announcement along the ring misses nobody.
	Successors(n int) []string
	// Sample returns the ids of at most n different live peers, chosen at random.
	Sample(n int, scope Scope) []string
	// CountLive returns the number of live nodes in places that can be reached, this one included and one peer left out.
	CountLive(except string) int
	// Announce tells a peer which version this node has.
	Announce(ctx context.Context, peer string, version int64) error
	// Fetch asks a peer for the versions that this node lacks, and fills in the sender of the request.
	Fetch(ctx context.Context, peer string, request *peerpb.FetchSettingsRequest) (*peerpb.FetchSettingsReply, error)
}

// Store reads accepted versions; *commit.Store implements it.
type Store interface {
	HeadVersion(ctx context.Context) (int64, error)
	Versions(ctx context.Context, after int64, limit int) ([]commit.Version, error)
	Load(ctx context.Context, version int64) (*settings.Tree, error)
}

// Limits of the traffic.
const (
	// ringPeers and randomPeers are the numbers of peers that a node announces a version to. The ring reaches everybody,
	// its second node also past a node that hangs, and the random peer makes it fast. In trials with 5 % of the
	// nodes hanging, 1 and 2 were slower than 2 and 1, and 2 and 2 were no faster.
	ringPeers   = 2
	randomPeers = 1
	// announceGap is the shortest time between announcements of a node; versions in between are announced as one.
	announceGap = 100 * time.Millisecond
	// pollPeriod is the time between reads of the head by a reader. Two readers in each of 8 places make 32 reads/s.
	pollPeriod = 500 * time.Millisecond
	// checkPeriod is the time between checks with a random peer, which find what an announcement missed.
	checkPeriod = time.Second
	// checkTries is the number of peers that a check asks until one answers. With a single one, a node whose predecessors
	// on the ring hang as well got a version up to 3.8 s late.
	checkTries = 4
	// checkBytes bounds the reply to a check; more is pulled like after an announcement.
	checkBytes = 16 << 10
	// jitterShare is the part of a period that is drawn at random.
	jitterShare = 0.2
	// maxLogBytes bounds the changes kept for peers. It holds the largest change, so that one change never needs a
	// snapshot.
	maxLogBytes = 2 * commit.MaxChangeBytes
	// maxFetchBytes bounds a reply; it holds the largest tree and stays under the 4 MiB of a gRPC message.
	maxFetchBytes = commit.MaxTreeBytes + 64<<10
	// maxStoreChanges is the largest lag that a reader closes with single changes; beyond it loads the tree.
	maxStoreChanges = 100
	// maxSources bounds the peers remembered as having a higher version.
	maxSources = 4
)

// Timeouts of single operations.
const (
	peerTimeout  = time.Second
	checkTimeout = 400 * time.Millisecond
	storeTimeout = 2 * time.Second
	// transferTimeout is for replies that may hold a whole tree.
	transferTimeout = 5 * time.Second
)

// Config of a Handout.
type Config struct {
	Holder *current.Holder
	Peers  Peers
	Store  Store
	// IsReader tells whether this node is now one of the readers of its place.
	IsReader func() bool
	// Random returns a number from 0 up to 1. It is safe for concurrent use.
	Random func() float64
}

// Distributor learns of new versions and passes them on. Its methods are safe for concurrent use.
type Distributor struct {
	Config

	mu      sync.Mutex
	log     log
	held    atomic.Pointer[held]    // written with mu held
	risen   chan struct{}           // closed when held rises
	encoded *peerpb.SettingsVersion // the tree of the held version, if a peer asked for it
	sources []source
	counts  Counts

	wakePush, wakePull, wakeRead, wakeSpread chan struct{}
	// asking are the requests to hold a version, some of which go on when the answers of others are enough.
	asking sync.WaitGroup
}

// held is a version that a node hands out, and the peer that it came from, or fromStore.
type held struct {
	next
	from string
}

// fromStore marks a version that this node read from the store or committed itself.
const fromStore = ""

// source is a peer that mentioned a version.
type source struct {
	peer    string
	version int64
}

// Counts of the operations of a node since its start.
type Counts struct {
	HeadReads, Announcements, Fetches, Checks, FailedFetches int64
	// HoldRequests is the number of requests to hold a version. Unspread is the number of versions put in force although
	// not as many other nodes as usual were known to hold them.
	HoldRequests, Unspread int64
}

// State is what a dump shows.
type State struct {
	// Version is the version in force and Held the highest one that is handed out; -1 while there is none.
	Version  int64
	Held     int64
	LogBase  int64
	LogBytes int
	Counts
}

// New returns a Handout that does nothing until Run.
func New(c Config) *Distributor {
	signal := func() chan struct{} { return make(chan struct{}, 1) }
	h := &Distributor{
		Config: c, risen: make(chan struct{}), wakePush: signal(), wakePull: signal(), wakeRead: signal(), wakeSpread: signal(),
	}
	h.held.Store(&held{next: nextOf(c.Holder.Current())})
	return h
}

// Run bootstraps the node and then keeps its version current until the context ends. The node pulls before it has
// bootstrapped: nodes that start together wait for one another to hold the first version.
func (h *Distributor) Run(ctx context.Context) {
	defer h.asking.Wait()
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { h.pullLoop(ctx) })
	if !h.bootstrap(ctx) {
		return
	}
	loops.Go(func() { h.spreadLoop(ctx) })
	loops.Go(func() { h.pushLoop(ctx) })
	loops.Go(func() { h.pollLoop(ctx) })
	loops.Go(func() { h.checkLoop(ctx) })
}

// State returns the state for a dump.
func (h *Distributor) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return State{Version: h.inForce(), Held: h.version(), LogBase: h.log.base, LogBytes: h.log.bytes, Counts: h.counts}
}

// version returns the version that this node holds, or -1.
func (h *Distributor) version() int64 { return h.held.Load().version }

// inForce returns the version in force, or -1.
func (h *Distributor) inForce() int64 { return nextOf(h.Holder.Current()).version }

// Accept takes a version that was just committed at this node.
func (h *Distributor) Accept(v commit.Version) {
	if err := h.adopt(fromStore, []*peerpb.SettingsVersion{messageOf(v)}); err != nil || h.version() < v.Version {
		wake(h.wakeRead) // versions in between are missing
	}
}

// RecordPeerVersion notes that a peer has a version; any message from a peer may tell it.
func (h *Distributor) RecordPeerVersion(peer string, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version() {
		return
	}
	for i := range h.sources {
		if h.sources[i].peer == peer {
			h.sources[i].version = max(h.sources[i].version, version)
			return
		}
	}
	if len(h.sources) == maxSources {
		h.sources = h.sources[1:]
	}
	h.sources = append(h.sources, source{peer: peer, version: version})
	wake(h.wakePull)
}

// Serve answers a peer with the changes above its version, or with the whole tree where the log does not reach back.
func (h *Distributor) Serve(request *peerpb.FetchSettingsRequest) *peerpb.FetchSettingsReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.held.Load()
	reply := &peerpb.FetchSettingsReply{HeadVersion: now.version}
	if inForce := h.inForce(); inForce != now.version {
		reply.InForceVersion = proto.Int64(inForce)
	}
	if request.Joining {
		reply.LiveNodes = int32(h.Peers.CountLive(request.From))
	}
	if request.AfterVersion >= now.version {
		return reply
	}
	maxBytes := min(int(request.MaxBytes), maxFetchBytes)
	changes, ok := h.log.after(request.AfterVersion, maxBytes)
	if ok {
		reply.Versions = changes
		return reply
	}
	if h.encoded == nil || h.encoded.Version != now.version {
		h.encoded = &peerpb.SettingsVersion{Version: now.version, Change: now.tree.Encode(), Snapshot: true}
	}
	if len(h.encoded.Change) <= maxBytes {
		reply.Versions = []*peerpb.SettingsVersion{h.encoded}
	}
	return reply
}

// adopt holds the last of a run of versions, where it is higher than the held one.
func (h *Distributor) adopt(from string, versions []*peerpb.SettingsVersion) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.held.Load().next
	var failed error
	for _, v := range versions {
		applied, err := n.apply(v)
		if err != nil {
			failed = eris.Wrapf(ErrCorrupt, "version %d: %v", v.Version, err)
			break
		}
		switch {
		case applied && v.Snapshot:
			h.log.restart(v.Version)
		case applied:
			h.log.add(v)
		}
	}
	h.hold(from, n)
	return failed
}

// adoptTree holds a tree from the store, where its version is higher than the held one.
func (h *Distributor) adoptTree(version int64, tree *settings.Tree) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version > h.version() {
		h.log.restart(version)
		h.hold(fromStore, next{version: version, tree: tree})
	}
}

// hold is called with h.mu held.
func (h *Distributor) hold(from string, n next) {
	if n.version <= h.version() {
		return
	}
	h.held.Store(&held{next: n, from: from})
	h.encoded = nil
	close(h.risen)
	h.risen = make(chan struct{})
	wake(h.wakePush)
	wake(h.wakeSpread)
}

// wake sets a signal that one goroutine waits for.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (h *Distributor) count(counter *int64) {
	h.mu.Lock()
	*counter++
	h.mu.Unlock()
}
