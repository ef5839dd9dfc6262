// Package cli implements what the subcommands of radishctl share: their environment, options, output and exit codes.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of radishctl.
const (
	ExitOK = 0
	// ExitFailed is the code of every failure without a code of its own, such as a refused certificate or token.
	ExitFailed = 1
	// ExitInvalid is the code of wrong usage and of settings that were refused as invalid.
	ExitInvalid = 2
	// ExitConflict is the code of an edit of a setting that changed since the base version of the edit.
	ExitConflict = 3
	// ExitUnavailable is the code of an outcome that stayed unknown and of a node or store that is unreachable.
	ExitUnavailable = 4
	// ExitCheck is the code of a failed check, such as an invariant of the demo that was violated.
	ExitCheck = 5
)

// Error is an error with an exit code.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Fail returns an Error with an exit code and a formatted message.
func Fail(code int, format string, args ...any) error {
	return &Error{Code: code, Err: fmt.Errorf(format, args...)}
}

// ExitCode returns the exit code for the error that a command returned.
func ExitCode(err error) int {
	var coded *Error
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &coded):
		return coded.Code
	}
	return ExitFailed
}

// Env is the environment of a command: its streams and the values of the shared options.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Node is the address of a node's operators' listener, host:port or URL.
	Node string
	// Token is the operators' bearer token.
	Token string
	// Identity names the files that authenticate the nodes and the operator.
	Identity Identity
	// JSON selects JSON output for scripts.
	JSON bool
}

// DefaultNode is the address of the node if --node is not set.
const DefaultNode = "127.0.0.1:7403"

// Flags returns a flag set for a command with the options that all commands share. The defaults are the current values of
// the options, so that a shared option can be set before or after the name of a subcommand.
func (e *Env) Flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(e.Stderr)
	e.registerShared(fs)
	return fs
}

// sharedFlag writes the value of a flag to a shared option. Unlike flag.StringVar, it never resets the option to a default.
type sharedFlag struct{ target *string }

func (f sharedFlag) String() string {
	if f.target == nil {
		return ""
	}
	return *f.target
}

func (f sharedFlag) Set(text string) error {
	*f.target = text
	return nil
}

func (e *Env) registerShared(fs *flag.FlagSet) {
	fs.Var(sharedFlag{&e.Node}, "node", "address of a node's operators' listener, host:port or URL (environment RADISHCTL_NODE)")
	fs.Func("token", "bearer token of operators (environment RADISHCTL_TOKEN)", func(text string) error {
		e.Token = text
		return nil
	})
	fs.Var(sharedFlag{&e.Identity.TokenFile}, "token-file", "file with the bearer token (environment RADISHCTL_TOKEN_FILE)")
	fs.Var(sharedFlag{&e.Identity.CAFile}, "ca-file", "PEM file with the CA of the listeners' certificates (environment RADISHCTL_CA_FILE)")
	fs.Var(sharedFlag{&e.Identity.CertFile}, "cert-file", "PEM file with the operator's client certificate (environment RADISHCTL_CERT_FILE)")
	fs.Var(sharedFlag{&e.Identity.KeyFile}, "key-file", "PEM file with the key of cert-file (environment RADISHCTL_KEY_FILE)")
	fs.BoolVar(&e.JSON, "json", e.JSON, "print JSON")
}

// Command describes a command or subcommand of radishctl.
type Command struct {
	Name, Usage, Short string
	// Long is the detailed help text. Examples are complete command lines.
	Long     string
	Examples []string
	Flags    *flag.FlagSet
	// MinArgs and MaxArgs bound the number of arguments. A negative MaxArgs sets no upper bound.
	MinArgs, MaxArgs int
	Run              func(ctx context.Context, args []string) error
	Subcommands      []*ffcli.Command
}

// Build returns the command as an ffcli.Command.
func (c Command) Build() *ffcli.Command {
	long := c.Long
	if len(c.Examples) > 0 {
		long += "\n\nEXAMPLES\n  " + strings.Join(c.Examples, "\n  ")
	}
	return &ffcli.Command{
		Name: c.Name, ShortUsage: c.Usage, ShortHelp: c.Short, LongHelp: long, FlagSet: c.Flags,
		Subcommands: c.Subcommands, Exec: c.exec,
	}
}

func (c Command) exec(ctx context.Context, args []string) error {
	for _, arg := range args {
		if strings.HasPrefix(arg, "--") {
			return Fail(ExitInvalid, "%s: option %s must stand before the arguments", c.Name, arg)
		}
	}
	if c.Run == nil {
		if len(args) > 0 {
			return Fail(ExitInvalid, "%s: unknown subcommand %q", c.Name, args[0])
		}
		return flag.ErrHelp
	}
	if len(args) < c.MinArgs || c.MaxArgs >= 0 && len(args) > c.MaxArgs {
		return Fail(ExitInvalid, "%s: %d arguments given; usage: %s", c.Name, len(args), c.Usage)
	}
	return c.Run(ctx, args)
}

// PrintJSON writes a value as indented JSON.
func (e *Env) PrintJSON(value any) error {
	encoder := json.NewEncoder(e.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// PrintTable writes rows in aligned columns below a header row.
func (e *Env) PrintTable(head []string, rows [][]string) error {
	w := tabwriter.NewWriter(e.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{head}, rows...) {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// Printlnf writes a formatted line for human readers.
func (e *Env) Printlnf(format string, args ...any) { fmt.Fprintf(e.Stdout, format+"\n", args...) }
