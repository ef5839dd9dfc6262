package front

import (
	"sync"
	"time"
)

// timesWeight is the weight of a new time in the mean.
const timesWeight = 0.05

// routeTimes holds the smoothed time of an answered attempt, by route.
type routeTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

func newRouteTimes() *routeTimes { return &routeTimes{means: map[string]time.Duration{}} }

// get returns the usual time of an attempt, or 0 when none is known.
func (t *routeTimes) get(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.means[route]
}

func (t *routeTimes) add(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, known := t.means[route]
	if !known {
		t.means[route] = took
		return
	}
	t.means[route] = mean + time.Duration(timesWeight*float64(took-mean))
}
