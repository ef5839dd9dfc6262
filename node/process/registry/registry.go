// Package registry tracks the lifecycle of the backend server beside the node: its announcement, renewals, draining and
// withdrawal.
package registry

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/radishstand/radishstand/api/announce"
	"github.com/radishstand/radishstand/node/connection/backend"
	"github.com/radishstand/radishstand/node/process/admission"
	"github.com/radishstand/radishstand/node/process/measure"
)

// Limits of an announcement.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxServiceName = 64
)

// ErrInvalid is wrapped by the errors for an invalid announcement.
var ErrInvalid = errors.New("announcement refused")

// Config configures a Registry.
type Config struct {
	NodeID string
	Now    func() time.Time
	// NewAdmission creates the admission of a new server.
	NewAdmission func(service string, slots int) *admission.Admission
	// NewMeter creates the meter of a server at an address.
	NewMeter func(service, address string) *measure.Meter
	// RenewWithin returns the time within which a server of the service repeats its announcement.
	RenewWithin func(service string) time.Duration
	// OnChange is called after each change, without locks held. The server is nil if there is none.
	OnChange func(*Server)
}

// Registry holds at most one backend server. It is safe for concurrent use.
type Registry struct {
	config Config

	// current can be read without mu. Otherwise there would be a lock cycle: admission looks up siblings while it holds its
	// own lock, and the registry calls admission while it holds mu.
	current atomic.Pointer[Server]

	mu sync.Mutex
	// meter is reused while successive servers have the same address, so that a server gets no new budget by withdrawing and
	// announcing itself again.
	meter        *measure.Meter
	meterAddress string
	incarnation  uint64
	stopping     bool
}

// New returns an empty registry.
func New(config Config) *Registry { return &Registry{config: config} }

// Current returns the server, or nil.
func (r *Registry) Current() *Server {
	return r.current.Load()
}

// Announce handles a first or repeated announcement. Its errors wrap ErrInvalid.
func (r *Registry) Announce(a announce.Server) (announce.Reply, error) {
	if err := validate(a); err != nil {
		return announce.Reply{}, err
	}
	server, changed := r.announce(a)
	if changed {
		r.config.OnChange(server)
	}
	return announce.Reply{
		ServerID:      server.ID,
		State:         server.State(),
		RenewWithinMs: int(r.config.RenewWithin(a.Service).Milliseconds()),
	}, nil
}

// announce applies a valid announcement and reports whether OnChange must be called.
func (r *Registry) announce(a announce.Server) (server *Server, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	old := r.current.Load()
	server, changed = old, true
	switch {
	case old == nil || old.State() == StateGone || !sameServer(old.Announced, a):
		server = r.replace(old, a, now)
	case old.Announced != a:
		server = r.update(old, a)
	default:
		changed = old.State() == StateSilent
	}
	server.renew(now)
	if a.Draining || r.stopping {
		drain(server)
	}
	return server, changed
}

// replace replaces the old server, if any, by a new one. The calls in progress at the old server keep its admission and
// client.
func (r *Registry) replace(old *Server, a announce.Server, now time.Time) *Server {
	if old != nil {
		retire(old)
	}
	r.incarnation++
	server := &Server{
		ID:          fmt.Sprintf("%s/%s", r.config.NodeID, uuid.NewString()[:8]),
		Announced:   a,
		Since:       now,
		Incarnation: r.incarnation,
		Admission:   r.config.NewAdmission(a.Service, a.Slots),
		Client:      backend.New(a.Address, a.Connections),
		Meter:       r.meterOf(a),
		machine:     newStateMachine(),
	}
	r.current.Store(server)
	return server
}

// meterOf returns the meter of the announced address.
func (r *Registry) meterOf(a announce.Server) *measure.Meter {
	if r.meter == nil || r.meterAddress != a.Address {
		r.meter, r.meterAddress = r.config.NewMeter(a.Service, a.Address), a.Address
	}
	return r.meter
}

// update replaces the server by a copy with the new announcement, because readers use the old one without a lock. The copies
// share everything else.
func (r *Registry) update(old *Server, a announce.Server) *Server {
	old.Admission.Resize(a.Slots)
	server := &Server{
		ID: old.ID, Announced: a, Since: old.Since, Incarnation: old.Incarnation,
		Admission: old.Admission, Client: old.Client, Meter: old.Meter, machine: old.machine,
	}
	r.current.Store(server)
	return server
}

// drain marks the server as draining and refuses new calls.
func drain(s *Server) {
	s.fire(eventDrain)
	s.Admission.Drain()
}

// retire marks the server as gone, refuses new calls and closes the client.
func retire(s *Server) {
	s.fire(eventWithdraw)
	s.Admission.Drain()
	s.Client.Close()
}

// Drain refuses new calls. The server finishes its calls in progress.
func (r *Registry) Drain() {
	r.mu.Lock()
	server := r.current.Load()
	if server != nil {
		drain(server)
	}
	r.mu.Unlock()
	if server != nil {
		r.config.OnChange(server)
	}
}

// Stop drains the server and every server that is announced later.
func (r *Registry) Stop() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.Drain()
}

// Withdraw removes the server. Its calls in progress finish.
func (r *Registry) Withdraw() { r.withdraw(r.Current()) }

// withdraw removes the server unless another one has replaced it.
func (r *Registry) withdraw(server *Server) {
	if server == nil {
		return
	}
	r.mu.Lock()
	current := r.current.Load()
	same := current != nil && current.ID == server.ID
	if same {
		retire(current)
		r.current.Store(nil)
	}
	r.mu.Unlock()
	if same {
		r.config.OnChange(nil)
	}
}

// Overdue returns the server if the renewal of its announcement is overdue, else nil. The result of checking the server is
// reported with RecordCheck.
func (r *Registry) Overdue() *Server {
	server := r.Current()
	if server == nil || server.sinceRenewal(r.config.Now()) < r.config.RenewWithin(server.Announced.Service) {
		return nil
	}
	server.fire(eventMiss)
	return server
}

// RecordCheck records the result of checking an overdue server. A server that is not alive is withdrawn unless it has
// renewed its announcement in the meantime.
func (r *Registry) RecordCheck(server *Server, alive bool) {
	overdue := server.sinceRenewal(r.config.Now()) >= r.config.RenewWithin(server.Announced.Service)
	if !alive && overdue {
		r.withdraw(server)
	}
}

// sameServer reports whether the announcement b may come from the same server process as the earlier announcement a. A
// draining process does not become ready again.
func sameServer(a, b announce.Server) bool {
	if a.Draining && !b.Draining {
		return false
	}
	return a.Service == b.Service && a.Address == b.Address && a.Connections == b.Connections
}

// validate checks the values of an announcement.
func validate(a announce.Server) error {
	if a.Service == "" || len(a.Service) > maxServiceName {
		return fmt.Errorf("%w: service must have 1 to %d characters", ErrInvalid, maxServiceName)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("%w: address %q is not an IP address with a port", ErrInvalid, a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return fmt.Errorf("%w: slots is %d, allowed are 1 to %d", ErrInvalid, a.Slots, maxSlots)
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return fmt.Errorf("%w: connections is %d, allowed are 1 to %d", ErrInvalid, a.Connections, maxConnections)
	}
	return nil
}
