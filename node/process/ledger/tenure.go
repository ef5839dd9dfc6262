package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
)

// tenure is the time during which this node holds a range, from raising its epoch until it loses the range.
type tenure struct {
	server *Server
	index  int
	id     int64
	// lost is closed when the tenure ends.
	lost chan struct{}
	wake chan struct{}

	mu sync.Mutex
	// epoch changes only in the writer, which also reads it without the lock.
	epoch    int64
	sequence int64
	ended    bool
	entries  map[Key]*entry
	// segments in the order of epoch and sequence.
	segments []*segment
	// queue holds the batches that are not durable, in the order of writing; the first may be in flight.
	queue        []*batch
	pendingBytes int
	// pace bounds the segment writes.
	pace *rate.Limiter
	// moving is the last batch with records that compaction moves.
	moving *batch
	// failingSince is when the write in flight first failed; zero while the store answers.
	failingSince time.Time
	proof        evidence
}

// batch becomes one segment.
type batch struct {
	records []record
	bytes   int
	// charged is the part of bytes that counts as pending; compaction is not charged.
	charged int
	due     time.Time
	sealed  bool
	durable bool
	// done is closed when the batch is durable.
	done chan struct{}
}

func newTenure(s *Server, index int, id, epoch int64) *tenure {
	return &tenure{
		server: s, index: index, id: id, epoch: epoch,
		lost: make(chan struct{}), wake: make(chan struct{}, 1), entries: map[Key]*entry{},
		pace: rate.NewLimiter(rate.Every(s.limits.WriteInterval), writeBurst),
	}
}

// end makes the tenure refuse everything from now on. It may be called more than once.
func (t *tenure) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	close(t.lost)
	t.server.entries.Add(-int64(len(t.entries)))
	t.entries = nil
}

// endIfTaken ends the tenure if another one took the range.
func (t *tenure) endIfTaken(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	check := t.server.beginCheck(t.index)
	item, err := t.server.table.Get(ctx, rangeKey(t.index))
	switch {
	case err != nil:
	case item.Numbers[numberTenure] != t.id:
		t.end()
	default:
		t.prove(check)
	}
}

// find returns the entry that decides the key, or nil when the key is free and unknown.
func (t *tenure) find(key Key, now int64) *entry {
	e := t.entries[key]
	if e == nil || e.expires <= now || (e.state == released && e.deadline <= now) {
		return nil
	}
	return e
}

// claim decides on a claim and waits until what it reports is durable.
func (t *tenure) claim(ctx context.Context, key Key, body Hash, call string, timeout time.Duration) *peerpb.ClaimReply {
	for read := 0; ; {
		state, e, pending := t.tryClaim(key, body, call, timeout)
		if pending != nil {
			if !t.wait(ctx, key, e, pending, true) {
				return &peerpb.ClaimReply{State: t.refusal()}
			}
			continue
		}
		if state != peerpb.ClaimState_CLAIM_STATE_REPLAY || e == nil {
			return &peerpb.ClaimReply{State: state}
		}
		answer, err := t.readAnswer(ctx, key, e)
		if err == nil {
			return &peerpb.ClaimReply{State: state, Answer: answer}
		}
		// Compaction moves records to other rows: here between looking up and reading the row, or at another node that
		// took the range unnoticed.
		if read++; read == 3 || ctx.Err() != nil {
			t.endIfTaken(ctx)
			return &peerpb.ClaimReply{State: t.refusal()}
		}
	}
}

// tryClaim returns a batch to wait for, or the state to report. With a replay it returns the entry whose answer is to be
// read, or nil when no answer was kept.
func (t *tenure) tryClaim(key Key, body Hash, call string, timeout time.Duration) (peerpb.ClaimState, *entry, *batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER, nil, nil
	}
	now := t.server.nowMs()
	e := t.find(key, now)
	switch {
	case e == nil, e.state == released && e.call != call:
		return t.addClaim(key, body, call, timeout, now)
	case e.state == released:
		return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, nil, nil
	case e.body != body:
		return peerpb.ClaimState_CLAIM_STATE_MISMATCH, nil, nil
	case e.state == completed && e.batch != nil:
		t.hasten(e.batch)
		return 0, nil, e.batch
	case e.state == completed && e.answer:
		return peerpb.ClaimState_CLAIM_STATE_REPLAY, e, nil
	case e.state == completed:
		return peerpb.ClaimState_CLAIM_STATE_REPLAY, nil, nil
	case e.call == call && e.batch != nil:
		e.waiters++
		return 0, e, e.batch
	case e.deadline <= now && e.call == call && !e.granted:
		// The deadline passed during the write, so the claim is refused for certain instead of reading as unknown.
		t.addRelease(key, e, now)
		return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, nil, nil
	case e.deadline <= now:
		return peerpb.ClaimState_CLAIM_STATE_UNKNOWN, nil, nil
	case e.call != call:
		return peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS, nil, nil
	}
	e.granted = true
	return peerpb.ClaimState_CLAIM_STATE_GRANTED, nil, nil
}

