package demo

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/cli"
	"github.com/radishstand/radishstand/ctl/load"
)

// report is the output of the demo.
type report struct {
	Deployment string       `json:"deployment"`
	Nodes      int          `json:"nodes"`
	Seconds    float64      `json:"seconds"`
	Steps      []stepReport `json:"steps"`
	Invariants []invariant  `json:"invariants"`

	// failure is set when a node failed or did not stop.
	failure error
}

// stepReport counts what callers saw in one step.
type stepReport struct {
	Step string `json:"step"`
	load.Report
	Wrong      int `json:"wrongAnswers"`
	DoubleRuns int `json:"doubleRuns"`
	NotRunRan  int `json:"notRunRan"`
}

// invariant is the result of the check of one invariant of docs/design.md.
type invariant struct {
	ID    string `json:"id"`
	What  string `json:"what"`
	Holds bool   `json:"holds"`
	Found string `json:"found"`
}

// checkInvariants compares the answers of callers with the runs at the servers. It returns a report for each step and the
// result of each invariant.
func (r *run) checkInvariants() ([]stepReport, []invariant) {
	ran := map[string]int{}
	for _, m := range r.fleet.members {
		for token, n := range m.server.AllRuns() {
			ran[token] += n
		}
	}
	violations := r.calls.countViolations(ran)
	var steps []stepReport
	var sum stepReport
	for i, s := range r.calls.steps {
		step := stepReport{
			Step: s.name, Report: s.recorder.Report(), Wrong: s.wrong, DoubleRuns: violations[i].double, NotRunRan: violations[i].notRunRan,
		}
		steps = append(steps, step)
		sum.Wrong += step.Wrong
		sum.DoubleRuns += step.DoubleRuns
		sum.NotRunRan += step.NotRunRan
		sum.Failed += step.Failed
	}
	return steps, append([]invariant{
		r.checkMeasuring(),
		{"I2", "every caller got the whole answer to its own request", sum.Wrong == 0 && sum.Failed == 0,
			fmt.Sprintf("%d wrong answers, %d calls without a complete answer", sum.Wrong, sum.Failed)},
		{"I3", "work refused with not-run did not run", sum.NotRunRan == 0, fmt.Sprintf("%d ran", sum.NotRunRan)},
		{"I4", "non-idempotent work ran at most once", sum.DoubleRuns == 0, fmt.Sprintf("%d ran more than once", sum.DoubleRuns)},
	}, r.checkDrained(), r.checkNoneCutOff(), r.checkInForce(), r.checkNoRegression())
}

// checkMeasuring compares the number of health and load requests at each server with the budget.
func (r *run) checkMeasuring() invariant {
	budget := settings.Default().Measure.PerSecond
	i := invariant{ID: "I1", What: "measuring stayed within its budget", Holds: true}
	maxRequests := 0
	for _, m := range r.fleet.members {
		n := m.server.ProbeCount()
		maxRequests = max(maxRequests, n)
		// One request may be saved up beyond the rate.
		if float64(n) > budget*time.Since(m.started).Seconds()+1 {
			i.Holds = false
		}
	}
	i.Found = fmt.Sprintf("at most %d requests at a server, %g/s allowed", maxRequests, budget)
	return i
}

// checkDrained checks that the drained server got no calls after drainWithin.
func (r *run) checkDrained() invariant {
	late := total(r.drained.member.server) - r.drained.runsAtLimit
	return invariant{"I5", fmt.Sprintf("a draining server got no new work after %s", drainWithin), late == 0,
		fmt.Sprintf("%d calls began later", late)}
}

// checkNoneCutOff checks that no call was cut off at the drained server. That server gets only non-idempotent work, so no
// hedge is ever cancelled there.
func (r *run) checkNoneCutOff() invariant {
	broken := r.drained.member.server.Broken()
	return invariant{"I6", "a planned stop of a server cut off no request", broken == 0, fmt.Sprintf("%d calls cut off", broken)}
}

// checkInForce checks that the edit was in force at every node within inForceWithin.
func (r *run) checkInForce() invariant {
	i := invariant{ID: "I7", What: fmt.Sprintf("an accepted edit was in force everywhere within %s", inForceWithin)}
	switch {
	case r.edit.err != nil:
		i.Found = "the edit was refused: " + r.edit.err.Error()
	case len(r.edit.lagging) > 0:
		i.Found = fmt.Sprintf("version %d not in force at %s", r.edit.version, strings.Join(r.edit.lagging, ", "))
	default:
		i.Holds = true
		i.Found = fmt.Sprintf("version %d in force at %d nodes after %s", r.edit.version, len(r.fleet.members),
			r.edit.elapsed.Round(time.Millisecond))
	}
	return i
}

// checkNoRegression checks that no node reported a lower settings version than before.
func (r *run) checkNoRegression() invariant {
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	return invariant{"I7", "no settings version went back", len(r.versions.regressions) == 0,
		fmt.Sprintf("%d went back %s", len(r.versions.regressions), strings.Join(r.versions.regressions, "; "))}
}

// checkErr returns an error that lists the invariants that do not hold, or else the failure of a node.
func (r *report) checkErr() error {
	var ids []string
	for _, i := range r.Invariants {
		if !i.Holds {
			ids = append(ids, i.ID)
		}
	}
	if len(ids) > 0 {
		return cli.Fail(cli.ExitCheck, "invariants broken: %s", strings.Join(ids, ", "))
	}
	return r.failure
}

// unresolvedRepeats counts the answers with status 409: a request with the same key is in progress or may have run.
func (r *report) unresolvedRepeats() int64 {
	var n int64
	for _, s := range r.Steps {
		n += s.Status[strconv.Itoa(http.StatusConflict)]
	}
	return n
}

func (r *report) print(env *cli.Env) error {
	if env.JSON {
		return env.PrintJSON(r)
	}
	env.Printlnf("%s: %d nodes and backend servers in one process, %.1f s in all", r.Deployment, r.Nodes, r.Seconds)
	var rows [][]string
	for _, s := range r.Steps {
		row := []string{s.Step, strconv.FormatInt(s.Calls, 10), fmt.Sprintf("%.1f", s.Latency.P50), fmt.Sprintf("%.1f", s.Latency.P99)}
		for _, n := range []int64{s.NotRun, s.Unknown, s.Failed, s.ServerErrors, int64(s.DoubleRuns), int64(s.Wrong), int64(s.NotRunRan)} {
			row = append(row, strconv.FormatInt(n, 10))
		}
		rows = append(rows, row)
	}
	head := []string{"STEP", "CALLS", "P50 MS", "P99 MS", "NOT-RUN", "UNKNOWN", "NO ANSWER", "SERVER 5XX", "DOUBLE RUNS", "WRONG", "NOT-RUN RAN"}
	if err := env.PrintTable(head, rows); err != nil {
		return err
	}
	if repeats := r.unresolvedRepeats(); repeats > 0 {
		env.Printlnf("Unknown includes %d repeats of keyed calls whose first call had no known outcome.", repeats)
	}
	rows = nil
	for _, i := range r.Invariants {
		rows = append(rows, []string{i.ID, map[bool]string{true: "holds", false: "BROKEN"}[i.Holds], i.What, i.Found})
	}
	return env.PrintTable([]string{"INVARIANT", "", "", "FOUND"}, rows)
}
