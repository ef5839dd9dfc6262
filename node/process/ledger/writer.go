package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/radishstand/radishstand/node/connection/platform"
)

// rowExpiryMargin keeps rows longer than their records, since the platform expires rows by its own clock.
const rowExpiryMargin = time.Hour

// run writes batches and compacts the range until the ownership ends.
func (o *rangeOwnership) run() {
	defer o.server.ownerships.Done()
	defer o.server.ownershipEnded(o)
	defer o.end()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	check := time.NewTicker(rangeRowCheckInterval)
	defer check.Stop()
	for {
		b, wait := o.nextBatch()
		if b != nil {
			if !o.writeBatch(b) || !o.compact() {
				return
			}
			continue
		}
		due := time.NewTimer(wait)
		select {
		case <-o.done:
			due.Stop()
			return
		case <-o.wake:
		case <-due.C:
		case <-check.C:
			go o.verifyRangeRow(o.server.ctx)
		case <-sweep.C:
			o.sweep()
			if !o.compact() {
				return
			}
		}
		due.Stop()
	}
}

// nextBatch seals and returns the first batch if it is due. Otherwise it returns how long to wait for one.
func (o *rangeOwnership) nextBatch() (*batch, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended || len(o.queue) == 0 {
		return nil, sweepInterval
	}
	b, now := o.queue[0], time.Now()
	if full := len(o.queue) > 1; !full {
		if now.Before(b.due) {
			return nil, b.due.Sub(now)
		}
		r := o.writeLimiter.ReserveN(now, 1)
		if wait := r.DelayFrom(now); wait > 0 {
			r.CancelAt(now)
			return nil, wait
		}
	}
	b.sealed = true
	return b, 0
}

// writeBatch writes a batch as a segment. It returns false when the ownership has ended.
func (o *rangeOwnership) writeBatch(b *batch) bool {
	data, err := encodeSegment(b.records)
	if err != nil {
		o.server.log("failed to encode segment", "range", o.index, "error", err)
		return false
	}
	o.sequence++
	row := platform.Item{
		Key:     platform.Key{Partition: partitionOf(o.index), Sort: segmentSort(o.epoch, o.sequence)},
		Numbers: map[string]int64{numberOwnership: o.id},
		Data:    data,
	}
	for _, r := range b.records {
		row.ExpiresUnix = max(row.ExpiresUnix, r.Expires/1000+int64(rowExpiryMargin.Seconds()))
	}
	ok := o.persist(func(ctx context.Context) (bool, error) {
		found, err := o.server.table.Get(ctx, row.Key)
		return err == nil && found.Numbers[numberOwnership] == o.id, err
	},
		platform.Write{
			Kind:      platform.Check,
			Item:      platform.Item{Key: rangeKey(o.index)},
			Condition: platform.Condition{Equal: map[string]int64{numberEpoch: o.epoch}},
		},
		platform.Write{Kind: platform.Put, Item: row, Condition: platform.Condition{Absent: true}},
	)
	return ok && o.markDurable(b, &segment{sort: row.Key.Sort, bytes: len(data)})
}

// persist repeats a transaction until it is certain whether it took effect. After a failed condition, it calls applied,
// which reads back whether an earlier attempt took effect. It returns false when the transaction did not and will not take
// effect, or when the ownership has ended.
func (o *rangeOwnership) persist(applied func(context.Context) (bool, error), writes ...platform.Write) bool {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		check := o.server.beginCheck(o.index)
		err := o.callStore(func(ctx context.Context) error { return o.server.table.Transact(ctx, writes...) })
		if err == nil {
			// Every transaction of a holder has a condition on the epoch, so its success is evidence.
			o.recordEvidence(check)
		}
		if errors.Is(err, platform.ErrCondition) {
			var ok bool
			err = o.callStore(func(ctx context.Context) (err error) {
				ok, err = applied(ctx)
				return err
			})
			if errors.Is(err, platform.ErrNotFound) || (err == nil && !ok) {
				return false
			}
		}
		o.recordStoreResult(err)
		if err == nil {
			return true
		}
		o.server.count("store-retries")
		if !o.sleepWithJitter(backoff) {
			return false
		}
	}
}

// callStore calls f with a timeout and counts the call.
func (o *rangeOwnership) callStore(f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	o.server.count("store-calls")
	return f(ctx)
}

// recordStoreResult sets or clears failingSince after an attempt to write.
func (o *rangeOwnership) recordStoreResult(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.failingSince = time.Time{}
	} else if o.failingSince.IsZero() {
		o.failingSince = time.Now()
	}
}

// sleepWithJitter waits for d/2 to d. It returns false when the ownership has ended.
func (o *rangeOwnership) sleepWithJitter(d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-o.done:
		return false
	case <-timer.C:
		return true
	}
}

// markDurable records that the first batch of the queue is durable in segment s. It returns false when the ownership has
// ended, so that the writer does not write the batch again.
func (o *rangeOwnership) markDurable(b *batch, s *segment) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return false
	}
	o.segments = append(o.segments, s)
	o.queue = o.queue[1:]
	o.pendingBytes -= b.pendingBytes
	b.durable = true
	close(b.done)
	for i := len(b.records) - 1; i >= 0; i-- {
		key := Key(b.records[i].Key)
		if e := o.entries[key]; e != nil && e.batch == b {
			e.batch = nil
			e.setSegment(s, b.records[i].size())
			o.releaseIfUngranted(key, e)
		}
	}
	// Waiters keep a reference to the batch. This frees the memory of its records and answers.
	b.records = nil
	return true
}
