// Package ingress serves the HTTP/1.1 connections of callers.
//
// It is used instead of the server of net/http, which serves pipelined requests one after the other, does not notice that a
// caller has left once bytes of a further request have arrived, and does not tell when a response has been written. Requests
// are parsed by net/http. A request with an ambiguous length is rejected, since a proxy in front of the node may have
// determined another end of it (request smuggling).
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// acceptRetryDelay is the delay after a failed accept. A common cause is that the process has no file descriptor left.
const acceptRetryDelay = 10 * time.Millisecond

// Limits bounds what a caller may send and the time in which it must send it. A connection keeps the limits with which it
// was accepted.
type Limits struct {
	// HeaderBytes bounds the request line and the headers.
	HeaderBytes int
	// HeaderTimeout bounds the time to read the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
}

// Handler handles requests. It must be safe for concurrent use.
type Handler interface {
	// Handle returns the response to a request. It may read the body. The request's context ends when the caller has
	// left; the response is then dropped and may be nil.
	Handle(r *http.Request) *Response
	// Repeatable reports whether the request is valid and may run more than once. Such requests may be handled before
	// the requests ahead of them on their connection have been answered.
	Repeatable(r *http.Request) bool
}

// Response is a complete response. Header must not contain the headers that concern the connection or the length.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close closes the connection after the response.
	Close bool
	// Release is called when the response has been written or dropped, at least once; nil if there is nothing to release.
	Release func()
}

// release calls Release, if it is set.
func (r *Response) release() {
	if r != nil && r.Release != nil {
		r.Release()
	}
}

// Log is a structured logger; keyvals are alternating keys and values.
type Log interface {
	Info(message any, keyvals ...any)
	Warn(message any, keyvals ...any)
}

// Server serves the connections of a listener. It is safe for concurrent use.
type Server struct {
	handler  Handler
	listener *net.TCPListener
	log      Log
	limits   atomic.Pointer[Limits]
	draining atomic.Bool
	// unanswered is the number of requests of which the first byte was read and whose response is not written.
	unanswered  atomic.Int64
	lastArrival atomic.Int64 // Unix time in nanoseconds

	mu          sync.Mutex
	closed      bool
	connections map[*connection]struct{}
	// allClosed is closed when no connection is left after a Shutdown.
	allClosed chan struct{}
}

// NewServer returns a server for the connections of a listener.
func NewServer(listener *net.TCPListener, handler Handler, limits Limits, log Log) *Server {
	s := &Server{
		handler: handler, listener: listener, log: log,
		connections: map[*connection]struct{}{}, allClosed: make(chan struct{}),
	}
	s.SetLimits(limits)
	return s
}

// SetLimits sets the limits of connections that are accepted later.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Serve accepts connections until Shutdown or Close is called.
func (s *Server) Serve() {
	for {
		accepted, err := s.listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Warn("accept failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConnection(s, accepted, *s.limits.Load())
		if !s.add(c) {
			_ = accepted.Close()
			return
		}
		go c.serve()
	}
}

// Drain closes connections after the response that is written next. Requests behind it are not handled.
func (s *Server) Drain() { s.draining.Store(true) }

// InProgress returns the number of requests whose response is not written yet, and the time of the last arrival.
func (s *Server) InProgress() (requests int64, lastArrival time.Time) {
	return s.unanswered.Load(), time.Unix(0, s.lastArrival.Load())
}

// Shutdown closes the listener and the connections without a request in progress, and waits until the responses to all
// requests that were read are written, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	_ = s.listener.Close()
	for _, c := range s.closeAdmission() {
		c.interruptIdle()
	}
	select {
	case <-s.allClosed:
	case <-ctx.Done():
	}
}

// closeAdmission prevents further connections from being added and returns the open ones.
func (s *Server) closeAdmission() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		if len(s.connections) == 0 {
			close(s.allClosed)
		}
	}
	open := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		open = append(open, c)
	}
	return open
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	_ = s.listener.Close()
	for _, c := range s.closeAdmission() {
		c.abort()
	}
}

// add reports false when the server is closed.
func (s *Server) add(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	if s.closed && len(s.connections) == 0 {
		close(s.allClosed)
	}
}
