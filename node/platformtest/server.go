package platformtest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Server implements the part of the DynamoDB and S3 protocols that the node uses, backed by a Memory. All table and bucket
// names refer to that one store, and signatures are not checked. Faults of the Memory are injected as a network would show
// them: a lost request or answer closes the connection, and a write that is delayed past its client's timeout still takes
// effect. To refuse connections, call Stop.
type Server struct {
	memory *Memory

	mu   sync.Mutex
	http *http.Server
	addr string
}

// NewServer returns a server for the store. It can be used as an http.Handler; Start also opens a listener.
func NewServer(memory *Memory) *Server { return &Server{memory: memory} }

// Memory returns the store behind the server.
func (s *Server) Memory() *Memory { return s.memory }

// Start listens on a TCP address such as 127.0.0.1:0 and serves until Stop.
func (s *Server) Start(addr string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return errors.New("platformtest: server is already started")
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("platformtest: %w", err)
	}
	s.addr = listener.Addr().String()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
	return nil
}

// headerTimeout limits how long a client may take to send its headers.
const headerTimeout = 10 * time.Second

// Stop closes the listener and all connections, so that later connections are refused. Start with Addr restarts the server
// with the same store.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close()
		s.http = nil
	}
}

// Addr returns the address and port of the most recent Start.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// URL returns the endpoint of both services.
func (s *Server) URL() string { return "http://" + s.Addr() }

// maxRequestBytes limits the size of a request body.
const maxRequestBytes = 16 << 20

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if target := r.Header.Get("X-Amz-Target"); target != "" {
		s.serveTable(w, r, strings.TrimPrefix(target, targetPrefix))
		return
	}
	s.serveObjects(w, r)
}

// replyFunc writes the result of an operation in its protocol.
type replyFunc func(w http.ResponseWriter, body any, err error)

// run executes an operation with the fault of the store injected.
func (s *Server) run(w http.ResponseWriter, r *http.Request, op Operation, reply replyFunc, do func() (any, error)) {
	fault := s.memory.faultOf(op)
	isWrite := op.Name == "Transact" || op.Name == "PutObject"
	if fault.Delay > 0 {
		ctx := r.Context()
		if isWrite {
			// A received write takes effect even if its client no longer waits.
			ctx = context.WithoutCancel(ctx)
		}
		select {
		case <-time.After(fault.Delay):
		case <-ctx.Done():
			return
		}
	}
	switch {
	case fault.Down:
		reply(w, nil, errDown)
	case isWrite && fault.LoseRequest:
		panic(http.ErrAbortHandler)
	case isWrite && fault.LateEffect > 0:
		time.AfterFunc(fault.LateEffect, func() { _, _ = do() })
		panic(http.ErrAbortHandler)
	case isWrite && fault.LoseAnswer:
		_, _ = do()
		panic(http.ErrAbortHandler)
	default:
		body, err := do()
		reply(w, body, err)
	}
}

var errDown = errors.New("store is down")
