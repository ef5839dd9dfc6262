package attempt

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishstand/radishstand/api/contract"
)

const tableShards = 16

// Parent holds the values that calls made for an attempt inherit from it.
type Parent struct {
	CallID   string
	Class    contract.Class
	Deadline time.Time
	Depth    int
}

// Table holds the attempts in progress at the backend server beside the node. The node looks up a call of the server by its
// Radish-Context header to find the attempt for which the server makes it. Table is safe for concurrent use.
type Table struct {
	shards [tableShards]tableShard
}

type tableShard struct {
	mu      sync.Mutex
	parents map[string]Parent
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].parents = map[string]Parent{}
	}
	return t
}

func (t *Table) shard(attemptID string) *tableShard {
	return &t.shards[xxhash.Sum64String(attemptID)%tableShards]
}

// Add adds an attempt in progress.
func (t *Table) Add(attemptID string, p Parent) {
	s := t.shard(attemptID)
	s.mu.Lock()
	s.parents[attemptID] = p
	s.mu.Unlock()
}

// Lookup returns the attempt if it is in progress.
func (t *Table) Lookup(attemptID string) (Parent, bool) {
	s := t.shard(attemptID)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.parents[attemptID]
	return p, ok
}

// Remove removes an attempt that has ended.
func (t *Table) Remove(attemptID string) {
	s := t.shard(attemptID)
	s.mu.Lock()
	delete(s.parents, attemptID)
	s.mu.Unlock()
}

// Len returns the number of attempts in progress.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.Lock()
		n += len(t.shards[i].parents)
		t.shards[i].mu.Unlock()
	}
	return n
}
