package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/radishstand/radishstand/node/process/admission"
	"github.com/radishstand/radishstand/node/process/balance"
)

// meanServiceTime is the mean service time at full speed.
const meanServiceTime = 10 * time.Millisecond

// phase is a kind of phase of a server's speed: its probability and the range of the factors by which the server is slowed
// down.
type phase struct{ probability, minSlowdown, maxSlowdown float64 }

// scenario describes how the speed of servers changes over time. The lengths of phases are between shortest and longest,
// with a log-uniform distribution.
type scenario struct {
	name              string
	sigma             float64 // sigma of the log-normal service times
	shortest, longest time.Duration
	phases            []phase
	coldStart         coldStart
}

// coldStart describes servers that are replaced and slow at first. With the zero value, no server is replaced.
type coldStart struct {
	interval time.Duration // time between two replacements in the service
	factor   float64       // initial slowdown of a new server; it falls linearly to 1
	span     time.Duration // time after which a new server is warm
	calls    int           // calls after which it is warm, instead of span
}

// Scenarios of interference by noisy neighbours.
var (
	// stalls runs mostly at full speed, often somewhat slower, and stops almost completely at times.
	stalls = scenario{"stalls", 0.5, 3 * time.Millisecond, 100 * time.Millisecond,
		[]phase{{0.60, 1, 1}, {0.25, 1.2, 3}, {0.10, 3, 10}, {0.04, 50, 50}, {0.01, 1000, 1000}}, coldStart{}}
	// mild has no stalls, so that the tail latency depends on the choice of servers rather than on calls in a stalled server.
	mild = scenario{"mild", 0.5, 3 * time.Millisecond, 100 * time.Millisecond,
		[]phase{{0.55, 1, 1}, {0.30, 1.2, 3}, {0.15, 3, 6}}, coldStart{}}
	// heavy has a heavier tail of service times.
	heavy = scenario{"heavy", 1.2, 3 * time.Millisecond, 100 * time.Millisecond,
		[]phase{{0.60, 1, 1}, {0.25, 1.2, 3}, {0.10, 3, 10}, {0.04, 50, 50}, {0.01, 1000, 1000}}, coldStart{}}
	// coldTime and coldCalls replace a server every 12 s. The new server is slow until it has run for 2 s (coldTime) or served
	// 500 calls (coldCalls).
	coldTime  = scenario{"coldTime", stalls.sigma, stalls.shortest, stalls.longest, stalls.phases, coldStart{interval: 12 * time.Second, factor: 10, span: 2 * time.Second}}
	coldCalls = scenario{"coldCalls", stalls.sigma, stalls.shortest, stalls.longest, stalls.phases, coldStart{interval: 12 * time.Second, factor: 10, calls: 500}}
	// lasting has longer phases.
	lasting = scenario{"lasting", 0.5, 30 * time.Millisecond, 1000 * time.Millisecond,
		[]phase{{0.70, 1, 1}, {0.20, 1.2, 3}, {0.09, 3, 10}, {0.01, 50, 50}}, coldStart{}}
)

// meanSpeed returns the mean of the speed over time.
func (s scenario) meanSpeed() float64 {
	sum := 0.0
	for _, p := range s.phases {
		if p.maxSlowdown == p.minSlowdown {
			sum += p.probability / p.minSlowdown
			continue
		}
		sum += p.probability * math.Log(p.maxSlowdown/p.minSlowdown) / (p.maxSlowdown - p.minSlowdown)
	}
	return sum
}

// meanRemainingPhase returns the mean remaining time of a phase at a random time: E[d^2] / 2 E[d].
func (s scenario) meanRemainingPhase() time.Duration { return (s.shortest + s.longest) / 4 }

// server is a simulated backend server and the admission queue of its node.
type server struct {
	engine        *engine
	scenario      scenario
	rand          *rand.Rand
	index         int
	place         int
	slots         int
	cores         int // calls that run concurrently at full speed; more calls share the speed
	admission     *admission.Admission
	reportLimiter *balance.ReportLimiter

	speed      float64
	progress   float64 // progress of each call in progress since the start, in ns at full speed
	updatedAt  time.Duration
	running    running
	generation int
	sweeping   bool
	incoming   int // calls in transit to the server; used by the oracle
	replaced   bool
	replacedAt time.Duration
	served     int // calls since the server was replaced
}

