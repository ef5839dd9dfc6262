// Package load is an open-loop load generator: calls start at their intended times whether or not earlier ones have been
// answered, and latency counts from the intended time, so that a slow fleet cannot slow the load that measures it.
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
	// Keyed gives every call an Idempotency-Key of its own.
	Keyed bool
	// BodyBytes is the size of the body of a non-idempotent call, at least 1.
	BodyBytes int
}

// Idempotent reports whether the call may run more than once.
func (w Work) Idempotent() bool {
	return w.Method == http.MethodGet || w.Method == http.MethodHead || w.Method == http.MethodOptions
}

// ParseWork reads "<weight> <method> <service> <path> [keyed] [body=<bytes>]".
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

// Plan says what load to generate.
type Plan struct {
	// Targets are callers' listeners of nodes, host:port (plain HTTP) or URL; calls go to them in turn.
	Targets []string
	// TLS of connections to https targets; nil trusts the system's CAs.
	TLS *tls.Config
	// Rate is the number of calls per second. Gaps between calls are exponentially distributed.
	Rate float64
	// Duration of the load; 0 goes on until the context ends.
	Duration time.Duration
	Mix      []Work
	// Timeout is sent to the node in Radish-Timeout-Ms.
	Timeout time.Duration
	// TokenHeader names the header whose value the server echoes; empty switches the check off.
	TokenHeader string
	// RepeatShare is the share of keyed calls that are sent again, with the same key and token, after their answer.
	RepeatShare float64
	// MaxInProgress bounds the calls in progress. A call beyond it is not sent, and is counted as skipped.
	MaxInProgress int
	// Seed of the random gaps and choices.
	Seed uint64
}

// DefaultMaxInProgress keeps the sockets of the generator below the usual limit of open files.
const DefaultMaxInProgress = 4000

// answerGrace is the time that an answer may take beyond the timeout that was sent to the node.
const answerGrace = 2 * time.Second

// Validate fills in defaults and returns the faults of the plan.
func (p *Plan) Validate() error {
	if p.MaxInProgress == 0 {
		p.MaxInProgress = DefaultMaxInProgress
	}
	for i, target := range p.Targets {
		if !strings.Contains(target, "://") {
			p.Targets[i] = "http://" + target
		}
	}
	var faults []error
	add := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	add(len(p.Targets) == 0, "target: at least one is needed")
	add(len(p.Mix) == 0, "work: at least one kind is needed")
	add(!(p.Rate > 0 && p.Rate <= 1e6), "rate: %g is not above 0 and at most 1000000 calls/s", p.Rate)
	add(p.Duration < 0, "duration: %s is negative", p.Duration)
	add(p.Timeout < time.Millisecond || p.Timeout > 10*time.Minute, "timeout: %s is not from 1ms to 10m", p.Timeout)
	add(!(p.RepeatShare >= 0 && p.RepeatShare <= 1), "repeat: %g is not from 0 to 1", p.RepeatShare)
	add(p.MaxInProgress < 1, "max-in-progress: %d is not positive", p.MaxInProgress)
	return errors.Join(faults...)
}
