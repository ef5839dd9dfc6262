// Package platform is the narrow view of the platform that the rest of the node uses: conditional transactions and
// reads of the table service, and the object store.
package platform

import (
	"context"
	"errors"
)

// Errors of Table and Objects. Every other error of the layers below is turned into one of these.
var (
	// ErrCondition means that a condition of the transaction did not hold and that nothing was written.
	ErrCondition = errors.New("platform: condition not met")
	// ErrUnknown means that the write may or may not have taken effect, now or later.
	ErrUnknown = errors.New("platform: outcome of the write is unknown")
	// ErrUnavailable means that the operation had no effect, or was a read that failed.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrNotFound means that the item or object does not exist.
	ErrNotFound = errors.New("platform: not found")
)

// Key names an item of the table.
type Key struct {
	Partition string
	Sort      string
}

// Item is a row of the table. Numbers take part in conditions and are kept apart from the opaque Data.
type Item struct {
	Key     Key
	Numbers map[string]int64
	Data    []byte
	// ExpiresUnix is the time after which the platform may delete the item, in seconds; 0 keeps it.
	ExpiresUnix int64
}

// Condition on one item. The zero value always holds.
type Condition struct {
	// Absent requires that the item does not exist.
	Absent bool
	// Equal requires that the item exists and that each named number has the value.
	Equal map[string]int64
}

// Write puts or deletes an item, or only checks its condition.
type Write struct {
	Kind      WriteKind
	Item      Item
	Condition Condition
}

// WriteKind is what a Write does.
type WriteKind int

// Kinds of writes.
const (
	Put WriteKind = iota
	Delete
	Check
)

// MaxTransactionWrites is the largest number of writes in a transaction.
const MaxTransactionWrites = 100

// Table is the platform's transactional table service. It is safe for concurrent use. Reads are consistent.
type Table interface {
	// Transact applies all writes or none. It returns ErrCondition, ErrUnknown or ErrUnavailable.
	Transact(ctx context.Context, writes ...Write) error
	// Get returns ErrNotFound for a missing item.
	Get(ctx context.Context, key Key) (Item, error)
	// Query returns the items of a partition whose sort key is at least from, in ascending order, at most limit.
	Query(ctx context.Context, partition, from string, limit int) ([]Item, error)
}

// Objects is the platform's object store. It is safe for concurrent use.
type Objects interface {
	PutObject(ctx context.Context, key string, body []byte) error
	// GetObject returns ErrNotFound for a missing object.
	GetObject(ctx context.Context, key string) ([]byte, error)
}
