package distribution

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/internal/wait"
)

// pushLoop announces the held version after it has risen. It does not wait for peers that hang.
func (h *Distributor) pushLoop(ctx context.Context) {
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-h.wakePush:
		case <-ctx.Done():
			return
		}
		version := h.version()
		for _, peer := range h.targets() {
			h.count(&h.counts.Announcements)
			sends.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, peerTimeout)
				defer cancel()
				_ = h.Peers.Announce(ctx, peer, version) // the check of that peer finds what is lost here
			})
		}
		if wait.For(ctx, announceGap) != nil {
			return
		}
	}
}

// targets returns the peers that the next announcement goes to, each of them once.
func (h *Distributor) targets() []string {
	peers := append(h.Peers.Successors(ringPeers), h.Peers.Sample(randomPeers, OwnPlace)...)
	slices.Sort(peers)
	return slices.Compact(peers)
}

// pullLoop fetches from peers that mentioned a higher version.
func (h *Distributor) pullLoop(ctx context.Context) {
	for {
		select {
		case <-h.wakePull:
		case <-ctx.Done():
			return
		}
		for {
			peer, ok := h.takeSource()
			if !ok || ctx.Err() != nil {
				break
			}
			h.fetch(ctx, peer)
		}
	}
}

// takeSource removes and returns the remembered peer with the highest version above the held one.
func (h *Distributor) takeSource() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	best := source{version: h.version()}
	kept := h.sources[:0]
	for _, s := range h.sources {
		if s.version > best.version {
			s, best = best, s
		}
		if s.peer != "" && s.version > h.version() {
			kept = append(kept, s)
		}
	}
	h.sources = kept
	return best.peer, best.peer != ""
}

// fetch pulls from a peer until this node has what the peer has or the peer sends nothing more.
func (h *Distributor) fetch(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for {
		before := h.version()
		head, err := h.fetchOnce(ctx, peer, maxFetchBytes)
		if now := h.version(); err != nil || now >= head || now == before {
			return
		}
	}
}

// fetchOnce pulls at most maxBytes from a peer and returns the version of the peer.
func (h *Distributor) fetchOnce(ctx context.Context, peer string, maxBytes int32) (int64, error) {
	h.count(&h.counts.Fetches)
	reply, err := h.Peers.Fetch(ctx, peer, &peerpb.FetchSettingsRequest{AfterVersion: h.version(), MaxBytes: maxBytes})
	if err == nil {
		err = h.adopt(peer, reply.Versions)
	}
	if err != nil {
		h.count(&h.counts.FailedFetches)
		return -1, err
	}
	return reply.HeadVersion, nil
}

// pollLoop polls the head while this node is a reader.
func (h *Distributor) pollLoop(ctx context.Context) {
	timer := time.NewTimer(h.jitter(pollPeriod))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if h.IsReader() {
				h.readStore(ctx)
			}
			timer.Reset(h.jitter(pollPeriod))
		case <-h.wakeRead:
			h.readStore(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// checkLoop asks a random peer for what this node lacks, and another one when that peer does not answer. Readers ask in
// all places, which brings versions into a place that has lost the store.
func (h *Distributor) checkLoop(ctx context.Context) {
	for wait.For(ctx, h.jitter(checkPeriod)) == nil {
		scope := OwnPlace
		if h.IsReader() {
			scope = Anywhere
		}
		for _, peer := range h.Peers.Sample(checkTries, scope) {
			if h.check(ctx, peer) {
				break
			}
		}
	}
}

// check reports whether the peer answered.
func (h *Distributor) check(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	h.count(&h.counts.Checks)
	version, err := h.fetchOnce(ctx, peer, checkBytes)
	if err != nil {
		return false
	}
	h.RecordPeerVersion(peer, version)
	return true
}

// jitter shortens a period by a random part, so that nodes that start together do not stay in step.
func (h *Distributor) jitter(d time.Duration) time.Duration {
	return d - time.Duration(h.Random()*jitterShare*float64(d))
}

// readStore brings this node to the head of the table. It reports whether the head was read and reached.
func (h *Distributor) readStore(ctx context.Context) bool {
	head, ok := h.readHead(ctx)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if lag := head - h.version(); lag > 0 && lag <= maxStoreChanges && h.version() >= 0 {
		versions, err := h.Store.Versions(ctx, h.version(), maxStoreChanges)
		if err != nil {
			return false
		}
		messages := make([]*peerpb.SettingsVersion, len(versions))
		for i, v := range versions {
			messages[i] = messageOf(v)
		}
		if h.adopt(fromStore, messages) != nil {
			return false
		}
	}
	if head > h.version() {
		tree, err := h.Store.Load(ctx, head)
		if err != nil {
			return false
		}
		h.adoptTree(head, tree)
	}
	return true
}

func (h *Distributor) readHead(ctx context.Context) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h.count(&h.counts.HeadReads)
	head, err := h.Store.HeadVersion(ctx)
	return head, err == nil
}
