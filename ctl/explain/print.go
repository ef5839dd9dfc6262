package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	api "github.com/radishstand/radishstand/api/explain"
	"github.com/radishstand/radishstand/ctl/cli"
)

// Print writes an explanation for human readers.
func Print(env *cli.Env, a *api.Answer) error {
	env.Printlnf("%s", outcomeText(a.Outcome))
	if a.Outcome.Result == api.ResultRefused && a.Route != nil {
		env.Printlnf("the following shows what would happen to the request without the refusal")
	}
	env.Printlnf("node %s in place %s, routing version %d", a.Node, a.Place, a.Version)
	env.Printlnf("identity: %s", identityText(a.Identity))
	env.Printlnf("lease: %s", leaseText(a.Lease))
	env.Printlnf("quota: %s", quotaText(a.Quota))
	if r := a.Route; r != nil {
		env.Printlnf("route: %s (%s%s), timeout %d ms, objective %d ms, at most %d attempts, idempotent %t, rank %s, average %g ms and %d bytes",
			r.Name, r.Host, r.Prefix, r.TimeoutMs, r.ObjectiveMs, r.MaxAttempts, r.Idempotent, rankText(r.Rank, a.Identity), r.AverageMs, r.AverageBytes)
	}
	if len(a.Split) > 0 {
		env.Printlnf("split: %s", splitText(a.Split))
	}
	if a.Choice != nil {
		env.Printlnf("choice: %s", choiceText(a.Choice))
	}
	if q := a.Queue; q != nil {
		env.Printlnf("queue, by its last report: %s; wait %g ms, %s, time left %d ms", q.Answer, q.WaitMs, redirectText(q.RedirectMs), q.TimeLeftMs)
	}
	if err := printCandidates(env, a.Candidates); err != nil {
		return err
	}
	env.Printlnf("\nnot known:")
	for _, u := range a.Unknown {
		env.Printlnf("  %s: %s", u.What, u.Why)
	}
	return nil
}

// printCandidates writes the servers as a table; the chosen one is marked.
func printCandidates(env *cli.Env, candidates []api.Candidate) error {
	var rows [][]string
	for _, c := range candidates {
		mark := ""
		if c.Chosen {
			mark = "*"
		}
		row := []string{mark, c.Place, c.Server, c.Node}
		if c.Unusable != "" {
			rows = append(rows, append(row, "-", "-", "-", "unusable: "+c.Unusable))
			continue
		}
		busy := fmt.Sprintf("%d+%d of %d, queued %d", c.InProgress, c.SentSince, c.Limit, c.Queued)
		rows = append(rows, append(row, fmt.Sprintf("%g ms", c.EstimateMs), busy, ageText(c.ReportAgeMs), termsText(c)))
	}
	if len(rows) == 0 {
		return nil
	}
	env.Printlnf("")
	return env.PrintTable([]string{"", "PLACE", "SERVER", "NODE", "ESTIMATE", "BUSY+SENT", "AGE", "WHY"}, rows)
}

func outcomeText(o api.Outcome) string {
	switch {
	case o.Result == api.ResultSent && o.Away:
		return fmt.Sprintf("sent to another place: to server %s of service %s in place %s", o.Server, o.Service, o.Place)
	case o.Result == api.ResultSent:
		return fmt.Sprintf("sent within the place: to server %s of service %s in place %s", o.Server, o.Service, o.Place)
	}
	text := fmt.Sprintf("%s: %d, %s", o.Result, o.Status, o.Cause)
	if o.RetryAfterMs > 0 {
		text += fmt.Sprintf(", Retry-After from %d ms", o.RetryAfterMs)
	}
	return text
}

func identityText(i api.Identity) string {
	switch {
	case i.Status != 0:
		return fmt.Sprintf("refused with %d, %s (given: %s)", i.Status, i.Cause, i.Given)
	case !i.Required:
		return "no key needed"
	case i.Team == "":
		return "not decided (given: " + i.Given + ")"
	}
	return fmt.Sprintf("team %s (given: %s)", i.Team, i.Given)
}

func leaseText(l api.Lease) string {
	switch {
	case !l.Required:
		return "not needed"
	case l.AgeMs < 0:
		return "none; no proof since the start of the process"
	case l.Held:
		return fmt.Sprintf("held, proof %d ms old, limit %d ms", l.AgeMs, l.LimitMs)
	}
	return fmt.Sprintf("ended, proof %d ms old, limit %d ms", l.AgeMs, l.LimitMs)
}

func quotaText(q api.Quota) string {
	if !q.Limited {
		return "none"
	}
	text := fmt.Sprintf("%g/s, burst %g: %s; owner %s, %d tokens held", q.PerSecond, q.Burst, q.Decision, orDash(q.Owner), q.Tokens)
	if q.EmptyForMs > 0 {
		text += fmt.Sprintf(", none at the owner for %d ms", q.EmptyForMs)
	}
	return text
}

func splitText(parts []api.Part) string {
	var texts []string
	for _, p := range parts {
		text := fmt.Sprintf("%s (weight %g)", p.Service, p.Weight)
		if p.Next {
			text += " next"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ", ")
}

func sharesText(shares map[string]float64) string {
	if len(shares) == 0 {
		return "none"
	}
	var texts []string
	for _, place := range slices.Sorted(maps.Keys(shares)) {
		texts = append(texts, fmt.Sprintf("%.0f %% to %s", 100*shares[place], place))
	}
	return strings.Join(texts, ", ")
}

// termsText returns the parts of an estimate, the largest first, and the flags of the server.
func termsText(c api.Candidate) string {
	names := slices.SortedFunc(maps.Keys(c.Terms), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.Terms[b], c.Terms[a]), strings.Compare(a, b))
	})
	var texts []string
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %g", name, c.Terms[name]))
	}
	if c.Suspect {
		texts = append(texts, "suspect")
	}
	if c.ColdMs > 0 {
		texts = append(texts, fmt.Sprintf("cold for %d ms", c.ColdMs))
	}
	if c.RateLimit > 0 {
		texts = append(texts, fmt.Sprintf("limit %g/s", c.RateLimit))
	}
	if !c.HasRoom {
		texts = append(texts, "no room")
	}
	return strings.Join(texts, ", ")
}

func ageText(ms float64) string {
	if ms < 0 {
		return "no report"
	}
	return fmt.Sprintf("%.0f ms", ms)
}

func redirectText(ms float64) string {
	if ms == 0 {
		return "not redirected, because there is no other server"
	}
	return fmt.Sprintf("redirected if the wait exceeds %g ms", ms)
}

// rankBits is the number of bits of each part of a rank.
const rankBits = 16

// rankText returns a rank. With a team, the rank of the team precedes that of the route.
func rankText(rank uint32, i api.Identity) string {
	team, route := rank>>rankBits, rank&(1<<rankBits-1)
	if team == 0 && i.Team == "" {
		return strconv.FormatUint(uint64(route), 10)
	}
	return fmt.Sprintf("%d then %d", team, route)
}

func choiceText(c *api.Choice) string {
	if c.Rule == api.RulePenalty {
		return fmt.Sprintf("%s (%g ms)", c.Rule, c.TransferPenaltyMs)
	}
	return c.Rule + " (" + sharesText(c.LeavingShares) + ")"
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
