package quota

import (
	"math"
	"time"

	"github.com/radishstand/radishstand/node/version/routing"
)

// loan is the share of a quota that one node has lent. A released loan stays with share 0 until no frame that was sent before the
// release can establish it again.
type loan struct {
	sequence uint64
	end      time.Duration
	share    float64
}

// bucket holds the tokens of a team for the shares that are lent to this node.
type bucket struct {
	quota  routing.Quota
	tokens float64
	// at is the time up to which tokens have been added.
	at    time.Duration
	loans map[string]loan
	// sum is the sum of the shares in loans.
	sum float64
	// earliest is a lower bound of the ends of the loans; expire need not run before it.
	earliest time.Duration
	// lowered is set while a lower quota is not in force yet, and loweredAt is when it was first seen.
	lowered   bool
	loweredAt time.Duration
}

func newBucket(q routing.Quota, now time.Duration) *bucket {
	return &bucket{quota: q, at: now, loans: map[string]loan{}, earliest: math.MaxInt64}
}

// fraction is the part of the quota that is lent.
func (b *bucket) fraction() float64 { return min(b.sum, 1) }

// capacity is the largest number of tokens.
func (b *bucket) capacity() float64 {
	fraction := b.fraction()
	if fraction >= minWholeShare {
		return max(b.quota.Burst*fraction, 1)
	}
	return b.quota.Burst * fraction
}

// settle removes the loans that have ended and adds the tokens for the time since the last call. Loans are added only after a call of
// settle, so the lent part never rose in that time, and its present value gives no token too many.
func (b *bucket) settle(now time.Duration, q routing.Quota) {
	if now >= b.earliest {
		b.expire(now)
	}
	q = b.inForce(q, now)
	rate := min(b.quota.PerSecond, q.PerSecond)
	b.quota = q
	b.tokens += b.fraction() * rate * max(now-b.at, 0).Seconds()
	b.at = max(now, b.at)
	b.tokens = min(b.tokens, b.capacity())
}

// inForce returns the quota that applies while the current version has the given one. A lower one applies lowerQuotaDelay after it
// was first seen, so that requests within the former quota are not refused while the version is being distributed.
func (b *bucket) inForce(q routing.Quota, now time.Duration) routing.Quota {
	if q.PerSecond >= b.quota.PerSecond && q.Burst >= b.quota.Burst {
		b.lowered = false
		return q
	}
	if !b.lowered {
		b.lowered, b.loweredAt = true, now
	}
	if now-b.loweredAt < lowerQuotaDelay {
		return routing.Quota{PerSecond: max(q.PerSecond, b.quota.PerSecond), Burst: max(q.Burst, b.quota.Burst)}
	}
	b.lowered = false
	return q
}

// expire removes the loans that have ended.
func (b *bucket) expire(now time.Duration) {
	b.sum, b.earliest = 0, math.MaxInt64
	for lender, l := range b.loans {
		if l.end <= now {
			delete(b.loans, lender)
			continue
		}
		b.sum += l.share
		b.earliest = min(b.earliest, l.end)
	}
}

// setLoan replaces the loan of a node, unless the present one is from the same or a later request.
func (b *bucket) setLoan(lender string, l loan) {
	old := b.loans[lender]
	if l.sequence <= old.sequence {
		return
	}
	b.loans[lender] = l
	b.sum += l.share - old.share
	b.earliest = min(b.earliest, l.end)
	b.tokens = min(b.tokens, b.capacity())
}

// take takes up to count tokens and returns the number taken and, if it is lower, the time until the next one.
func (b *bucket) take(count int) (taken int, wait time.Duration) {
	taken = min(count, int(b.tokens+roundingError))
	b.tokens = max(b.tokens-float64(taken), 0)
	if taken == count {
		return taken, 0
	}
	if b.capacity() < 1-roundingError {
		return taken, noShareRetryAfter
	}
	seconds := (1 - b.tokens) / (b.quota.PerSecond * b.fraction())
	return taken, max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
}
