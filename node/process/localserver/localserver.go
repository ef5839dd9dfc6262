// Package localserver tracks the state of the backend server beside the node: absent, ready, unreachable, draining or
// gone. It is the only package that sends requests to the server, so a drain that it has acknowledged takes effect
// without coordination with other nodes.
package localserver

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"golang.org/x/time/rate"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/internal/membudget"
	"github.com/radishstand/radishstand/node/process/departures"
	"github.com/radishstand/radishstand/node/process/dispatch"
)

// ErrInvalid is wrapped by the errors of announcements that do not describe a usable server.
var ErrInvalid = errors.New("announcement refused")

const (
	maxSlots = 10_000
	// unannouncedIntervals is the time for which a server that was found by a health check is used without an announcement,
	// as a multiple of the interval of announcements.
	unannouncedIntervals = 1.5
)

// Announcement is the report of a server about itself.
type Announcement struct {
	ID       string
	Service  string
	Address  string
	Slots    int
	Draining bool
	// WarmUp is the time for which the server stays slow after its start.
	WarmUp time.Duration
	// Sequence orders the announcements of one start.
	Sequence int64
	// StartedAtMs is the start of the server as Unix time in milliseconds; 0 when unknown. It orders the starts of
	// servers.
	StartedAtMs int64
}

// Leave is the announcement that a server ends.
type Leave struct {
	ID string
	// StartedAtMs is the start of the server that ends, as in Announcement; 0 when unknown.
	StartedAtMs int64
}

// Config configures a Server.
type Config struct {
	// Address returns the address of the server beside this node. Announcements of other addresses are refused.
	Address func() string
	// HasService reports whether a service is configured.
	HasService func(service string) bool
	// HealthPath returns the path of the health check of a service, or "" while it is unknown.
	HealthPath func(service string) string
	Names      protocol.Names
	// Memory bounds the bytes of the answers that are held.
	Memory *membudget.Budget
	Now    func() time.Time
	// Boottime returns the time since the host was started, with the time for which it was suspended.
	Boottime func() time.Duration
	// AnnounceInterval returns the interval of a server's announcements. With 0, a server that was found by a health check
	// is used without an announcement.
	AnnounceInterval func() time.Duration
	// Changed is called without holding locks after the state of the server changed.
	Changed func(Status)
	// Stated is called without holding locks when the statement in an answer differs from the one before. The source is the
	// ID of the answered request, "health check", or "other node". It may be nil.
	Stated func(statement Statement, source string)
	// PeerKnee returns the knee that the nodes of other servers of the service have found for a number of slots, or 0.
	// It is called while locks are held. If it is nil, no knee is adopted from other nodes and KneeChanged is not
	// called.
	PeerKnee func(slots int) int
	// KneeChanged is called without holding locks when the confirmed knee of the server was found, changed or removed.
	KneeChanged func()
}

// Status is the state of the server as reported to other nodes.
type Status struct {
	ID         string
	Service    string
	Slots      int
	State      string
	Ready      bool
	WarmUpLeft time.Duration
	// StartedAtMs is the start of the server, as in Announcement.
	StartedAtMs int64
}

// Leaving returns the server if it drains or has left, and nil otherwise.
func (s Status) Leaving() *linkpb.Leaving {
	if s.State != stateDraining && s.State != stateGone {
		return nil
	}
	return &linkpb.Leaving{ServerId: s.ID, StartedMs: uint64(max(s.StartedAtMs, 0))}
}

// Server is the backend server beside the node. It is safe for concurrent use.
type Server struct {
	config       Config
	dispatcher   *dispatch.Dispatcher
	probeLimiter *rate.Limiter
	inProgress   callSet
	requests     atomic.Int64

	// transition serializes the updates of the state with their effect on the dispatcher. It is acquired before mu, which
	// must not be held during calls of the dispatcher: its callbacks need the state.
	transition sync.Mutex

	mu             sync.Mutex
	state          *fsm.FSM
	current        Announcement
	warmUpEnd      time.Time
	client         *exchange.Client
	stated         Statement
	sweepScheduled bool
	departed       departures.List
	// starts counts the servers that were current.
	starts int
	// unannouncedSince is when a health check found the current server; zero once the server has announced itself.
	unannouncedSince time.Time
}

