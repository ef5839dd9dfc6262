//go:build linux

package faulttest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/platformtest"
)

// Guards against a second run or a false not-run when a node is killed while it has calls in progress and holds ledger
// ranges.
func TestKilledNodeIsReplacedUnderLoad(t *testing.T) {
	f := newFleet(t)
	stop := f.startLoad(1)
	for _, n := range []*node{f.nodes[0], f.nodes[4]} {
		time.Sleep(500 * time.Millisecond)
		n.signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		n.restore()
	}
	stop()
	f.checkConvergence()
}

// Guards against a resumed holder that still acts as owner of its ledger ranges: others took them over during its pause.
func TestPausedHolderResumesAfterTakeOver(t *testing.T) {
	f := newFleet(t)
	stop := f.startLoad(2)
	time.Sleep(time.Second)
	paused := f.nodes[3]
	paused.signal(syscall.SIGSTOP)
	f.await("another node reports the paused node dead", func() bool { return f.nodes[0].status().MembersByState["dead"] == 1 })
	time.Sleep(time.Second)
	f.mu.Lock()
	var repeats sync.WaitGroup
	for key := range f.keys {
		repeats.Go(func() { f.call(paused, http.MethodPost, "crews", key) })
	}
	paused.restore()
	f.mu.Unlock()
	repeats.Wait()
	stop()
	f.checkConvergence()
}

// Guards against a place that stops serving during a network partition, and against sides that still differ after it.
func TestPartitionedPlacesKeepServingAndConverge(t *testing.T) {
	f := newFleet(t)
	stop := f.startLoad(3)
	near, far := direction{"danang", "hoian"}, direction{"danang", "hue"}
	cut, stalled := condition{cut: true}, condition{stalled: true}
	for _, c := range []struct {
		name       string
		conditions map[direction]condition
	}{
		{"two places partitioned from each other", map[direction]condition{near: cut, near.reverse(): cut}},
		{"a place whose traffic stalls", map[direction]condition{
			near: stalled, near.reverse(): stalled, far: stalled, far.reverse(): stalled,
		}},
	} {
		f.awaitAgreement()
		f.network.set(c.conditions)
		since := time.Now()
		f.await(c.name+" is detected", func() bool {
			return slices.Contains(f.nodes[0].status().Unreachable, "hoian") && slices.Contains(f.nodes[1].status().Unreachable, "danang")
		})
		time.Sleep(time.Second)
		counts := f.countCalls(since)
		f.network.set(nil)
		t.Logf("%s, %s: %v", c.name, time.Since(since), counts)
		for _, place := range places {
			assert.NotZero(t, counts[place+" GET run"], "reads at %s: %s", place, c.name)
			assert.NotZero(t, counts[place+" POST run"], "unkeyed work at %s: %s", place, c.name)
		}
	}
	stop()
	f.checkConvergence()
}

// Guards against callers that wait forever, and against second runs, when traffic in one direction stops without a reset.
func TestLinkStalledInOneDirection(t *testing.T) {
	f := newFleet(t)
	stop := f.startLoad(4)
	for _, d := range []direction{{"danang", "hoian"}, {"hue", "danang"}} {
		time.Sleep(500 * time.Millisecond)
		f.network.set(map[direction]condition{d: {stalled: true}})
		since := time.Now()
		time.Sleep(3 * time.Second)
		t.Logf("%v stalled: %v", d, f.countCalls(since))
		f.network.set(nil)
	}
	stop()
	f.checkConvergence()
}

// Guards against wrong outcomes of settings changes and keyed calls when a write takes effect although its answer is lost.
func TestStoreFaultsDuringConcurrentEdits(t *testing.T) {
	f := newFleet(t)
	stop, stopEdits := f.startLoad(5), f.startEdits(5)
	for _, fault := range storeFaultModes(5) {
		time.Sleep(300 * time.Millisecond)
		f.setStoreFault(fault)
		time.Sleep(1200 * time.Millisecond)
		f.setStoreFault(nil)
	}
	stopEdits()
	stop()
	f.checkConvergence()
}

// Guards against a replaced place that serves without settings, members or its share of the work because the table is
// unavailable.
func TestPlaceIsReplacedWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t)
	stop := f.startLoad(6)
	time.Sleep(time.Second)
	require.NoError(t, f.submit(f.nodes[1], "late", f.accepted.Load(), []settings.Edit{settings.Set("defaults.retry.maxPerCall", []byte("1"))}))
	f.setStoreFault(storeDown)
	replaced := []*node{f.nodes[0], f.nodes[3], f.nodes[6]}
	for _, n := range replaced {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	for _, n := range replaced {
		n.restore()
	}
	for _, n := range replaced {
		f.await(n.String()+" serves without the store", func() bool {
			return f.call(n, http.MethodGet, "quotes", "").outcome == contract.OutcomeRun
		})
	}
	f.setStoreFault(nil)
	stop()
	f.checkConvergence()
}

