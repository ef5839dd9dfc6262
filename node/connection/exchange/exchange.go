// Package exchange sends requests to the backend server beside the node over HTTP/1.1 connections that it owns.
//
// net/http leaves three questions open on which promises depend: whether a byte of a failed request has left, whether an
// answer belongs to the request, and whether a connection may be used again. Here a request is written once and never
// repeated, an answer counts only with the id of its request and its whole body, and a connection with any doubt is closed.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	readBuffer  = 4 << 10
	// idleLimit is the longest time that a connection is kept unused when the server does not state its own.
	idleLimit = 8 * time.Second
	// idleMargin is the time before the end of the server's idle timeout after which a connection is not used.
	idleMargin = time.Second
	// maxStrays is the number of answers to earlier requests that are passed over on one connection.
	maxStrays = 4
	// largeBody is the size above which a body is sent while the answer is awaited: a server may answer before it has read
	// all of it.
	largeBody = 32 << 10
)

// Request is one request to the server.
type Request struct {
	Method string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID has to be echoed in the header named by Client.IDHeader.
	ID string
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotSentError means that no byte of the request left for the server.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError means that the request may have run and that there is no whole answer.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Client keeps connections to one server. It is safe for concurrent use.
type Client struct {
	address  string
	idHeader string

	mu     sync.Mutex
	idle   []*conn // the one used last stands last
	closed bool
}

// conn is a connection that serves one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time
}

// New returns a client for the server at address, which echoes the id of a request in idHeader.
func New(address, idHeader string) *Client {
	return &Client{address: address, idHeader: idHeader}
}

// Address returns the server's address.
func (c *Client) Address() string { return c.address }

// Close closes unused connections, and the others when their request is done.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, idle := range c.idle {
		_ = idle.Close()
	}
	c.idle = nil
}

// Do sends a request and returns the whole answer. The error is a *NotSentError or a *BrokenError. The end of ctx closes
// the connection.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	conn, err := c.connection(ctx)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if err := ctx.Err(); err != nil {
		c.put(conn)
		return nil, &NotSentError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, reusable, err := c.exchange(conn, r)
	if !stop() || err != nil || !reusable {
		_ = conn.Close()
	} else {
		c.put(conn)
	}
	if err != nil {
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &BrokenError{Cause: err}
	}
	return response, nil
}

// exchange writes the request and reads its answer.
func (c *Client) exchange(conn *conn, r *Request) (response *Response, reusable bool, err error) {
	head := c.head(r)
	written := make(chan error, 1)
	if len(r.Body) <= largeBody {
		_, err := conn.Write(append(head, r.Body...))
		if err != nil {
			return nil, false, err
		}
		written <- nil
	} else {
		go func() { written <- writeAll(conn, head, r.Body) }()
	}
	response, reusable, err = c.await(conn, r)
	select {
	case failed := <-written:
		return response, reusable && failed == nil, err
	default:
		// The server answered before it had read the body. What is left of the body must not be taken for another request.
		return response, false, err
	}
}

func writeAll(conn net.Conn, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// head returns the request line and the headers.
func (c *Client) head(r *Request) []byte {
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

// await reads answers until the one to the request.
func (c *Client) await(conn *conn, r *Request) (*Response, bool, error) {
	for range maxStrays {
		a, err := readAnswer(conn.reader, r.Method)
		if err != nil {
			return nil, false, err
		}
		if !c.belongs(a, r) {
			if a.closes {
				break
			}
			continue
		}
		conn.expires = time.Now().Add(a.idle)
		return &Response{Status: a.status, Header: a.header, Body: a.body}, !a.closes && conn.reader.Buffered() == 0, nil
	}
	return nil, false, errors.New("only answers to other requests")
}

// belongs reports whether an answer is the one to a request. Servers that refuse a request early may leave the id out; an
// answer to another request always has one.
func (c *Client) belongs(a *answer, r *Request) bool {
	id := a.header.Get(c.idHeader)
	return id == r.ID || id == "" && a.status >= http.StatusMultipleChoices
}

// connection returns an unused connection that is still open and has no bytes waiting, or a new one.
func (c *Client) connection(ctx context.Context) (*conn, error) {
	for {
		idle := c.take()
		if idle == nil {
			break
		}
		if time.Now().Before(idle.expires) && idle.clean() {
			return idle, nil
		}
		_ = idle.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	opened, err := dialer.DialContext(ctx, "tcp4", c.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer)}, nil
}

func (c *Client) take() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return last
}

func (c *Client) put(conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// clean reports whether the connection is open and nothing has come in since the last answer. A late second answer would
// otherwise be read as the answer to the next request.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}
