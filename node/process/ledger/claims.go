package ledger

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/peerpb"
)

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