// New returns a Server in the absent state.
func New(c Config) *Server {
	s := &Server{
		config: c, state: newStateMachine(stateAbsent), probeLimiter: rate.NewLimiter(probesPerSecond, probeBurst),
		inProgress: newCallSet(),
	}
	s.dispatcher = dispatch.New(c.Now, s.probeSlowness)
	if c.PeerKnee != nil {
		s.dispatcher.ShareKnee(c.PeerKnee, c.KneeChanged)
	}
	return s
}

// Announce applies an announcement. One of an earlier start or of a server that has left, or with a sequence number that is
// not greater than the last, has no effect. The errors wrap ErrInvalid.
func (s *Server) Announce(a Announcement) error {
	if err := s.validate(a); err != nil {
		return err
	}
	return s.updateState(func() error {
		if s.departed.Includes(departures.Server{ID: a.ID, StartedAtMs: a.StartedAtMs}, s.config.Now()) {
			return nil
		}
		if a.ID == s.current.ID {
			s.unannouncedSince = time.Time{}
			if s.current.StartedAtMs == 0 && !s.ends() {
				s.current.StartedAtMs = a.StartedAtMs // found by a health check, which does not report the start
			}
		}
		if s.isNewStart(a) {
			s.replaceServer(a)
		} else if a.ID != s.current.ID || a.StartedAtMs < s.current.StartedAtMs || a.Sequence <= s.current.Sequence {
			return nil
		}
		s.current.Sequence, s.current.Slots, s.current.Service = a.Sequence, a.Slots, a.Service
		if a.Draining {
			return s.fireEvent(eventDrained)
		}
		return s.fireEvent(eventAnnounced)
	})
}

// isNewStart reports whether an announcement is that of a server that started after the current one.
func (s *Server) isNewStart(a Announcement) bool {
	switch {
	case s.state.Is(stateAbsent) && s.current.ID == "":
		return true
	case a.StartedAtMs != s.current.StartedAtMs:
		return a.StartedAtMs > s.current.StartedAtMs
	case a.ID != s.current.ID:
		return s.ends() || s.state.Is(stateUnreachable)
	}
	return false
}

// replaceServer makes the announced server the current one and closes the connections to the one before.
func (s *Server) replaceServer(a Announcement) {
	if s.client != nil {
		s.client.Close()
	}
	s.starts++
	s.current = a
	s.current.Sequence = a.Sequence - 1
	s.unannouncedSince = time.Time{}
	s.stated = Statement{}
	s.warmUpEnd = s.config.Now().Add(a.WarmUp)
	s.client = exchange.New(a.Address, s.config.Names.ID, s.config.Memory)
	s.state = newStateMachine(stateAbsent)
}

func (s *Server) validate(a Announcement) error {
	switch {
	case a.ID == "":
		return fmt.Errorf("%w: server id is empty", ErrInvalid)
	case a.Address != s.config.Address():
		return fmt.Errorf("%w: address %q is not the address of the server beside this node", ErrInvalid, a.Address)
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("%w: slots is %d, allowed are 1 to %d", ErrInvalid, a.Slots, maxSlots)
	case !a.Draining && !s.config.HasService(a.Service): // a drain is acknowledged also after the service was removed
		return fmt.Errorf("%w: service %q is not configured", ErrInvalid, a.Service)
	}
	return nil
}

// Leave records that a server has announced its end. It is remembered also for a server that this node does not know, since
// that server may serve on and be found by a health check. The leave of an earlier start has no effect on a later one. The
// errors wrap ErrInvalid.
func (s *Server) Leave(l Leave) error {
	if l.ID == "" {
		return fmt.Errorf("%w: server id is empty", ErrInvalid)
	}
	return s.updateState(func() error {
		if l.ID != s.current.ID {
			s.departed.Add(departures.Server(l), s.config.Now())
			return nil
		}
		if l.StartedAtMs != 0 && l.StartedAtMs < s.current.StartedAtMs {
			return nil
		}
		s.current.StartedAtMs = max(s.current.StartedAtMs, l.StartedAtMs)
		s.departed.Add(departures.Server{ID: l.ID, StartedAtMs: s.current.StartedAtMs}, s.config.Now())
		return s.fireEvent(eventLeft)
	})
}

