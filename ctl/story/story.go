// Package story reconstructs the way of a call through a fleet of the users' platform from the log lines of its nodes.
package story

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// stateAge is the time before a call for which changes of the servers and nodes on its way belong to its story.
	stateAge = 5 * time.Second
	// aftermath is the time after a call for which they do.
	aftermath = time.Second
)

// Relation says what a record has to do with the call.
type Relation string

// Relations of a record to the call.
const (
	Own    Relation = "call"
	Nested Relation = "nested call"
	Parent Relation = "parent call"
	State  Relation = "state"
)

// Event is a record in the story of a call.
type Event struct {
	Record
	Relation Relation `json:"relation"`
	// OffsetMs is the time since the start of the call, as far as the records show it, in milliseconds.
	OffsetMs int64 `json:"offsetMs"`
}

// Story is the way of a call as the logs show it.
type Story struct {
	ID     string  `json:"id"`
	Events []Event `json:"events"`
	// Missing says what the logs lack.
	Missing []string `json:"missing"`
}

// Found reports whether any record is about the call itself.
func (s *Story) Found() bool {
	return slices.ContainsFunc(s.Events, func(e Event) bool { return e.Relation == Own })
}

// way holds the nodes and servers that a call has met.
type way struct {
	logs, servers, peers map[string]bool
	start, end           time.Time
}

// Build returns the story of the call with an ID. Calls that servers make for it have its ID, a dot and more.
func Build(records []Record, id string) *Story {
	s := &Story{ID: id}
	for _, r := range records {
		if relation, ok := relationOf(r, id); ok {
			s.Events = append(s.Events, Event{Record: r, Relation: relation})
		}
	}
	w := s.way()
	for _, r := range w.standing(records) {
		s.Events = append(s.Events, Event{Record: r, Relation: State})
	}
	for _, r := range records {
		if _, ok := relationOf(r, id); !ok && w.includes(r) {
			s.Events = append(s.Events, Event{Record: r, Relation: State})
		}
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return a.Time.Compare(b.Time) })
	for i := range s.Events {
		s.Events[i].OffsetMs = s.Events[i].Time.Sub(w.start).Milliseconds()
	}
	s.Missing = missing(records, s, w)
	return s
}

func relationOf(r Record, id string) (Relation, bool) {
	subject := r.ID
	if subject == "" {
		subject = r.Source
	}
	switch {
	case subject == "":
		return "", false
	case subject == id:
		return Own, true
	case strings.HasPrefix(subject, id+"."):
		return Nested, true
	case strings.HasPrefix(id, subject+"."):
		return Parent, true
	}
	return "", false
}

// way returns what the call and those around it have met. The duration of a call tells its start.
func (s *Story) way() way {
	w := way{logs: map[string]bool{}, servers: map[string]bool{}, peers: map[string]bool{}}
	for _, e := range s.Events {
		w.logs[e.Log] = true
		if e.Server != "" {
			w.servers[e.Server] = true
		}
		if e.Peer != "" && e.Peer != "local" {
			w.peers[e.Peer] = true
		}
		if start := e.Time.Add(-time.Duration(e.TookMs) * time.Millisecond); w.start.IsZero() || start.Before(w.start) {
			w.start = start
		}
		if e.Time.After(w.end) {
			w.end = e.Time
		}
	}
	return w
}

// standing returns the last records before the time of the call of what the servers on the way were and had stated then.
func (w way) standing(records []Record) []Record {
	type subject struct{ log, message, server string }
	last := map[subject]Record{}
	for _, r := range records {
		isServer := r.Message == "server state" || r.Message == "server statement"
		key := subject{log: r.Log, message: r.Message, server: r.Server}
		if isServer && w.servers[r.Server] && r.Time.Before(w.start.Add(-stateAge)) && !r.Time.Before(last[key].Time) {
			last[key] = r
		}
	}
	return slices.Collect(maps.Values(last))
}

// includes reports whether a record tells the state of a node or server on the way, at the time of the call.
func (w way) includes(r Record) bool {
	if r.Time.Before(w.start.Add(-stateAge)) || r.Time.After(w.end.Add(aftermath)) {
		return false
	}
	switch r.Message {
	case "server state", "server statement":
		return w.servers[r.Server]
	case "peer state", "peer lost", "peer linked":
		return w.logs[r.Log] && (w.peers[r.Peer] || w.servers[r.Server])
	case "started", "stopping", "stopped", "store call failed", "store recovered", "routing version applied":
		return w.logs[r.Log]
	}
	return false
}
