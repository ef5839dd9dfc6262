package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/radishstand/radishstand/api/peerpb"
)

// Errors of a link.
var (
	// errNotSent means that the call was not handed to the transport and never will be.
	errNotSent = errors.New("peer: call not sent")
	// errLinkBroken means that the stream ended while a call waited for its answer.
	errLinkBroken = errors.New("peer: stream of calls broke")
)

// link is the calling side of the stream that carries all calls to one peer. It is safe for concurrent use.
type link struct {
	stream grpc.BidiStreamingClient[peerpb.CallFrame, peerpb.AnswerFrame]
	cancel context.CancelFunc

	sendMu sync.Mutex

	mu      sync.Mutex
	waiting map[string]chan *peerpb.CallPart
	// closing is set once no further call may be sent.
	closing bool
	used    time.Time
}

func newLink(client peerpb.PeerClient) (*link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.Calls(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	l := &link{stream: stream, cancel: cancel, waiting: map[string]chan *peerpb.CallPart{}, used: time.Now()}
	go l.receive()
	return l, nil
}

// receive hands answers to the calls that wait for them. An answer that nobody waits for is dropped.
func (l *link) receive() {
	defer l.cancel()
	for {
		frame, err := l.stream.Recv()
		if err != nil {
			l.fail()
			return
		}
		if frame.Closing {
			l.halfClose()
		}
		if frame.Part != nil {
			l.deliver(frame.Part)
		}
	}
}

func (l *link) deliver(part *peerpb.CallPart) {
	l.mu.Lock()
	waiter := l.waiting[part.AttemptId]
	delete(l.waiting, part.AttemptId)
	l.mu.Unlock()
	if waiter != nil {
		waiter <- part
	}
}

// fail ends all calls that wait.
func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for _, waiter := range l.waiting {
		close(waiter)
	}
	l.waiting = nil
}

// halfClose sends no further call; the calls that wait still get their answers.
func (l *link) halfClose() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	_ = l.stream.CloseSend()
}

// usable reports whether new calls may be sent.
func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closing
}

// idleSince returns how long no call was sent; zero while any call waits or when the link is closing already.
func (l *link) idleSince(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing || len(l.waiting) > 0 {
		return 0
	}
	return now.Sub(l.used)
}

// call sends a call and waits for the first part of its answer. It returns errNotSent when the call was not sent, and
// errLinkBroken or the error of the context when its fate is open.
func (l *link) call(ctx context.Context, r *peerpb.CallRequest) (*peerpb.CallPart, error) {
	waiter := make(chan *peerpb.CallPart, 1)
	if !l.wait(r.AttemptId, waiter) {
		return nil, errNotSent
	}
	if l.send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Call{Call: r}}) != nil {
		l.forget(r.AttemptId)
		return nil, errNotSent
	}
	select {
	case part, ok := <-waiter:
		if !ok {
			return nil, errLinkBroken
		}
		return part, nil
	case <-ctx.Done():
		l.forget(r.AttemptId)
		_ = l.send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Cancel{Cancel: r.AttemptId}})
		return nil, ctx.Err()
	}
}

func (l *link) wait(attemptID string, waiter chan *peerpb.CallPart) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false
	}
	l.waiting[attemptID] = waiter
	l.used = time.Now()
	return true
}

func (l *link) forget(attemptID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, attemptID)
}

// send hands a frame to the transport. After an error the frame was not handed over: gRPC checks the state of the stream
// before it queues a message, and queues a message whole.
func (l *link) send(frame *peerpb.CallFrame) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.stream.Send(frame)
}
