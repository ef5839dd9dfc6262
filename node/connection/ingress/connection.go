package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 4 << 10
	// maxPipelined is the number of requests on a connection that are read before the first of them is answered.
	maxPipelined = 16
	// maxDiscardedBytes bounds what is read and discarded behind the last request of a connection.
	maxDiscardedBytes = 256 << 10
	// lingerTime is the time for which a connection is read after its last response. Closing it with unread bytes would
	// reset it, and the caller could lose the response.
	lingerTime = 500 * time.Millisecond
	// maxDeliveryTime bounds the time for which a connection stays open after its last response, while the caller's host has not
	// acknowledged all of it.
	maxDeliveryTime = 10 * time.Second
)

// interrupted is a read deadline in the past, which ends a pending read.
var interrupted = time.Unix(1, 0)

// connection is a caller's connection. One goroutine reads requests and notices when the caller leaves. Each request is
// handled by a goroutine of its own, and the responses are written in the order of the requests.
type connection struct {
	server *Server
	conn   *net.TCPConn
	reader *bufio.Reader
	limits Limits
	ctx    context.Context // ends when the caller has left
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is signalled when queue or closing changes.
	changed *sync.Cond
	// queue holds the requests whose response is not written, in their order.
	queue []*pending
	// waiting is set while no byte of a further request has been read.
	waiting bool
	writing bool
	// closing is set when no further request is handled.
	closing bool
	// last is set when no further request is read. The response to the last request then closes the connection.
	last bool
	// closeSent is set when a response has announced the end of the connection.
	closeSent bool
	// broken is set when no response can be written any more.
	broken bool
}

// pending is a request whose response is not written.
type pending struct {
	request *http.Request
	body    *body // nil when the request has none
	started bool
	// dropped is set when the response will not be written.
	dropped bool
	// response is nil until the request has been handled.
	response *Response
	handled  chan struct{}
}

func newConnection(s *Server, conn *net.TCPConn, limits Limits) *connection {
	c := &connection{server: s, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), limits: limits}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.changed = sync.NewCond(&c.mu)
	return c
}

// serve reads requests until the connection is to be closed, and closes it when the last response has been written.
func (c *connection) serve() {
	defer c.server.remove(c)
	defer c.cancel()
	idleTimeout := c.limits.HeaderTimeout // until the first request
	for c.awaitRequest(idleTimeout) && c.readRequest() {
		idleTimeout = c.limits.IdleTimeout
	}
	c.watch()
	if c.awaitResponses() {
		c.linger()
	}
	_ = c.conn.Close()
}

// awaitRequest waits for the first byte of the next request. It reports false when there will be none.
func (c *connection) awaitRequest(idleTimeout time.Duration) bool {
	for {
		if !c.startWaiting(idleTimeout) {
			return false
		}
		_, err := c.reader.Peek(1)
		if again, ok := c.stopWaiting(err); !again {
			return ok
		}
	}
}

// startWaiting waits until another request may be read, and sets the read deadline. It reports false when no further request
// is handled.
func (c *connection) startWaiting(idleTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxPipelined && !c.closing {
		c.changed.Wait()
	}
	if c.closing || c.last {
		return false
	}
	c.waiting = true
	deadline := time.Time{}
	if len(c.queue) == 0 {
		deadline = time.Now().Add(idleTimeout)
	}
	_ = c.conn.SetReadDeadline(deadline)
	return true
}

// stopWaiting handles the end of a wait for a request. It reports whether to wait again, and otherwise whether a request has
// arrived.
func (c *connection) stopWaiting(err error) (again, arrived bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	switch {
	case c.closing:
		return false, false
	case err == nil:
		now := time.Now()
		c.server.unanswered.Add(1)
		c.server.lastArrival.Store(now.UnixNano())
		_ = c.conn.SetReadDeadline(now.Add(c.limits.HeaderTimeout))
		return false, true
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closing = len(c.queue) == 0
		return !c.closing, false
	default:
		c.breakOff()
		return false, false
	}
}

// breakOff records that the caller has left or cannot be answered. The lock must be held.
func (c *connection) breakOff() {
	c.broken, c.closing = true, true
	c.dropFrom(0)
	c.cancel()
	_ = c.conn.SetReadDeadline(interrupted)
	c.changed.Broadcast()
}

// dropFrom removes the requests from an index on. The lock must be held.
func (c *connection) dropFrom(index int) {
	c.server.unanswered.Add(-int64(len(c.queue) - index))
	for _, p := range c.queue[index:] {
		p.dropped = true
		p.response.release()
	}
	clear(c.queue[index:])
	c.queue = c.queue[:index]
}

