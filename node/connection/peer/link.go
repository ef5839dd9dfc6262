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

	// lane is held for reading by goroutines that send their own call, and for writing by the one whose Send may block.
	lane   sync.RWMutex
	sendMu sync.Mutex

	mu      sync.Mutex
	waiting map[string]waiter
	// sent and received are the bytes of calls handed to the stream and those of them that the peer has received for
	// certain: an answer shows that its call and all earlier ones arrived.
	sent, received int
	// closing is set once no further call may be sent.
	closing bool
	used    time.Time
}

// waiter is a call that waits for its answer.
type waiter struct {
	part chan *peerpb.CallPart
	// sent is the position of the call's end in the stream.
	sent int
}

// directBytes is the most that may be on its way to the peer, a call included, for its own goroutine to send it. It is half
// of what a grpc-go stream queues before Send blocks, which it does without regard to the context of a call.
const directBytes = 32 << 10

func newLink(client peerpb.PeerClient) (*link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.Calls(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	l := &link{stream: stream, cancel: cancel, waiting: map[string]waiter{}, used: time.Now()}
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
	w, ok := l.waiting[part.AttemptId]
	delete(l.waiting, part.AttemptId)
	l.received = max(l.received, w.sent)
	l.mu.Unlock()
	if ok {
		w.part <- part
	}
}

// fail ends all calls that wait.
func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for _, w := range l.waiting {
		close(w.part)
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
// errLinkBroken or the error of the context when its fate is open. It ends with the context even if the peer does not read.
func (l *link) call(ctx context.Context, r *peerpb.CallRequest) (*peerpb.CallPart, error) {
	answer := make(chan *peerpb.CallPart, 1)
	direct, ok := l.wait(r, answer)
	if !ok {
		return nil, errNotSent
	}
	frame := &peerpb.CallFrame{Frame: &peerpb.CallFrame_Call{Call: r}}
	var aside chan error
	if !direct {
		aside = make(chan error, 1)
		go l.sendAside(frame, aside)
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
		case err := <-aside:
			if err != nil {
				l.forget(r.AttemptId)
				return nil, errNotSent
			}
			aside = nil
		case <-ctx.Done():
			l.forget(r.AttemptId)
			go l.sendCancel(r.AttemptId, aside)
			return nil, ctx.Err()
		}
	}
}

// sendDirect sends a call that wait has found to be direct.
func (l *link) sendDirect(frame *peerpb.CallFrame) error {
	defer l.lane.RUnlock()
	return l.send(frame)
}

// sendAside sends a frame in a goroutine of its own, since Send may block.
func (l *link) sendAside(frame *peerpb.CallFrame, sent chan<- error) {
	l.lane.Lock()
	defer l.lane.Unlock()
	sent <- l.send(frame)
}

// sendCancel cancels a call after it was sent; aside is nil or yields the end of its sendAside.
func (l *link) sendCancel(attemptID string, aside <-chan error) {
	if aside != nil && <-aside != nil {
		return
	}
	l.sendAside(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Cancel{Cancel: attemptID}}, make(chan error, 1))
}

// wait books a call that waits for its answer. With direct, Send cannot block and the caller must use sendDirect; otherwise
// it must use sendAside.
func (l *link) wait(r *peerpb.CallRequest, answer chan *peerpb.CallPart) (direct, ok bool) {
	size := frameBytes(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false, false
	}
	l.sent += size
	direct = l.sent-l.received <= directBytes && l.lane.TryRLock()
	l.waiting[r.AttemptId] = waiter{part: answer, sent: l.sent}
	l.used = time.Now()
	return direct, true
}

// frameBytes returns about the size of a call's frame.
func frameBytes(r *peerpb.CallRequest) int {
	const fixed, perString = 256, 8
	n := fixed + len(r.Body) + len(r.Target) + len(r.Host)
	for _, h := range r.Headers {
		n += len(h.Name) + perString
		for _, v := range h.Values {
			n += len(v) + perString
		}
	}
	return n
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
