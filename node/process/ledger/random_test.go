package ledger

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishstand/radishstand/node/platformtest"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var randomRuns = flag.Int("ledger.runs", 40, "number of seeds of TestRandomFailuresNeverGrantTwice")

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// checker records the results of claims and detects violations of the ledger's guarantees.
type checker struct {
	mu         sync.Mutex
	owners     map[string]string
	answers    map[string]string
	grants     int
	refusals   int
	violations []string
}

// recordClaim records the result of a claim.
func (c *checker) recordClaim(key, call string, r ClaimResult, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owners[key]
	switch {
	case err != nil:
		c.refusals++
	case r.State == Granted && owner != "" && owner != call:
		c.violations = append(c.violations, fmt.Sprintf("%s granted to %s while %s owns it", key, call, owner))
	case r.State == Granted:
		c.grants++
		c.owners[key] = call
	case r.State == Replay && string(r.Answer.GetBody()) != owner:
		c.violations = append(c.violations, fmt.Sprintf("%s replays %q, owner is %s", key, r.Answer.GetBody(), owner))
	}
}

func (c *checker) recordRelease(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners[key] = ""
}

func (c *checker) recordCompletion(key, call string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[key] = call
}

// faultInjector changes views, connections, processes and the store at random.
type faultInjector struct {
	f     *fleet
	rng   *rand.Rand
	nodes []string
	mu    sync.Mutex
	loss  float64
	down  bool
}

// fault returns a random fault for an operation of the store.
func (c *faultInjector) fault(platformtest.Operation) platformtest.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := platformtest.Fault{Down: c.down, Delay: time.Duration(c.rng.IntN(10)) * time.Millisecond}
	switch p := c.rng.Float64(); {
	case p < c.loss/4:
		f.LoseAnswer = true
	case p < c.loss/2:
		f.LateEffect = time.Duration(c.rng.IntN(8000)) * time.Millisecond
	case p < 3*c.loss/4:
		f.Down = true
	case p < c.loss:
		f.Delay = time.Duration(c.rng.IntN(1500)) * time.Millisecond
	}
	return f
}

func (c *faultInjector) node() string { return c.nodes[c.rng.IntN(len(c.nodes))] }

// step makes one random change.
func (c *faultInjector) step() {
	c.mu.Lock()
	node, holder, choice, on := c.node(), c.node(), c.rng.IntN(9), c.rng.IntN(2) == 0
	skew := time.Duration(c.rng.IntN(120)-60) * time.Second
	switch choice {
	case 0:
		c.loss = c.rng.Float64()
	case 1:
		c.loss = 0
	case 2:
		c.down = on
	}
	c.mu.Unlock()
	switch choice {
	case 3:
		c.f.setHolder(holder)
	case 4:
		c.f.setHolder(holder, node)
	case 5:
		c.f.set(c.f.unreachable, node, on)
	case 6:
		c.f.set(c.f.losesReplies, node, on)
	case 7:
		c.f.gates[node].set(on)
	case 8:
		c.f.startWithClock(node, fewRows, func() time.Time { return time.Now().Add(skew) })
	}
}

// clearFaults ends all faults except clock skews, and makes "a" the holder in all views.
func (c *faultInjector) clearFaults() {
	c.mu.Lock()
	c.loss, c.down = 0, false
	c.mu.Unlock()
	for _, n := range c.nodes {
		c.f.set(c.f.unreachable, n, false)
		c.f.set(c.f.losesReplies, n, false)
		c.f.gates[n].set(false)
	}
	c.f.setHolder("a")
	// A node calls Refresh when its view changes. A take-over from a crashed holder takes longer than the timeout of the last
	// claims.
	c.f.servers["a"].Refresh()
}

