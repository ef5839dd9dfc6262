package story

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/radishstand/radishstand/ctl/cli"
)

// Print writes the story as text: a line for each event in the order of time, and what the logs lack.
func (s *Story) Print(env *cli.Env) error {
	rows := make([][]string, 0, len(s.Events))
	for _, e := range s.Events {
		rows = append(rows, []string{fmt.Sprintf("%+d", e.OffsetMs), e.Log, string(e.Relation), e.Message, e.details()})
	}
	if err := env.PrintTable([]string{"MS", "NODE", "ABOUT", "EVENT", "DETAILS"}, rows); err != nil {
		return err
	}
	for _, gap := range s.Missing {
		env.Printlnf("missing: %s", gap)
	}
	return nil
}

// details returns the inputs and the outcome of the decision that an event logs.
func (e Event) details() string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	if e.Relation != Own && e.Relation != State {
		add("id", e.ID)
	}
	add("service", e.Service)
	add("server", e.Server)
	add("peer", e.Peer)
	add("state", e.State)
	add("ready", boolText(e.Ready))
	add("limited", boolText(e.Limited))
	if e.PerSecond > 0 {
		add("perSecond", strconv.FormatFloat(e.PerSecond, 'g', -1, 64))
	}
	add("leaving", boolText(e.Leaving))
	add("attempts", intText(e.Attempts))
	add("redirects", intText(e.Redirects))
	if e.TookMs > 0 {
		add("tookMs", strconv.FormatInt(e.TookMs, 10))
	}
	if e.Version > 0 {
		add("version", strconv.FormatUint(e.Version, 10))
	}
	if e.Status > 0 {
		add("status", strconv.Itoa(e.Status))
	}
	if e.Cause != "" {
		add("cause", strconv.Quote(e.Cause))
	}
	if meaning := meaningOf(e.Record); meaning != "" {
		parts = append(parts, "("+meaning+")")
	}
	return strings.Join(parts, " ")
}

// meaningOf says what the final answer of a node promises.
func meaningOf(r Record) string {
	if r.Message != "call failed" && r.Message != "request refused" {
		return ""
	}
	switch r.Status {
	case http.StatusServiceUnavailable:
		return "it has not run"
	case http.StatusBadGateway:
		return "it may have run, its answer is lost"
	case http.StatusGatewayTimeout:
		return "its time was over, it may have run"
	}
	return ""
}

func boolText(b *bool) string {
	if b == nil {
		return ""
	}
	return strconv.FormatBool(*b)
}

func intText(n *int) string {
	if n == nil {
		return ""
	}
	return strconv.Itoa(*n)
}
