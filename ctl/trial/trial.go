// Package trial holds the subcommands that run stand-ins as processes, for trials by hand.
package trial

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishstand/radishstand/ctl/cli"
	"github.com/radishstand/radishstand/node/backendtest"
	"github.com/radishstand/radishstand/node/platformtest"
)

// Platform returns the subcommand `platform`.
func Platform(env *cli.Env) *ffcli.Command {
	fs := env.Flags("platform")
	listen := fs.String("listen", "127.0.0.1:7500", "host:port to listen on")
	delay := fs.Duration("delay", 0, "time that every operation takes longer")
	return cli.Command{
		Name: "platform", Usage: "radishctl platform [options]", Short: "run a stand-in of the platform, for trials", Flags: fs,
		Long: "Serves the table service and the object store from memory on one address. It is for trials only: nothing is kept,\n" +
			"and no signature is checked. SIGUSR1 takes the store away, a second one gives it back.",
		Examples: []string{"radishctl platform --listen 127.0.0.1:7500", "radishctl platform --delay 200ms"},
		Run: func(ctx context.Context, _ []string) error {
			memory := platformtest.NewMemory()
			var down atomic.Bool
			memory.SetFault(func(platformtest.Operation) platformtest.Fault {
				return platformtest.Fault{Delay: *delay, Down: down.Load()}
			})
			server := platformtest.NewServer(memory)
			if err := server.Start(*listen); err != nil {
				return err
			}
			defer server.Stop()
			env.Printf("platform stand-in at %s", server.URL())
			toggle := make(chan os.Signal, 1)
			signal.Notify(toggle, syscall.SIGUSR1)
			defer signal.Stop(toggle)
			for {
				select {
				case <-ctx.Done():
					reads, writes := memory.Counts()
					env.Printf("items read %d, written %d", reads, writes)
					return nil
				case <-toggle:
					down.Store(!down.Load())
					env.Printf("store down: %t", down.Load())
				}
			}
		},
	}.Build()
}

const (
	drainPoll = 20 * time.Millisecond
	drainMax  = 30 * time.Second
	// drainSpread is the time for which a leaving server still takes calls, so that every node has received the drain.
	drainSpread = 2 * time.Second
)

// Backend returns the subcommand `backend`.
func Backend(env *cli.Env) *ffcli.Command {
	fs := env.Flags("backend")
	announceTo := fs.String("announce-to", "127.0.0.1:7402", "listen.server address of the node beside the server")
	service := fs.String("service", "", "service that the server belongs to")
	slots := fs.Int("slots", 16, "calls that the server works on at a time")
	took := fs.Duration("service-time", 5*time.Millisecond, "time that a call takes")
	renew := fs.Duration("renew", time.Second, "period of the announcements")
	return cli.Command{
		Name: "backend", Usage: "radishctl backend --service <service> [options]", Short: "run a fake backend server, for trials", Flags: fs,
		Long: "Answers every call and echoes its X-Token header. It announces itself to a node until SIGTERM, then drains, and\n" +
			"prints how many calls ran and how many tokens ran more than once.",
		Examples: []string{"radishctl backend --service quotes --announce-to 127.0.0.1:7402 --service-time 20ms"},
		Run: func(ctx context.Context, _ []string) error {
			if *service == "" || *slots < 1 {
				return cli.Fail(cli.ExitInvalid, "backend: --service is needed, and --slots must be at least 1")
			}
			server, err := backendtest.Start(*service, *slots)
			if err != nil {
				return err
			}
			defer server.Close()
			server.Set(backendtest.Behaviour{ServiceTime: *took})
			if err := announceUntil(ctx, server, *announceTo, *renew); err != nil {
				return &cli.Error{Code: cli.ExitUnavailable, Err: err}
			}
			env.Printf("backend server of %s at %s", *service, server.Address())
			<-ctx.Done()
			leave(server, *announceTo)
			return summary(env, server)
		},
	}.Build()
}

// announceUntil repeats the first announcement until the node takes it, and renews it from then on.
func announceUntil(ctx context.Context, server *backendtest.Server, node string, every time.Duration) error {
	for {
		err := server.KeepAnnounced(node, every)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(every):
		}
	}
}

// leave drains the server: it announces the drain, finishes its calls and withdraws.
func leave(server *backendtest.Server, node string) {
	server.StopRenewing()
	if server.Announce(node, true) == nil {
		time.Sleep(drainSpread)
	}
	for end := time.Now().Add(drainMax); server.InProgress() > 0 && time.Now().Before(end); {
		time.Sleep(drainPoll)
	}
	_ = server.Withdraw(node)
}

func summary(env *cli.Env, server *backendtest.Server) error {
	total, double := 0, 0
	for token, runs := range server.AllRuns() {
		total += runs
		if token != "" && runs > 1 {
			double++
		}
	}
	if env.JSON {
		return env.PrintJSON(map[string]int{"runs": total, "repeatedTokens": double, "measures": server.ProbeCount()})
	}
	env.Printf("%d calls ran, %d tokens more than once, %d measuring requests, %d broken", total, double, server.ProbeCount(), server.Broken())
	return nil
}
