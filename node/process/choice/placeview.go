package choice

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slowServerFactor is the multiple of the least service time from which a server counts as slow. The averages of
	// equal servers differ by less, also when other load on their hosts disturbs them.
	slowServerFactor = 1.5
	// roomLevel is the part of a server's limit up to which other places use it. The rest is for the callers of its own place.
	roomLevel = 0.85
	// lateMark is the part of the time to the objective above which the expected time at home counts as late. Late calls whose bytes cost
	// little also use the part of the limits above roomLevel, since a free slot there is not needed now.
	lateMark = 0.8
	// fullFreeShare is the free part of the limits at home from which the shares fall at the full rate.
	fullFreeShare = 0.25
	// maxPrice is the upper bound of the price of the bytes of a call, as a part of the time to its objective. The rest is for its work,
	// which may take longer than usual.
	maxPrice = 0.3
	// reportLife is the time constant with which the reported load decays with the age of the report, so that a server that gets no calls
	// because of it is tried again.
	reportLife = 4 * time.Second
)

// fleetView groups the candidates of a call by place.
type fleetView struct {
	candidates []Candidate
	// home is the view of the caller's place; nil if no server there takes the call now.
	home *placeView
	// away holds the other places with a usable server, by name.
	away []*placeView
	// refusedHome is the index of a server of the caller's place that has refused the call; -1 if there is none.
	refusedHome int
	// refusals is the number of servers in other places that have refused the call.
	refusals int
}

// placeView summarizes the candidates of a call in one place.
type placeView struct {
	name string
	// best is the index of the candidate with the least expected time. usable holds the indexes of all that respond and have not refused
	// the call.
	best   int
	usable []int
	// least is the expected time at best, and idle that without other calls there.
	least time.Duration
	idle  time.Duration
	// room is the number of further calls of other places that the usable servers can start at once; rooms holds the number of each server.
	room  float64
	rooms []float64
	// limits is the sum of the limits of the usable servers.
	limits int
	// refused is set when a server of the place has refused the call.
	refused bool
}

// homeName is the key of the caller's place among the places of a fleetView. Servers whose place is unknown are counted in it.
const homeName = ""

func newFleetView(candidates []Candidate, call Call) *fleetView {
	v := &fleetView{candidates: candidates, refusedHome: -1}
	places := v.viewPlaces(call)
	for name, p := range places {
		switch {
		case len(p.usable) == 0:
		case name == homeName:
			v.home = p
		default:
			v.away = append(v.away, p)
		}
	}
	slices.SortFunc(v.away, func(a, b *placeView) int { return cmp.Compare(a.name, b.name) })
	return v
}

// viewPlaces returns the views of the places by name, and records the refusals of the call.
func (v *fleetView) viewPlaces(call Call) map[string]*placeView {
	candidates := v.candidates
	call.Transfer.slowest = slowestLink(candidates)
	places := map[string]*placeView{}
	leastFailures, leastService := minFailures(candidates), minService(candidates)
	level := roomLevelOf(candidates, call)
	for i := range candidates {
		c := &candidates[i]
		if c.Suspect {
			continue
		}
		name := c.Place
		if c.SamePlace {
			name = homeName
		}
		p := places[name]
		if p == nil {
			p = &placeView{name: name, best: -1}
			places[name] = p
		}
		switch {
		case c.Refused && c.SamePlace:
			v.refusedHome = i
		case c.Refused:
			p.refused = true
			v.refusals++
		default:
			aged := c.aged()
			p.add(i, &aged, call, c.Failures-leastFailures, c.slower(leastService), level)
		}
	}
	return places
}

// aged returns the candidate with its reported load reduced by the age of the report.
func (c *Candidate) aged() Candidate {
	aged := *c
	left := math.Exp(-float64(max(c.ReportAge, 0)) / float64(reportLife))
	aged.InProgress = int(math.Round(float64(c.InProgress) * left))
	aged.Queued = int(math.Round(float64(c.Queued) * left))
	return aged
}

// add adds a candidate to the view of its place.
func (p *placeView) add(i int, c *Candidate, call Call, failures float64, slower time.Duration, level float64) {
	expected := c.slowerTerms(call, failures, slower).Total()
	p.usable = append(p.usable, i)
	room := 0.0
	if slower == 0 {
		room = c.freeForOthers(level)
	}
	p.rooms = append(p.rooms, room)
	p.room += room
	p.limits += max(c.Limit, 1)
	if p.best >= 0 && p.least <= expected {
		return
	}
	idle := *c
	idle.InProgress, idle.Queued, idle.SentSinceReport = 0, 0, 0
	idle.EgressBytes, idle.BytesSinceReport = 0, 0
	p.best, p.least, p.idle = i, expected, idle.expected(call, failures)+slower
}

