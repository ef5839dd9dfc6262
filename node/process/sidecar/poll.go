package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// errPollEnded is the cause of the end of a poll that this node has ended to send another one.
var errPollEnded = errors.New("poll ended for another one")

// routingPoll is the request for routing changes that is in progress. It is safe for concurrent use.
type routingPoll struct {
	mu       sync.Mutex
	count    uint64                  // of the requests so far
	cancel   context.CancelCauseFunc // nil while no request is in progress
	began    time.Time
	revision Revision
	wait     time.Duration
}

// begin records the start of a request and returns its context, which end or shorten may cancel. The wait time is set later.
func (p *routingPoll) begin(ctx context.Context, revision Revision) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, p.cancel = context.WithCancelCause(ctx)
	p.count++
	p.began, p.revision, p.wait = time.Now(), revision, routingPollTimeout
	return ctx
}

// setWait records the wait time of the request in progress.
func (p *routingPoll) setWait(wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wait = wait
}

// finish records the end of a request.
func (p *routingPoll) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel(nil)
	p.cancel = nil
}

// shorten ends the request in progress if it is a long poll.
func (p *routingPoll) shorten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil && p.wait > frequentPollTimeout {
		p.cancel(errPollEnded)
	}
}

// end ends the request in progress.
func (p *routingPoll) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel(errPollEnded)
	}
}

// endIfOlder ends the request in progress if it began before a time.
func (p *routingPoll) endIfOlder(than time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil && p.began.Before(than) {
		p.cancel(errPollEnded)
	}
}

// lastsFor reports whether the request in progress has lasted for a time.
func (p *routingPoll) lastsFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cancel != nil && time.Since(p.began) >= d
}

// endAfter ends the request that is in progress now if it still is after a delay.
func (p *routingPoll) endAfter(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel == nil {
		return
	}
	count := p.count
	time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cancel != nil && p.count == count {
			p.cancel(errPollEnded)
		}
	})
}

// String describes the request for logs and for the dump of the process's state.
func (p *routingPoll) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel == nil {
		return "none"
	}
	return fmt.Sprintf("after revision %d of era %d for %s, sent %s ago", p.revision.Row, p.revision.Era, p.wait, time.Since(p.began).Round(time.Millisecond))
}
