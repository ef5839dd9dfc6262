package node

import (
	"sync"
	"time"
)

const (
	// unknownDistance is assumed for another place until a round trip to it was measured.
	unknownDistance = 2 * time.Millisecond
	// distanceWindow is the time after which a shorter round trip no longer counts, since routes change.
	distanceWindow = 2 * time.Minute
)

// distances holds the shortest recent round trip to each place. The shortest one is nearest to what the network adds: the
// others include work and waiting of either process. It is safe for concurrent use.
type distances struct {
	own string
	now func() time.Time

	mu     sync.RWMutex
	places map[string]*distance
}

// distance is the shortest round trip of the present and of the previous window.
type distance struct {
	started           time.Time
	current, previous time.Duration
}

func newDistances(own string, now func() time.Time) *distances {
	return &distances{own: own, now: now, places: map[string]*distance{}}
}

// observe takes in a round trip to a node of a place.
func (d *distances) observe(place string, roundTrip time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	known := d.places[place]
	if known == nil {
		d.places[place] = &distance{started: now, current: roundTrip, previous: roundTrip}
		return
	}
	if now.Sub(known.started) >= distanceWindow {
		known.previous, known.current, known.started = known.current, roundTrip, now
		return
	}
	known.current = min(known.current, roundTrip)
}

// to returns what the network adds to a call to a place, there and back, beyond a call within the own place.
func (d *distances) to(place string) time.Duration {
	if place == d.own {
		return 0
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	far := d.places[place]
	if far == nil {
		return unknownDistance
	}
	shortest := min(far.current, far.previous)
	if near := d.places[d.own]; near != nil {
		shortest -= min(near.current, near.previous)
	}
	return max(0, shortest)
}
