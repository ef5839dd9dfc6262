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
	// Nodes returns the number of live nodes of the fleet; nil means one. It is called at most once a second for each
	// budget, and also for each scheduled probe and each dump.
	Nodes func() int
	// Share returns this node's shares of the fleet's reads and writes for a number of live nodes; nil divides both
	// equally. The shares of all nodes add up to one. It is called at most once a second for each budget.
	Share func(nodes int) (reads, writes float64)
	// Random returns a number in [0, 1) for jitter; nil uses the global source.
	Random func() float64
	// Metrics is the registry to which the counters are added, if not nil.
	Metrics metrics.Registry
}

// Guard wraps a Table and an Objects. It limits operations to this node's share of the fleet's budget, gives each operation
// a deadline, retries operations that had no effect, and fails fast while a service is down. It is safe for concurrent use.
type Guard struct {
	table          Table
	objects        Objects
	limits         Limits
	random         func() float64
	nodes          func() int
	readBudget     *budget
	writeBudget    *budget
	tableBreaker   *breaker
	objectsBreaker *breaker
}

var (
	_ Table   = (*Guard)(nil)
	_ Objects = (*Guard)(nil)
)

// probeKey is the key that probes read to detect whether a service has recovered. It need not exist.
const probeKey = "probe"

// NewGuard returns a Guard of a table and an object store. The limits must be valid.
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
	g.readBudget = newBudget(o.Limits.FleetReadsPerSec, o.Limits, func() float64 {
		reads, _ := share(g.nodes())
		return reads
	})
	g.writeBudget = newBudget(o.Limits.FleetWritesPerSec, o.Limits, func() float64 {
		_, writes := share(g.nodes())
		return writes
	})
	g.tableBreaker = g.newBreaker("table", o.Metrics, func(ctx context.Context) error {
		g.readBudget.charge(1)
		_, err := g.table.Get(ctx, Key{Partition: probeKey, Sort: probeKey})
		return err
	})
	g.objectsBreaker = g.newBreaker("objects", o.Metrics, func(ctx context.Context) error {
		g.readBudget.charge(1)
		_, err := g.objects.GetObject(ctx, probeKey)
		return err
	})
	return g
}

func (g *Guard) newBreaker(service string, registry metrics.Registry, probe func(context.Context) error) *breaker {
	b := &breaker{
		service: service, probe: probe, probeTimeout: milliseconds(g.limits.ReadAttemptMs), probeInterval: g.probeInterval,
		random: g.random, counters: newCounters(service, registry),
		// After an outage all nodes have a full budget. Draining it keeps the fleet within its budget during recovery.
		onClose: func() { g.readBudget.drain(); g.writeBudget.drain() },
	}
	b.init(g.limits.TripFailures)
	return b
}

// probeInterval returns the mean interval between this node's probes. It keeps the probes of the whole fleet within
// ProbeShare of the read budget.
func (g *Guard) probeInterval() time.Duration {
	seconds := float64(g.nodes()) / (g.limits.FleetReadsPerSec * g.limits.ProbeShare)
	return max(milliseconds(g.limits.ProbeMs), time.Duration(seconds*float64(time.Second)))
}

// Transact implements Table. Each write counts as one item of the budget.
func (g *Guard) Transact(ctx context.Context, writes ...Write) error {
	if err := ValidateWrites(writes); err != nil {
		return err
	}
	return g.write(ctx, g.tableBreaker, len(writes), func(ctx context.Context) error {
		return g.table.Transact(ctx, writes...)
	})
}

// PutObject implements Objects.
func (g *Guard) PutObject(ctx context.Context, key string, body []byte) error {
	return g.write(ctx, g.objectsBreaker, 1, func(ctx context.Context) error { return g.objects.PutObject(ctx, key, body) })
}

// Get implements Table.
func (g *Guard) Get(ctx context.Context, key Key) (item Item, err error) {
	err = g.read(ctx, g.tableBreaker, func(ctx context.Context) (err error) {
		item, err = g.table.Get(ctx, key)
		return err
	})
	return item, err
}

// readUnitBytes is the size that the table service counts as one read in a query.
const readUnitBytes = 4 << 10

// Query implements Table. The budget is charged for the size of the result afterwards, as the service does.
func (g *Guard) Query(ctx context.Context, partition, from string, limit int) (items []Item, err error) {
	err = g.read(ctx, g.tableBreaker, func(ctx context.Context) (err error) {
		items, err = g.table.Query(ctx, partition, from, limit)
		return err
	})
	size := 0
	for _, item := range items {
		size += len(item.Key.Partition) + len(item.Key.Sort) + len(item.Data)
	}
	g.readBudget.charge(size / readUnitBytes)
	return items, err
}

