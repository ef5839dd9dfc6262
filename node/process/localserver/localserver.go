// Package localserver tracks the state of the backend server beside the node: absent, ready, unreachable, draining or
// gone. It is the only package that sends requests to the server, so a drain that it has acknowledged takes effect
// without coordination with other nodes.
package localserver

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"golang.org/x/time/rate"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/internal/membudget"
	"github.com/radishstand/radishstand/node/process/backpressure"
	"github.com/radishstand/radishstand/node/process/departures"
	"github.com/radishstand/radishstand/node/process/dispatch"
)

// ErrInvalid is wrapped by the errors of announcements that do not describe a usable server.
var ErrInvalid = errors.New("announcement refused")

// Config configures a Server.
type Config struct {
	// Address returns the address of the server beside this node. Announcements of other addresses are refused.
	Address func() string
	// HasService reports whether a service is configured.
	HasService func(service string) bool
	// HealthPath returns the path of the health check of a service, or "" while it is unknown.
	HealthPath func(service string) string
	// ColdLimit returns the limit for the cold servers of a service. If it is nil, they are not limited and ColdChanged is not
	// called.
	ColdLimit func(service string) dispatch.ColdLimit
	// ColdChanged is called without holding locks when the limit for a cold server begins or ends to apply.
	ColdChanged func(dispatch.ColdChange)
	Names       protocol.Names
	// EgressBytes returns the number of bytes that wait to be sent on the link of the host; nil if it is not known.
	EgressBytes func() int64
	// Memory bounds the bytes of the answers that are held.
	Memory *membudget.Budget
	Now    func() time.Time
	// Boottime returns the time since the host was started, with the time for which it was suspended.
	Boottime func() time.Duration
	// AnnounceInterval returns the interval of a server's announcements. With 0, a server that was found by a health check
	// is used without an announcement.
	AnnounceInterval func() time.Duration
	// FairShares reports whether teams have shares of the slots. If it is nil, they have none.
	FairShares func() bool
	// BackPressure reports whether calls are refused whose nested calls would be refused. If it is nil, they are not.
	BackPressure func() bool
	// BackPressureChanged is called without holding locks when calls of a route begin to be refused for that, and when all are admitted
	// again. It may be nil.
	BackPressureChanged func(route string, s backpressure.Share)
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
	// Announced is set when the server has announced itself to this process.
	Announced bool
	// Evacuated is set while the place of the server is evacuated.
	Evacuated bool
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
	backPressure *backpressure.Controller
	probeLimiter *rate.Limiter
	sweeper      *sweeper
	inProgress   callSet
	requests     atomic.Int64

	// transition serializes the updates of the state with their effect on the dispatcher. It is acquired before mu, which
	// must not be held during calls of the dispatcher: its callbacks need the state.
	transition sync.Mutex

	mu        sync.Mutex
	state     *fsm.FSM
	current   Announcement
	warmUpEnd time.Time
	client    *exchange.Client
	stated    Statement
	departed  departures.List
	// starts counts the servers that were current.
	starts int
	// announced is set when the current server has announced itself.
	announced bool
	// unannouncedSince is when a health check found the current server; zero once the server has announced itself.
	unannouncedSince time.Time
	evacuated        bool
	// afterEvacuation is called at the end of an evacuation, before calls are accepted, with transition held but not mu. It may be
	// nil.
	afterEvacuation func()
}

// New returns a Server in the absent state.
func New(c Config) *Server {
	s := &Server{
		config: c, state: newStateMachine(stateAbsent), probeLimiter: rate.NewLimiter(probesPerSecond, probeBurst),
		inProgress: newCallSet(), backPressure: backpressure.New(c.Now, c.BackPressureChanged),
	}
	s.dispatcher = dispatch.New(c.Now, s.probeSlowness)
	if c.FairShares != nil {
		s.dispatcher.UseFairShares(c.FairShares)
	}
	s.sweeper = &sweeper{sweep: s.dispatcher.Sweep}
	if c.ColdLimit != nil {
		s.dispatcher.LimitCold(dispatch.ColdControl{Limit: s.coldLimit, Check: s.checkCold, Changed: s.coldChanged})
		s.afterEvacuation = s.invalidateAfterEvacuation
	}
	if c.PeerKnee != nil {
		s.dispatcher.ShareKnee(c.PeerKnee, c.KneeChanged)
	}
	return s
}

// markUnreachable records that the server refused a connection or reported a call as misdirected.
func (s *Server) markUnreachable(id string) {
	_ = s.updateState(func() error {
		if id != s.current.ID {
			return nil
		}
		return s.fireEvent(eventLost)
	})
}

// NeedsProbe reports whether a health check may find a server to use: none is known, or the current one is unreachable. A server in an
// evacuated place gets none.
func (s *Server) NeedsProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.evacuated && (s.current.ID == "" || s.state.Is(stateUnreachable))
}

// updateState runs an update of the state, opens or closes the dispatcher accordingly, and reports the change to
// Config.Changed.
func (s *Server) updateState(update func() error) error {
	changed, err := s.applyUpdate(update)
	if changed {
		s.config.Changed(s.Status())
	}
	return err
}

// applyUpdate runs an update of the state, opens or closes the dispatcher accordingly, and reports whether the state has changed.
func (s *Server) applyUpdate(update func() error) (changed bool, err error) {
	s.transition.Lock()
	defer s.transition.Unlock()
	before, startsBefore := s.snapshot()
	err = s.updateLocked(update)
	after, starts := s.snapshot()
	replaced := starts != startsBefore
	if before.Ready && (replaced || !after.Ready) {
		s.dispatcher.Close()
	}
	if replaced {
		s.dispatcher.Reset()
	}
	if before.Evacuated && !after.Evacuated && s.afterEvacuation != nil {
		s.afterEvacuation()
	}
	if after.Ready && (replaced || !before.Ready || before.Slots != after.Slots) {
		s.dispatcher.Open(after.Slots)
	}
	before.WarmUpLeft, after.WarmUpLeft = 0, 0
	return before != after, err
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
		Ready: s.state.Is(stateReady) && !s.evacuated, WarmUpLeft: max(s.warmUpEnd.Sub(s.config.Now()), 0), StartedAtMs: s.current.StartedAtMs,
		Announced: s.announced, Evacuated: s.evacuated,
	}
}

// Knee returns the number of calls in progress above which the throughput of the server falls, if this node has confirmed
// one, and 0 otherwise.
func (s *Server) Knee() int { return s.dispatcher.Knee() }

// Load returns the load of the server.
func (s *Server) Load() *linkpb.Load {
	l := s.dispatcher.Load()
	egress := uint64(0)
	if s.config.EgressBytes != nil {
		egress = uint64(s.config.EgressBytes())
	}
	return &linkpb.Load{
		EgressBytes: egress,
		InProgress:  uint32(max(l.InProgress, 0)), Queued: uint32(l.Queued), Limit: uint32(l.Limit),
		SlownessPercent: uint32(max(l.Slowness, 0)), ServiceMs: uint32(l.ServiceTime.Milliseconds()),
		RateLimit: float32(l.RateLimit), RateWaitMs: uint32(l.RateWait.Milliseconds()),
		RateLimitUnknown: l.RateLimitUnknown,
	}
}
