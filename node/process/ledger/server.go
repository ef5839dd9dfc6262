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

// Locate names the member that holds a range, by rendezvous hash over the live members. It returns ok false when no
// member is known. It is called for every request and must be fast and safe for concurrent use.
type Locate func(index int) (member string, self, ok bool)

// Config of a Server. Table and Locate are required.
type Config struct {
	Table  platform.Table
	Locate Locate
	// Self is the member name of this node, by which the next holder of a range finds this one.
	Self string
	// Peers asks other members about epochs. Witnesses returns the members that may take a range over; it must be fast.
	// Without them, this node counts as the only member.
	Peers     EpochPeers
	Witnesses func(index int) []string
	// Retention and MaxAnswerBytes give the settings in force. By default 24 h and 16 KiB.
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
	rounds         rounds

	layoutChecked atomic.Bool
	entries       atomic.Int64
	slots         [RangeCount]slot

	ctx     context.Context
	cancel  context.CancelFunc
	tenures sync.WaitGroup
}

// slot is the state of one range at this node.
type slot struct {
	mu     sync.Mutex
	tenure *tenure
	// taking is closed when the take-over in progress ends; nil when there is none.
	taking chan struct{}
	// Until coolUntil, requests get the state coolState and no take-over starts.
	coolUntil time.Time
	coolState peerpb.ClaimState
	coolDown  time.Duration
	takenAt   time.Time
	// known is the highest epoch that this node knows of or tried to take.
	known int64
	// settled is the last tenure of this node since whose beginning no earlier holder has evidence.
	settled int64
}

// NewServer returns a server that takes ranges over when they are asked for.
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

// Close ends all tenures and records this, so that the next holders need not wait. Requests in progress are answered as
// not held here; what they asked for may still take effect.
func (s *Server) Close() {
	s.cancel()
	var held []*tenure
	for i := range s.slots {
		if t := s.giveUp(i); t != nil {
			held = append(held, t)
		}
	}
	s.tenures.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), raiseTimeout)
	defer cancel()
	var freeing sync.WaitGroup
	for _, t := range held {
		freeing.Go(func() { s.free(ctx, t) })
	}
	freeing.Wait()
}

// Refresh gives up the ranges that other members hold by now and starts to take over those that this node holds. It is
// to be called when the membership changed; without it, both happen at the next request of a range.
func (s *Server) Refresh() {
	for i := range s.slots {
		if _, self, ok := s.locate(i); ok && !self {
			s.giveUp(i)
		} else if self {
			s.slots[i].mu.Lock()
			s.startTakeOver(i)
			s.slots[i].mu.Unlock()
		}
	}
}

// HandleClaim serves a claim of another node or of the local client.
func (s *Server) HandleClaim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	key, err := parseKey(r.GetKey(), r.GetCallId())
	if err != nil {
		return nil, err
	}
	if len(r.GetBodyHash()) != len(Hash{}) {
		return nil, fmt.Errorf("ledger: body hash has %d bytes, not %d", len(r.GetBodyHash()), len(Hash{}))
	}
	ctx, cancel := context.WithTimeout(ctx, s.limits.MaxWait)
	defer cancel()
	t, state, holder := s.acquire(ctx, key.Range())
	reply := &peerpb.ClaimReply{State: state, HolderNodeId: holder}
	if t != nil {
		timeout := time.Duration(min(max(r.GetTimeoutUs(), 0), maxTimeout.Microseconds())) * time.Microsecond
		reply = t.claim(ctx, key, Hash(r.GetBodyHash()), r.GetCallId(), timeout)
		if reply.State == peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE {
			s.renewEvidence(ctx, t)
			reply.State = t.refused(key, r.GetCallId())
		}
	}
	s.count(counterOf(reply.GetState()))
	return reply, nil
}

// HandleComplete records the outcome of a granted claim. The reply is CLAIM_STATE_GRANTED once the outcome is durable,
// CLAIM_STATE_UNKNOWN when the key is not known any more, and CLAIM_STATE_MISMATCH when another call owns it.
func (s *Server) HandleComplete(ctx context.Context, r *peerpb.CompleteRequest) (*peerpb.LedgerReply, error) {
	return s.change(ctx, r.GetKey(), r.GetCallId(), func(ctx context.Context, t *tenure, key Key) peerpb.ClaimState {
		return t.complete(ctx, key, r.GetCallId(), r.GetAnswer())
	})
}

// HandleRelease frees a key whose claim led to no attempt. It replies like HandleComplete; an unknown key counts as
// released.
func (s *Server) HandleRelease(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.LedgerReply, error) {
	return s.change(ctx, r.GetKey(), r.GetCallId(), func(ctx context.Context, t *tenure, key Key) peerpb.ClaimState {
		return t.release(ctx, key, r.GetCallId())
	})
}

