package load

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishstand/radishstand/ctl/cli"
)

const progressInterval = time.Second

// Command returns the subcommand `load`.
func Command(env *cli.Env) *ffcli.Command {
	fs := env.Flags("load")
	plan := Plan{}
	fs.Func("target", "callers' listener of a node, host:port or URL; repeat or separate by commas", func(text string) error {
		plan.Targets = append(plan.Targets, strings.Split(text, ",")...)
		return nil
	})
	fs.Func("work", "kind of call, \"<weight> <method> <service> <path> [keyed] [body=<bytes>]\"; repeat for a mix", func(text string) error {
		w, err := ParseWork(text)
		plan.Mix = append(plan.Mix, w)
		return err
	})
	fs.Float64Var(&plan.Rate, "rate", 100, "calls per second")
	fs.DurationVar(&plan.Duration, "duration", 10*time.Second, "length of the load; 0 goes on until interrupted")
	fs.DurationVar(&plan.Timeout, "timeout", 2*time.Second, "time limit that is sent to the node in Radish-Timeout-Ms")
	fs.StringVar(&plan.TokenHeader, "token-header", "", "header that the server echoes, such as X-Token; answers are checked against it")
	fs.Float64Var(&plan.RepeatShare, "repeat", 0, "share of keyed calls that are sent again with the same key")
	fs.IntVar(&plan.MaxInProgress, "max-in-progress", DefaultMaxInProgress, "calls in progress beyond which calls are skipped")
	fs.Uint64Var(&plan.Seed, "seed", 1, "seed of the random gaps and choices")
	return cli.Command{
		Name: "load", Usage: "radishctl load [options]", Short: "send calls at a fixed rate and report what callers saw", Flags: fs,
		Long: "An open-loop generator: calls start at their intended times whether or not earlier ones were answered, and latency\n" +
			"counts from the intended time. With --token-header, every answer is checked to belong to its own call.\n" +
			"Exit codes: 0 done, 1 no call was answered, 2 wrong usage, 5 an answer belonged to another call.",
		Examples: []string{
			`radishctl load --target 10.1.2.3:7400 --rate 200 --duration 30s --work "9 GET quotes /offers/7" --work "1 POST crews /book keyed body=200"`,
			`radishctl load --ca-file ca.crt --target https://10.1.2.3:7400 --work "1 GET quotes /"`,
			`radishctl load --target 10.1.2.3:7400,10.1.2.4:7400 --work "1 GET quotes /" --token-header X-Token --json`,
		},
		Run: func(ctx context.Context, _ []string) error {
			if err := configureTLS(env, &plan); err != nil {
				return err
			}
			if err := plan.Validate(); err != nil {
				return &cli.Error{Code: cli.ExitInvalid, Err: err}
			}
			return run(ctx, env, plan)
		},
	}.Build()
}

// configureTLS sets the CA and the schemes of the targets from the options. Callers' listeners request no client
// certificate.
func configureTLS(env *cli.Env, plan *Plan) (err error) {
	for i, target := range plan.Targets {
		if plan.Targets[i], err = env.Endpoint(target); err != nil {
			return err
		}
	}
	plan.TLS, err = env.TLS()
	return err
}

// run generates the load and prints the report.
func run(ctx context.Context, env *cli.Env, plan Plan) error {
	recorder := NewRecorder()
	stop := showProgress(env, recorder)
	New(plan).Run(ctx, recorder.Add)
	stop()
	report := recorder.Report()
	if err := printReport(env, report); err != nil {
		return err
	}
	switch {
	case report.Wrong > 0:
		return cli.Fail(cli.ExitCheck, "%d answers did not carry the token of their call", report.Wrong)
	case report.Calls > 0 && report.Failed == report.Calls:
		return cli.Fail(cli.ExitFailed, "no call was answered: %s", report.FirstFailure)
	}
	return nil
}

// showProgress prints counts to standard error, if that is a terminal, until the returned function is called.
func showProgress(env *cli.Env, recorder *Recorder) (stop func()) {
	file, ok := env.Stderr.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return func() {}
	}
	ticker, done := time.NewTicker(progressInterval), make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				r := recorder.Report()
				fmt.Fprintf(file, "\r%4.0f s  %d calls  p50 %.1f ms  p99 %.1f ms  not-run %d  unknown %d  failed %d   ",
					r.Seconds, r.Calls, r.Latency.P50, r.Latency.P99, r.NotRun, r.Unknown, r.Failed)
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
		fmt.Fprintln(file)
	}
}

func printReport(env *cli.Env, r Report) error {
	if env.JSON {
		return env.PrintJSON(r)
	}
	env.Printlnf("%d calls in %.1f s (%.1f/s), %d skipped", r.Calls, r.Seconds, r.Rate, r.Skipped)
	env.Printlnf("latency ms: p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f", r.Latency.P50, r.Latency.P90, r.Latency.P99,
		r.Latency.P999, r.Latency.Max)
	env.Printlnf("run %d  not-run %d  unknown %d  failed %d  server errors %d  replayed %d  wrong answers %d", r.Run, r.NotRun,
		r.Unknown, r.Failed, r.ServerErrors, r.Replayed, r.Wrong)
	if r.FirstFailure != "" {
		env.Printlnf("first failure: %s", r.FirstFailure)
	}
	if err := env.PrintTable([]string{"STATUS", "CALLS"}, countRows(r.Status)); err != nil {
		return err
	}
	if len(r.Reasons) > 0 {
		if err := env.PrintTable([]string{"REASON OF A NODE", "CALLS"}, countRows(r.Reasons)); err != nil {
			return err
		}
	}
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(r.ByWork)) {
		var counts []string
		for _, outcome := range slices.Sorted(maps.Keys(r.ByWork[name])) {
			counts = append(counts, fmt.Sprintf("%s %d", outcome, r.ByWork[name][outcome]))
		}
		rows = append(rows, []string{name, strings.Join(counts, ", ")})
	}
	return env.PrintTable([]string{"WORK", "OUTCOMES"}, rows)
}

// countRows returns table rows of names and counts, sorted by name.
func countRows(counts map[string]int64) [][]string {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		rows = append(rows, []string{name, strconv.FormatInt(counts[name], 10)})
	}
	return rows
}
