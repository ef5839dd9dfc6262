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

// runs returns the number of runs of the request with the token at all servers.
func (f *fleet) runs(token string) (runs int) {
	for _, n := range f.nodes {
		runs += n.backend.Runs(token)
	}
	return runs
}

// keyRuns returns the number of runs of all calls with the key.
func (f *fleet) keyRuns(key string) (runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.keys[key] {
		runs += f.runs(c.token)
	}
	return runs
}

// reportViolation fails the test with the call that broke an invariant and all calls with the same key.
func (f *fleet) reportViolation(c *call, what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := fmt.Sprintf("%s %s, %d runs: %s", time.Now().Format("05.000"), what, f.runs(c.token), c)
	for _, other := range f.keys[c.key] {
		text += fmt.Sprintf("\n  %d runs: %s", f.runs(other.token), other)
	}
	f.t.Error(text)
}

// checkAnswer compares an answer with the runs at the servers.
func (f *fleet) checkAnswer(c *call) {
	runs, keyRuns := f.runs(c.token), f.keyRuns(c.key)
	switch {
	case c.method == http.MethodPost && runs > 1, keyRuns > 1:
		f.reportViolation(c, "work ran more than once")
	case c.err != nil || c.outcome == contract.OutcomeUnknown:
	case c.outcome == contract.OutcomeNotRun:
		if runs > 0 || c.ranBefore {
			f.reportViolation(c, "the outcome is not-run, but the work ran")
		}
	case c.outcome == contract.OutcomeRun && c.status == http.StatusOK:
		if !f.isCompleteAnswer(c) {
			f.reportViolation(c, "the answer is incomplete or belongs to another call")
		}
	case c.outcome != contract.OutcomeRun || c.status != http.StatusConflict || keyRuns != 1:
		f.reportViolation(c, "unexpected answer")
	}
}

// isCompleteAnswer reports whether the answer is complete and belongs to this call or, if it is replayed, to an earlier
// call with the same key.
func (f *fleet) isCompleteAnswer(c *call) bool {
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

// countCalls counts the finished calls that were sent since a time, by place, kind of work and outcome.
func (f *fleet) countCalls(since time.Time) map[string]int {
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

// monitor renews the announcement of a server and checks that its node never reports a lower settings version than
// before. Only a node that was replaced while the store was disturbed may do so (section 7 of the design page).
func (n *node) monitor() {
	for {
		select {
		case <-n.fleet.ended:
			return
		case <-time.After(pollEvery):
		}
		_ = n.backend.Announce(n.serverAddr, false)
		version := n.status().SettingsVersion
		if version == 0 {
			continue
		}
		faults := n.storeFaultsAtStart.Load()
		if allowed := n.restarted.Load() && (faults%2 == 1 || faults != n.fleet.storeFaults.Load()); version < n.lastVersion.Load() &&
			!allowed {
			n.fleet.t.Errorf("%s reports settings version %d after %d", n, version, n.lastVersion.Load())
		}
		n.restarted.Store(false)
		n.lastVersion.Store(version)
	}
}

// awaitAgreement waits until all nodes report the same view: all nodes alive, each with its server, and the last accepted
// settings version.
func (f *fleet) awaitAgreement() {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(pollEvery) {
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
				f.t.Logf("one of %d views: %s", len(views), v)
			}
			f.t.Fatalf("the nodes do not agree on members, servers and version %d of the settings", f.accepted.Load())
		}
	}
}

// checkConvergence checks, after all faults were removed, that the nodes agree on members, settings and the outcome of
// every key, that no call that was answered with not-run has run in the meantime, and that no POST ran more than once.
func (f *fleet) checkConvergence() {
	f.t.Helper()
	start := time.Now()
	f.awaitAgreement()
	f.t.Logf("agreement on members and settings after %s; calls: %v", time.Since(start), f.countCalls(time.Time{}))
	const workers = 16
	var running sync.WaitGroup
	keys := slices.Sorted(maps.Keys(f.keys))
	for part := range workers {
		running.Go(func() {
			for i := part; i < len(keys); i += workers {
				f.awaitKeyOutcome(keys[i], f.nodes[i%len(f.nodes)], f.nodes[(i+1)%len(f.nodes)])
			}
		})
	}
	running.Wait()
	for _, c := range f.calls {
		if runs := f.runs(c.token); runs > 0 && c.err == nil && c.outcome == contract.OutcomeNotRun || runs > 1 && c.method == http.MethodPost {
			f.reportViolation(c, "the answer contradicts the final number of runs")
		}
	}
}

// awaitKeyOutcome waits until two nodes of different places answer calls with the key alike.
func (f *fleet) awaitKeyOutcome(key string, a, b *node) {
	var first, second *call
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollEvery) {
		first, second = f.call(a, http.MethodPost, "crews", key), f.call(b, http.MethodPost, "crews", key)
		answered := first.err == nil && second.err == nil && first.status != http.StatusServiceUnavailable
		if answered && first.outcome == second.outcome && (first.outcome != contract.OutcomeRun || first.body == second.body) {
			return
		}
	}
	f.reportViolation(second, "two nodes report different outcomes for the key")
}

// checkHistory checks that the history has each accepted change once and no refused change, and that at most one of two
// changes of one setting with the same base was accepted.
func (f *fleet) checkHistory(bases map[string]int64, results map[string]error) {
	var history []operator.Version
	f.await("the history is read", func() bool {
		return f.nodes[1].get(operator.PathHistory, url.Values{"after": {"0"}, "limit": {"500"}}, &history) &&
			int64(len(history)) >= f.accepted.Load()
	})
	found := map[string]int{}
	for i, v := range history {
		found[v.ChangeID]++
		assert.EqualValues(f.t, i+1, v.Version, "versions are consecutive")
		if base, ok := bases[v.ChangeID]; ok {
			assert.EqualValues(f.t, base+1, v.Version, "change %s replaced a version that its operator had not seen", v.ChangeID)
		}
	}
	counts := map[string]int{}
	for id, err := range results {
		switch {
		case err == nil:
			counts["accepted"]++
			assert.Equal(f.t, 1, found[id], "accepted change %s in the history", id)
		case errors.Is(err, client.ErrUnknownOutcome):
			counts["unknown outcome"]++
			assert.LessOrEqual(f.t, found[id], 1, "change %s in the history", id)
		default:
			counts["refused"]++
			assert.Zero(f.t, found[id], "refused change %s in the history: %v", id, err)
		}
	}
	f.t.Logf("changes of settings: %v", counts)
	assert.NotZero(f.t, counts["accepted"])
}
