package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
)

// rangeOwnership is the state of a range that this node holds, from raising the range's epoch until the node loses or
// releases the range.
type rangeOwnership struct {
	server *Server
	index  int
	// id is random, and is stored with the writes of the ownership.
	id int64
	// done is closed when the ownership ends.
	done chan struct{}
	// wake makes the writer look at the queue.
	wake chan struct{}

	mu sync.Mutex
	// epoch is changed only by the writer, which therefore reads it without the lock.
	epoch    int64
	sequence int64
	ended    bool
	entries  map[Key]*entry
	// segments are in the order of epoch and sequence.
	segments []*segment
	// queue holds the batches that are not durable in the order of writing. The first one may be in flight.
	queue        []*batch
	pendingBytes int
	// writeLimiter limits the rate of segment writes.
	writeLimiter *rate.Limiter
	// lastRewrite is the last batch with records that compaction rewrites.
	lastRewrite *batch
	// failingSince is the time at which the write in flight first failed; zero if its last attempt did not fail.
	failingSince time.Time
	evidence     evidence
}

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

func newRangeOwnership(s *Server, index int, id, epoch int64) *rangeOwnership {
	return &rangeOwnership{
		server: s, index: index, id: id, epoch: epoch,
		done: make(chan struct{}), wake: make(chan struct{}, 1), entries: map[Key]*entry{},
		writeLimiter: rate.NewLimiter(rate.Every(s.limits.WriteInterval), writeBurst),
	}
}

// end ends the ownership; all later requests are answered with CLAIM_STATE_NOT_HOLDER. It may be called more than once.
func (o *rangeOwnership) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	o.ended = true
	close(o.done)
	o.server.entries.Add(-int64(len(o.entries)))
	o.entries = nil
}

// verifyRangeRow reads the range row. It ends the ownership if another one has replaced it, and records evidence otherwise.
// If the read fails, it does neither.
func (o *rangeOwnership) verifyRangeRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	check := o.server.beginCheck(o.index)
	item, err := o.server.table.Get(ctx, rangeKey(o.index))
	switch {
	case err != nil:
	case item.Numbers[numberOwnership] != o.id:
		o.end()
	default:
		o.recordEvidence(check)
	}
}

// lookup returns the entry of the key, or nil when there is none, it has expired, or the retention of a release is over.
func (o *rangeOwnership) lookup(key Key, now int64) *entry {
	e := o.entries[key]
	if e == nil || e.expires <= now || (e.state == released && e.deadline <= now) {
		return nil
	}
	return e
}

// claim handles a claim and waits until the state that it reports is durable.
func (o *rangeOwnership) claim(
	ctx context.Context, key Key, body Hash, call string, timeout time.Duration,
) *peerpb.ClaimReply {
	for reads := 0; ; {
		state, e, pending := o.tryClaim(key, body, call, timeout)
		if pending != nil {
			if !o.awaitBatch(ctx, key, e, pending, true) {
				return &peerpb.ClaimReply{State: o.failureState()}
			}
			continue
		}
		if state != peerpb.ClaimState_CLAIM_STATE_REPLAY || e == nil {
			return &peerpb.ClaimReply{State: state}
		}
		answer, err := o.readAnswer(ctx, key, e)
		if err == nil {
			return &peerpb.ClaimReply{State: state, Answer: answer}
		}
		// Compaction may have moved the record to another row: on this node between the lookup and the read of the row, or on
		// another node that has taken over the range without this node noticing.
		if reads++; reads == 3 || ctx.Err() != nil {
			o.verifyRangeRow(ctx)
			return &peerpb.ClaimReply{State: o.failureState()}
		}
	}
}

