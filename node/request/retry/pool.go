package retry

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// poolShards is the number of shards, each with its own lock, over which the attempts in progress are spread.
const poolShards = 16

// Pools holds, at the node beside a backend server, the retry allowance that is left for the nested calls of each attempt in
// progress. It is safe for concurrent use.
type Pools struct {
	shards [poolShards]poolShard
}

type poolShard struct {
	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the allowance of one attempt.
type pool struct {
	available int
	used      int
	reserved  int // reserved by nested calls in progress
}

// NewPools returns an empty Pools.
func NewPools() *Pools {
	p := &Pools{}
	for i := range p.shards {
		p.shards[i].pools = map[string]*pool{}
	}
	return p
}

// withLocked calls f with the pool of an attempt, or nil for an unknown attempt, while holding the lock of its shard.
func (p *Pools) withLocked(attemptID string, f func(s *poolShard, q *pool)) {
	s := &p.shards[xxhash.Sum64String(attemptID)%poolShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s, s.pools[attemptID])
}

// Open adds an attempt with the allowance that its caller delegated to it.
func (p *Pools) Open(attemptID string, allowance int) {
	p.withLocked(attemptID, func(s *poolShard, _ *pool) { s.pools[attemptID] = &pool{available: max(allowance, 0)} })
}

// Take spends one extra attempt and reports whether one was available. An unknown attempt has none.
func (p *Pools) Take(attemptID string) bool {
	n := p.Reserve(attemptID, 1)
	p.Settle(attemptID, n, n)
	return n == 1
}

// Reserve reserves up to n extra attempts for a nested call and returns their number. Reserved attempts count as used until
// they are settled.
func (p *Pools) Reserve(attemptID string, n int) (reserved int) {
	p.withLocked(attemptID, func(_ *poolShard, q *pool) {
		if q == nil {
			return
		}
		reserved = min(max(n, 0), q.available)
		q.available -= reserved
		q.reserved += reserved
	})
	return reserved
}

// Settle ends a nested call: used of its reserved extra attempts were made, and the rest becomes available again.
func (p *Pools) Settle(attemptID string, reserved, used int) {
	p.withLocked(attemptID, func(_ *poolShard, q *pool) {
		if q == nil {
			return
		}
		used = min(max(used, 0), reserved)
		q.reserved -= reserved
		q.used += used
		q.available += reserved - used
	})
}

// Used returns the number of extra attempts of the nested calls of an attempt, including reserved ones, since they may still
// be made.
func (p *Pools) Used(attemptID string) (used int) {
	p.withLocked(attemptID, func(_ *poolShard, q *pool) { used = q.total() })
	return used
}

// Close removes an attempt and returns the same number as Used. Nested calls still in progress settle without effect.
func (p *Pools) Close(attemptID string) (used int) {
	p.withLocked(attemptID, func(s *poolShard, q *pool) {
		used = q.total()
		delete(s.pools, attemptID)
	})
	return used
}

// total returns the number of used and reserved attempts; 0 for a nil pool.
func (q *pool) total() int {
	if q == nil {
		return 0
	}
	return q.used + q.reserved
}
