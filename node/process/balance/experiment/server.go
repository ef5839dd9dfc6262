package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/radishstand/radishstand/node/process/admission"
	"github.com/radishstand/radishstand/node/process/balance"
)

// serviceMean is the mean service time at full speed.
const serviceMean = 10 * time.Millisecond

// phase is a kind of phase of a server's speed: its probability and the range of factors by which the server is slowed.
type phase struct{ probability, least, most float64 }

// scenario describes how the speed of servers shifts. Phases last between shortest and longest, evenly on a logarithmic
// scale.
type scenario struct {
	name              string
	sigma             float64 // of the log-normal service times
	shortest, longest time.Duration
	phases            []phase
	cold              cold
}

// cold describes servers that are replaced and slow at first. The zero value replaces none.
type cold struct {
	every  time.Duration // time between two replacements in the service
	factor float64       // by which a new server is slowed; falls evenly to 1
	span   time.Duration // time after which a new server is warm
	calls  int           // calls after which it is warm, instead of span
}

// Scenarios of noisy neighbours.
var (
	// stalls has mostly full speed, often somewhat less, and at times almost a stop.
	stalls = scenario{"stalls", 0.5, 3 * time.Millisecond, 100 * time.Millisecond,
		[]phase{{0.60, 1, 1}, {0.25, 1.2, 3}, {0.10, 3, 10}, {0.04, 50, 50}, {0.01, 1000, 1000}}, cold{}}
	// mild has no stops, so that the tail is made by the choice rather than by calls that are caught in a stop.
	mild = scenario{"mild", 0.5, 3 * time.Millisecond, 100 * time.Millisecond,
		[]phase{{0.55, 1, 1}, {0.30, 1.2, 3}, {0.15, 3, 6}}, cold{}}
	// heavy has a heavier tail of service times.
	heavy = scenario{"heavy", 1.2, 3 * time.Millisecond, 100 * time.Millisecond,
		[]phase{{0.60, 1, 1}, {0.25, 1.2, 3}, {0.10, 3, 10}, {0.04, 50, 50}, {0.01, 1000, 1000}}, cold{}}
	// coldTime and coldCalls replace a server every 12 s. It is slow until it has run for 2 s, or has served 500 calls.
	coldTime  = scenario{"coldTime", stalls.sigma, stalls.shortest, stalls.longest, stalls.phases, cold{every: 12 * time.Second, factor: 10, span: 2 * time.Second}}
	coldCalls = scenario{"coldCalls", stalls.sigma, stalls.shortest, stalls.longest, stalls.phases, cold{every: 12 * time.Second, factor: 10, calls: 500}}
	// lasting has longer phases.
	lasting = scenario{"lasting", 0.5, 30 * time.Millisecond, 1000 * time.Millisecond,
		[]phase{{0.70, 1, 1}, {0.20, 1.2, 3}, {0.09, 3, 10}, {0.01, 50, 50}}, cold{}}
)

// meanSpeed returns the mean of the speed over time.
func (s scenario) meanSpeed() float64 {
	sum := 0.0
	for _, p := range s.phases {
		if p.most == p.least {
			sum += p.probability / p.least
			continue
		}
		sum += p.probability * math.Log(p.most/p.least) / (p.most - p.least)
	}
	return sum
}

// rest returns the mean time that is left of a phase at a random moment: E[d^2] / 2 E[d].
func (s scenario) rest() time.Duration { return (s.shortest + s.longest) / 4 }

// server is a fake backend server together with the admission queue of its node.
type server struct {
	engine    *engine
	scenario  scenario
	rand      *rand.Rand
	index     int
	place     int
	slots     int
	cores     int // calls that run at full speed at once; more share the speed
	admission *admission.Admission
	pace      *balance.ReportLimiter

	speed      float64
	work       float64 // progress of each call in progress since the start, in ns at full speed
	at         time.Duration
	running    running
	generation int
	sweeping   bool
	incoming   int // calls on their way, for the oracle
	replaced   bool
	bornAt     time.Duration
	served     int // calls since the server was replaced
}

// job is a call in progress.
type job struct {
	finishAt float64 // work at which it is complete
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

// rate returns the progress of each call in progress per time.
func (s *server) rate() float64 {
	if n := len(s.running); n > s.cores {
		return s.speed * float64(s.cores) / float64(n)
	}
	return s.speed
}

// settle brings the progress up to now; call it before anything changes.
func (s *server) settle() {
	s.work += float64(s.engine.now-s.at) * s.rate()
	s.at = s.engine.now
}

// schedule plans the next completion; call it after anything changed.
func (s *server) schedule() {
	s.generation++
	if len(s.running) == 0 {
		return
	}
	generation := s.generation
	left := max(s.running[0].finishAt-s.work, 0) / s.rate()
	s.engine.after(time.Duration(math.Ceil(left)), func() {
		if generation == s.generation {
			s.complete()
		}
	})
}

// complete ends the calls whose work is done.
func (s *server) complete() {
	s.settle()
	var done []func()
	for len(s.running) > 0 && s.running[0].finishAt <= s.work+1 {
		done = append(done, heap.Pop(&s.running).(*job).done)
	}
	s.schedule()
	s.served += len(done)
	for _, f := range done {
		f()
	}
}

// begin starts a call that needs the given time at full speed.
func (s *server) begin(demand time.Duration, done func()) *job {
	s.settle()
	j := &job{finishAt: s.work + float64(demand), done: done}
	heap.Push(&s.running, j)
	s.schedule()
	return j
}

// abort gives up a call in progress and reports whether it was in progress.
func (s *server) abort(j *job) bool {
	if j.index < 0 {
		return false
	}
	s.settle()
	heap.Remove(&s.running, j.index)
	s.schedule()
	return true
}

// shift draws the speed of the next phase.
func (s *server) shift() {
	s.settle()
	s.speed = 1
	defer func() { s.speed /= s.coldness() }()
	draw := s.rand.Float64()
	for _, p := range s.scenario.phases {
		if draw -= p.probability; draw < 0 {
			s.speed = 1 / (p.least + s.rand.Float64()*(p.most-p.least))
			break
		}
	}
	s.schedule()
	shortest, longest := float64(s.scenario.shortest), float64(s.scenario.longest)
	span := shortest * math.Pow(longest/shortest, s.rand.Float64())
	s.engine.after(time.Duration(span), s.shift)
}

// coldness is the factor by which the server is slowed because it is new.
func (s *server) coldness() float64 {
	c := s.scenario.cold
	if !s.replaced {
		return 1
	}
	warm := float64(s.engine.now-s.bornAt) / float64(max(c.span, 1))
	if c.calls > 0 {
		warm = float64(s.served) / float64(c.calls)
	}
	return 1 + (c.factor-1)*(1-min(warm, 1))
}

// replace starts a new life of the server.
func (s *server) replace() {
	s.replaced, s.bornAt, s.served = true, s.engine.now, 0
}

// sweep does for waiting calls what their goroutines do in a node.
func (s *server) sweep() {
	if s.sweeping {
		return
	}
	s.sweeping = true
	s.engine.after(sweepEvery, func() {
		s.sweeping = false
		s.admission.Sweep()
		if s.admission.Load(s.engine.clock()).Queued > 0 {
			s.sweep()
		}
	})
}
