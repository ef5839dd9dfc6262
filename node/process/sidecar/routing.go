package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// routingPollTimeout is the timeout of a long poll for routing changes.
	routingPollTimeout = 30 * time.Second
	// A long poll that is lost during an outage of the store is noticed only when it times out. To apply changes promptly
	// after the outage, frequentPollers nodes use the short timeout frequentPollTimeout; the others receive the version from
	// them.
	frequentPollers     = 3
	frequentPollTimeout = 800 * time.Millisecond
	// routingPollDelay is the delay after a change before the next poll, so that a series of changes costs few calls.
	routingPollDelay = 250 * time.Millisecond
)

// routingPoll describes the request for routing changes that is in progress. It is safe for concurrent use.
type routingPoll struct {
	mu       sync.Mutex
	began    time.Time // zero while no request is in progress
	revision uint64
	wait     time.Duration
}

// begin records the start of a request.
func (p *routingPoll) begin(revision uint64, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.began, p.revision, p.wait = time.Now(), revision, wait
}

// end records the end of a request.
func (p *routingPoll) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.began = time.Time{}
}

// String describes the request for the dump of the process's state.
func (p *routingPoll) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.began.IsZero() {
		return "none"
	}
	return fmt.Sprintf("after revision %d for %s, sent %s ago", p.revision, p.wait, time.Since(p.began).Round(time.Millisecond))
}

// watchRouting applies new routing versions from the store until ctx ends.
func (n *Node) watchRouting(ctx context.Context) {
	var revision uint64
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		requestedAt := time.Now()
		document, next, err := n.pollRouting(ctx, revision)
		switch {
		case errors.Is(err, ErrHistoryGone):
			n.log.Info("routing history no longer available", "revision", revision)
			revision = 0
			continue
		case err != nil:
			n.logStoreFailure(ctx, "routing", err)
			if time.Since(requestedAt) < maxStoreBackoff { // a request that timed out needs no further delay
				retryBackoff.wait(ctx)
			}
			continue
		}
		n.logStoreRecovery("routing")
		retryBackoff = newBackoff()
		revision = next
		if document != nil {
			n.applyRouting(document, "store")
			// The long polls of other nodes may be lost, and a node without traffic receives no other frame.
			if n.peers.InSubset(frequentPollers) {
				n.links.BroadcastVersion()
			}
			sleep(ctx, routingPollDelay)
		} else if n.routing.Current() == nil {
			sleep(ctx, minStoreBackoff)
		}
	}
}

// pollRouting reads the current routing document when revision is 0 and otherwise waits for a change after the revision.
func (n *Node) pollRouting(ctx context.Context, revision uint64) ([]byte, uint64, error) {
	if revision == 0 {
		return n.store.Routing(ctx)
	}
	wait := routingPollTimeout
	if n.peers.InSubset(frequentPollers) {
		wait = frequentPollTimeout
	}
	n.poll.begin(revision, wait)
	defer n.poll.end()
	return n.store.AwaitRouting(ctx, revision, wait)
}
