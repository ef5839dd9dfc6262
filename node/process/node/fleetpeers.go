package node

import (
	"context"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/peer"
)

// transport sends the messages of the membership.
type transport struct{ pool *peer.Pool }

// Ping implements membership.Transport.
func (t transport) Ping(ctx context.Context, address string, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	client, err := t.pool.Client(address)
	if err != nil {
		return nil, err
	}
	return client.Ping(ctx, r)
}

// Sync implements membership.Transport.
func (t transport) Sync(ctx context.Context, address string, r *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	client, err := t.pool.Client(address)
	if err != nil {
		return nil, err
	}
	return client.Sync(ctx, r)
}

// ledgerPeers sends the messages of the ledger.
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
