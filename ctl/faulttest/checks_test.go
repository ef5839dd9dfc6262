//go:build linux

package faulttest

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/ctl/client"
)

// runs returns how often the request with the token ran at any server.
func (f *fleet) runs(token string) (runs int) {
	for _, n := range f.nodes {
		runs += n.backend.Runs(token)
	}
	return runs
}

// keyRuns returns how often the work of a key ran.
func (f *fleet) keyRuns(key string) (runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.keys[key] {
		runs += f.runs(c.token)
	}
	return runs
}

// violated reports a broken invariant with all calls of the key.
func (f *fleet) violated(c *call, what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := fmt.Sprintf("%s %s, %d runs: %s", time.Now().Format("05.000"), what, f.runs(c.token), c)
	for _, other := range f.keys[c.key] {
		text += fmt.Sprintf("\n  %d runs: %s", f.runs(other.token), other)
	}
	f.t.Error(text)
}

// check compares an answer with what ran.
func (f *fleet) check(c *call) {
	runs, keyRuns := f.runs(c.token), f.keyRuns(c.key)
	switch {
	case c.method == http.MethodPost && runs > 1, keyRuns > 1:
		f.violated(c, "work ran twice")
	case c.err != nil || c.outcome == contract.OutcomeUnknown:
	case c.outcome == contract.OutcomeNotRun:
		if runs > 0 || c.ranBefore {
			f.violated(c, "not-run is not true")
		}
	case c.outcome == contract.OutcomeRun && c.status == http.StatusOK:
		if !f.isWhole(c) {
			f.violated(c, "the answer is not whole or not the caller's")
		}
	case c.outcome != contract.OutcomeRun || c.status != http.StatusConflict || keyRuns != 1:
		f.violated(c, "unexpected answer")
	}
}

// isWhole reports whether the answer is complete and the caller's own, or that of an earlier call with the key.
func (f *fleet) isWhole(c *call) bool {
	token, _, _ := strings.Cut(c.body, " ")
	want := fmt.Sprintf("%s %s /work %d\n", token, c.method, len("body of "+c.key))
	want += strings.Repeat(".", answerBytes[c.service]-len(want))
	if !c.replayed {
		return c.body == want && token == c.token && f.runs(token) > 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, earlier := range f.keys[c.key] {
		if earlier.token == token && earlier != c {
			return c.body == want && f.runs(token) == 1
		}
	}
	return false
}

// counts counts the calls that were sent since a time, by place, kind of work and what the caller got.
func (f *fleet) counts(since time.Time) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for _, c := range f.calls {
		kind, got := c.method, "broken"
		if c.key != "" {
			kind = "keyed"
		}
		if !c.done.Load() || c.sent.Before(since) {
			continue
		}
		if c.err == nil {
			got = string(c.outcome)
		}
		counts[fmt.Sprint(c.node.place, " ", kind, " ", got)]++
	}
	return counts
}

// monitor renews the announcement of a server and checks that its node shows no lower settings version than before. Only
// a node that was replaced while the store was disturbed may, as section 7 of the design page says.
func (n *node) monitor() {
	for {
		select {
		case <-n.fleet.ended:
			return
		case <-time.After(pollEvery):
		}
		_ = n.backend.Announce(n.server, false)
		version := n.status().SettingsVersion
		if version == 0 {
			continue
		}
		faults := n.startFaults.Load()
		if gap := n.fresh.Load() && (faults%2 == 1 || faults != n.fleet.storeFaults.Load()); version < n.shown.Load() && !gap {
			n.fleet.t.Errorf("%s shows settings version %d after %d", n, version, n.shown.Load())
		}
		n.fresh.Store(false)
		n.shown.Store(version)
	}
}

