package ledger

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// Locate returns the member that should hold a range, by rendezvous hashing over the live members, and whether it is this
// node. It returns ok false when no member is known. It is called for every request, and must be fast and safe for
// concurrent use.
type Locate func(index int) (member string, self, ok bool)

// Config configures a Server. Table and Locate are required.
type Config struct {
	Table  platform.Table
	Locate Locate
	// Self is the member name of this node, which the next holder of a range reads from the range row.
	Self string
	// Peers requests epochs from other members. Witnesses returns the members that may take over a range; it must be fast.
	// Without them, this node counts as the only member.
	Peers     EpochPeers
	Witnesses func(index int) []string
	// Retention and MaxAnswerBytes return the settings in force. By default 24 h and 16 KiB.
	Retention      func() time.Duration
	MaxAnswerBytes func() int
	// Now is the wall clock, by default time.Now.
	Now func() time.Time
	// Log receives rare events with alternating keys and values; nil discards them.
	Log func(msg string, keyvals ...any)
	// Metrics receives counters named ledger.*; nil keeps them private to the server.
	Metrics metrics.Registry
	Limits  Limits
}

// Server is the holder side of the ledger. It is safe for concurrent use.
type Server struct {
	table          platform.Table
	locate         Locate
	retention      func() time.Duration
	maxAnswerBytes func() int
	now            func() time.Time
	logger         func(string, ...any)
	metrics        metrics.Registry
	limits         Limits
	self           string
	epochPeers     EpochPeers
	witnesses      func(int) []string
	started        time.Time
	checkRounds    checkRounds

	layoutChecked atomic.Bool
	entries       atomic.Int64
	slots         [RangeCount]slot

	ctx        context.Context
	cancel     context.CancelFunc
	ownerships sync.WaitGroup
}

// slot is the state of one range at this node.
type slot struct {
	mu        sync.Mutex
	ownership *rangeOwnership
	// takeOverDone is closed when the take-over in progress ends; nil when there is none.
	takeOverDone chan struct{}
	// Until backoffUntil, requests are answered with backoffState and no take-over starts.
	backoffUntil time.Time
	backoffState peerpb.ClaimState
	backoff      time.Duration
	takenAt      time.Time
	// highestEpoch is the highest epoch that this node has received or tried to write.
	highestEpoch int64
	// settledOwnership is the id of this node's last ownership for which no earlier holder has evidence any more.
	settledOwnership int64
}

// NewServer returns a server. It takes over a range at the first request for it, or at Refresh.
func NewServer(c Config) *Server {
	s := &Server{
		table: c.Table, locate: c.Locate, retention: c.Retention, maxAnswerBytes: c.MaxAnswerBytes,
		now: c.Now, logger: c.Log, metrics: c.Metrics, limits: c.Limits.withDefaults(),
		self: c.Self, epochPeers: c.Peers, witnesses: c.Witnesses, started: time.Now(),
	}
	if s.retention == nil {
		s.retention = func() time.Duration { return 24 * time.Hour }
	}
	if s.maxAnswerBytes == nil {
		s.maxAnswerBytes = func() int { return 16 << 10 }
	}
	if s.now == nil {
		s.now = time.Now
	}
	if s.metrics == nil {
		s.metrics = metrics.NewRegistry()
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close ends the ownership of all ranges and marks them as free, so that the next holders need not wait. Requests in
// progress are answered with CLAIM_STATE_NOT_HOLDER, but may still take effect.
func (s *Server) Close() {
	s.cancel()
	var held []*rangeOwnership
	for i := range s.slots {
		if o := s.endOwnership(i); o != nil {
			held = append(held, o)
		}
	}
	s.ownerships.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), raiseEpochTimeout)
	defer cancel()
	var freeing sync.WaitGroup
	for _, o := range held {
		freeing.Go(func() { s.markFree(ctx, o) })
	}
	freeing.Wait()
}

// Refresh ends the ownership of the ranges that Locate assigns to other members, and starts to take over those assigned to
// this node. It is to be called when the membership has changed. Without it, both happen at the next request for a range.
func (s *Server) Refresh() {
	for i := range s.slots {
		if _, self, ok := s.locate(i); ok && !self {
			s.endOwnership(i)
		} else if self {
			s.slots[i].mu.Lock()
			s.startTakeOver(i)
			s.slots[i].mu.Unlock()
		}
	}
}

