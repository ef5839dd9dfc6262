package localserver

import (
	"context"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/node/connection/exchange"
)

const (
	// identityTimeout is the timeout of the health check of an unknown server.
	identityTimeout = 500 * time.Millisecond
	// slownessTimeout is the maximum time for which calls wait for the server to report its slowness.
	slownessTimeout = 15 * time.Millisecond
	// probesPerSecond and probeBurst bound the load by probes. Answers report the slowness too, so a busy server is
	// rarely probed.
	probesPerSecond = 40
	probeBurst      = 20
)

// Probe requests the identity of the server at the configured address with a health check. It is used only while no
// announcement identifies the server there: after a start of this node, and after the server refused a connection. The answer names
// the server's id only. A server whose service is not known by that id is not used until it announces itself: its address may have
// belonged to a server of another service.
func (s *Server) Probe(ctx context.Context, healthPath string, serviceOf func(id string) (service string, known bool)) error {
	if !s.dispatcher.AllowHealthCheck() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	address := s.config.Address()
	client := exchange.New(address, s.config.Names.ID, s.config.Memory)
	defer client.Close()
	s.requests.Add(1)
	sentAt := s.config.Now()
	response, err := client.Do(ctx, &exchange.Request{Method: http.MethodGet, Target: healthPath, Host: address})
	if err != nil {
		return err
	}
	defer response.Release()
	names := s.config.Names
	id := response.Header.Get(names.RunningID)
	if id != "" && s.parseStatement(response.Header).Leaving {
		return s.Leave(Leave{ID: id})
	}
	if response.Status != http.StatusOK {
		return nil
	}
	service, known := s.serviceOfCurrent(id)
	if !known {
		service, known = serviceOf(id)
	}
	if !known {
		return nil
	}
	load, ok := names.ParseLoad(response.Header.Get(names.ServerLoad))
	if !ok {
		return nil // the server cannot be used without its number of slots; its announcement will contain it
	}
	if err := s.HandleProbeResult(Announcement{ID: id, Service: service, Address: address, Slots: load.Slots, Sequence: -1}); err != nil {
		return err
	}
	s.observe(serverAnswer{response: response, client: s.clientOf(id), request: healthCheck, sentAt: sentAt})
	return nil
}

// serviceOfCurrent returns the service of the current server if it has the id.
func (s *Server) serviceOfCurrent(id string) (service string, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Service, id != "" && s.current.ID == id
}

// probeSlowness requests the slowness of the server with a health check and passes the result to the dispatcher.
func (s *Server) probeSlowness() {
	s.mu.Lock()
	client, path := s.client, s.config.HealthPath(s.current.Service)
	s.mu.Unlock()
	if client == nil || path == "" || !s.probeLimiter.Allow() {
		s.dispatcher.ProbeFailed()
		return
	}
	go func() {
		slowness, ok := s.requestSlowness(client, path, slownessTimeout)
		s.endCheck(slowness, ok)
	}()
}

// endCheck passes the result of a health check to the dispatcher.
func (s *Server) endCheck(slowness int, ok bool) {
	if ok {
		s.dispatcher.Observe(slowness, true)
		return
	}
	s.dispatcher.ProbeFailed()
}

// requestSlowness returns the slowness in percent; ok is false if the server did not report it in time.
func (s *Server) requestSlowness(client *exchange.Client, path string, timeout time.Duration) (slowness int, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.requests.Add(1)
	sentAt := s.config.Now()
	response, err := client.Do(ctx, &exchange.Request{Method: http.MethodGet, Target: path, Host: client.Address()})
	if err != nil {
		s.observeFailure(client, err)
		return 0, false
	}
	defer response.Release()
	s.observe(serverAnswer{response: response, client: client, request: healthCheck, sentAt: sentAt})
	load, ok := s.config.Names.ParseLoad(response.Header.Get(s.config.Names.ServerLoad))
	return load.Slowness, ok && load.Slowness > 0
}
