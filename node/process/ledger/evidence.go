package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
)

// evidence records a check that found that no other node had taken over the range.
type evidence struct {
	// checkedAt is the time at which the check began.
	checkedAt time.Time
	// witnesses are the members that may have raised the epoch of the range since then.
	witnesses map[string]bool
}

// EpochPeers requests the epochs of ranges from other members.
type EpochPeers interface {
	// Epochs sends the epochs that this node knows, and returns those that the member knows.
	Epochs(ctx context.Context, member string, r *peerpb.EpochsRequest) (*peerpb.EpochsReply, error)
}

// beginCheck returns the evidence that a check beginning now provides if it succeeds.
func (s *Server) beginCheck(index int) evidence {
	members := map[string]bool{}
	if s.witnesses != nil {
		for _, m := range s.witnesses(index) {
			members[m] = true
		}
	}
	return evidence{checkedAt: time.Now(), witnesses: members}
}

// recordEvidence stores the evidence of a successful check unless there is newer evidence.
func (o *rangeOwnership) recordEvidence(e evidence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.checkedAt.After(o.evidence.checkedAt) {
		o.evidence = e
	}
}

// hasValidEvidence reports whether the holder may refuse claims as not-run. The next holder grants nothing until evidence
// from before its take-over is older than maxEvidenceAge, so nothing has been granted elsewhere. The caller holds mu.
func (o *rangeOwnership) hasValidEvidence() bool { return age(o.evidence.checkedAt) < maxEvidenceAge }

