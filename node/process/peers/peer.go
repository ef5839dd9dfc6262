package peers

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/process/choice"
	"github.com/radishstand/radishstand/node/process/departures"
)

const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// failureWeight is the weight of the latest attempt in the moving average of failures.
	failureWeight = 0.15
	// failureDecay is the time constant of the exponential decay of the failure share, so that a server is tried again.
	failureDecay = 3 * time.Second
	// noServerExclusion is the time for which a server is excluded after its node refused a call because no server accepts
	// calls there. By then the node has reported its new state.
	noServerExclusion = 200 * time.Millisecond
)

// Server is a backend server of the fleet with its last reported state and load. It is safe for concurrent use.
type Server struct {
	// address is that of the server's node; empty for the server beside this node.
	address string

	// session outlasts the links to the server's node; nil for the server beside this node.
	session *link.Session

	mu              sync.Mutex
	client          *link.Client
	state           *linkpb.State
	stateAt         time.Time
	load            *linkpb.Load
	loadAt          time.Time
	sentSinceReport int
	// bytesSinceReport is the expected size of the answers to the calls sent since the report.
	bytesSinceReport int
	record           serverRecord
	// departed holds the servers at that node that have said to this node that they leave.
	departed departures.List
	failures float64
	failedAt time.Time
	// lostAt is when the link to the server's node ended, or when the node was added.
	lostAt time.Time
	// excludedUntil is the end of the exclusion of a server that accepts no calls.
	excludedUntil time.Time
	// proofAt is the time, by the boot clock, of the latest proof of freshness that the node has passed on.
	proofAt time.Duration
}

// setState records a new state of the server's node. The load and failures of another server are reset.
func (s *Server) setState(state *linkpb.State, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || s.state.ServerId != state.ServerId {
		s.load, s.sentSinceReport, s.bytesSinceReport, s.failures = nil, 0, 0, 0
	}
	s.state, s.stateAt = state, now
	s.record.update(state)
	s.setLoadLocked(state.Load, now)
}

// usable reports whether the server accepts calls for a service.
func (s *Server) usable(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usableLocked(service, now)
}

// usableLocked is like usable; s.mu must be held.
func (s *Server) usableLocked(service string, now time.Time) bool {
	return s.state.GetService() == service && s.unusable(now) == ""
}

// unusable returns why the server accepts no calls; empty if it accepts some. s.mu must be held.
func (s *Server) unusable(now time.Time) string {
	switch {
	case s.client == nil && s.address != "":
		return "no link to its node"
	case s.state == nil:
		return "its node has not stated its state"
	case s.leaves(now):
		return "leaving"
	case !s.state.Ready:
		return "not ready"
	case !now.After(s.excludedUntil):
		return "its node has just refused a call for it"
	}
	return ""
}

// candidate returns the server as a candidate for the choice, and false when it does not accept calls for a service.
func (s *Server) candidate(service, place string, now time.Time) (choice.Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.usableLocked(service, now) {
		return choice.Candidate{}, false
	}
	c := choice.Candidate{
		SamePlace: s.state.Place == place, Place: s.state.Place, SentSinceReport: s.sentSinceReport, Limit: int(s.state.Slots),
		WarmUpLeft: max(time.Duration(s.state.ColdMs)*time.Millisecond-now.Sub(s.stateAt), 0),
		Failures:   s.failures * math.Exp(-float64(now.Sub(s.failedAt))/float64(failureDecay)),
		Suspect:    s.client != nil && s.client.Suspect(),
		RateLimit:  float64(s.record.rateLimit),
	}
	c.LinkBytesPerSecond, c.BytesSinceReport, c.Local = bytesPerSecond(s.state.LinkKbps), s.bytesSinceReport, s.address == ""
	if !c.SamePlace {
		c.RoundTrip = crossPlaceRoundTrip
	}
	if s.load != nil {
		c.InProgress, c.Queued, c.Limit = int(s.load.InProgress), int(s.load.Queued), int(s.load.Limit)
		c.Slowness, c.ServiceTime = int(s.load.SlownessPercent), time.Duration(s.load.ServiceMs)*time.Millisecond
		c.RateWait = time.Duration(s.load.RateWaitMs) * time.Millisecond
		c.EgressBytes = int(s.load.EgressBytes)
		c.ReportAge = now.Sub(s.loadAt)
	}
	return c, true
}

// bytesPerSecond converts a speed in kbit/s.
func bytesPerSecond(kbps uint32) float64 { return float64(kbps) * 1000 / 8 }

