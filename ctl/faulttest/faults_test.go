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

// Guards against a second run or a false not-run when a node dies with calls and ledger ranges in its hands.
func TestKilledNodeIsReplacedUnderLoad(t *testing.T) {
	f := newFleet(t)
	stop := f.load(1)
	for _, n := range []*node{f.nodes[0], f.nodes[4]} {
		time.Sleep(500 * time.Millisecond)
		n.signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		n.restore()
	}
	stop()
	f.settle()
}

// Guards against a holder of ledger ranges that wakes up and does not know that others hold its ranges.
func TestPausedHolderWakesUpAfterItsRangesWereTakenOver(t *testing.T) {
	f := newFleet(t)
	stop := f.load(2)
	time.Sleep(time.Second)
	paused := f.nodes[3]
	paused.signal(syscall.SIGSTOP)
	f.await("the paused node is dead for another", func() bool { return f.nodes[0].status().MembersByState["dead"] == 1 })
	time.Sleep(time.Second)
	f.mu.Lock()
	var repeats sync.WaitGroup
	for key := range f.keys {
		repeats.Go(func() { f.do(paused, http.MethodPost, "crews", key) })
	}
	paused.restore()
	f.mu.Unlock()
	repeats.Wait()
	stop()
	f.settle()
}

// Guards against a place that stops serving while it is cut off, and against sides that differ after a cut.
func TestPlacesThatAreCutOffGoOnAndAgreeAfterwards(t *testing.T) {
	f := newFleet(t)
	stop := f.load(3)
	near, far := direction{"danang", "hoian"}, direction{"danang", "hue"}
	cut, frozen := condition{cut: true}, condition{frozen: true}
	for _, c := range []struct {
		name       string
		conditions map[direction]condition
	}{
		{"two places cut off from each other", map[direction]condition{near: cut, near.back(): cut}},
		{"a place whose packets vanish", map[direction]condition{near: frozen, near.back(): frozen, far: frozen, far.back(): frozen}},
	} {
		f.awaitAgreement()
		f.network.set(c.conditions)
		since := time.Now()
		f.await(c.name+" is noticed", func() bool {
			return slices.Contains(f.nodes[0].status().Unreachable, "hoian") && slices.Contains(f.nodes[1].status().Unreachable, "danang")
		})
		time.Sleep(time.Second)
		counts := f.counts(since)
		f.network.set(nil)
		t.Logf("%s, %s: %v", c.name, time.Since(since), counts)
		for _, place := range places {
			assert.NotZero(t, counts[place+" GET run"], "reads at %s: %s", place, c.name)
			assert.NotZero(t, counts[place+" POST run"], "unkeyed work at %s: %s", place, c.name)
		}
	}
	stop()
	f.settle()
}

// Guards against callers that wait for ever, and second runs, when packets in one direction vanish without a reset.
func TestLinkThatIsFrozenInOneDirection(t *testing.T) {
	f := newFleet(t)
	stop := f.load(4)
	for _, d := range []direction{{"danang", "hoian"}, {"hue", "danang"}} {
		time.Sleep(500 * time.Millisecond)
		f.network.set(map[direction]condition{d: {frozen: true}})
		since := time.Now()
		time.Sleep(3 * time.Second)
		t.Logf("%v frozen: %v", d, f.counts(since))
		f.network.set(nil)
	}
	stop()
	f.settle()
}

// Guards against settings and keys whose writes took effect although their answers were lost.
func TestStoreFailsWhileOperatorsRace(t *testing.T) {
	f := newFleet(t)
	stop, stopOperators := f.load(5), f.race(5)
	for _, fault := range storeFaults(5) {
		time.Sleep(300 * time.Millisecond)
		f.disturbStore(fault)
		time.Sleep(1200 * time.Millisecond)
		f.disturbStore(nil)
	}
	stopOperators()
	stop()
	f.settle()
}

// Guards against a place that comes up without settings, members or its part of the work when the table cannot tell them.
func TestPlaceIsReplacedWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t)
	stop := f.load(6)
	time.Sleep(time.Second)
	require.NoError(t, f.submit(f.nodes[1], "late", f.accepted.Load(), []settings.Edit{settings.Set("defaults.retry.maxPerCall", []byte("1"))}))
	f.disturbStore(down)
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
			return f.do(n, http.MethodGet, "quotes", "").outcome == contract.OutcomeRun
		})
	}
	f.disturbStore(nil)
	stop()
	f.settle()
}

// Guards against calls in progress that a planned stop cuts off, at the node of their entry and beside their server.
func TestPlannedStopsBreakNoCallInProgress(t *testing.T) {
	f := newFleet(t)
	stop := f.load(7)
	for _, n := range []*node{f.nodes[1], f.nodes[5]} {
		time.Sleep(300 * time.Millisecond)
		n.signal(syscall.SIGTERM)
		n.restore()
	}
	stop()
	for _, c := range f.calls {
		if ran := f.runs(c.token) > 0; c.err != nil && ran || c.key == "" && c.outcome == contract.OutcomeUnknown {
			f.violated(c, "a planned stop broke a call")
		}
	}
	f.settle()
}

// Guards against faults that only come from several failures together.
func TestRandomMixtureOfFailures(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFleet(t)
			stop, stopOperators := f.load(seed), f.race(seed)
			f.disturb(rand.New(rand.NewPCG(seed, 100)), 5*time.Second)
			stopOperators()
			stop()
			f.settle()
		})
	}
}

// disturb brings about failures at random, with at most two nodes away at a time, and heals everything at the end.
func (f *fleet) disturb(random *rand.Rand, d time.Duration) {
	var away []*node
	network, store := map[direction]condition{}, storeFaults(random.Uint64())
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond) {
		event, n, choice := random.IntN(10), f.any(random), random.IntN(4)
		link := direction{places[random.IntN(3)], places[random.IntN(3)]}
		f.t.Logf("%s event %d: %s, choice %d, %v", time.Now().Format("05.000"), event, n, choice, link)
		switch {
		case event < 3 && n.running() && len(away) < 2:
			n.signal([]syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGTERM}[event])
			away = append(away, n)
		case event < 5 && len(away) > 0:
			away[0].restore()
			away = away[1:]
		case event < 7 && link.from != link.to:
			network[link] = []condition{{cut: true}, {frozen: true}, {delay: 50 * time.Millisecond}, {}}[choice]
			f.network.set(maps.Clone(network))
		case event == 8:
			f.disturbStore(store[choice])
		default:
			clear(network)
			f.network.set(nil)
			f.disturbStore(nil)
		}
	}
	for _, n := range away {
		n.restore()
	}
	f.network.set(nil)
	f.disturbStore(nil)
}

// race lets two operators edit the same setting until the returned function is called, which also checks the history.
func (f *fleet) race(seed uint64) (stop func()) {
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
				at, id := f.any(random), fmt.Sprintf("change-%d-%d", i, n)
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

func down(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} }

// storeFaults returns the faults of the store: down, slow, answers or requests of writes lost, and writes that take
// effect late. Each operation has its own luck, from a seed.
func storeFaults(seed uint64) []func(platformtest.Operation) platformtest.Fault {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 300))
	upTo := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	return []func(platformtest.Operation) platformtest.Fault{
		down,
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
