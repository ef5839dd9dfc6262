package ledger

import (
	"context"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
)

// batch is a group of records that is written as one segment.
type batch struct {
	records []record
	bytes   int
	// pendingBytes is the part of bytes that counts as pending. Records of compaction do not count.
	pendingBytes int
	due          time.Time
	sealed       bool
	durable      bool
	// done is closed when the batch is durable.
	done chan struct{}
}

// appendEntry appends the state of e to the open batch.
func (o *rangeOwnership) appendEntry(key Key, e *entry, answer []byte, due time.Time) {
	r := record{
		State: e.state, Key: key[:], Body: e.body[:], Call: e.call,
		Deadline: e.deadline, Expires: e.expires, Answer: answer,
	}
	o.appendRecord(e, r, due, r.size())
}

// appendRecord appends a record of e to the open batch and adds pendingBytes to the pending bytes.
func (o *rangeOwnership) appendRecord(e *entry, r record, due time.Time, pendingBytes int) {
	size := r.size()
	var b *batch
	if n := len(o.queue); n > 0 && !o.queue[n-1].sealed && o.queue[n-1].bytes+size <= segmentBytes {
		b = o.queue[n-1]
	} else {
		b = &batch{due: due, done: make(chan struct{})}
		o.queue = append(o.queue, b)
	}
	if due.Before(b.due) {
		b.due = due
	}
	b.records = append(b.records, r)
	b.bytes += size
	b.pendingBytes += pendingBytes
	o.pendingBytes += pendingBytes
	e.batch = b
	o.wakeWriter()
}

// flushSoon makes a batch due now, like one with a claim, since a caller waits for it.
func (o *rangeOwnership) flushSoon(b *batch) {
	if now := time.Now(); now.Before(b.due) {
		b.due = now
		o.wakeWriter()
	}
}

// wakeWriter makes the writer look at the queue.
func (o *rangeOwnership) wakeWriter() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// awaitBatch waits for the batch and reports whether it is durable. If e is set, it ends a wait that tryClaim counted in
// e.waiters, and releases the claim if nothing waits for it any more.
func (o *rangeOwnership) awaitBatch(ctx context.Context, key Key, e *entry, b *batch, failOnStall bool) bool {
	ok := o.awaitDurable(ctx, b, failOnStall)
	o.mu.Lock()
	defer o.mu.Unlock()
	if e != nil {
		e.waiters--
		if !ok && !o.ended {
			o.releaseIfUngranted(key, e)
		}
	}
	return ok
}

// awaitDurable waits for the batch and reports whether it is durable. With failOnStall, it returns false soon after writes
// stall, so that claims are refused promptly during an outage of the store.
func (o *rangeOwnership) awaitDurable(ctx context.Context, b *batch, failOnStall bool) bool {
	check := time.NewTicker(stallTimeout)
	defer check.Stop()
	for {
		select {
		case <-b.done:
			return ctx.Err() == nil
		case <-o.done:
			return false
		case <-ctx.Done():
			return false
		case <-check.C:
			o.mu.Lock()
			stalled := o.stalled()
			o.mu.Unlock()
			if failOnStall && stalled {
				return false
			}
		}
	}
}

// failureState returns the state to report when a wait for a batch or a read of an answer failed.
func (o *rangeOwnership) failureState() peerpb.ClaimState {
	select {
	case <-o.done:
		return peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER
	default:
		return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE
	}
}

// stalled reports whether writes have failed for longer than stallTimeout. The caller holds mu.
func (o *rangeOwnership) stalled() bool {
	return !o.failingSince.IsZero() && time.Since(o.failingSince) > stallTimeout
}
