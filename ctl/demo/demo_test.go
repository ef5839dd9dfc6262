package demo

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/cli"
	"github.com/radishstand/radishstand/ctl/load"
	"github.com/radishstand/radishstand/node/process/node"
)

// Guards against a broken invariant that the demo reports as held.
func TestCountViolations(t *testing.T) {
	read, book := get(1, "s", "/r"), post(1, "s", "/b", true)
	c := newCalls()
	c.beginStep("steady")
	add := func(token string, work *load.Work, outcome contract.Outcome, answer string) {
		c.add(load.Result{Work: work, Token: token, Outcome: outcome, Status: 200, Answer: []byte(answer)})
	}
	add("hedged", &read, contract.OutcomeRun, "hedged GET /r 0\n")
	add("double", &book, contract.OutcomeRun, "double POST /b 200\n")
	add("refused", &book, contract.OutcomeNotRun, "")
	add("refused-and-ran", &book, contract.OutcomeNotRun, "")
	add("repeated", &book, contract.OutcomeRun, "repeated POST /b 200\n")
	add("repeated", &book, contract.OutcomeNotRun, "")
	add("other", &read, contract.OutcomeRun, "else GET /r 0\n")
	add("short", &read, contract.OutcomeRun, "short GE")
	c.add(load.Result{Work: &read, Token: "cut", Err: errors.New("cut off")})
	ran := map[string]int{"hedged": 2, "double": 2, "refused-and-ran": 1, "repeated": 1, "other": 1, "short": 1}
	require.Equal(t, []violations{{double: 1, notRunRan: 1}}, c.countViolations(ran))
	require.Equal(t, 2, c.steps[0].wrong)
	require.Equal(t, int64(1), c.steps[0].recorder.Report().Failed)
}

// Guards against overlooking a version that goes back or a node that lags.
func TestVersionsDetectRegressionsAndLaggingNodes(t *testing.T) {
	a, b := &member{config: node.Config{Advertise: "a"}}, &member{config: node.Config{Advertise: "b"}}
	v := &versions{last: map[*member]int64{}}
	v.record(a, 1)
	v.record(a, 2)
	v.record(a, 0)
	v.record(b, 1)
	require.Empty(t, v.regressions)
	require.Equal(t, []string{"b"}, v.lagging(&fleet{members: []*member{a, b}}, 2))
	v.record(a, 1)
	require.Len(t, v.regressions, 1)
}

// Guards against exit code 0 after a broken invariant.
func TestBrokenInvariantExits5(t *testing.T) {
	r := &report{Invariants: []invariant{{ID: "I1", Holds: true}, {ID: "I4"}}}
	require.Equal(t, cli.ExitCheck, cli.ExitCode(r.checkErr()))
	r = &report{failure: errors.New("a node did not stop")}
	require.Equal(t, cli.ExitFailed, cli.ExitCode(r.checkErr()))
	require.NoError(t, (&report{}).checkErr())
}

// Guards against deployments whose sizes differ from those of the design or whose settings are invalid.
func TestDeploymentSizesMatchTheDesign(t *testing.T) {
	for name, nodes := range map[string]int{"coop": 14, "yatai": 13} {
		d := deployments[name]
		require.Equal(t, nodes, d.nodeCount(), name)
		require.Len(t, d.places, 3)
		_, err := settings.Parse(d.settings())
		require.NoError(t, err, name)
	}
}
