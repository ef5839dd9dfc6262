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
	errLinkBroken = errors.New("peer: call stream ended")
)

// link is the client side of the call stream, which carries all calls to one peer. It is safe for concurrent use.
type link struct {
	stream grpc.BidiStreamingClient[peerpb.CallFrame, peerpb.AnswerFrame]
	cancel context.CancelFunc

	// blockingMu is held for reading by goroutines that use sendDirect, and for writing by the one that uses sendBlocking.
	blockingMu sync.RWMutex
	sendMu     sync.Mutex

	mu      sync.Mutex
	waiting map[string]waiter
	// sent is the number of bytes of calls passed to the stream. received is the number of these that the peer is known to
	// have received: an answer proves that its call and all earlier ones arrived.
	sent, received int
	// closing is set once no more calls may be sent.
	closing  bool
	lastUsed time.Time
}

// waiter is a call that waits for its answer.
type waiter struct {
	part chan *peerpb.CallPart
	// endOffset is the position of the call's end in the stream, in bytes.
	endOffset int
}

// maxDirectBytes is the maximum number of bytes in transit to the peer, including the new call, at which the goroutine of a
// call sends it itself. It is half of what a grpc-go stream queues before Send blocks; Send ignores the context of the call.
const maxDirectBytes = 32 << 10

func newLink(client peerpb.PeerClient) (*link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.Calls(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	l := &link{stream: stream, cancel: cancel, waiting: map[string]waiter{}, lastUsed: time.Now()}
	go l.receive()
	return l, nil
}

// receive passes answers to the calls that wait for them. An answer without a waiting call is dropped.
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
	w, ok := l.waiting[part.AttemptId]
	delete(l.waiting, part.AttemptId)
	l.received = max(l.received, w.endOffset)
	l.mu.Unlock()
	if ok {
		w.part <- part
	}
}

// fail closes the link and ends all waiting calls with errLinkBroken.
func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for _, w := range l.waiting {
		close(w.part)
	}
	l.waiting = nil
}

// halfClose closes the link for new calls. Waiting calls still get their answers.
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

// idleTime returns the time since the last call was sent. It is zero while a call waits or if the link is closing.
func (l *link) idleTime(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing || len(l.waiting) > 0 {
		return 0
	}
	return now.Sub(l.lastUsed)
}

// call sends a call and waits for the first part of its answer. It returns errNotSent if the call was not sent, and
// errLinkBroken or the error of the context if its outcome is unknown. It returns when the context ends, even if the peer
// does not read.
func (l *link) call(ctx context.Context, r *peerpb.CallRequest) (*peerpb.CallPart, error) {
	answer := make(chan *peerpb.CallPart, 1)
	direct, ok := l.register(r, answer)
	if !ok {
		return nil, errNotSent
	}
	frame := &peerpb.CallFrame{Frame: &peerpb.CallFrame_Call{Call: r}}
	var sendDone chan error
	if !direct {
		sendDone = make(chan error, 1)
		go l.sendBlocking(frame, sendDone)
	} else if l.sendDirect(frame) != nil {
		l.forget(r.AttemptId)
		return nil, errNotSent
	}
	for {
		select {
		case part, ok := <-answer:
			if !ok {
				return nil, errLinkBroken
			}
			return part, nil
		case err := <-sendDone:
			if err != nil {
				l.forget(r.AttemptId)
				return nil, errNotSent
			}
			sendDone = nil
		case <-ctx.Done():
			l.forget(r.AttemptId)
			go l.sendCancel(r.AttemptId, sendDone)
			return nil, ctx.Err()
		}
	}
}

// sendDirect sends a call for which register returned direct. It releases the read lock on blockingMu that register took.
func (l *link) sendDirect(frame *peerpb.CallFrame) error {
	defer l.blockingMu.RUnlock()
	return l.send(frame)
}

// sendBlocking sends a frame with a Send that may block. It runs in a goroutine other than that of the call.
func (l *link) sendBlocking(frame *peerpb.CallFrame, sent chan<- error) {
	l.blockingMu.Lock()
	defer l.blockingMu.Unlock()
	sent <- l.send(frame)
}

// sendCancel cancels a call after it was sent. sendDone is nil, or receives the result of the call's sendBlocking.
func (l *link) sendCancel(attemptID string, sendDone <-chan error) {
	if sendDone != nil && <-sendDone != nil {
		return
	}
	l.sendBlocking(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Cancel{Cancel: attemptID}}, make(chan error, 1))
}

// register adds a call that waits for its answer. If direct is true, Send cannot block and the caller must use sendDirect;
// otherwise it must use sendBlocking.
func (l *link) register(r *peerpb.CallRequest, answer chan *peerpb.CallPart) (direct, ok bool) {
	size := frameBytes(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false, false
	}
	l.sent += size
	direct = l.sent-l.received <= maxDirectBytes && l.blockingMu.TryRLock()
	l.waiting[r.AttemptId] = waiter{part: answer, endOffset: l.sent}
	l.lastUsed = time.Now()
	return direct, true
}

// frameBytes returns the approximate size of a call's frame.
func frameBytes(r *peerpb.CallRequest) int {
	const fixedBytes, perStringBytes = 256, 8
	n := fixedBytes + len(r.Body) + len(r.Target) + len(r.Host)
	for _, h := range r.Headers {
		n += len(h.Name) + perStringBytes
		for _, v := range h.Values {
			n += len(v) + perStringBytes
		}
	}
	return n
}

func (l *link) forget(attemptID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, attemptID)
}

// send passes a frame to the transport. If it returns an error, the frame was not passed on: gRPC checks the state of the
// stream before it queues a message, and queues messages whole.
func (l *link) send(frame *peerpb.CallFrame) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.stream.Send(frame)
}
