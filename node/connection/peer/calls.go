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

// maxFirstPartBytes is the largest body that is sent on the call stream, which all calls from a peer share. Larger answers
// are fetched on a stream of their own, so that a slow reader of one does not block other calls.
const maxFirstPartBytes = 32 << 10

// callStreams tracks the open call streams of a service.
type callStreams struct {
	mu       sync.Mutex
	open     map[*callStream]struct{}
	stopping bool
}

// add registers a new stream. If the node is already stopping, it announces this on the stream.
func (s *callStreams) add(c *callStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*callStream]struct{}{}
	}
	s.open[c] = struct{}{}
	if s.stopping {
		c.announcements.Go(c.announceStop)
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
		// Each announcement has its own goroutine, since a peer that does not read would delay the others.
		c.announcements.Go(c.announceStop)
	}
}

// Stop asks all peers to send no more calls. Calls that were already sent are still answered.
func (s *Service) Stop() { s.streams.stop() }

// drainPollInterval is the interval at which Drain checks whether any calls remain.
const drainPollInterval = 10 * time.Millisecond

// Drain stops the service and waits until all calls are answered and all large answers are fetched, or until ctx ends. The
// server must keep serving in the meantime, since large answers are fetched by separate calls.
func (s *Service) Drain(ctx context.Context) {
	s.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.active.Load() > 0 || s.pending.len() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// maxIdleWorkers is the number of workers of a stream that are kept in addition to the receiving one.
const maxIdleWorkers = 2

// callStream is the server side of one call stream. Its workers take turns receiving: the worker that receives a call also
// serves it, while another one receives. Compared with a new goroutine for each call, this avoids growing a new stack and
// handing over the call.
type callStream struct {
	service *Service
	stream  grpc.BidiStreamingServer[peerpb.CallFrame, peerpb.AnswerFrame]
	// base is the parent context of all calls. It is detached from the stream's context, because a large answer may be
	// fetched after the stream has ended.
	base    context.Context
	workers sync.WaitGroup
	// announcements tracks the goroutines that run announceStop. The stream's handler returns only after they have ended.
	announcements sync.WaitGroup

	// receiveMu is held by the worker that receives, and guards ended.
	receiveMu sync.Mutex
	ended     bool
	// idle counts the workers that wait for receiveMu.
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
	defer c.announcements.Wait()
	defer s.streams.remove(c)
	c.idle.Add(1)
	c.runWorker()
	c.workers.Wait()
	return nil
}

// runWorker receives and serves calls until the stream ends or maxIdleWorkers other workers are idle.
func (c *callStream) runWorker() {
	for {
		c.receiveMu.Lock()
		c.idle.Add(-1)
		wire := c.receive()
		if wire == nil {
			c.receiveMu.Unlock()
			return
		}
		ctx := c.start(wire)
		if c.idle.Load() == 0 {
			c.idle.Add(1)
			c.workers.Go(c.runWorker)
		}
		c.receiveMu.Unlock()
		c.run(ctx, wire)
		if !c.becomeIdle() {
			return
		}
	}
}

// becomeIdle counts the worker as idle unless maxIdleWorkers already are. A worker that exits must never be counted, not
// even briefly: another one would rely on it to receive.
func (c *callStream) becomeIdle() bool {
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

// receive returns the next call, or nil at the end of the stream. The caller holds receiveMu.
func (c *callStream) receive() *peerpb.CallRequest {
	for !c.ended {
		frame, err := c.stream.Recv()
		if err != nil {
			c.ended = true
			if !errors.Is(err, io.EOF) {
				// The connection to the peer is lost. After a half-close, calls in progress are still answered.
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

// start registers a call. It runs before the next frame is received, so that a cancellation finds the call.
func (c *callStream) start(wire *peerpb.CallRequest) context.Context {
	ctx, cancel := context.WithCancel(c.base)
	c.service.active.Add(1)
	c.mu.Lock()
	c.cancels[wire.AttemptId] = cancel
	c.mu.Unlock()
	return ctx
}

// run serves a call that start has registered, and unregisters it.
func (c *callStream) run(ctx context.Context, wire *peerpb.CallRequest) {
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
		// The context of a streamed answer must remain valid after this function returns.
		c.forget(r.AttemptID)
		c.service.pending.put(r.AttemptID, answer, deadline)
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

// headPart builds the first part of an answer. A body that does not fit stays in the answer.
func headPart(attemptID string, a *attempt.Answer) *peerpb.CallPart {
	part := &peerpb.CallPart{
		AttemptId: attemptID,
		Part: &peerpb.CallPart_Head{Head: &peerpb.AnswerHead{
			Status: int32(a.Status), Headers: headerToWire(a.Header), ContentLength: a.ContentLength,
		}},
		Loads: loadsToWire(a.Loads), RetriesUsed: int32(a.RetriesUsed),
	}
	if len(a.Body) <= maxFirstPartBytes && a.Rest == nil {
		part.Body, part.Last = a.Body, true
	}
	return part
}

// pendingAnswers holds the large answers that peers have yet to fetch.
type pendingAnswers struct {
	mu      sync.Mutex
	answers map[string]*pendingAnswer
}

type pendingAnswer struct {
	answer *attempt.Answer
	expire *time.Timer
}

// put stores an answer until it is fetched or its deadline passes.
func (p *pendingAnswers) put(attemptID string, a *attempt.Answer, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answers == nil {
		p.answers = map[string]*pendingAnswer{}
	}
	p.answers[attemptID] = &pendingAnswer{answer: a, expire: time.AfterFunc(time.Until(deadline), func() {
		if answer := p.take(attemptID); answer != nil {
			answer.Close()
		}
	})}
}

func (p *pendingAnswers) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.answers)
}

// take removes and returns the answer of an attempt, or returns nil if there is none.
func (p *pendingAnswers) take(attemptID string) *attempt.Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := p.answers[attemptID]
	if pending == nil {
		return nil
	}
	pending.expire.Stop()
	delete(p.answers, attemptID)
	return pending.answer
}
