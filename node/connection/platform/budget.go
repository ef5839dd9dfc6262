package platform

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// refreshEvery bounds how often the node's share is worked out.
const refreshEvery = time.Second

// budget is this node's share of what the fleet may read or write.
type budget struct {
	fleet    float64
	minBurst int
	burst    time.Duration
	part     func() float64

	limiter *rate.Limiter

	mu        sync.Mutex
	refreshed time.Time
}

func newBudget(fleet float64, l Limits, part func() float64) *budget {
	b := &budget{fleet: fleet, minBurst: l.MinBurst, burst: milliseconds(l.BurstMs), part: part, refreshed: time.Now()}
	b.limiter = rate.NewLimiter(b.share())
	return b
}

// share returns this node's rate and burst.
func (b *budget) share() (rate.Limit, int) {
	perSecond := b.fleet * b.part()
	return rate.Limit(perSecond), max(b.minBurst, int(math.Ceil(perSecond*b.burst.Seconds())))
}

// refresh follows the node's share.
func (b *budget) refresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.refreshed) < refreshEvery {
		return
	}
	b.refreshed = now
	if perSecond, burst := b.share(); perSecond != b.limiter.Limit() {
		b.limiter.SetLimitAt(now, perSecond)
		b.limiter.SetBurstAt(now, burst)
	}
}

// wait takes n items from the budget. It fails at once when the budget will not have them before the deadline of ctx.
// One operation takes at most the burst, since no more can ever accumulate.
func (b *budget) wait(ctx context.Context, n int) error {
	b.refresh(time.Now())
	if err := b.limiter.WaitN(ctx, min(n, b.limiter.Burst())); err != nil {
		return fmt.Errorf("%w: budget: %v", ErrUnavailable, err)
	}
	return nil
}

// charge takes up to n items without waiting, so that later operations wait for them.
func (b *budget) charge(n int) {
	if n = min(n, b.limiter.Burst()); n > 0 {
		b.limiter.ReserveN(time.Now(), n)
	}
}

// empty takes what has accumulated.
func (b *budget) empty() { b.charge(int(b.limiter.Tokens())) }

// BudgetState is the state of a budget for a dump.
type BudgetState struct {
	PerSecond float64 `json:"perSecond"`
	Burst     int     `json:"burst"`
	Tokens    float64 `json:"tokens"`
}

func (b *budget) state() BudgetState {
	return BudgetState{PerSecond: float64(b.limiter.Limit()), Burst: b.limiter.Burst(), Tokens: b.limiter.Tokens()}
}