// recordLeaving records that the server of a client has said in an answer that it leaves. It gets no further calls, whatever it
// announces. The result is nil when the server is not the current one any more.
func (s *Server) recordLeaving(client *exchange.Client) (leaving *linkpb.Leaving) {
	_ = s.updateState(func() error {
		if s.client != client {
			return nil
		}
		s.departed.Add(departures.Server{ID: s.current.ID, StartedAtMs: s.current.StartedAtMs}, s.config.Now())
		err := s.fireEvent(eventDrained)
		leaving = s.status().Leaving()
		return err
	})
	return leaving
}

// ends reports whether the current server drains or has left.
func (s *Server) ends() bool { return s.state.Is(stateDraining) || s.state.Is(stateGone) }

// markUnreachable records that the server refused a connection or reported a call as misdirected.
func (s *Server) markUnreachable(id string) {
	_ = s.updateState(func() error {
		if id != s.current.ID {
			return nil
		}
		return s.fireEvent(eventLost)
	})
}

// HandleProbeResult applies the identity of a running server that a health check has returned: either the announced
// server is reachable again, or a server runs that has sent no announcement since this node started.
func (s *Server) HandleProbeResult(a Announcement) error {
	if err := s.validate(a); err != nil {
		return err
	}
	return s.updateState(func() error {
		if s.departed.IncludesAny(a.ID) {
			return nil
		}
		if s.current.ID == "" {
			s.replaceServer(a)
			s.unannouncedSince = s.config.Now()
			return s.fireEvent(eventAnnounced)
		}
		if a.ID != s.current.ID {
			return nil
		}
		return s.fireEvent(eventFound)
	})
}

// CheckAnnounced stops the use of a server that a health check has found and that has not announced itself in time. A server
// that leaves may serve on without announcing itself again, and its leave may have been acknowledged by an earlier process
// of this node.
func (s *Server) CheckAnnounced() {
	_ = s.updateState(func() error {
		interval := s.config.AnnounceInterval()
		limit := time.Duration(unannouncedIntervals * float64(interval))
		if interval == 0 || s.unannouncedSince.IsZero() || s.config.Now().Sub(s.unannouncedSince) < limit {
			return nil
		}
		s.unannouncedSince = time.Time{}
		return s.fireEvent(eventSilent)
	})
}

// NeedsProbe reports whether a health check may find a server to use: none is known, or the current one is unreachable.
func (s *Server) NeedsProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.ID == "" || s.state.Is(stateUnreachable)
}

// updateState runs an update of the state, opens or closes the dispatcher accordingly, and reports the change to
// Config.Changed.
func (s *Server) updateState(update func() error) error {
	s.transition.Lock()
	before, startsBefore := s.snapshot()
	err := s.updateLocked(update)
	after, starts := s.snapshot()
	replaced := starts != startsBefore
	if before.Ready && (replaced || !after.Ready) {
		s.dispatcher.Close()
	}
	if replaced {
		s.dispatcher.Reset()
	}
	if after.Ready && (replaced || !before.Ready || before.Slots != after.Slots) {
		s.dispatcher.Open(after.Slots)
	}
	s.transition.Unlock()
	before.WarmUpLeft, after.WarmUpLeft = 0, 0
	if before != after {
		s.config.Changed(s.Status())
	}
	return err
}

func (s *Server) updateLocked(update func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return update()
}

// snapshot returns the state of the server and the number of servers that were current.
func (s *Server) snapshot() (Status, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status(), s.starts
}

// Status returns the state of the server.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

func (s *Server) status() Status {
	return Status{
		ID: s.current.ID, Service: s.current.Service, Slots: s.current.Slots, State: s.state.Current(),
		Ready: s.state.Is(stateReady), WarmUpLeft: max(s.warmUpEnd.Sub(s.config.Now()), 0), StartedAtMs: s.current.StartedAtMs,
	}
}

// Knee returns the number of calls in progress above which the throughput of the server falls, if this node has confirmed
// one, and 0 otherwise.
func (s *Server) Knee() int { return s.dispatcher.Knee() }

// Load returns the load of the server.
func (s *Server) Load() *linkpb.Load {
	l := s.dispatcher.Load()
	return &linkpb.Load{
		InProgress: uint32(max(l.InProgress, 0)), Queued: uint32(l.Queued), Limit: uint32(l.Limit),
		SlownessPercent: uint32(max(l.Slowness, 0)), ServiceMs: uint32(l.ServiceTime.Milliseconds()),
		RateLimit: float32(l.RateLimit), RateWaitMs: uint32(l.RateWait.Milliseconds()),
		RateLimitUnknown: l.RateLimitUnknown,
	}
}
