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
	// maxFullScan is the largest number of servers that are all scored; larger services are sampled.
	maxFullScan = 12
	// localSampleSize and anySampleSize are the numbers of servers of the same place and of any place in a sample.
	localSampleSize, anySampleSize = 4, 4
	// maxSiblingScan and maxSiblingReportAge limit the number and the age of the reports that are searched for a free sibling.
	maxSiblingScan      = 16
	maxSiblingReportAge = 50 * time.Millisecond
	// minHedgeRatio is the minimum ratio of the expected completion times at the current and at the best other server for a
	// call to be hedged. 2.5 gives a shorter tail at 50 % load, but fails 0.3 % of the calls at 85 % load with a heavy tail of
	// service times.
	minHedgeRatio = 4
	// penaltyQuantile is the quantile of the latencies that a failed call is scored with.
	penaltyQuantile = 0.99
	// minPenaltySamples is the number of latencies that are needed to use penaltyQuantile.
	minPenaltySamples = 20
	// defaultFailurePenalty is the latency that a failed call is scored with before there are enough samples.
	defaultFailurePenalty = time.Second
)

// service holds the servers, the settings and the latencies of one service.
type service struct {
	mu                 sync.Mutex
	rand               *rand.Rand
	records            []*record
	local              []*record
	mostRecent         *record // record with the most recent report, head of a doubly linked list
	balance            settings.Balance
	ejection           settings.Ejection
	latencies          recent.Latencies
	typicalServiceTime float64 // moving average of the reported service times of all servers, in ns
}

func newService(seed1, seed2 uint64) *service {
	v := settings.Default()
	return &service{
		rand: rand.New(rand.NewPCG(seed1, seed2)), balance: v.Balance, ejection: v.Ejection,
		typicalServiceTime: float64(defaultServiceTime),
	}
}

// clear removes all records.
func (s *service) clear() {
	for _, r := range s.records {
		r.previous, r.next = nil, nil
	}
	s.records, s.local, s.mostRecent = s.records[:0:0], s.local[:0:0], nil
}

// add appends a record.
func (s *service) add(r *record) {
	s.records = append(s.records, r)
	if !r.remote {
		s.local = append(s.local, r)
	}
	if r.reported {
		s.moveToFront(r)
	}
}

// moveToFront moves a record to the head of the list of records with a report.
func (s *service) moveToFront(r *record) {
	if s.mostRecent == r {
		return
	}
	if r.previous != nil {
		r.previous.next = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, s.mostRecent
	if s.mostRecent != nil {
		s.mostRecent.previous = r
	}
	s.mostRecent = r
}

// freshest returns up to n load reports, most recent first.
func (s *service) freshest(now time.Duration, n int) []Load {
	if n <= 0 || s.mostRecent == nil {
		return nil
	}
	loads := make([]Load, 0, n)
	for r := s.mostRecent; r != nil && len(loads) < n; r = r.next {
		loads = append(loads, r.report(now))
	}
	return loads
}

// sibling returns the server with the lowest score below within among those with the most recent reports, or nil.
func (s *service) sibling(now time.Duration, self string, within time.Duration) *record {
	var best *record
	lowest := float64(within)
	seen := 0
	for r := s.mostRecent; r != nil && seen < maxSiblingScan && now-r.readAt < maxSiblingReportAge; r = r.next {
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

// pick returns the best candidate, an ejected one if there is no other, or nil.
func (s *service) pick(now time.Duration, excluded []string) *record {
	if best := s.best(now, excluded, false); best != nil {
		return best
	}
	return s.best(now, excluded, true)
}

// best returns the best candidate of a sample, or of all servers if the sample contains none. Ejected servers are
// candidates only if ejected is true.
func (s *service) best(now time.Duration, excluded []string, ejected bool) *record {
	c := selection{service: s, now: now, excluded: excluded, ejected: ejected, maxWarmUpProgress: s.maxWarmUpProgress(now)}
	if len(s.records) > maxFullScan {
		c.sample(s.local, localSampleSize)
		c.sample(s.records, anySampleSize)
		if r := c.result(); r != nil {
			return r
		}
	}
	for _, r := range s.records {
		c.consider(r)
	}
	return c.result()
}

// selection is one search for the best candidate.
type selection struct {
	service           *service
	now               time.Duration
	excluded          []string
	ejected           bool
	maxWarmUpProgress float64
	best              scored
	skippedWarmingUp  scored // best candidate that was skipped because of slow start, used if there is no other
}

// scored is a candidate with its score.
type scored struct {
	record *record
	score  float64
}

// offer replaces the candidate if the given one has a lower score.
func (s *scored) offer(r *record, score float64) {
	if s.record == nil || score < s.score {
		s.record, s.score = r, score
	}
}

// result returns the selected record, or nil.
func (c *selection) result() *record {
	if c.best.record != nil {
		return c.best.record
	}
	return c.skippedWarmingUp.record
}

// sample considers n records drawn at random.
func (c *selection) sample(records []*record, n int) {
	if len(records) == 0 {
		return
	}
	for range n {
		c.consider(records[c.service.rand.IntN(len(records))])
	}
}

// consider scores a record and keeps it if it is eligible and the best so far. Slow start skips a new server at random, the
// more often the less it has warmed up.
func (c *selection) consider(r *record) {
	if r.server.Draining || r.load.Draining || slices.Contains(c.excluded, r.server.ID) {
		return
	}
	if !c.ejected && r.ejectedUntil > c.now {
		return
	}
	score := c.service.score(r, c.now)
	if p := r.warmUpProgress(c.now, c.service); p < c.maxWarmUpProgress && c.service.rand.Float64()*c.maxWarmUpProgress > p {
		c.skippedWarmingUp.offer(r, score)
		return
	}
	c.best.offer(r, score)
}

// maxWarmUpProgress returns the warm-up progress of the warmest server. Slow start is relative to it, so that a service
// whose servers are all new receives calls without delay. For sampled services it is 1.
func (s *service) maxWarmUpProgress(now time.Duration) float64 {
	if len(s.records) > maxFullScan {
		return 1
	}
	progress := 0.0
	for _, r := range s.records {
		progress = max(progress, r.warmUpProgress(now, s))
	}
	return progress
}

// failurePenalty returns the latency that a failed call is scored with.
func (s *service) failurePenalty(now time.Duration) time.Duration {
	if d, ok := s.latencies.Quantile(now, penaltyQuantile, minPenaltySamples); ok {
		return d
	}
	return defaultFailurePenalty
}

// finish records the result of an attempt.
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
