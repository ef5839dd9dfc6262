package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// firstPartBytes is the most that is sent of an answer on the stream that all calls of a peer share. Larger answers are
// fetched on a stream of their own, so that a slow reader of one holds up no other call.
const firstPartBytes = 32 << 10

// callStreams are the streams of calls that a service serves.
type callStreams struct {
	mu       sync.Mutex
	open     map[*callStream]struct{}
	stopping bool
}

// add announces to a new stream that the node is stopping if it is.
func (s *callStreams) add(c *callStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*callStream]struct{}{}
	}
	s.open[c] = struct{}{}
	if s.stopping {
		c.announcement.Go(c.announceStop)
	}
}

func (s *callStreams) remove(c *callStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *callStreams) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	for c := range s.open {
		// A peer that does not read would hold up the others.
		c.announcement.Go(c.announceStop)
	}
}

// Stop asks all peers to send no further call. Calls that were sent are still answered.
func (s *Service) Stop() { s.streams.stop() }

// drainPoll is how often Drain looks whether calls are left.
const drainPoll = 10 * time.Millisecond

// Drain stops the service and waits until all calls are answered and all large answers are fetched, or until ctx ends. The
// server must go on serving meanwhile, since large answers are fetched by calls of their own.
func (s *Service) Drain(ctx context.Context) {
	s.Stop()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.active.Load() > 0 || s.parked.len() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// maxIdleWorkers is the number of workers of a stream that are kept beside the one that receives.
const maxIdleWorkers = 2

// callStream is the serving side of one stream of calls. Its workers take turns in receiving: the worker that receives a
// call serves it while another one receives. Against a new goroutine for each call, this saves the growth of its stack and
// the hand-over of the call.
type callStream struct {
	service *Service
	stream  grpc.BidiStreamingServer[peerpb.CallFrame, peerpb.AnswerFrame]
	// base is the context of calls. A large answer is fetched after the stream may have ended, so a call does not end with
	// the stream's context.
	base    context.Context
	workers sync.WaitGroup
	// announcement runs announceStop while the stream is open.
	announcement sync.WaitGroup

	// turn is held by the worker that receives, and guards ended.
	turn  sync.Mutex
	ended bool
	// idle counts the workers that wait for their turn.
	idle atomic.Int32

	sendMu sync.Mutex

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// Calls implements peerpb.PeerServer.
func (s *Service) Calls(stream grpc.BidiStreamingServer[peerpb.CallFrame, peerpb.AnswerFrame]) error {
	if s.Local == nil {
		return errNotServed
	}
	c := &callStream{
		service: s, stream: stream, base: context.WithoutCancel(stream.Context()), cancels: map[string]context.CancelFunc{},
	}
	s.streams.add(c)
	defer c.announcement.Wait()
	defer s.streams.remove(c)
	c.idle.Add(1)
	c.work()
	c.workers.Wait()
	return nil
}

// work receives and serves calls until the stream ends or enough other workers wait.
func (c *callStream) work() {
	for {
		c.turn.Lock()
		c.idle.Add(-1)
		wire := c.receive()
		if wire == nil {
			c.turn.Unlock()
			return
		}
		ctx := c.start(wire)
		if c.idle.Load() == 0 {
			c.idle.Add(1)
			c.workers.Go(c.work)
		}
		c.turn.Unlock()
		c.finish(ctx, wire)
		if !c.join() {
			return
		}
	}
}

// join counts the worker as idle unless enough others are. A worker that leaves must never be counted, not even for a moment:
// another one would rely on it to receive.
func (c *callStream) join() bool {
	for {
		n := c.idle.Load()
		if n >= maxIdleWorkers {
			return false
		}
		if c.idle.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (c *callStream) announceStop() { _ = c.send(&peerpb.AnswerFrame{Closing: true}) }

// receive returns the next call, or nil at the end of the stream. The caller holds turn.
func (c *callStream) receive() *peerpb.CallRequest {
	for !c.ended {
		frame, err := c.stream.Recv()
		if err != nil {
			c.ended = true
			if !errors.Is(err, io.EOF) {
				// The peer is gone. After a half-close, the calls in progress are still answered.
				c.cancelAll()
			}
			break
		}
		switch f := frame.Frame.(type) {
		case *peerpb.CallFrame_Call:
			return f.Call
		case *peerpb.CallFrame_Cancel:
			c.cancel(f.Cancel)
		}
	}
	return nil
}

// start books a call before a cancellation of it can be received.
func (c *callStream) start(wire *peerpb.CallRequest) context.Context {
	ctx, cancel := context.WithCancel(c.base)
	c.service.active.Add(1)
	c.mu.Lock()
	c.cancels[wire.AttemptId] = cancel
	c.mu.Unlock()
	return ctx
}

func (c *callStream) finish(ctx context.Context, wire *peerpb.CallRequest) {
	defer c.service.active.Add(-1)
	defer c.cancel(wire.AttemptId)
	c.serve(ctx, requestFromWire(wire))
}

func (c *callStream) cancel(attemptID string) {
	c.mu.Lock()
	cancel := c.cancels[attemptID]
	delete(c.cancels, attemptID)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *callStream) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel()
	}
}

func (c *callStream) serve(ctx context.Context, r *attempt.Request) {
	deadline := time.Now().Add(r.Timeout)
	answer, err := c.service.Local.Do(ctx, r)
	if err != nil {
		_ = c.send(&peerpb.AnswerFrame{Part: errorPart(r.AttemptID, err)})
		return
	}
	first := headPart(r.AttemptID, answer)
	if !first.Last {
		// The context of a streamed answer must outlive this function.
		c.forget(r.AttemptID)
		c.service.parked.put(r.AttemptID, answer, deadline)
	}
	if c.send(&peerpb.AnswerFrame{Part: first}) != nil {
		answer.Close()
	}
}

// forget drops the cancel function of a call without calling it.
func (c *callStream) forget(attemptID string) {
	c.mu.Lock()
	delete(c.cancels, attemptID)
	c.mu.Unlock()
}

func (c *callStream) send(frame *peerpb.AnswerFrame) error {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	return c.stream.Send(frame)
}

// headPart makes the first part of an answer. What does not fit stays in the answer.
func headPart(attemptID string, a *attempt.Answer) *peerpb.CallPart {
	part := &peerpb.CallPart{
		AttemptId: attemptID,
		Part: &peerpb.CallPart_Head{Head: &peerpb.AnswerHead{
			Status: int32(a.Status), Headers: headerToWire(a.Header), ContentLength: a.ContentLength,
		}},
		Loads: loadsToWire(a.Loads), RetriesUsed: int32(a.RetriesUsed),
	}
	if len(a.Body) <= firstPartBytes && a.Rest == nil {
		part.Body, part.Last = a.Body, true
	}
	return part
}

// parked holds the large answers that wait to be fetched.
type parked struct {
	mu      sync.Mutex
	answers map[string]*parkedAnswer
}

type parkedAnswer struct {
	answer *attempt.Answer
	expire *time.Timer
}

// put keeps an answer until it is taken or its deadline passes.
func (p *parked) put(attemptID string, a *attempt.Answer, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answers == nil {
		p.answers = map[string]*parkedAnswer{}
	}
	p.answers[attemptID] = &parkedAnswer{answer: a, expire: time.AfterFunc(time.Until(deadline), func() {
		if answer := p.take(attemptID); answer != nil {
			answer.Close()
		}
	})}
}

func (p *parked) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.answers)
}

func (p *parked) take(attemptID string) *attempt.Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.answers[attemptID]
	if kept == nil {
		return nil
	}
	kept.expire.Stop()
	delete(p.answers, attemptID)
	return kept.answer
}
