// Package current holds the settings version in force at a node, compiled for its own place. The version only rises.
package current

import (
	"sync"
	"sync/atomic"

	"github.com/radishstand/radishstand/api/settings"
)

// Holder holds the version in force. It is safe for concurrent use.
type Holder struct {
	place   string
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex // serializes offers and guards subscribers
	subscribers map[chan struct{}]struct{}
}

// New returns a Holder for a node of a place, without a version.
func New(place string) *Holder {
	return &Holder{place: place, subscribers: map[chan struct{}]struct{}{}}
}

// Current returns the version in force, or nil while none is known.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Offer puts a version in force if it is higher than the one in force, and reports whether it did.
func (h *Holder) Offer(version int64, tree *settings.Tree) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.current.Load(); now != nil && version <= now.Version {
		return false
	}
	h.current.Store(compile(h.place, version, tree))
	for ch := range h.subscribers {
		select {
		case ch <- struct{}{}:
		default: // an earlier signal has not been taken yet
		}
	}
	return true
}

// Subscribe returns a channel that gets a signal after a version came into force, and a function that ends the
// subscription. Signals that are not taken in time merge into one; the subscriber reads Current.
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
