package peer

import (
	"context"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc/stats"
)

type sentKey struct{}

// withSent returns a context whose RPC sets sent once any part of it goes to the transport. An RPC that fails before
// that has proof that the peer did not see it.
func withSent(ctx context.Context, sent *atomic.Bool) context.Context {
	return context.WithValue(ctx, sentKey{}, sent)
}

// sentTracker sets the mark of withSent.
type sentTracker struct{}

func (sentTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentTracker) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

func (sentTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentTracker) HandleConn(context.Context, stats.ConnStats) {}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
