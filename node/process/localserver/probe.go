package localserver

import (
	"context"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/node/connection/exchange"
)

// probeTimeout is the longest time that a health check may take.
const probeTimeout = 500 * time.Millisecond

// Probe asks for the identity of the server at the host's address with a health check. It is used only while no
// announcement says what runs there: after a start of this node, and after the server refused a connection.
func (s *Server) Probe(ctx context.Context, service, healthPath string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
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
	return s.Found(Announcement{
		ID: response.Header.Get(names.RunningID), Service: service, Address: address, Slots: load.Slots, Sequence: -1,
	})
}
