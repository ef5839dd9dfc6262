package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
)

const (
	dialTimeout = time.Second
	// silence is the time without a frame after which a link with calls in progress is asked for a sign of life, and the
	// time that the answer may take before the link counts as suspect.
	silence = 250 * time.Millisecond
	// giveUp is the time without an answer to a ping after which a link is closed.
	giveUp = 2 * time.Second
)

// keepAlive finds links that have gone silent while they are idle. Only the kernel takes part.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 2}

// NotSentError means that the call did not leave this node.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "call not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Events are the frames that a client gets outside its calls. The functions must not block.
type Events struct {
	State   func(*linkpb.State)
	Version func(uint64)
	Routing func([]byte)
	// LocalVersion returns the number of the routing version in force at this node.
	LocalVersion func() uint64
}

// Client sends calls to one node. It is safe for concurrent use.
type Client struct {
	wire   *wire
	events Events
	stream atomic.Uint64
	// received and pinged are Unix times in nanoseconds; pinged is 0 while no ping is unanswered.
	received atomic.Int64
	pinged   atomic.Int64
	done     chan struct{}

	mu      sync.Mutex
	pending map[uint64]chan *linkpb.Frame
	closed  bool
}

// Dial opens a link to the node at address and introduces this node.
func Dial(ctx context.Context, address string, hello *linkpb.Hello, events Events) (*Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: control, KeepAliveConfig: keepAlive}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &Client{wire: newWire(conn), events: events, done: make(chan struct{}), pending: map[uint64]chan *linkpb.Frame{}}
	c.received.Store(time.Now().UnixNano())
	if err := c.wire.write(&linkpb.Frame{Version: events.LocalVersion(), Body: &linkpb.Frame_Hello{Hello: hello}}); err != nil {
		c.wire.close()
		return nil, err
	}
	go c.receive()
	return c, nil
}

// Done is closed when the link has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Close ends the link. Calls in progress fail.
func (c *Client) Close() { c.wire.close() }

// Suspect reports whether the node has not answered a ping in time.
func (c *Client) Suspect() bool {
	pinged := c.pinged.Load()
	return pinged != 0 && time.Since(time.Unix(0, pinged)) > silence
}

// InProgress returns the number of calls without an answer.
func (c *Client) InProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Do sends a call and waits for the frame that ends it: an answer, a refusal or a break. The error is a *NotSentError
// when the call never left this node. When ctx ends, the other node is told to give the call up.
func (c *Client) Do(ctx context.Context, call *linkpb.Call) (*linkpb.Frame, error) {
	stream := c.stream.Add(1)
	ch := make(chan *linkpb.Frame, 1)
	if !c.register(stream, ch) {
		return nil, &NotSentError{Cause: ErrClosed}
	}
	defer c.forget(stream)
	if err := c.wire.write(&linkpb.Frame{Stream: stream, Version: c.events.LocalVersion(), Body: &linkpb.Frame_Call{Call: call}}); err != nil {
		if errors.Is(err, ErrClosed) {
			return nil, &NotSentError{Cause: err}
		}
		return nil, err
	}
	timer := time.NewTimer(silence)
	defer timer.Stop()
	for {
		select {
		case f := <-ch:
			return f, nil
		case <-c.done:
			return c.last(ch)
		case <-timer.C:
			c.probe()
			timer.Reset(silence)
		case <-ctx.Done():
			_ = c.wire.write(&linkpb.Frame{Stream: stream, Body: &linkpb.Frame_Cancel{Cancel: &linkpb.Cancel{}}})
			return nil, ctx.Err()
		}
	}
}

// last returns a frame that came in before the link ended.
func (c *Client) last(ch chan *linkpb.Frame) (*linkpb.Frame, error) {
	select {
	case f := <-ch:
		return f, nil
	default:
		return nil, ErrClosed
	}
}

// RequestRouting asks the node for its routing version. The answer comes as an event.
func (c *Client) RequestRouting() {
	_ = c.wire.write(&linkpb.Frame{Body: &linkpb.Frame_RoutingRequest{RoutingRequest: &linkpb.RoutingRequest{}}})
}

// probe asks a silent node for a sign of life, and closes the link if it gave none for long.
func (c *Client) probe() {
	now := time.Now()
	if now.Sub(time.Unix(0, c.received.Load())) < silence {
		return
	}
	pinged := c.pinged.Load()
	if pinged != 0 {
		if now.Sub(time.Unix(0, pinged)) > giveUp {
			c.Close()
		}
		return
	}
	if c.pinged.CompareAndSwap(0, now.UnixNano()) {
		_ = c.wire.write(&linkpb.Frame{Body: &linkpb.Frame_Ping{Ping: &linkpb.Ping{}}})
	}
}

func (c *Client) register(stream uint64, ch chan *linkpb.Frame) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pending[stream] = ch
	return true
}

func (c *Client) forget(stream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, stream)
}

func (c *Client) receive() {
	defer close(c.done)
	defer c.end()
	for {
		f, err := c.wire.read()
		if err != nil {
			return
		}
		c.received.Store(time.Now().UnixNano())
		c.pinged.Store(0)
		c.handle(f)
	}
}

func (c *Client) end() {
	c.wire.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

func (c *Client) handle(f *linkpb.Frame) {
	if f.Version != 0 {
		c.events.Version(f.Version)
	}
	switch body := f.Body.(type) {
	case *linkpb.Frame_State:
		c.events.State(body.State)
	case *linkpb.Frame_Routing:
		c.events.Routing(body.Routing.Document)
	case *linkpb.Frame_Answer, *linkpb.Frame_Refusal, *linkpb.Frame_Broken:
		c.deliver(f)
	}
}

func (c *Client) deliver(f *linkpb.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.pending[f.Stream]; ch != nil {
		delete(c.pending, f.Stream)
		ch <- f
	}
}