// age returns the time since at by the monotonic or the wall clock, whichever shows more: the monotonic clock stops while
// the machine sleeps, and the wall clock may be set back.
func age(at time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// renewEvidence starts a round of checks if the evidence is older than checkRoundInterval, and waits for the round if there
// is no valid evidence.
func (s *Server) renewEvidence(ctx context.Context, o *rangeOwnership) {
	o.mu.Lock()
	recent, hasValidEvidence := age(o.evidence.checkedAt) < checkRoundInterval, o.hasValidEvidence()
	o.mu.Unlock()
	if recent {
		return
	}
	round := s.startCheckRound()
	if round == nil || hasValidEvidence {
		return
	}
	select {
	case <-round:
	case <-ctx.Done():
	}
}

// checkRounds lets one round of checks run at a time, and keeps checkRoundInterval between the starts of two rounds
// whatever the rate of claims.
type checkRounds struct {
	mu      sync.Mutex
	running chan struct{}
	started time.Time
}

// startCheckRound starts a round of checks unless one is running, and returns a channel that is closed at its end. It
// returns nil if the last round started less than checkRoundInterval ago or the server is closed.
func (s *Server) startCheckRound() <-chan struct{} {
	r := &s.checkRounds
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running != nil {
		return r.running
	}
	if time.Since(r.started) < checkRoundInterval || s.ctx.Err() != nil {
		return nil
	}
	end := make(chan struct{})
	r.running, r.started = end, time.Now()
	go func() {
		s.runCheckRound()
		r.mu.Lock()
		r.running = nil
		r.mu.Unlock()
		close(end)
	}()
	return end
}

// rangeCheck is the check of one held range in a round.
type rangeCheck struct {
	ownership *rangeOwnership
	epoch     int64
	// before is the evidence at the start of the round, after the evidence if the check succeeds.
	before evidence
	after  evidence
}

// runCheckRound checks all ranges held here. It sends each witness one message about all its ranges, and reads the range
// rows of those ranges whose writes do not fail.
func (s *Server) runCheckRound() {
	ctx, cancel := context.WithTimeout(s.ctx, epochsTimeout)
	defer cancel()
	var group sync.WaitGroup
	var checks []rangeCheck
	for i := range s.slots {
		s.slots[i].mu.Lock()
		o := s.slots[i].ownership
		s.slots[i].mu.Unlock()
		if o == nil {
			continue
		}
		check, failing := o.newRangeCheck()
		checks = append(checks, check)
		if !failing {
			group.Go(func() { o.verifyRangeRow(ctx) })
		}
	}
	replies := s.requestEpochs(ctx, epochRequests(checks))
	for _, check := range checks {
		if check.confirmed(replies) {
			check.ownership.recordEvidence(check.after)
			s.count("evidence-by-witnesses")
		}
	}
	group.Wait()
}

// newRangeCheck returns a check of the range, and whether the range's writes fail.
func (o *rangeOwnership) newRangeCheck() (rangeCheck, bool) {
	after := o.server.beginCheck(o.index)
	o.mu.Lock()
	defer o.mu.Unlock()
	// Members that have left or are no longer known remain witnesses, since they may have taken over the range before. Only
	// a check in the store removes them.
	for m := range o.evidence.witnesses {
		after.witnesses[m] = true
	}
	return rangeCheck{ownership: o, epoch: o.epoch, before: o.evidence, after: after}, !o.failingSince.IsZero()
}

// epochRequests returns the request to each witness of the checks.
func epochRequests(checks []rangeCheck) map[string]*peerpb.EpochsRequest {
	requests := map[string]*peerpb.EpochsRequest{}
	for _, check := range checks {
		for m := range check.after.witnesses {
			if requests[m] == nil {
				requests[m] = &peerpb.EpochsRequest{}
			}
			requests[m].Ranges = append(requests[m].Ranges,
				&peerpb.RangeEpoch{Range: int32(check.ownership.index), Epoch: check.epoch})
		}
	}
	return requests
}

// confirmed reports whether all witnesses replied that they know of no higher epoch. A witness of the earlier evidence must
// also have run without a restart since then, since a restart loses the epochs that it knew.
func (c *rangeCheck) confirmed(replies map[string]epochsReply) bool {
	for m := range c.after.witnesses {
		reply, ok := replies[m]
		known := reply.findRange(c.ownership.index)
		if !ok || known == nil || known.GetEpoch() > c.epoch {
			return false
		}
		running := time.Duration(reply.GetRunningUs()) * time.Microsecond
		if c.before.witnesses[m] && running-running/clockDriftDivisor < reply.receivedAt.Sub(c.before.checkedAt) {
			return false
		}
	}
	return true
}

// epochsReply is a reply with its time of arrival.
type epochsReply struct {
	*peerpb.EpochsReply
	receivedAt time.Time
}

func (r epochsReply) findRange(index int) *peerpb.RangeEpoch {
	for _, known := range r.GetRanges() {
		if int(known.GetRange()) == index {
			return known
		}
	}
	return nil
}

// requestEpochs sends each member its request, and returns the replies that arrive before ctx is done.
func (s *Server) requestEpochs(ctx context.Context, requests map[string]*peerpb.EpochsRequest) map[string]epochsReply {
	var mu sync.Mutex
	var group sync.WaitGroup
	replies := make(map[string]epochsReply, len(requests))
	for member, request := range requests {
		if s.epochPeers == nil || member == s.self {
			continue
		}
		group.Go(func() {
			s.count("epochs-asked")
			reply, err := s.epochPeers.Epochs(ctx, member, request)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[member] = epochsReply{reply, time.Now()}
		})
	}
	group.Wait()
	return replies
}

// HandleEpochs handles the request of a node that took over ranges or that checks the ranges it holds. It ends the
// ownership of a range held here at a lower epoch before it replies, so that no claim is refused as not-run after that.
func (s *Server) HandleEpochs(_ context.Context, r *peerpb.EpochsRequest) (*peerpb.EpochsReply, error) {
	reply := &peerpb.EpochsReply{RunningUs: time.Since(s.started).Microseconds()}
	for _, requested := range r.GetRanges() {
		index := int(requested.GetRange())
		if index < 0 || index >= RangeCount {
			continue
		}
		slot := &s.slots[index]
		slot.mu.Lock()
		slot.highestEpoch = max(slot.highestEpoch, requested.GetEpoch())
		known := &peerpb.RangeEpoch{Range: requested.GetRange(), Epoch: slot.highestEpoch, SettledTenure: slot.settledOwnership}
		o := slot.ownership
		slot.mu.Unlock()
		if o != nil {
			o.endIfOlder(known.GetEpoch())
		}
		reply.Ranges = append(reply.Ranges, known)
	}
	return reply, nil
}

// endIfOlder ends the ownership if its epoch is lower than the given one.
func (o *rangeOwnership) endIfOlder(epoch int64) {
	o.mu.Lock()
	lower := o.epoch < epoch
	o.mu.Unlock()
	if lower {
		o.end()
	}
}
