package ledger

import (
	"context"
	"time"

	"github.com/radishstand/radishstand/node/connection/platform"
)

// compact writes the live records of the oldest rows again, as ordinary segments, and removes the oldest rows that hold
// no live record. A crash between the two leaves records twice, of which the later one decides. It returns false when the
// tenure is over.
func (t *tenure) compact() bool {
	t.mu.Lock()
	dead, moving := t.deadRows(), t.rowsToMove()
	t.mu.Unlock()
	if dead > 0 && !t.drop(dead) {
		return false
	}
	if moving > 0 {
		t.move(moving)
	}
	return true
}

// deadRows returns how many of the oldest rows to remove. Rows are removed only from the oldest on, so that no record
// outlives a later record of its key.
func (t *tenure) deadRows() int {
	n := 0
	for n < len(t.segments) && n < maxDropRows && t.segments[n].live == 0 {
		n++
	}
	if n < min(t.server.limits.MaxRows/2+1, maxDropRows) {
		return 0
	}
	return n
}

// rowsToMove returns how many of the oldest rows to rewrite. The allowance of rows grows with the live bytes, which keeps
// the bytes rewritten in proportion to those written.
func (t *tenure) rowsToMove() int {
	live := 0
	for _, s := range t.segments {
		live += s.liveBytes
	}
	if t.moving != nil && !t.moving.durable || len(t.segments) <= t.server.limits.MaxRows+2*live/segmentBytes {
		return 0
	}
	n, size := 0, 0
	for n < len(t.segments) && n < maxMoveRows && size < maxMoveBytes {
		size += t.segments[n].liveBytes
		n++
	}
	if size == 0 {
		return 0
	}
	return n
}

// move queues the live records of the n oldest rows.
func (t *tenure) move(n int) {
	t.mu.Lock()
	if t.ended || len(t.segments) < n {
		t.mu.Unlock()
		return
	}
	bySort := make(map[string]*segment, n)
	for _, s := range t.segments[:n] {
		bySort[s.sort] = s
	}
	first := t.segments[0].sort
	t.mu.Unlock()

	var rows []platform.Item
	err := t.try(func(ctx context.Context) (err error) {
		rows, err = t.server.table.Query(ctx, partitionOf(t.index), first, n)
		return err
	})
	if err != nil {
		return
	}
	for _, row := range rows {
		s := bySort[row.Key.Sort]
		if s == nil {
			continue
		}
		records, err := decodeSegment(row.Data)
		if err != nil {
			t.server.log("segment cannot be read", "range", t.index, "segment", s.sort, "error", err)
			return
		}
		t.moveRecords(s, records)
	}
}

func (t *tenure) moveRecords(s *segment, records []record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := time.Now().Add(t.server.limits.Linger)
	seen := make(map[Key]bool, len(records))
	for i := len(records) - 1; i >= 0; i-- {
		r := records[i]
		key := Key(r.Key)
		e := t.entries[key]
		if e == nil || seen[key] || e.segment != s || e.batch != nil {
			continue
		}
		seen[key] = true
		if r.Expires <= t.server.nowMs() || r.State != e.state {
			e.point(nil, 0)
			continue
		}
		t.addRecord(e, r, due, 0)
		t.moving = e.batch
	}
}

// drop removes the n oldest rows. It raises the epoch in the same transaction, since otherwise a late effect of an
// earlier try to write one of these rows could bring the row back.
func (t *tenure) drop(n int) bool {
	t.mu.Lock()
	if t.ended {
		t.mu.Unlock()
		return false
	}
	writes := []platform.Write{raise(t.index, t.epoch, t.id, t.server.self)}
	for _, s := range t.segments[:n] {
		key := platform.Key{Partition: partitionOf(t.index), Sort: s.sort}
		writes = append(writes, platform.Write{Kind: platform.Delete, Item: platform.Item{Key: key}})
	}
	t.mu.Unlock()
	ok := t.persist(func(ctx context.Context) (bool, error) {
		return t.server.holds(ctx, t.index, t.epoch+1, t.id)
	}, writes...)
	if !ok {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch++
	t.segments = append([]*segment(nil), t.segments[n:]...)
	t.server.count("rows-dropped")
	return true
}

// raise is the write that takes the epoch of a range from one number to the next.
func raise(index int, from, tenure int64, holder string) platform.Write {
	w := platform.Write{
		Kind: platform.Put,
		Item: platform.Item{
			Key:     rangeKey(index),
			Numbers: map[string]int64{numberEpoch: from + 1, numberTenure: tenure},
			Data:    []byte(holder),
		},
		Condition: platform.Condition{Equal: map[string]int64{numberEpoch: from}},
	}
	if from == 0 {
		w.Condition = platform.Condition{Absent: true}
	}
	return w
}
