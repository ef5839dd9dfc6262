// Command harness runs the scripted cases of the review. Each case starts the project's node beside stand-ins for backends,
// requesters and the platform's store, on loopback addresses and the real clock. See ../REPORT.md.
//
// Exit code: 1 when the rule was broken, 0 when it held, 2 when the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// runLimit ends a run that takes longer than the issue allows.
	runLimit = 115 * time.Second
)

var cases = map[string]func(*fleet, bool) (broken bool, err error){}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := newFleet(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	end := func(code int) {
		f.stop()
		os.Exit(code)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(runLimit):
		}
		f.record("not run: interrupted or over the time limit")
		end(exitNotRun)
	}()
	f.record("case %s, trouble %v", *name, trouble)
	broken, err := run(f, trouble)
	switch {
	case err != nil:
		f.record("not run: %v", err)
		fmt.Println("not run:", err)
		end(exitNotRun)
	case broken:
		f.record("RULE BROKEN")
		fmt.Println("rule broken")
		end(exitBroken)
	}
	f.record("rule held")
	fmt.Println("rule held")
	end(exitHeld)
}
