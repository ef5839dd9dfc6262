package handout

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
)

const (
	// bootstrapPeers is the number of peers that a fresh node asks.
	bootstrapPeers = 5
	// bootstrapAnswers is the number of peers that must answer while the table is down. One peer alone may be cut off and
	// behind, and the host that this node replaces may have served a higher version.
	bootstrapAnswers = 2
	// bootstrapRetry is the time between attempts.
	bootstrapRetry = 500 * time.Millisecond
	// bootstrapPatience is the number of attempts after which a node that is no reader loads the tree from the store. If
	// all nodes of a fleet start at once and each loads some hundred rows, the store needs most of an hour.
	bootstrapPatience = 20
)

// start is the state of a bootstrap.
type start struct {
	attempts int
	// head is the head of the table once it was read, or -1. It is read once: what a peer has at that version or above is
	// new enough, and the reads of many waiting nodes would keep the table busy.
	head int64
}

// bootstrap finds a first version and reports whether it did before the context ended. Until then the node has no
// settings and refuses calls.
func (h *Handout) bootstrap(ctx context.Context) bool {
	s := start{head: -1}
	for h.Holder.Current() == nil {
		if h.bootstrapOnce(ctx, &s) {
			break
		}
		if !pause(ctx, h.jitter(bootstrapRetry)) {
			return false
		}
	}
	return true
}

// bootstrapOnce takes the head of the table or, while the table is down, the highest version of several peers. The tree
// itself comes from a peer if possible.
func (h *Handout) bootstrapOnce(ctx context.Context, s *start) bool {
	s.attempts++
	if s.head < 0 {
		if head, ok := h.readHead(ctx); ok {
			s.head = head
		}
	}
	peers := h.Peers.Sample(bootstrapPeers, Anywhere)
	answers := h.ask(ctx, peers)
	best := source{version: -1}
	for _, a := range answers {
		if a.version > best.version {
			best = a
		}
	}
	enough := best.version >= s.head && best.version >= 0
	if enough && (s.head >= 0 || len(answers) >= bootstrapAnswers) {
		if h.fetch(ctx, best.peer); h.version() >= best.version {
			return true
		}
	}
	alone := len(peers) == 0 || s.attempts > bootstrapPatience
	return s.head >= 0 && (alone || h.IsReader()) && h.readStore(ctx)
}

// ask returns the versions of the peers that answer and have one.
func (h *Handout) ask(ctx context.Context, peers []string) []source {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []source
	var calls sync.WaitGroup
	for _, peer := range peers {
		calls.Go(func() {
			reply, err := h.Peers.Fetch(ctx, peer, &peerpb.FetchSettingsRequest{AfterVersion: math.MaxInt64})
			if err != nil || reply.HeadVersion < 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, source{peer: peer, version: reply.HeadVersion})
		})
	}
	calls.Wait()
	return answers
}
