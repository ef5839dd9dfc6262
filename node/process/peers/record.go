package peers

import (
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/process/departures"
)

// serverRecord is what is known about a backend server beyond the last state of its node. It is kept while there is no link, since
// the process of that node may restart and forget it.
type serverRecord struct {
	id string
	// startedMs is the start of the server as Unix time in milliseconds; 0 if unknown.
	startedMs uint64
	// rateLimit is the number of requests per second that the server accepts from all nodes, or 0 if it names no limit.
	rateLimit float32
}

// recordLeaving remembers that a server leaves.
func (s *Server) recordLeaving(l *linkpb.Leaving, now time.Time) {
	if l == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departed.Add(departures.Server{ID: l.ServerId, StartedAtMs: int64(l.StartedMs)}, now)
}

// unannouncedLeaving returns the server if its node accepts calls for it although it leaves, and nil otherwise.
func (s *Server) unannouncedLeaving(now time.Time) *linkpb.Leaving {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.GetReady() || !s.leaves(now) {
		return nil
	}
	return &linkpb.Leaving{ServerId: s.state.ServerId, StartedMs: uint64(s.departed.StartOf(s.state.ServerId))}
}

// leaves reports whether the server has said that it leaves. While its node does not know the server's start, as after a restart
// of that node, it is taken for the one that has said so. The lock must be held.
func (s *Server) leaves(now time.Time) bool {
	if s.state.StartedMs == 0 {
		return s.departed.IncludesAny(s.state.ServerId)
	}
	return s.departed.Includes(departures.Server{ID: s.state.ServerId, StartedAtMs: int64(s.state.StartedMs)}, now)
}

// update applies a state of the server's node. The record of a server ends when another one, or a later start of it, is there,
// and not while a new process of the node does not know its server yet.
func (r *serverRecord) update(state *linkpb.State) {
	if state.ServerId == "" {
		return
	}
	replaced := r.id != state.ServerId || r.startedMs != 0 && state.StartedMs > r.startedMs
	if replaced {
		*r = serverRecord{id: state.ServerId}
	}
	r.startedMs = max(r.startedMs, state.StartedMs)
}

// observe applies a load report of the server's node.
func (r *serverRecord) observe(load *linkpb.Load) {
	if load.RateLimit > 0 || !load.RateLimitUnknown {
		r.rateLimit = load.RateLimit
	}
}
