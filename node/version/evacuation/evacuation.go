// Package evacuation holds the set of places whose backend servers get no calls, and decides which of two sets is the newer one.
// It uses neither the network nor a clock.
//
// A set is read from the store or received from another node. It is replaced as a whole, in the order of the store's revisions. When
// the store has come back from an older copy, the set in it may lack places that operators are about to write again. A set that was
// read too early is therefore unsettled: its places are added to those of earlier sets, and it is not sent to other nodes.
package evacuation

import (
	"slices"
	"sync"
)

// Revision identifies a state of the store.
type Revision struct {
	// Era counts how often the store has come back from an older copy.
	Era uint64
	// Row is the version of the newest row in that era.
	Row uint64
}

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool {
	return r.Era < other.Era || r.Era == other.Era && r.Row < other.Row
}

// Set is a set of evacuated places at a revision of the store.
type Set struct {
	Revision Revision
	// Places is in ascending order and has no duplicates.
	Places []string
}

// NewSet returns a set of places in any order.
func NewSet(revision Revision, places []string) Set {
	sorted := slices.Clone(places)
	slices.Sort(sorted)
	return Set{Revision: revision, Places: slices.Compact(sorted)}
}

// Holder holds the set of this node. Its zero value holds none. It is safe for concurrent use.
type Holder struct {
	mu sync.Mutex
	// settled is the newest settled set.
	settled Set
	// unsettled is the newest unsettled set, which is newer than settled; nil if there is none.
	unsettled *Set
	// earlier holds the places of unsettled sets of eras before that of unsettled.
	earlier []string
	// everEvacuated is set when there has been an evacuated place, here or at another node.
	everEvacuated bool
}

// Read applies a set that was read from the store, and reports whether the places in force have changed. A set that is not settled
// was read so soon after the store came back that places may be missing in it.
func (h *Holder) Read(set Set, settled bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.inForce()
	switch {
	case set.Revision.Before(h.settled.Revision), h.unsettled != nil && set.Revision.Before(h.unsettled.Revision):
		return false
	case settled || set.Revision.Era == h.settled.Revision.Era:
		h.replace(set)
	default:
		if h.unsettled != nil && h.unsettled.Revision.Era < set.Revision.Era {
			h.earlier = union(h.earlier, h.unsettled.Places)
		}
		h.unsettled = &set
	}
	return h.update(before)
}

// Receive applies a settled set of another node if it is newer than this node's, and reports whether the places in force have changed.
// It also reports whether the other node's set is outdated: this node's is newer and has other places.
func (h *Holder) Receive(set Set) (changed, outdated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.settled.Revision.Before(set.Revision) {
		outdated = set.Revision.Before(h.settled.Revision) && !slices.Equal(set.Places, h.settled.Places)
		h.everEvacuated = h.everEvacuated || outdated
		return false, outdated
	}
	before := h.inForce()
	if h.unsettled != nil && set.Revision.Before(h.unsettled.Revision) {
		h.settled = set
	} else {
		h.replace(set)
	}
	return h.update(before), false
}

// replace makes a set the settled one and discards the unsettled one. h.mu must be held.
func (h *Holder) replace(set Set) {
	h.settled, h.unsettled, h.earlier = set, nil, nil
}

// update records whether there has been an evacuated place, and reports whether the places in force differ from those before. h.mu
// must be held.
func (h *Holder) update(before []string) bool {
	now := h.inForce()
	h.everEvacuated = h.everEvacuated || len(now) > 0
	return !slices.Equal(before, now)
}

// InForce returns the places that are evacuated now, in ascending order.
func (h *Holder) InForce() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inForce()
}

func (h *Holder) inForce() []string {
	if h.unsettled == nil {
		return h.settled.Places
	}
	return union(union(h.settled.Places, h.earlier), h.unsettled.Places)
}

// Settled returns the set to send to other nodes, and false if there is none or no place has ever been evacuated.
func (h *Holder) Settled() (Set, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.settled, h.everEvacuated && h.settled.Revision != Revision{}
}

// NeedsRead reports whether the set must be read again to settle it.
func (h *Holder) NeedsRead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unsettled != nil && len(h.inForce()) > 0
}

// union returns the elements of two sorted lists, in ascending order.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
