package front

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// StartDrain refuses new requests after rejectAfterStop.
func (h *Handler) StartDrain() { h.stoppedAt.Store(time.Now().UnixNano()) }

// checkStopping returns the refusal of a request that a stopping node does not accept any more, and nil otherwise.
func (h *Handler) checkStopping(now time.Time) *problem {
	if stopped := h.stoppedAt.Load(); stopped == 0 || now.Sub(time.Unix(0, stopped)) <= rejectAfterStop {
		return nil
	}
	return &problem{status: http.StatusServiceUnavailable, cause: "stopping", retryAfter: stoppingRetryAfter}
}

// EndRequests ends the requests in progress as if their deadlines had passed, and returns their number. Their callers get a response: 503
// if it is confirmed that the request has not started, otherwise 504.
func (h *Handler) EndRequests() int { return h.open.end() }

// requestContext is the context of a request, which may end before its deadline.
type requestContext struct {
	context.Context
	cancel context.CancelFunc
	ended  atomic.Bool
}

// Err is like that of a context whose deadline has passed, after the request was ended.
func (c *requestContext) Err() error {
	err := c.Context.Err()
	if c.ended.Load() && errors.Is(err, context.Canceled) {
		return context.DeadlineExceeded
	}
	return err
}

// openRequests holds the contexts of the requests in progress. It is safe for concurrent use.
type openRequests struct {
	mu   sync.Mutex
	open map[*requestContext]struct{}
}

func newOpenRequests() *openRequests { return &openRequests{open: map[*requestContext]struct{}{}} }

// begin returns the context of a request. Its second result must be called when the request is done.
func (o *openRequests) begin(parent context.Context, deadline time.Time) (context.Context, func()) {
	inner, cancel := context.WithDeadline(parent, deadline)
	c := &requestContext{Context: inner, cancel: cancel}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[c] = struct{}{}
	return c, func() {
		cancel()
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, c)
	}
}

// end ends all requests in progress.
func (o *openRequests) end() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.open {
		if c.Context.Err() == nil {
			c.ended.Store(true)
			c.cancel()
		}
	}
	return len(o.open)
}
