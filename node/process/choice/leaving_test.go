package choice_test

import (
	"math"
	"slices"
	"testing"
	"time"


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

// scenario changes a world before it runs. All have waves.
type scenario struct {
	name  string
	apply func(w *world)
}

var scenarios = []scenario{
	{"waves", func(*world) {}},
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
		})
	}
}
