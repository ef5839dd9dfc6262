package distribution

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/internal/wait"
)

const (
	// bootstrapPeers is the number of peers that a new node queries while the table is available.
	bootstrapPeers = 5
	// joinPeers is the number of peers that a new node queries while the table is down. In a fleet of up to 17 nodes these
	// are all of them. In a larger one, a version held by a fraction p of the nodes is missed with a probability of
	// (1-p)^16, which is 0.3 % at p = 30 %. A version reaches all nodes within a second.
	joinPeers = 16
	// minJoinAnswers is the minimum number of peers that must report a version while the table is down. A single peer may be
	// partitioned and lag behind, and the host that this node replaces may have served a higher version.
	minJoinAnswers = 2
	// bootstrapRetryPeriod is the interval between attempts.
	bootstrapRetryPeriod = 500 * time.Millisecond
	// peerOnlyAttempts is the number of attempts after which a node that is not a reader loads the tree from the store. If
	// all nodes of a fleet started at once and each loaded some hundred rows, the store would need most of an hour.
	peerOnlyAttempts = 20
	// joinMajorityDelay is the time after which answers from a majority of the peers suffice while the table is down. It is
	// longer than the 7 s after which a stopped peer is detected as dead and is no longer queried.
	joinMajorityDelay = 10 * time.Second
)

// bootstrapState is the state of a bootstrap across attempts.
type bootstrapState struct {
	started  time.Time
	attempts int
	// head is the head version in the table, or -1 until it has been read. It is read only once: any version from there on is
	// recent enough, and repeated reads by many waiting nodes would overload the table.
	head int64
}

// bootstrap obtains a first version and reports whether it did before the context ended. Until then the node has no
// settings and refuses calls.
func (d *Distributor) bootstrap(ctx context.Context) bool {
	s := bootstrapState{started: time.Now(), head: -1}
	for d.Holder.Current() == nil && !d.bootstrapOnce(ctx, &s) {
		if wait.For(ctx, d.jitter(bootstrapRetryPeriod)) != nil {
			return false
		}
	}
	return true
}

// bootstrapOnce makes one attempt to reach the head version in the table or, while the table is down, the highest version of
// the queried peers. It fetches the tree from a peer if possible.
func (d *Distributor) bootstrapOnce(ctx context.Context, s *bootstrapState) bool {
	s.attempts++
	if s.head < 0 {
		if head, ok := d.readHead(ctx); ok {
			s.head = head
		}
	}
	count := bootstrapPeers
	if s.head < 0 {
		count = joinPeers
	}
	peers := d.Peers.Sample(count, Anywhere)
	answers := d.queryPeers(ctx, peers)
	best := peerVersion{version: -1}
	for _, a := range answers.sources {
		if a.version > best.version {
			best = a
		}
	}
	if s.head >= 0 && best.version >= s.head || s.head < 0 && answers.sufficient(len(peers), time.Since(s.started)) {
		if d.version() < best.version {
			d.fetch(ctx, best.peer)
		}
		if d.version() >= best.version {
			return true
		}
	}
	mayLoad := len(peers) == 0 || s.attempts > peerOnlyAttempts
	return s.head >= 0 && (mayLoad || d.IsReader()) && d.readStore(ctx)
}

// joinAnswers summarizes the answers of the peers to a joining node.
type joinAnswers struct {
	count int
	// sources are the peers among them that hold a version.
	sources []peerVersion
	// nodes is the largest number of other live nodes that a peer reports.
	nodes int
}

// sufficient reports whether a node can join on the answers of its peers alone. The host that it replaces may have had a
// version in force that only one other node holds, so all queried peers have to answer, and in a small fleet all peers have
// to be queried. The answer of a peer that is joining itself and holds no version counts too: nodes of a place that start
// together must not wait for one another.
func (a *joinAnswers) sufficient(queried int, waited time.Duration) bool {
	required := max(queried, min(a.nodes, joinPeers))
	if waited >= joinMajorityDelay {
		required = required/2 + 1
	}
	return a.count >= required && len(a.sources) >= minJoinAnswers
}

// queryPeers requests the versions of peers and the size of the fleet.
func (d *Distributor) queryPeers(ctx context.Context, peers []string) *joinAnswers {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var a joinAnswers
	var calls sync.WaitGroup
	for _, peer := range peers {
		calls.Go(func() {
			reply, err := d.Peers.Fetch(ctx, peer, &peerpb.FetchSettingsRequest{AfterVersion: math.MaxInt64, Joining: true})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			a.count++
			a.nodes = max(a.nodes, int(reply.LiveNodes))
			if reply.HeadVersion >= 0 {
				a.sources = append(a.sources, peerVersion{peer: peer, version: reply.HeadVersion})
			}
		})
	}
	calls.Wait()
	return &a
}
