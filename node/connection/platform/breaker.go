package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"
)

// minJudged is how long an attempt must have lasted for the breaker to count a failure that came with the end of the
// caller's own context. A caller that gives up sooner says nothing about the store.
const minJudged = 100 * time.Millisecond

// unjudged is a failure that the breaker ignores.
type unjudged struct{ error }

func (u unjudged) Unwrap() error { return u.error }

// breaker fails fast while a service of the platform is down. Only a read of its own probes a service that was down, so
// no write of a caller ends with an unknown outcome for that purpose.
type breaker struct {
	service  string
	breaker  *gobreaker.CircuitBreaker[struct{}]
	probe    func(context.Context) error
	timeout  time.Duration
	interval func() time.Duration
	random   func() float64
	closed   func()
	counters *counters

	mu        sync.Mutex
	since     time.Time
	nextProbe time.Time
}

func (b *breaker) init(tripFailures int) {
	b.since = time.Now()
	b.breaker = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name: b.service,
		// The schedule of probes decides when a half-open breaker lets one through.
		Timeout:       time.Millisecond,
		ReadyToTrip:   func(c gobreaker.Counts) bool { return int(c.ConsecutiveFailures) >= tripFailures },
		IsSuccessful:  func(err error) bool { return !isFailure(err) },
		IsExcluded:    func(err error) bool { return errors.As(err, new(unjudged)) },
		OnStateChange: b.changed,
	})
}

// isFailure reports whether an error says that the store is not well.
func isFailure(err error) bool {
	return errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrConflict)
}

func (b *breaker) changed(_ string, from, to gobreaker.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch to {
	case gobreaker.StateOpen:
		if from == gobreaker.StateClosed {
			b.since = time.Now()
			b.scheduleProbe()
		}
	case gobreaker.StateClosed:
		b.since = time.Now()
		b.closed()
	}
}

// scheduleProbe spreads the probes of the fleet: the jitter keeps nodes apart that lost the store at the same moment.
func (b *breaker) scheduleProbe() {
	const least, spread = 0.5, 1
	b.nextProbe = time.Now().Add(time.Duration(float64(b.interval()) * (least + spread*b.random())))
}

// enter returns nil when the service may be called. When it was down and the next probe is due, the probe comes first
// and the caller waits for it.
func (b *breaker) enter(ctx context.Context) error {
	switch b.breaker.State() {
	case gobreaker.StateClosed:
		return nil
	case gobreaker.StateHalfOpen:
		if b.takeProbe() {
			return b.runProbe(ctx)
		}
	}
	return b.failFast()
}

func (b *breaker) failFast() error {
	b.counters.failedFast.Inc(1)
	return fmt.Errorf("%w: %s is down", ErrUnavailable, b.service)
}

func (b *breaker) takeProbe() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.nextProbe) {
		return false
	}
	b.scheduleProbe()
	return true
}

// runProbe does not end with ctx, because an impatient caller would otherwise prolong the outage.
func (b *breaker) runProbe(ctx context.Context) error {
	b.counters.probes.Inc(1)
	done := make(chan error, 1)
	go func() {
		probing, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.timeout)
		defer cancel()
		done <- b.do(func() error {
			err := classify(b.probe(probing), false)
			b.counters.count(err)
			return err
		})
	}()
	select {
	case err := <-done:
		if isFailure(err) {
			return err
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %s is down", ErrUnavailable, b.service)
	}
}

// do runs a call under the breaker.
func (b *breaker) do(call func() error) error {
	_, err := b.breaker.Execute(func() (struct{}, error) { return struct{}{}, call() })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return b.failFast()
	}
	return err
}
