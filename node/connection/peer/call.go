package peer

import (
	"context"
	"errors"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// ErrWrongAttempt means that the attempt ID of a peer's answer differs from that of the request.
var ErrWrongAttempt = errors.New("peer: answer carries the ID of another attempt")

// Caller sends attempts to other nodes.
type Caller struct {
	Pool *Pool
}

// Do implements attempt.Doer.
func (c *Caller) Do(ctx context.Context, server balance.Server, r *attempt.Request) (*attempt.Answer, error) {
	l, err := c.Pool.link(ctx, server.Address)
	if err != nil {
		return nil, &attempt.NotRun{Reason: attempt.ReasonUnreachable}
	}
	part, err := l.call(ctx, requestToWire(r))
	switch {
	case errors.Is(err, errNotSent):
		return nil, &attempt.NotRun{Reason: attempt.ReasonUnreachable}
	case err != nil:
		return nil, &attempt.Broken{Kind: attempt.KindFromContext(ctx), Cause: err}
	case part.AttemptId != r.AttemptID:
		return nil, &attempt.Broken{Kind: attempt.KindBroken, Cause: ErrWrongAttempt}
	}
	return c.answer(ctx, server, part)
}

// answer converts the first part of an answer to an attempt.Answer or an error.
func (c *Caller) answer(ctx context.Context, server balance.Server, part *peerpb.CallPart) (*attempt.Answer, error) {
	loads, used := loadsFromWire(part.Loads, server.ID), int(part.RetriesUsed)
	switch p := part.Part.(type) {
	case *peerpb.CallPart_Refusal:
		return nil, &attempt.NotRun{
			Reason:     reasonFromWire[p.Refusal.Reason],
			RetryAfter: time.Duration(p.Refusal.RetryAfterUs) * time.Microsecond,
			Hint:       p.Refusal.HintServerId, Loads: loads, RetriesUsed: used,
		}
	case *peerpb.CallPart_Failure:
		return nil, &attempt.Broken{Kind: failureFromWire(p.Failure), Loads: loads, RetriesUsed: used}
	case *peerpb.CallPart_Head:
		answer := &attempt.Answer{
			Status: int(p.Head.Status), Header: headerFromWire(p.Head.Headers), ContentLength: p.Head.ContentLength,
			Body: part.Body, Loads: loads, RetriesUsed: used,
		}
		if part.Last {
			return answer, nil
		}
		return c.openRest(ctx, server.Address, part.AttemptId, answer)
	}
	return nil, &attempt.Broken{Kind: attempt.KindBroken, Loads: loads, RetriesUsed: used}
}

// openRest opens the stream on which the body of a large answer is received.
func (c *Caller) openRest(ctx context.Context, address, attemptID string, a *attempt.Answer) (*attempt.Answer, error) {
	client, err := c.Pool.Client(address)
	if err != nil {
		return nil, &attempt.Broken{Kind: attempt.KindBroken, Cause: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := client.Rest(ctx, &peerpb.RestRequest{AttemptId: attemptID})
	if err != nil {
		cancel()
		return nil, &attempt.Broken{Kind: attempt.KindFromContext(ctx), Cause: err}
	}
	a.Rest = &restReader{attemptID: attemptID, stream: stream, cancel: cancel}
	return a, nil
}
