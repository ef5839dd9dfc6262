// Package handout distributes settings versions in the fleet: two readers per place poll the head in the table, a node
// that takes a version announces its number to a few peers, and a node that hears of a higher number pulls the changes
// from the peer that has them.
package handout

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

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
)

// Peers reaches the other nodes of the fleet. It is safe for concurrent use.
type Peers interface {
	// Next returns the ids of at most n live nodes that follow this one on the ring of its place. Each node follows
	// another, so an announcement along the ring misses nobody.
	Next(n int) []string
	// Sample returns the ids of at most n different live peers, chosen at random.
	Sample(n int, scope Scope) []string
	// Announce tells a peer which version this node has.
	Announce(ctx context.Context, peer string, version int64) error
	// Fetch asks a peer for the versions that this node lacks.
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

// Handout learns of new versions and passes them on. Its methods are safe for concurrent use.
type Handout struct {
	Config

	mu      sync.Mutex
	log     log
	encoded *peerpb.SettingsVersion // the tree of the version in force, if a peer asked for it
	sources []source
	counts  Counts

	wakePush, wakePull, wakeRead chan struct{}
}

// source is a peer that mentioned a version.
type source struct {
	peer    string
	version int64
}

// Counts of the operations of a node since its start.
type Counts struct {
	HeadReads, Announcements, Fetches, Checks, FailedFetches int64
}

// State is what a dump shows.
type State struct {
	// Version is -1 while no version is known.
	Version  int64
	LogBase  int64
	LogBytes int
	Counts
}

// New returns a Handout that does nothing until Run.
func New(c Config) *Handout {
	signal := func() chan struct{} { return make(chan struct{}, 1) }
	return &Handout{Config: c, wakePush: signal(), wakePull: signal(), wakeRead: signal()}
}

// Run bootstraps the node and then keeps its version current until the context ends.
func (h *Handout) Run(ctx context.Context) {
	if !h.bootstrap(ctx) {
		return
	}
	var loops sync.WaitGroup
	loops.Go(func() { h.pushLoop(ctx) })
	loops.Go(func() { h.pullLoop(ctx) })
	loops.Go(func() { h.pollLoop(ctx) })
	loops.Go(func() { h.checkLoop(ctx) })
	loops.Wait()
}

// State returns the state for a dump.
func (h *Handout) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return State{Version: h.version(), LogBase: h.log.base, LogBytes: h.log.bytes, Counts: h.counts}
}

// version returns the version in force, or -1.
func (h *Handout) version() int64 { return nextOf(h.Holder.Current()).version }

// Accept takes a version that was just committed at this node.
func (h *Handout) Accept(v commit.Version) {
	if err := h.adopt([]*peerpb.SettingsVersion{messageOf(v)}); err != nil || h.version() < v.Version {
		wake(h.wakeRead) // versions in between are missing
	}
}

// Mention notes that a peer has a version; any message from a peer may tell it.
func (h *Handout) Mention(peer string, version int64) {
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
func (h *Handout) Serve(request *peerpb.FetchSettingsRequest) *peerpb.FetchSettingsReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Holder.Current()
	if now == nil {
		return &peerpb.FetchSettingsReply{HeadVersion: -1}
	}
	reply := &peerpb.FetchSettingsReply{HeadVersion: now.Version}
	if request.AfterVersion >= now.Version {
		return reply
	}
	maxBytes := min(int(request.MaxBytes), maxFetchBytes)
	changes, ok := h.log.after(request.AfterVersion, maxBytes)
	if ok {
		reply.Versions = changes
		return reply
	}
	if h.encoded == nil || h.encoded.Version != now.Version {
		h.encoded = &peerpb.SettingsVersion{Version: now.Version, Change: now.Tree.Encode(), Snapshot: true}
	}
	if len(h.encoded.Change) <= maxBytes {
		reply.Versions = []*peerpb.SettingsVersion{h.encoded}
	}
	return reply
}

// adopt puts the last of a run of versions in force, where it is higher than the one in force.
func (h *Handout) adopt(versions []*peerpb.SettingsVersion) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := nextOf(h.Holder.Current())
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
	h.offer(n)
	return failed
}

// adoptTree puts a tree from the store in force, where its version is higher than the one in force.
func (h *Handout) adoptTree(version int64, tree *settings.Tree) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version > h.version() {
		h.log.restart(version)
		h.offer(next{version: version, tree: tree})
	}
}

// offer is called with h.mu held.
func (h *Handout) offer(n next) {
	if n.tree != nil && h.Holder.Offer(n.version, n.tree) {
		h.encoded = nil
		wake(h.wakePush)
	}
}

// wake sets a signal that one goroutine waits for.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// pause waits and reports whether the context is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Handout) count(counter *int64) {
	h.mu.Lock()
	*counter++
	h.mu.Unlock()
}
