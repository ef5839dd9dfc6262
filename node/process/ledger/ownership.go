package ledger

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
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
