package peers

import (
	"context"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
)

// serveLocally runs a call at the server beside this node. When ctx ends, a call that is not idempotent is not aborted: like for a
// call at another node, its result is awaited for link.ConfirmationTimeout more. After that it continues, and its result is dropped.
func (p *Set) serveLocally(ctx context.Context, call *linkpb.Call) (*link.Result, error) {
	if call.Idempotent {
		return p.serveAndWait(ctx, call), nil
	}
	result := make(chan *link.Result, 1)
	go func() { result <- p.serveAndWait(ctx, call) }()
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
	}
	timer := time.NewTimer(link.ConfirmationTimeout)
	defer timer.Stop()
	select {
	case r := <-result:
		return r, nil
	case <-timer.C:
		go func() { (<-result).Release() }()
		return nil, ctx.Err()
	}
}

// serveAndWait runs a call at the server beside this node. Serve releases the memory that it reserved for the answer when it returns, so
// the memory is reserved again for the caller.
func (p *Set) serveAndWait(ctx context.Context, call *linkpb.Call) *link.Result {
	var frame *linkpb.Frame
	p.config.Serve(ctx, call, func(f *linkpb.Frame) { frame = f })
	memory := p.config.Memory.Reserve()
	if err := memory.Grow(int64(len(frame.GetAnswer().GetBody()))); err != nil {
		frame = &linkpb.Frame{Body: &linkpb.Frame_Broken{Broken: &linkpb.Broken{Cause: err.Error()}}}
	}
	return link.NewResult(frame, memory)
}