func (t *tenure) addClaim(key Key, body Hash, call string, timeout time.Duration, now int64) (peerpb.ClaimState, *entry, *batch) {
	old := t.entries[key]
	full := old == nil && t.server.entries.Load() >= int64(t.server.limits.MaxEntries)
	if full || t.stalled() || t.pendingBytes > maxPendingBytes {
		t.server.count("refused")
		return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, nil, nil
	}
	e := &entry{
		state: claimed, call: call, body: body, deadline: now + timeout.Milliseconds(), waiters: 1,
	}
	e.expires = t.expiry(old, e.deadline)
	t.replace(key, old, e)
	t.add(key, e, nil, time.Now())
	return 0, e, e.batch
}

// replace puts e in place of old, whose segment stays live until a record of e is durable.
func (t *tenure) replace(key Key, old, e *entry) {
	if old == nil {
		t.server.entries.Add(1)
	} else {
		e.segment, e.size = old.segment, old.size
	}
	t.entries[key] = e
}

// expiry returns the time until which a record is kept that matters until from.
func (t *tenure) expiry(old *entry, from int64) int64 {
	at := from + (t.server.retention() + clockAllowance).Milliseconds()
	if old != nil {
		at = max(at, old.expires)
	}
	return at
}

func (t *tenure) stalled() bool {
	return !t.failingSince.IsZero() && time.Since(t.failingSince) > stallLimit
}

// complete records the outcome of a claim.
func (t *tenure) complete(ctx context.Context, key Key, call string, answer *peerpb.RecordedAnswer) peerpb.ClaimState {
	var encoded []byte
	if answer != nil {
		if size := proto.Size(answer); size <= min(t.server.maxAnswerBytes(), maxRecordedAnswer) {
			encoded, _ = proto.Marshal(answer)
		} else {
			t.server.count("answers-too-large")
		}
	}
	return t.change(ctx, key, func(e *entry, now int64) (peerpb.ClaimState, *batch) {
		switch {
		case e == nil:
			return peerpb.ClaimState_CLAIM_STATE_UNKNOWN, nil
		case e.call != call || e.state == released:
			return peerpb.ClaimState_CLAIM_STATE_MISMATCH, nil
		case e.state == completed:
			return peerpb.ClaimState_CLAIM_STATE_GRANTED, e.batch
		case t.pendingBytes > maxPendingBytes:
			return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, nil
		}
		e.state, e.answer, e.granted = completed, len(encoded) > 0, true
		e.expires = t.expiry(e, now)
		t.add(key, e, encoded, time.Now().Add(t.server.limits.Linger))
		return peerpb.ClaimState_CLAIM_STATE_GRANTED, e.batch
	})
}

// release frees a key whose claim led to no attempt.
func (t *tenure) release(ctx context.Context, key Key, call string) peerpb.ClaimState {
	return t.change(ctx, key, func(e *entry, now int64) (peerpb.ClaimState, *batch) {
		switch {
		case e == nil:
			t.rememberRelease(key, call, now)
			return peerpb.ClaimState_CLAIM_STATE_GRANTED, nil
		case e.call != call, e.state == completed:
			return peerpb.ClaimState_CLAIM_STATE_MISMATCH, nil
		case e.state == released:
			return peerpb.ClaimState_CLAIM_STATE_GRANTED, e.batch
		case t.pendingBytes > maxPendingBytes:
			return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, nil
		}
		t.addRelease(key, e, now)
		return peerpb.ClaimState_CLAIM_STATE_GRANTED, e.batch
	})
}

func (t *tenure) addRelease(key Key, e *entry, now int64) {
	e.state, e.deadline = released, now+releaseMemory.Milliseconds()
	e.expires = max(e.expires, e.deadline)
	t.add(key, e, nil, time.Now().Add(t.server.limits.Linger))
}

// rememberRelease keeps a claim that arrives after its release from being granted to nobody. It is not written, since
// losing it costs no safety.
func (t *tenure) rememberRelease(key Key, call string, now int64) {
	old := t.entries[key]
	if (old != nil && old.batch != nil) || (old == nil && t.server.entries.Load() >= int64(t.server.limits.MaxEntries)) {
		return
	}
	e := &entry{state: released, call: call, deadline: now + releaseMemory.Milliseconds()}
	e.expires = e.deadline
	if old != nil {
		e.expires = max(e.expires, old.expires)
	}
	t.replace(key, old, e)
}

