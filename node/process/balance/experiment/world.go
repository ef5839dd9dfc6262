package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/process/admission"
	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/request/retry"
)

const (
	serviceName = "service"
	places      = 3
	// withinPlace is the one-way latency between two nodes of the same place.
	withinPlace = 100 * time.Microsecond
	// sweepInterval is the interval at which queued calls are checked again for a free sibling.
	sweepInterval = 5 * time.Millisecond
	// callTimeout is the time from the start of a call to its deadline.
	callTimeout = 2 * time.Second
	// idempotentShare is the share of calls that are idempotent and so may be hedged.
	idempotentShare = 0.8
	// reportBytes is the size of an encoded load report in bytes.
	reportBytes = 21
)

// deployment describes the servers, entry nodes and network of one service.
type deployment struct {
	name     string
	servers  int
	slots    int
	entries  int
	between  time.Duration // one-way latency between places
	cores    int           // calls that run concurrently at full speed; zero for as many as slots
	scenario scenario
}

// Deployments of the two users (coop and yatai), a service of the average size in a large fleet, and a large service.
var (
	coop = deployment{name: "coop", servers: 5, slots: 17, entries: 14, between: time.Millisecond, scenario: stalls}
	// large has so many servers that an entry node receives a report of each server only about every 130 ms.
	large = deployment{name: "large", servers: 100, slots: 17, entries: 140, between: time.Millisecond, scenario: stalls}
	// medium has the average of 18.6 servers, rounded up, and callers at many nodes.
	medium = deployment{name: "medium", servers: 19, slots: 17, entries: 140, between: time.Millisecond, scenario: stalls}
	yatai  = deployment{name: "yatai", servers: 4, slots: 9, entries: 13, between: 1500 * time.Microsecond, scenario: stalls}
)

// world is the state of one simulation run.
type world struct {
	engine
	deployment deployment
	seed       uint64
	rand       *rand.Rand
	servers    []*server
	entries    []int // place of each entry node; the first ones are the nodes of the servers
	policy     policy
	options    options
	values     settings.Values
	retriers   []*retry.Retrier
	result     result
	measuring  bool
}

// result holds the measurements of a run.
type result struct {
	latencies []time.Duration // of answered calls
	calls     int
	refused   int
	late      int // no answer by the deadline
	attempts  int
	hedges    int
	redirects int
	bytes     int
	seconds   float64
}

func placeName(i int) string { return string(rune('a' + i)) }

// newWorld creates the servers and entry nodes. The caller sets the policy.
func newWorld(d deployment, seed uint64, o options, values settings.Values) *world {
	w := &world{deployment: d, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), options: o, values: values}
	for i := range d.entries {
		w.entries = append(w.entries, i%places)
		r := retry.New(retry.Config{Now: w.clock})
		r.Configure(serviceName, &values)
		w.retriers = append(w.retriers, r)
	}
	for i := range d.servers {
		s := &server{engine: &w.engine, scenario: d.scenario, rand: rand.New(rand.NewPCG(seed, uint64(100+i))), index: i, place: i % places, slots: d.slots, cores: d.cores}
		if s.cores == 0 {
			s.cores = s.slots
		}
		s.admission = admission.New(admission.Config{
			Slots: d.slots, Now: w.clock, Values: func() settings.Admission { return w.values.Admission }, Sibling: w.findSibling(i),
		})
		s.reportLimiter = balance.NewReportLimiter(w.clock, func() time.Duration { return time.Duration(w.values.Balance.ReportMs * float64(time.Millisecond)) })
		w.servers = append(w.servers, s)
		s.nextPhase()
	}
	return w
}

// findSibling returns the function with which the admission of a server finds a free sibling, or nil without redirection.
func (w *world) findSibling(server int) func(time.Duration) (string, bool) {
	if !w.options.redirect {
		return nil
	}
	return func(within time.Duration) (string, bool) {
		return w.policy.(*product).balancers[server].Sibling(serviceName, serverID(server), within)
	}
}

// between returns the one-way latency between nodes of two places.
func (w *world) between(a, b string) time.Duration {
	if a == b {
		return withinPlace
	}
	return w.deployment.between
}

// latency returns the one-way latency between an entry node and the node of a server.
func (w *world) latency(entry, server int) time.Duration {
	if entry == server {
		return 0
	}
	return w.between(placeName(w.entries[entry]), placeName(w.servers[server].place))
}

// report returns the current load report of a server.
func (w *world) report(server int) balance.Load {
	l := w.servers[server].admission.Load(w.clock())
	return balance.Load{
		ServerID: serverID(server), Sequence: l.Sequence, InProgress: l.InProgress, Queued: l.Queued, Limit: l.Limit,
		ServiceTime: l.ServiceTime, Draining: l.Draining,
	}
}

// simulate generates open-loop Poisson arrivals at the given share of the mean capacity, and measures after a warm-up.
func (w *world) simulate(share float64, warmup, duration time.Duration) result {
	capacity := float64(w.deployment.servers*w.deployment.slots) * w.deployment.scenario.meanSpeed() / meanServiceTime.Seconds()
	meanInterval := float64(len(w.entries)) / (share * capacity) // seconds between arrivals at one entry node
	arrivals := rand.New(rand.NewPCG(w.seed, 2))                 // the same for every policy
	for entry := range w.entries {
		var arrive func()
		arrive = func() {
			w.startCall(entry, arrivals)
			w.after(time.Duration(arrivals.ExpFloat64()*meanInterval*float64(time.Second)), arrive)
		}
		w.after(time.Duration(arrivals.ExpFloat64()*meanInterval*float64(time.Second)), arrive)
	}
	if interval := w.deployment.scenario.coldStart.interval; interval > 0 {
		w.after(interval/2, func() { w.replaceNext(0, interval) })
	}
	w.run(warmup)
	w.measuring = true
	w.run(warmup + duration)
	w.result.seconds = duration.Seconds()
	return w.result
}

// replaceNext replaces a server, and the next one after the interval.
func (w *world) replaceNext(server int, interval time.Duration) {
	w.servers[server].replace()
	if p, ok := w.policy.(*product); ok {
		p.serverReplaced(server)
	}
	w.after(interval, func() { w.replaceNext((server+1)%len(w.servers), interval) })
}

// demand draws the service time of a call at full speed.
func (s scenario) demand(r *rand.Rand) time.Duration {
	mu := math.Log(float64(meanServiceTime)) - s.sigma*s.sigma/2
	return time.Duration(math.Exp(mu + s.sigma*r.NormFloat64()))
}

// class is the class of all simulated calls.
const class = contract.ClassNormal
