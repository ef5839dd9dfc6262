// Package peer carries calls and control messages between nodes over gRPC.
package peer

import (
	"context"
	"errors"
	"sync/atomic"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// partBytes is the size of the parts into which the body of a large answer is split.
const partBytes = 64 << 10

// LocalServer runs attempts on the backend server beside this node.
type LocalServer interface {
	Do(ctx context.Context, r *attempt.Request) (*attempt.Answer, error)
}

// Membership handles the messages of the membership protocol.
type Membership interface {
	HandlePing(ctx context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error)
	HandleSync(ctx context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error)
}

// Settings handles the messages that distribute settings versions.
type Settings interface {
	HandleFetch(ctx context.Context, r *peerpb.FetchSettingsRequest) (*peerpb.FetchSettingsReply, error)
	HandleCount(ctx context.Context, r *peerpb.CountInForceRequest) (*peerpb.CountInForceReply, error)
}

// Ledger handles the messages of the idempotency ledger.
type Ledger interface {
	HandleClaim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	HandleComplete(ctx context.Context, r *peerpb.CompleteRequest) (*peerpb.LedgerReply, error)
	HandleRelease(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.LedgerReply, error)
	HandleEpochs(ctx context.Context, r *peerpb.EpochsRequest) (*peerpb.EpochsReply, error)
}

// Service implements peerpb.PeerServer. Messages to a component that is nil are answered with Unimplemented.
type Service struct {
	peerpb.UnimplementedPeerServer
	Local      LocalServer
	Membership Membership
	Settings   Settings
	Ledger     Ledger

	// active counts the calls in progress on all streams.
	active  atomic.Int64
	pending pendingAnswers
	streams callStreams
}

// errNotServed is the answer to messages of a component that is nil.
var errNotServed = status.Error(codes.Unimplemented, "not served by this node")

// errorPart converts an error of an attempt to a refusal or a failure.
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

// CountInForce implements peerpb.PeerServer.
func (s *Service) CountInForce(ctx context.Context, r *peerpb.CountInForceRequest) (*peerpb.CountInForceReply, error) {
	if s.Settings == nil {
		return nil, errNotServed
	}
	return s.Settings.HandleCount(ctx, r)
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

// Epochs implements peerpb.PeerServer.
func (s *Service) Epochs(ctx context.Context, r *peerpb.EpochsRequest) (*peerpb.EpochsReply, error) {
	if s.Ledger == nil {
		return nil, errNotServed
	}
	return s.Ledger.HandleEpochs(ctx, r)
}
