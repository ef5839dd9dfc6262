package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/internal/wait"
)

// errLostRange means that another node took the range at the same time.
var errLostRange = errors.New("ledger: another node took the range")

// takeOver raises the epoch of the range and loads its entries. Once the epoch is raised, no earlier holder can write
// any more, so the rows that are read are complete. It returns when no earlier holder refuses claims as not-run any more.
func (s *Server) takeOver(ctx context.Context, index int) (*tenure, error) {
	id := rand.Int64()
	raising, cancel := context.WithTimeout(ctx, raiseTimeout)
	defer cancel()
	if err := s.checkLayout(raising); err != nil {
		return nil, err
	}
	r, err := s.raiseEpoch(raising, index, id)
	if err != nil {
		return nil, err
	}
	t := newTenure(s, index, id, r.epoch)
	t.proof = r.check
	settled := make(chan error, 1)
	go func() { settled <- s.settle(ctx, index, id, r) }()
	if err := t.load(ctx); err != nil {
		return nil, err
	}
	if err := <-settled; err != nil {
		t.end()
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

// raised is what raising the epoch gave.
type raised struct {
	epoch int64
	// before is the range row that was replaced.
	before platform.Item
	check  evidence
}

// raiseEpoch returns the epoch that this tenure got. An attempt whose answer is lost is read back by the tenure's id; one
// that takes effect after this gives up only makes the next holder start from a higher epoch.
func (s *Server) raiseEpoch(ctx context.Context, index int, id int64) (raised, error) {
	var r raised
	lost := 0
	err := retryStore(ctx, func(ctx context.Context) error {
		r.check = s.beginCheck(index)
		item, err := s.table.Get(ctx, rangeKey(index))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		epoch := item.Numbers[numberEpoch]
		if r.epoch != 0 && epoch == r.epoch && item.Numbers[numberTenure] == id {
			return nil
		}
		if r.epoch != 0 && epoch >= r.epoch {
			if lost++; lost > 2 {
				return errLostRange
			}
		}
		r.epoch, r.before = epoch+1, item
		s.noteEpoch(index, r.epoch)
		return s.table.Transact(ctx, raise(index, epoch, id, s.self))
	})
	return r, err
}

// noteEpoch takes note of an epoch before this node tries to take it, so that a holder that asks meanwhile learns of it.
func (s *Server) noteEpoch(index int, epoch int64) {
	slot := &s.slots[index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.known = max(slot.known, epoch)
}

// settle returns when no earlier holder has evidence that the range is still its own, and takes note of this.
func (s *Server) settle(ctx context.Context, index int, id int64, r raised) error {
	if !s.settledBefore(index, r) {
		if err := s.outlast(ctx, index, r); err != nil {
			return err
		}
	}
	slot := &s.slots[index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.settled = id
	return nil
}

// settledBefore reports whether there is no earlier holder with evidence other than this node.
func (s *Server) settledBefore(index int, r raised) bool {
	slot := &s.slots[index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	return r.epoch == 1 || r.before.Numbers[numberFree] == 1 || r.before.Numbers[numberTenure] == slot.settled
}

// outlast returns when the evidence of earlier holders is over. The last holder is asked to give the range up; if it has
// settled in its tenure, the ones before it have no evidence either. Meanwhile the new epoch is made known, so that no
// witness vouches for an earlier holder any more, and evidence from before that is left to expire.
func (s *Server) outlast(ctx context.Context, index int, r raised) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asking, expire := context.WithCancel(ctx)
	go func() {
		s.announce(ctx, index, r)
		_ = wait.For(ctx, evidenceBound+evidenceMargin)
		expire()
	}()
	for {
		if s.lastHolderGaveUp(asking, index, r) {
			return nil
		}
		// The last holder may be about to settle itself, so it is asked again.
		again := time.NewTimer(askEvery)
		select {
		case <-asking.Done():
			again.Stop()
			s.count("take-overs-waited")
			return ctx.Err()
		case <-again.C:
		}
	}
}

func (s *Server) lastHolderGaveUp(ctx context.Context, index int, r raised) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	holder := string(r.before.Data)
	if holder == "" {
		return false
	}
	known := s.ask(ctx, r.requests(index, map[string]bool{holder: true}))[holder].find(index)
	return known != nil && known.GetSettledTenure() == r.before.Numbers[numberTenure]
}

// announce makes the new epoch known to the witnesses of the range.
func (s *Server) announce(ctx context.Context, index int, r raised) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s.ask(ctx, r.requests(index, r.check.witnesses))
}

func (r raised) requests(index int, members map[string]bool) map[string]*peerpb.EpochsRequest {
	requests := make(map[string]*peerpb.EpochsRequest, len(members))
	for m := range members {
		requests[m] = &peerpb.EpochsRequest{Ranges: []*peerpb.RangeEpoch{{Range: int32(index), Epoch: r.epoch}}}
	}
	return requests
}

// free records that the holder has given the range up. Without the record, the next holder waits for its evidence to
// expire.
func (s *Server) free(ctx context.Context, t *tenure) {
	w := raise(t.index, t.epoch-1, t.id, t.server.self)
	w.Item.Numbers[numberFree] = 1
	w.Condition = platform.Condition{Equal: map[string]int64{numberEpoch: t.epoch, numberTenure: t.id}}
	if err := s.table.Transact(ctx, w); err != nil {
		s.log("giving up a range is not recorded", "range", t.index, "error", err)
	}
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
