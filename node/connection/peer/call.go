package peer

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// ErrWrongAttempt means that a peer answered another attempt than the one asked.
var ErrWrongAttempt = errors.New("peer: answer belongs to another attempt")

// Caller carries out attempts at other nodes.
type Caller struct {
	Pool *Pool
}

// Do implements attempt.Doer.
func (c *Caller) Do(ctx context.Context, server balance.Server, r *attempt.Request) (*attempt.Answer, error) {
	client, err := c.Pool.Client(server.Address)
	if err != nil {
		return nil, &attempt.NotRun{Reason: attempt.ReasonUnreachable}
	}
	var sent atomic.Bool
	ctx, cancel := context.WithCancel(withSent(ctx, &sent))
	stream, err := client.Call(ctx, requestToWire(r))
	if err == nil {
		var first *peerpb.CallPart
		if first, err = stream.Recv(); err == nil {
			return firstPart(r, first, stream, cancel)
		}
	}
	defer cancel()
	if !sent.Load() {
		return nil, &attempt.NotRun{Reason: attempt.ReasonUnreachable}
	}
	return nil, &attempt.Broken{Kind: attempt.FromContext(ctx), Cause: err}
}

func firstPart(
	r *attempt.Request, part *peerpb.CallPart, stream grpc.ServerStreamingClient[peerpb.CallPart], cancel func(),
) (*attempt.Answer, error) {
	if part.AttemptId != r.AttemptID {
		cancel()
		return nil, &attempt.Broken{Kind: attempt.KindBroken, Cause: ErrWrongAttempt}
	}
	loads, used := loadsFromWire(part.Loads), int(part.RetriesUsed)
	switch p := part.Part.(type) {
	case *peerpb.CallPart_Refusal:
		cancel()
		return nil, notRunFromWire(p.Refusal, loads, used)
	case *peerpb.CallPart_Head:
		return answerFromWire(r, part, p.Head, loads, stream, cancel), nil
	case *peerpb.CallPart_Failure:
		cancel()
		return nil, &attempt.Broken{Kind: failureFromWire(p.Failure), Loads: loads, RetriesUsed: used}
	}
	cancel()
	return nil, &attempt.Broken{Kind: attempt.KindBroken, Loads: loads, RetriesUsed: used}
}

func notRunFromWire(refusal *peerpb.Refusal, loads []balance.Load, used int) *attempt.NotRun {
	return &attempt.NotRun{
		Reason: reasonFromWire[refusal.Reason], RetryAfter: time.Duration(refusal.RetryAfterUs) * time.Microsecond,
		Hint: refusal.HintServerId, Loads: loads, RetriesUsed: used,
	}
}

func answerFromWire(
	r *attempt.Request, part *peerpb.CallPart, head *peerpb.AnswerHead, loads []balance.Load,
	stream grpc.ServerStreamingClient[peerpb.CallPart], cancel func(),
) *attempt.Answer {
	answer := &attempt.Answer{
		Status: int(head.Status), Header: headerFromWire(head.Headers), ContentLength: head.ContentLength,
		Body: part.Body, Loads: loads, RetriesUsed: int(part.RetriesUsed),
	}
	if part.Last {
		cancel()
		return answer
	}
	answer.Rest = &rest{attemptID: r.AttemptID, stream: stream, cancel: cancel}
	return answer
}

// rest reads the parts after the first one. It ends with io.EOF only after the part marked as the last.
type rest struct {
	attemptID string
	stream    grpc.ServerStreamingClient[peerpb.CallPart]
	cancel    func()
	pending   []byte
	last      bool
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.last {
			return 0, io.EOF
		}
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

func (r *rest) next() error {
	part, err := r.stream.Recv()
	switch {
	case errors.Is(err, io.EOF):
		// The stream ended without a part marked as the last.
		return io.ErrUnexpectedEOF
	case err != nil:
		return &attempt.Broken{Kind: attempt.FromContext(r.stream.Context()), Cause: err}
	case part.AttemptId != r.attemptID:
		return ErrWrongAttempt
	case part.GetFailure() != nil:
		return &attempt.Broken{Kind: failureFromWire(part.GetFailure())}
	}
	r.pending, r.last = part.Body, part.Last
	return nil
}

// Close implements io.Closer.
func (r *rest) Close() error {
	r.cancel()
	return nil
}
