// Package show implements the subcommands that show the state of a node and its fleet.
package show

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/ctl/cli"
	"github.com/radishstand/radishstand/ctl/client"
)

// Commands returns the subcommands status, members, servers and dump.
func Commands(env *cli.Env) []*ffcli.Command {
	return []*ffcli.Command{
		newCommand(env, "status", "show how the node and its fleet are doing", operator.PathStatus,
			"Prints the node's state, its settings version, the members by state, the version in force by place, places that\n"+
				"this node cannot reach, and the circuit breakers towards the store.", printStatus),
		newCommand(env, "members", "list the nodes of the fleet", operator.PathMembers,
			"Lists the members as the node knows them, with the settings version that each of them last reported.", printMembers),
		newCommand(env, "servers", "list the backend servers with their load", operator.PathServers,
			"Lists the backend servers of the fleet. Load is shown for the services that this node calls; it comes from the last\n"+
				"report, and the column age says how old that is.", printServers),
		newCommand(env, "dump", "print the whole state of the node as JSON", operator.PathDump,
			"Prints the node's state: calls in progress and the last calls, balancer, admission, members, ledger, store.\n"+
				"The form may change between releases.", printDump),
	}
}

// newCommand returns a subcommand that requests a path of the API and prints the answer as JSON (--json) or with the function
// print.
func newCommand(env *cli.Env, name, short, path, long string, print func(*cli.Env, []byte) error) *ffcli.Command {
	return cli.Command{
		Name: name, Usage: "radishctl " + name + " [options]", Short: short, Long: long, Flags: env.Flags(name),
		Examples: []string{"radishctl " + name + " --node 10.1.2.3:7403", "radishctl " + name + " --json"},
		Run: func(ctx context.Context, _ []string) error {
			var raw json.RawMessage
			if err := client.FromEnv(env).Get(ctx, path, nil, &raw); err != nil {
				return err
			}
			if env.JSON {
				return env.PrintJSON(raw)
			}
			return print(env, raw)
		},
	}.Build()
}

func printDump(env *cli.Env, raw []byte) error { return env.PrintJSON(json.RawMessage(raw)) }

func printStatus(env *cli.Env, raw []byte) error {
	var s operator.Status
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	env.Printlnf("node %s in place %s is %s; %d calls in progress", s.Node, s.Place, s.State, s.InProgress)
	env.Printlnf("settings version %d", s.SettingsVersion)
	env.Printlnf("members: %s", formatCounts(s.MembersByState))
	for _, name := range slices.Sorted(maps.Keys(s.Store)) {
		env.Printlnf("store, %s: breaker %s", name, s.Store[name])
	}
	for _, place := range s.Unreachable {
		env.Printlnf("place %s cannot be reached from here", place)
	}
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(s.Places)) {
		p := s.Places[name]
		rows = append(rows, []string{name, strconv.Itoa(p.Nodes), strconv.Itoa(p.InForce)})
	}
	return env.PrintTable([]string{"PLACE", "NODES", "VERSION IN FORCE"}, rows)
}

func formatCounts(m map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%d %s", m[name], name))
	}
	return strings.Join(parts, ", ")
}

func printMembers(env *cli.Env, raw []byte) error {
	var list []operator.Member
	if err := json.Unmarshal(raw, &list); err != nil {
		return err
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		return a.Place < b.Place || a.Place == b.Place && a.Address < b.Address
	})
	var rows [][]string
	for _, m := range list {
		rows = append(rows, []string{
			m.Place, m.Address, m.State, strconv.FormatUint(m.Incarnation, 10), orDash(m.Service), strconv.Itoa(m.Slots),
			yesOrDash(m.Draining), strconv.FormatInt(m.SettingsVersion, 10),
		})
	}
	return env.PrintTable([]string{"PLACE", "NODE", "STATE", "INCARNATION", "SERVICE", "SLOTS", "DRAINING", "SETTINGS"}, rows)
}

func printServers(env *cli.Env, raw []byte) error {
	var list []operator.Server
	if err := json.Unmarshal(raw, &list); err != nil {
		return err
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		return a.Service < b.Service || a.Service == b.Service && a.ID < b.ID
	})
	var rows [][]string
	for _, s := range list {
		rows = append(rows, []string{
			s.Service, s.Place, s.ID, fmt.Sprintf("%d/%d of %d", s.InProgress, s.Limit, s.Slots), strconv.Itoa(s.Queued),
			fmt.Sprintf("%.1f ms", s.ServiceMs), fmt.Sprintf("%.0f ms", s.AgeMs), yesOrDash(s.Draining), ejectionText(s.EjectedForMs),
		})
	}
	return env.PrintTable([]string{"SERVICE", "PLACE", "SERVER", "BUSY/LIMIT", "QUEUED", "SERVICE TIME", "AGE", "DRAINING", "EJECTED"}, rows)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func yesOrDash(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}

func ejectionText(ms float64) string {
	if ms <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f ms", ms)
}
