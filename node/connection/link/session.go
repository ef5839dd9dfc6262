package link

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

// ConfirmationTimeout is the time after its deadline for which a cancelled call waits for the other node to confirm that the call has
// not started. It bounds the time for which a caller waits beyond the timeout of its route.
const ConfirmationTimeout = 100 * time.Millisecond

// Session sends calls to one node. It outlasts its link: a call that was in progress when the link broke can wait for its result,
// which the other node sends on the next link. A Session is safe for concurrent use.
type Session struct {
	address string
	hello   *linkpb.Hello
	events  Events
	memory  *membudget.Budget
	// resumes is set when the other node keeps the calls of a broken link.
	resumes    atomic.Bool
	lastStream atomic.Uint64
	roundTrip  roundTrip

	mu     sync.Mutex
	client *Client // nil while there is no link
	linked bool    // there has been a link
	calls  map[uint64]*call
}

// call is a call without a result.
type call struct {
	// link is the link that the call was sent on.
	link *Client
	// sentAt is a time of the boot clock before the call was sent.
	sentAt time.Duration
	// result receives the frame that ends the call. It is closed when there will be none.
	result chan *Result
}

// Result is the frame that ends a call. Release must be called when its body is not needed any more.
type Result struct {
	*linkpb.Frame
	memory *membudget.Reservation // nil when it takes none
}

// NewResult returns a result whose body has a share of a memory budget.
func NewResult(f *linkpb.Frame, memory *membudget.Reservation) *Result {
	return &Result{Frame: f, memory: memory}
}

// Release returns the memory of the body to the budget.
func (r *Result) Release() {
	if r.memory != nil {
		r.memory.Release()
	}
}

// ReleaseTo passes the memory of the body on to another reservation.
func (r *Result) ReleaseTo(to *membudget.Reservation) {
	if r.memory != nil {
		to.Absorb(r.memory)
	}
}

// suspended reports whether the call's link has broken.
func (c *call) suspended() bool {
	select {
	case <-c.link.done:
		return true
	default:
		return false
	}
}

// NewSession returns a session with the node at address. The hello introduces this node. Frames that are received take their
// memory from a budget.
func NewSession(address string, hello *linkpb.Hello, events Events, memory *membudget.Budget) *Session {
	introduced := &linkpb.Hello{Node: hello.Node, Address: hello.Address, Place: hello.Place, Session: rand.Uint64() | 1, RawHeaders: true, Chunks: true}
	return &Session{address: address, hello: introduced, events: events, memory: memory, calls: map[uint64]*call{}}
}

// Dial opens the link of the session and resumes the calls that wait for it. If the other node's process has ended, these
// calls fail.
func (s *Session) Dial(ctx context.Context) (*Client, error) {
	client, err := dial(ctx, s)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.failSuspended()
		}
		return nil, err
	}
	if err := s.open(client); err != nil {
		client.Close()
		return nil, err
	}
	if f := s.events.Evacuations.frame(); f != nil {
		client.conn.writeOrClose(f)
	}
	go client.receive()
	return client, nil
}

// open makes client the link of the session.
func (s *Session) open(client *Client) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linked {
		resume := &linkpb.Resume{}
		for stream, call := range s.calls {
			if call.link != client {
				resume.Streams = append(resume.Streams, stream)
			}
		}
		if err := client.conn.write(&linkpb.Frame{Body: &linkpb.Frame_Resume{Resume: resume}}); err != nil {
			return err
		}
	}
	s.client, s.linked = client, true
	return nil
}

// failSuspended ends the calls that wait for the next link.
func (s *Session) failSuspended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream, call := range s.calls {
		if call.suspended() {
			delete(s.calls, stream)
			close(call.result)
		}
	}
}

// Close ends the link and the calls that wait for the next one. There must be no further Dial.
func (s *Session) Close() {
	s.mu.Lock()
	client := s.client
	s.client = nil
	s.mu.Unlock()
	if client != nil {
		client.Close()
		<-client.Done()
	}
	s.failSuspended()
}