// minService returns the least known average time of a call at a candidate; 0 if none is known.
func minService(candidates []Candidate) time.Duration {
	least := time.Duration(0)
	for i := range candidates {
		if s := candidates[i].ServiceTime; s > 0 && (least == 0 || s < least) {
			least = s
		}
	}
	return least
}

// slower returns the time by which calls take longer at a slow server than at the fastest one, whose time is least; 0 if it is not slow.
func (c *Candidate) slower(least time.Duration) time.Duration {
	if c.WarmUpLeft > 0 || float64(c.ServiceTime) < slowServerFactor*float64(least) {
		return 0
	}
	return c.ServiceTime - least
}

// roomLevelOf returns the part of a server's limit up to which a call uses it in another place.
func roomLevelOf(candidates []Candidate, call Call) float64 {
	if call.leavingPrice() < call.TransferPenalty() {
		return roomLevel
	}
	for i := range candidates {
		c := &candidates[i]
		if !c.SamePlace || c.Suspect {
			continue
		}
		aged := c.aged()
		if float64(aged.expected(call, 0)) <= lateMark*float64(call.ObjectiveLeft) {
			return roomLevel
		}
	}
	return 1
}

// freeForOthers returns the number of calls that the server can start at once within the given part of its limit.
func (c *Candidate) freeForOthers(level float64) float64 {
	if c.rateWait() > 0 || c.WarmUpLeft > 0 || c.slowDelay() > float64(c.service())/2 {
		return 0
	}
	return max(level*float64(c.Limit)-float64(c.InProgress+c.Queued+c.SentSinceReport), 0)
}

// expected returns the expected time of a call at the place if the given share of the demand is started before it.
func (p *placeView) expected(ahead float64) time.Duration {
	return p.idle + time.Duration(float64(p.least-p.idle)*ahead)
}

// freeShare returns the part of the servers' limits that is free for other places.
func (p *placeView) freeShare() float64 { return p.room / float64(max(p.limits, 1)) }

// cost returns the expected time of a call that leaves for the place, with the price of its bytes.
func (p *placeView) cost(call Call) time.Duration { return p.least + call.leavingPrice() }

// leavingPrice is the transfer penalty of a call. It is bounded, so that calls of any size leave rather than miss their objective.
func (c Call) leavingPrice() time.Duration {
	return min(c.TransferPenalty(), max(time.Duration(maxPrice*float64(c.ObjectiveLeft)), 0))
}

// gains reports whether a call gains enough by leaving for the place, which must have room.
func (p *placeView) gains(call Call, home time.Duration) bool {
	return p.room > 0 && p.cost(call)+startGain < home
}

// draw draws two usable servers in proportion to their room and returns the one with more room. Nodes with the same load reports thus
// choose different servers.
func (p *placeView) draw(random func() float64) int {
	first, second := drawIndex(p.rooms, random()), drawIndex(p.rooms, random())
	if p.rooms[second] > p.rooms[first] {
		first = second
	}
	return p.usable[first]
}

// drawIndex returns an index drawn in proportion to the weights, whose sum is positive.
func drawIndex(weights []float64, random float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	left := random * total
	for i, w := range weights {
		if left -= w; left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// place returns the view of another place, or nil.
func (v *fleetView) place(name string) *placeView {
	for _, p := range v.away {
		if p.name == name {
			return p
		}
	}
	return nil
}

// cheapest returns the other place with room at which the cost of a call is lowest, or nil.
func (v *fleetView) cheapest(call Call) *placeView {
	var least *placeView
	for _, p := range v.away {
		if p.room > 0 && (least == nil || p.cost(call) < least.cost(call)) {
			least = p
		}
	}
	return least
}

// drawRoom returns another place drawn in proportion to the room, or nil if none has room.
func (v *fleetView) drawRoom(random float64) *placeView {
	weights, total := make([]float64, 0, len(v.away)), 0.0
	for _, p := range v.away {
		weights = append(weights, p.room)
		total += p.room
	}
	if total == 0 {
		return nil
	}
	return v.away[drawIndex(weights, random)]
}

// any returns a candidate when no other place has room: the best server of a place drawn at random or, if no server is usable, the best of
// those that do not respond or have refused the call.
func (v *fleetView) any(random func() float64) int {
	var best []int
	for _, p := range v.away {
		best = append(best, p.best)
	}
	if len(best) > 0 {
		return best[int(random()*float64(len(best)))]
	}
	least := -1
	for i := range v.candidates {
		if least < 0 || v.candidates[i].better(0, &v.candidates[least], 0) {
			least = i
		}
	}
	return least
}