// GetObject implements Objects.
func (g *Guard) GetObject(ctx context.Context, key string) (body []byte, err error) {
	err = g.read(ctx, g.objectsBreaker, func(ctx context.Context) (err error) {
		body, err = g.objects.GetObject(ctx, key)
		return err
	})
	return body, err
}

// write runs a write. It retries only after a conflict, which means that the write had no effect.
func (g *Guard) write(ctx context.Context, b *breaker, items int, do func(context.Context) error) error {
	return g.retry(ctx, b, operation{
		timeout: milliseconds(g.limits.WriteTimeoutMs), attemptTimeout: milliseconds(g.limits.WriteTimeoutMs),
		budget: g.writeBudget, items: items, isWrite: true, do: do,
		retryable: func(err error) bool { return errors.Is(err, ErrConflict) },
	})
}

// read runs a read and retries it while the service is unavailable.
func (g *Guard) read(ctx context.Context, b *breaker, do func(context.Context) error) error {
	return g.retry(ctx, b, operation{
		timeout: milliseconds(g.limits.ReadTimeoutMs), attemptTimeout: milliseconds(g.limits.ReadAttemptMs),
		budget: g.readBudget, items: 1, do: do,
		retryable: func(err error) bool { return errors.Is(err, ErrUnavailable) },
	})
}

// operation is a read or write with its limits and its rule for retries.
type operation struct {
	timeout, attemptTimeout time.Duration
	budget                  *budget
	items                   int
	isWrite                 bool
	do                      func(context.Context) error
	retryable               func(error) bool
}

// retry runs attempts of an operation until one has a final result or the breaker, the budget or the deadline stops it.
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
		if b.circuit.State() != gobreaker.StateClosed {
			// The service went down during the wait. The call must not be sent in place of a probe.
			return b.failFast()
		}
		err := g.attempt(ctx, caller, b, op)
		if err == nil || attempt >= g.limits.Attempts || !op.retryable(err) || !g.pause(ctx, attempt) {
			return err
		}
		b.counters.retries.Inc(1)
	}
}

// attempt runs one attempt of an operation through the breaker.
func (g *Guard) attempt(ctx, caller context.Context, b *breaker, op operation) error {
	ctx, cancel := context.WithTimeout(ctx, op.attemptTimeout)
	defer cancel()
	err := b.do(func() error {
		start := time.Now()
		err := classify(op.do(ctx), op.isWrite)
		b.counters.count(err)
		if isFailure(err) && caller.Err() != nil && time.Since(start) < minCountedDuration {
			return excludedError{err}
		}
		return err
	})
	if excluded := (excludedError{}); errors.As(err, &excluded) {
		return excluded.error
	}
	return err
}

// classify converts an error that is not of this package: to ErrOutcomeUnknown for a write, to ErrUnavailable for a read.
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

// pause waits before the next attempt, with full jitter. It returns false if ctx ends first, without waiting if its deadline
// is before the end of the pause.
func (g *Guard) pause(ctx context.Context, attempt int) bool {
	maxPause := min(milliseconds(g.limits.BackoffMs)<<(attempt-1), milliseconds(g.limits.MaxBackoffMs))
	pause := time.Duration(g.random() * float64(maxPause))
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

// State is the state of a Guard in a dump.
type State struct {
	Nodes   int          `json:"nodes"`
	Reads   BudgetState  `json:"reads"`
	Writes  BudgetState  `json:"writes"`
	Table   ServiceState `json:"table"`
	Objects ServiceState `json:"objects"`
}

// ServiceState is the state of one platform service as seen by this node.
type ServiceState struct {
	// Breaker is closed while the service is available, and open or half-open while it is down.
	Breaker string `json:"breaker"`
	// Since is the time of the last change between available and down; the start of the process before the first change.
	Since       time.Time        `json:"since"`
	NextProbe   time.Time        `json:"nextProbe,omitzero"`
	LastError   string           `json:"lastError,omitempty"`
	LastErrorAt time.Time        `json:"lastErrorAt,omitzero"`
	Counters    map[string]int64 `json:"counters"`
}

// State returns the current state.
func (g *Guard) State() State {
	return State{
		Nodes: g.nodes(), Reads: g.readBudget.state(), Writes: g.writeBudget.state(),
		Table: g.tableBreaker.state(), Objects: g.objectsBreaker.state(),
	}
}

func (b *breaker) state() ServiceState {
	// The circuit's state must be read before mu is locked: reading it may call onStateChange, which locks mu.
	s := ServiceState{Breaker: b.circuit.State().String(), Counters: b.counters.values()}
	b.mu.Lock()
	s.Since, s.NextProbe = b.since, b.nextProbe
	b.mu.Unlock()
	b.counters.mu.Lock()
	defer b.counters.mu.Unlock()
	s.LastError, s.LastErrorAt = b.counters.lastError, b.counters.lastErrorAt
	return s
}
