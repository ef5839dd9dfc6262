package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/radishstand/radishstand/node/connection/platform"
)

// rowGrace keeps rows longer than their records, since the platform expires rows by its own clock.
const rowGrace = time.Hour

// run writes batches and compacts until the tenure ends.
func (t *tenure) run() {
	defer t.server.tenures.Done()
	defer t.server.lostTenure(t)
	defer t.end()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		b, wait := t.next()
		if b != nil {
			if !t.write(b) || !t.compact() {
				return
			}
			continue
		}
		due := time.NewTimer(wait)
		select {
		case <-t.lost:
			due.Stop()
			return
		case <-t.wake:
		case <-due.C:
		case <-check.C:
			go t.endIfTaken(t.server.ctx)
		case <-sweep.C:
			t.sweep()
			if !t.compact() {
				return
			}
		}
		due.Stop()
	}
}

// next seals and returns the first batch if it is due, or else how long to wait for one.
func (t *tenure) next() (*batch, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || len(t.queue) == 0 {
		return nil, sweepInterval
	}
	b, now := t.queue[0], time.Now()
	if full := len(t.queue) > 1; !full {
		if now.Before(b.due) {
			return nil, b.due.Sub(now)
		}
		r := t.pace.ReserveN(now, 1)
		if wait := r.DelayFrom(now); wait > 0 {
			r.CancelAt(now)
			return nil, wait
		}
	}
	b.sealed = true
	return b, 0
}

// write makes a batch durable. It returns false when the tenure is over.
func (t *tenure) write(b *batch) bool {
	data, err := encodeSegment(b.records)
	if err != nil {
		t.server.log("segment cannot be encoded", "range", t.index, "error", err)
		return false
	}
	t.sequence++
	row := platform.Item{
		Key:     platform.Key{Partition: partitionOf(t.index), Sort: segmentSort(t.epoch, t.sequence)},
		Numbers: map[string]int64{numberTenure: t.id},
		Data:    data,
	}
	for _, r := range b.records {
		row.ExpiresUnix = max(row.ExpiresUnix, r.Expires/1000+int64(rowGrace.Seconds()))
	}
	ok := t.persist(func(ctx context.Context) (bool, error) {
		found, err := t.server.table.Get(ctx, row.Key)
		return err == nil && found.Numbers[numberTenure] == t.id, err
	},
		platform.Write{
			Kind:      platform.Check,
			Item:      platform.Item{Key: rangeKey(t.index)},
			Condition: platform.Condition{Equal: map[string]int64{numberEpoch: t.epoch}},
		},
		platform.Write{Kind: platform.Put, Item: row, Condition: platform.Condition{Absent: true}},
	)
	return ok && t.settle(b, &segment{sort: row.Key.Sort, bytes: len(data)})
}

// persist repeats a transaction until it is certain whether it took effect. After a failed condition, applied reads back
// whether an earlier try took effect. It returns false when the transaction did not and will not take effect, or when the
// tenure ended.
func (t *tenure) persist(applied func(context.Context) (bool, error), writes ...platform.Write) bool {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		check := t.server.beginCheck(t.index)
		err := t.try(func(ctx context.Context) error { return t.server.table.Transact(ctx, writes...) })
		if err == nil {
			// Every transaction of a holder has a condition on the epoch.
			t.prove(check)
		}
		if errors.Is(err, platform.ErrCondition) {
			var ok bool
			err = t.try(func(ctx context.Context) (err error) {
				ok, err = applied(ctx)
				return err
			})
			if errors.Is(err, platform.ErrNotFound) || (err == nil && !ok) {
				return false
			}
		}
		t.noteStore(err)
		if err == nil {
			return true
		}
		t.server.count("store-retries")
		if !t.pause(backoff) {
			return false
		}
	}
}

func (t *tenure) try(f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	t.server.count("store-calls")
	return f(ctx)
}

func (t *tenure) noteStore(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.failingSince = time.Time{}
	} else if t.failingSince.IsZero() {
		t.failingSince = time.Now()
	}
}

// pause waits for d with jitter. It returns false when the tenure ended.
func (t *tenure) pause(d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-t.lost:
		return false
	case <-timer.C:
		return true
	}
}

// settle takes note that the first batch of the queue is durable in segment s. It returns false when the tenure is
// over, so that the writer does not write the batch again.
func (t *tenure) settle(b *batch, s *segment) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return false
	}
	t.segments = append(t.segments, s)
	t.queue = t.queue[1:]
	t.pendingBytes -= b.charged
	b.durable = true
	close(b.done)
	for i := len(b.records) - 1; i >= 0; i-- {
		key := Key(b.records[i].Key)
		if e := t.entries[key]; e != nil && e.batch == b {
			e.batch = nil
			e.point(s, b.records[i].size())
			t.releaseUngranted(key, e)
		}
	}
	// Waiters hold the batch; its answers need not stay in memory with them.
	b.records = nil
	return true
}
