package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/version/freshness"
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
	// readSpacing is the minimum time between two reads of the whole state by a node that has a routing version, and the time over
	// which the nodes spread such a read.
	readSpacing = 250 * time.Millisecond
)

// errOldEra reports a response of an older era of the store than an earlier response.
var errOldEra = errors.New("response of an older era")

// operatorsRead is a successful read of the operators' state.
type operatorsRead struct {
	state OperatorState
	// sentAt is the time before the request was sent.
	sentAt time.Time
	// began is sentAt by the boot clock.
	began time.Duration
	// direct is set when the whole state was read, and not the feed of changes.
	direct bool
}

// shows reports whether the read shows every change that was made before a time.
func (r *operatorsRead) shows(changesBefore time.Time) bool {
	if r.direct {
		return !r.sentAt.Before(changesBefore)
	}
	return !r.sentAt.Add(-freshness.FeedLag).Before(changesBefore)
}

// watchRouting applies new routing versions and evacuations from the store until ctx ends.
func (n *Node) watchRouting(ctx context.Context) {
	var last *OperatorState // nil when the whole state must be read
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		requestedAt := time.Now()
		read, err := n.pollRouting(ctx, last)
		switch {
		case errors.Is(err, errPollEnded):
			continue
		case errors.Is(err, ErrHistoryGone):
			n.log.Info("routing history no longer available", "revision", last.revision().Row, "era", last.revision().Era)
			last = nil
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
		if !read.direct && read.state.Revision.Era != last.Revision.Era {
			last = nil // the changes since then are those of another copy of the store
			continue
		}
		last = &read.state
		n.freshness.read(last.Document, last.Revision.Era, read.began, read.direct)
		n.applyRead(read)
		if last.Document != nil {
			last.Document = nil // the routing version holds it
			sleep(ctx, routingPollDelay)
		} else if n.routing.Current() == nil {
			sleep(ctx, minStoreBackoff)
		}
	}
}

// applyRead applies the result of a successful read of the store.
func (n *Node) applyRead(read *operatorsRead) {
	n.readEvacuations(read.state, read.shows(n.eras.settledFrom(read.state.Revision.Era)))
	if read.state.Document == nil {
		return
	}
	n.applyRouting(read.state.Document, "store")
	// The long polls of other nodes may be lost, and a node without traffic receives no other frame.
	if n.peers.InSubset(frequentPollers) {
		n.links.BroadcastVersion()
	}
}

// pollRouting reads the operators' whole state when last is nil or must not be used any more, and otherwise waits for a change after it.
// The error is errPollEnded when another request must be sent at once.
func (n *Node) pollRouting(ctx context.Context, last *OperatorState) (*operatorsRead, error) {
	if last.revision().Row == 0 || n.eras.outdated(last.Revision) || n.evacuationsDue(last.Revision.Era) {
		return n.readOperators(ctx)
	}
	ctx = n.poll.begin(ctx, last.Revision)
	defer n.poll.finish()
	// From here on, whatever requires a read of the whole state ends the poll. This checks for what came before.
	if n.eras.outdated(last.Revision) {
		return nil, errPollEnded
	}
	wait := pollWait(n.peers.InSubset(frequentPollers), n.storeFailing.Load())
	if n.evacuations.holder.NeedsRead() {
		wait = min(wait, max(time.Until(n.eras.settledFrom(last.Revision.Era)), time.Millisecond))
	}
	n.poll.setWait(wait)
	sentAt, began := time.Now(), boottime.Now()
	state, err := n.store.AwaitRouting(ctx, *last, wait)
	if err != nil {
		if errors.Is(context.Cause(ctx), errPollEnded) {
			err = errPollEnded
		}
		return nil, err
	}
	return &operatorsRead{state: state, sentAt: sentAt, began: began}, nil
}

// evacuationsDue reports whether the evacuated places must be read again and operators have had the time to write them in an era.
func (n *Node) evacuationsDue(era uint64) bool {
	return n.evacuations.holder.NeedsRead() && !time.Now().Before(n.eras.settledFrom(era))
}

// readOperators reads the operators' whole state. Once a node has a routing version, it delays the read, so that nodes do not read all at
// once.
func (n *Node) readOperators(ctx context.Context) (*operatorsRead, error) {
	if n.routing.Current() != nil {
		sleep(ctx, max(time.Until(n.lastRead.Add(readSpacing)), rand.N(readSpacing)))
	}
	succeeded := n.eras.beginRead()
	n.lastRead = time.Now()
	read := &operatorsRead{sentAt: n.lastRead, began: boottime.Now(), direct: true}
	var err error
	if read.state, err = n.store.Routing(ctx); err != nil {
		return nil, err
	}
	if read.state.Revision.Era < n.eras.get() {
		return nil, errOldEra
	}
	succeeded()
	return read, nil
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
