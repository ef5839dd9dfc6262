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
	// lostPollDelay is the time after a version from another node after which the store's response to the poll that was in
	// progress counts as lost.
	lostPollDelay = time.Second
	// pollersChangeDelay is the time in which several links and states may change before the frequent pollers are determined
	// again.
	pollersChangeDelay = 50 * time.Millisecond
)

// errPollEnded is the cause of the end of a poll that this node has ended to send another one.
var errPollEnded = errors.New("poll ended for another one")

// routingPoll is the request for routing changes that is in progress. It is safe for concurrent use.
type routingPoll struct {
	mu       sync.Mutex
	count    uint64                  // of the requests so far
	cancel   context.CancelCauseFunc // nil while no request is in progress
	began    time.Time
	revision uint64
	wait     time.Duration
}

// begin records the start of a request and returns its context, which end or shorten may cancel. The wait time is set later.
func (p *routingPoll) begin(ctx context.Context, revision uint64) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, p.cancel = context.WithCancelCause(ctx)
	p.count++
	p.began, p.revision, p.wait = time.Now(), revision, routingPollTimeout
	return ctx
}

// setWait records the wait time of the request in progress.
func (p *routingPoll) setWait(wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wait = wait
}

// finish records the end of a request.
func (p *routingPoll) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel(nil)
	p.cancel = nil
}

// shorten ends the request in progress if it is a long poll.
func (p *routingPoll) shorten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil && p.wait > frequentPollTimeout {
		p.cancel(errPollEnded)
	}
}

// endAfter ends the request that is in progress now if it still is after a delay.
func (p *routingPoll) endAfter(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel == nil {
		return
	}
	count := p.count
	time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cancel != nil && p.count == count {
			p.cancel(errPollEnded)
		}
	})
}

// String describes the request for logs and for the dump of the process's state.
func (p *routingPoll) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel == nil {
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
