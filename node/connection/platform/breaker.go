package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"
)

// minCountedDuration is the minimum duration of an attempt for the breaker to count a failure that occurs after the caller's
// own context has ended. A failure of a shorter attempt is no evidence that the store is down.
const minCountedDuration = 100 * time.Millisecond

// excludedError wraps a failure that the breaker does not count.
type excludedError struct{ error }

func (e excludedError) Unwrap() error { return e.error }

// breaker makes calls fail fast while a service of the platform is down. It probes the service only with reads of its own,
// so that no caller's write serves as a probe and ends with an unknown outcome.
type breaker struct {
	service       string
	circuit       *gobreaker.CircuitBreaker[struct{}]
	probe         func(context.Context) error
	probeTimeout  time.Duration
	probeInterval func() time.Duration
	random        func() float64
	onClose       func()
	counters      *counters

	mu        sync.Mutex
	since     time.Time
	nextProbe time.Time
}

func (b *breaker) init(tripFailures int) {
	b.since = time.Now()
	b.circuit = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name: b.service,
		// Minimal, because scheduleProbe determines when a half-open breaker lets a probe through.
		Timeout:       time.Millisecond,
		ReadyToTrip:   func(c gobreaker.Counts) bool { return int(c.ConsecutiveFailures) >= tripFailures },
		IsSuccessful:  func(err error) bool { return !isFailure(err) },
		IsExcluded:    func(err error) bool { return errors.As(err, new(excludedError)) },
		OnStateChange: b.onStateChange,
	})
}

// isFailure reports whether an error indicates that the store is down or unhealthy.
func isFailure(err error) bool {
	return errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrConflict)
}

// onStateChange is called by the circuit when its state changes.
func (b *breaker) onStateChange(_ string, from, to gobreaker.State) {
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
		b.onClose()
	}
}

// scheduleProbe sets the time of the next probe. The jitter spreads the probes of nodes that lost the store simultaneously.
func (b *breaker) scheduleProbe() {
	const minFactor, factorRange = 0.5, 1
	b.nextProbe = time.Now().Add(time.Duration(float64(b.probeInterval()) * (minFactor + factorRange*b.random())))
}

// enter returns nil if the service may be called. If the service was down and the next probe is due, enter runs the probe
// first and waits for its result.
func (b *breaker) enter(ctx context.Context) error {
	switch b.circuit.State() {
	case gobreaker.StateClosed:
		return nil
	case gobreaker.StateHalfOpen:
		if b.claimProbe() {
			return b.runProbe(ctx)
		}
	}
	return b.failFast()
}

func (b *breaker) failFast() error {
	b.counters.failedFast.Inc(1)
	return fmt.Errorf("%w: %s is down", ErrUnavailable, b.service)
}

// claimProbe reports whether a probe is due. If so, it schedules the next one, and the caller must run the probe.
func (b *breaker) claimProbe() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.nextProbe) {
		return false
	}
	b.scheduleProbe()
	return true
}

// runProbe runs a probe. The probe does not end with ctx, because a caller with a short deadline would otherwise prolong the
// outage.
func (b *breaker) runProbe(ctx context.Context) error {
	b.counters.probes.Inc(1)
	done := make(chan error, 1)
	go func() {
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.probeTimeout)
		defer cancel()
		done <- b.do(func() error {
			err := classify(b.probe(probeCtx), false)
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

// do runs a call through the circuit breaker.
func (b *breaker) do(call func() error) error {
	_, err := b.circuit.Execute(func() (struct{}, error) { return struct{}{}, call() })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return b.failFast()
	}
	return err
}
