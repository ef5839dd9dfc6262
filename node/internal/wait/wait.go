// Package wait pauses a goroutine until a time has passed or a context ends.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d. It returns the error of the context if that ends first.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Backoff waits like For, for a random time between the half of d and d, so that what failed together is not repeated
// together.
func Backoff(ctx context.Context, d time.Duration) error {
	return For(ctx, d/2+rand.N(max(d/2, 1)))
}
