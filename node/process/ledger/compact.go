package ledger

import (
	"context"
	"time"

	"github.com/radishstand/radishstand/node/connection/platform"
)

// compact rewrites the live records of the oldest rows as ordinary segments, and deletes the oldest rows that hold no live
// record. A crash between the two leaves records stored twice; the later one is valid. It returns false when the ownership
// has ended.
func (o *rangeOwnership) compact() bool {
	o.mu.Lock()
	toDelete, toRewrite := o.removableRows(), o.rowsToRewrite()
	o.mu.Unlock()
	if toDelete > 0 && !o.deleteRows(toDelete) {
		return false
	}
	if toRewrite > 0 {
		o.rewriteRows(toRewrite)
	}
	return true
}

// removableRows returns the number of the oldest rows to delete, which hold no live records, or 0 while there are too few.
// Rows are deleted in the order of writing only, so that no record outlives a later record of its key.
func (o *rangeOwnership) removableRows() int {
	n := 0
	for n < len(o.segments) && n < maxDeleteRows && o.segments[n].live == 0 {
		n++
	}
	if n < min(o.server.limits.MaxRows/2+1, maxDeleteRows) {
		return 0
	}
	return n
}

// rowsToRewrite returns the number of the oldest rows to rewrite. The allowed number of rows grows with the live bytes,
// which keeps the rewritten bytes in proportion to the written ones.
func (o *rangeOwnership) rowsToRewrite() int {
	live := 0
	for _, s := range o.segments {
		live += s.liveBytes
	}
	if o.lastRewrite != nil && !o.lastRewrite.durable || len(o.segments) <= o.server.limits.MaxRows+2*live/segmentBytes {
		return 0
	}
	n, size := 0, 0
	for n < len(o.segments) && n < maxRewriteRows && size < maxRewriteBytes {
		size += o.segments[n].liveBytes
		n++
	}
	if size == 0 {
		return 0
	}
	return n
}

// rewriteRows reads the n oldest rows and queues their live records for writing.
func (o *rangeOwnership) rewriteRows(n int) {
	o.mu.Lock()
	if o.ended || len(o.segments) < n {
		o.mu.Unlock()
		return
	}
	segmentsBySort := make(map[string]*segment, n)
	for _, s := range o.segments[:n] {
		segmentsBySort[s.sort] = s
	}
	first := o.segments[0].sort
	o.mu.Unlock()

	var rows []platform.Item
	err := o.callStore(func(ctx context.Context) (err error) {
		rows, err = o.server.table.Query(ctx, partitionOf(o.index), first, n)
		return err
	})
	if err != nil {
		return
	}
	for _, row := range rows {
		s := segmentsBySort[row.Key.Sort]
		if s == nil {
			continue
		}
		records, err := decodeSegment(row.Data)
		if err != nil {
			o.server.log("failed to decode segment", "range", o.index, "segment", s.sort, "error", err)
			return
		}
		o.rewriteRecords(s, records)
	}
}

// rewriteRecords queues those of the records, which were read from s, that are live.
func (o *rangeOwnership) rewriteRecords(s *segment, records []record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	due := time.Now().Add(o.server.limits.Linger)
	seen := make(map[Key]bool, len(records))
	for i := len(records) - 1; i >= 0; i-- {
		r := records[i]
		key := Key(r.Key)
		e := o.entries[key]
		if e == nil || seen[key] || e.segment != s || e.batch != nil {
			continue
		}
		seen[key] = true
		if r.Expires <= o.server.nowMs() || r.State != e.state {
			e.setSegment(nil, 0)
			continue
		}
		o.appendRecord(e, r, due, 0)
		o.lastRewrite = e.batch
	}
}

// deleteRows deletes the n oldest rows. It raises the epoch in the same transaction, since otherwise an earlier attempt to
// write one of these rows could still take effect and restore the row.
func (o *rangeOwnership) deleteRows(n int) bool {
	o.mu.Lock()
	if o.ended {
		o.mu.Unlock()
		return false
	}
	writes := []platform.Write{epochWrite(o.index, o.epoch, o.id, o.server.self)}
	for _, s := range o.segments[:n] {
		key := platform.Key{Partition: partitionOf(o.index), Sort: s.sort}
		writes = append(writes, platform.Write{Kind: platform.Delete, Item: platform.Item{Key: key}})
	}
	o.mu.Unlock()
	ok := o.persist(func(ctx context.Context) (bool, error) {
		return o.server.rangeRowMatches(ctx, o.index, o.epoch+1, o.id)
	}, writes...)
	if !ok {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.epoch++
	o.segments = append([]*segment(nil), o.segments[n:]...)
	o.server.count("rows-dropped")
	return true
}

// epochWrite returns the write that raises the epoch of a range from fromEpoch to fromEpoch+1, on the condition that the
// range row still has fromEpoch, or does not exist if fromEpoch is 0.
func epochWrite(index int, fromEpoch, ownershipID int64, holder string) platform.Write {
	w := platform.Write{
		Kind: platform.Put,
		Item: platform.Item{
			Key:     rangeKey(index),
			Numbers: map[string]int64{numberEpoch: fromEpoch + 1, numberOwnership: ownershipID},
			Data:    []byte(holder),
		},
		Condition: platform.Condition{Equal: map[string]int64{numberEpoch: fromEpoch}},
	}
	if fromEpoch == 0 {
		w.Condition = platform.Condition{Absent: true}
	}
	return w
}
