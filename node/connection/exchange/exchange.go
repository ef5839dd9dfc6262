// Package exchange sends requests to the backend server beside the node over its own HTTP/1.1 connections.
//
// It is used instead of net/http, which does not report whether a byte of a failed request was sent, whether an answer
// belongs to the request, and whether a connection may be reused. The guarantees of the node depend on all three. Here a
// request is written once and never repeated, an answer is accepted only with the id of its request and its whole body, and
// a connection whose state is uncertain is closed.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/radishstand/radishstand/node/internal/membudget"
)

const (
	dialTimeout     = 500 * time.Millisecond
	readBufferBytes = 4 << 10
	// maxIdleTime bounds the time for which a connection is kept unused. A shorter Keep-Alive timeout of the server lowers it.
	maxIdleTime = 8 * time.Second
	// idleMargin is how long before the end of the server's Keep-Alive timeout a connection is no longer used.
	idleMargin = time.Second
	// maxAnswersRead is the number of answers that are read for one request. Those to earlier requests are skipped.
	maxAnswersRead = 4
	// maxFailedIDs is the number of ids that a connection remembers. It must exceed the number of requests that fail on it while a
	// call can be sent again.
	maxFailedIDs = 64
	// maxSyncBodyBytes is the size up to which a body is written before the answer is read. A larger body is written
	// concurrently, since a server may answer before it has read all of it.
	maxSyncBodyBytes = 32 << 10
)

// Request is a request to the server.
type Request struct {
	Method string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the id that the server must echo in the header whose name was given to New.
	ID string
}

// Response is a complete answer. Release must be called when the body is not needed any more.
type Response struct {
	Status int
	Header http.Header
	Body   []byte

	memory *membudget.Reservation
}

// Release returns the memory of the body to the budget.
func (r *Response) Release() { r.memory.Release() }

// errAmbiguousAnswer reports that an answer may belong to an earlier request.
var errAmbiguousAnswer = errors.New("answer without an id on a connection that had one before")

// NotSentError reports that no byte of the request was sent to the server.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError reports that the request may have run and that no complete answer was received.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Client sends requests to one server and keeps its idle connections for reuse. It is safe for concurrent use.
type Client struct {
	address  string
	idHeader string
	memory   *membudget.Budget

	mu     sync.Mutex
	idle   []*conn // the most recently used one is last
	closed bool
}

// conn is a connection that carries one request at a time. It is not reused after expires.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time
	// allowed is the number of bytes that may still be read for the current part of an answer.
	allowed int64
	// withoutID is set when an answer without an id was received: a second copy of it may follow.
	withoutID bool
	// failed holds the ids of the latest requests that did not succeed on this connection. A second copy of such an answer may
	// follow, so a request with the same id is sent on another connection.
	failed []string
}

// addFailed records a request that did not succeed.
func (c *conn) addFailed(id string) {
	if len(c.failed) == maxFailedIDs {
		c.failed = slices.Delete(c.failed, 0, 1)
	}
	c.failed = append(c.failed, id)
}

// Read reads up to the allowed number of bytes.
func (c *conn) Read(p []byte) (int, error) {
	if c.allowed <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.allowed)])
	c.allowed -= int64(n)
	return n, err
}

// New returns a client for the server at address, which echoes the id of a request in idHeader. The bodies of answers take
// their memory from a budget.
func New(address, idHeader string, memory *membudget.Budget) *Client {
	return &Client{address: address, idHeader: idHeader, memory: memory}
}

// Address returns the server's address.
func (c *Client) Address() string { return c.address }

// Close closes the idle connections. The others are closed when their request has ended.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, idle := range c.idle {
		_ = idle.Close()
	}
	c.idle = nil
}

// Do sends a request and returns the complete answer. The error is a *NotSentError or a *BrokenError. When ctx ends
// before the answer is complete, the connection is closed.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	conn, err := c.acquire(ctx, r.ID)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if err := ctx.Err(); err != nil {
		c.release(conn)
		return nil, &NotSentError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, reusable, err := c.exchange(conn, r)
	if !stop() || err != nil || !reusable {
		_ = conn.Close()
	} else {
		c.release(conn)
	}
	if err != nil {
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &BrokenError{Cause: err}
	}
	return response, nil
}

