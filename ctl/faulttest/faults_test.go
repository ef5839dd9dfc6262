//go:build linux

package faulttest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/client"
	"github.com/radishstand/radishstand/node/platformtest"
)

const fleetSize = 8

// Guards against a second run or a false not-run when a node dies with calls and ledger ranges in its hands.
func TestKilledNodeIsReplacedUnderLoad(t *testing.T) {
	f := newFleet(t, fleetSize)
	stop := f.load(1)
	time.Sleep(500 * time.Millisecond)
	for _, i := range []int{0, 4} {
		f.nodes[i].kill()
		time.Sleep(1500 * time.Millisecond)
		f.nodes[i].start()
		time.Sleep(300 * time.Millisecond)
	}
	stop()
	f.settle()
}

// Guards against a holder of ledger ranges that wakes up and does not know that others hold its ranges.
func TestPausedHolderWakesUpAfterItsRangesWereTakenOver(t *testing.T) {
	f := newFleet(t, fleetSize)
	stop := f.load(2)
	time.Sleep(time.Second)
	paused, other := f.nodes[3], f.nodes[0]
	paused.pause()
	other.await("takes the paused node for dead", func() bool {
		s, _ := other.status()
		return s.MembersByState["dead"] == 1
	})
	time.Sleep(time.Second)
	paused.resume()
	var repeats sync.WaitGroup
	for key := range f.calls.copyOfKeys() {
		repeats.Go(func() { f.do(paused, http.MethodPost, "crews", key) })
	}
	repeats.Wait()
	stop()
	f.settle()
}

// Guards against a place that stops to serve while it is cut off, and against sides that differ after a cut.
func TestPlacesThatAreCutOffGoOnAndAgreeAfterwards(t *testing.T) {
	f := newFleet(t, fleetSize)
	stop := f.load(3)
	direct := direction{"danang", "hoian"}
	far := direction{"danang", "hue"}
	for _, c := range []struct {
		condition  condition
		directions []direction
	}{
		{condition{cut: true}, []direction{direct, direct.back()}},
		{condition{frozen: true}, []direction{direct, direct.back(), far, far.back()}},
	} {
		time.Sleep(500 * time.Millisecond)
		f.network.set(c.condition, c.directions...)
		since := time.Now()
		time.Sleep(4 * time.Second)
		counts := f.counts(since)
		f.network.heal()
		t.Logf("during %+v: %v", c.condition, counts)
		for _, place := range places {
			assert.NotZero(t, counts[place+" GET run"], "reads at %s during %+v", place, c.condition)
			assert.NotZero(t, counts[place+" POST run"], "unkeyed work at %s during %+v", place, c.condition)
		}
	}
	stop()
	f.settle()
}

// Guards against callers that wait for ever, and second runs, when packets in one direction vanish without a reset.
func TestLinkThatIsFrozenInOneDirection(t *testing.T) {
	f := newFleet(t, fleetSize)
	stop := f.load(4)
	for _, d := range []direction{{"danang", "hoian"}, {"hue", "danang"}} {
		time.Sleep(500 * time.Millisecond)
		f.network.set(condition{frozen: true}, d)
		since := time.Now()
		time.Sleep(4 * time.Second)
		t.Logf("while %v was frozen: %v", d, f.counts(since))
		f.network.heal()
	}
	stop()
	f.settle()
}

// Guards against settings and keys whose writes took effect although nobody heard so.
func TestStoreFailsWhileOperatorsRace(t *testing.T) {
	f := newFleet(t, fleetSize)
	stop := f.load(5)
	operators := f.race(5)
	random := newFaults(5)
	for _, fault := range []func(platformtest.Operation) platformtest.Fault{random.slow, random.lost, random.down, random.late} {
		time.Sleep(400 * time.Millisecond)
		f.disturbStore(fault)
		time.Sleep(1500 * time.Millisecond)
		f.disturbStore(nil)
	}
	operators()
	stop()
	f.settle()
}

// Guards against a place that comes up without settings or members, or with a lower version than others have, when the
// table cannot tell them.
func TestPlaceIsReplacedWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t, fleetSize)
	stop := f.load(6)
	time.Sleep(time.Second)
	require.NoError(t, f.submit(f.nodes[1], operator.Change{
		ID: "late", Author: "test", BaseVersion: f.accepted.Load(), Edits: []settings.Edit{settings.Set("defaults.retry.maxPerCall", number(1))},
	}))
	f.disturbStore(newFaults(6).down)
	replaced := []*node{f.nodes[0], f.nodes[3], f.nodes[6]}
	var ends sync.WaitGroup
	for _, n := range replaced {
		ends.Go(n.kill)
	}
	ends.Wait()
	time.Sleep(time.Second)
	for _, n := range replaced {
		n.start()
	}
	for _, n := range replaced {
		n.await("serves without the store", func() bool { return f.do(n, http.MethodGet, "quotes", "").outcome == contract.OutcomeRun })
	}
	f.disturbStore(nil)
	stop()
	f.settle()
}

