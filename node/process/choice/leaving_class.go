package choice

import (
	"maps"
	"math"
	"time"
)

// demandTime is the time constant of the moving average of the demand by rank.
const demandTime = 10 * time.Second

// leavingService is the state of the calls of one service. A class is added with the first call of its route and rank.
type leavingService struct {
	demand  rankDemand
	classes map[classKey]*leavingClass
	// leaving holds the places for which calls have been reported to leave, with the time at which their share was last above minLeaving.
	leaving map[string]time.Time
	// checkedAt is the time of the last check of which places are to be reported.
	checkedAt time.Time
}

type classKey struct {
	route string
	rank  uint32
}

func newLeavingService() *leavingService {
	return &leavingService{classes: map[classKey]*leavingClass{}, leaving: map[string]time.Time{}}
}

// clone returns a copy that shares nothing with the service.
func (s *leavingService) clone() *leavingService {
	c := newLeavingService()
	c.checkedAt = s.checkedAt
	c.demand = rankDemand{byRank: maps.Clone(s.demand.byRank), updated: s.demand.updated}
	for key, class := range s.classes {
		c.classes[key] = &leavingClass{shares: maps.Clone(class.shares), calls: class.calls, updated: class.updated}
	}
	maps.Copy(c.leaving, s.leaving)
	return c
}

func (s *leavingService) class(key classKey) *leavingClass {
	c := s.classes[key]
	if c == nil {
		c = &leavingClass{shares: map[string]float64{}}
		s.classes[key] = c
	}
	return c
}

// shares returns the share of the service's calls that leave for each place, which is that of its classes weighted by their calls.
func (s *leavingService) shares(now time.Time) map[string]float64 {
	total, sum := 0.0, map[string]float64{}
	for _, c := range s.classes {
		weight := decayed(c.calls, now.Sub(c.updated), demandTime)
		total += weight
		for place, share := range c.shares {
			sum[place] += weight * decayed(share, now.Sub(c.updated), idleTime)
		}
	}
	for place := range sum {
		sum[place] /= max(total, math.SmallestNonzeroFloat64)
	}
	return sum
}

// rankDemand is the recent demand by rank.
type rankDemand struct {
	byRank  map[uint32]float64
	updated time.Time
}

func (d *rankDemand) add(rank uint32, now time.Time) {
	if d.byRank == nil {
		d.byRank = map[uint32]float64{}
	}
	for r, calls := range d.byRank {
		d.byRank[r] = decayed(calls, now.Sub(d.updated), demandTime)
	}
	d.byRank[rank]++
	d.updated = now
}

// ahead returns the share of the calls whose rank is not below the given one (a lower number is a higher rank). Queues start them first.
func (d *rankDemand) ahead(rank uint32) float64 {
	total, ahead := 0.0, 0.0
	for r, calls := range d.byRank {
		total += calls
		if r <= rank {
			ahead += calls
		}
	}
	return ahead / max(total, 1)
}

// leavingClass holds the shares of the calls with the same service, route and rank that leave for each other place.
type leavingClass struct {
	shares  map[string]float64
	calls   float64
	updated time.Time
}

// update adjusts the shares at a call, by the load reports in view. home is the expected time of the call in its own place.
func (c *leavingClass) update(view *fleetView, call Call, home time.Duration, now time.Time) {
	elapsed := now.Sub(c.updated)
	if c.updated.IsZero() {
		elapsed = 0
	}
	c.calls = decayed(c.calls, elapsed, demandTime) + 1
	c.updated = now
	for place, share := range c.shares {
		c.shares[place] = c.lowered(view, view.place(place), call, home, decayed(share, elapsed, idleTime), elapsed)
		if c.shares[place] < minLeaving/10 {
			delete(c.shares, place)
		}
	}
	c.rise(view, call, home, elapsed)
}

// lowered returns the lowered share of a place. It falls when home has room again, when leaving costs more than it saves, and when the
// place has no room itself.
func (c *leavingClass) lowered(view *fleetView, place *placeView, call Call, home time.Duration, share float64, elapsed time.Duration) float64 {
	switch {
	case place == nil:
		return 0
	case place.refused:
		share *= refusedFactor
	}
	pressure := 0.0
	if place.room == 0 {
		pressure = 1
	}
	if loss := place.cost(call) - home; loss > 0 {
		pressure = max(pressure, float64(loss)/float64(max(view.home.idle, 1)))
	}
	pressure = max(pressure, view.home.freeShare()/fullFreeShare)
	return max(share-step(pressure, elapsed, fallTime), 0)
}

// rise raises the shares while home has no room and a call gains more than startGain in another place, with the price of its bytes.
func (c *leavingClass) rise(view *fleetView, call Call, home time.Duration, elapsed time.Duration) {
	if view.home.room > 0 {
		return
	}
	gain := time.Duration(0)
	for _, p := range view.away {
		if p.gains(call, home) {
			gain = max(gain, home-p.cost(call))
		}
	}
	c.raise(view, step(float64(gain)/float64(max(view.home.idle, 1)), elapsed, riseTime))
}

// raise adds to the shares, in proportion to the room of the other places and up to maxLeaving in total.
func (c *leavingClass) raise(view *fleetView, added float64) {
	total, room := 0.0, 0.0
	for _, share := range c.shares {
		total += share
	}
	for _, p := range view.away {
		room += p.room
	}
	added = min(added, maxLeaving-total)
	if added <= 0 || room == 0 {
		return
	}
	for _, p := range view.away {
		if p.room > 0 {
			c.shares[p.name] += added * p.room / room
		}
	}
}

// step returns the change of a share in the elapsed time. The share changes by 1 in the time full at a pressure of 1; lower pressures
// change it proportionally.
func step(pressure float64, elapsed, full time.Duration) float64 {
	return min(min(max(pressure, 0), 1)*float64(elapsed)/float64(full), maxStep)
}

// draw returns the place for which a call leaves, or nil if it stays. The choice is random in proportion to the shares, so that the entry
// nodes of a place, which see the same reports, do not all send their calls to the same place. A call does not leave for a place that has
// no room or where it would be late while home is in time.
func (c *leavingClass) draw(view *fleetView, call Call, home time.Duration, random float64) *placeView {
	for _, p := range view.away {
		share := c.shares[p.name]
		if random >= share {
			random -= share
			continue
		}
		late := p.least > call.ObjectiveLeft && home <= call.ObjectiveLeft
		if share < minLeaving || p.room == 0 || late {
			return nil
		}
		return p
	}
	return nil
}
