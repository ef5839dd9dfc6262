// Package demo runs a whole deployment in one process, on real sockets, and checks the invariants of docs/design.md
// while servers drain, slow down and stop, the store becomes unavailable and a setting is edited.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishstand/radishstand/ctl/cli"
)

// defaultRate, in calls per second, leaves most of the processor time of a small machine to the nodes, which all run in
// this process.
const defaultRate = 300

// Command returns the subcommand `demo`.
func Command(env *cli.Env) *ffcli.Command {
	fs := env.Flags("demo")
	name := fs.String("deployment", "coop", "deployment to run: "+deploymentNames())
	rate := fs.Float64("rate", defaultRate, "calls per second")
	verbose := fs.Bool("verbose", false, "print the warnings of the nodes to standard error")
	return cli.Command{
		Name: "demo", Usage: "radishctl demo [options]", Short: "run a deployment in one process and check the invariants", Flags: fs,
		Long: "Runs the platform stand-in, fake backend servers and real nodes on loopback sockets, in under 30 s. Under load, one\n" +
			"server drains, one slows down, one stops, the store becomes unavailable and recovers, and a setting is edited. Prints\n" +
			"what callers saw in each step. Latency between places is not simulated.\n" +
			"Exit codes: 0 all invariants held, 1 the demo could not run, 5 an invariant broke.",
		Examples: []string{"radishctl demo", "radishctl demo --deployment yatai --json"},
		Run: func(ctx context.Context, _ []string) error {
			d, ok := deployments[*name]
			if !ok || !(*rate > 0) {
				return cli.Fail(cli.ExitInvalid, "demo: deployment %q at rate %g; allowed are %s and rates above 0", *name, *rate,
					deploymentNames())
			}
			report, err := runDemo(ctx, env, *name, d, *rate, *verbose)
			if err != nil {
				return err
			}
			if err := report.print(env); err != nil {
				return err
			}
			return report.checkErr()
		},
	}.Build()
}

// runDemo starts the fleet, runs all steps, stops the fleet and checks the invariants.
func runDemo(ctx context.Context, env *cli.Env, name string, d deployment, rate float64, verbose bool) (*report, error) {
	started := time.Now()
	logf := func(format string, args ...any) {
		fmt.Fprintf(env.Stderr, "%5.1f s  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	}
	logger := log.New(io.Discard)
	if verbose {
		logger = log.NewWithOptions(env.Stderr, log.Options{Level: log.WarnLevel, Formatter: log.JSONFormatter, ReportTimestamp: true})
	}
	logf("start: %d nodes with their backend servers in %d places", d.nodeCount(), len(d.places))
	f, err := startFleet(ctx, d, logger)
	r := &run{deployment: d, fleet: f, calls: newCalls(), versions: &versions{last: map[*member]int64{}}, logf: logf}
	if err == nil {
		err = r.runSteps(ctx, rate)
	}
	if err != nil {
		_ = f.stop()
		return nil, err
	}
	logf("stop: all nodes")
	failure := f.stop()
	steps, invariants := r.checkInvariants()
	return &report{
		Deployment: name, Nodes: d.nodeCount(), Seconds: time.Since(started).Seconds(), Steps: steps, Invariants: invariants,
		failure: failure,
	}, nil
}
