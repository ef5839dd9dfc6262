package node

import (
	"context"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/peer"
)

// transport sends the messages of the membership and measures their round trips.
type transport struct {
	pool *peer.Pool
	// onRoundTrip is called with the round trip of each message that the addressed node answered itself.
	onRoundTrip func(address string, roundTrip time.Duration)
}

// Ping implements membership.Transport. Relayed pings are not measured, since they also include the round trip to the
// target.
func (t transport) Ping(ctx context.Context, address string, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	client, err := t.pool.Client(address)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	reply, err := client.Ping(ctx, r)
	if err == nil && r.Target == "" {
		t.onRoundTrip(address, time.Since(start))
	}
	return reply, err
}

// Sync implements membership.Transport.
func (t transport) Sync(ctx context.Context, address string, r *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	client, err := t.pool.Client(address)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	reply, err := client.Sync(ctx, r)
	if err == nil {
		t.onRoundTrip(address, time.Since(start))
	}
	return reply, err
}

// ledgerPeers sends the messages of the ledger to other nodes.
type ledgerPeers struct{ pool *peer.Pool }

// Claim implements ledger.Peers.
func (p ledgerPeers) Claim(ctx context.Context, member string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	client, err := p.pool.Client(member)
	if err != nil {
		return nil, err
	}
	return client.Claim(ctx, r)
}

// Complete implements ledger.Peers.
func (p ledgerPeers) Complete(ctx context.Context, member string, r *peerpb.CompleteRequest) (*peerpb.LedgerReply, error) {
	client, err := p.pool.Client(member)
	if err != nil {
		return nil, err
	}
	return client.Complete(ctx, r)
}

// Release implements ledger.Peers.
func (p ledgerPeers) Release(ctx context.Context, member string, r *peerpb.ReleaseRequest) (*peerpb.LedgerReply, error) {
	client, err := p.pool.Client(member)
	if err != nil {
		return nil, err
	}
	return client.Release(ctx, r)
}

// Epochs implements ledger.EpochPeers.
func (p ledgerPeers) Epochs(ctx context.Context, member string, r *peerpb.EpochsRequest) (*peerpb.EpochsReply, error) {
	client, err := p.pool.Client(member)
	if err != nil {
		return nil, err
	}
	return client.Epochs(ctx, r)
}
