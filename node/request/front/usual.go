package front

import (
	"sync"
	"time"
)

// usualWeight is the weight of a new call in the means of its route.
const usualWeight = 0.05

// routeAverage is what calls on a route usually take.
type routeAverage struct {
	// time of an answered attempt.
	time time.Duration
	// bytes of a call and its answer.
	bytes int
}

// routeAverages holds smoothed times and sizes by route. It is safe for concurrent use.
type routeAverages struct {
	mu     sync.Mutex
	routes map[string]routeAverage
}

func newRouteAverages() *routeAverages { return &routeAverages{routes: map[string]routeAverage{}} }

// get returns what calls on a route usually take; zero when nothing is known.
func (u *routeAverages) get(route string) routeAverage {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.routes[route]
}

func (u *routeAverages) add(route string, took time.Duration, bytes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	mean, known := u.routes[route]
	if !known {
		u.routes[route] = routeAverage{time: took, bytes: bytes}
		return
	}
	mean.time += time.Duration(usualWeight * float64(took-mean.time))
	mean.bytes += int(usualWeight * float64(bytes-mean.bytes))
	u.routes[route] = mean
}
