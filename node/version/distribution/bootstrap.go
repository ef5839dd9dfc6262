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
	// bootstrapPeers is the number of peers that a fresh node asks.
	bootstrapPeers = 5
	// joinPeers is the number of peers that a fresh node asks while the table is down: all of them in a fleet of up to 17
	// nodes. In a larger one, a version that a share p of the nodes hold is missed with a probability of (1-p)^16, which
	// is 0.3 % at 30 %. A version reaches all nodes within a second.
	joinPeers = 16
	// bootstrapAnswers is the number of peers that must answer at least while the table is down. One peer alone may be cut
	// off and behind, and the host that this node replaces may have served a higher version.
	bootstrapAnswers = 2
	// bootstrapRetry is the time between attempts.
	bootstrapRetry = 500 * time.Millisecond
	// bootstrapPatience is the number of attempts after which a node that is no reader loads the tree from the store. If
	// all nodes of a fleet start at once and each loads some hundred rows, the store needs most of an hour.
	bootstrapPatience = 20
	// joinPatience is the time after which a majority of the peers is enough while the table is down. It is longer than the
	// 7 s in which a stopped peer is known to be dead and is no longer asked.
	joinPatience = 10 * time.Second
)

// start is the state of a bootstrap.
type start struct {
	began    time.Time
	attempts int
	// head is the head of the table once it was read, or -1. It is read once: what a peer has at that version or above is
	// new enough, and the reads of many waiting nodes would keep the table busy.
	head int64
}

// bootstrap finds a first version and reports whether it did before the context ended. Until then the node has no
// settings and refuses calls.
func (h *Distributor) bootstrap(ctx context.Context) bool {
	s := start{began: time.Now(), head: -1}
	for h.Holder.Current() == nil && !h.bootstrapOnce(ctx, &s) {
		if wait.For(ctx, h.jitter(bootstrapRetry)) != nil {
			return false
		}
	}
	return true
}

// bootstrapOnce takes the head of the table or, while the table is down, the highest version of all peers that it asks. The
// tree itself comes from a peer if possible.
func (h *Distributor) bootstrapOnce(ctx context.Context, s *start) bool {
	s.attempts++
	if s.head < 0 {
		if head, ok := h.readHead(ctx); ok {
			s.head = head
		}
	}
	count := bootstrapPeers
	if s.head < 0 {
		count = joinPeers
	}
	peers := h.Peers.Sample(count, Anywhere)
	answers := h.ask(ctx, peers)
	best := source{version: -1}
	for _, a := range answers.sources {
		if a.version > best.version {
			best = a
		}
	}
	if s.head >= 0 && best.version >= s.head || s.head < 0 && answers.enough(len(peers), time.Since(s.began)) {
		if h.version() < best.version {
			h.fetch(ctx, best.peer)
		}
		if h.version() >= best.version {
			return true
		}
	}
	alone := len(peers) == 0 || s.attempts > bootstrapPatience
	return s.head >= 0 && (alone || h.IsReader()) && h.readStore(ctx)
}

// answers are what the peers of a joining node say.
type answers struct {
	count int
	// sources are the peers among them that hold a version.
	sources []source
	// nodes is the largest number of other live nodes that a peer knows.
	nodes int
}

// enough reports whether a node can join by the answers of its peers alone. The host that it replaces may have had a version
// in force that only one other node holds, so all that it asks have to answer, and it has to ask all of a small fleet. A peer
// that is joining itself and holds nothing has answered too: the nodes of a place that start together must not wait for one
// another.
func (a *answers) enough(asked int, waited time.Duration) bool {
	need := max(asked, min(a.nodes, joinPeers))
	if waited >= joinPatience {
		need = need/2 + 1
	}
	return a.count >= need && len(a.sources) >= bootstrapAnswers
}

// ask asks peers for their versions and for the size of the fleet.
func (h *Distributor) ask(ctx context.Context, peers []string) *answers {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var a answers
	var calls sync.WaitGroup
	for _, peer := range peers {
		calls.Go(func() {
			reply, err := h.Peers.Fetch(ctx, peer, &peerpb.FetchSettingsRequest{AfterVersion: math.MaxInt64, Joining: true})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			a.count++
			a.nodes = max(a.nodes, int(reply.LiveNodes))
			if reply.HeadVersion >= 0 {
				a.sources = append(a.sources, source{peer: peer, version: reply.HeadVersion})
			}
		})
	}
	calls.Wait()
	return &a
}
