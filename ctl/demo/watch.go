package demo

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/ctl/load"
)

// calls records the results of calls, by the step of their intended time. It is safe for concurrent use.
type calls struct {
	mu     sync.Mutex
	steps  []*stepCalls
	tokens map[string]*tokenState
}

// stepCalls summarizes the calls of one step. wrong counts the answers for which isWrong is true.
type stepCalls struct {
	name     string
	started  time.Time
	recorder *load.Recorder
	wrong    int
}

// tokenState summarizes the answers to all calls with one token, repeats included.
type tokenState struct {
	step       int
	idempotent bool
	// notRun is set while every answer so far was not-run.
	notRun bool
}

func newCalls() *calls { return &calls{tokens: map[string]*tokenState{}} }

// beginStep starts the next step.
func (c *calls) beginStep(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps = append(c.steps, &stepCalls{name: name, started: time.Now(), recorder: load.NewRecorder()})
}

// add records the result of a call.
func (c *calls) add(r load.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := len(c.steps) - 1
	for index > 0 && r.Intended.Before(c.steps[index].started) {
		index--
	}
	step := c.steps[index]
	step.recorder.Add(r)
	if r.Skipped {
		return
	}
	if isWrong(r) {
		step.wrong++
	}
	notRun := r.Err == nil && r.Outcome == contract.OutcomeNotRun
	if s := c.tokens[r.Token]; s != nil {
		s.notRun = s.notRun && notRun
		return
	}
	c.tokens[r.Token] = &tokenState{step: index, idempotent: r.Work.Idempotent(), notRun: notRun}
}

// isWrong reports whether an answer with outcome run is not the complete answer to its own request. The answer of the fake
// server repeats token, method and path and states the size of the request's body.
func isWrong(r load.Result) bool {
	if r.Err != nil || r.Outcome != contract.OutcomeRun || r.Status >= 400 {
		return false
	}
	size := 0
	if !r.Work.Idempotent() {
		size = r.Work.BodyBytes
	}
	want := fmt.Appendf(nil, "%s %s %s %d\n", r.Token, r.Work.Method, r.Work.Path, size)
	return r.Wrong || !bytes.Equal(r.Answer, want)
}

// violations counts the non-idempotent calls that ran more than once, and the calls that ran although every answer was
// not-run.
type violations struct{ double, notRunRan int }

// countViolations compares the answers with the number of runs of each token at all servers, by step.
func (c *calls) countViolations(ran map[string]int) []violations {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]violations, len(c.steps))
	for token, s := range c.tokens {
		if !s.idempotent && ran[token] > 1 {
			out[s.step].double++
		}
		if s.notRun && ran[token] > 0 {
			out[s.step].notRunRan++
		}
	}
	return out
}

// versions tracks the settings version in force at every node. regressions describes each step back to a lower version.
type versions struct {
	mu          sync.Mutex
	last        map[*member]int64
	regressions []string
}

// watch polls the version of every node until ctx ends.
func (v *versions) watch(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		for _, m := range f.members {
			v.record(m, m.version(ctx))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollEvery):
		}
	}
}

// record records the version of a node; 0 means that the node did not answer.
func (v *versions) record(m *member, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if last := v.last[m]; version != 0 && version < last {
		v.regressions = append(v.regressions, fmt.Sprintf("%s went from version %d to %d", m.config.Advertise, last, version))
	}
	v.last[m] = max(v.last[m], version)
}

// lagging returns the nodes whose last known version is lower than version.
func (v *versions) lagging(f *fleet, version int64) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []string
	for _, m := range f.members {
		if v.last[m] < version {
			list = append(list, m.config.Advertise)
		}
	}
	return list
}
