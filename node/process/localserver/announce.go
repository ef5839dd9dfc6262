package localserver

import (
	"fmt"
	"time"

	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/process/departures"
)

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

// Announce applies an announcement. One of an earlier start or of a server that has left, or with a sequence number that is
// not greater than the last, has no effect. The errors wrap ErrInvalid.
func (s *Server) Announce(a Announcement) error {
	if err := s.validate(a); err != nil {
		return err
	}
	applied := false
	defer func() {
		if applied {
			s.observeAnnouncedCold(a.WarmUp)
		}
	}()
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
		s.announced, applied = true, true
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
	s.unannouncedSince, s.announced = time.Time{}, false
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

// ends reports whether the current server drains or has left.
func (s *Server) ends() bool { return s.state.Is(stateDraining) || s.state.Is(stateGone) }
