// Package load is an open-loop load generator: calls start at their intended times whether or not earlier ones have been
// answered, and latency is measured from the intended time, so that a slow fleet does not slow down the load that
// measures it.
package load

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Work is one kind of call in the mix.
type Work struct {
	// Weight is the share of this kind, relative to the others.
	Weight  int
	Method  string
	Service string
	Path    string
	// Keyed gives every call its own Idempotency-Key.
	Keyed bool
	// BodyBytes is the size of the body of a non-idempotent call, at least 1.
	BodyBytes int
}

// Idempotent reports whether the call may run more than once.
func (w Work) Idempotent() bool {
	return w.Method == http.MethodGet || w.Method == http.MethodHead || w.Method == http.MethodOptions
}

// ParseWork parses "<weight> <method> <service> <path> [keyed] [body=<bytes>]".
func ParseWork(text string) (Work, error) {
	fields := strings.Fields(text)
	if len(fields) < 4 {
		return Work{}, fmt.Errorf("work %q: want \"<weight> <method> <service> <path> [keyed] [body=<bytes>]\"", text)
	}
	weight, err := strconv.Atoi(fields[0])
	if err != nil || weight < 1 {
		return Work{}, fmt.Errorf("work %q: weight %q is not a whole number from 1", text, fields[0])
	}
	w := Work{Weight: weight, Method: strings.ToUpper(fields[1]), Service: fields[2], Path: fields[3]}
	if !strings.HasPrefix(w.Path, "/") {
		return Work{}, fmt.Errorf("work %q: path %q does not begin with /", text, w.Path)
	}
	for _, option := range fields[4:] {
		size, isBody := strings.CutPrefix(option, "body=")
		switch {
		case option == "keyed":
			w.Keyed = true
		case isBody:
			if w.BodyBytes, err = strconv.Atoi(size); err != nil || w.BodyBytes < 0 {
				return Work{}, fmt.Errorf("work %q: body size %q is not a whole number from 0", text, size)
			}
		default:
			return Work{}, fmt.Errorf("work %q: unknown option %q; allowed are keyed and body=<bytes>", text, option)
		}
	}
	return w, nil
}

// Plan describes the load to generate.
type Plan struct {
	// Targets are the callers' listeners of nodes, host:port (plain HTTP) or URL. Calls are sent to them in turn.
	Targets []string
	// TLS is the configuration for https targets; nil trusts the CAs of the system.
	TLS *tls.Config
	// Rate is the number of calls per second. Gaps between calls are exponentially distributed.
	Rate float64
	// Duration is the length of the load; 0 continues until the context ends.
	Duration time.Duration
	Mix      []Work
	// Timeout is sent to the node in Radish-Timeout-Ms.
	Timeout time.Duration
	// TokenHeader names the header whose value the server echoes; empty disables the check.
	TokenHeader string
	// RepeatShare is the share of keyed calls that are sent again, with the same key and token, after their answer.
	RepeatShare float64
	// MaxInProgress bounds the calls in progress. Calls beyond it are not sent and are counted as skipped.
	MaxInProgress int
	// Seed initializes the random generator for gaps and choices.
	Seed uint64
}

// DefaultMaxInProgress keeps the sockets of the generator below the usual limit of open files.
const DefaultMaxInProgress = 4000

// answerGrace is the time for which an answer is awaited beyond the timeout that was sent to the node.
const answerGrace = 2 * time.Second

// Validate fills in defaults and returns all errors of the plan.
func (p *Plan) Validate() error {
	if p.MaxInProgress == 0 {
		p.MaxInProgress = DefaultMaxInProgress
	}
	for i, target := range p.Targets {
		if !strings.Contains(target, "://") {
			p.Targets[i] = "http://" + target
		}
	}
	var errs []error
	check := func(invalid bool, format string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	check(len(p.Targets) == 0, "target: at least one is needed")
	check(len(p.Mix) == 0, "work: at least one kind is needed")
	check(!(p.Rate > 0 && p.Rate <= 1e6), "rate: %g is not above 0 and at most 1000000 calls/s", p.Rate)
	check(p.Duration < 0, "duration: %s is negative", p.Duration)
	check(p.Timeout < time.Millisecond || p.Timeout > 10*time.Minute, "timeout: %s is not from 1ms to 10m", p.Timeout)
	check(!(p.RepeatShare >= 0 && p.RepeatShare <= 1), "repeat: %g is not from 0 to 1", p.RepeatShare)
	check(p.MaxInProgress < 1, "max-in-progress: %d is not positive", p.MaxInProgress)
	return errors.Join(errs...)
}
