// Package platformtest provides a fake of the platform's table and object store for tests and the demo: in memory, and as a
// server for the DynamoDB and S3 protocols.
package platformtest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/radishstand/radishstand/node/connection/platform"
)

// Fault is a fault to inject into an operation. The zero value injects none.
type Fault struct {
	// Delay is the delay before the operation takes effect.
	Delay time.Duration
	// Down rejects the operation without effect.
	Down bool
	// LoseRequest reports platform.ErrOutcomeUnknown for a write and never applies it.
	LoseRequest bool
	// LoseAnswer applies a write and then reports platform.ErrOutcomeUnknown.
	LoseAnswer bool
	// LateEffect reports platform.ErrOutcomeUnknown at once and applies the write after this time, if positive.
	LateEffect time.Duration
}

// Operation describes an operation to the function that selects its fault.
type Operation struct {
	// Name is Transact, Get, Query, PutObject or GetObject.
	Name string
	// Writes are the writes of a Transact.
	Writes []platform.Write
}

// Memory implements platform.Table and platform.Objects in memory. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	items   map[platform.Key]platform.Item
	objects map[string][]byte
	fault   func(Operation) Fault
	tokens  map[string]time.Time
	reads   int64
	writes  int64
}

// tokenLifetime is how long the service remembers the request token of an applied transaction.
const tokenLifetime = 10 * time.Minute

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{items: map[platform.Key]platform.Item{}, objects: map[string][]byte{}, tokens: map[string]time.Time{}}
}

// SetFault installs a function that selects the fault of each operation. A nil function disables faults.
func (m *Memory) SetFault(f func(Operation) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Counts returns how many items and objects were read and written so far.
func (m *Memory) Counts() (reads, writes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

func (m *Memory) faultOf(op Operation) Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == nil {
		return Fault{}
	}
	return m.fault(op)
}

// applyDelay waits for the delay of the fault. It returns platform.ErrUnavailable if the operation must not proceed.
func (m *Memory) applyDelay(ctx context.Context, f Fault) error {
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return platform.ErrUnavailable
		}
	}
	if f.Down || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return nil
}

// Transact implements platform.Table.
func (m *Memory) Transact(ctx context.Context, writes ...platform.Write) error {
	if err := platform.ValidateWrites(writes); err != nil {
		return err
	}
	f := m.faultOf(Operation{Name: "Transact", Writes: writes})
	return m.write(ctx, f, func() error { return m.apply("", writes) })
}

// write calls apply with the fault injected.
func (m *Memory) write(ctx context.Context, f Fault, apply func() error) error {
	if err := m.applyDelay(ctx, f); err != nil {
		return err
	}
	if f.LoseRequest {
		return platform.ErrOutcomeUnknown
	}
	if f.LateEffect > 0 {
		time.AfterFunc(f.LateEffect, func() { _ = apply() })
		return platform.ErrOutcomeUnknown
	}
	err := apply()
	if f.LoseAnswer {
		return platform.ErrOutcomeUnknown
	}
	return err
}

// apply applies a transaction without faults. A transaction whose token was already applied has no effect.
func (m *Memory) apply(token string, writes []platform.Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wasApplied(token) {
		return nil
	}
	for _, w := range writes {
		if !m.conditionHolds(w) {
			return platform.ErrCondition
		}
	}
	if token != "" {
		m.tokens[token] = time.Now()
	}
	for _, w := range writes {
		m.writes++
		switch w.Kind {
		case platform.Put:
			m.items[w.Item.Key] = copyItem(w.Item)
		case platform.Delete:
			delete(m.items, w.Item.Key)
		}
	}
	return nil
}

// wasApplied reports whether a transaction with the token was applied, and removes expired tokens.
func (m *Memory) wasApplied(token string) bool {
	if token == "" {
		return false
	}
	maps.DeleteFunc(m.tokens, func(_ string, at time.Time) bool { return time.Since(at) > tokenLifetime })
	_, ok := m.tokens[token]
	return ok
}

func (m *Memory) conditionHolds(w platform.Write) bool {
	item, ok := m.items[w.Item.Key]
	if w.Condition.Absent {
		return !ok
	}
	for name, want := range w.Condition.Equal {
		if got, has := item.Numbers[name]; !ok || !has || got != want {
			return false
		}
	}
	return true
}

// Get implements platform.Table.
func (m *Memory) Get(ctx context.Context, key platform.Key) (platform.Item, error) {
	if err := platform.ValidateKey(key); err != nil {
		return platform.Item{}, err
	}
	if err := m.applyDelay(ctx, m.faultOf(Operation{Name: "Get"})); err != nil {
		return platform.Item{}, err
	}
	return m.get(key)
}

func (m *Memory) get(key platform.Key) (platform.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	item, ok := m.items[key]
	if !ok {
		return platform.Item{}, platform.ErrNotFound
	}
	return copyItem(item), nil
}

// Query implements platform.Table.
func (m *Memory) Query(ctx context.Context, partition, from string, limit int) ([]platform.Item, error) {
	if err := platform.ValidateQuery(partition, from, limit); err != nil {
		return nil, err
	}
	if err := m.applyDelay(ctx, m.faultOf(Operation{Name: "Query"})); err != nil {
		return nil, err
	}
	return m.query(partition, from, limit), nil
}

func (m *Memory) query(partition, from string, limit int) []platform.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []platform.Item
	for key, item := range m.items {
		if key.Partition == partition && key.Sort >= from {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b platform.Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	found = found[:min(limit, len(found))]
	for i := range found {
		found[i] = copyItem(found[i])
	}
	m.reads += int64(max(1, len(found)))
	return found
}

// PutObject implements platform.Objects.
func (m *Memory) PutObject(ctx context.Context, key string, body []byte) error {
	if err := platform.ValidateObjectKey(key); err != nil {
		return err
	}
	body = slices.Clone(body)
	return m.write(ctx, m.faultOf(Operation{Name: "PutObject"}), func() error { return m.putObject(key, body) })
}

// putObject stores body without copying it. The caller must not modify it afterwards.
func (m *Memory) putObject(key string, body []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[key] = body
	m.writes++
	return nil
}

// GetObject implements platform.Objects.
func (m *Memory) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := platform.ValidateObjectKey(key); err != nil {
		return nil, err
	}
	if err := m.applyDelay(ctx, m.faultOf(Operation{Name: "GetObject"})); err != nil {
		return nil, err
	}
	return m.getObject(key)
}

func (m *Memory) getObject(key string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	body, ok := m.objects[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(body), nil
}

func copyItem(item platform.Item) platform.Item {
	item.Numbers = maps.Clone(item.Numbers)
	item.Data = slices.Clone(item.Data)
	return item
}
