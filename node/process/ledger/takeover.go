package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/radishstand/radishstand/node/connection/platform"
)

// errLostRange means that another node took the range at the same time.
var errLostRange = errors.New("ledger: another node took the range")

// takeOver raises the epoch of the range and loads its entries. Once the epoch is raised, no earlier holder can write
// any more, so the rows that are read are complete.
func (s *Server) takeOver(ctx context.Context, index int) (*tenure, error) {
	id := rand.Int64()
	raising, cancel := context.WithTimeout(ctx, raiseTimeout)
	defer cancel()
	if err := s.checkLayout(raising); err != nil {
		return nil, err
	}
	epoch, err := s.raiseEpoch(raising, index, id)
	if err != nil {
		return nil, err
	}
	t := newTenure(s, index, id, epoch)
	if err := t.load(ctx); err != nil {
		return nil, err
	}
	return t, nil
}

// checkLayout makes sure that the table is laid out for RangeCount ranges.
func (s *Server) checkLayout(ctx context.Context) error {
	if s.layoutChecked.Load() {
		return nil
	}
	key := platform.Key{Partition: layoutPartition, Sort: layoutSort}
	return retryStore(ctx, func(ctx context.Context) error {
		item, err := s.table.Get(ctx, key)
		if errors.Is(err, platform.ErrNotFound) {
			item = platform.Item{Key: key, Numbers: map[string]int64{numberRanges: RangeCount}}
			err = s.table.Transact(ctx, platform.Write{
				Kind: platform.Put, Item: item, Condition: platform.Condition{Absent: true},
			})
		}
		if err != nil {
			return err
		}
		if n := item.Numbers[numberRanges]; n != RangeCount {
			return fmt.Errorf("ledger: the table has %d ranges, this build has %d", n, RangeCount)
		}
		s.layoutChecked.Store(true)
		return nil
	})
}

// retryStore repeats f while the store fails and ctx allows.
func retryStore(ctx context.Context, f func(context.Context) error) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := f(ctx)
		if err == nil || !retryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		}
	}
}

func retryable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown) ||
		errors.Is(err, platform.ErrCondition)
}

// raiseEpoch returns the epoch that this tenure got. An attempt whose answer is lost is read back by the tenure's id; one
// that takes effect after this gives up only makes the next holder start from a higher epoch.
func (s *Server) raiseEpoch(ctx context.Context, index int, id int64) (int64, error) {
	var proposed int64
	lost := 0
	err := retryStore(ctx, func(ctx context.Context) error {
		item, err := s.table.Get(ctx, rangeKey(index))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		epoch := item.Numbers[numberEpoch]
		if proposed != 0 && epoch == proposed && item.Numbers[numberTenure] == id {
			return nil
		}
		if proposed != 0 && epoch >= proposed {
			if lost++; lost > 2 {
				return errLostRange
			}
		}
		proposed = epoch + 1
		return s.table.Transact(ctx, raise(index, epoch, id))
	})
	return proposed, err
}

// holds reports whether the range row has this epoch and tenure.
func (s *Server) holds(ctx context.Context, index int, epoch, id int64) (bool, error) {
	item, err := s.table.Get(ctx, rangeKey(index))
	if err != nil {
		return false, err
	}
	return item.Numbers[numberEpoch] == epoch && item.Numbers[numberTenure] == id, nil
}

// load reads all segments of the range.
func (t *tenure) load(ctx context.Context) error {
	from := segmentPrefix
	for {
		var rows []platform.Item
		err := retryStore(ctx, func(ctx context.Context) (err error) {
			rows, err = t.server.table.Query(ctx, partitionOf(t.index), from, loadPage)
			return err
		})
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := t.loadRow(row); err != nil {
				return err
			}
			from = row.Key.Sort + "\x00"
		}
		if len(rows) == 0 {
			break
		}
	}
	t.server.entries.Add(int64(len(t.entries)))
	t.sweep()
	return nil
}

func (t *tenure) loadRow(row platform.Item) error {
	records, err := decodeSegment(row.Data)
	if err != nil {
		return fmt.Errorf("segment %q of range %d: %w", row.Key.Sort, t.index, err)
	}
	s := &segment{sort: row.Key.Sort, bytes: len(row.Data)}
	t.segments = append(t.segments, s)
	for i := range records {
		r := &records[i]
		e := t.entries[Key(r.Key)]
		if e == nil {
			e = &entry{}
			t.entries[Key(r.Key)] = e
		}
		e.state, e.call, e.deadline, e.expires = r.State, r.Call, r.Deadline, r.Expires
		e.body = Hash{}
		copy(e.body[:], r.Body)
		e.answer, e.granted = len(r.Answer) > 0, true
		e.point(s, r.size())
	}
	return nil
}
