package choice_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/choice"
)

// byShare is the policy of the Leaver; the others are baselines.
func byShare(e *worldEntry, candidates []choice.Candidate, call choice.Call) choice.Decision {
	return e.leaver.Pick(candidates, call)
}

func alwaysHome(_ *worldEntry, candidates []choice.Candidate, call choice.Call) choice.Decision {
	home := slices.Clone(candidates)
	any := false
	for i, c := range home {
		home[i].Suspect = c.Suspect || !c.SamePlace
		any = any || c.SamePlace
	}
	if !any {
		return choice.Decision{Index: -1}
	}
	call.RouteBytes = math.MaxInt32
	i := choice.Pick(home, call)
	return choice.Decision{Index: i, Redirect: 10 * time.Millisecond, Stay: !home[i].SamePlace || home[i].Refused}
}

func leastAnywhere(_ *worldEntry, candidates []choice.Candidate, call choice.Call) choice.Decision {
	all := slices.Clone(candidates)
	for i := range all {
		all[i].SamePlace = false
	}
	return choice.Decision{Index: choice.Pick(all, call), Redirect: 10 * time.Millisecond, Stay: len(all) == 1}
}

func fixedPenalty(_ *worldEntry, candidates []choice.Candidate, call choice.Call) choice.Decision {
	i := choice.Pick(candidates, call)
	d := choice.Decision{Index: i, Redirect: 10 * time.Millisecond, Stay: len(candidates) == 1}
	if i >= 0 && candidates[i].SamePlace && !slices.ContainsFunc(candidates, func(c choice.Candidate) bool { return c.SamePlace && c != candidates[i] }) {
		d.Redirect += call.TransferPenalty()
	}
	return d
}

// scenario changes a world before it runs.
type scenario struct {
	name  string
	apply func(w *world)
}

var scenarios = []scenario{
	{"waves", func(*world) {}},
	{"crowded", func(w *world) { w.demand = wave(110) }},
	{"overload", func(w *world) { w.demand = wave(175) }},
	{"lost", func(w *world) { // place 1 with its callers
		whole := w.demand
		w.demand = func(place int, at time.Duration) float64 {
			if place == 1 && at > 20*time.Second && at < 40*time.Second {
				return 0
			}
			return whole(place, at)
		}
		w.setDown(1, 20*time.Second, true)
		w.setDown(1, 40*time.Second, false)
	}},
	{"evacuated", func(w *world) {
		w.setDown(1, 20*time.Second, true)
		w.setDown(1, 40*time.Second, false)
	}},
	{"cold", func(w *world) {
		for _, s := range w.servers {
			if s.place == 1 {
				w.after(20*time.Second, func() { s.coldUntil = 23 * time.Second })
				w.after(40*time.Second, func() { s.coldUntil = 43 * time.Second })
			}
		}
	}},
	{"slow", func(w *world) {
		for _, s := range w.servers {
			if s.place == 1 {
				w.after(20*time.Second, func() { s.slow = 3 })
				w.after(40*time.Second, func() { s.slow = 1 })
			}
		}
	}},
}

func (w *world) setDown(place int, at time.Duration, down bool) {
	for _, s := range w.servers {
		if s.place == place {
			w.after(at, func() { s.down = down })
		}
	}
}

// Guards against calls that stay although another place would answer them in time, and against bytes between places that save nothing.
func TestLeavingAgainstBaselines(t *testing.T) {
	policies := []struct {
		name string
		pick worldPolicy
	}{{"always home", alwaysHome}, {"least estimate", leastAnywhere}, {"fixed penalty", fixedPenalty}, {"share", byShare}}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			results := map[string]*worldResult{}
			for _, p := range policies {
				w := newWorld(7, p.pick)
				w.demand = wave(75)
				s.apply(w)
				r := w.run(65 * time.Second)
				results[p.name] = r
				t.Logf("%-10s %-15s p50 %5v p99 %6v in time %.4f valuable %.4f failed %5d of %d MB %6.1f refused away %d", s.name, p.name, r.quantile(0.5),
					r.quantile(0.99), r.inTimeShare(), float64(r.valuableInTime)/float64(r.valuable), r.failed, r.calls, float64(r.bytes)/1e6, r.refusedAway)
			}
			checkAgainstBaselines(t, results)
		})
	}
}

// checkAgainstBaselines checks that the share lets about as many calls meet their objective as the least estimate anywhere does, or more
// where all places are short of room, with a fraction of the bytes.
func checkAgainstBaselines(t *testing.T, results map[string]*worldResult) {
	share, least, home := results["share"], results["least estimate"], results["always home"]
	assert.Greater(t, share.inTimeShare(), home.inTimeShare())
	assert.Greater(t, share.inTimeShare(), least.inTimeShare()-0.01)
	assert.Greater(t, share.inTimeShare(), results["fixed penalty"].inTimeShare()-0.005)
	assert.Less(t, share.bytes, least.bytes*3/4)
	assert.Greater(t, float64(share.valuableInTime)/float64(share.valuable), 0.98, "the most valuable calls")
}

// leavingRate returns the part of the calls of place 0 that left for one of the given places from one second to another.
func (w *world) leavingRate(from, to int, places ...int) float64 {
	left, all := 0, 0
	for second := from; second < to; second++ {
		if counts := w.left[second]; counts != nil {
			all += counts[3]
			for _, place := range places {
				left += counts[place]
			}
		}
	}
	return float64(left) / float64(max(all, 1))
}

