// Package backendtest provides a fake backend server for tests and the demo. It counts how often each call ran.
package backendtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishstand/radishstand/api/announce"
)

// HeaderToken is the header with a token that identifies a call. The server copies it to the response.
const HeaderToken = "X-Token"

// Behaviour defines how the server handles a call. The zero value answers each call with status 200.
type Behaviour struct {
	// ServiceTime is the processing time of a call.
	ServiceTime time.Duration
	// FailFast answers with status 500 at once, without running the call.
	FailFast bool
	// Refuse answers with status 503 and a header that guarantees that the call did not run.
	Refuse bool
	// Hang runs the call and never answers.
	Hang bool
	// CloseAfterRead runs the call and closes the connection without an answer.
	CloseAfterRead bool
	// TruncateAt closes the connection after this many bytes of the answer. 0 sends the whole answer.
	TruncateAt int
	// AnswerBytes is the size to which shorter answers are padded.
	AnswerBytes int
}

// Server is a fake backend server on a loopback address. It is safe for concurrent use.
type Server struct {
	Service     string
	Slots       int
	Connections int

	listener   net.Listener
	http       *http.Server
	slots      chan struct{}
	handler    http.Handler
	mu         sync.Mutex
	behaviour  Behaviour
	runs       map[string]int
	probes     int
	refused    int
	inProgress atomic.Int64
	aborted    atomic.Int64
	stopRenew  chan struct{}
	renewOnce  sync.Once
}

// Start starts a server on a free loopback port.
func Start(service string, slots int) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		Service: service, Slots: slots, Connections: 260, listener: listener,
		slots: make(chan struct{}, slots), runs: map[string]int{}, stopRenew: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address returns the server's host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server at once.
func (s *Server) Close() {
	s.renewOnce.Do(func() { close(s.stopRenew) })
	_ = s.http.Close()
}

// Set changes the behaviour for calls that arrive later.
func (s *Server) Set(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Handle sets a handler that answers calls that ran, for servers that make calls of their own.
func (s *Server) Handle(h http.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = h
}

// Runs returns how often the call with the given token ran.
func (s *Server) Runs(token string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[token]
}

// AllRuns returns a copy of the number of runs by token.
func (s *Server) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for token, n := range s.runs {
		runs[token] = n
	}
	return runs
}

// ProbeCount returns how many health and load requests the server received.
func (s *Server) ProbeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// Refused returns how many calls the server refused without running them.
func (s *Server) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// Broken returns how many calls were aborted by the client.
func (s *Server) Broken() int64 { return s.aborted.Load() }

// InProgress returns the number of calls that the server is handling, including calls that wait for a slot.
func (s *Server) InProgress() int64 { return s.inProgress.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.URL.Path == "/load" {
		s.mu.Lock()
		s.probes++
		s.mu.Unlock()
		_, _ = io.WriteString(w, "{}")
		return
	}
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.aborted.Add(1)
		return
	}
	s.mu.Lock()
	b, handler := s.behaviour, s.handler
	s.mu.Unlock()
	switch {
	case b.FailFast:
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	case b.Refuse:
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		w.Header().Set("X-Not-Run", "not-run")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	s.run(w, r, b, handler, body)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, b Behaviour, handler http.Handler, body []byte) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	token := r.Header.Get(HeaderToken)
	s.mu.Lock()
	s.runs[token]++
	s.mu.Unlock()
	if b.CloseAfterRead {
		panic(http.ErrAbortHandler)
	}
	if b.Hang {
		<-r.Context().Done()
		s.aborted.Add(1)
		return
	}
	time.Sleep(b.ServiceTime)
	if r.Context().Err() != nil {
		s.aborted.Add(1)
	}
	w.Header().Set(HeaderToken, token)
	if handler != nil {
		handler.ServeHTTP(w, r)
		return
	}
	answer := fmt.Appendf(nil, "%s %s %s %d\n", token, r.Method, r.URL.RequestURI(), len(body))
	if pad := b.AnswerBytes - len(answer); pad > 0 {
		answer = append(answer, bytes.Repeat([]byte{'.'}, pad)...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if b.TruncateAt > 0 {
		_, _ = w.Write(answer[:min(b.TruncateAt, len(answer))])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

// Announce sends one announcement to the node whose server listener is at nodeAddress. If draining is set, it requests that
// the node send no new calls.
func (s *Server) Announce(nodeAddress string, draining bool) error {
	body, err := json.Marshal(announce.Server{
		Service: s.Service, Address: s.Address(), Slots: s.Slots, Connections: s.Connections, Draining: draining,
	})
	if err != nil {
		return err
	}
	return s.send(http.MethodPut, nodeAddress, body)
}

// Withdraw withdraws the server's announcement at the node.
func (s *Server) Withdraw(nodeAddress string) error {
	return s.send(http.MethodDelete, nodeAddress, nil)
}

// KeepAnnounced announces the server and renews the announcement until Close or StopRenewing.
func (s *Server) KeepAnnounced(nodeAddress string, interval time.Duration) error {
	if err := s.Announce(nodeAddress, false); err != nil {
		return err
	}
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-s.stopRenew:
				return
			case <-ticker.C:
				_ = s.Announce(nodeAddress, false)
			}
		}
	}()
	return nil
}

// StopRenewing stops the renewals of KeepAnnounced without closing the server.
func (s *Server) StopRenewing() { s.renewOnce.Do(func() { close(s.stopRenew) }) }

func (s *Server) send(method, nodeAddress string, body []byte) error {
	request, err := http.NewRequest(method, "http://"+nodeAddress+announce.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	message, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("backendtest: announcement failed with status %d: %s", response.StatusCode, message)
	}
	return nil
}
