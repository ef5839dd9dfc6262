package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/version/routing"
)

// clockOffsets is the range of the random part of an owner's clock, in milliseconds.
const clockOffsets = 1 << 50

// Owner holds the token buckets of the teams whose shares other nodes lend to this process. It is safe for concurrent use.
type Owner struct {
	now func() time.Duration
	// quotaOf returns the quota of a team in the current routing version.
	quotaOf func(team string) (routing.Quota, bool)
	// offset is added to the clock of this process. It is random, so that a clock that an earlier process stated is recognized.
	offset uint64

	mu      sync.Mutex
	members int
	buckets map[string]*bucket
}

// NewOwner returns an Owner without loans. The function now reads a clock that also counts while the host is suspended. quotaOf returns the
// quota of a team in the current routing version, and false when there is no such team.
func NewOwner(now func() time.Duration, quotaOf func(team string) (routing.Quota, bool)) *Owner {
	return &Owner{now: now, quotaOf: quotaOf, offset: 1 + rand.Uint64N(clockOffsets), buckets: map[string]*bucket{}}
}

// clock returns the clock that replies state and that lenders return with their loans.
func (o *Owner) clock(now time.Duration) uint64 { return o.offset + uint64(now.Milliseconds()) }

// loanEnd returns the end of a loan whose request holds the given clock; ok is false if the clock is not from this process or the loan has
// ended. A clock up to loanMargin ahead is accepted, since the lender's clock may run faster.
func (o *Owner) loanEnd(echoed uint64, now time.Duration) (end time.Duration, ok bool) {
	if echoed < o.offset || echoed > o.clock(now+loanMargin) {
		return 0, false
	}
	end = min(time.Duration(echoed-o.offset)*time.Millisecond, now) + loanTime
	return end, end > now
}

// Handle applies a request of a node and returns the reply. It has no grant for a team of which no share is lent to
// this process.
func (o *Owner) Handle(from string, r *linkpb.QuotaRequest) *linkpb.QuotaReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	reply := &linkpb.QuotaReply{OwnerClockMs: o.clock(now), Sequence: r.Sequence}
	end, lent := o.loanEnd(r.OwnerClockMs, now)
	share := 1 / float64(max(int(r.Nodes), o.members, 1))
	for _, ask := range r.Asks {
		b := o.settled(ask.Team, now)
		if b == nil {
			continue
		}
		switch {
		case r.Release:
			b.setLoan(from, loan{sequence: r.Sequence, end: now + loanTime})
		case lent && r.Nodes > 0:
			b.setLoan(from, loan{sequence: r.Sequence, end: end, share: share})
		}
		if ask.Count > 0 && b.sum > 0 {
			taken, wait := b.take(int(ask.Count))
			waitMs := uint32((wait + time.Millisecond - 1) / time.Millisecond)
			reply.Grants = append(reply.Grants, &linkpb.QuotaGrant{Team: ask.Team, Count: uint32(taken), RetryAfterMs: waitMs})
		}
	}
	return reply
}

// settled returns the bucket of a team with its loans and tokens as of now, or nil if the team has no quota.
func (o *Owner) settled(team string, now time.Duration) *bucket {
	q, ok := o.quotaOf(team)
	if !ok || !q.Limited() {
		delete(o.buckets, team)
		return nil
	}
	b := o.buckets[team]
	if b == nil {
		b = newBucket(q, now)
		o.buckets[team] = b
	}
	b.settle(now, q)
	return b
}

// setMembers sets the number n of members that this node knows. No new loan counts for more than 1/n of a quota.
func (o *Owner) setMembers(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.members = n
}

// Sweep removes the buckets without loans and returns the number of the remaining ones.
func (o *Owner) Sweep() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	for team := range o.buckets {
		if b := o.settled(team, now); b != nil && len(b.loans) == 0 {
			delete(o.buckets, team)
		}
	}
	return len(o.buckets)
}
