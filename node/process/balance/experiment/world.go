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
	// withinPlace is the one-way latency between two nodes of a place.
	withinPlace = 100 * time.Microsecond
	// sweepEvery is the time after which waiting calls look for a sibling again.
	sweepEvery = 5 * time.Millisecond
	// callTimeout is the time that callers are willing to wait.
	callTimeout = 2 * time.Second
	// idempotentShare is the share of calls that may be hedged.
	idempotentShare = 0.8
	// reportBytes is the size of an encoded load report.
	reportBytes = 21
)

// deployment is the shape of one service's environment.
type deployment struct {
	name     string
	servers  int
	slots    int
	entries  int
	between  time.Duration // one-way latency between places
	cores    int           // calls that run at full speed at once; zero for all slots
	scenario scenario
}

// Deployments of the two users, a service of the average size of a large fleet, and a large service.
var (
	coop = deployment{name: "coop", servers: 5, slots: 17, entries: 14, between: time.Millisecond, scenario: stalls}
	// large has so many servers that an entry node gets a report of each only every 130 ms or so.
	large = deployment{name: "large", servers: 100, slots: 17, entries: 140, between: time.Millisecond, scenario: stalls}
	// medium has 18.6 servers rounded up, and callers at many nodes.
	medium = deployment{name: "medium", servers: 19, slots: 17, entries: 140, between: time.Millisecond, scenario: stalls}
	yatai  = deployment{name: "yatai", servers: 4, slots: 9, entries: 13, between: 1500 * time.Microsecond, scenario: stalls}
)

// world is one run.
type world struct {
	engine
	deployment deployment
	seed       uint64
	rand       *rand.Rand
	servers    []*server
	entries    []int // place of each entry node; the first ones are beside the servers
	policy     policy
	options    options
	values     settings.Values
	retriers   []*retry.Retrier
	result     result
	measuring  bool
}

// result is what a run measured.
type result struct {
	latencies []time.Duration // of answered calls
	calls     int
	refused   int
	late      int // no answer by the deadline
	attempts  int
	hedges    int
	referrals int
	bytes     int
	seconds   float64
}

func placeName(i int) string { return string(rune('a' + i)) }

// newWorld builds the servers and entry nodes; the policy is set by the caller.
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
			Slots: d.slots, Now: w.clock, Values: func() settings.Admission { return w.values.Admission }, Sibling: w.sibling(i),
		})
		s.pace = balance.NewReportLimiter(w.clock, func() time.Duration { return time.Duration(w.values.Balance.ReportMs * float64(time.Millisecond)) })
		w.servers = append(w.servers, s)
		s.shift()
	}
	return w
}

// sibling returns the function by which the admission of a server finds a free sibling.
func (w *world) sibling(server int) func(time.Duration) (string, bool) {
	if !w.options.refer {
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

// report returns the present load report of a server.
func (w *world) report(server int) balance.Load {
	l := w.servers[server].admission.Load(w.clock())
	return balance.Load{
		ServerID: serverID(server), Sequence: l.Sequence, InProgress: l.InProgress, Queued: l.Queued, Limit: l.Limit,
		ServiceTime: l.ServiceTime, Draining: l.Draining,
	}
}

// simulate runs open-loop Poisson arrivals at a share of the mean capacity and measures after a warm-up.
func (w *world) simulate(share float64, warmup, span time.Duration) result {
	capacity := float64(w.deployment.servers*w.deployment.slots) * w.deployment.scenario.meanSpeed() / serviceMean.Seconds()
	gap := float64(len(w.entries)) / (share * capacity) // seconds between arrivals at one entry node
	arrivals := rand.New(rand.NewPCG(w.seed, 2))        // the same for every policy
	for entry := range w.entries {
		var arrive func()
		arrive = func() {
			w.begin(entry, arrivals)
			w.after(time.Duration(arrivals.ExpFloat64()*gap*float64(time.Second)), arrive)
		}
		w.after(time.Duration(arrivals.ExpFloat64()*gap*float64(time.Second)), arrive)
	}
	if every := w.deployment.scenario.cold.every; every > 0 {
		w.after(every/2, func() { w.replaceNext(0, every) })
	}
	w.run(warmup)
	w.measuring = true
	w.run(warmup + span)
	w.result.seconds = span.Seconds()
	return w.result
}

// replaceNext replaces a server, and later the next one.
func (w *world) replaceNext(server int, every time.Duration) {
	w.servers[server].replace()
	if p, ok := w.policy.(*product); ok {
		p.replaced(server)
	}
	w.after(every, func() { w.replaceNext((server+1)%len(w.servers), every) })
}

// demand draws the time that a call needs at full speed.
func (s scenario) demand(r *rand.Rand) time.Duration {
	mu := math.Log(float64(serviceMean)) - s.sigma*s.sigma/2
	return time.Duration(math.Exp(mu + s.sigma*r.NormFloat64()))
}

// class is the class of all calls of the comparison.
const class = contract.ClassNormal
