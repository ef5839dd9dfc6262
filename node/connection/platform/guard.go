package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sony/gobreaker/v2"
)

// Options of a Guard.
type Options struct {
	Limits Limits
	// Nodes returns the number of live nodes of the fleet; nil means one. It is asked at most once a second.
	Nodes func() int
	// Share returns this node's shares of the fleet's reads and writes for a number of live nodes; nil divides both
	// equally. The shares of all nodes add up to one. It is asked at most once a second for each.
	Share func(nodes int) (reads, writes float64)
	// Random returns a number in [0, 1) for jitter; nil uses the global source.
	Random func() float64
	// Metrics takes the counters, if not nil.
	Metrics metrics.Registry
}

// Guard implements Table and Objects over others. It keeps to this node's share of the fleet's budget, gives every
// operation a deadline, retries what had no effect, and fails fast while a service is down. It is safe for concurrent
// use.
type Guard struct {
	table   Table
	objects Objects
	limits  Limits
	random  func() float64
	nodes   func() int
	reads   *budget
	writes  *budget
	onTable *breaker
	onStore *breaker
}

var (
	_ Table   = (*Guard)(nil)
	_ Objects = (*Guard)(nil)
)

// probeKey is read to find out whether a service answers again. It need not exist.
const probeKey = "probe"

// NewGuard returns a guard with valid limits over a table and an object store.
func NewGuard(table Table, objects Objects, o Options) *Guard {
	g := &Guard{table: table, objects: objects, limits: o.Limits, random: o.Random}
	if g.random == nil {
		g.random = rand.Float64
	}
	g.nodes = func() int {
		n := 1
		if o.Nodes != nil {
			n = o.Nodes()
		}
		return max(n, o.Limits.AssumedNodes, 1)
	}
	share := o.Share
	if share == nil {
		share = func(nodes int) (reads, writes float64) { return 1 / float64(nodes), 1 / float64(nodes) }
	}
	g.reads = newBudget(o.Limits.FleetReadsPerSec, o.Limits, func() float64 {
		reads, _ := share(g.nodes())
		return reads
	})
	g.writes = newBudget(o.Limits.FleetWritesPerSec, o.Limits, func() float64 {
		_, writes := share(g.nodes())
		return writes
	})
	g.onTable = g.newBreaker("table", o.Metrics, func(ctx context.Context) error {
		g.reads.charge(1)
		_, err := g.table.Get(ctx, Key{Partition: probeKey, Sort: probeKey})
		return err
	})
	g.onStore = g.newBreaker("objects", o.Metrics, func(ctx context.Context) error {
		g.reads.charge(1)
		_, err := g.objects.GetObject(ctx, probeKey)
		return err
	})
	return g
}

func (g *Guard) newBreaker(service string, registry metrics.Registry, probe func(context.Context) error) *breaker {
	b := &breaker{
		service: service, probe: probe, timeout: milliseconds(g.limits.ReadAttemptMs), interval: g.probeInterval,
		random: g.random, counters: newCounters(service, registry),
		// After an outage all nodes have a full budget. Emptying it keeps the fleet within its budget at recovery.
		closed: func() { g.reads.empty(); g.writes.empty() },
	}
	b.init(g.limits.TripFailures)
	return b
}

// probeInterval is the mean time between probes that keeps those of the whole fleet within their share of the reads.
func (g *Guard) probeInterval() time.Duration {
	share := float64(g.nodes()) / (g.limits.FleetReadsPerSec * g.limits.ProbeShare)
	return max(milliseconds(g.limits.ProbeMs), time.Duration(share*float64(time.Second)))
}

// Transact implements Table. Each write counts as one item of the budget.
func (g *Guard) Transact(ctx context.Context, writes ...Write) error {
	if err := ValidateWrites(writes); err != nil {
		return err
	}
	return g.write(ctx, g.onTable, len(writes), func(ctx context.Context) error { return g.table.Transact(ctx, writes...) })
}

// PutObject implements Objects.
func (g *Guard) PutObject(ctx context.Context, key string, body []byte) error {
	return g.write(ctx, g.onStore, 1, func(ctx context.Context) error { return g.objects.PutObject(ctx, key, body) })
}

// Get implements Table.
func (g *Guard) Get(ctx context.Context, key Key) (item Item, err error) {
	err = g.read(ctx, g.onTable, func(ctx context.Context) (err error) {
		item, err = g.table.Get(ctx, key)
		return err
	})
	return item, err
}

// readUnitBytes is what the table service counts as one read of a query.
const readUnitBytes = 4 << 10

// Query implements Table. It is charged for the size of its result afterwards, as the service does.
func (g *Guard) Query(ctx context.Context, partition, from string, limit int) (items []Item, err error) {
	err = g.read(ctx, g.onTable, func(ctx context.Context) (err error) {
		items, err = g.table.Query(ctx, partition, from, limit)
		return err
	})
	size := 0
	for _, item := range items {
		size += len(item.Key.Partition) + len(item.Key.Sort) + len(item.Data)
	}
	g.reads.charge(size / readUnitBytes)
	return items, err
}

