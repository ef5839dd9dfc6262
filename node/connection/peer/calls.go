package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// firstPartBytes is the most that is sent of an answer on the stream that all calls of a peer share. Larger answers are
// fetched on a stream of their own, so that a slow reader of one holds up no other call.
const firstPartBytes = 32 << 10

// stopSignal notifies the streams of a service that the node is stopping.
type stopSignal struct {
	once sync.Once
	ch   chan struct{}
	end  sync.Once
}

func (s *stopSignal) channel() chan struct{} {
	s.once.Do(func() { s.ch = make(chan struct{}) })
	return s.ch
}

// Stop asks all peers to send no further call. Calls that were sent are still answered.
func (s *Service) Stop() {
	ch := s.stopping.channel()
	s.stopping.end.Do(func() { close(ch) })
}

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

// callStream is the serving side of one stream of calls.
type callStream struct {
	service *Service
	stream  grpc.BidiStreamingServer[peerpb.CallFrame, peerpb.AnswerFrame]
	calls   sync.WaitGroup

	sendMu sync.Mutex

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// Calls implements peerpb.PeerServer.
func (s *Service) Calls(stream grpc.BidiStreamingServer[peerpb.CallFrame, peerpb.AnswerFrame]) error {
	if s.Local == nil {
		return errNotServed
	}
	c := &callStream{service: s, stream: stream, cancels: map[string]context.CancelFunc{}}
	done := make(chan struct{})
	defer close(done)
	go c.announceStop(done)
	if err := c.receive(); !errors.Is(err, io.EOF) {
		// The peer is gone. After a half-close, the calls in progress are still answered.
		c.cancelAll()
	}
	c.calls.Wait()
	return nil
}

func (c *callStream) announceStop(done <-chan struct{}) {
	select {
	case <-done:
	case <-c.service.stopping.channel():
		_ = c.send(&peerpb.AnswerFrame{Closing: true})
	}
}

func (c *callStream) receive() error {
	for {
		frame, err := c.stream.Recv()
		if err != nil {
			return err
		}
		switch f := frame.Frame.(type) {
		case *peerpb.CallFrame_Call:
			c.start(f.Call)
		case *peerpb.CallFrame_Cancel:
			c.cancel(f.Cancel)
		}
	}
}

func (c *callStream) start(wire *peerpb.CallRequest) {
	// A large answer is fetched after the stream may have ended, so the call does not end with the stream's context.
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.stream.Context()))
	c.service.active.Add(1)
	c.mu.Lock()
	c.cancels[wire.AttemptId] = cancel
	c.mu.Unlock()
	c.calls.Go(func() {
		defer c.service.active.Add(-1)
		defer c.cancel(wire.AttemptId)
		c.serve(ctx, requestFromWire(wire))
	})
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
