package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/radishstand/radishstand/node/internal/boottime"
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
	// lostPollDelay is the time after a version from another node after which the store's response to the poll that was in
	// progress counts as lost.
	lostPollDelay = time.Second
	// pollersChangeDelay is the time in which several links and states may change before the frequent pollers are determined
	// again.
	pollersChangeDelay = 50 * time.Millisecond
)

// watchRouting applies new routing versions from the store until ctx ends.
func (n *Node) watchRouting(ctx context.Context) {
	var revision uint64
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		requestedAt, began, direct := time.Now(), boottime.Now(), revision == 0
		document, next, err := n.pollRouting(ctx, revision)
		switch {
		case errors.Is(err, errPollEnded):
			continue
		case errors.Is(err, ErrHistoryGone):
			n.log.Info("routing history no longer available", "revision", revision)
			revision = 0
			continue
		case err != nil:
			n.logStoreFailure(ctx, "routing", err)
			n.setStoreFailing(true)
			if time.Since(requestedAt) < maxStoreBackoff { // a request that timed out needs no further delay
				retryBackoff.wait(ctx)
			}
			continue
		}
		n.logStoreRecovery("routing")
		n.setStoreFailing(false)
		retryBackoff = newBackoff()
		revision = next
		n.freshness.read(document, began, direct)
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

// pollRouting reads the current routing document when revision is 0 and otherwise waits for a change after the revision. The error
// is errPollEnded when another poll must be sent at once.
func (n *Node) pollRouting(ctx context.Context, revision uint64) ([]byte, uint64, error) {
	if revision == 0 {
		return n.store.Routing(ctx)
	}
	ctx = n.poll.begin(ctx, revision)
	defer n.poll.finish()
	wait := pollWait(n.peers.InSubset(frequentPollers), n.storeFailing.Load())
	n.poll.setWait(wait)
	document, next, err := n.store.AwaitRouting(ctx, revision, wait)
	if err != nil && errors.Is(context.Cause(ctx), errPollEnded) {
		return nil, 0, errPollEnded
	}
	return document, next, err
}

// setStoreFailing records whether the latest call for changes has failed. Other nodes are told of a change, since those whose calls
// fail are no frequent pollers for them.
func (n *Node) setStoreFailing(failing bool) {
	if n.storeFailing.Swap(failing) != failing {
		go n.broadcastState()
	}
}

// pollWait returns the wait time of a poll for changes. After a failed one it is short, since the store may still be unresponsive.
func pollWait(frequent, failed bool) time.Duration {
	if frequent || failed {
		return frequentPollTimeout
	}
	return routingPollTimeout
}

// watchPollers ends a long poll when this node becomes one of the frequent pollers, until ctx ends.
func (n *Node) watchPollers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.pollersChanged:
		}
		sleep(ctx, pollersChangeDelay)
		if n.peers.InSubset(frequentPollers) {
			n.poll.shorten()
		}
	}
}

// signalPollersChanged wakes watchPollers.
func (n *Node) signalPollersChanged() {
	select {
	case n.pollersChanged <- struct{}{}:
	default: // it is about to wake
	}
}
