package localserver

import "time"

const (
	// maxDepartures bounds the number of servers whose leave is remembered.
	maxDepartures = 32
	// lateAnnouncementLimit is the longest delay of an announcement. It separates a late announcement from a new start
	// when the leave did not contain the start of the server.
	lateAnnouncementLimit = 10 * time.Second
)

// departures holds the servers that have announced their end, the most recent last.
type departures []departure

type departure struct {
	Leave
	at time.Time
}

// add records a leave. Of several leaves under the same ID it keeps that of the latest start.
func (d *departures) add(l Leave, now time.Time) {
	for i, known := range *d {
		if known.ID == l.ID {
			l.StartedAtMs = max(l.StartedAtMs, known.StartedAtMs)
			*d = append((*d)[:i], (*d)[i+1:]...)
			break
		}
	}
	*d = append(*d, departure{Leave: l, at: now})
	if len(*d) > maxDepartures {
		*d = (*d)[1:]
	}
}

// includes reports whether a server with an ID and start has left. A start of 0 is unknown.
func (d departures) includes(id string, startedAtMs int64, now time.Time) bool {
	for _, known := range d {
		if known.ID != id {
			continue
		}
		if known.StartedAtMs == 0 || startedAtMs == 0 {
			return now.Sub(known.at) < lateAnnouncementLimit
		}
		return startedAtMs <= known.StartedAtMs
	}
	return false
}

// includesAny reports whether a server with an ID has left, whatever its start.
func (d departures) includesAny(id string) bool {
	for _, known := range d {
		if known.ID == id {
			return true
		}
	}
	return false
}
