// Package membudget bounds the memory of the bodies that a process holds at the same time, over all requests and answers.
package membudget

import (
	"errors"
	"sync/atomic"
)

// freeBytes is the size up to which a body needs no share of the budget. Small bodies must not fail because of large ones, and
// the number of bodies is bounded elsewhere.
const freeBytes = 64 << 10

// ErrExhausted reports that the other bodies hold too much of the budget.
var ErrExhausted = errors.New("too many bytes of other bodies are held")

// Budget is the memory that all bodies share. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes that are reserved.
func (b *Budget) Held() int64 { return b.held.Load() }

// Reservation is the share of one body. It must be released, and is not safe for concurrent use.
type Reservation struct {
	budget   *Budget
	reserved int64
}

// Reserve returns a reservation of no bytes.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Grow extends the reservation to a body of size bytes. It does not wait: the bodies that hold the budget may themselves be
// growing without end.
func (r *Reservation) Grow(size int64) error {
	if size <= freeBytes || size <= r.reserved {
		return nil
	}
	more := size - r.reserved
	if r.budget.held.Add(more) > r.budget.limit {
		r.budget.held.Add(-more)
		return ErrExhausted
	}
	r.reserved = size
	return nil
}

// Absorb takes over the bytes of another reservation.
func (r *Reservation) Absorb(other *Reservation) {
	r.reserved += other.reserved
	other.reserved = 0
}

// Release returns the reserved bytes to the budget.
func (r *Reservation) Release() {
	r.budget.held.Add(-r.reserved)
	r.reserved = 0
}
