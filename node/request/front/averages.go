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
	// bytes is the size of a call and its answer together, and answerBytes that of the answer.
	bytes       int
	answerBytes int
	// service is the one that answered the route's last call.
	service string
	// download is set for a route with large answers.
	download bool
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
func (a *routeAverages) add(route string, latest routeAverage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, known := a.routes[route]
	if !known {
		a.routes[route] = latest
		return
	}
	mean.time += time.Duration(averageWeight * float64(latest.time-mean.time))
	mean.bytes += int(averageWeight * float64(latest.bytes-mean.bytes))
	mean.answerBytes += int(averageWeight * float64(latest.answerBytes-mean.answerBytes))
	mean.service, mean.download = latest.service, latest.download
	a.routes[route] = mean
}

// largestAnswer returns the largest average answer size among the download routes of a service, or 0 if none of their calls has been
// answered.
func (a *routeAverages) largestAnswer(service string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	largest := 0
	for _, mean := range a.routes {
		if mean.download && mean.service == service {
			largest = max(largest, mean.answerBytes)
		}
	}
	return largest
}
