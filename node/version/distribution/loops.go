package distribution

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/internal/wait"
)

// announceLoop announces the held version after each change. It does not wait for peers that hang.
func (d *Distributor) announceLoop(ctx context.Context) {
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-d.wakeAnnounce:
		case <-ctx.Done():
			return
		}
		version := d.version()
		for _, peer := range d.announceTargets() {
			d.increment(&d.counts.Announcements)
			sends.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, peerTimeout)
				defer cancel()
				_ = d.Peers.Announce(ctx, peer, version) // the peer's next check recovers a lost announcement
			})
		}
		if wait.For(ctx, announceGap) != nil {
			return
		}
	}
}

// announceTargets returns the distinct peers for the next announcement.
func (d *Distributor) announceTargets() []string {
	peers := append(d.Peers.Successors(ringPeers), d.Peers.Sample(randomPeers, OwnPlace)...)
	slices.Sort(peers)
	return slices.Compact(peers)
}

// pullLoop fetches from peers that reported a higher version.
func (d *Distributor) pullLoop(ctx context.Context) {
	for {
		select {
		case <-d.wakePull:
		case <-ctx.Done():
			return
		}
		for {
			peer, ok := d.takeBestSource()
			if !ok || ctx.Err() != nil {
				break
			}
			d.fetch(ctx, peer)
		}
	}
}

// takeBestSource removes and returns the recorded peer with the highest version above the held one. It also discards the
// peers whose versions are not higher than the held one.
func (d *Distributor) takeBestSource() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best := peerVersion{version: d.version()}
	kept := d.sources[:0]
	for _, s := range d.sources {
		if s.version > best.version {
			s, best = best, s
		}
		if s.peer != "" && s.version > d.version() {
			kept = append(kept, s)
		}
	}
	d.sources = kept
	return best.peer, best.peer != ""
}

// fetch fetches from a peer until this node has reached the peer's version or a reply brings no progress.
func (d *Distributor) fetch(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for {
		before := d.version()
		head, err := d.fetchOnce(ctx, peer, maxFetchBytes)
		if after := d.version(); err != nil || after >= head || after == before {
			return
		}
	}
}

// fetchOnce fetches at most maxBytes from a peer, adopts them and returns the peer's version.
func (d *Distributor) fetchOnce(ctx context.Context, peer string, maxBytes int32) (int64, error) {
	d.increment(&d.counts.Fetches)
	reply, err := d.Peers.Fetch(ctx, peer, &peerpb.FetchSettingsRequest{AfterVersion: d.version(), MaxBytes: maxBytes})
	if err == nil {
		err = d.adopt(peer, reply.Versions)
	}
	if err != nil {
		d.increment(&d.counts.FailedFetches)
		return -1, err
	}
	return reply.HeadVersion, nil
}

// pollLoop reads the store periodically while this node is a reader, and on request (wakeRead) at any node.
func (d *Distributor) pollLoop(ctx context.Context) {
	timer := time.NewTimer(d.jitter(pollPeriod))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if d.IsReader() {
				d.readStore(ctx)
			}
			timer.Reset(d.jitter(pollPeriod))
		case <-d.wakeRead:
			d.readStore(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// checkLoop periodically requests missing versions from a random peer, and from another one when that peer does not answer.
// Readers choose peers in all places, which brings versions into a place that cannot reach the store.
func (d *Distributor) checkLoop(ctx context.Context) {
	for wait.For(ctx, d.jitter(checkPeriod)) == nil {
		scope := OwnPlace
		if d.IsReader() {
			scope = Anywhere
		}
		for _, peer := range d.Peers.Sample(maxCheckPeers, scope) {
			if d.check(ctx, peer) {
				break
			}
		}
	}
}

// check fetches missing versions from a peer and reports whether it answered.
func (d *Distributor) check(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	d.increment(&d.counts.Checks)
	version, err := d.fetchOnce(ctx, peer, maxCheckBytes)
	if err != nil {
		return false
	}
	d.RecordPeerVersion(peer, version)
	return true
}

// jitter shortens a period by a random part, so that nodes that start together do not stay synchronized.
func (d *Distributor) jitter(period time.Duration) time.Duration {
	return period - time.Duration(d.Random()*jitterShare*float64(period))
}

// readStore adopts the versions up to the head version in the table. It reports whether the head was read and reached.
func (d *Distributor) readStore(ctx context.Context) bool {
	head, ok := d.readHead(ctx)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if lag := head - d.version(); lag > 0 && lag <= maxStoreChanges && d.version() >= 0 {
		versions, err := d.Store.Versions(ctx, d.version(), maxStoreChanges)
		if err != nil {
			return false
		}
		messages := make([]*peerpb.SettingsVersion, len(versions))
		for i, v := range versions {
			messages[i] = encodeVersion(v)
		}
		if d.adopt(fromStore, messages) != nil {
			return false
		}
	}
	if head > d.version() {
		tree, err := d.Store.Load(ctx, head)
		if err != nil {
			return false
		}
		d.adoptTree(head, tree)
	}
	return true
}

func (d *Distributor) readHead(ctx context.Context) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	d.increment(&d.counts.HeadReads)
	head, err := d.Store.HeadVersion(ctx)
	return head, err == nil
}