// readRequest reads a request and passes it to the handler. It reports whether another request may follow.
func (c *connection) readRequest() bool {
	request, err := readHead(c.reader, c.limits.HeaderBytes)
	if err != nil {
		c.reject(err)
		return false
	}
	p := &pending{handled: make(chan struct{})}
	p.body = newBody(request, c.reader, c.sendContinue)
	p.request = withContext(c.ctx, request, p.body)
	if !c.enqueue(p) {
		return false
	}
	if p.body != nil { // the next request begins behind the body
		select {
		case <-p.body.ended:
		case <-p.handled:
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.last || request.Close || p.response != nil && p.response.Close
	return !c.closing && !c.last
}

// reject answers a request that cannot be read, or drops it when the caller did not send all of it.
func (c *connection) reject(err error) {
	var status int
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errMalformed), errors.Is(err, errAmbiguous):
		status = http.StatusBadRequest
	default:
		c.abandon(errors.Is(err, os.ErrDeadlineExceeded))
		return
	}
	c.server.log.Info("request refused", "status", status, "cause", err)
	c.mu.Lock()
	if c.closing {
		c.server.unanswered.Add(-1)
		c.mu.Unlock()
		return
	}
	request := &http.Request{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	c.queue = append(c.queue, &pending{request: request, started: true, response: &Response{Status: status, Close: true}})
	c.mu.Unlock()
	c.flush()
}

// abandon drops a request that was not received whole. If it took too long, the requests before it are answered.
func (c *connection) abandon(late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.unanswered.Add(-1)
	if late {
		c.last = true
	} else {
		c.breakOff()
	}
}

// enqueue adds a request to the queue and starts it if possible. One with a body is added when all others are answered. It
// reports false when the connection is closing.
func (c *connection) enqueue(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p.body != nil && len(c.queue) > 0 && !c.closing {
		c.changed.Wait()
	}
	if c.closing {
		c.server.unanswered.Add(-1)
		return false
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.queue = append(c.queue, p)
	c.startNext()
	return true
}

// startNext starts the requests that may be handled now: the first one, and those behind it while all up to them are
// repeatable. A draining connection is closed after the next response, so that nothing is started behind it. The lock must
// be held.
func (c *connection) startNext() {
	for i, p := range c.queue {
		if i > 0 && (c.server.draining.Load() || p.body != nil || !c.repeatable(c.queue[i-1]) || !c.repeatable(p)) {
			return
		}
		if !p.started {
			p.started = true
			go c.handle(p)
		}
	}
}

func (c *connection) repeatable(p *pending) bool { return c.server.handler.Repeatable(p.request) }

// handle runs the handler for a request and writes the responses that are ready.
func (c *connection) handle(p *pending) {
	response := c.respond(p.request)
	unread := p.body != nil && !p.body.hasEnded()
	c.mu.Lock()
	if response == nil {
		c.breakOff()
	} else {
		response.Close = response.Close || unread || p.request.Close
		p.response = response
		if p.dropped {
			response.release()
		}
	}
	c.mu.Unlock()
	close(p.handled)
	c.flush()
}

// respond runs the handler. A panic ends the connection, as with net/http, and not the process.
func (c *connection) respond(r *http.Request) (response *Response) {
	defer func() {
		if failure := recover(); failure != nil {
			c.server.log.Warn("handler panicked", "error", failure, "stack", string(debug.Stack()))
			response = nil
		}
	}()
	return c.server.handler.Handle(r)
}

// flush writes the responses at the head of the queue that are ready.
func (c *connection) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return
	}
	c.writing = true
	for !c.broken && len(c.queue) > 0 && c.queue[0].response != nil {
		c.writeFirst()
	}
	c.writing = false
	if c.waiting && len(c.queue) == 0 && !c.closing && !c.last {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout))
	}
}

// writeFirst writes the response to the first request in the queue. The lock must be held; it is released during the write.
func (c *connection) writeFirst() {
	p := c.queue[0]
	followed := len(c.queue) > 1 && c.queue[1].started
	p.response.Close = !followed && (p.response.Close || c.server.draining.Load() || c.last && len(c.queue) == 1)
	if p.response.Close { // the caller repeats the requests behind it
		c.closing, c.closeSent = true, true
		c.dropFrom(1)
	}
	c.mu.Unlock()
	err := p.response.write(c.conn, p.request)
	c.mu.Lock()
	p.response.release()
	if c.broken {
		return
	}
	c.queue = c.queue[1:]
	c.server.unanswered.Add(-1)
	if err != nil {
		c.breakOff()
		return
	}
	if c.closing || c.last && len(c.queue) == 0 {
		_ = c.conn.SetReadDeadline(interrupted)
	}
	c.startNext()
	c.changed.Broadcast()
}

func (c *connection) sendContinue() error {
	_, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// watch notices when the caller leaves while responses are outstanding and no further request is read. It discards what the
// caller still sends, up to a limit.
func (c *connection) watch() {
	c.mu.Lock()
	if c.closing || len(c.queue) == 0 {
		c.mu.Unlock()
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	_, err := io.CopyN(io.Discard, c.reader, maxDiscardedBytes)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakOff()
}

// awaitResponses waits until all responses are written, and reports whether the last one announced the end of the connection.
func (c *connection) awaitResponses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 {
		c.changed.Wait()
	}
	return c.closeSent && !c.broken
}

// linger closes the connection for writing and discards what the caller still sends, until the caller's host has acknowledged the
// responses, the connection ends, or maxDeliveryTime or maxDiscardedBytes is reached.
func (c *connection) linger() {
	_ = c.conn.CloseWrite()
	for started := time.Now(); time.Since(started) < maxDeliveryTime; {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, err := io.CopyN(io.Discard, c.reader, maxDiscardedBytes)
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.unacknowledged() == 0 || c.isBroken() {
			return
		}
	}
}

func (c *connection) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// unacknowledged returns the number of written bytes that the caller's host has not acknowledged; 0 if it is unknown.
func (c *connection) unacknowledged() int {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	if err != nil {
		return 0
	}
	return bytes
}

// interruptIdle closes the connection if it has no request in progress, otherwise after the last response.
func (c *connection) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
	if c.waiting && len(c.queue) == 0 {
		c.closing = true
		_ = c.conn.SetReadDeadline(interrupted)
	}
}

// abort closes the connection at once.
func (c *connection) abort() {
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakOff()
}
