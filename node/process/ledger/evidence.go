package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
)

// evidence is what a holder can show for that no other node has taken its range.
type evidence struct {
	// at is when the last check began by which no other node had raised the epoch of the range.
	at time.Time
	// witnesses are the members that may have raised the epoch since then.
	witnesses map[string]bool
}

// EpochPeers asks other members for what they know of the epochs of ranges.
type EpochPeers interface {
	Epochs(ctx context.Context, member string, r *peerpb.EpochsRequest) (*peerpb.EpochsReply, error)
}

// beginCheck returns the evidence that a check gives that begins now and succeeds.
func (s *Server) beginCheck(index int) evidence {
	members := map[string]bool{}
	if s.witnesses != nil {
		for _, m := range s.witnesses(index) {
			members[m] = true
		}
	}
	return evidence{at: time.Now(), witnesses: members}
}

// prove takes note of evidence from a check that succeeded.
func (t *tenure) prove(e evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.at.After(t.proof.at) {
		t.proof = e
	}
}

// proven reports whether the holder may refuse as not-run. The tenure is locked. The next holder grants nothing before
// evidence from before its take-over is older than evidenceBound, so nothing was granted elsewhere until now.
func (t *tenure) proven() bool { return age(t.proof.at) < evidenceBound }

// age is the time since at by the clock that shows more: the monotonic clock stands still while the machine sleeps, the
// wall clock may be set back.
func age(at time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// renewEvidence makes sure that a round of checks is not long ago, and waits for it when the tenure has no evidence.
func (s *Server) renewEvidence(ctx context.Context, t *tenure) {
	t.mu.Lock()
	recent, proven := age(t.proof.at) < roundInterval, t.proven()
	t.mu.Unlock()
	if recent {
		return
	}
	round := s.startRound()
	if round == nil || proven {
		return
	}
	select {
	case <-round:
	case <-ctx.Done():
	}
}

// rounds makes sure that one round of checks runs at a time, and that rounds keep a distance however many claims come.
type rounds struct {
	mu      sync.Mutex
	running chan struct{}
	begun   time.Time
}

// startRound returns the end of the round that runs, or nil if the last one is over and not long ago.
func (s *Server) startRound() <-chan struct{} {
	r := &s.rounds
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running != nil {
		return r.running
	}
	if time.Since(r.begun) < roundInterval || s.ctx.Err() != nil {
		return nil
	}
	end := make(chan struct{})
	r.running, r.begun = end, time.Now()
	go func() {
		s.round()
		r.mu.Lock()
		r.running = nil
		r.mu.Unlock()
		close(end)
	}()
	return end
}

// question is what a round asks about one held range.
type question struct {
	tenure *tenure
	epoch  int64
	before evidence
	after  evidence
}

// round asks the witnesses of all ranges held here, with one message for each, and reads the range rows of those whose
// writes do not fail.
func (s *Server) round() {
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	var group sync.WaitGroup
	var questions []question
	for i := range s.slots {
		s.slots[i].mu.Lock()
		t := s.slots[i].tenure
		s.slots[i].mu.Unlock()
		if t == nil {
			continue
		}
		q, failing := t.question()
		questions = append(questions, q)
		if !failing {
			group.Go(func() { t.endIfTaken(ctx) })
		}
	}
	replies := s.ask(ctx, requestsOf(questions))
	for _, q := range questions {
		if q.answered(replies) {
			q.tenure.prove(q.after)
			s.count("evidence-by-witnesses")
		}
	}
	group.Wait()
}

// question returns what to ask about the range, and whether its writes fail.
func (t *tenure) question() (question, bool) {
	after := t.server.beginCheck(t.index)
	t.mu.Lock()
	defer t.mu.Unlock()
	// Members that have left or are no longer known are asked as well: they may have taken the range before. Only a check
	// in the store clears them.
	for m := range t.proof.witnesses {
		after.witnesses[m] = true
	}
	return question{tenure: t, epoch: t.epoch, before: t.proof, after: after}, !t.failingSince.IsZero()
}

func requestsOf(questions []question) map[string]*peerpb.EpochsRequest {
	requests := map[string]*peerpb.EpochsRequest{}
	for _, q := range questions {
		for m := range q.after.witnesses {
			if requests[m] == nil {
				requests[m] = &peerpb.EpochsRequest{}
			}
			requests[m].Ranges = append(requests[m].Ranges, &peerpb.RangeEpoch{Range: int32(q.tenure.index), Epoch: q.epoch})
		}
	}
	return requests
}

// answered reports whether all witnesses answered that they know of no higher epoch. A witness that already was one at
// the time of the earlier evidence must have kept its memory since then.
func (q *question) answered(replies map[string]epochsReply) bool {
	for m := range q.after.witnesses {
		reply, ok := replies[m]
		known := reply.find(q.tenure.index)
		if !ok || known == nil || known.GetEpoch() > q.epoch {
			return false
		}
		running := time.Duration(reply.GetRunningUs()) * time.Microsecond
		if q.before.witnesses[m] && running-running/clockRate < reply.at.Sub(q.before.at) {
			return false
		}
	}
	return true
}

// epochsReply is a reply and when it came.
type epochsReply struct {
	*peerpb.EpochsReply
	at time.Time
}

func (r epochsReply) find(index int) *peerpb.RangeEpoch {
	for _, known := range r.GetRanges() {
		if int(known.GetRange()) == index {
			return known
		}
	}
	return nil
}

// ask sends each member its request and returns the replies that came before ctx was done.
func (s *Server) ask(ctx context.Context, requests map[string]*peerpb.EpochsRequest) map[string]epochsReply {
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

// HandleEpochs serves a node that took ranges over or asks as a holder. A range held here at a lower epoch is given up
// before the reply, so that nothing is refused as not-run after it.
func (s *Server) HandleEpochs(_ context.Context, r *peerpb.EpochsRequest) (*peerpb.EpochsReply, error) {
	reply := &peerpb.EpochsReply{RunningUs: time.Since(s.started).Microseconds()}
	for _, asked := range r.GetRanges() {
		index := int(asked.GetRange())
		if index < 0 || index >= RangeCount {
			continue
		}
		slot := &s.slots[index]
		slot.mu.Lock()
		slot.known = max(slot.known, asked.GetEpoch())
		known := &peerpb.RangeEpoch{Range: asked.GetRange(), Epoch: slot.known, SettledTenure: slot.settled}
		t := slot.tenure
		slot.mu.Unlock()
		if t != nil {
			t.endBelow(known.GetEpoch())
		}
		reply.Ranges = append(reply.Ranges, known)
	}
	return reply, nil
}

// endBelow ends the tenure if its epoch is lower.
func (t *tenure) endBelow(epoch int64) {
	t.mu.Lock()
	lower := t.epoch < epoch
	t.mu.Unlock()
	if lower {
		t.end()
	}
}