// HandleClaim handles a claim of another node or of the local client.
func (s *Server) HandleClaim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	key, err := parseKey(r.GetKey(), r.GetCallId())
	if err != nil {
		return nil, err
	}
	if len(r.GetBodyHash()) != len(Hash{}) {
		return nil, fmt.Errorf("ledger: body hash has %d bytes, not %d", len(r.GetBodyHash()), len(Hash{}))
	}
	ctx, cancel := context.WithTimeout(ctx, s.limits.HandlerTimeout)
	defer cancel()
	o, state, holder := s.acquire(ctx, key.Range())
	reply := &peerpb.ClaimReply{State: state, HolderNodeId: holder}
	if o != nil {
		timeout := time.Duration(min(max(r.GetTimeoutUs(), 0), maxClaimTimeout.Microseconds())) * time.Microsecond
		reply = o.claim(ctx, key, Hash(r.GetBodyHash()), r.GetCallId(), timeout)
		if reply.State == peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE {
			s.renewEvidence(ctx, o)
			reply.State = o.refusalState(key, r.GetCallId())
		}
	}
	s.count(claimCounter(reply.GetState()))
	return reply, nil
}

// HandleComplete records the outcome of a granted claim. The reply is CLAIM_STATE_GRANTED once the outcome is durable,
// CLAIM_STATE_UNKNOWN when the key has no entry any more, and CLAIM_STATE_MISMATCH when another call owns it or the claim
// was released.
func (s *Server) HandleComplete(ctx context.Context, r *peerpb.CompleteRequest) (*peerpb.LedgerReply, error) {
	return s.applyChange(ctx, r.GetKey(), r.GetCallId(),
		func(ctx context.Context, o *rangeOwnership, key Key) peerpb.ClaimState {
			return o.complete(ctx, key, r.GetCallId(), r.GetAnswer())
		})
}

// HandleRelease frees a key whose claim led to no attempt. The reply is CLAIM_STATE_GRANTED once the release is durable or
// when the key has no entry, and CLAIM_STATE_MISMATCH when another call owns the key or the outcome is recorded.
func (s *Server) HandleRelease(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.LedgerReply, error) {
	return s.applyChange(ctx, r.GetKey(), r.GetCallId(),
		func(ctx context.Context, o *rangeOwnership, key Key) peerpb.ClaimState {
			return o.release(ctx, key, r.GetCallId())
		})
}

func (s *Server) applyChange(ctx context.Context, rawKey []byte, call string,
	f func(context.Context, *rangeOwnership, Key) peerpb.ClaimState) (*peerpb.LedgerReply, error) {
	key, err := parseKey(rawKey, call)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.limits.HandlerTimeout)
	defer cancel()
	o, state, holder := s.acquire(ctx, key.Range())
	if o != nil {
		state = f(ctx, o, key)
	}
	return &peerpb.LedgerReply{State: state, HolderNodeId: holder}, nil
}

func parseKey(raw []byte, call string) (Key, error) {
	if len(raw) != len(Key{}) {
		return Key{}, fmt.Errorf("ledger: key has %d bytes, not %d", len(raw), len(Key{}))
	}
	if call == "" || len(call) > maxCallID {
		return Key{}, fmt.Errorf("ledger: call id has %d bytes, not 1 to %d", len(call), maxCallID)
	}
	return Key(raw), nil
}

// acquire returns the ownership of a range, after a take-over if needed. Without ownership, it returns the state to report
// and the member that holds the range, if known.
func (s *Server) acquire(ctx context.Context, index int) (*rangeOwnership, peerpb.ClaimState, string) {
	for {
		member, self, ok := s.locate(index)
		switch {
		case s.ctx.Err() != nil:
			return nil, peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER, ""
		case !ok:
			return nil, peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, ""
		case !self:
			s.endOwnership(index)
			return nil, peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER, member
		}
		o, takeOverDone, state := s.currentOwnership(index)
		if takeOverDone == nil {
			return o, state, ""
		}
		select {
		case <-takeOverDone:
		case <-ctx.Done():
			return nil, peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, ""
		}
	}
}

// currentOwnership returns the ownership of a range, or the channel that is closed at the end of the take-over to wait for,
// or the state to report.
func (s *Server) currentOwnership(index int) (*rangeOwnership, <-chan struct{}, peerpb.ClaimState) {
	slot := &s.slots[index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.ownership != nil {
		return slot.ownership, nil, 0
	}
	if slot.takeOverDone == nil && time.Now().Before(slot.backoffUntil) {
		return nil, nil, slot.backoffState
	}
	s.startTakeOver(index)
	if slot.takeOverDone == nil {
		return nil, nil, peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER
	}
	return nil, slot.takeOverDone, 0
}

// startTakeOver starts a take-over unless one is running, the range is held, the backoff has not ended or the server is
// closed. The caller holds the slot's mutex.
func (s *Server) startTakeOver(index int) {
	slot := &s.slots[index]
	if s.ctx.Err() != nil || slot.ownership != nil || slot.takeOverDone != nil || time.Now().Before(slot.backoffUntil) {
		return
	}
	takeOverDone := make(chan struct{})
	slot.takeOverDone = takeOverDone
	s.ownerships.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, takeOverTimeout)
		defer cancel()
		o, err := s.takeOver(ctx, index)
		s.endTakeOver(index, o, err)
		close(takeOverDone)
	}()
}