// exchange writes the request and reads its answer. It reports whether the connection can carry another request.
func (c *Client) exchange(conn *conn, r *Request) (response *Response, reusable bool, err error) {
	head := c.encodeHead(r)
	written := make(chan error, 1)
	if len(r.Body) <= maxSyncBodyBytes {
		_, err := conn.Write(append(head, r.Body...))
		if err != nil {
			return nil, false, err
		}
		written <- nil
	} else {
		go func() { written <- writeAll(conn, head, r.Body) }()
	}
	a, reusable, err := c.readMatchingAnswer(conn, r)
	if err != nil {
		return nil, false, err
	}
	if a.endsWithConnection {
		if err := closeAndCheckEnd(conn, written); err != nil {
			a.memory.Release()
			return nil, false, err
		}
	}
	response = &Response{Status: a.status, Header: a.header, Body: a.body, memory: a.memory}
	select {
	case writeErr := <-written:
		return response, reusable && writeErr == nil, nil
	default:
		// The server answered before it had read the whole body. The connection must be closed, or the server could parse the
		// rest of the body as the next request.
		return response, false, nil
	}
}

// closeAndCheckEnd closes a connection on which the end of the stream was read, and returns an error unless the server had ended it in
// an orderly way. A socket reports its error only once: a write that takes it lets the read see the end of the stream.
func closeAndCheckEnd(conn net.Conn, written <-chan error) error {
	_ = conn.Close() // ends a write in progress with net.ErrClosed
	err := <-written
	if errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EPIPE) { // EPIPE: a reset after the orderly end
		return nil
	}
	return err
}

func writeAll(conn net.Conn, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// encodeHead returns the request line and the headers.
func (c *Client) encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readMatchingAnswer reads answers until the one to the request and reports whether the connection can be reused.
func (c *Client) readMatchingAnswer(conn *conn, r *Request) (*answer, bool, error) {
	for range maxAnswersRead {
		a, err := readAnswer(conn, r.Method, c.memory)
		if err != nil {
			return nil, false, err
		}
		matches, err := c.matches(conn, a, r)
		if matches {
			conn.expires = time.Now().Add(a.idleTimeout)
			if r.ID != "" && a.status >= http.StatusMultipleChoices {
				conn.addFailed(r.ID)
			}
			return a, !a.mustClose && conn.reader.Buffered() == 0, nil
		}
		a.memory.Release()
		if err != nil {
			return nil, false, err
		}
		if a.mustClose {
			break
		}
	}
	return nil, false, errors.New("only answers to other requests")
}

// matches reports whether an answer is the one to a request. A server that refuses a request early may omit the id. If an
// answer without an id was received before on the connection, the next one may be a second copy of it, and nothing is known
// of the request.
func (c *Client) matches(conn *conn, a *answer, r *Request) (bool, error) {
	id := a.header.Get(c.idHeader)
	if id != "" || r.ID == "" {
		conn.withoutID = conn.withoutID || id == ""
		return id == r.ID, nil
	}
	if a.status < http.StatusMultipleChoices {
		return false, nil
	}
	if conn.withoutID {
		return false, errAmbiguousAnswer
	}
	conn.withoutID = true
	return true, nil
}

// acquire returns an idle connection that can be reused for a request with an id, or a new one. Idle connections that cannot be
// reused are closed.
func (c *Client) acquire(ctx context.Context, id string) (*conn, error) {
	for {
		idle := c.popIdle(id)
		if idle == nil {
			break
		}
		if time.Now().Before(idle.expires) && idle.isReusable() {
			return idle, nil
		}
		_ = idle.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	opened, err := dialer.DialContext(ctx, "tcp4", c.address)
	if err != nil {
		return nil, err
	}
	created := &conn{Conn: opened}
	created.reader = bufio.NewReaderSize(created, readBufferBytes)
	return created, nil
}

// popIdle removes and returns the most recently used idle connection on which no request with the id has failed, or returns nil.
func (c *Client) popIdle(id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, idle := range slices.Backward(c.idle) {
		if !slices.Contains(idle.failed, id) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return idle
		}
	}
	return nil
}

// release keeps a connection for reuse, or closes it when the client is closed.
func (c *Client) release(conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// isReusable reports whether the connection is open and no byte has been received since the last answer. A late second
// answer would otherwise be read as the answer to the next request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}
