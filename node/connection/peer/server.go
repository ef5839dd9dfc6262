// Package peer carries calls and control messages between nodes over gRPC.
package peer

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// partBytes is the size of the parts in which a large answer is sent.
const partBytes = 64 << 10

// LocalServer carries out attempts at the backend server beside this node.
type LocalServer interface {
	Do(ctx context.Context, r *attempt.Request) (*attempt.Answer, error)
}

// Membership handles the control messages of the fleet.
type Membership interface {
	HandlePing(ctx context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error)
	HandleSync(ctx context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error)
}

// Settings hands out settings versions.
type Settings interface {
	HandleFetch(ctx context.Context, r *peerpb.FetchSettingsRequest) (*peerpb.FetchSettingsReply, error)
}

// Ledger handles the messages of the idempotency ledger.
type Ledger interface {
	HandleClaim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	HandleComplete(ctx context.Context, r *peerpb.CompleteRequest) (*peerpb.LedgerReply, error)
	HandleRelease(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.LedgerReply, error)
}

// Service implements peerpb.PeerServer. A nil part answers Unimplemented.
type Service struct {
	peerpb.UnimplementedPeerServer
	Local      LocalServer
	Membership Membership
	Settings   Settings
	Ledger     Ledger
}

// errNotServed is returned for messages that this node does not handle.
var errNotServed = status.Error(codes.Unimplemented, "not served by this node")

// Call implements peerpb.PeerServer.
func (s *Service) Call(wire *peerpb.CallRequest, stream grpc.ServerStreamingServer[peerpb.CallPart]) error {
	if s.Local == nil {
		return errNotServed
	}
	answer, err := s.Local.Do(stream.Context(), requestFromWire(wire))
	if err != nil {
		return stream.Send(errorPart(wire.AttemptId, err))
	}
	defer answer.Close()
	return sendAnswer(wire.AttemptId, answer, stream)
}

func errorPart(attemptID string, err error) *peerpb.CallPart {
	part := &peerpb.CallPart{AttemptId: attemptID, Last: true}
	var notRun *attempt.NotRun
	var broken *attempt.Broken
	switch {
	case errors.As(err, &notRun):
		part.Part = &peerpb.CallPart_Refusal{Refusal: refusalToWire(notRun)}
		part.Loads = loadsToWire(notRun.Loads)
		part.RetriesUsed = int32(notRun.RetriesUsed)
	case errors.As(err, &broken):
		part.Part = failurePart(broken.Kind)
		part.Loads = loadsToWire(broken.Loads)
		part.RetriesUsed = int32(broken.RetriesUsed)
	default:
		part.Part = failurePart(attempt.KindBroken)
	}
	return part
}

func failurePart(kind attempt.Kind) *peerpb.CallPart_Failure {
	return &peerpb.CallPart_Failure{Failure: &peerpb.Failure{Kind: kindToWire[kind]}}
}

func sendAnswer(attemptID string, a *attempt.Answer, stream grpc.ServerStreamingServer[peerpb.CallPart]) error {
	first := &peerpb.CallPart{
		AttemptId: attemptID,
		Part: &peerpb.CallPart_Head{Head: &peerpb.AnswerHead{
			Status: int32(a.Status), Headers: headerToWire(a.Header), ContentLength: a.ContentLength,
		}},
		Body: a.Body, Last: a.Rest == nil, Loads: loadsToWire(a.Loads), RetriesUsed: int32(a.RetriesUsed),
	}
	if err := stream.Send(first); err != nil || a.Rest == nil {
		return err
	}
	return sendRest(attemptID, a.Rest, stream)
}

func sendRest(attemptID string, rest io.Reader, stream grpc.ServerStreamingServer[peerpb.CallPart]) error {
	buffer := make([]byte, partBytes)
	for {
		n, err := fill(rest, buffer)
		part := &peerpb.CallPart{AttemptId: attemptID, Body: buffer[:n]}
		switch {
		case err == nil:
		case err == io.EOF:
			part.Last = true
		default:
			part.Part, part.Last = failurePart(attempt.KindTruncated), true
		}
		if sendErr := stream.Send(part); sendErr != nil || part.Last {
			return sendErr
		}
	}
}

// fill reads until the buffer is full or the reader fails. Unlike io.ReadFull it keeps the reader's error, since
// io.ErrUnexpectedEOF from the reader means a truncated body.
func fill(r io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := r.Read(buffer[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Ping implements peerpb.PeerServer.
func (s *Service) Ping(ctx context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	if s.Membership == nil {
		return nil, errNotServed
	}
	return s.Membership.HandlePing(ctx, r)
}

// Sync implements peerpb.PeerServer.
func (s *Service) Sync(ctx context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	if s.Membership == nil {
		return nil, errNotServed
	}
	return s.Membership.HandleSync(ctx, r)
}

// FetchSettings implements peerpb.PeerServer.
func (s *Service) FetchSettings(ctx context.Context, r *peerpb.FetchSettingsRequest) (*peerpb.FetchSettingsReply, error) {
	if s.Settings == nil {
		return nil, errNotServed
	}
	return s.Settings.HandleFetch(ctx, r)
}

// Claim implements peerpb.PeerServer.
func (s *Service) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	if s.Ledger == nil {
		return nil, errNotServed
	}
	return s.Ledger.HandleClaim(ctx, r)
}

// Complete implements peerpb.PeerServer.
func (s *Service) Complete(ctx context.Context, r *peerpb.CompleteRequest) (*peerpb.LedgerReply, error) {
	if s.Ledger == nil {
		return nil, errNotServed
	}
	return s.Ledger.HandleComplete(ctx, r)
}

// Release implements peerpb.PeerServer.
func (s *Service) Release(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.LedgerReply, error) {
	if s.Ledger == nil {
		return nil, errNotServed
	}
	return s.Ledger.HandleRelease(ctx, r)
}