// tryClaim returns a batch to wait for, or the state to report. With CLAIM_STATE_REPLAY it returns the entry whose answer
// is to be read, or nil when no answer was recorded.
func (o *rangeOwnership) tryClaim(
	key Key, body Hash, call string, timeout time.Duration,
) (peerpb.ClaimState, *entry, *batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER, nil, nil
	}
	now := o.server.nowMs()
	e := o.lookup(key, now)
	switch {
	case e == nil, e.state == released && e.call != call:
		return o.addClaim(key, body, call, timeout, now)
	case e.state == released:
		return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, nil, nil
	case e.body != body:
		return peerpb.ClaimState_CLAIM_STATE_MISMATCH, nil, nil
	case e.state == completed && e.batch != nil:
		o.flushSoon(e.batch)
		return 0, nil, e.batch
	case e.state == completed && e.answer:
		return peerpb.ClaimState_CLAIM_STATE_REPLAY, e, nil
	case e.state == completed:
		return peerpb.ClaimState_CLAIM_STATE_REPLAY, nil, nil
	case e.call == call && e.batch != nil:
		e.waiters++
		return 0, e, e.batch
	case e.deadline <= now && e.call == call && !e.granted:
		// The deadline passed during the write. The claim was never granted, so it is refused and not reported as unknown.
		o.addRelease(key, e, now)
		return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, nil, nil
	case e.deadline <= now:
		return peerpb.ClaimState_CLAIM_STATE_UNKNOWN, nil, nil
	case e.call != call:
		return peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS, nil, nil
	}
	e.granted = true
	return peerpb.ClaimState_CLAIM_STATE_GRANTED, nil, nil
}

// addClaim adds a claim of a free key. It refuses the claim when the entries are full, the writes are stalled or too many
// bytes are pending.
func (o *rangeOwnership) addClaim(
	key Key, body Hash, call string, timeout time.Duration, now int64,
) (peerpb.ClaimState, *entry, *batch) {
	old := o.entries[key]
	full := old == nil && o.server.entries.Load() >= int64(o.server.limits.MaxEntries)
	if full || o.stalled() || o.pendingBytes > maxPendingBytes {
		o.server.count("refused")
		return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, nil, nil
	}
	e := &entry{
		state: claimed, call: call, body: body, deadline: now + timeout.Milliseconds(), waiters: 1,
	}
	e.expires = o.expiry(old, e.deadline)
	o.replaceEntry(key, old, e)
	o.appendEntry(key, e, nil, time.Now())
	return 0, e, e.batch
}

// replaceEntry replaces old by e. The record of old stays live until a record of e is durable.
func (o *rangeOwnership) replaceEntry(key Key, old, e *entry) {
	if old == nil {
		o.server.entries.Add(1)
	} else {
		e.segment, e.size = old.segment, old.size
	}
	o.entries[key] = e
}

// expiry returns the time at which a record expires that is in use until neededUntil. It is never earlier than old's.
func (o *rangeOwnership) expiry(old *entry, neededUntil int64) int64 {
	at := neededUntil + (o.server.retention() + clockErrorAllowance).Milliseconds()
	if old != nil {
		at = max(at, old.expires)
	}
	return at
}

// stalled reports whether writes have failed for longer than stallTimeout. The caller holds mu.
func (o *rangeOwnership) stalled() bool {
	return !o.failingSince.IsZero() && time.Since(o.failingSince) > stallTimeout
}

// complete records the outcome of a claim.
func (o *rangeOwnership) complete(
	ctx context.Context, key Key, call string, answer *peerpb.RecordedAnswer,
) peerpb.ClaimState {
	var encoded []byte
	if answer != nil {
		if size := proto.Size(answer); size <= min(o.server.maxAnswerBytes(), maxRecordedAnswer) {
			encoded, _ = proto.Marshal(answer)
		} else {
			o.server.count("answers-too-large")
		}
	}
	return o.applyChange(ctx, key, func(e *entry, now int64) (peerpb.ClaimState, *batch) {
		switch {
		case e == nil:
			return peerpb.ClaimState_CLAIM_STATE_UNKNOWN, nil
		case e.call != call || e.state == released:
			return peerpb.ClaimState_CLAIM_STATE_MISMATCH, nil
		case e.state == completed:
			return peerpb.ClaimState_CLAIM_STATE_GRANTED, e.batch
		case o.pendingBytes > maxPendingBytes:
			return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, nil
		}
		e.state, e.answer, e.granted = completed, len(encoded) > 0, true
		e.expires = o.expiry(e, now)
		o.appendEntry(key, e, encoded, time.Now().Add(o.server.limits.Linger))
		return peerpb.ClaimState_CLAIM_STATE_GRANTED, e.batch
	})
}