// Guards against a planned stop that cuts off calls in progress, at their entry node or at the node beside their server.
func TestPlannedStopsBreakNoCallInProgress(t *testing.T) {
	f := newFleet(t)
	stop := f.startLoad(7)
	for _, n := range []*node{f.nodes[1], f.nodes[5]} {
		time.Sleep(300 * time.Millisecond)
		n.signal(syscall.SIGTERM)
		n.restore()
	}
	stop()
	for _, c := range f.calls {
		if ran := f.runs(c.token) > 0; c.err != nil && ran || c.key == "" && c.outcome == contract.OutcomeUnknown {
			f.reportViolation(c, "a planned stop broke a call")
		}
	}
	f.checkConvergence()
}

// Guards against faults that need several failures at once.
func TestRandomMixtureOfFailures(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFleet(t)
			stop, stopEdits := f.startLoad(seed), f.startEdits(seed)
			f.injectFailures(rand.New(rand.NewPCG(seed, 100)), 5*time.Second)
			stopEdits()
			stop()
			f.checkConvergence()
		})
	}
}

// injectFailures causes random failures for the duration d, with at most two nodes down or paused at a time. It removes
// all faults at the end.
func (f *fleet) injectFailures(random *rand.Rand, d time.Duration) {
	var disturbed []*node
	network, storeModes := map[direction]condition{}, storeFaultModes(random.Uint64())
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond) {
		event, n, choice := random.IntN(10), f.randomNode(random), random.IntN(4)
		link := direction{places[random.IntN(3)], places[random.IntN(3)]}
		f.t.Logf("%s event %d: %s, choice %d, %v", time.Now().Format("05.000"), event, n, choice, link)
		switch {
		case event < 3 && n.running() && len(disturbed) < 2:
			n.signal([]syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGTERM}[event])
			disturbed = append(disturbed, n)
		case event < 5 && len(disturbed) > 0:
			disturbed[0].restore()
			disturbed = disturbed[1:]
		case event < 7 && link.from != link.to:
			network[link] = []condition{{cut: true}, {stalled: true}, {delay: 50 * time.Millisecond}, {}}[choice]
			f.network.set(maps.Clone(network))
		case event == 8:
			f.setStoreFault(storeModes[choice])
		default:
			clear(network)
			f.network.set(nil)
			f.setStoreFault(nil)
		}
	}
	for _, n := range disturbed {
		n.restore()
	}
	f.network.set(nil)
	f.setStoreFault(nil)
}

// startEdits lets two operators edit the same setting until the returned function is called, which also checks the
// history.
func (f *fleet) startEdits(seed uint64) (stop func()) {
	done, running := make(chan struct{}), sync.WaitGroup{}
	bases, results := map[string]int64{}, map[string]error{}
	for i := range 2 {
		random := rand.New(rand.NewPCG(seed, uint64(200+i)))
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(random.IntN(300)) * time.Millisecond):
				}
				at, id := f.randomNode(random), fmt.Sprintf("change-%d-%d", i, n)
				base := at.status().SettingsVersion
				if base == 0 {
					continue
				}
				value := fmt.Append(nil, 1_000_000+2*n+i)
				err := f.submit(at, id, base, []settings.Edit{settings.Set("defaults.call.maxBodyBytes", value)})
				f.mu.Lock()
				bases[id], results[id] = base, err
				f.mu.Unlock()
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
		f.checkHistory(bases, results)
	}
}

func storeDown(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} }

// storeFaultModes returns the faults of the store: down, slow, answers or requests of writes lost, and writes that take
// effect late. Delays and losses are drawn for each operation from a random generator with the seed.
func storeFaultModes(seed uint64) []func(platformtest.Operation) platformtest.Fault {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 300))
	upTo := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	return []func(platformtest.Operation) platformtest.Fault{
		storeDown,
		func(platformtest.Operation) platformtest.Fault {
			return platformtest.Fault{Delay: time.Duration(upTo(1500)) * time.Millisecond}
		},
		func(platformtest.Operation) platformtest.Fault {
			return platformtest.Fault{LoseAnswer: upTo(2) == 0, LoseRequest: upTo(4) == 0}
		},
		func(platformtest.Operation) platformtest.Fault {
			return platformtest.Fault{LateEffect: time.Duration(upTo(1500)-500) * time.Millisecond}
		},
	}
}
