package localserver

import (
	"context"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/node/connection/exchange"
)

const (
	// findTimeout is the longest time that the health check of an unknown server may take.
	findTimeout = 500 * time.Millisecond
	// slownessTimeout is the longest time for which calls wait for the server's word on its slowness.
	slownessTimeout = 15 * time.Millisecond
	// probesPerSecond and probeBurst bound the load that probes cause. Answers tell the slowness too, so that a busy server
	// is rarely asked.
	probesPerSecond = 40
	probeBurst      = 20
)

// Probe asks for the identity of the server at the host's address with a health check. It is used only while no
// announcement says what runs there: after a start of this node, and after the server refused a connection.
func (s *Server) Probe(ctx context.Context, service, healthPath string) error {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	address := s.config.Address()
	client := exchange.New(address, s.config.Names.ID)
	defer client.Close()
	response, err := client.Do(ctx, &exchange.Request{Method: http.MethodGet, Target: healthPath, Host: address})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return nil
	}
	names := s.config.Names
	load, ok := names.ParseLoad(response.Header.Get(names.ServerLoad))
	if !ok {
		return nil // without its slots the server cannot be used; its announcement will tell them
	}
	return s.HandleProbeResult(Announcement{
		ID: response.Header.Get(names.RunningID), Service: service, Address: address, Slots: load.Slots, Sequence: -1,
	})
}

// probeSlowness asks the server for its slowness with a health check.
func (s *Server) probeSlowness() {
	s.mu.Lock()
	client, path := s.client, s.config.HealthPath(s.current.Service)
	s.mu.Unlock()
	if client == nil || path == "" || !s.probes.Allow() {
		s.dispatcher.ProbeFailed()
		return
	}
	go func() {
		if slowness, ok := s.askSlowness(client, path); ok {
			s.dispatcher.Observe(slowness, true)
		} else {
			s.dispatcher.ProbeFailed()
		}
	}()
}

func (s *Server) askSlowness(client *exchange.Client, path string) (slowness int, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), slownessTimeout)
	defer cancel()
	response, err := client.Do(ctx, &exchange.Request{Method: http.MethodGet, Target: path, Host: client.Address()})
	if err != nil {
		return 0, false
	}
	load, ok := s.config.Names.ParseLoad(response.Header.Get(s.config.Names.ServerLoad))
	return load.Slowness, ok && load.Slowness > 0
}
