package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/process/recent"
)

const (
	// scanUpTo is the number of servers up to which all are scored; larger services are sampled.
	scanUpTo = 12
	// sampleLocal and sampleAny are the numbers of servers of the same place and of any place in a sample.
	sampleLocal, sampleAny = 4, 4
	// siblingScan and siblingAge bound the reports among which a free sibling is sought.
	siblingScan = 16
	siblingAge  = 50 * time.Millisecond
	// hedgeGain is how much longer a call must be expected to take at its server than elsewhere to be hedged. 2.5 gives a
	// shorter tail at half load, but at 85 % load with a heavy tail of service times it failed 0.3 % of the calls.
	hedgeGain = 4
	// slowQuantile is the percentile that stands for a failed call.
	slowQuantile = 0.99
	// slowSamples is the number of latencies from which slowQuantile is trusted.
	slowSamples = 20
	// slowDefault stands for a failed call before there are enough samples.
	slowDefault = time.Second
)

// service is the state of one service.
type service struct {
	mu        sync.Mutex
	rand      *rand.Rand
	records   []*record
	local     []*record
	fresh     *record // most recently reported, head of a doubly linked list
	balance   settings.Balance
	ejection  settings.Ejection
	latencies recent.Latencies
	typical   float64 // service time of all servers, in ns
}

func newService(seed1, seed2 uint64) *service {
	v := settings.Default()
	return &service{rand: rand.New(rand.NewPCG(seed1, seed2)), balance: v.Balance, ejection: v.Ejection, typical: float64(serviceDefault)}
}

// clear removes all records.
func (s *service) clear() {
	for _, r := range s.records {
		r.previous, r.next = nil, nil
	}
	s.records, s.local, s.fresh = s.records[:0:0], s.local[:0:0], nil
}

// add appends a record.
func (s *service) add(r *record, local bool) {
	s.records = append(s.records, r)
	if local {
		s.local = append(s.local, r)
	}
	if r.reported {
		s.touch(r)
	}
}

// touch moves a record to the head of the list of reported ones.
func (s *service) touch(r *record) {
	if s.fresh == r {
		return
	}
	if r.previous != nil {
		r.previous.next = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, s.fresh
	if s.fresh != nil {
		s.fresh.previous = r
	}
	s.fresh = r
}

// freshest returns the load reports at the head of the list.
func (s *service) freshest(now time.Duration, n int) []Load {
	if n <= 0 || s.fresh == nil {
		return nil
	}
	loads := make([]Load, 0, n)
	for r := s.fresh; r != nil && len(loads) < n; r = r.next {
		loads = append(loads, r.report(now))
	}
	return loads
}

// sibling returns the server with the best score among the most recently reported ones, or nil if none is good enough.
func (s *service) sibling(now time.Duration, self string, within time.Duration) *record {
	var best *record
	lowest := float64(within)
	seen := 0
	for r := s.fresh; r != nil && seen < siblingScan && now-r.readAt < siblingAge; r = r.next {
		seen++
		if r.server.ID == self || r.server.Draining || r.load.Draining || r.ejectedUntil > now || r.refusedUntil > now {
			continue
		}
		if score := s.score(r, now); score < lowest {
			best, lowest = r, score
		}
	}
	return best
}

// pick returns the best candidate, or nil.
func (s *service) pick(now time.Duration, excluded []string) *record {
	if best := s.best(now, excluded, false); best != nil {
		return best
	}
	return s.best(now, excluded, true)
}

// best returns the best candidate of a sample, and of all servers when the sample holds none.
func (s *service) best(now time.Duration, excluded []string, ejected bool) *record {
	c := choice{service: s, now: now, excluded: excluded, ejected: ejected, warmest: s.warmest(now)}
	if len(s.records) > scanUpTo {
		c.sample(s.local, sampleLocal)
		c.sample(s.records, sampleAny)
		if c.best != nil {
			return c.best
		}
	}
	for _, r := range s.records {
		c.consider(r)
	}
	if c.best == nil {
		return c.cold
	}
	return c.best
}

// choice is one pass over candidates.
type choice struct {
	service  *service
	now      time.Duration
	excluded []string
	ejected  bool
	warmest  float64
	best     *record
	score    float64
	cold     *record // a candidate that slow start left out, for want of a better one
}

// sample considers n records drawn at random.
func (c *choice) sample(records []*record, n int) {
	if len(records) == 0 {
		return
	}
	for range n {
		c.consider(records[c.service.rand.IntN(len(records))])
	}
}

// consider scores a record and keeps it if it is the best so far.
func (c *choice) consider(r *record) {
	if r.server.Draining || r.load.Draining || slices.Contains(c.excluded, r.server.ID) {
		return
	}
	if !c.ejected && r.ejectedUntil > c.now {
		return
	}
	if warmth := r.warmth(c.now, c.service); warmth < c.warmest && c.service.rand.Float64()*c.warmest > warmth {
		c.cold = r
		return
	}
	if score := c.service.score(r, c.now); c.best == nil || score < c.score {
		c.best, c.score = r, score
	}
}

// warmest returns the warmth of the server that was seen first. Slow start is relative to it, so that a service whose
// servers are all new takes calls at once.
func (s *service) warmest(now time.Duration) float64 {
	if len(s.records) > scanUpTo {
		return 1
	}
	w := 0.0
	for _, r := range s.records {
		w = max(w, r.warmth(now, s))
	}
	return w
}

// slow returns the latency that stands for a failed call.
func (s *service) slow(now time.Duration) time.Duration {
	if d, ok := s.latencies.Quantile(now, slowQuantile, slowSamples); ok {
		return d
	}
	return slowDefault
}

// finish takes in the end of an attempt.
func (s *service) finish(r *record, now time.Duration, result Result) {
	r.finish(now, result.Kind)
	switch result.Kind {
	case OK:
		s.latencies.Record(now, result.Latency)
		r.succeeded(now)
	case Error, Timeout:
		r.failed()
		s.eject(r, now)
	case Refused:
		r.refused(now)
	}
}
