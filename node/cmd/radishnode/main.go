// Command radishnode runs a node of the load balancer beside a backend server.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"

	"github.com/radishstand/radishstand/node/connection/platform/awsclient"
	"github.com/radishstand/radishstand/node/process/node"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run implements main with its context, arguments and output streams as parameters. It returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o, err := parse(args, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, err)
		return exitSettings
	case o.check:
		fmt.Fprintln(stdout, "configuration is valid")
		return exitOK
	}
	logger := newLogger(stderr, o.level)
	debug.SetMemoryLimit(int64(o.memoryLimitMB) << 20)
	runtime.GOMAXPROCS(o.processors)
	logWarnings(logger, &o.config)
	client, err := awsclient.New(o.config.Platform)
	if err != nil {
		logger.Error("failed to create platform clients", "component", "main", "error", err)
		return exitSettings
	}
	defer client.Close()
	n, err := node.New(o.config, node.Store{Table: client, Objects: client}, logger)
	if err != nil {
		logger.Error("start", "component", "main", "error", err)
		return exitFailed
	}
	if err := n.Run(ctx); err != nil {
		return exitFailed
	}
	return exitOK
}

func newLogger(w io.Writer, level log.Level) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Level: level, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Formatter: log.JSONFormatter,
	})
}

// logWarnings logs a warning for each disabled protection.
func logWarnings(logger *log.Logger, c *node.Config) {
	for _, warning := range c.Warnings() {
		logger.Warn(warning, "component", "main")
	}
}
