package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/radishstand/radishstand/node/version/freshness"
)

// eras tracks the era of the store. It rises when the store comes back from an older copy, and then the store may have lost anything that
// this node has read from it or written to it. Only the store's own responses set the era; an era that another node reports makes this node ask the
// store. It is safe for concurrent use.
type eras struct {
	mu    sync.Mutex
	known bool
	// current is the newest era in a response, and firstSeen the time of the first such response.
	current   uint64
	firstSeen time.Time
	// changes counts how often the era was replaced by a newer one.
	changes uint64
	// reported is the newest era that another node has reported, and checked the newest one after which the store was asked.
	reported, checked uint64
	// changed is closed when the current era is replaced; nil while nothing waits for that.
	changed chan struct{}
}

// observe applies the era of a response, and reports whether it replaces an older one. The first one replaces none.
func (e *eras) observe(era uint64, now time.Time) (replaced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era <= e.current {
		return false
	}
	replaced = e.known
	e.known, e.current, e.firstSeen = true, era, now
	if !replaced {
		return false
	}
	e.changes++
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
	return true
}

// report applies the era that another node reports, and reports whether the store must be asked because of it.
func (e *eras) report(era uint64) (ask bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.reported {
		return false
	}
	e.reported = era
	return e.known && era > e.current
}

// get returns the current era; 0 while none is known.
func (e *eras) get() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// outdated reports whether a revision must not be used in a request: it is of an older era, or another node has reported an era that
// this node has not asked the store about.
func (e *eras) outdated(r Revision) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.Era < e.current || e.reported > max(e.current, e.checked)
}

// beginRead returns a function to be called after a successful read of the operators' whole state. It marks the eras that were reported
// before the read as checked.
func (e *eras) beginRead() (succeeded func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reported := e.reported
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.checked = max(e.checked, reported)
	}
}

// settledFrom returns the time from which on a read shows what operators wrote again in an era. It is zero for era 0, in which the
// store has lost nothing.
func (e *eras) settledFrom(era uint64) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era == 0 {
		return time.Time{}
	}
	return e.firstSeen.Add(freshness.EraDelay)
}

// count returns how often the era has changed.
func (e *eras) count() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changes
}

// untilChange returns a context that ends with ctx, or when the number of changes of the era differs from the given one. The cancel
// function must be called.
func (e *eras) untilChange(ctx context.Context, changes uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changes != changes {
		cancel()
		return ctx, cancel
	}
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	changed := e.changed
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// storeResponded handles the era of a response of the store. What was read in the era before is read again, and what this node wrote is
// written again.
func (n *Node) storeResponded(era uint64) {
	n.freshness.setEra(era)
	if !n.eras.observe(era, time.Now()) {
		return
	}
	n.log.Warn("store came back from an older copy", "era", era)
	n.eraChanges.Inc(1)
	n.poll.end()
	if n.peers.InSubset(frequentPollers) { // tells the nodes whose own poll is lost
		go n.broadcastState()
	}
}

// peerReportedEra handles the era of the store that another node has seen.
func (n *Node) peerReportedEra(peer string, era uint64) {
	if n.eras.report(era) {
		n.log.Info("peer reports a newer era of the store", "peer", peer, "era", era, "current", n.eras.get())
		n.poll.end()
	}
}
