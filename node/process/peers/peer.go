package peers

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/process/choice"
)

const (
	minRedial = 50 * time.Millisecond
	maxRedial = 2 * time.Second
	// failureStep is the weight of an attempt in the share of failures.
	failureStep = 0.15
	// failureAge is the time in which the memory of failures fades, so that a server is tried again.
	failureAge = 3 * time.Second
	// routingLag is the time for which a node waits for a version from the store after it has heard of it from a peer.
	routingLag = 400 * time.Millisecond
	// holdStopped is the time for which a server is left out whose node refused a call because the server takes none. By then
	// the node has told its new state.
	holdStopped = 200 * time.Millisecond
)

// Server is one backend server of the fleet with what this node knows of it. It is safe for concurrent use.
type Server struct {
	// Address of the server's node; empty for the server beside this node.
	address string

	mu       sync.Mutex
	client   *link.Client
	state    *linkpb.State
	stateAt  time.Time
	load     *linkpb.Load
	loadAt   time.Time
	since    int
	failures float64
	failedAt time.Time
	// lostAt is when the link to the server's node ended, or when the node was heard of.
	lostAt time.Time
	// heldUntil is the end of the time for which a server that takes no calls is left out.
	heldUntil time.Time
}

// setState takes a new state of the server's node.
func (s *Server) setState(state *linkpb.State, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || s.state.ServerId != state.ServerId {
		s.load, s.since, s.failures = nil, 0, 0
	}
	s.state, s.stateAt = state, now
	if state.Load != nil {
		s.load, s.loadAt, s.since = state.Load, now, 0
	}
}

// usable reports whether the server takes calls for a service.
func (s *Server) usable(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usableLocked(service, now)
}

// usableLocked is usable with the lock held.
func (s *Server) usableLocked(service string, now time.Time) bool {
	return s.state != nil && s.state.Ready && s.state.Service == service && now.After(s.heldUntil) &&
		(s.client != nil || s.address == "")
}

// candidate describes the server to the choice, if it takes calls for a service.
func (s *Server) candidate(service, place string, now time.Time) (choice.Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.usableLocked(service, now) {
		return choice.Candidate{}, false
	}
	c := choice.Candidate{
		SamePlace: s.state.Place == place, SentSinceReport: s.since, Limit: int(s.state.Slots),
		WarmUpLeft: max(time.Duration(s.state.ColdMs)*time.Millisecond-now.Sub(s.stateAt), 0),
		Failures:   s.failures * math.Exp(-float64(now.Sub(s.failedAt))/float64(failureAge)),
		Suspect:    s.client != nil && s.client.Suspect(),
	}
	if !c.SamePlace {
		c.RoundTrip = betweenPlaces
	}
	if s.load != nil {
		c.InProgress, c.Queued, c.Limit = int(s.load.InProgress), int(s.load.Queued), int(s.load.Limit)
		c.Slowness, c.ServiceTime = int(s.load.SlownessPercent), time.Duration(s.load.ServiceMs)*time.Millisecond
		c.ReportAge = now.Sub(s.loadAt)
	}
	return c, true
}

// setLoad takes the load report of an answer or refusal.
func (s *Server) setLoad(load *linkpb.Load, now time.Time) {
	if load == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.since = load, now, 0
}

// RecordResult takes the end of an attempt at the server.
func (s *Server) RecordResult(failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faded := s.failures * math.Exp(-float64(now.Sub(s.failedAt))/float64(failureAge))
	value := 0.0
	if failed {
		value = 1
	}
	s.failures, s.failedAt = faded+failureStep*(value-faded), now
}

// beginSend counts a call that is about to be sent and returns the way to send it.
func (s *Server) beginSend() (client *link.Client, serverID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since++
	return s.client, s.state.GetServerId()
}

// setClient takes or, with nil, ends the link to the server's node.
func (s *Server) setClient(client *link.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client = client
	if client == nil {
		s.state, s.lostAt = nil, time.Now()
	}
}

// keepLinked dials the server's node again whenever the link has ended, until ctx ends.
func (p *Set) keepLinked(ctx context.Context, s *Server) {
	pause := minRedial
	for ctx.Err() == nil {
		started := time.Now()
		if p.linkOnce(ctx, s) && time.Since(started) > maxRedial {
			pause = minRedial
		}
		if ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRedial)
	}
}

// linkOnce dials the node and waits for the end of the link. It reports whether the node was reached.
func (p *Set) linkOnce(ctx context.Context, s *Server) bool {
	var client *link.Client
	ready := make(chan struct{})
	events := link.Events{
		State:        func(state *linkpb.State) { s.setState(state, time.Now()); p.logState(s.address, state) },
		Routing:      p.config.Routing,
		LocalVersion: p.config.LocalVersion,
		Version: func(number uint64) {
			<-ready
			p.observeVersion(client, number)
		},
	}
	client, err := link.Dial(ctx, s.address, p.config.Hello, events)
	close(ready)
	if err != nil {
		return false
	}
	s.setClient(client)
	p.config.Log.Info("peer linked", "peer", s.address)
	select {
	case <-client.Done():
	case <-ctx.Done():
		client.Close()
		<-client.Done()
	}
	s.setClient(nil)
	p.config.Log.Info("peer lost", "peer", s.address)
	return true
}

// observeVersion takes the version number of another node. When the store has not brought that version soon, the node is asked.
func (p *Set) observeVersion(client *link.Client, number uint64) {
	if number <= p.config.LocalVersion() || client == nil || !p.asking.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(routingLag, func() {
		p.asking.Store(false)
		if number > p.config.LocalVersion() {
			client.RequestRouting()
		}
	})
}
