// Package ingress serves the connections of callers under limits that operators can change at run time, and detects
// requests whose body length is ambiguous.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
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

// Log is a structured logger; keyvals are alternating keys and values.
type Log interface {
	Warn(message any, keyvals ...any)
}

// Server serves connections with the limits that were set when they were accepted. It is safe for concurrent use.
type Server struct {
	handler  http.Handler
	listener *net.TCPListener
	log      Log

	mu      sync.Mutex
	closed  bool
	current *queue
	// byLimits holds one HTTP server for all connections with the same limits.
	byLimits map[Limits]*queue
}

// NewServer returns a server for the connections of a listener.
func NewServer(listener *net.TCPListener, handler http.Handler, limits Limits, log Log) *Server {
	s := &Server{handler: handler, listener: listener, log: log, byLimits: map[Limits]*queue{}}
	s.SetLimits(limits)
	return s
}

// SetLimits sets the limits of connections that are accepted later.
func (s *Server) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.byLimits[limits] == nil {
		s.byLimits[limits] = s.startServer(limits)
	}
	s.current = s.byLimits[limits]
}

// startServer starts an HTTP server that accepts its connections from a queue.
func (s *Server) startServer(limits Limits) *queue {
	q := &queue{connections: make(chan net.Conn), done: make(chan struct{}), address: s.listener.Addr()}
	q.server = &http.Server{
		Handler: s.handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout, ConnContext: withConnection, DisableGeneralOptionsHandler: true,
	}
	go func() { _ = q.server.Serve(q) }() // returns when the queue is closed
	return q
}

// Serve accepts connections until Close is called.
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
		s.mu.Lock()
		q := s.current
		s.mu.Unlock()
		q.put(&connection{TCPConn: accepted})
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, q := range s.byLimits {
		_ = q.server.Close()
	}
}

// queue passes accepted connections to the HTTP server for their limits, as its net.Listener.
type queue struct {
	server      *http.Server
	connections chan net.Conn
	address     net.Addr
	closeOnce   sync.Once
	done        chan struct{}
}

// put passes a connection to Accept, or closes it when the queue is closed.
func (q *queue) put(c net.Conn) {
	select {
	case q.connections <- c:
	case <-q.done:
		_ = c.Close()
	}
}

// Accept returns the next connection.
func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.connections:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

// Close closes the queue. Accept then returns net.ErrClosed.
func (q *queue) Close() error {
	q.closeOnce.Do(func() { close(q.done) })
	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (q *queue) Addr() net.Addr { return q.address }

// connection parses the framing of the requests on a caller's connection. It embeds the TCP connection, since net/http uses
// CloseWrite after it rejects a request, so that a reset does not discard the answer.
type connection struct {
	*net.TCPConn
	framing framingParser
}

// Read reads bytes and passes them to the framing parser.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.framing.parse(p[:n])
	return n, err
}

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// AmbiguousLength reports whether a request on the connection of ctx had both a length and chunks. net/http silently uses
// the chunks and drops the length. A proxy in front of the node may have used the length, so that the bytes after the
// request may be part of its body (request smuggling).
func AmbiguousLength(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && c.framing.ambiguous.Load()
}
