package front

import (
	"sync"
	"time"
)

// usualWeight is the weight of a new call in the means of its route.
const usualWeight = 0.05

// usual is what calls on a route usually take.
type usual struct {
	// time of an answered attempt.
	time time.Duration
	// bytes of a call and its answer.
	bytes int
}

// usualRoutes holds smoothed times and sizes by route. It is safe for concurrent use.
type usualRoutes struct {
	mu     sync.Mutex
	routes map[string]usual
}

func newUsualRoutes() *usualRoutes { return &usualRoutes{routes: map[string]usual{}} }

// get returns what calls on a route usually take; zero when nothing is known.
func (u *usualRoutes) get(route string) usual {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.routes[route]
}

func (u *usualRoutes) add(route string, took time.Duration, bytes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	mean, known := u.routes[route]
	if !known {
		u.routes[route] = usual{time: took, bytes: bytes}
		return
	}
	mean.time += time.Duration(usualWeight * float64(took-mean.time))
	mean.bytes += int(usualWeight * float64(bytes-mean.bytes))
	u.routes[route] = mean
}