// awaitAgreement waits until all nodes show all nodes alive, with their servers, and the accepted version.
func (f *fleet) awaitAgreement() {
	f.t.Helper()
	for end := time.Now().Add(hangLimit); ; time.Sleep(pollEvery) {
		views := map[string]bool{}
		for _, n := range f.nodes {
			views[n.view()] = true
		}
		for v := range views {
			servers := strings.Count(v, "alive, ") - strings.Count(v, ` with ""`)
			accepted := strings.HasPrefix(v, fmt.Sprintf("version %d, unreachable []", f.accepted.Load()))
			if len(views) == 1 && servers == len(f.nodes) && strings.Count(v, "\n") == servers && accepted {
				return
			}
		}
		if time.Now().After(end) {
			for v := range views {
				f.t.Logf("a view of %d: %s", len(views), v)
			}
			f.t.Fatalf("the nodes do not agree on members, servers and version %d of the settings", f.accepted.Load())
		}
	}
}

// settle checks, after everything was healed, that the nodes agree on members, settings and the fate of every key, and
// that no work ran after an answer that said that it did not and will not.
func (f *fleet) settle() {
	f.t.Helper()
	start := time.Now()
	f.awaitAgreement()
	f.t.Logf("agreement on members and settings after %s; calls: %v", time.Since(start), f.counts(time.Time{}))
	const askers = 16
	var asking sync.WaitGroup
	keys := slices.Sorted(maps.Keys(f.keys))
	for part := range askers {
		asking.Go(func() {
			for i := part; i < len(keys); i += askers {
				f.awaitFate(keys[i], f.nodes[i%len(f.nodes)], f.nodes[(i+1)%len(f.nodes)])
			}
		})
	}
	asking.Wait()
	for _, c := range f.calls {
		if runs := f.runs(c.token); runs > 0 && c.err == nil && c.outcome == contract.OutcomeNotRun || runs > 1 && c.method == http.MethodPost {
			f.violated(c, "false at the end")
		}
	}
}

// awaitFate waits until two nodes of different places say the same of a key.
func (f *fleet) awaitFate(key string, a, b *node) {
	var first, second *call
	for end := time.Now().Add(hangLimit); time.Now().Before(end); time.Sleep(pollEvery) {
		first, second = f.do(a, http.MethodPost, "crews", key), f.do(b, http.MethodPost, "crews", key)
		told := first.err == nil && second.err == nil && first.status != http.StatusServiceUnavailable
		if told && first.outcome == second.outcome && (first.outcome != contract.OutcomeRun || first.body == second.body) {
			return
		}
	}
	f.violated(second, "two nodes do not agree on the key")
}

// checkHistory checks that accepted changes are in the history once, that refused ones are not, and that of two changes
// of one setting with the same base only one was accepted.
func (f *fleet) checkHistory(bases map[string]int64, results map[string]error) {
	var history []operator.Version
	f.await("the history is read", func() bool {
		return f.nodes[1].read(operator.PathHistory, url.Values{"after": {"0"}, "limit": {"500"}}, &history) &&
			int64(len(history)) >= f.accepted.Load()
	})
	found := map[string]int{}
	for i, v := range history {
		found[v.ChangeID]++
		assert.EqualValues(f.t, i+1, v.Version, "versions follow one another")
		if base, raced := bases[v.ChangeID]; raced {
			assert.EqualValues(f.t, base+1, v.Version, "change %s went over one that its operator had not seen", v.ChangeID)
		}
	}
	counts := map[string]int{}
	for id, err := range results {
		switch {
		case err == nil:
			counts["accepted"]++
			assert.Equal(f.t, 1, found[id], "accepted change %s in the history", id)
		case errors.Is(err, client.ErrUnknownOutcome):
			counts["in doubt"]++
			assert.LessOrEqual(f.t, found[id], 1, "change %s in the history", id)
		default:
			counts["refused"]++
			assert.Zero(f.t, found[id], "refused change %s in the history: %v", id, err)
		}
	}
	f.t.Logf("changes of settings: %v", counts)
	assert.NotZero(f.t, counts["accepted"])
}
