// Package current holds the settings version in force at a node, compiled for its place. The version never decreases.
package current

import (
	"sync"
	"sync/atomic"

	"github.com/radishstand/radishstand/api/settings"
)

// Holder holds the settings version in force. It is safe for concurrent use.
type Holder struct {
	place   string
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex // serializes offers and guards subscribers
	subscribers map[chan struct{}]struct{}
}

// New returns a Holder for a node in a place. It has no version yet.
func New(place string) *Holder {
	return &Holder{place: place, subscribers: map[chan struct{}]struct{}{}}
}

// Current returns the version in force, or nil if there is none yet.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Offer puts a version in force if it is higher than the one in force, and reports whether it did.
func (h *Holder) Offer(version int64, tree *settings.Tree) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && version <= current.Version {
		return false
	}
	h.current.Store(compile(h.place, version, tree))
	for ch := range h.subscribers {
		select {
		case ch <- struct{}{}:
		default: // an earlier signal is still pending
		}
	}
	return true
}

// Subscribe returns a channel that receives a signal after a version came into force, and a function that ends the
// subscription. Pending signals merge into one. The subscriber reads the version with Current.
func (h *Holder) Subscribe() (changed <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	h.mu.Lock()
	h.subscribers[ch] = struct{}{}
	h.mu.Unlock()
	return ch, func() {
		h.mu.Lock()
		delete(h.subscribers, ch)
		h.mu.Unlock()
	}
}
