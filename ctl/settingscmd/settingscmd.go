// Package settingscmd implements the subcommands of `radishctl settings`.
package settingscmd

import (
	"context"
	"encoding/json"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/cli"
	"github.com/radishstand/radishstand/ctl/client"
)

// Command returns the command `settings` with its subcommands.
func Command(env *cli.Env) *ffcli.Command {
	return cli.Command{
		Name: "settings", Usage: "radishctl settings <subcommand> [options]", Short: "read and edit the settings tree",
		Long: "A path names a level and a setting below it: defaults.<setting>, places.<place>.values.<setting> or\n" +
			"places.<place>.services.<service>.<setting>. `radishctl settings reference` lists all settings.",
		Flags: env.Flags("settings"),
		Subcommands: []*ffcli.Command{
			get(env), set(env), unset(env), diff(env), history(env), explain(env), check(env), rollback(env),
			schema(env),
			reference(env),
		},
	}.Build()
}

func get(env *cli.Env) *ffcli.Command {
	fs := env.Flags("get")
	version := fs.Int64("version", 0, "version to read; 0 for the version in force")
	return cli.Command{
		Name: "get", Usage: "radishctl settings get [options] [path]", Short: "print the settings, or the part at a path",
		Long:     "Prints what is set in the tree. Values that are inherited are shown by `radishctl settings explain`.",
		Examples: []string{"radishctl settings get", "radishctl settings get places.hue.services.quotes", "radishctl settings get --version 12"},
		Flags:    fs, MaxArgs: 1,
		Run: func(ctx context.Context, args []string) error {
			s, err := client.FromEnv(env).Settings(ctx, *version)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				if s.Tree, err = subtree(s.Tree, args[0]); err != nil {
					return err
				}
			}
			if env.JSON {
				return env.PrintJSON(s)
			}
			if err := env.PrintJSON(s.Tree); err != nil {
				return err
			}
			env.Printlnf("version %d", s.Version)
			return nil
		},
	}.Build()
}

// subtree returns the JSON value at a path of the tree.
func subtree(tree json.RawMessage, path string) (json.RawMessage, error) {
	for step := range strings.SplitSeq(path, ".") {
		var object map[string]json.RawMessage
		next, ok := json.RawMessage(nil), false
		if json.Unmarshal(tree, &object) == nil {
			next, ok = object[step]
		}
		if !ok {
			return nil, cli.Fail(cli.ExitFailed, "%s is not set", path)
		}
		tree = next
	}
	return tree, nil
}

func diff(env *cli.Env) *ffcli.Command {
	fs := env.Flags("diff")
	file := fs.String("file", "", "settings file to compare with; - for standard input")
	return cli.Command{
		Name: "diff", Usage: "radishctl settings diff [options] [from [to]]", Short: "compare two versions, or a version and a file",
		Long:     "Compares version <from> with version <to>, by default the version in force, or with a file.",
		Examples: []string{"radishctl settings diff 11", "radishctl settings diff 11 12", "radishctl settings diff --file settings.json"},
		Flags:    fs, MaxArgs: 2,
		Run: func(ctx context.Context, args []string) error {
			if len(args) == 0 && *file == "" || len(args) == 2 && *file != "" {
				return cli.Fail(cli.ExitInvalid, "diff: give one or two versions, or --file with at most one version")
			}
			before, after, err := treesToCompare(ctx, env, args, *file)
			if err != nil {
				return err
			}
			return printDiff(env, settings.Diff(before, after))
		},
	}.Build()
}

// treesToCompare returns the two trees that the arguments of diff select.
func treesToCompare(ctx context.Context, env *cli.Env, args []string, file string) (before, after *settings.Tree, err error) {
	versions := []int64{0, 0}
	for i, text := range args {
		if versions[i], err = strconv.ParseInt(text, 10, 64); err != nil || versions[i] < 1 {
			return nil, nil, cli.Fail(cli.ExitInvalid, "diff: %q is not a version; allowed are whole numbers from 1", text)
		}
	}
	if _, before, err = client.FromEnv(env).Tree(ctx, versions[0]); err != nil {
		return nil, nil, err
	}
	if file != "" {
		after, err = readTree(env, file)
		return before, after, err
	}
	_, after, err = client.FromEnv(env).Tree(ctx, versions[1])
	return before, after, err
}

func printDiff(env *cli.Env, differences []settings.Difference) error {
	if env.JSON {
		if differences == nil {
			differences = []settings.Difference{}
		}
		return env.PrintJSON(differences)
	}
	var rows [][]string
	for _, d := range differences {
		rows = append(rows, []string{d.Path, orUnset(d.Old), orUnset(d.New)})
	}
	return env.PrintTable([]string{"PATH", "OLD", "NEW"}, rows)
}

func orUnset(value json.RawMessage) string {
	if value == nil {
		return "(unset)"
	}
	return string(value)
}

