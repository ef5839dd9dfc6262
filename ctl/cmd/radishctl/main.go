// Command radishctl is the command line tool of the operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishstand/radishstand/ctl/cli"
	"github.com/radishstand/radishstand/ctl/demo"
	"github.com/radishstand/radishstand/ctl/explain"
	"github.com/radishstand/radishstand/ctl/load"
	"github.com/radishstand/radishstand/ctl/settingscmd"
	"github.com/radishstand/radishstand/ctl/show"
	"github.com/radishstand/radishstand/ctl/story"
	"github.com/radishstand/radishstand/ctl/trial"
)

// envPrefix is the prefix of environment variables that set options: RADISHCTL_NODE sets --node.
const envPrefix = "RADISHCTL"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	env := &cli.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Node: cli.DefaultNode}
	code := run(ctx, env, os.Args[1:])
	stop()
	os.Exit(code)
}

// run runs the command with the given environment and arguments and returns the exit code.
func run(ctx context.Context, env *cli.Env, args []string) int {
	root := root(env)
	if err := root.Parse(args); err != nil {
		if code := cli.ExitCode(err); code == cli.ExitOK {
			return code
		}
		fmt.Fprintln(env.Stderr, "radishctl:", err)
		return cli.ExitInvalid
	}
	err := root.Run(ctx)
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("interrupted by a signal: %w", err)
	}
	if cli.ExitCode(err) != cli.ExitOK {
		fmt.Fprintln(env.Stderr, "radishctl:", err)
	}
	return cli.ExitCode(err)
}

func root(env *cli.Env) *ffcli.Command {
	subcommands := []*ffcli.Command{settingscmd.Command(env)}
	subcommands = append(subcommands, show.Commands(env)...)
	subcommands = append(subcommands, load.Command(env), story.Command(env), explain.Command(env), demo.Command(env), trial.Platform(env), trial.Backend(env))
	command := cli.Command{
		Name: "radishctl", Usage: "radishctl <subcommand> [options]", Flags: env.Flags("radishctl"), Subcommands: subcommands,
		Long: "Operates a fleet of radishstand nodes through any one of them.\n\n" +
			"EXIT CODES\n" +
			"  0  success\n" +
			"  1  failed, also when the certificate of the node, or the token or certificate of the operator, is refused\n" +
			"  2  wrong usage or invalid settings\n" +
			"  3  conflict: a setting changed since the base version\n" +
			"  4  unknown outcome, or the node or the store is unavailable\n" +
			"  5  a check did not hold, such as an invariant in the demo",
		Examples: []string{"radishctl status --node 10.1.2.3:7403", "RADISHCTL_TOKEN=secret radishctl settings get",
			"radishctl members --node https://10.1.2.3:7403 --ca-file ca.crt --cert-file alice.crt --key-file alice.key", "radishctl demo"},
	}.Build()
	command.Options = []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
	return command
}
