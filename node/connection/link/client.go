package link

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/tcp"
	"github.com/radishstand/radishstand/node/internal/boottime"
)

const (
	dialTimeout = time.Second
	// suspectTimeout is the time without a frame after which a link with calls in progress is pinged, and the time without
	// an answer to the ping after which the link is suspect.
	suspectTimeout = 250 * time.Millisecond
	// pongTimeout is the time without an answer to a ping after which a link is closed.
	pongTimeout = 2 * time.Second
	// unacknowledgedTimeout is the time after which a link fails whose sent data is not acknowledged. It must be longer than a few
	// retransmissions, since links may lose packets.
	unacknowledgedTimeout = 1500 * time.Millisecond
)

// liveness determines when a link to a silent host fails. The kernel sends the probes; no frames are exchanged.
var liveness = tcp.Liveness{Unacknowledged: unacknowledgedTimeout, Idle: 3 * time.Second, Interval: time.Second, Probes: 2}

// NotSentError reports that a call was not sent to the other node.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "call not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Events holds the callbacks for what a client receives outside its calls. They must not block.
type Events struct {
	// State is called with each state that the other node sends.
	State func(*linkpb.State)
	// Version is called with the routing version number of each frame that has one.
	Version func(uint64)
	// Routing is called with the routing document that answers RequestRouting.
	Routing func([]byte)
	// Dial opens the connection to the node at an address; nil for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// QuotaReply is called with each reply to a request about quotas; nil if none are sent.
	QuotaReply func(*linkpb.QuotaReply)
	// LocalVersion returns the number of the current routing version of this node.
	LocalVersion func() uint64
	// Proof is called with each proof that a routing version was the newest one at a time of the boot clock.
	Proof       func(version uint64, at time.Duration)
	Evacuations EvacuationExchange
	// Egress sends large frames in pieces; nil if they are sent whole.
	Egress *Egress
}

// Client is a link to another node. It is safe for concurrent use.
type Client struct {
	conn    *framedConn
	events  Events
	session *Session
	// lastReceived and pingSent are Unix times in nanoseconds; pingSent is 0 while no ping is unanswered.
	lastReceived atomic.Int64
	pingSent     atomic.Int64
	done         chan struct{}
	pings        pendingPings
}

// dial opens a link to the node of a session and sends hello.
func dial(ctx context.Context, session *Session) (*Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	open := session.events.Dial
	if open == nil {
		open = dialTCP
	}
	conn, err := open(ctx, session.address)
	if err != nil {
		return nil, err
	}
	c := &Client{
		conn: newFramedConn(conn, session.memory, session.events.Egress), events: session.events, session: session,
		done: make(chan struct{}),
	}
	c.conn.alive = c.recordReceipt
	c.recordReceipt()
	first := &linkpb.Frame{Version: c.events.LocalVersion(), SentMs: sentMs(), Body: &linkpb.Frame_Hello{Hello: session.hello}}
	if err := c.conn.write(first); err != nil {
		c.conn.close()
		return nil, err
	}
	return c, nil
}

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return liveness.Dialer().DialContext(ctx, "tcp4", address)
}

// sentMs returns the time for Frame.SentMs.
func sentMs() uint64 { return uint64(boottime.Now().Milliseconds()) }

// Done is closed when the link has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Close ends the link. Calls in progress fail.
func (c *Client) Close() { c.conn.close() }

// Suspect reports whether the node has left a ping unanswered for longer than suspectTimeout.
func (c *Client) Suspect() bool {
	pingSent := c.pingSent.Load()
	return pingSent != 0 && time.Since(time.Unix(0, pingSent)) > suspectTimeout
}

// SilentFor returns the time since the other node has sent a frame.
func (c *Client) SilentFor() time.Duration { return time.Since(time.Unix(0, c.lastReceived.Load())) }

// RequestRouting requests the current routing document of the node. The answer is passed to Events.Routing.
func (c *Client) RequestRouting() {
	c.conn.writeOrClose(&linkpb.Frame{Body: &linkpb.Frame_RoutingRequest{RoutingRequest: &linkpb.RoutingRequest{}}})
}

// probe sends a ping to a node that has sent no frame for suspectTimeout, and closes the link when a ping has been
// unanswered for longer than pongTimeout.
func (c *Client) probe() {
	if c.SilentFor() < suspectTimeout {
		return
	}
	now := time.Now()
	pingSent := c.pingSent.Load()
	if pingSent != 0 {
		if now.Sub(time.Unix(0, pingSent)) > pongTimeout {
			c.Close()
		}
		return
	}
	if c.pingSent.CompareAndSwap(0, now.UnixNano()) {
		c.ping()
	}
}

// ping sends a ping unless too many are unanswered.
func (c *Client) ping() {
	if c.pings.push(boottime.Now()) {
		c.conn.writeOrClose(&linkpb.Frame{Body: &linkpb.Frame_Ping{Ping: &linkpb.Ping{}}})
	}
}

// Ask asks the other node for its proof of freshness. The answer is passed to Events.Proof.
func (c *Client) Ask() { c.ping() }

// recordReceipt records that the other node has sent a frame or a piece of one.
func (c *Client) recordReceipt() {
	c.lastReceived.Store(time.Now().UnixNano())
	c.pingSent.Store(0)
}

func (c *Client) receive() {
	defer close(c.done)
	defer c.conn.close()
	for {
		f, memory, err := c.conn.read()
		var noMemory *noMemoryError
		if err != nil && !errors.As(err, &noMemory) {
			return
		}
		c.recordReceipt()
		if noMemory != nil {
			c.session.deliver(&Result{Frame: brokenResult(noMemory.stream, "no memory for the answer")})
			continue
		}
		c.handle(&Result{Frame: f, memory: memory})
	}
}

func (c *Client) handle(f *Result) {
	if f.Version != 0 {
		c.events.Version(f.Version)
	}
	switch body := f.Body.(type) {
	case *linkpb.Frame_State:
		c.session.resumes.Store(body.State.Resumes)
		c.conn.rawHeaders.Store(body.State.RawHeaders)
		c.conn.readsChunks.Store(body.State.Chunks)
		c.events.State(body.State)
	case *linkpb.Frame_Routing:
		c.events.Routing(body.Routing.Document)
	case *linkpb.Frame_Pong:
		if sentAt, ok := c.pings.pop(); ok {
			c.session.roundTrip.observe(boottime.Now() - sentAt)
			c.events.handleProof(f.Frame, sentAt)
		}
	case *linkpb.Frame_Evacuations:
		if reply := c.events.Evacuations.receive(c.session.address, body.Evacuations); reply != nil {
			c.conn.writeOrClose(reply)
		}
	case *linkpb.Frame_QuotaReply:
		if c.events.QuotaReply != nil {
			c.events.QuotaReply(body.QuotaReply)
		}
	case *linkpb.Frame_Answer, *linkpb.Frame_Refusal, *linkpb.Frame_Broken:
		c.session.deliver(f)
		return
	}
	f.Release()
}
