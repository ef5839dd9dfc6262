package settingscmd

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"os/user"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/cli"
	"github.com/radishstand/radishstand/ctl/client"
)

// changeOptions are the options of the commands that change the settings.
type changeOptions struct {
	expectVersion int64
	id            string
	author        string
	wait          time.Duration
	timeout       time.Duration
}

func (o *changeOptions) register(fs *flag.FlagSet) {
	fs.Int64Var(&o.expectVersion, "expect-version", -1, "base version of the change; -1 for the version in force at the node")
	fs.StringVar(&o.id, "change-id", "", "id of the change, to repeat one whose outcome is unknown; made up when empty")
	fs.StringVar(&o.author, "author", "", "author in the history; the name of the user when empty")
	fs.DurationVar(&o.wait, "wait", 0, "wait up to this time until the version is in force everywhere; 0 does not wait")
	fs.DurationVar(&o.timeout, "timeout", 20*time.Second, "longest time to resolve an unknown outcome")
}

const changeHelp = "\n\nEdits of different settings merge. An edit of a setting that changed since the base version is refused, and both\n" +
	"values are printed. A change with an unknown outcome is submitted again under the same id until the outcome is known.\n" +
	"Exit codes: 0 accepted, 2 invalid, 3 conflict, 4 unknown outcome or unavailable, 5 accepted but not in force everywhere\n" +
	"within --wait."

func set(env *cli.Env) *ffcli.Command {
	fs, o := env.Flags("set"), &changeOptions{}
	o.register(fs)
	file := fs.String("file", "", "settings file that replaces the whole tree; - for standard input")
	return cli.Command{
		Name: "set", Usage: "radishctl settings set [options] <path>=<value>...", Flags: fs, MaxArgs: -1,
		Short: "set settings, or replace the whole tree by a file",
		Long: "Values are JSON; a value that is not JSON is taken as text. Setting anything at a place or service also adds\n" +
			"the place or service." + changeHelp,
		Examples: []string{
			"radishctl settings set --wait 3s places.hue.services.quotes.call.timeoutMs=800",
			"radishctl settings set --expect-version 12 defaults.retry.maxPerCall=1 defaults.call.class=normal",
			"radishctl settings set --file settings.json",
		},
		Run: func(ctx context.Context, args []string) error {
			if (*file == "") == (len(args) == 0) {
				return cli.Fail(cli.ExitInvalid, "set: give either <path>=<value> arguments or --file")
			}
			edits, err := assignments(args)
			if err != nil {
				return err
			}
			return submitEdits(ctx, env, o, func(base *settings.Tree) ([]settings.Edit, error) {
				if *file == "" {
					return edits, nil
				}
				tree, err := readTree(env, *file)
				if err != nil {
					return nil, err
				}
				return settings.EditsBetween(base, tree), nil
			})
		},
	}.Build()
}

func unset(env *cli.Env) *ffcli.Command {
	fs, o := env.Flags("unset"), &changeOptions{}
	o.register(fs)
	return cli.Command{
		Name: "unset", Usage: "radishctl settings unset [options] <path>...", Flags: fs, MinArgs: 1, MaxArgs: -1,
		Short:    "make settings inherit again, or remove a place or service",
		Long:     "A setting that is unset inherits from the level above." + changeHelp,
		Examples: []string{"radishctl settings unset places.hue.services.quotes.call.timeoutMs", "radishctl settings unset places.hue.services.warranty"},
		Run: func(ctx context.Context, args []string) error {
			var edits []settings.Edit
			for _, path := range args {
				edits = append(edits, settings.Unset(path))
			}
			return submitEdits(ctx, env, o, func(*settings.Tree) ([]settings.Edit, error) { return edits, nil })
		},
	}.Build()
}

func rollback(env *cli.Env) *ffcli.Command {
	fs, o := env.Flags("rollback"), &changeOptions{}
	o.register(fs)
	to := fs.Int64("to", 0, "version whose settings are restored")
	return cli.Command{
		Name: "rollback", Usage: "radishctl settings rollback [options] --to <version>", Flags: fs,
		Short:    "restore the settings of an earlier version as a new version",
		Long:     "A rollback is an edit like any other: it makes a new, higher version." + changeHelp,
		Examples: []string{"radishctl settings rollback --to 11 --wait 3s"},
		Run: func(ctx context.Context, _ []string) error {
			if *to < 1 {
				return cli.Fail(cli.ExitInvalid, "rollback: --to is %d; allowed are whole numbers from 1", *to)
			}
			base, _, err := o.base(ctx, env)
			if err != nil {
				return err
			}
			r := operator.Rollback{ID: o.changeID(), Author: o.authorName(), BaseVersion: base, ToVersion: *to}
			return o.submit(ctx, env, operator.PathRollback, r.ID, base, r)
		},
	}.Build()
}

