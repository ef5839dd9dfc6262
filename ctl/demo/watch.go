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

// calls keeps what callers saw, by the step in which a call was to be sent. It is safe for concurrent use.
type calls struct {
	mu     sync.Mutex
	steps  []*stepCalls
	tokens map[string]*seen
}

// stepCalls are the calls of one step.
type stepCalls struct {
	name     string
	started  time.Time
	recorder *load.Recorder
	wrong    int
}

// seen is what the caller of one token saw, repeats included.
type seen struct {
	step       int
	idempotent bool
	// notRun says that every answer so far was not-run.
	notRun bool
}

func newCalls() *calls { return &calls{tokens: map[string]*seen{}} }

// begin starts the next step.
func (c *calls) begin(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps = append(c.steps, &stepCalls{name: name, started: time.Now(), recorder: load.NewRecorder()})
}

// add takes the end of a call.
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
	if wrong(r) {
		step.wrong++
	}
	notRun := r.Err == nil && r.Outcome == contract.OutcomeNotRun
	if s := c.tokens[r.Token]; s != nil {
		s.notRun = s.notRun && notRun
		return
	}
	c.tokens[r.Token] = &seen{step: index, idempotent: r.Work.Idempotent(), notRun: notRun}
}

// wrong reports whether the caller got an answer that is not the whole answer to its own request. The fake server's
// answer repeats token, method and path.
func wrong(r load.Result) bool {
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

// runs counts runs that should not have been.
type runs struct{ double, notRunRan int }

// judge compares what callers saw with the number of runs of each token at all servers, by step.
func (c *calls) judge(ran map[string]int) []runs {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]runs, len(c.steps))
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

// versions watches the settings version in force at every node.
type versions struct {
	mu       sync.Mutex
	last     map[*member]int64
	reverted []string
}

// watch polls until ctx ends.
func (v *versions) watch(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		for _, m := range f.members {
			v.take(m, m.version(ctx))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollEvery):
		}
	}
}

// take books a version; 0 means that the node did not answer.
func (v *versions) take(m *member, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if last := v.last[m]; version != 0 && version < last {
		v.reverted = append(v.reverted, fmt.Sprintf("%s went from version %d to %d", m.config.Advertise, last, version))
	}
	v.last[m] = max(v.last[m], version)
}

// behind returns the nodes whose last known version is lower.
func (v *versions) behind(f *fleet, version int64) []string {
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
