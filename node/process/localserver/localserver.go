// Package localserver keeps the life of the backend server beside the node: absent, ready, draining or gone. It is the
// only place that sends requests to the server, so that a drain that it has acknowledged holds without asking anybody.
package localserver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/looplab/fsm"
	"golang.org/x/time/rate"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/process/dispatch"
)

// States of the server.
const (
	// absent: nothing is known of a server.
	absent = "absent"
	// ready: the server takes calls.
	ready = "ready"
	// unreachable: the server is announced but refuses connections.
	unreachable = "unreachable"
	// draining: the server finishes its calls and takes no new ones.
	draining = "draining"
	// gone: the server has left.
	gone = "gone"
)

// Events of the server's life.
const (
	announced = "announced"
	drained   = "drained"
	left      = "left"
	lost      = "lost"
	found     = "found"
)

// ErrInvalid is wrapped by the errors of an announcement that names no server to use.
var ErrInvalid = errors.New("announcement refused")

const maxSlots = 10_000

// Announcement is what a server says of itself.
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
	// StartedAtMs orders the starts of servers; Unix time in milliseconds, 0 when not told.
	StartedAtMs int64
}

// Config configures a Server.
type Config struct {
	// Address at which the server beside this node listens. Announcements of other addresses are refused.
	Address func() string
	// HasService reports whether a service is configured.
	HasService func(service string) bool
	// HealthPath returns the path of the health check of a service, or "" while it is not known.
	HealthPath func(service string) string
	Names      protocol.Names
	Now        func() time.Time
	// Changed is called without locks after the server's state changed.
	Changed func(Status)
	// PeerKnee returns the knee that the nodes of other servers of the service have found for a number of slots, or 0. It is
	// called with locks. Nil means that nobody is asked.
	PeerKnee func(slots int) int
	// KneeChanged is called without locks when the knee of the server was found or given up.
	KneeChanged func()
}

// Status is the state of the server for other nodes.
type Status struct {
	ID         string
	Service    string
	Slots      int
	State      string
	Ready      bool
	WarmUpLeft time.Duration
}

// Server is the backend server beside the node. It is safe for concurrent use.
type Server struct {
	config     Config
	dispatcher *dispatch.Dispatcher
	probes     *rate.Limiter

	mu       sync.Mutex
	life     *fsm.FSM
	current  Announcement
	warmAt   time.Time
	client   *exchange.Client
	sweeping bool
}

// New returns a Server of which nothing is known yet.
func New(c Config) *Server {
	s := &Server{config: c, life: newLife(absent), probes: rate.NewLimiter(probesPerSecond, probeBurst)}
	s.dispatcher = dispatch.New(c.Now, s.probeSlowness)
	if c.PeerKnee != nil {
		s.dispatcher.ShareKnee(c.PeerKnee, c.KneeChanged)
	}
	return s
}

func newLife(state string) *fsm.FSM {
	return fsm.NewFSM(state, fsm.Events{
		{Name: announced, Src: []string{absent, ready, unreachable}, Dst: ready},
		{Name: drained, Src: []string{absent, ready, unreachable}, Dst: draining},
		{Name: left, Src: []string{absent, ready, unreachable, draining}, Dst: gone},
		{Name: lost, Src: []string{ready}, Dst: unreachable},
		{Name: found, Src: []string{unreachable}, Dst: ready},
	}, fsm.Callbacks{})
}

// Announce takes an announcement. A late one of an earlier start, or of an earlier moment, has no effect. The errors wrap
// ErrInvalid.
func (s *Server) Announce(a Announcement) error {
	if err := s.validate(a); err != nil {
		return err
	}
	return s.change(func() error {
		if a.ID == s.current.ID && s.current.StartedAtMs == 0 {
			s.current.StartedAtMs = a.StartedAtMs // a health check had found the server
		}
		if s.newStart(a) {
			s.begin(a)
		} else if a.ID != s.current.ID || a.StartedAtMs < s.current.StartedAtMs || a.Sequence <= s.current.Sequence {
			return nil
		}
		s.current.Sequence, s.current.Slots, s.current.Service = a.Sequence, a.Slots, a.Service
		if a.Draining {
			return s.event(drained)
		}
		return s.event(announced)
	})
}

