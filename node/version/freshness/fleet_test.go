package freshness

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	testWithin   = 5 * time.Second
	testPollers  = 3
	testPollWait = 800 * time.Millisecond
	testFeedLag  = time.Second
)

// testFleet is a fleet in virtual time with one store. Links, paths to the store and nodes fail. Its fields are guarded by mu.
type testFleet struct {
	mu      sync.Mutex
	random  *rand.Rand
	ctx     context.Context
	started time.Time
	// acknowledged holds the time at which each version was acknowledged; the first one is version 1.
	acknowledged []time.Duration
	nodes        []*testNode
	// cut is set for the directions between nodes in which messages are lost.
	cut [][]bool
	// maxDelay bounds the time of a message.
	maxDelay     time.Duration
	asks, reads  int
	reachesStore []bool
	// statesUnknown is set when the nodes do not know which of them reach the store.
	statesUnknown bool
}

// testNode is a node of a testFleet.
type testNode struct {
	fleet    *testFleet
	index    int
	lease    *Lease
	current  uint64
	seen     uint64 // version that the feed has brought last
	source   int    // node that passed on the newest proof, or -1
	sourceAt time.Duration
	booted   time.Duration
	// suspendedUntil is the time until which the host does nothing; its boot clock goes on.
	suspendedUntil time.Duration
}

func newTestFleet(t *testing.T, seed uint64, count int) *testFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &testFleet{random: rand.New(rand.NewPCG(seed, 0)), ctx: ctx, started: time.Now(), maxDelay: 20 * time.Millisecond, acknowledged: []time.Duration{0}}
	for i := range count {
		f.nodes = append(f.nodes, &testNode{fleet: f, index: i, lease: &Lease{}, source: -1, booted: time.Duration(f.random.IntN(1e12))})
		f.cut = append(f.cut, make([]bool, count))
		f.reachesStore = append(f.reachesStore, true)
	}
	t.Cleanup(cancel)
	return f
}

// run starts the nodes and lets time pass. The check runs every 10 ms with the lock held, until it fails.
func (f *testFleet) run(t *testing.T, d time.Duration, check func(now time.Duration) bool) {
	ctx, cancel := context.WithTimeout(f.ctx, d)
	defer cancel()
	f.ctx = ctx
	var loops sync.WaitGroup
	for _, n := range f.nodes {
		loops.Go(n.ask)
		loops.Go(n.poll)
	}
	for ctx.Err() == nil && !t.Failed() {
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		if !check(f.now()) {
			cancel()
		}
		f.mu.Unlock()
	}
	loops.Wait()
	time.Sleep(time.Minute) // messages on the way
}

func (f *testFleet) now() time.Duration { return time.Since(f.started) }

// delay lets a random time pass.
func (f *testFleet) delay() {
	f.mu.Lock()
	d := time.Duration(f.random.Int64N(int64(f.maxDelay)))
	f.mu.Unlock()
	time.Sleep(d)
}

// heldAt returns the newest version in the store at a time.
func (f *testFleet) heldAt(at time.Duration) uint64 {
	held := uint64(0)
	for i, acknowledged := range f.acknowledged {
		if acknowledged <= at {
			held = uint64(i + 1)
		}
	}
	return held
}

// clock is the boot clock of the node's host.
func (n *testNode) clock() time.Duration { return n.booted + n.fleet.now() }

// awake waits until the host is not suspended and returns with the lock held.
func (n *testNode) awake() {
	for {
		n.fleet.mu.Lock()
		left := n.suspendedUntil - n.fleet.now()
		if left <= 0 {
			return
		}
		n.fleet.mu.Unlock()
		time.Sleep(left)
	}
}

// isPoller reports whether the node polls the store often, as peers.InSubset does.
func (n *testNode) isPoller() bool {
	linked, reaching := 0, 0
	for i := range n.index {
		if n.fleet.cut[n.index][i] {
			continue
		}
		linked++
		if n.fleet.reachesStore[i] {
			reaching++
		}
	}
	return reaching < testPollers && linked < 2*testPollers
}

// ask runs the schedule of the node.
func (n *testNode) ask() {
	f := n.fleet
	schedule := Schedule{}
	for f.ctx.Err() == nil {
		n.awake()
		age := time.Duration(math.MaxInt64)
		if at, ok := n.lease.NewestFor(n.current); ok {
			age = n.clock() - at
		}
		step := schedule.Next(n.clock(), age, testWithin, n.isPoller())
		if order := n.sources(); step.Ask && len(order) > 0 {
			f.asks += 1 + step.Others
			go n.askNode(f.nodes[order[0]])
			for i := range min(step.Others, len(order)-1) {
				go n.askNode(f.nodes[order[1:][(step.First+i)%(len(order)-1)]])
			}
		}
		if step.Read {
			f.reads++
			go n.read()
		}
		f.mu.Unlock()
		time.Sleep(step.Wait)
	}
}

// sources returns the linked nodes in the order of peers.AskForProof.
func (n *testNode) sources() []int {
	var order []int
	add := func(i int) {
		if i >= 0 && i != n.index && !slices.Contains(order, i) && !n.fleet.cut[n.index][i] {
			order = append(order, i)
		}
	}
	add(n.source)
	for i, reaches := range n.fleet.reachesStore {
		if (reaches || n.fleet.statesUnknown) && len(order) <= testPollers {
			add(i)
		}
	}
	for i := range n.fleet.nodes {
		add((n.index + i) % len(n.fleet.nodes))
	}
	return order
}

