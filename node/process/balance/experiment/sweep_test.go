package experiment

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/radishstand/radishstand/api/settings"
)

var (
	sweepFlag        = flag.Bool("sweep", false, "run the comparison of policies, which takes minutes")
	sweepLoads       = flag.String("loads", "0.5,0.7,0.85,0.95", "loads of the comparison as shares of the mean capacity")
	sweepDeployments = flag.String("deployments", "coop,yatai", "deployments of the comparison: coop, yatai, medium or large")
	sweepPolicies    = flag.String("policies", "", "policies of the comparison; empty for all")
	sweepSeeds       = flag.Int("seeds", 3, "number of seeds of the comparison, from 1")
	sweepSeconds     = flag.Int("seconds", 20, "virtual seconds of each run of the comparison")
	sweepScenario    = flag.String("scenario", "stalls", "how the speed of servers changes: stalls, mild, heavy, lasting, coldTime or coldCalls")
	sweepCores       = flag.Int("cores", 0, "calls that a server runs at full speed; zero for all slots")
)

// variant is a policy with its options and changes of the settings.
type variant struct {
	name      string
	options   options
	make      func(*world) policy
	configure func(*settings.Values)
}

var variants = []variant{
	{name: "random", make: func(w *world) policy { return &random{w: w} }},
	{name: "round robin", make: func(w *world) policy { return newRoundRobin(w) }},
	{name: "least reported", make: func(w *world) policy { return newLeastReported(w) }},
	{name: "two choices", make: func(w *world) policy { return newTwoChoices(w) }},
	{name: "choice only", make: func(w *world) policy { return newProduct(w) }},
	{name: "with referral", make: func(w *world) policy { return newProduct(w) }, options: options{redirect: true}},
	{name: "with hedging", make: func(w *world) policy { return newProduct(w) }, options: options{hedge: true}},
	{name: "product", make: func(w *world) policy { return newProduct(w) }, options: options{redirect: true, hedge: true, limitReports: true}},
	{name: "12 servers", make: func(w *world) policy { return newProduct(w) }, options: options{redirect: true, hedge: true, limitReports: true, limit: 12}},
	{name: "8 servers", make: func(w *world) policy { return newProduct(w) }, options: options{redirect: true, hedge: true, limitReports: true, limit: 8}},
	{name: "6 servers", make: func(w *world) policy { return newProduct(w) }, options: options{redirect: true, hedge: true, limitReports: true, limit: 6}},
	{name: "4 servers", make: func(w *world) policy { return newProduct(w) }, options: options{redirect: true, hedge: true, limitReports: true, limit: 4}},
	{name: "no slow start", make: func(w *world) policy { return newProduct(w) }, options: options{redirect: true, hedge: true, limitReports: true}, configure: func(v *settings.Values) { v.Balance.SlowStartMs = 0 }},
	{name: "slow start 2 s", make: func(w *world) policy { return newProduct(w) }, options: options{redirect: true, hedge: true, limitReports: true}, configure: func(v *settings.Values) { v.Balance.SlowStartMs = 2000 }},
	{name: "slow start 5 s", make: func(w *world) policy { return newProduct(w) }, options: options{redirect: true, hedge: true, limitReports: true}, configure: func(v *settings.Values) { v.Balance.SlowStartMs = 5000 }},
	{name: "all reports", make: func(w *world) policy { return newProduct(w) }, options: options{redirect: true, hedge: true}},
	{name: "oracle", make: func(w *world) policy { return &oracle{w: w} }},
	{name: "oracle hedging", make: func(w *world) policy { return &oracle{w: w} }, options: options{hedge: true}},
}

// runVariant runs one simulation.
func runVariant(v variant, d deployment, seed uint64, load float64, span time.Duration) result {
	values := settings.Default()
	if v.configure != nil {
		v.configure(&values)
	}
	w := newWorld(d, seed, v.options, values)
	w.policy = v.make(w)
	return w.simulate(load, min(2*time.Second, span/2), span)
}

// mergeResults combines the results of several seeds.
func mergeResults(results []result) result {
	var sum result
	for _, r := range results {
		sum.latencies = append(sum.latencies, r.latencies...)
		sum.calls += r.calls
		sum.refused += r.refused
		sum.late += r.late
		sum.attempts += r.attempts
		sum.hedges += r.hedges
		sum.redirects += r.redirects
		sum.bytes += r.bytes
		sum.seconds += r.seconds
	}
	slices.Sort(sum.latencies)
	return sum
}

// quantile returns a quantile of the latencies of answered calls in ms.
func (r result) quantile(q float64) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	return float64(r.latencies[int(q*float64(len(r.latencies)-1))]) / float64(time.Millisecond)
}

// row formats a result as a row of a table.
func (r result) row(entries int) string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(r.calls, 1)) }
	return fmt.Sprintf("| %.1f | %.1f | %.1f | %.3f | %.3f | %.1f | %.1f | %.1f | 0 | %.0f |", r.quantile(0.5), r.quantile(0.99),
		r.quantile(0.999), share(r.refused), share(r.late), share(r.attempts-r.calls), share(r.redirects), share(r.hedges), float64(r.bytes)/r.seconds/float64(entries))
}

// Prints the comparison of policies as tables. The results are in docs/measurements-policy.md.
func TestComparison(t *testing.T) {
	if !*sweepFlag {
		t.Skip("runs with -sweep only")
	}
	for _, d := range []deployment{coop, yatai, medium, large} {
		if !slices.Contains(strings.Split(*sweepDeployments, ","), d.name) {
			continue
		}
		d.cores = *sweepCores
		d.scenario = map[string]scenario{"stalls": stalls, "mild": mild, "heavy": heavy, "lasting": lasting, "coldTime": coldTime, "coldCalls": coldCalls}[*sweepScenario]
		for _, text := range strings.Split(*sweepLoads, ",") {
			load, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Printf("\n%s, %s, at %s of the mean capacity\n\n| policy | p50 ms | p99 ms | p99.9 ms | refused %% | late %% | extra attempts %% | referred %% | hedged %% | probes/s | report B/s per node |\n|---|---|---|---|---|---|---|---|---|---|---|\n", d.name, d.scenario.name, text)
			rows := make([]string, len(variants))
			var group sync.WaitGroup
			slot := make(chan struct{}, 4)
			for i, v := range variants {
				if *sweepPolicies != "" && !slices.Contains(strings.Split(*sweepPolicies, ","), v.name) {
					continue
				}
				group.Go(func() {
					var results []result
					for seed := range *sweepSeeds {
						slot <- struct{}{}
						results = append(results, runVariant(v, d, uint64(seed+1), load, time.Duration(*sweepSeconds)*time.Second))
						<-slot
					}
					rows[i] = "| " + v.name + " " + mergeResults(results).row(d.entries) + "\n"
				})
			}
			group.Wait()
			fmt.Print(strings.Join(rows, ""))
		}
	}
}
