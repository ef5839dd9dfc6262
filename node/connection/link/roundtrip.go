package link

import (
	"sync"
	"time"
)

// roundTripRise is the weight of a measured round trip that is longer than the estimate.
const roundTripRise = 0.05

// roundTrip estimates the round-trip time of a link without the time in queues: it follows shorter times at once and longer ones slowly. It is safe
// for concurrent use.
type roundTrip struct {
	mu       sync.Mutex
	estimate time.Duration
}

// observe adds the time between a ping and its answer.
func (r *roundTrip) observe(took time.Duration) {
	if took <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.estimate == 0 || took < r.estimate {
		r.estimate = took
		return
	}
	r.estimate += time.Duration(roundTripRise * float64(took-r.estimate))
}

// RoundTrip returns the round-trip time to the other node as measured by pings; 0 if none has been answered.
func (s *Session) RoundTrip() time.Duration {
	s.roundTrip.mu.Lock()
	defer s.roundTrip.mu.Unlock()
	return s.roundTrip.estimate
}
