package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/internal/wait"
)

const (
	// completeTimeout and releaseTimeout bound the delivery of an outcome or release, including retries. After that the
	// claim is reported as unknown.
	completeTimeout = 10 * time.Minute
	releaseTimeout  = 10 * time.Minute
	// abandonedReleaseTimeout is shorter, since the holder itself releases claims that it never reported as granted. The
	// client's release covers the loss of the holder that handled the claim.
	abandonedReleaseTimeout = time.Minute
	sendTimeout             = 3 * time.Second
	maxDeliveryBackoff      = 2 * time.Second
)

// task is an outcome or release that is being delivered to the holder.
type task struct {
	key     Key
	call    string
	size    int
	timeout time.Duration
	// lowPriority tasks use at most half of maxTasks.
	lowPriority bool
	send        func(ctx context.Context, hint string) (*peerpb.LedgerReply, error)
	// err is set before done is closed.
	err  error
	done chan struct{}
}

// backlog bounds the number and size of the tasks that are not acknowledged.
type backlog struct {
	maxTasks, maxBytes int

	mu     sync.Mutex
	tasks  map[taskKey]int
	count  int
	bytes  int
	closed bool
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

type taskKey struct {
	key  Key
	call string
}

func newBacklog(maxTasks, maxBytes int) *backlog {
	b := &backlog{maxTasks: maxTasks, maxBytes: maxBytes, tasks: map[taskKey]int{}}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b
}

// has reports whether a task of this key and call is not acknowledged yet.
func (b *backlog) has(key Key, call string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tasks[taskKey{key, call}] > 0
}

func (b *backlog) add(t *task) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.maxTasks
	if t.lowPriority {
		limit /= 2
	}
	if b.closed || b.count >= limit || b.bytes+t.size > b.maxBytes {
		return false
	}
	b.tasks[taskKey{t.key, t.call}]++
	b.count++
	b.bytes += t.size
	b.group.Add(1)
	return true
}

func (b *backlog) remove(t *task) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := taskKey{t.key, t.call}
	if b.tasks[k]--; b.tasks[k] == 0 {
		delete(b.tasks, k)
	}
	b.count--
	b.bytes -= t.size
	b.group.Done()
}

// start runs the task in the background.
func (c *Client) start(t *task) error {
	t.done = make(chan struct{})
	if !c.backlog.add(t) {
		return ErrBacklog
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.backlog.ctx, t.timeout)
		defer cancel()
		t.err = c.deliver(ctx, t)
		c.backlog.remove(t)
		close(t.done)
	}()
	return nil
}

// deliver sends the task until the holder acknowledges or rejects it, or ctx is done.
func (c *Client) deliver(ctx context.Context, t *task) error {
	hint := ""
	for backoff := minRetryBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxDeliveryBackoff) {
		sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		reply, err := t.send(sendCtx, hint)
		cancel()
		state := reply.GetState()
		switch {
		case err == nil && state == peerpb.ClaimState_CLAIM_STATE_GRANTED:
			return nil
		case err == nil && (state == peerpb.ClaimState_CLAIM_STATE_UNKNOWN || state == peerpb.ClaimState_CLAIM_STATE_MISMATCH):
			c.count("rejected")
			return ErrRejected
		}
		hint = nextHint(hint, reply.GetHolderNodeId())
		_ = wait.Backoff(ctx, backoff)
	}
	c.count("undelivered")
	return ErrPending
}

// startAndWait starts the task and waits until it ends or ctx is done.
func (c *Client) startAndWait(ctx context.Context, t *task) error {
	if err := c.start(t); err != nil {
		c.count("backlog-full")
		return err
	}
	select {
	case <-t.done:
		return t.err
	case <-ctx.Done():
		return ErrPending
	}
}

// Close waits until all background deliveries have ended, and cancels them when ctx is done. Later outcomes and releases
// fail with ErrBacklog.
func (c *Client) Close(ctx context.Context) {
	b := c.backlog
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	stop := context.AfterFunc(ctx, b.cancel)
	b.group.Wait()
	stop()
	b.cancel()
}
