package node

import (
	"sync"
	"time"
)

const (
	// defaultRoundTrip is assumed for another place until a round trip to it has been measured.
	defaultRoundTrip = 2 * time.Millisecond
	// roundTripWindow is the length of a window of minRoundTrip. Older round trips are discarded, since network routes
	// change.
	roundTripWindow = 2 * time.Minute
)

// roundTrips holds the shortest recent round trip to each place. The minimum is the best estimate of the network latency,
// since longer round trips include processing and queueing in either process. It is safe for concurrent use.
type roundTrips struct {
	ownPlace string
	now      func() time.Time

	mu     sync.RWMutex
	places map[string]*minRoundTrip
}

// minRoundTrip is a windowed minimum: the shortest round trips of the current and of the previous window.
type minRoundTrip struct {
	windowStart       time.Time
	current, previous time.Duration
}

func newRoundTrips(ownPlace string, now func() time.Time) *roundTrips {
	return &roundTrips{ownPlace: ownPlace, now: now, places: map[string]*minRoundTrip{}}
}

// observe records a round trip to a node of a place.
func (r *roundTrips) observe(place string, roundTrip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	shortest := r.places[place]
	if shortest == nil {
		r.places[place] = &minRoundTrip{windowStart: now, current: roundTrip, previous: roundTrip}
		return
	}
	if now.Sub(shortest.windowStart) >= roundTripWindow {
		shortest.previous, shortest.current, shortest.windowStart = shortest.current, roundTrip, now
		return
	}
	shortest.current = min(shortest.current, roundTrip)
}

// additionalTo returns by how much the network round trip to a place exceeds that within the own place.
func (r *roundTrips) additionalTo(place string) time.Duration {
	if place == r.ownPlace {
		return 0
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	remote := r.places[place]
	if remote == nil {
		return defaultRoundTrip
	}
	roundTrip := min(remote.current, remote.previous)
	if local := r.places[r.ownPlace]; local != nil {
		roundTrip -= min(local.current, local.previous)
	}
	return max(0, roundTrip)
}