// askNode asks another node for its proof.
func (n *testNode) askNode(other *testNode) {
	f, asked := n.fleet, n.clock()
	f.delay()
	other.awake()
	version, encoded := other.current, uint32(0)
	if at, ok := other.lease.NewestFor(version); ok {
		encoded = EncodeAge(at, other.clock())
	}
	lost := f.cut[n.index][other.index]
	f.mu.Unlock()
	f.delay()
	n.awake()
	defer f.mu.Unlock()
	if lost || f.cut[other.index][n.index] {
		return
	}
	n.current = max(n.current, version)
	if at, ok := DecodeAge(encoded, asked); ok {
		n.lease.Add(Proof{Version: version, At: at})
		if n.source < 0 || at >= n.sourceAt {
			n.source, n.sourceAt = other.index, at
		}
	}
}

// read reads the rows of the store.
func (n *testNode) read() {
	f, began := n.fleet, n.clock()
	f.delay()
	f.mu.Lock()
	reached, version := f.reachesStore[n.index], f.heldAt(f.now())
	f.mu.Unlock()
	f.delay()
	n.awake()
	defer f.mu.Unlock()
	if reached {
		n.current = max(n.current, version)
		n.lease.Read(version, 0, began, true)
	}
}

// poll polls the feed, which shows the state of a time up to testFeedLag ago.
func (n *testNode) poll() {
	f := n.fleet
	for f.ctx.Err() == nil {
		n.awake()
		began, wait := n.clock(), testPollWait
		if !n.isPoller() {
			wait = 30 * time.Second
		}
		f.mu.Unlock()
		time.Sleep(wait)
		f.mu.Lock()
		reached := f.reachesStore[n.index]
		version := f.heldAt(f.now() - time.Duration(f.random.Int64N(int64(testFeedLag))))
		f.mu.Unlock()
		f.delay()
		n.awake()
		if reached {
			shown := uint64(0)
			if version > n.seen {
				shown, n.seen = version, version
			}
			n.current = max(n.current, shown)
			n.lease.Read(shown, 0, began, false)
		}
		f.mu.Unlock()
	}
}

// leased reports whether a node accepts keys now.
func (n *testNode) leased() bool { return n.lease.ValidFor(n.current, n.clock(), testWithin) }

// Guards against a node that accepts keys which were revoked longer ago than allowed, with links that are cut in one or both
// directions, slow messages, polls that see changes late, hosts that are suspended and processes that restart.
func TestNoNodeTakesKeysThatWereRevokedLongAgo(t *testing.T) {
	const seeds, count = 30, 5
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, seed, count)
			f.maxDelay = 3 * time.Second // slow links and a slow store
			leased := 0
			f.run(t, 2*time.Minute, func(now time.Duration) bool {
				f.disturb(now)
				for _, n := range f.nodes {
					if n.suspendedUntil <= now && n.leased() {
						leased++
						must := f.heldAt(now - testWithin)
						if !assert.GreaterOrEqual(t, n.current, must, "seed %d, node %d at %s", seed, n.index, now) {
							return false
						}
					}
				}
				return true
			})
			assert.Positive(t, leased)
		})
	}
}

// disturb changes something with a low probability.
func (f *testFleet) disturb(now time.Duration) {
	i, j := f.random.IntN(len(f.nodes)), f.random.IntN(len(f.nodes))
	switch f.random.IntN(400) {
	case 0, 1, 2, 3, 4, 5:
		f.cut[i][j] = !f.cut[i][j]
	case 6, 7:
		f.reachesStore[i] = !f.reachesStore[i]
	case 8:
		f.nodes[i].suspendedUntil = now + time.Duration(f.random.IntN(10))*time.Second
	case 9:
		f.nodes[i].lease, f.nodes[i].current, f.nodes[i].seen, f.nodes[i].source = &Lease{}, 0, 0, -1
	case 10, 11, 12:
		f.acknowledged = append(f.acknowledged, now)
	}
}

// Guards against nodes that lose their lease although others can pass on proofs, along a chain of nodes of which only the first one
// reaches the store.
func TestProofsPassThroughOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 5)
		for i := range f.nodes {
			for j := range f.nodes {
				f.cut[i][j] = i-j > 1 || j-i > 1
			}
			f.reachesStore[i] = i == 0
		}
		f.run(t, time.Minute, func(now time.Duration) bool {
			for _, n := range f.nodes {
				if !assert.True(t, now < 4*time.Second || n.leased(), "node %d at %s", n.index, now) {
					return false
				}
			}
			return true
		})
	})
}

// Guards against a fleet whose nodes all read the store or ask all others, while all reach it, and against leases that are lost while only
// one node of many reaches it.
func TestCostOfLeasesInAFleet(t *testing.T) {
	const count, duration = 72, 20 * time.Second
	costs := func(reaching int, statesUnknown bool) (asks, reads float64) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 1, count)
			f.statesUnknown = statesUnknown
			for i := range f.nodes {
				f.reachesStore[i] = i >= count-reaching
			}
			f.run(t, duration, func(now time.Duration) bool {
				for _, n := range f.nodes {
					if !assert.True(t, now < 8*time.Second || n.leased(), "node %d at %s", n.index, now) {
						return false
					}
				}
				return true
			})
			asks, reads = float64(f.asks)/duration.Seconds(), float64(f.reads)/duration.Seconds()
		})
		return asks, reads
	}
	asks, reads := costs(count, false)
	t.Logf("all reach the store: %.1f pings and %.1f reads a second", asks, reads)
	assert.LessOrEqual(t, asks, 4.0*count, "a node asks at most once per askInterval")
	assert.LessOrEqual(t, reads, 2.0*testPollers)
	asks, reads = costs(1, false)
	t.Logf("one reaches the store: %.1f pings and %.1f reads a second", asks, reads)
	asks, reads = costs(1, true)
	t.Logf("one reaches the store and nobody knows which: %.1f pings and %.1f reads a second", asks, reads)
}