// Guards against calls that oscillate between home and other places, or from one other place to the next, after a step of the demand, and
// against calls that stay away although home has room again.
func TestLeavingIsStableAfterAStep(t *testing.T) {
	const stepUp, stepDown, settle = 20, 80, 10
	w := newWorld(3, byShare)
	changes := w.countChanges()
	w.demand = func(place int, at time.Duration) float64 {
		switch {
		case place != 0:
			return 60
		case at < stepUp*time.Second || at >= stepDown*time.Second:
			return 35
		}
		return 120 // twice what the server at home can do
	}
	w.run(100 * time.Second)
	assert.Less(t, w.leavingRate(5, stepUp, 1, 2), 0.05, "before the step")
	mean := w.leavingRate(stepUp+settle, stepDown, 1, 2)
	first := w.leavingRate(stepUp+settle, stepDown, 1) / mean
	assert.InDelta(t, 0.5, mean, 0.07, "what home cannot do")
	for second := stepUp + settle; second < stepDown; second += 5 {
		now := w.leavingRate(second, second+5, 1, 2)
		toFirst := w.leavingRate(second, second+5, 1) / now
		t.Logf("%d s: leaving %.3f, of that to place 1 %.3f", second, now, toFirst)
		assert.InDelta(t, mean, now, 0.08, "share that leaves from %d s on", second)
		assert.InDelta(t, first, toFirst, 0.15, "part of place 1 from %d s on", second)
	}
	assert.Less(t, w.leavingRate(stepDown+settle, 100, 1, 2), 0.05, "after the step back")
	t.Logf("mean %.3f, after the step back %.3f, changes %d", mean, w.leavingRate(stepDown+settle, 100, 1, 2), *changes)
	assert.LessOrEqual(t, *changes, 4*2*worldEntries/3, "each entry node begins and stops at most twice for each of two places")
}

// countChanges counts how often entry nodes of place 0 start and stop sending calls away.
func (w *world) countChanges() *int {
	changes := 0
	for _, e := range w.entries {
		if e.place == 0 {
			e.leaver = choice.NewLeaver(choice.LeaverConfig{
				Now: func() time.Time { return worldEpoch.Add(w.now) }, Random: w.random.Float64,
				Changed: func(string, string, bool, float64) { changes++ },
			})
		}
	}
	return &changes
}

// busyHome returns the candidates of a service with two full servers at home, which have a queue, and an idle server in each other place.
func busyHome(queue int) []choice.Candidate {
	full := server(queued(queue))
	second := server(queued(queue))
	near, far := remote(nil), remote(nil)
	near.Place, far.Place = "b", "c"
	return []choice.Candidate{full, second, near, far}
}

// Guards against entry nodes that all leave at once, or for the same place, since they see the same reports.
func TestEntryNodesDoNotMoveTogether(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := worldEpoch
	nodes := make([]*choice.Leaver, 29)
	for i := range nodes {
		nodes[i] = choice.NewLeaver(choice.LeaverConfig{Now: func() time.Time { return now }, Random: random.Float64})
	}
	leavers, lastShare := map[int]int{}, 0.0
	for round := range 10 {
		left := 0
		for _, n := range nodes {
			if i := n.Pick(busyHome(40), call).Index; i >= 2 {
				left++
				leavers[i]++
			}
		}
		share := float64(left) / float64(len(nodes))
		assert.LessOrEqual(t, share, lastShare+0.35, "round %d: a step of 0.2, and the spread of 29 draws", round)
		lastShare = share
		now = now.Add(300 * time.Millisecond)
	}
	assert.Greater(t, lastShare, 0.3, "after 3 s")
	total := float64(leavers[2] + leavers[3])
	assert.InDelta(t, 0.5, float64(leavers[2])/total, 0.15, "places with equal room")
}

// newTestLeaver returns a Leaver with the time in now and a fixed seed.
func newTestLeaver(now *time.Time) *choice.Leaver {
	random := rand.New(rand.NewPCG(1, 2))
	return choice.NewLeaver(choice.LeaverConfig{Now: func() time.Time { return *now }, Random: random.Float64})
}

// Guards against valuable calls that leave although the queue at home starts them first.
func TestWhichCallsLeave(t *testing.T) {
	now := worldEpoch
	leaver := newTestLeaver(&now)
	valuable, other := call, call
	valuable.Rank, other.Rank = 0, 1
	left := map[uint32]int{}
	for i := range 600 {
		of := other
		if i%6 == 0 {
			of = valuable
		}
		if leaver.Pick(busyHome(5), of).Index >= 2 {
			left[of.Rank]++
		}
		now = now.Add(50 * time.Millisecond)
	}
	assert.Greater(t, left[1], 250, "of 500")
	assert.Less(t, left[0], 20, "of 100")
}

// Guards against calls that leave for a place without room, and calls that are redirected again and again where no other place has room.
func TestCallsLeaveOnlyForPlacesWithRoom(t *testing.T) {
	other := call
	other.Rank = 1
	full := busyHome(20)
	for i := range full[2:] {
		full[2+i].InProgress = 10
	}
	now := worldEpoch
	leaver := newTestLeaver(&now)
	for range 100 {
		assert.Less(t, leaver.Pick(full, other).Index, 2, "no place has room")
		now = now.Add(50 * time.Millisecond)
	}
	full[0].Refused, full[1].Refused = true, true
	decision := leaver.Pick(full, other)
	assert.Less(t, decision.Index, 2)
	assert.True(t, decision.Stay)
	refused := busyHome(0)
	refused[0].Refused, refused[1].Refused = true, true
	decision = leaver.Pick(refused, other)
	assert.GreaterOrEqual(t, decision.Index, 2, "redirected, and others have room")
	assert.Equal(t, 10*time.Millisecond, decision.Redirect)
	for i := range full {
		full[i].Suspect = true
	}
	assert.GreaterOrEqual(t, leaver.Pick(full, other).Index, 0, "servers that do not respond, if there are no others")
	assert.Equal(t, -1, leaver.Pick(nil, other).Index)
}