// GetObject implements Objects.
func (g *Guard) GetObject(ctx context.Context, key string) (body []byte, err error) {
	err = g.read(ctx, g.onStore, func(ctx context.Context) (err error) {
		body, err = g.objects.GetObject(ctx, key)
		return err
	})
	return body, err
}

// write runs a write, again only after a conflict, which had no effect.
func (g *Guard) write(ctx context.Context, b *breaker, items int, do func(context.Context) error) error {
	return g.retry(ctx, b, operation{
		timeout: milliseconds(g.limits.WriteTimeoutMs), attempt: milliseconds(g.limits.WriteTimeoutMs),
		budget: g.writes, items: items, isWrite: true, do: do,
		again: func(err error) bool { return errors.Is(err, ErrConflict) },
	})
}

func (g *Guard) read(ctx context.Context, b *breaker, do func(context.Context) error) error {
	return g.retry(ctx, b, operation{
		timeout: milliseconds(g.limits.ReadTimeoutMs), attempt: milliseconds(g.limits.ReadAttemptMs),
		budget: g.reads, items: 1, do: do,
		again: func(err error) bool { return errors.Is(err, ErrUnavailable) },
	})
}

type operation struct {
	timeout, attempt time.Duration
	budget           *budget
	items            int
	isWrite          bool
	do               func(context.Context) error
	again            func(error) bool
}

// retry runs attempts of an operation until one is final or the breaker, the budget or the deadline ends them.
func (g *Guard) retry(caller context.Context, b *breaker, op operation) error {
	ctx, cancel := context.WithTimeout(caller, op.timeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		if err := b.enter(ctx); err != nil {
			return err
		}
		if err := op.budget.wait(ctx, op.items); err != nil {
			b.counters.overBudget.Inc(1)
			return err
		}
		if b.breaker.State() != gobreaker.StateClosed {
			// The service went down during the wait; the call must not take the place of a probe.
			return b.failFast()
		}
		err := g.attempt(ctx, caller, b, op)
		if err == nil || attempt >= g.limits.Attempts || !op.again(err) || !g.pause(ctx, attempt) {
			return err
		}
		b.counters.retries.Inc(1)
	}
}

func (g *Guard) attempt(ctx, caller context.Context, b *breaker, op operation) error {
	ctx, cancel := context.WithTimeout(ctx, op.attempt)
	defer cancel()
	err := b.do(func() error {
		start := time.Now()
		err := classify(op.do(ctx), op.isWrite)
		b.counters.count(err)
		if isFailure(err) && caller.Err() != nil && time.Since(start) < minJudged {
			return unjudged{err}
		}
		return err
	})
	if u := (unjudged{}); errors.As(err, &u) {
		return u.error
	}
	return err
}

// classify turns an error that is not of this package into one that promises nothing.
func classify(err error, isWrite bool) error {
	if err == nil {
		return nil
	}
	for _, known := range []error{ErrCondition, ErrOutcomeUnknown, ErrUnavailable, ErrNotFound, ErrInvalid} {
		if errors.Is(err, known) {
			return err
		}
	}
	if isWrite {
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// pause waits before the next attempt, with full jitter. It reports false when the deadline would pass meanwhile.
func (g *Guard) pause(ctx context.Context, attempt int) bool {
	longest := min(milliseconds(g.limits.BackoffMs)<<(attempt-1), milliseconds(g.limits.MaxBackoffMs))
	pause := time.Duration(g.random() * float64(longest))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

// State is the state of a guard for a dump.
type State struct {
	Nodes   int          `json:"nodes"`
	Reads   BudgetState  `json:"reads"`
	Writes  BudgetState  `json:"writes"`
	Table   ServiceState `json:"table"`
	Objects ServiceState `json:"objects"`
}

// ServiceState is the state of one service of the platform as this node sees it.
type ServiceState struct {
	// Breaker is closed while the service is in use, open or half-open while it is down.
	Breaker     string           `json:"breaker"`
	Since       time.Time        `json:"since"`
	NextProbe   time.Time        `json:"nextProbe,omitzero"`
	LastError   string           `json:"lastError,omitempty"`
	LastErrorAt time.Time        `json:"lastErrorAt,omitzero"`
	Counters    map[string]int64 `json:"counters"`
}

// State returns the present state.
func (g *Guard) State() State {
	return State{
		Nodes: g.nodes(), Reads: g.reads.state(), Writes: g.writes.state(),
		Table: g.onTable.state(), Objects: g.onStore.state(),
	}
}

func (b *breaker) state() ServiceState {
	// The state of the breaker comes first: reading it may run changed, which takes the lock.
	s := ServiceState{Breaker: b.breaker.State().String(), Counters: b.counters.values()}
	b.mu.Lock()
	s.Since, s.NextProbe = b.since, b.nextProbe
	b.mu.Unlock()
	b.counters.mu.Lock()
	defer b.counters.mu.Unlock()
	s.LastError, s.LastErrorAt = b.counters.lastError, b.counters.lastErrorAt
	return s
}