// newStart reports whether an announcement is that of a server that started after the current one.
func (s *Server) newStart(a Announcement) bool {
	switch {
	case s.life.Is(absent) && s.current.ID == "":
		return true
	case a.StartedAtMs != s.current.StartedAtMs:
		return a.StartedAtMs > s.current.StartedAtMs
	case a.ID != s.current.ID:
		return s.life.Is(gone) || s.life.Is(draining) || s.life.Is(unreachable)
	}
	return false
}

// begin makes another server the current one.
func (s *Server) begin(a Announcement) {
	if s.client != nil {
		s.client.Close()
	}
	s.dispatcher.Close()
	s.dispatcher.Reset()
	s.current = a
	s.current.Sequence = a.Sequence - 1
	s.warmAt = s.config.Now().Add(a.WarmUp)
	s.client = exchange.New(a.Address, s.config.Names.ID)
	s.life = newLife(absent)
}

func (s *Server) validate(a Announcement) error {
	switch {
	case a.ID == "":
		return fmt.Errorf("%w: no id", ErrInvalid)
	case a.Address != s.config.Address():
		return fmt.Errorf("%w: address %q is not that of the server beside this node", ErrInvalid, a.Address)
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("%w: slots: is %d; allowed are 1 to %d", ErrInvalid, a.Slots, maxSlots)
	case !s.config.HasService(a.Service):
		return fmt.Errorf("%w: service %q is not configured", ErrInvalid, a.Service)
	}
	return nil
}

// Leave takes the word of a server that it ends. The word of another server has no effect.
func (s *Server) Leave(id string) error {
	return s.change(func() error {
		if id != s.current.ID {
			return nil
		}
		return s.event(left)
	})
}

// Lost is called when the server refused a connection.
func (s *Server) lost(id string) {
	_ = s.change(func() error {
		if id != s.current.ID {
			return nil
		}
		return s.event(lost)
	})
}

// HandleProbeResult takes the identity of a running server from a health check: the announced one is reachable again, or a server
// runs of which no announcement has come in since this node started.
func (s *Server) HandleProbeResult(a Announcement) error {
	if err := s.validate(a); err != nil {
		return err
	}
	return s.change(func() error {
		if s.current.ID == "" {
			s.begin(a)
			return s.event(announced)
		}
		if a.ID != s.current.ID {
			return nil
		}
		return s.event(found)
	})
}

// NeedsProbe reports whether a health check may find a server to use.
func (s *Server) NeedsProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.ID == "" || s.life.Is(unreachable)
}

// event moves the server's life on. An event that does not fit the state has no effect.
func (s *Server) event(name string) error {
	err := s.life.Event(context.Background(), name)
	if errors.As(err, &fsm.NoTransitionError{}) || errors.As(err, &fsm.InvalidEventError{}) {
		return nil
	}
	return err
}

// change runs a change of the state and tells of it.
func (s *Server) change(do func() error) error {
	s.mu.Lock()
	before := s.status()
	err := do()
	after := s.status()
	switch {
	case after.Ready && (!before.Ready || before.Slots != after.Slots || before.ID != after.ID):
		s.dispatcher.Open(after.Slots)
	case !after.Ready && before.Ready:
		s.dispatcher.Close()
	}
	s.mu.Unlock()
	before.WarmUpLeft, after.WarmUpLeft = 0, 0
	if before != after {
		s.config.Changed(s.Status())
	}
	return err
}

// Status returns the server's state.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

func (s *Server) status() Status {
	return Status{
		ID: s.current.ID, Service: s.current.Service, Slots: s.current.Slots, State: s.life.Current(), Ready: s.life.Is(ready),
		WarmUpLeft: max(s.warmAt.Sub(s.config.Now()), 0),
	}
}

// Knee returns the number of calls in progress above which the server gets less done; 0 when none was found.
func (s *Server) Knee() int { return s.dispatcher.Knee() }

// Load returns the load of the server.
func (s *Server) Load() *linkpb.Load {
	l := s.dispatcher.Load()
	return &linkpb.Load{
		InProgress: uint32(max(l.InProgress, 0)), Queued: uint32(l.Queued), Limit: uint32(l.Limit),
		SlownessPercent: uint32(max(l.Slowness, 0)), ServiceMs: uint32(l.ServiceTime.Milliseconds()),
	}
}