// InProgress returns the number of calls without a result.
func (s *Session) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// Do sends a call on the link and waits for the frame that ends it: an answer, a refusal or a broken frame. If the link breaks
// meanwhile and wait returns true, Do waits for the next link of the session. The error is a *NotSentError when the call was
// not sent. When ctx ends, a cancel frame is sent for the call, and at the deadline of ctx Do waits for ConfirmationTimeout
// until the other node confirms that a call which is not idempotent has not started.
func (s *Session) Do(ctx context.Context, client *Client, message *linkpb.Call, wait func() bool) (*Result, error) {
	stream := s.lastStream.Add(1)
	c := s.register(stream, client)
	defer s.unregister(stream, c)
	frame := &linkpb.Frame{
		Stream: stream, Version: s.events.LocalVersion(), SentMs: sentMs(), Body: &linkpb.Frame_Call{Call: message},
	}
	unwanted := func() bool { return ctx.Err() != nil || len(c.result) > 0 }
	err := client.conn.writeUnless(frame, unwanted)
	var encodeErr *EncodeError
	switch {
	case err == nil:
	case errors.Is(err, errStopped):
		return c.resultBeforeSent(ctx)
	case errors.Is(err, ErrClosed), errors.As(err, &encodeErr):
		return nil, &NotSentError{Cause: err}
	default:
		return s.awaitNextLink(ctx, stream, c, message, wait)
	}
	timer := time.NewTimer(suspectTimeout)
	defer timer.Stop()
	for {
		select {
		case f, ok := <-c.result:
			return resultOrClosed(f, ok)
		case <-client.done:
			return s.awaitNextLink(ctx, stream, c, message, wait)
		case <-timer.C:
			client.probe()
			timer.Reset(suspectTimeout)
		case <-ctx.Done():
			return s.cancel(ctx, stream, c, message)
		}
	}
}

// cancel cancels a call whose context has ended. If the call is not idempotent and its deadline has passed, it waits for the other node to
// refuse the call, and returns the refusal. An answer that arrives now is dropped, since it is too late.
func (s *Session) cancel(ctx context.Context, stream uint64, c *call, message *linkpb.Call) (*Result, error) {
	s.sendCancel(stream)
	if message.Idempotent || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, ctx.Err()
	}
	timer := time.NewTimer(ConfirmationTimeout)
	defer timer.Stop()
	select {
	case f, ok := <-c.result:
		if ok && f.GetRefusal() != nil {
			return f, nil
		}
		if ok {
			f.Release()
		}
	case <-timer.C:
	}
	return nil, ctx.Err()
}

// awaitNextLink waits for the result of a call whose link has broken.
func (s *Session) awaitNextLink(
	ctx context.Context, stream uint64, c *call, message *linkpb.Call, wait func() bool,
) (*Result, error) {
	select {
	case f, ok := <-c.result: // it arrived before the link broke
		return resultOrClosed(f, ok)
	default:
	}
	if !s.resumes.Load() || !wait() {
		s.sendCancel(stream)
		return nil, ErrClosed
	}
	select {
	case f, ok := <-c.result:
		return resultOrClosed(f, ok)
	case <-ctx.Done():
		return s.cancel(ctx, stream, c, message)
	}
}

// resultBeforeSent returns the result of a call that was not sent whole: the other node has refused it, or ctx has ended.
func (c *call) resultBeforeSent(ctx context.Context) (*Result, error) {
	select {
	case f, ok := <-c.result:
		return resultOrClosed(f, ok)
	default:
		return nil, &NotSentError{Cause: ctx.Err()}
	}
}

func resultOrClosed(f *Result, ok bool) (*Result, error) {
	if !ok {
		return nil, ErrClosed
	}
	return f, nil
}

func (s *Session) sendCancel(stream uint64) {
	s.sendOnLink(&linkpb.Frame{Stream: stream, Body: &linkpb.Frame_Cancel{Cancel: &linkpb.Cancel{}}})
}

// SendLeaving tells the other node that its server leaves. Without a link it does nothing.
func (s *Session) SendLeaving(l *linkpb.Leaving) {
	s.sendOnLink(&linkpb.Frame{Body: &linkpb.Frame_Leaving{Leaving: l}})
}

// SendQuotaRequest sends a request about quotas. Without a link it does nothing.
func (s *Session) SendQuotaRequest(r *linkpb.QuotaRequest) {
	s.sendOnLink(&linkpb.Frame{Body: &linkpb.Frame_QuotaRequest{QuotaRequest: r}})
}

// sendOnLink writes a frame if there is a link. A failed write closes the link.
func (s *Session) sendOnLink(f *linkpb.Frame) {
	s.mu.Lock()
	client := s.client
	s.mu.Unlock()
	if client != nil {
		client.conn.writeOrClose(f)
	}
}

func (s *Session) register(stream uint64, link *Client) *call {
	c := &call{link: link, sentAt: boottime.Now(), result: make(chan *Result, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[stream] = c
	return c
}

// unregister forgets a call. A result that nobody waits for any more is released.
func (s *Session) unregister(stream uint64, c *call) {
	s.mu.Lock()
	delete(s.calls, stream)
	s.mu.Unlock()
	select {
	case f, ok := <-c.result:
		if ok {
			f.Release()
		}
	default:
	}
}

// deliver passes a result to the call of its stream. A result for a call that has ended is dropped.
func (s *Session) deliver(f *Result) {
	s.mu.Lock()
	c := s.calls[f.Stream]
	if c == nil {
		s.mu.Unlock()
		f.Release()
		return
	}
	delete(s.calls, f.Stream)
	c.result <- f
	s.mu.Unlock()
	s.events.handleProof(f.Frame, c.sentAt)
}
