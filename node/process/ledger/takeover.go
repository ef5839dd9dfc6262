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

// errRangeTaken means that another node took over the range at the same time.
var errRangeTaken = errors.New("ledger: range taken over by another node")

// takeOver raises the epoch of the range and loads its entries. Once the epoch is raised, no earlier holder can write
// any more, so the rows that are read are complete. It returns once no earlier holder refuses claims as not-run any more.
func (s *Server) takeOver(ctx context.Context, index int) (*rangeOwnership, error) {
	id := rand.Int64()
	raiseCtx, cancel := context.WithTimeout(ctx, raiseEpochTimeout)
	defer cancel()
	if err := s.checkLayout(raiseCtx); err != nil {
		return nil, err
	}
	r, err := s.raiseEpoch(raiseCtx, index, id)
	if err != nil {
		return nil, err
	}
	o := newRangeOwnership(s, index, id, r.epoch)
	o.evidence = r.evidence
	settleErr := make(chan error, 1)
	go func() { settleErr <- s.settleOwnership(ctx, index, id, r) }()
	if err := o.load(ctx); err != nil {
		return nil, err
	}
	if err := <-settleErr; err != nil {
		o.end()
		return nil, err
	}
	return o, nil
}

// checkLayout returns an error unless the table is laid out for RangeCount ranges. It records the layout in an empty table.
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

// retryStore calls f with backoff until it succeeds, fails with an error that is not retryable, or ctx is done.
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
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown) ||
		errors.Is(err, platform.ErrCondition)
}

// epochRaise is the result of raising the epoch of a range.
type epochRaise struct {
	epoch int64
	// previousRow is the range row that was replaced.
	previousRow platform.Item
	evidence    evidence
}

// raiseEpoch raises the epoch of the range for the ownership id. If the answer to a write is lost, it reads the range row
// and compares the ownership id. A write that takes effect after raiseEpoch has failed only makes the next holder start
// from a higher epoch.
func (s *Server) raiseEpoch(ctx context.Context, index int, id int64) (epochRaise, error) {
	var r epochRaise
	lostRaces := 0
	err := retryStore(ctx, func(ctx context.Context) error {
		r.evidence = s.beginCheck(index)
		item, err := s.table.Get(ctx, rangeKey(index))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		epoch := item.Numbers[numberEpoch]
		if r.epoch != 0 && epoch == r.epoch && item.Numbers[numberOwnership] == id {
			return nil
		}
		if r.epoch != 0 && epoch >= r.epoch {
			if lostRaces++; lostRaces > 2 {
				return errRangeTaken
			}
		}
		r.epoch, r.previousRow = epoch+1, item
		s.recordEpoch(index, r.epoch)
		return s.table.Transact(ctx, epochWrite(index, epoch, id, s.self))
	})
	return r, err
}