// runCaller simulates a caller at an entry node. It claims keys of a moving window, and completes, releases or abandons
// those that are granted.
func runCaller(f *fleet, node string, rng *rand.Rand, c *checker, keys []string, name string) {
	for i := 0; i < len(keys); i++ {
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
		key, call := keys[max(0, i-rng.IntN(4))], fmt.Sprint(name, "-", i)
		ctx, cancel := context.WithTimeout(bg, time.Duration(50+rng.IntN(4000))*time.Millisecond)
		timeout := time.Duration(500+rng.IntN(5000)) * time.Millisecond
		r, err := f.client(node).Claim(ctx, Claim{Key: KeyOf("pay", key), Body: testBody, CallID: call, Timeout: timeout})
		cancel()
		c.recordClaim(key, call, r, err)
		if err != nil || r.State != Granted {
			continue
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		ctx, cancel = context.WithTimeout(bg, time.Duration(rng.IntN(3000))*time.Millisecond)
		switch rng.IntN(5) {
		case 0, 1:
			if f.client(node).Complete(ctx, KeyOf("pay", key), call, answerOf(call)) == nil {
				c.recordCompletion(key, call)
			}
		case 2, 3:
			c.recordRelease(key)
			_ = f.client(node).Release(ctx, KeyOf("pay", key), call)
		}
		cancel()
	}
}

// Guards against grants of a key to two calls, a replay of another call's answer and lost outcomes when views, connections,
// processes, clocks and the store fail together.
func TestRandomFailuresNeverGrantTwice(t *testing.T) {
	var grants, refusals, ownerless int
	for seed := range *randomRuns {
		synctest.Test(t, func(t *testing.T) {
			c, free := randomRun(t, uint64(seed))
			grants, refusals, ownerless = grants+c.grants, refusals+c.refusals, ownerless+free
		})
	}
	t.Logf("%d runs, %d grants, %d claims refused, %d keys taken without an owner", *randomRuns, grants, refusals, ownerless)
}

// randomRun runs callers under random faults and checks all keys after the faults have ended. It returns the checker and the
// number of keys that are taken although no call owns them.
func randomRun(t *testing.T, seed uint64) (*checker, int) {
	nodes := []string{"a", "b", "c"}
	f := newFleet(t, fewRows, nodes...)
	faults := &faultInjector{f: f, rng: rand.New(rand.NewPCG(seed, 0)), nodes: nodes}
	f.store.SetFault(faults.fault)
	c := &checker{owners: map[string]string{}, answers: map[string]string{}}
	keys := sameRange(80)
	var callers sync.WaitGroup
	for i := range 2 * len(nodes) {
		callers.Go(func() {
			runCaller(f, nodes[i/2], rand.New(rand.NewPCG(seed, uint64(i+1))), c, keys, fmt.Sprint("call", i))
		})
	}
	stop := make(chan struct{})
	go func() { callers.Wait(); close(stop) }()
	for running := true; running; {
		select {
		case <-stop:
			running = false
		case <-time.After(200 * time.Millisecond):
			faults.step()
		}
	}
	faults.clearFaults()
	time.Sleep(3 * time.Minute)
	ownerless := 0
	for _, k := range keys {
		r, err := f.client("b").Claim(bg, Claim{Key: KeyOf("pay", k), Body: testBody, CallID: "last", Timeout: time.Second})
		require.NoError(t, err, "seed %d key %s", seed, k)
		c.recordClaim(k, "last", r, err)
		if c.answers[k] != "" {
			require.Equal(t, Replay, r.State, "seed %d key %s: an acknowledged outcome is lost", seed, k)
		} else if c.owners[k] == "" && r.State != Granted {
			ownerless++
		}
	}
	require.Empty(t, c.violations, "seed %d", seed)
	// The claims above have started compactions. A holder counts its rows when the store has answered.
	time.Sleep(compactionTime)
	require.Len(t, f.segments(0), f.servers["a"].Dump().Ranges[0].Rows, "seed %d", seed)
	return c, ownerless
}

// compactionTime is longer than a compaction takes without faults.
const compactionTime = 10 * time.Second

// model is a reference implementation of the ledger: a map that takes only deadlines into account.
type model map[string]*struct {
	call     string
	done     bool
	deadline time.Time
}

func (m model) claim(key, call string, now time.Time, timeout time.Duration) string {
	e := m[key]
	switch {
	case e == nil:
		m[key] = &struct {
			call     string
			done     bool
			deadline time.Time
		}{call, false, now.Add(timeout)}
		return "granted"
	case e.done:
		return "replay"
	case !e.deadline.After(now):
		return "unknown"
	case e.call == call:
		return "granted"
	}
	return "in-progress"
}

// step is one operation of a generated sequence.
type step struct {
	kind, key, call, node int
	wait                  time.Duration
}

// Guards against any difference from the reference model in sequences of operations without faults, but with take-overs,
// restarts, compaction and passed deadlines.
func TestMatchesReferenceModel(t *testing.T) {
	gen := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.IntRange(0, 9).Draw(t, "kind"), key: rapid.IntRange(0, 5).Draw(t, "key"),
			call: rapid.IntRange(0, 2).Draw(t, "call"), node: rapid.IntRange(0, 1).Draw(t, "node"),
			wait: time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait ms"))*time.Millisecond + 500*time.Microsecond,
		}
	}), 1, 80)
	rapid.Check(t, func(rt *rapid.T) {
		steps := gen.Draw(rt, "steps")
		difference := ""
		synctest.Test(t, func(t *testing.T) { difference = replaySteps(t, steps) })
		if difference != "" {
			rt.Fatal(difference)
		}
	})
}

// replaySteps runs the steps on a fleet and on the model. It returns the first difference, or "".
func replaySteps(t *testing.T, steps []step) string {
	f, m, keys := newFleet(t, fewRows, "a", "b"), model{}, sameRange(6)
	// A call id must not be used again after a release, so each release starts a new generation of ids.
	generation := 0
	for i, s := range steps {
		time.Sleep(s.wait)
		node, key := []string{"a", "b"}[s.node], keys[s.key]
		call := fmt.Sprint("call", s.call, "-", generation)
		e := m[key]
		switch {
		case s.kind < 5:
			want := m.claim(key, call, time.Now(), 10*time.Second)
			if got := f.claim(node, key, call); got != want {
				return fmt.Sprintf("step %d: claim of %s by %s is %s, not %s", i, key, call, got, want)
			}
		case s.kind == 5 && e != nil && !e.done:
			if err := f.complete(node, key, e.call, "done"); err != nil {
				return fmt.Sprintf("step %d: complete: %v", i, err)
			}
			e.done = true
		case s.kind == 6 && e != nil && !e.done:
			if err := f.release(node, key, e.call); err != nil {
				return fmt.Sprintf("step %d: release: %v", i, err)
			}
			delete(m, key)
			generation++
		case s.kind == 7:
			f.setHolder(node)
		case s.kind == 8:
			f.start(node, fewRows)
		}
	}
	return ""
}
