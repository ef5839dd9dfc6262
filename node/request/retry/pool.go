package retry

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// poolShards is the number of locks over the attempts in progress.
const poolShards = 16

// Pools holds, at the node beside a backend server, the extra attempts that the calls below each attempt in progress may
// still make. It is safe for concurrent use.
type Pools struct {
	shards [poolShards]poolShard
}

type poolShard struct {
	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the allowance of one attempt.
type pool struct {
	left int
	used int
	out  int // reserved by nested calls in progress
}

// NewPools returns an empty Pools.
func NewPools() *Pools {
	p := &Pools{}
	for i := range p.shards {
		p.shards[i].pools = map[string]*pool{}
	}
	return p
}

// with calls f with the pool of an attempt, or with nil, under the lock of its shard.
func (p *Pools) with(attemptID string, f func(s *poolShard, q *pool)) {
	s := &p.shards[xxhash.Sum64String(attemptID)%poolShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s, s.pools[attemptID])
}

// Open adds an attempt with what its caller passed along.
func (p *Pools) Open(attemptID string, allowance int) {
	p.with(attemptID, func(s *poolShard, _ *pool) { s.pools[attemptID] = &pool{left: max(allowance, 0)} })
}

// Take spends one extra attempt and reports whether there was one. An unknown attempt has none.
func (p *Pools) Take(attemptID string) bool {
	n := p.Reserve(attemptID, 1)
	p.Settle(attemptID, n, n)
	return n == 1
}

// Reserve sets aside up to n extra attempts for a nested call and returns how many. What is reserved counts as used
// until it is settled.
func (p *Pools) Reserve(attemptID string, n int) (reserved int) {
	p.with(attemptID, func(_ *poolShard, q *pool) {
		if q == nil {
			return
		}
		reserved = min(max(n, 0), q.left)
		q.left -= reserved
		q.out += reserved
	})
	return reserved
}

// Settle ends a nested call that had reserved extra attempts and made used of them.
func (p *Pools) Settle(attemptID string, reserved, used int) {
	p.with(attemptID, func(_ *poolShard, q *pool) {
		if q == nil {
			return
		}
		used = min(max(used, 0), reserved)
		q.out -= reserved
		q.used += used
		q.left += reserved - used
	})
}

// Used returns the extra attempts made below an attempt, reserved ones included, since they may still be made.
func (p *Pools) Used(attemptID string) (used int) {
	p.with(attemptID, func(_ *poolShard, q *pool) { used = q.total() })
	return used
}

// Close removes an attempt and returns what Used would. Nested calls that still go on get nothing back.
func (p *Pools) Close(attemptID string) (used int) {
	p.with(attemptID, func(s *poolShard, q *pool) {
		used = q.total()
		delete(s.pools, attemptID)
	})
	return used
}

// total returns what may have been used; zero for no pool.
func (q *pool) total() int {
	if q == nil {
		return 0
	}
	return q.used + q.out
}