// recordEpoch records an epoch before this node tries to write it, so that HandleEpochs reports it to a holder that checks
// its range during the write.
func (s *Server) recordEpoch(index int, epoch int64) {
	slot := &s.slots[index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.highestEpoch = max(slot.highestEpoch, epoch)
}

// settleOwnership waits until no earlier holder has valid evidence, and records the ownership as settled.
func (s *Server) settleOwnership(ctx context.Context, index int, id int64, r epochRaise) error {
	if !s.noEarlierEvidence(index, r) {
		if err := s.waitOutEvidence(ctx, index, r); err != nil {
			return err
		}
	}
	slot := &s.slots[index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.settledOwnership = id
	return nil
}

// noEarlierEvidence reports whether no other node can have valid evidence from an earlier ownership: there is no earlier
// holder, the last one marked the range as free, or it was this node with a settled ownership.
func (s *Server) noEarlierEvidence(index int, r epochRaise) bool {
	slot := &s.slots[index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	return r.epoch == 1 || r.previousRow.Numbers[numberFree] == 1 ||
		r.previousRow.Numbers[numberOwnership] == slot.settledOwnership
}

// waitOutEvidence waits until earlier holders have no valid evidence. It asks the last holder to end its ownership; if that
// ownership was settled, the holders before it have no evidence either. Meanwhile, it announces the new epoch, so that no
// witness confirms an earlier holder any more, and waits until the evidence from before the announcement has expired.
func (s *Server) waitOutEvidence(ctx context.Context, index int, r epochRaise) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	requestCtx, cancelRequests := context.WithCancel(ctx)
	go func() {
		s.announceEpoch(ctx, index, r)
		_ = wait.For(ctx, maxEvidenceAge+evidenceClockMargin)
		cancelRequests()
	}()
	for {
		if s.lastHolderReleased(requestCtx, index, r) {
			return nil
		}
		// The last holder's own ownership may settle in the meantime, so it is asked again.
		retry := time.NewTimer(lastHolderPollInterval)
		select {
		case <-requestCtx.Done():
			retry.Stop()
			s.count("take-overs-waited")
			return ctx.Err()
		case <-retry.C:
		}
	}
}

// lastHolderReleased asks the last holder to end its ownership, and reports whether it replied that this ownership was
// settled.
func (s *Server) lastHolderReleased(ctx context.Context, index int, r epochRaise) bool {
	ctx, cancel := context.WithTimeout(ctx, epochsTimeout)
	defer cancel()
	holder := string(r.previousRow.Data)
	if holder == "" {
		return false
	}
	known := s.requestEpochs(ctx, r.requests(index, map[string]bool{holder: true}))[holder].findRange(index)
	return known != nil && known.GetSettledTenure() == r.previousRow.Numbers[numberOwnership]
}

// announceEpoch sends the new epoch to the witnesses of the range.
func (s *Server) announceEpoch(ctx context.Context, index int, r epochRaise) {
	ctx, cancel := context.WithTimeout(ctx, epochsTimeout)
	defer cancel()
	s.requestEpochs(ctx, r.requests(index, r.evidence.witnesses))
}

// requests returns a request with the new epoch for each member.
func (r epochRaise) requests(index int, members map[string]bool) map[string]*peerpb.EpochsRequest {
	requests := make(map[string]*peerpb.EpochsRequest, len(members))
	for m := range members {
		requests[m] = &peerpb.EpochsRequest{Ranges: []*peerpb.RangeEpoch{{Range: int32(index), Epoch: r.epoch}}}
	}
	return requests
}

// markFree records in the range row that the holder has released the range. Without it, the next holder waits until this
// holder's evidence has expired.
func (s *Server) markFree(ctx context.Context, o *rangeOwnership) {
	w := epochWrite(o.index, o.epoch-1, o.id, o.server.self)
	w.Item.Numbers[numberFree] = 1
	w.Condition = platform.Condition{Equal: map[string]int64{numberEpoch: o.epoch, numberOwnership: o.id}}
	if err := s.table.Transact(ctx, w); err != nil {
		s.log("failed to mark range as free", "range", o.index, "error", err)
	}
}

// rangeRowMatches reports whether the range row has this epoch and ownership id.
func (s *Server) rangeRowMatches(ctx context.Context, index int, epoch, id int64) (bool, error) {
	item, err := s.table.Get(ctx, rangeKey(index))
	if err != nil {
		return false, err
	}
	return item.Numbers[numberEpoch] == epoch && item.Numbers[numberOwnership] == id, nil
}

// load reads all segments of the range into memory.
func (o *rangeOwnership) load(ctx context.Context) error {
	from := segmentPrefix
	for {
		var rows []platform.Item
		err := retryStore(ctx, func(ctx context.Context) (err error) {
			rows, err = o.server.table.Query(ctx, partitionOf(o.index), from, loadPageRows)
			return err
		})
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := o.loadRow(row); err != nil {
				return err
			}
			from = row.Key.Sort + "\x00"
		}
		if len(rows) == 0 {
			break
		}
	}
	o.server.entries.Add(int64(len(o.entries)))
	o.sweep()
	return nil
}

func (o *rangeOwnership) loadRow(row platform.Item) error {
	records, err := decodeSegment(row.Data)
	if err != nil {
		return fmt.Errorf("segment %q of range %d: %w", row.Key.Sort, o.index, err)
	}
	s := &segment{sort: row.Key.Sort, bytes: len(row.Data)}
	o.segments = append(o.segments, s)
	for i := range records {
		r := &records[i]
		e := o.entries[Key(r.Key)]
		if e == nil {
			e = &entry{}
			o.entries[Key(r.Key)] = e
		}
		e.state, e.call, e.deadline, e.expires = r.State, r.Call, r.Deadline, r.Expires
		e.body = Hash{}
		copy(e.body[:], r.Body)
		e.answer, e.granted = len(r.Answer) > 0, true
		e.setSegment(s, r.size())
	}
	return nil
}
