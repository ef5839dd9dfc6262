package choice_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishstand/radishstand/node/process/choice"
)

const (
	worldOneWay    = 3900 * time.Microsecond
	worldSlots     = 9
	worldWork      = 150 * time.Millisecond
	worldObjective = 600 * time.Millisecond
	worldTimeout   = 1200 * time.Millisecond
	worldEntries   = 87
	worldColdRate  = 14
	worldMaxTries  = 4
	lookupBytes    = 600
	fetchBytes     = 90_000
)

var worldEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world simulates entry nodes and servers of one service in three places in virtual time. The servers order calls by rank, redirect and
// refuse them like process/dispatch, and report their load only with answers and refusals.
type world struct {
	now      time.Duration
	events   worldEvents
	sequence int
	random   *rand.Rand
	policy   worldPolicy
	servers  []*worldServer
	entries  []*worldEntry
	// demand returns the calls per second of a place.
	demand func(place int, at time.Duration) float64
	// from is the end of the warm-up, whose calls are not counted.
	from   time.Duration
	result worldResult
	// left holds the calls per second of place 0 that left for each place, and all its calls in the entry with index 3.
	left map[int]*[4]int
}

// worldPolicy picks the candidate for an attempt.
type worldPolicy func(e *worldEntry, candidates []choice.Candidate, call choice.Call) choice.Decision

type worldServer struct {
	place       int
	down        bool
	slow        float64
	coldUntil   time.Duration
	nextCold    time.Duration
	inProgress  int
	queue       []*worldCall
	startQueued bool
}

type worldEntry struct {
	place  int
	leaver *choice.Leaver
	known  []worldReport
}

// worldReport is the last load report of a server, and the number of calls sent since then.
type worldReport struct {
	candidate choice.Candidate
	at        time.Duration
}

type worldCall struct {
	entry     *worldEntry
	rank      uint32
	bytes     int
	route     string
	arrived   time.Duration
	refusedBy []int
	tries     int
	stay      bool
	redirect  time.Duration
	server    int
}

// worldResult holds the outcomes of the callers' calls.
type worldResult struct {
	calls, inTime, failed, valuable, valuableInTime int
	refusedAway                                     int
	bytes                                           int
	times                                           []time.Duration
}

type worldEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type worldEvents []worldEvent

func (e worldEvents) Len() int { return len(e) }
func (e worldEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e worldEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *worldEvents) Push(x any)   { *e = append(*e, x.(worldEvent)) }
func (e *worldEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newWorld returns a world in which place 0 has 1 server, place 1 has 3 and place 2 has 4.
func newWorld(seed uint64, policy worldPolicy) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), policy: policy, left: map[int]*[4]int{}, from: 5 * time.Second}
	for place, count := range []int{1, 3, 4} {
		for range count {
			w.servers = append(w.servers, &worldServer{place: place, slow: 1})
		}
	}
	clock := func() time.Time { return worldEpoch.Add(w.now) }
	for i := range worldEntries {
		e := &worldEntry{place: i % 3, known: make([]worldReport, len(w.servers))}
		e.leaver = choice.NewLeaver(choice.LeaverConfig{Now: clock, Random: w.random.Float64})
		for j, s := range w.servers {
			e.known[j].candidate = choice.Candidate{
				SamePlace: s.place == e.place, Place: string(rune('a' + s.place)), Limit: worldSlots, Slowness: 100,
			}
			if s.place != e.place {
				e.known[j].candidate.RoundTrip = 2 * worldOneWay
			}
		}
		w.entries = append(w.entries, e)
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, worldEvent{w.now + d, w.sequence, run})
}

// run simulates until a time.
func (w *world) run(until time.Duration) *worldResult {
	for place := range 3 {
		w.arrive(place)
	}
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(worldEvent)
		w.now = e.at
		e.run()
	}
	slices.Sort(w.result.times)
	return &w.result
}

// arrive schedules the arrivals at the entry nodes of a place.
func (w *world) arrive(place int) {
	rate := w.demand(place, w.now)
	if rate <= 0 {
		w.after(10*time.Millisecond, func() { w.arrive(place) })
		return
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		c := &worldCall{entry: w.entries[place+3*w.random.IntN(worldEntries/3)], rank: 1, bytes: lookupBytes, route: "lookup", arrived: w.now}
		if w.random.Float64() < 0.23 {
			c.bytes, c.route = fetchBytes, "fetch"
		} else if w.random.Float64() < 0.2 {
			c.rank = 0
		}
		w.try(c)
		w.arrive(place)
	})
}

// try makes an attempt.
func (w *world) try(c *worldCall) {
	var candidates []choice.Candidate
	var servers []int
	for i, s := range w.servers {
		if s.down {
			continue
		}
		k := c.entry.known[i]
		k.candidate.ReportAge = w.now - k.at
		k.candidate.Refused = slices.Contains(c.refusedBy, i)
		candidates, servers = append(candidates, k.candidate), append(servers, i)
	}
	d := w.policy(c.entry, candidates, choice.Call{
		ObjectiveLeft: c.arrived + worldObjective - w.now, RouteTime: worldWork, RouteBytes: c.bytes, Service: "depot", Route: c.route, Rank: c.rank,
	})
	if d.Index < 0 {
		w.end(c, false)
		return
	}
	c.tries++
	c.server, c.stay, c.redirect = servers[d.Index], d.Stay || c.tries >= worldMaxTries, d.Redirect
	c.entry.known[c.server].candidate.SentSinceReport++
	w.after(w.distance(c), func() { w.receive(c) })
}