// release frees a key whose claim led to no attempt.
func (o *rangeOwnership) release(ctx context.Context, key Key, call string) peerpb.ClaimState {
	return o.applyChange(ctx, key, func(e *entry, now int64) (peerpb.ClaimState, *batch) {
		switch {
		case e == nil:
			o.rememberRelease(key, call, now)
			return peerpb.ClaimState_CLAIM_STATE_GRANTED, nil
		case e.call != call, e.state == completed:
			return peerpb.ClaimState_CLAIM_STATE_MISMATCH, nil
		case e.state == released:
			return peerpb.ClaimState_CLAIM_STATE_GRANTED, e.batch
		case o.pendingBytes > maxPendingBytes:
			return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, nil
		}
		o.addRelease(key, e, now)
		return peerpb.ClaimState_CLAIM_STATE_GRANTED, e.batch
	})
}

func (o *rangeOwnership) addRelease(key Key, e *entry, now int64) {
	e.state, e.deadline = released, now+releaseRetention.Milliseconds()
	e.expires = max(e.expires, e.deadline)
	o.appendEntry(key, e, nil, time.Now().Add(o.server.limits.Linger))
}

// rememberRelease adds a released entry for a key without one, so that a claim of the same call that arrives after its
// release is refused. Its caller no longer waits for a grant. The entry is not written to the store, since its loss is
// safe.
func (o *rangeOwnership) rememberRelease(key Key, call string, now int64) {
	old := o.entries[key]
	if (old != nil && old.batch != nil) || (old == nil && o.server.entries.Load() >= int64(o.server.limits.MaxEntries)) {
		return
	}
	e := &entry{state: released, call: call, deadline: now + releaseRetention.Milliseconds()}
	e.expires = e.deadline
	if old != nil {
		e.expires = max(e.expires, old.expires)
	}
	o.replaceEntry(key, old, e)
}

// applyChange calls decide with the entry of the key, or nil if there is none, and waits until the result is durable.
func (o *rangeOwnership) applyChange(
	ctx context.Context, key Key, decide func(*entry, int64) (peerpb.ClaimState, *batch),
) peerpb.ClaimState {
	o.mu.Lock()
	if o.ended {
		o.mu.Unlock()
		return peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER
	}
	now := o.server.nowMs()
	state, pending := decide(o.lookup(key, now), now)
	o.mu.Unlock()
	if pending == nil || o.awaitBatch(ctx, key, nil, pending, false) {
		return state
	}
	return o.failureState()
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

// refusalState returns the state to report for a key whose claim was not granted. A caller whose earlier request may have
// run must not get the answer that the work did not run, even while the store is unavailable. The age of the evidence is
// checked here, after the claim was received, so that a pause in between cannot make old evidence appear valid.
func (o *rangeOwnership) refusalState(key Key, call string) peerpb.ClaimState {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER
	}
	e := o.lookup(key, o.server.nowMs())
	switch {
	case e == nil, e.call == call, e.state == released:
		if !o.hasValidEvidence() {
			o.server.count("refused-without-evidence")
			return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE
		}
		return peerpb.ClaimState_CLAIM_STATE_REFUSED
	case e.state == completed:
		// The work ran, but its answer cannot be read at present.
		return peerpb.ClaimState_CLAIM_STATE_REPLAY
	}
	return peerpb.ClaimState_CLAIM_STATE_UNKNOWN
}

// releaseIfUngranted releases the key if e is a durable claim that was never granted and that no request waits for. Without
// it, the keys of callers that were refused during an outage would be reported as unknown for the whole
// retention.
func (o *rangeOwnership) releaseIfUngranted(key Key, e *entry) {
	if o.entries[key] != e || e.state != claimed || e.granted || e.waiters > 0 || e.batch != nil {
		return
	}
	o.server.count("ungranted-released")
	o.addRelease(key, e, o.server.nowMs())
}

// sweep removes the expired entries from memory.
func (o *rangeOwnership) sweep() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.server.nowMs()
	for key, e := range o.entries {
		if e.batch == nil && o.lookup(key, now) == nil {
			e.setSegment(nil, 0)
			delete(o.entries, key)
			o.server.entries.Add(-1)
		}
	}
}
