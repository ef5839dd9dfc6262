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
)

// bootstrap finds a first version and reports whether it did before the context ended. Until then the node has no
// settings and refuses calls.
func (h *Handout) bootstrap(ctx context.Context) bool {
	for h.Holder.Current() == nil {
		if h.bootstrapOnce(ctx) {
			break
		}
		if !pause(ctx, h.jitter(bootstrapRetry)) {
			return false
		}
	}
	return true
}

// bootstrapOnce takes the head of the table or, while the table is down, the highest version of several peers. The tree
// itself comes from a peer if possible, since the store could not serve it to all nodes of a place that start at once.
func (h *Handout) bootstrapOnce(ctx context.Context) bool {
	head, headKnown := h.readHead(ctx)
	answers := h.ask(ctx, h.Peers.Sample(bootstrapPeers, Anywhere))
	best := source{version: -1}
	for _, a := range answers {
		if a.version > best.version {
			best = a
		}
	}
	switch {
	case headKnown && best.version >= head, !headKnown && len(answers) >= bootstrapAnswers && best.version >= 0:
		if h.fetch(ctx, best.peer); h.version() >= best.version {
			return true
		}
	}
	return headKnown && h.readStore(ctx)
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
