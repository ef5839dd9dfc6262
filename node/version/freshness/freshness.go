// Package freshness decides for how long a node may act on its routing version without a newer proof that it is the newest one. It holds
// the node's proofs that a version was the newest one in the store, and schedules the requests to other nodes and to the store that
// bring newer proofs. It uses neither the network nor a clock: all times are those of the node's boot clock, which includes suspension.
package freshness

import (
	"slices"
	"sync"
	"time"
)

const (
	// margin is the part of the allowed time that is reserved for the drift of the clock and the time until a request is forwarded.
	margin = 200 * time.Millisecond
	// FeedLag is the time for which the feed of the store may report nothing although there are changes, with a margin.
	FeedLag = 1200 * time.Millisecond
	// EraDelay is the time after a new era of the store was first seen within which operators write again what the store has lost.
	EraDelay = time.Second
	// maxPassedAge bounds the age of proofs that are passed on.
	maxPassedAge = time.Hour
	// maxProofs bounds the proofs of versions that are newer than the current one. Such a version arrives within seconds or
	// not at all.
	maxProofs = 8
)

// Proof states that the newest version in the store at a time was the given one or an older one, so that no later version was
// acknowledged before.
type Proof struct {
	Version uint64
	At      time.Duration
}

// Lease holds the proofs of a process. It is empty when the process starts. It is safe for concurrent use.
type Lease struct {
	mu sync.Mutex
	// proofs are in ascending order of versions and of times: a later proof of the same or an older version replaces a proof.
	proofs []Proof
	// stored is the highest version that was read from the store in this era.
	stored uint64
	era    uint64
	// validFrom is the time from which on reads of the store are proofs.
	validFrom time.Duration
}

// Add adds a proof that another node has passed on.
func (l *Lease) Add(p Proof) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(p)
}

// add is like Add; the lock must be held.
func (l *Lease) add(p Proof) {
	supersedes := func(known Proof) bool { return known.Version <= p.Version && known.At >= p.At }
	if p.Version == 0 || slices.ContainsFunc(l.proofs, supersedes) {
		return
	}
	l.proofs = slices.DeleteFunc(l.proofs, func(known Proof) bool { return known.Version >= p.Version && known.At <= p.At })
	i, _ := slices.BinarySearchFunc(l.proofs, p.Version, func(known Proof, version uint64) int {
		if known.Version < version {
			return -1
		}
		return 1
	})
	l.proofs = slices.Insert(l.proofs, i, p)
	if len(l.proofs) > maxProofs { // the first one may be the only one for the current version, the last one is the newest
		l.proofs = slices.Delete(l.proofs, 1, 2)
	}
}

// SetEra records the era of a response of the store. After it rose, what the store holds may be older than what it has acknowledged,
// so that reads are no proofs for EraDelay. A store that never lost anything has era 0. A late response of an older era changes nothing.
func (l *Lease) SetEra(era uint64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era > l.era {
		l.era, l.stored, l.validFrom = era, 0, now+EraDelay
	}
}

// Read adds the proof of a successful read of the store that began at a time. The version is that of the configuration that was read, or
// 0 if a poll of the feed has brought none. A direct read proves that the version was the newest one when the read began, a poll that
// it was FeedLag earlier. A response of an older era than the current one proves nothing.
func (l *Lease) Read(version, era uint64, began time.Duration, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era < l.era {
		return
	}
	l.stored = max(l.stored, version)
	if direct && version == 0 {
		return // the store holds no configuration
	}
	at := began
	if !direct {
		at -= FeedLag
	}
	if at >= l.validFrom {
		l.add(Proof{Version: l.stored, At: at})
	}
}

// NewestFor returns the time of the newest proof for a node whose current version is the given one.
func (l *Lease) NewestFor(current uint64) (at time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range slices.Backward(l.proofs) {
		if p.Version <= current {
			return p.At, true
		}
	}
	return 0, false
}

// ValidFor reports whether a node may act on its current version. A change that the store acknowledged longer than within ago is in
// it.
func (l *Lease) ValidFor(current uint64, now, within time.Duration) bool {
	at, ok := l.NewestFor(current)
	return ok && now < at+within-margin
}

// EncodeAge returns the age of a proof as it is passed on: rounded up to milliseconds, plus 1. It returns 0 for a proof that is too old
// to be of use.
func EncodeAge(at, now time.Duration) uint32 {
	age := max(now-at, 0)
	if age > maxPassedAge {
		return 0
	}
	return uint32((age+time.Millisecond-1)/time.Millisecond) + 1
}

// DecodeAge returns the time of a proof from its age in the answer to a request that was sent at a time. Since the request was sent before
// the age was determined, the result is never later than the time of the proof. It reports false when there is no proof.
func DecodeAge(age uint32, asked time.Duration) (at time.Duration, ok bool) {
	if age == 0 {
		return 0, false
	}
	return asked - time.Duration(age-1)*time.Millisecond, true
}