// Guards against calls in progress that a planned stop cuts off, at the node of their entry and beside their server.
func TestPlannedStopsBreakNoCallInProgress(t *testing.T) {
	f := newFleet(t, fleetSize)
	stop := f.load(8)
	for _, i := range []int{1, 5} {
		time.Sleep(500 * time.Millisecond)
		f.nodes[i].stop()
		f.nodes[i].start()
	}
	stop()
	for _, c := range f.calls.all {
		broken := c.err != nil && f.runs(c.token) > 0
		if broken || c.key == "" && c.outcome == contract.OutcomeUnknown {
			f.violated(c.key, "a planned stop broke a call, %d runs: %s", f.runs(c.token), c)
		}
	}
	f.settle()
}

// Guards against faults that only come from several failures together.
func TestRandomMixtureOfFailures(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFleet(t, fleetSize)
			stop := f.load(seed)
			operators := f.race(seed)
			f.disturb(rand.New(rand.NewPCG(seed, 100)), 8*time.Second)
			operators()
			stop()
			f.settle()
		})
	}
}

// disturb brings about failures at random, at most two nodes at a time, and heals everything at the end.
func (f *fleet) disturb(random *rand.Rand, d time.Duration) {
	store := newFaults(random.Uint64())
	var away []*node
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond) {
		link := direction{places[random.IntN(3)], places[random.IntN(3)]}
		n := f.any(random)
		what := random.IntN(10)
		f.t.Logf("%s event %d: %v %s", time.Now().Format("05.000"), what, link, n)
		switch {
		case what < 3 && n.running() && len(away) < 2:
			away = append(away, n)
			[]func(){n.kill, n.pause, n.stop}[what]()
		case what < 6 && len(away) > 0:
			away[0].restore()
			away = away[1:]
		case what == 6 && link.from != link.to:
			f.network.set([]condition{{cut: true}, {frozen: true}, {delay: 50 * time.Millisecond}}[random.IntN(3)], link)
		case what == 7:
			f.network.heal()
		case what == 8:
			f.disturbStore([]func(platformtest.Operation) platformtest.Fault{store.slow, store.lost, store.down, store.late}[random.IntN(4)])
		default:
			f.disturbStore(nil)
		}
	}
	for _, n := range away {
		n.restore()
	}
	f.network.heal()
	f.disturbStore(nil)
}

// race lets two operators edit the same setting until the returned function is called, which then checks the history.
func (f *fleet) race(seed uint64) (stop func()) {
	done, running := make(chan struct{}), sync.WaitGroup{}
	var mu sync.Mutex
	results := map[string]error{}
	for i := range 2 {
		random := rand.New(rand.NewPCG(seed, uint64(200+i)))
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(random.IntN(300)) * time.Millisecond):
				}
				node := f.any(random)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				base, _, err := node.operators.Tree(ctx, 0)
				cancel()
				if err != nil || base == 0 {
					continue
				}
				change := operator.Change{ID: fmt.Sprintf("change-%d-%d", i, n), Author: "test", BaseVersion: base, Edits: []settings.Edit{
					settings.Set("defaults.call.maxBodyBytes", number(1_000_000+1000*n+i)),
				}}
				err = f.submit(node, change)
				mu.Lock()
				results[change.ID] = err
				mu.Unlock()
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
		f.checkHistory(results)
	}
}

// checkHistory checks that accepted changes are in the history once, refused ones are not, and that no change went over
// one that its author had not seen.
func (f *fleet) checkHistory(results map[string]error) {
	var history []operator.Version
	f.nodes[1].await("shows the history", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return f.nodes[1].operators.Get(ctx, operator.PathHistory, url.Values{"after": {"0"}, "limit": {"500"}}, &history) == nil &&
			len(history) > 0 && history[len(history)-1].Version >= f.accepted.Load()
	})
	found := map[string]int{}
	for i, v := range history {
		found[v.ChangeID]++
		assert.Equal(f.t, int64(i+1), v.Version, "versions follow one another")
	}
	accepted, conflicts, doubtful := 0, 0, 0
	for id, err := range results {
		switch {
		case err == nil:
			accepted++
			assert.Equal(f.t, 1, found[id], "accepted change %s in the history", id)
		case errors.Is(err, client.ErrUnknownOutcome):
			doubtful++
			assert.LessOrEqual(f.t, found[id], 1, "change %s in the history", id)
		default:
			conflicts++
			assert.Zero(f.t, found[id], "refused change %s in the history: %v", id, err)
		}
	}
	f.t.Logf("settings: %d accepted, %d refused, %d in doubt, version %d", accepted, conflicts, doubtful, f.accepted.Load())
	assert.NotZero(f.t, accepted)
}

// faults are random faults of the store, from a seed.
type faults struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newFaults(seed uint64) *faults { return &faults{random: rand.New(rand.NewPCG(seed, 300))} }

func (s *faults) upTo(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *faults) down(platformtest.Operation) platformtest.Fault {
	return platformtest.Fault{Down: true}
}

func (s *faults) slow(platformtest.Operation) platformtest.Fault {
	return platformtest.Fault{Delay: time.Duration(s.upTo(1500)) * time.Millisecond}
}

func (s *faults) lost(platformtest.Operation) platformtest.Fault {
	return platformtest.Fault{LoseAnswer: s.upTo(2) == 0, LoseRequest: s.upTo(4) == 0}
}

func (s *faults) late(platformtest.Operation) platformtest.Fault {
	return platformtest.Fault{LateEffect: time.Duration(max(0, s.upTo(1500)-500)) * time.Millisecond}
}