// change applies decide to the entry of the key and waits until the result is durable.
func (t *tenure) change(ctx context.Context, key Key, decide func(*entry, int64) (peerpb.ClaimState, *batch)) peerpb.ClaimState {
	t.mu.Lock()
	if t.ended {
		t.mu.Unlock()
		return peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER
	}
	now := t.server.nowMs()
	state, pending := decide(t.find(key, now), now)
	t.mu.Unlock()
	if pending == nil || t.wait(ctx, key, nil, pending, false) {
		return state
	}
	return t.refusal()
}

// add appends the state of e to the open batch.
func (t *tenure) add(key Key, e *entry, answer []byte, due time.Time) {
	r := record{
		State: e.state, Key: key[:], Body: e.body[:], Call: e.call,
		Deadline: e.deadline, Expires: e.expires, Answer: answer,
	}
	t.addRecord(e, r, due, r.size())
}

// addRecord appends a record of e to the open batch and counts charge bytes as pending.
func (t *tenure) addRecord(e *entry, r record, due time.Time, charge int) {
	size := r.size()
	var b *batch
	if n := len(t.queue); n > 0 && !t.queue[n-1].sealed && t.queue[n-1].bytes+size <= segmentBytes {
		b = t.queue[n-1]
	} else {
		b = &batch{due: due, done: make(chan struct{})}
		t.queue = append(t.queue, b)
	}
	if due.Before(b.due) {
		b.due = due
	}
	b.records = append(b.records, r)
	b.bytes += size
	b.charged += charge
	t.pendingBytes += charge
	e.batch = b
	t.signal()
}

// hasten makes a batch due as if it held a claim, since a caller waits for it.
func (t *tenure) hasten(b *batch) {
	if now := time.Now(); now.Before(b.due) {
		b.due = now
		t.signal()
	}
}

// signal makes the writer look at the queue.
func (t *tenure) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// wait returns true when the batch is durable. With e it also ends a wait that tryClaim counted.
func (t *tenure) wait(ctx context.Context, key Key, e *entry, b *batch, claiming bool) bool {
	ok := t.waitDone(ctx, b, claiming)
	t.mu.Lock()
	defer t.mu.Unlock()
	if e != nil {
		e.waiters--
		if !ok && !t.ended {
			t.releaseUngranted(key, e)
		}
	}
	return ok
}

// waitDone waits for the batch. When claiming, it gives up soon after writes began to fail, so that claims are refused
// promptly during an outage of the store.
func (t *tenure) waitDone(ctx context.Context, b *batch, claiming bool) bool {
	check := time.NewTicker(stallLimit)
	defer check.Stop()
	for {
		select {
		case <-b.done:
			return ctx.Err() == nil
		case <-t.lost:
			return false
		case <-ctx.Done():
			return false
		case <-check.C:
			t.mu.Lock()
			stalled := t.stalled()
			t.mu.Unlock()
			if claiming && stalled {
				return false
			}
		}
	}
}

// refusal is the state to report when a wait failed.
func (t *tenure) refusal() peerpb.ClaimState {
	select {
	case <-t.lost:
		return peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER
	default:
		return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE
	}
}

// refused says what is known of a key whose claim was not granted. A caller whose earlier request may have run must not
// be answered that the work did not run, even while the store is down. The evidence is looked at here, after the claim
// was received, so that a pause in between cannot make it appear fresh.
func (t *tenure) refused(key Key, call string) peerpb.ClaimState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER
	}
	e := t.find(key, t.server.nowMs())
	switch {
	case e == nil, e.call == call, e.state == released:
		if !t.proven() {
			t.server.count("refused-without-evidence")
			return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE
		}
		return peerpb.ClaimState_CLAIM_STATE_REFUSED
	case e.state == completed:
		// The work ran, but its answer cannot be read now.
		return peerpb.ClaimState_CLAIM_STATE_REPLAY
	}
	return peerpb.ClaimState_CLAIM_STATE_UNKNOWN
}

// releaseUngranted releases the key if e is a durable claim that nobody waits for and that was never granted. Without it,
// the keys of callers that were refused during an outage would read as unknown for the whole retention.
func (t *tenure) releaseUngranted(key Key, e *entry) {
	if t.entries[key] != e || e.state != claimed || e.granted || e.waiters > 0 || e.batch != nil {
		return
	}
	t.server.count("ungranted-released")
	t.addRelease(key, e, t.server.nowMs())
}

// sweep forgets entries that expired.
func (t *tenure) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.server.nowMs()
	for key, e := range t.entries {
		if e.batch == nil && t.find(key, now) == nil {
			e.point(nil, 0)
			delete(t.entries, key)
			t.server.entries.Add(-1)
		}
	}
}