// ExpectAnswer counts the expected size of the answer to a call that is about to be sent to the server.
func (s *Server) ExpectAnswer(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytesSinceReport += bytes
}

// setLoad records the load report of an answer or refusal; nil has no effect.
func (s *Server) setLoad(load *linkpb.Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLoadLocked(load, now)
}

// setLoadLocked is like setLoad; s.mu must be held.
func (s *Server) setLoadLocked(load *linkpb.Load, now time.Time) {
	if load == nil {
		return
	}
	s.load, s.loadAt, s.sentSinceReport, s.bytesSinceReport = load, now, 0, 0
	s.record.observe(load)
}

// RecordResult records whether an attempt at the server failed.
func (s *Server) RecordResult(failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decayed := s.failures * math.Exp(-float64(now.Sub(s.failedAt))/float64(failureDecay))
	value := 0.0
	if failed {
		value = 1
	}
	s.failures, s.failedAt = decayed+failureWeight*(value-decayed), now
}

// beginSend counts a call that is about to be sent, sets in it what is known of the server, and returns the client of the
// server's node.
func (s *Server) beginSend(call *linkpb.Call) *link.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentSinceReport++
	call.ServerId = s.state.GetServerId()
	call.ServerStartedMs, call.RateLimit = 0, s.record.rateLimit
	if call.RateLimit > 0 {
		call.ServerStartedMs = s.record.startedMs
	}
	return s.client
}

// setClient sets the client of the link to the server's node; nil records that the link has ended.
func (s *Server) setClient(client *link.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client = client
	if client == nil {
		s.state, s.lostAt = nil, time.Now()
	}
}

// keepLinked dials the server's node whenever there is no link, with exponential backoff, until ctx ends.
func (p *Set) keepLinked(ctx context.Context, s *Server) {
	defer s.session.Close()
	redialDelay := minRedialDelay
	for ctx.Err() == nil {
		started := time.Now()
		if p.dialAndWait(ctx, s) && time.Since(started) > maxRedialDelay {
			redialDelay = minRedialDelay
		}
		if ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(redialDelay):
		}
		redialDelay = min(2*redialDelay, maxRedialDelay)
	}
}

// handleState applies the state of another node. A node that accepts calls for a server which leaves does not know that, since its
// process has restarted; it is told.
func (p *Set) handleState(s *Server, state *linkpb.State) {
	now := time.Now()
	s.recordLeaving(state.Leaving, now)
	reachedStore := s.reachesStore()
	s.setState(state, now)
	reachesStore := s.reachesStore()
	if reachesStore != reachedStore {
		p.config.PollersChanged()
	}
	p.observeStore(s, state, reachedStore, reachesStore)
	p.logState(s.address, state)
	if leaving := s.unannouncedLeaving(now); leaving != nil {
		p.config.Log.Info("peer uses a server that leaves", "peer", s.address, "server", leaving.ServerId)
		s.session.SendLeaving(leaving)
	}
}

// newSession returns the session of the links to a server's node.
func (p *Set) newSession(s *Server) *link.Session {
	return link.NewSession(s.address, p.config.Hello, link.Events{
		State:        func(state *linkpb.State) { p.handleState(s, state) },
		Routing:      func(document []byte) { p.config.Routing(s.address, document) },
		LocalVersion: p.config.LocalVersion,
		Version:      func(number uint64) { p.observeVersion(s, number) },
		Proof:        func(version uint64, at time.Duration) { p.observeProof(s, version, at) },
		Evacuations:  p.config.Evacuations,
		Egress:       p.config.Egress,
		Dial:         p.config.Dial,
		QuotaReply:   func(r *linkpb.QuotaReply) { p.handleQuotaReply(s.address, r) },
	}, p.config.Memory)
}

// dialAndWait dials the node and waits for the end of the link. It reports whether the link was established.
func (p *Set) dialAndWait(ctx context.Context, s *Server) bool {
	client, err := s.session.Dial(ctx)
	if err != nil {
		return false
	}
	s.setClient(client)
	p.config.PollersChanged()
	p.config.Log.Info("peer linked", "peer", s.address)
	select {
	case <-client.Done():
	case <-ctx.Done():
		client.Close()
		<-client.Done()
	}
	s.setClient(nil)
	p.config.PollersChanged()
	p.config.Log.Info("peer lost", "peer", s.address)
	return true
}

// currentClient returns the link to the server's node, or nil.
func (s *Server) currentClient() *link.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client
}