// assignments parses <path>=<value> arguments.
func assignments(args []string) ([]settings.Edit, error) {
	var edits []settings.Edit
	for _, arg := range args {
		path, value, ok := strings.Cut(arg, "=")
		if !ok || path == "" {
			return nil, cli.Fail(cli.ExitInvalid, "set: %q is not <path>=<value>", arg)
		}
		raw := json.RawMessage(value)
		if !json.Valid(raw) {
			// Encoding a string never fails.
			raw, _ = json.Marshal(value)
		}
		edits = append(edits, settings.Set(path, raw))
	}
	return edits, nil
}

// submitEdits submits the edits that makeEdits returns for the base tree.
func submitEdits(ctx context.Context, env *cli.Env, o *changeOptions,
	makeEdits func(base *settings.Tree) ([]settings.Edit, error),
) error {
	base, tree, err := o.base(ctx, env)
	if err != nil {
		return err
	}
	edits, err := makeEdits(tree)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		env.Printlnf("nothing to change in version %d", base)
		return nil
	}
	c := operator.Change{ID: o.changeID(), Author: o.authorName(), BaseVersion: base, Edits: edits}
	return o.submit(ctx, env, operator.PathChanges, c.ID, base, c)
}

// base returns the base version of the change and its tree.
func (o *changeOptions) base(ctx context.Context, env *cli.Env) (int64, *settings.Tree, error) {
	if o.expectVersion == 0 {
		return 0, &settings.Tree{}, nil
	}
	return client.FromEnv(env).Tree(ctx, max(0, o.expectVersion))
}

func (o *changeOptions) changeID() string {
	if o.id == "" {
		o.id = rand.Text()
	}
	return o.id
}

func (o *changeOptions) authorName() string {
	if o.author != "" {
		return o.author
	}
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "radishctl"
}

// result is the output of a change with --json.
type result struct {
	operator.Accepted
	ChangeID string `json:"changeId"`
	// Everywhere, InForce and WaitedMs are set with --wait.
	Everywhere *bool             `json:"everywhere,omitempty"`
	InForce    *operator.InForce `json:"inForce,omitempty"`
	WaitedMs   int64             `json:"waitedMs,omitempty"`
}

func (o *changeOptions) submit(ctx context.Context, env *cli.Env, path, id string, base int64, body any) error {
	resolve, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	c := client.FromEnv(env)
	accepted, err := c.Submit(resolve, path, body)
	if err != nil {
		return o.reportRefusal(env, err, id, base)
	}
	r := result{Accepted: accepted, ChangeID: id}
	if !env.JSON {
		env.Printlnf("accepted as version %d (change %s)%s", accepted.Version, id, repeatedText(accepted.Repeated))
	}
	if o.wait > 0 {
		err = o.await(ctx, env, c, &r)
	}
	if env.JSON {
		if printErr := env.PrintJSON(r); printErr != nil {
			return printErr
		}
	}
	return err
}

func repeatedText(repeated bool) string {
	if repeated {
		return "; it had been accepted before"
	}
	return ""
}

// reportRefusal prints a refusal as JSON for scripts. To an unknown outcome it adds the options with which the operator can
// resolve it.
func (o *changeOptions) reportRefusal(env *cli.Env, err error, id string, base int64) error {
	if refused, ok := errors.AsType[*client.APIError](err); ok && env.JSON {
		if printErr := env.PrintJSON(refused.Body); printErr != nil {
			return printErr
		}
	}
	if errors.Is(err, client.ErrUnknownOutcome) {
		return cli.Fail(cli.ExitUnavailable, "%w\nrepeat the same command with --change-id %s --expect-version %d --author %s to learn the outcome",
			err, id, base, o.authorName())
	}
	return err
}

func (o *changeOptions) await(ctx context.Context, env *cli.Env, c *client.Client, r *result) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.wait)
	defer cancel()
	state, everywhere, err := c.AwaitInForce(ctx, r.Version)
	waited := time.Since(started)
	r.Everywhere, r.InForce, r.WaitedMs = &everywhere, &state, waited.Milliseconds()
	nodes, inForce, places, placesInForce := client.CountInForce(state)
	if !env.JSON {
		env.Printlnf("in force at %d of %d nodes, in %d of %d places, after %s", inForce, nodes, placesInForce, places,
			waited.Round(time.Millisecond))
	}
	switch {
	case everywhere:
		return nil
	case err != nil:
		return err
	}
	return cli.Fail(cli.ExitCheck, "version %d is not in force everywhere after %s", r.Version, o.wait)
}