func (s *Server) endTakeOver(index int, o *rangeOwnership, err error) {
	slot := &s.slots[index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.takeOverDone = nil
	if err == nil && slot.highestEpoch > o.epoch {
		o.end()
		err = errRangeTaken
	}
	if err == nil && s.ctx.Err() == nil {
		s.count("take-overs")
		slot.ownership, slot.takenAt = o, time.Now()
		go o.run()
		return
	}
	defer s.ownerships.Done()
	if err == nil {
		o.end()
		return
	}
	s.count("take-overs-failed")
	if slot.backoff < maxBackoff {
		// Failures after the backoff has reached maxBackoff have the same reason, such as an outage of the store, and are
		// not logged.
		s.log("take-over failed", "range", index, "error", err)
	}
	defer s.scheduleTakeOver(index)
	if errors.Is(err, errRangeTaken) {
		// The backoff has to become longer than the wait of a take-over: two nodes that take the range from each other would
		// otherwise both wait forever.
		slot.delayTakeOver(peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER, maxRangeLostBackoff)
		return
	}
	slot.delayTakeOver(peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, maxBackoff)
}

// delayTakeOver delays the next take-over with exponential backoff up to limit. Until then, requests are answered with
// state.
func (slot *slot) delayTakeOver(state peerpb.ClaimState, limit time.Duration) {
	slot.backoff = min(max(2*slot.backoff, minBackoff), limit)
	slot.backoffUntil, slot.backoffState = time.Now().Add(slot.backoff), state
}

// ownershipEnded removes an ownership that was lost and delays the next take-over. Two nodes that each are the holder in
// their own view would take the range from each other forever; the backoff slows them down.
func (s *Server) ownershipEnded(o *rangeOwnership) {
	slot := &s.slots[o.index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.ownership != o {
		return
	}
	slot.ownership = nil
	s.count("ranges-lost")
	s.log("range lost", "range", o.index)
	if time.Since(slot.takenAt) > maxRangeLostBackoff {
		slot.backoff = 0
	}
	slot.delayTakeOver(peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER, maxRangeLostBackoff)
	s.scheduleTakeOver(o.index)
}

// scheduleTakeOver starts a take-over after the backoff if Locate assigns the range to this node then. Without it, a range
// that was lost to a node with an older view of the membership, or whose take-over failed during an outage, would have no
// holder until its next claim, which would have to wait. The caller holds the slot's mutex.
func (s *Server) scheduleTakeOver(index int) {
	time.AfterFunc(s.slots[index].backoff, func() {
		if _, self, ok := s.locate(index); ok && self {
			s.slots[index].mu.Lock()
			defer s.slots[index].mu.Unlock()
			s.startTakeOver(index)
		}
	})
}

// endOwnership ends the ownership of a range and returns it, or nil if there is none.
func (s *Server) endOwnership(index int) *rangeOwnership {
	slot := &s.slots[index]
	slot.mu.Lock()
	o := slot.ownership
	slot.ownership = nil
	slot.mu.Unlock()
	if o != nil {
		o.end()
	}
	return o
}

// claimCounter returns the name of a state's counter, such as claims-not-holder for CLAIM_STATE_NOT_HOLDER.
func claimCounter(state peerpb.ClaimState) string {
	name := strings.TrimPrefix(state.String(), "CLAIM_STATE_")
	return "claims-" + strings.ReplaceAll(strings.ToLower(name), "_", "-")
}

func (s *Server) nowMs() int64 { return s.now().UnixMilli() }

func (s *Server) log(msg string, keyvals ...any) {
	if s.logger != nil {
		s.logger(msg, keyvals...)
	}
}

func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter("ledger."+name, s.metrics).Inc(1)
}

// readAnswer reads the recorded answer of a key from its row.
func (o *rangeOwnership) readAnswer(ctx context.Context, key Key, e *entry) (*peerpb.RecordedAnswer, error) {
	o.mu.Lock()
	if e.segment == nil || e.batch != nil || o.ended {
		o.mu.Unlock()
		return nil, platform.ErrNotFound
	}
	row := platform.Key{Partition: partitionOf(o.index), Sort: e.segment.sort}
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := o.server.table.Get(ctx, row)
	if err != nil {
		return nil, err
	}
	records, err := decodeSegment(item.Data)
	if err != nil {
		return nil, err
	}
	for i := len(records) - 1; i >= 0; i-- {
		if Key(records[i].Key) != key || len(records[i].Answer) == 0 {
			continue
		}
		answer := &peerpb.RecordedAnswer{}
		return answer, proto.Unmarshal(records[i].Answer, answer)
	}
	return nil, platform.ErrNotFound
}
