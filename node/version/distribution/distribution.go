// Package distribution distributes settings versions in the fleet. Two readers per place poll the head version in the table.
// A node that receives a version announces its number to a few peers, and a node that receives a higher number than its own
// fetches the changes from the peer that announced it.
//
// A node first holds a version, which means that it stores the version in memory and serves it to peers. It puts the version
// in force (uses it for calls) only after other nodes have confirmed that they hold it too. When a host is replaced while
// the table is down, the new node can therefore fetch the version that the old one had in force from these nodes.
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

// Scope selects the nodes from which Peers.Sample chooses.
type Scope int

const (
	// OwnPlace selects peers in the node's own place, or in any place while the own place has no other node.
	OwnPlace Scope = iota
	// Anywhere selects peers in all places.
	Anywhere
	// OtherPlaces selects peers in other places that are reachable.
	OtherPlaces
)

// Peers sends requests to the other nodes of the fleet. It is safe for concurrent use.
type Peers interface {
	// Successors returns the ids of at most n live nodes that follow this one on the ring of its place. Each node is the
	// successor of another one, so an announcement along the ring reaches every node.
	Successors(n int) []string
	// Sample returns the ids of at most n distinct live peers, chosen at random.
	Sample(n int, scope Scope) []string
	// CountLive returns the number of live nodes in reachable places, including this node and excluding the given peer.
	CountLive(except string) int
	// Announce sends the number of the version that this node holds to a peer.
	Announce(ctx context.Context, peer string, version int64) error
	// Fetch requests the versions that this node lacks from a peer. It sets the sender of the request.
	Fetch(ctx context.Context, peer string, request *peerpb.FetchSettingsRequest) (*peerpb.FetchSettingsReply, error)
}

// Store reads accepted versions; *commit.Store implements it.
type Store interface {
	HeadVersion(ctx context.Context) (int64, error)
	Versions(ctx context.Context, after int64, limit int) ([]commit.Version, error)
	Load(ctx context.Context, version int64) (*settings.Tree, error)
}

// Limits on message traffic and memory.
const (
	// ringPeers and randomPeers are the numbers of peers to which a node announces a version. The ring reaches every node,
	// its second successor also bypasses a node that hangs, and the random peer shortens the propagation. With 5 % of the
	// nodes hanging, 1 and 2 are slower than 2 and 1, and 2 and 2 are no faster.
	ringPeers   = 2
	randomPeers = 1
	// announceGap is the minimum interval between announcements of a node. Versions that arrive within it are announced as one.
	announceGap = 100 * time.Millisecond
	// pollPeriod is the interval at which a reader reads the head version. Two readers in each of 8 places make 32 reads/s.
	pollPeriod = 500 * time.Millisecond
	// checkPeriod is the interval between checks (anti-entropy) with a random peer, which recover lost announcements.
	checkPeriod = time.Second
	// maxCheckPeers is the number of peers that a check tries until one answers. With a single peer, a node whose
	// predecessors on the ring hang as well received a version up to 3.8 s late.
	maxCheckPeers = 4
	// maxCheckBytes limits the reply to a check. Larger changes are fetched as after an announcement.
	maxCheckBytes = 16 << 10
	// jitterShare is the random fraction of an interval.
	jitterShare = 0.2
	// maxLogBytes limits the changes kept for peers. The largest change fits in it, so that a peer that lacks one change
	// never needs a snapshot.
	maxLogBytes = 2 * commit.MaxChangeBytes
	// maxFetchBytes limits a reply. The largest tree fits in it, and it is below the 4 MiB limit of a gRPC message.
	maxFetchBytes = commit.MaxTreeBytes + 64<<10
	// maxStoreChanges is the largest lag that a reader makes up with single changes. Beyond it the reader loads the tree.
	maxStoreChanges = 100
	// maxSources limits the number of peers recorded as holding a higher version.
	maxSources = 4
)

// Timeouts per operation.
const (
	peerTimeout  = time.Second
	checkTimeout = 400 * time.Millisecond
	storeTimeout = 2 * time.Second
	// transferTimeout applies to replies that may contain a whole tree.
	transferTimeout = 5 * time.Second
)

// Config configures a Distributor.
type Config struct {
	Holder *current.Holder
	Peers  Peers
	Store  Store
	// IsReader reports whether this node is currently one of the readers of its place.
	IsReader func() bool
	// Random returns a number in [0, 1). It must be safe for concurrent use.
	Random func() float64
}

// Distributor receives new versions, serves them to peers and puts them in force. Its methods are safe for concurrent use.
type Distributor struct {
	Config

	mu          sync.Mutex
	log         changeLog
	held        atomic.Pointer[heldVersion] // stored with mu held
	heldChanged chan struct{}               // closed and replaced when held changes
	encoded     *peerpb.SettingsVersion     // the encoded tree of the held version, cached once a peer needed it
	sources     []peerVersion
	counts      Counts

	wakeAnnounce, wakePull, wakeRead, wakeSpread chan struct{}
	// holdCalls tracks the requests to hold a version. Some continue after the answers of others have sufficed.
	holdCalls sync.WaitGroup
}

// heldVersion is the version that a node serves to peers, and the peer that sent it, or fromStore.
type heldVersion struct {
	treeVersion
	from string
}

// fromStore is the sender of a version that this node read from the store or committed itself.
const fromStore = ""

// peerVersion is a version that a peer reported holding.
type peerVersion struct {
	peer    string
	version int64
}

