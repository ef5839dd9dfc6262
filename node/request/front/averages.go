package front

import (
	"sync"
	"time"
)

// averageWeight is the weight of a new call in the moving averages of its route.
const averageWeight = 0.05

// routeAverage holds the exponential moving averages of the calls on a route.
type routeAverage struct {
	// time is the duration of an answered attempt.
	time time.Duration
	// bytes is the size of a call and its answer together.
	bytes int
}

// routeAverages holds the averages by route. It is safe for concurrent use.
type routeAverages struct {
	mu     sync.Mutex
	routes map[string]routeAverage
}

func newRouteAverages() *routeAverages { return &routeAverages{routes: map[string]routeAverage{}} }

// get returns the averages of a route, or zero values when it has had no answered call.
func (a *routeAverages) get(route string) routeAverage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.routes[route]
}

// add adds an answered attempt to the averages of its route.
func (a *routeAverages) add(route string, took time.Duration, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, known := a.routes[route]
	if !known {
		a.routes[route] = routeAverage{time: took, bytes: bytes}
		return
	}
	mean.time += time.Duration(averageWeight * float64(took-mean.time))
	mean.bytes += int(averageWeight * float64(bytes-mean.bytes))
	a.routes[route] = mean
}
