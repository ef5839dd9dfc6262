package link

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/linkpb"
)

const (
	// idempotentGrace is the time for which idempotent calls continue after their link broke. The other node may make
	// another attempt meanwhile.
	idempotentGrace = 500 * time.Millisecond
	// sessionLifetime is the time after which a session without a link is forgotten, with the results of its calls.
	sessionLifetime = 30 * time.Second
	// resultRetention is the time for which the result of a call is kept after it was sent. It must exceed the time after
	// which a silent link is closed, since the result may be lost on it.
	resultRetention = pongTimeout + unacknowledgedTimeout
	// maxRetainedBytes bounds the retained results of a session.
	maxRetainedBytes = 256 << 10
	// deadlineMargin is the time after a call's deadline for which it is known, for the way of the call to this node.
	deadlineMargin = 5 * time.Second
	// sweepInterval is the minimum time between two removals of old calls.
	sweepInterval = time.Second
)

// servedSession holds the calls that another node has sent on the links of one session. It is safe for concurrent use.
type servedSession struct {
	mu   sync.Mutex
	link *serverLink // nil while there is none
	// attached counts the links, so that a timer recognizes that the session has got another one.
	attached int
	// calls holds the calls that were received, until their deadline has passed: until then the other node may ask for
	// them, and must not be told that they were not received.
	calls         map[uint64]*servedCall
	retainedBytes int
	sweptAt       time.Time
}

// servedCall is a call that was received.
type servedCall struct {
	cancel     context.CancelFunc
	idempotent bool
	deadline   time.Time
	// cancelled is set when the other node no longer waits for the result.
	cancelled  bool
	finished   bool
	finishedAt time.Time
	// result is the retained result of a finished call, or nil.
	result *linkpb.Frame
}

func newServedSession() *servedSession {
	return &servedSession{calls: map[uint64]*servedCall{}}
}

// currentLink returns the link of the session, or nil.
func (s *servedSession) currentLink() *serverLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link
}

// attach makes l the link of the session.
func (s *servedSession) attach(l *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = l
	s.attached++
}

// detach records that a link has ended. It reports whether the session has no link now.
func (s *servedSession) detach(l *serverLink) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != l {
		return false
	}
	s.link = nil
	attached := s.attached
	time.AfterFunc(idempotentGrace, func() { s.cancelUnlessAttached(attached) })
	return true
}

// cancelUnlessAttached cancels the idempotent calls if the session has got no link since.
func (s *servedSession) cancelUnlessAttached(attached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == nil && s.attached == attached {
		s.cancelIdempotent(nil)
	}
}

// cancelIdempotent cancels the idempotent calls in progress except those in keep. The lock must be held.
func (s *servedSession) cancelIdempotent(keep map[uint64]bool) {
	for stream, call := range s.calls {
		if call.idempotent && !call.finished && !keep[stream] {
			call.cancel()
		}
	}
}

// isDetached reports whether the session has had no link since the given number of links.
func (s *servedSession) isDetached(attached int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link == nil && s.attached == attached
}

// links returns the number of links that the session has had.
func (s *servedSession) links() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attached
}

// end cancels all calls.
func (s *servedSession) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.calls {
		call.cancel()
	}
}

// begin adds a call and returns its context.
func (s *servedSession) begin(stream uint64, call *linkpb.Call) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	deadline := time.Now().Add(time.Duration(call.LeftMs)*time.Millisecond + deadlineMargin)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[stream] = &servedCall{cancel: cancel, idempotent: call.Idempotent, deadline: deadline}
	return ctx
}

// cancel ends the context of a call.
func (s *servedSession) cancel(stream uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call := s.calls[stream]; call != nil {
		call.cancelled = true
		call.cancel()
	}
}

// isCancelled reports whether the other node no longer waits for the result of a call.
func (s *servedSession) isCancelled(call *servedCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return call != nil && call.cancelled
}

// finish sends the result of a call, and retains it for the case that it is lost with the link.
func (s *servedSession) finish(stream uint64, result *linkpb.Frame) {
	result.Stream = stream
	s.mu.Lock()
	now := time.Now()
	s.sweep(now)
	call := s.calls[stream]
	if call != nil {
		call.cancel()
		call.finished, call.finishedAt = true, now
		s.retain(call, result)
	}
	link := s.link
	s.mu.Unlock()
	if link != nil {
		link.sendResult(result, func() bool { return s.isCancelled(call) })
	}
}

// retain keeps the result of a call that must not run again, or whose link has broken. The lock must be held.
func (s *servedSession) retain(call *servedCall, result *linkpb.Frame) {
	size := proto.Size(result)
	if call.idempotent && s.link != nil || s.retainedBytes+size > maxRetainedBytes {
		return
	}
	call.result = result
	s.retainedBytes += size
}

// sweep forgets the calls whose deadline has passed, and the results that have surely arrived. The lock must be held.
func (s *servedSession) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for stream, call := range s.calls {
		if !call.finished {
			continue
		}
		expired := now.After(call.deadline)
		if call.result != nil && (expired || s.link != nil && now.Sub(call.finishedAt) > resultRetention) {
			s.retainedBytes -= proto.Size(call.result)
			call.result = nil
		}
		if expired {
			delete(s.calls, stream)
		}
	}
}

// resume answers for the calls that the other node still waits for: results are sent again, and a call that was not received is
// refused, since the link that it was sent on has ended. The other idempotent calls are cancelled. If the session is new here, a
// call may have run in an earlier process of this node.
func (s *servedSession) resume(l *serverLink, streams []uint64, known bool) {
	keep := make(map[uint64]bool, len(streams))
	var results []*linkpb.Frame
	s.mu.Lock()
	for _, stream := range streams {
		keep[stream] = true
		switch call := s.calls[stream]; {
		case call == nil && known:
			results = append(results, notReceived(stream))
		case call == nil || call.finished && call.result == nil:
			results = append(results, brokenResult(stream, "link broken and result not known"))
		case call.finished:
			results = append(results, call.result)
		}
	}
	s.cancelIdempotent(keep)
	s.mu.Unlock()
	for _, result := range results {
		l.sendResult(result, nil)
	}
}

func notReceived(stream uint64) *linkpb.Frame {
	refusal := &linkpb.Refusal{Reason: linkpb.Refusal_REASON_NOT_RECEIVED}
	return &linkpb.Frame{Stream: stream, Body: &linkpb.Frame_Refusal{Refusal: refusal}}
}

// brokenResult returns the result of a call that may have run and has no answer.
func brokenResult(stream uint64, cause string) *linkpb.Frame {
	return &linkpb.Frame{Stream: stream, Body: &linkpb.Frame_Broken{Broken: &linkpb.Broken{Cause: cause}}}
}
