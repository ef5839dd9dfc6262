package platform

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// shareRefreshInterval is the minimum interval between updates of the node's share.
const shareRefreshInterval = time.Second

// budget is this node's share of the fleet's budget of reads or writes.
type budget struct {
	fleetPerSec float64
	minBurst    int
	burstPeriod time.Duration
	nodeShare   func() float64

	limiter *rate.Limiter

	mu        sync.Mutex
	refreshed time.Time
}

func newBudget(fleetPerSec float64, l Limits, nodeShare func() float64) *budget {
	b := &budget{
		fleetPerSec: fleetPerSec, minBurst: l.MinBurst, burstPeriod: milliseconds(l.BurstMs), nodeShare: nodeShare,
		refreshed: time.Now(),
	}
	b.limiter = rate.NewLimiter(b.rateAndBurst())
	return b
}

// rateAndBurst returns this node's current rate and burst.
func (b *budget) rateAndBurst() (rate.Limit, int) {
	perSecond := b.fleetPerSec * b.nodeShare()
	return rate.Limit(perSecond), max(b.minBurst, int(math.Ceil(perSecond*b.burstPeriod.Seconds())))
}

// refresh adjusts the limiter to the node's current share.
func (b *budget) refresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.refreshed) < shareRefreshInterval {
		return
	}
	b.refreshed = now
	if perSecond, burst := b.rateAndBurst(); perSecond != b.limiter.Limit() {
		b.limiter.SetLimitAt(now, perSecond)
		b.limiter.SetBurstAt(now, burst)
	}
}

// wait consumes n items of the budget. It fails immediately if they would not be available before the deadline of ctx.
// An operation is charged for at most the burst, since no more can ever accumulate.
func (b *budget) wait(ctx context.Context, n int) error {
	b.refresh(time.Now())
	if err := b.limiter.WaitN(ctx, min(n, b.limiter.Burst())); err != nil {
		return fmt.Errorf("%w: budget: %v", ErrUnavailable, err)
	}
	return nil
}

// charge consumes n items, or the burst if that is less, without waiting. Later operations wait until they are replenished.
func (b *budget) charge(n int) {
	if n = min(n, b.limiter.Burst()); n > 0 {
		b.limiter.ReserveN(time.Now(), n)
	}
}

// drain consumes all items that have accumulated.
func (b *budget) drain() { b.charge(int(b.limiter.Tokens())) }

// BudgetState is the state of a budget in a dump.
type BudgetState struct {
	PerSecond float64 `json:"perSecond"`
	Burst     int     `json:"burst"`
	Tokens    float64 `json:"tokens"`
}

func (b *budget) state() BudgetState {
	return BudgetState{PerSecond: float64(b.limiter.Limit()), Burst: b.limiter.Burst(), Tokens: b.limiter.Tokens()}
}