// Counts counts the operations of a node since its start.
type Counts struct {
	HeadReads, Announcements, Fetches, Checks, FailedFetches int64
	// HoldRequests is the number of requests to hold a version. Unspread is the number of versions put in force before the
	// required number of other nodes had confirmed that they hold them.
	HoldRequests, Unspread int64
}

// State is the part of a node's dump that describes its settings versions.
type State struct {
	// Version is the version in force and Held the version that the node serves to peers; -1 while there is none.
	Version  int64
	Held     int64
	LogBase  int64
	LogBytes int
	Counts
}

// New returns a Distributor whose loops start with Run.
func New(c Config) *Distributor {
	signal := func() chan struct{} { return make(chan struct{}, 1) }
	d := &Distributor{
		Config: c, heldChanged: make(chan struct{}),
		wakeAnnounce: signal(), wakePull: signal(), wakeRead: signal(), wakeSpread: signal(),
	}
	d.held.Store(&heldVersion{treeVersion: treeVersionOf(c.Holder.Current())})
	return d
}

// Run bootstraps the node and then keeps its version up to date until the context ends. The pull loop starts before the
// bootstrap: nodes that start at the same time wait for one another to hold the first version.
func (d *Distributor) Run(ctx context.Context) {
	defer d.holdCalls.Wait()
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { d.pullLoop(ctx) })
	if !d.bootstrap(ctx) {
		return
	}
	loops.Go(func() { d.spreadLoop(ctx) })
	loops.Go(func() { d.announceLoop(ctx) })
	loops.Go(func() { d.pollLoop(ctx) })
	loops.Go(func() { d.checkLoop(ctx) })
}

// State returns the current versions, the extent of the change log and the counts.
func (d *Distributor) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{Version: d.inForce(), Held: d.version(), LogBase: d.log.base, LogBytes: d.log.bytes, Counts: d.counts}
}

// version returns the held version, or -1.
func (d *Distributor) version() int64 { return d.held.Load().version }

// inForce returns the version in force, or -1.
func (d *Distributor) inForce() int64 { return treeVersionOf(d.Holder.Current()).version }

// Accept adopts a version that this node has just committed.
func (d *Distributor) Accept(v commit.Version) {
	if err := d.adopt(fromStore, []*peerpb.SettingsVersion{encodeVersion(v)}); err != nil || d.version() < v.Version {
		wake(d.wakeRead) // versions before this one are missing
	}
}

// RecordPeerVersion records the version that a peer holds, as reported in any of its messages, and wakes the pull loop if
// it is higher than the own one.
func (d *Distributor) RecordPeerVersion(peer string, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version <= d.version() {
		return
	}
	for i := range d.sources {
		if d.sources[i].peer == peer {
			d.sources[i].version = max(d.sources[i].version, version)
			return
		}
	}
	if len(d.sources) == maxSources {
		d.sources = d.sources[1:]
	}
	d.sources = append(d.sources, peerVersion{peer: peer, version: version})
	wake(d.wakePull)
}

// Serve returns the changes above the version of a peer, or the whole tree if the log does not reach back that far.
func (d *Distributor) Serve(request *peerpb.FetchSettingsRequest) *peerpb.FetchSettingsReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.held.Load()
	reply := &peerpb.FetchSettingsReply{HeadVersion: held.version}
	if inForce := d.inForce(); inForce != held.version {
		reply.InForceVersion = proto.Int64(inForce)
	}
	if request.Joining {
		reply.LiveNodes = int32(d.Peers.CountLive(request.From))
	}
	if request.AfterVersion >= held.version {
		return reply
	}
	maxBytes := min(int(request.MaxBytes), maxFetchBytes)
	changes, ok := d.log.after(request.AfterVersion, maxBytes)
	if ok {
		reply.Versions = changes
		return reply
	}
	if d.encoded == nil || d.encoded.Version != held.version {
		d.encoded = &peerpb.SettingsVersion{Version: held.version, Change: held.tree.Encode(), Snapshot: true}
	}
	if len(d.encoded.Change) <= maxBytes {
		reply.Versions = []*peerpb.SettingsVersion{d.encoded}
	}
	return reply
}

// adopt applies a sequence of versions to the held one and holds the result if it is higher.
func (d *Distributor) adopt(from string, versions []*peerpb.SettingsVersion) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.held.Load().treeVersion
	var failed error
	for _, v := range versions {
		applied, err := n.apply(v)
		if err != nil {
			failed = eris.Wrapf(ErrCorrupt, "version %d: %v", v.Version, err)
			break
		}
		switch {
		case applied && v.Snapshot:
			d.log.restart(v.Version)
		case applied:
			d.log.add(v)
		}
	}
	d.setHeld(from, n)
	return failed
}

// adoptTree holds a tree from the store if its version is higher than the held one.
func (d *Distributor) adoptTree(version int64, tree *settings.Tree) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version > d.version() {
		d.log.restart(version)
		d.setHeld(fromStore, treeVersion{version: version, tree: tree})
	}
}

// setHeld replaces the held version if n is higher. The caller must hold d.mu.
func (d *Distributor) setHeld(from string, n treeVersion) {
	if n.version <= d.version() {
		return
	}
	d.held.Store(&heldVersion{treeVersion: n, from: from})
	d.encoded = nil
	close(d.heldChanged)
	d.heldChanged = make(chan struct{})
	wake(d.wakeAnnounce)
	wake(d.wakeSpread)
}

// wake signals the one goroutine that waits on the channel. Signals that are not yet received merge into one.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (d *Distributor) increment(counter *int64) {
	d.mu.Lock()
	*counter++
	d.mu.Unlock()
}