func (w *world) distance(c *worldCall) time.Duration {
	if w.servers[c.server].place != c.entry.place {
		return worldOneWay
	}
	return 100 * time.Microsecond
}

// receive queues, redirects or refuses a call at its server.
func (w *world) receive(c *worldCall) {
	s := w.servers[c.server]
	ahead := s.inProgress + 1 - worldSlots
	for _, other := range s.queue {
		if other.rank <= c.rank {
			ahead++
		}
	}
	wait := time.Duration(float64(max(ahead, 0)) / worldSlots * float64(s.work(w.now)))
	if w.now < s.coldUntil {
		wait = max(wait, time.Duration(float64(len(s.queue))/worldColdRate*float64(time.Second)))
	}
	late := w.now+wait+s.work(w.now) > c.arrived+worldTimeout
	if s.down || late || !c.stay && wait > c.redirect {
		w.refuse(c, late)
		return
	}
	i := len(s.queue)
	for i > 0 && s.queue[i-1].rank > c.rank {
		i--
	}
	s.queue = slices.Insert(s.queue, i, c)
	w.start(s)
}

// work returns the expected time of work at the server.
func (s *worldServer) work(now time.Duration) time.Duration {
	work := time.Duration(s.slow * float64(worldWork))
	if now < s.coldUntil {
		work *= 2
	}
	return work
}

// start starts waiting calls.
func (w *world) start(s *worldServer) {
	for len(s.queue) > 0 && s.inProgress < worldSlots && !s.startQueued {
		if w.now < s.coldUntil && w.now < s.nextCold {
			s.startQueued = true
			w.after(s.nextCold-w.now, func() { s.startQueued = false; w.start(s) })
			return
		}
		s.nextCold = w.now + time.Second/worldColdRate
		c := s.queue[0]
		s.queue = s.queue[1:]
		if w.now-c.arrived > worldTimeout {
			w.reply(c, func() { w.end(c, false) })
			continue
		}
		s.inProgress++
		work := float64(s.work(w.now)) * (0.5 + 0.5*w.random.ExpFloat64())
		w.after(time.Duration(work), func() {
			s.inProgress--
			w.start(s)
			w.reply(c, func() { w.end(c, true) })
		})
	}
}

// refuse sends a refusal, after which the entry node makes another attempt.
func (w *world) refuse(c *worldCall, late bool) {
	away := w.servers[c.server].place != c.entry.place
	w.reply(c, func() {
		if away && w.now >= w.from {
			w.result.refusedAway++
		}
		c.refusedBy = append(c.refusedBy, c.server)
		if late && c.tries >= worldMaxTries {
			w.end(c, false)
			return
		}
		w.try(c)
	})
}

// reply passes the load report of a server to the entry node, and then runs a function there.
func (w *world) reply(c *worldCall, then func()) {
	s := w.servers[c.server]
	report := c.entry.known[c.server].candidate
	report.InProgress, report.Queued, report.SentSinceReport = s.inProgress, len(s.queue), 0
	report.ServiceTime, report.Slowness = s.work(w.now), int(100*s.slow)
	report.RateLimit, report.RateWait, report.WarmUpLeft = 0, 0, max(s.coldUntil-w.now, 0)
	if w.now < s.coldUntil {
		report.RateLimit = worldColdRate
		report.RateWait = time.Duration(float64(len(s.queue)) / worldColdRate * float64(time.Second))
	}
	server := c.server
	w.after(w.distance(c), func() {
		c.entry.known[server] = worldReport{report, w.now}
		then()
	})
}

// end records the outcome of a call.
func (w *world) end(c *worldCall, answered bool) {
	away := w.servers[c.server].place
	if c.entry.place == 0 {
		second := int(w.now / time.Second)
		if w.left[second] == nil {
			w.left[second] = &[4]int{}
		}
		w.left[second][3]++
		if away != 0 {
			w.left[second][away]++
		}
	}
	if w.now < w.from {
		return
	}
	r := &w.result
	took := w.now - c.arrived
	answered = answered && took <= worldTimeout
	inTime := answered && took <= worldObjective
	r.calls++
	if c.rank == 0 {
		r.valuable++
	}
	if answered {
		r.times = append(r.times, took)
		if away != c.entry.place {
			r.bytes += c.bytes
		}
	} else {
		r.failed++
	}
	if inTime {
		r.inTime++
		if c.rank == 0 {
			r.valuableInTime++
		}
	}
}

// quantile returns a quantile of the times of the answered calls.
func (r *worldResult) quantile(q float64) time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	return r.times[int(q*float64(len(r.times)-1))].Round(time.Millisecond)
}

// inTimeShare is the part of all calls that were answered within the objective.
func (r *worldResult) inTimeShare() float64 { return float64(r.inTime) / float64(max(r.calls, 1)) }

// wave returns a demand that varies by half around a mean, with a phase for each place.
func wave(mean float64) func(int, time.Duration) float64 {
	return func(place int, at time.Duration) float64 {
		return mean * (1 + 0.5*math.Sin(2*math.Pi*(at.Seconds()/20+float64(place)/3)))
	}
}