// job is a call in progress.
type job struct {
	finishAt float64 // progress of the server at which the call is complete
	index    int
	done     func()
}

type running []*job

func (r running) Len() int           { return len(r) }
func (r running) Less(i, j int) bool { return r[i].finishAt < r[j].finishAt }
func (r running) Swap(i, j int)      { r[i], r[j] = r[j], r[i]; r[i].index, r[j].index = i, j }
func (r *running) Push(x any)        { j := x.(*job); j.index = len(*r); *r = append(*r, j) }
func (r *running) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	last.index = -1
	return last
}

// rate returns the progress of each call in progress per unit of time.
func (s *server) rate() float64 {
	if n := len(s.running); n > s.cores {
		return s.speed * float64(s.cores) / float64(n)
	}
	return s.speed
}

// updateProgress advances the progress to the current time. It must be called before the state changes.
func (s *server) updateProgress() {
	s.progress += float64(s.engine.now-s.updatedAt) * s.rate()
	s.updatedAt = s.engine.now
}

// schedule schedules the next completion. It must be called after the state has changed.
func (s *server) schedule() {
	s.generation++
	if len(s.running) == 0 {
		return
	}
	generation := s.generation
	left := max(s.running[0].finishAt-s.progress, 0) / s.rate()
	s.engine.after(time.Duration(math.Ceil(left)), func() {
		if generation == s.generation {
			s.complete()
		}
	})
}

// complete ends the calls that are complete.
func (s *server) complete() {
	s.updateProgress()
	var done []func()
	for len(s.running) > 0 && s.running[0].finishAt <= s.progress+1 {
		done = append(done, heap.Pop(&s.running).(*job).done)
	}
	s.schedule()
	s.served += len(done)
	for _, f := range done {
		f()
	}
}

// begin starts a call with the given service time at full speed.
func (s *server) begin(demand time.Duration, done func()) *job {
	s.updateProgress()
	j := &job{finishAt: s.progress + float64(demand), done: done}
	heap.Push(&s.running, j)
	s.schedule()
	return j
}

// abort cancels a call and reports whether it was in progress.
func (s *server) abort(j *job) bool {
	if j.index < 0 {
		return false
	}
	s.updateProgress()
	heap.Remove(&s.running, j.index)
	s.schedule()
	return true
}

// nextPhase draws the speed and the length of the next phase.
func (s *server) nextPhase() {
	s.updateProgress()
	s.speed = 1
	defer func() { s.speed /= s.coldStartFactor() }()
	draw := s.rand.Float64()
	for _, p := range s.scenario.phases {
		if draw -= p.probability; draw < 0 {
			s.speed = 1 / (p.minSlowdown + s.rand.Float64()*(p.maxSlowdown-p.minSlowdown))
			break
		}
	}
	s.schedule()
	shortest, longest := float64(s.scenario.shortest), float64(s.scenario.longest)
	span := shortest * math.Pow(longest/shortest, s.rand.Float64())
	s.engine.after(time.Duration(span), s.nextPhase)
}

// coldStartFactor returns the factor by which the server is slowed down because it is new.
func (s *server) coldStartFactor() float64 {
	c := s.scenario.coldStart
	if !s.replaced {
		return 1
	}
	warm := float64(s.engine.now-s.replacedAt) / float64(max(c.span, 1))
	if c.calls > 0 {
		warm = float64(s.served) / float64(c.calls)
	}
	return 1 + (c.factor-1)*(1-min(warm, 1))
}

// replace replaces the server with a new, cold one.
func (s *server) replace() {
	s.replaced, s.replacedAt, s.served = true, s.engine.now, 0
}

// scheduleSweep sweeps the queue periodically while calls are waiting. In a node, the goroutines of the waiting calls do
// this.
func (s *server) scheduleSweep() {
	if s.sweeping {
		return
	}
	s.sweeping = true
	s.engine.after(sweepInterval, func() {
		s.sweeping = false
		s.admission.Sweep()
		if s.admission.Load(s.engine.clock()).Queued > 0 {
			s.scheduleSweep()
		}
	})
}