func history(env *cli.Env) *ffcli.Command {
	fs := env.Flags("history")
	limit := fs.Int("limit", 20, "most versions to list")
	after := fs.Int64("after", -1, "list versions after this one; -1 for the newest ones")
	return cli.Command{
		Name: "history", Usage: "radishctl settings history [options]", Short: "list the changes of the settings",
		Long: "Lists versions with their author, change id and edits, the oldest first.", Flags: fs,
		Examples: []string{"radishctl settings history", "radishctl settings history --after 100 --limit 50 --json"},
		Run: func(ctx context.Context, _ []string) error {
			query := url.Values{"limit": {strconv.Itoa(*limit)}}
			if *after >= 0 {
				query.Set("after", strconv.FormatInt(*after, 10))
			}
			var list []operator.Version
			if err := client.FromEnv(env).Get(ctx, operator.PathHistory, query, &list); err != nil {
				return err
			}
			if env.JSON {
				return env.PrintJSON(list)
			}
			return printHistory(env, list)
		},
	}.Build()
}

func printHistory(env *cli.Env, list []operator.Version) error {
	var rows [][]string
	for _, v := range list {
		at := time.UnixMilli(v.CommittedUnixMs).UTC().Format(time.RFC3339)
		for i, e := range v.Edits {
			head := []string{"", "", "", ""}
			if i == 0 {
				head = []string{strconv.FormatInt(v.Version, 10), at, v.Author, v.ChangeID}
			}
			rows = append(rows, append(head, editText(e)))
		}
	}
	return env.PrintTable([]string{"VERSION", "COMMITTED", "AUTHOR", "CHANGE", "EDITS"}, rows)
}

func editText(e settings.Edit) string {
	if e.Unset {
		return "unset " + e.Path
	}
	return e.Path + "=" + string(e.Value)
}

func explain(env *cli.Env) *ffcli.Command {
	fs := env.Flags("explain")
	place := fs.String("place", "", "place to resolve for")
	service := fs.String("service", "", "service to resolve for")
	return cli.Command{
		Name: "explain", Usage: "radishctl settings explain [options] [prefix]", Flags: fs, MaxArgs: 1,
		Short:    "show the value of each setting and the level that gives it",
		Long:     "Resolves the settings of a service at a place. A prefix such as retry limits the output.",
		Examples: []string{"radishctl settings explain --place hue --service quotes", "radishctl settings explain --place hue --service quotes retry"},
		Run: func(ctx context.Context, args []string) error {
			query := url.Values{"place": {*place}, "service": {*service}}
			var list []settings.Explanation
			if err := client.FromEnv(env).Get(ctx, operator.PathExplain, query, &list); err != nil {
				return err
			}
			if len(args) == 1 {
				list = withPrefix(list, args[0])
			}
			if env.JSON {
				return env.PrintJSON(list)
			}
			var rows [][]string
			for _, e := range list {
				rows = append(rows, []string{e.Key, string(e.Value), e.Level})
			}
			return env.PrintTable([]string{"SETTING", "VALUE", "FROM"}, rows)
		},
	}.Build()
}

func withPrefix(list []settings.Explanation, prefix string) []settings.Explanation {
	kept := []settings.Explanation{}
	for _, e := range list {
		if strings.HasPrefix(e.Key, prefix) {
			kept = append(kept, e)
		}
	}
	return kept
}

func check(env *cli.Env) *ffcli.Command {
	return cli.Command{
		Name: "check", Usage: "radishctl settings check [options] <file>", Short: "validate a settings file without a node",
		Long:     "Reads a settings tree and lists every fault with its path and what is allowed. - reads standard input.",
		Examples: []string{"radishctl settings check settings.json"}, Flags: env.Flags("check"), MinArgs: 1, MaxArgs: 1,
		Run: func(_ context.Context, args []string) error {
			tree, err := readTree(env, args[0])
			if err != nil {
				return err
			}
			if env.JSON {
				return env.PrintJSON(map[string]any{"valid": true})
			}
			env.Printlnf("valid: %d places, %d services", len(tree.Places), len(tree.Services()))
			return nil
		},
	}.Build()
}

// readTree reads a settings tree from a file, or from standard input for "-".
func readTree(env *cli.Env, file string) (*settings.Tree, error) {
	data, err := readFile(env, file)
	if err != nil {
		return nil, &cli.Error{Code: cli.ExitInvalid, Err: err}
	}
	tree, err := settings.Parse(data)
	if err != nil {
		return nil, &cli.Error{Code: cli.ExitInvalid, Err: err}
	}
	return tree, nil
}

func readFile(env *cli.Env, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(env.Stdin)
	}
	return os.ReadFile(file)
}

func schema(env *cli.Env) *ffcli.Command {
	return cli.Command{
		Name: "schema", Usage: "radishctl settings schema", Short: "print the JSON Schema of the settings tree",
		Long: "Needs no node.", Examples: []string{"radishctl settings schema > settings.schema.json"}, Flags: env.Flags("schema"),
		Run: func(context.Context, []string) error {
			_, err := env.Stdout.Write(settings.JSONSchema())
			return err
		},
	}.Build()
}

func reference(env *cli.Env) *ffcli.Command {
	return cli.Command{
		Name: "reference", Usage: "radishctl settings reference [options]", Short: "print the reference of all settings as Markdown",
		Long: "Needs no node. The same text is in docs/settings.md.", Examples: []string{"radishctl settings reference"},
		Flags: env.Flags("reference"),
		Run: func(context.Context, []string) error {
			_, err := env.Stdout.Write(settings.Reference())
			return err
		},
	}.Build()
}
