package balance

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// ServerDump is the state of one server in the operator's dump.
type ServerDump struct {
	ID           string  `json:"id"`
	Place        string  `json:"place"`
	NodeID       string  `json:"nodeId"`
	Address      string  `json:"address"`
	Slots        int     `json:"slots"`
	Draining     bool    `json:"draining"`
	Own          int     `json:"own"`
	InProgress   int     `json:"inProgress"`
	Queued       int     `json:"queued"`
	Limit        int     `json:"limit"`
	ServiceMs    float64 `json:"serviceMs"`
	AgeMs        float64 `json:"ageMs"`
	ScoreMs      float64 `json:"scoreMs"`
	ErrorShare   float64 `json:"errorShare"`
	EjectedForMs float64 `json:"ejectedForMs"`
}

// Dump returns the state of all servers, keyed by service and sorted by ID.
func (b *Balancer) Dump() map[string][]ServerDump {
	b.mu.RLock()
	services := maps.Clone(b.services)
	b.mu.RUnlock()
	dump := make(map[string][]ServerDump, len(services))
	for name, s := range services {
		dump[name] = s.dump(b.now())
	}
	return dump
}

func (s *service) dump(now time.Duration) []ServerDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := make([]ServerDump, 0, len(s.records))
	for _, r := range s.records {
		servers = append(servers, ServerDump{
			ID: r.server.ID, Place: r.server.Place, NodeID: r.server.NodeID, Address: r.server.Address,
			Slots: r.server.Slots, Draining: r.server.Draining || r.load.Draining,
			Own: r.inFlight, InProgress: r.load.InProgress, Queued: r.load.Queued, Limit: r.limit,
			ServiceMs: milliseconds(r.load.ServiceTime), AgeMs: milliseconds(now - r.readAt),
			ScoreMs: s.score(r, now) / float64(time.Millisecond), ErrorShare: r.errorShare,
			EjectedForMs: milliseconds(max(r.ejectedUntil-now, 0)),
		})
	}
	slices.SortFunc(servers, func(a, b ServerDump) int { return strings.Compare(a.ID, b.ID) })
	return servers
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
