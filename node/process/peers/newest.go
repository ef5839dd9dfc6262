package peers

import (
	"sync"
	"sync/atomic"
	"time"
)

// newestVersion is the highest routing version number that other nodes have reported. It is safe for concurrent use.
type newestVersion struct {
	number atomic.Uint64 // written with mu held

	mu sync.Mutex
	// since is when the first version above this node's was reported.
	since time.Time
}

// record records that another node has reported a version above this node's, which is local.
func (n *newestVersion) record(number, local uint64, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.number.Load()
	if known <= local { // this node had all versions that were reported before
		n.since = now
	}
	n.number.Store(max(known, number))
}

// behindSince returns when the first version above this node's was reported; zero if none is known.
func (n *newestVersion) behindSince(local uint64) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.number.Load() <= local {
		return time.Time{}
	}
	return n.since
}

// NewestVersion returns the highest routing version number above the local one that any node has reported so far, or a
// number not above the local one if there is none.
func (p *Set) NewestVersion() uint64 { return p.newestVersion.number.Load() }

// BehindBy returns for how long a routing version above the local one has been known; 0 if none is.
func (p *Set) BehindBy() time.Duration {
	since := p.newestVersion.behindSince(p.config.LocalVersion())
	if since.IsZero() {
		return 0
	}
	return time.Since(since)
}
