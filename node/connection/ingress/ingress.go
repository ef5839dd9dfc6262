// Package ingress serves the connections of callers under limits that operators change while the process runs, and finds
// requests whose length is ambiguous.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// acceptPause is the pause after a connection could not be taken, mostly because the process has no descriptor left.
const acceptPause = 10 * time.Millisecond

// Limits bound what a caller may send and how long it may take. They hold for the whole life of a connection.
type Limits struct {
	// HeaderBytes bounds the request line and the headers.
	HeaderBytes int
	// HeaderTimeout bounds the time in which the headers of a request come in.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
}

// Log takes log lines with alternating keys and values.
type Log interface {
	Warn(message any, keyvals ...any)
}

// Server serves connections with the limits in force when they were opened. It is safe for concurrent use.
type Server struct {
	handler  http.Handler
	listener *net.TCPListener
	log      Log

	mu      sync.Mutex
	closed  bool
	current *queue
	// byLimits holds one HTTP server for all connections of the same limits.
	byLimits map[Limits]*queue
}

// NewServer returns a server for the connections of a listener.
func NewServer(listener *net.TCPListener, handler http.Handler, limits Limits, log Log) *Server {
	s := &Server{handler: handler, listener: listener, log: log, byLimits: map[Limits]*queue{}}
	s.SetLimits(limits)
	return s
}

// SetLimits changes the limits of the connections opened from now on.
func (s *Server) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.byLimits[limits] == nil {
		s.byLimits[limits] = s.start(limits)
	}
	s.current = s.byLimits[limits]
}

// start runs an HTTP server that takes its connections from a queue.
func (s *Server) start(limits Limits) *queue {
	q := &queue{connections: make(chan net.Conn), done: make(chan struct{}), address: s.listener.Addr()}
	q.server = &http.Server{
		Handler: s.handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout, ConnContext: withConnection, DisableGeneralOptionsHandler: true,
	}
	go func() { _ = q.server.Serve(q) }() // ends with the queue
	return q
}

// Serve takes connections until Close.
func (s *Server) Serve() {
	for {
		accepted, err := s.listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Warn("connection not taken", "error", err)
			time.Sleep(acceptPause)
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

// queue hands accepted connections to the HTTP server of their limits. It is that server's listener.
type queue struct {
	server      *http.Server
	connections chan net.Conn
	address     net.Addr
	closeOnce   sync.Once
	done        chan struct{}
}

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

// Close ends Accept.
func (q *queue) Close() error {
	q.closeOnce.Do(func() { close(q.done) })
	return nil
}

// Addr returns the address of the listener behind the queue.
func (q *queue) Addr() net.Addr { return q.address }

// connection follows the requests on a caller's connection. It has all methods of a TCP connection: net/http half-closes it
// after a refusal, so that the answer is not lost to a reset.
type connection struct {
	*net.TCPConn
	framing framing
}

// Read reads and follows the bytes of requests.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.framing.follow(p[:n])
	return n, err
}

// connectionKey is the context key of a connection.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// AmbiguousLength reports whether a request on the connection of ctx had both a length and chunks. net/http takes the chunks and
// drops the length without a word; a proxy before the caller may have taken the length, and what follows the request may be
// part of its body.
func AmbiguousLength(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && c.framing.ambiguous.Load()
}
