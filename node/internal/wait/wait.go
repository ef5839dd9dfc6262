// Package wait pauses a goroutine until a time has passed or a context ends.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d. If ctx ends first, it returns the error of ctx.
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

// Backoff waits like For, but for a random duration between d/2 and d, so that operations that failed at the same time are
// not retried at the same time.
func Backoff(ctx context.Context, d time.Duration) error {
	return For(ctx, d/2+rand.N(max(d/2, 1)))
}