func (s *Server) change(ctx context.Context, rawKey []byte, call string,
	f func(context.Context, *tenure, Key) peerpb.ClaimState) (*peerpb.LedgerReply, error) {
	key, err := parseKey(rawKey, call)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.limits.MaxWait)
	defer cancel()
	t, state, holder := s.acquire(ctx, key.Range())
	if t != nil {
		state = f(ctx, t, key)
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

// acquire returns the tenure of a range, taking the range over if needed, or the state to report.
func (s *Server) acquire(ctx context.Context, index int) (*tenure, peerpb.ClaimState, string) {
	for {
		member, self, ok := s.locate(index)
		switch {
		case s.ctx.Err() != nil:
			return nil, peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER, ""
		case !ok:
			return nil, peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, ""
		case !self:
			s.giveUp(index)
			return nil, peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER, member
		}
		t, taking, state := s.current(index)
		if taking == nil {
			return t, state, ""
		}
		select {
		case <-taking:
		case <-ctx.Done():
			return nil, peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, ""
		}
	}
}

// current returns the tenure, or the end of the take-over to wait for, or the state to report.
func (s *Server) current(index int) (*tenure, <-chan struct{}, peerpb.ClaimState) {
	slot := &s.slots[index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.tenure != nil {
		return slot.tenure, nil, 0
	}
	if slot.taking == nil && time.Now().Before(slot.coolUntil) {
		return nil, nil, slot.coolState
	}
	s.startTakeOver(index)
	if slot.taking == nil {
		return nil, nil, peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER
	}
	return nil, slot.taking, 0
}

// startTakeOver starts a take-over unless one runs, the range is held, or the slot cools down. The slot is locked.
func (s *Server) startTakeOver(index int) {
	slot := &s.slots[index]
	if s.ctx.Err() != nil || slot.tenure != nil || slot.taking != nil || time.Now().Before(slot.coolUntil) {
		return
	}
	taking := make(chan struct{})
	slot.taking = taking
	s.tenures.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, takeOverTimeout)
		defer cancel()
		t, err := s.takeOver(ctx, index)
		s.endTakeOver(index, t, err)
		close(taking)
	}()
}

func (s *Server) endTakeOver(index int, t *tenure, err error) {
	slot := &s.slots[index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.taking = nil
	if err == nil && slot.known > t.epoch {
		t.end()
		err = errLostRange
	}
	if err == nil && s.ctx.Err() == nil {
		s.count("take-overs")
		slot.tenure, slot.takenAt = t, time.Now()
		go t.run()
		return
	}
	defer s.tenures.Done()
	if err == nil {
		t.end()
		return
	}
	s.count("take-overs-failed")
	if slot.coolDown < maxBackoff {
		// Later ones fail for the same reason, such as an outage of the store.
		s.log("take-over failed", "range", index, "error", err)
	}
	defer s.takeBackLater(index)
	if errors.Is(err, errLostRange) {
		// The cool-down has to outgrow the wait of a take-over: two nodes that take the range from each other would
		// otherwise both wait forever.
		slot.cool(peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER, maxCoolDown)
		return
	}
	slot.cool(peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, maxBackoff)
}

// cool delays the next take-over, longer each time up to limit.
func (slot *slot) cool(state peerpb.ClaimState, limit time.Duration) {
	slot.coolDown = min(max(2*slot.coolDown, minBackoff), limit)
	slot.coolUntil, slot.coolState = time.Now().Add(slot.coolDown), state
}

// lostTenure takes note that a tenure ended. Two nodes that each are the holder in their own view would take the range from each other
// forever; the cool-down slows them.
func (s *Server) lostTenure(t *tenure) {
	slot := &s.slots[t.index]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.tenure != t {
		return
	}
	slot.tenure = nil
	s.count("ranges-lost")
	s.log("range lost", "range", t.index)
	if time.Since(slot.takenAt) > maxCoolDown {
		slot.coolDown = 0
	}
	slot.cool(peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER, maxCoolDown)
	s.takeBackLater(t.index)
}

// takeBackLater takes a range after the cool-down if this node is its holder by then. Without it, a range that was lost to
// a node with an older view of the members, or that could not be taken during an outage, would have no holder until its
// next claim, which would have to wait. The slot is locked.
func (s *Server) takeBackLater(index int) {
	time.AfterFunc(s.slots[index].coolDown, func() {
		if _, self, ok := s.locate(index); ok && self {
			s.slots[index].mu.Lock()
			defer s.slots[index].mu.Unlock()
			s.startTakeOver(index)
		}
	})
}

// giveUp ends the tenure of a range and returns it, or nil if there is none.
func (s *Server) giveUp(index int) *tenure {
	slot := &s.slots[index]
	slot.mu.Lock()
	t := slot.tenure
	slot.tenure = nil
	slot.mu.Unlock()
	if t != nil {
		t.end()
	}
	return t
}

// counterOf turns CLAIM_STATE_NOT_HOLDER into claims-not-holder.
func counterOf(state peerpb.ClaimState) string {
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
func (t *tenure) readAnswer(ctx context.Context, key Key, e *entry) (*peerpb.RecordedAnswer, error) {
	t.mu.Lock()
	if e.segment == nil || e.batch != nil || t.ended {
		t.mu.Unlock()
		return nil, platform.ErrNotFound
	}
	row := platform.Key{Partition: partitionOf(t.index), Sort: e.segment.sort}
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := t.server.table.Get(ctx, row)
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
