// Package departures remembers the backend servers that have said that they end, so that they are not used again.
package departures

import "time"

const (
	// maxServers bounds the number of servers that are remembered.
	maxServers = 32
	// lateAnnouncementLimit is the longest delay of an announcement. It separates a late announcement from a new start
	// when the start of the server that ends is not known.
	lateAnnouncementLimit = 10 * time.Second
)

// Server is one start of a server.
type Server struct {
	ID string
	// StartedAtMs is the start as Unix time in milliseconds; 0 when unknown.
	StartedAtMs int64
}

// List holds the servers that have said that they end, the most recent last.
type List []departure

type departure struct {
	Server
	at time.Time
}

// Add records that a server ends. Of several starts under the same ID it keeps the latest.
func (l *List) Add(s Server, now time.Time) {
	for i, known := range *l {
		if known.ID == s.ID {
			s.StartedAtMs = max(s.StartedAtMs, known.StartedAtMs)
			*l = append((*l)[:i], (*l)[i+1:]...)
			break
		}
	}
	*l = append(*l, departure{Server: s, at: now})
	if len(*l) > maxServers {
		*l = (*l)[1:]
	}
}

// Includes reports whether a server ends.
func (l List) Includes(s Server, now time.Time) bool {
	for _, known := range l {
		if known.ID != s.ID {
			continue
		}
		if known.StartedAtMs == 0 || s.StartedAtMs == 0 {
			return now.Sub(known.at) < lateAnnouncementLimit
		}
		return s.StartedAtMs <= known.StartedAtMs
	}
	return false
}

// StartOf returns the start of the server with an ID that ends, or 0 if it is unknown.
func (l List) StartOf(id string) int64 {
	for _, known := range l {
		if known.ID == id {
			return known.StartedAtMs
		}
	}
	return 0
}

// IncludesAny reports whether a server with an ID ends, whatever its start.
func (l List) IncludesAny(id string) bool {
	for _, known := range l {
		if known.ID == id {
			return true
		}
	}
	return false
}
