// Package platform defines the operations on the platform that the rest of the node uses: conditional transactions and
// reads of the table service, and reads and writes of the object store.
package platform

import (
	"context"
	"errors"
	"fmt"
)

// Errors that Table and Objects return. All other errors of lower layers are converted to one of these.
var (
	// ErrCondition means that a condition of the transaction did not hold and that nothing was written.
	ErrCondition = errors.New("platform: condition not met")
	// ErrOutcomeUnknown means that the write may or may not have taken effect, now or later.
	ErrOutcomeUnknown = errors.New("platform: outcome of the write is unknown")
	// ErrUnavailable means that the operation had no effect, or was a read that failed.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrConflict is an ErrUnavailable: another transaction held one of the items and nothing was written.
	ErrConflict = fmt.Errorf("%w: conflicting transaction", ErrUnavailable)
	// ErrNotFound means that the item or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrInvalid means that the store can never accept the request in this form; nothing was written.
	ErrInvalid = errors.New("platform: invalid request")
)

// Key identifies an item of the table. Partition is not empty, and both parts are valid UTF-8.
type Key struct {
	Partition string
	Sort      string
}

// Item is a row of the table. Numbers are stored apart from the opaque Data, so that conditions can refer to them.
type Item struct {
	Key     Key
	Numbers map[string]int64
	Data    []byte
	// ExpiresUnix is the Unix time in seconds after which the platform may delete the item; 0 means never.
	ExpiresUnix int64
}

// Condition is a condition on one item. The zero value always holds.
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

// WriteKind is the kind of a Write.
type WriteKind int

// Kinds of writes.
const (
	Put WriteKind = iota
	Delete
	Check
)

// Limits of the table service.
const (
	// MaxTransactionWrites is the largest number of writes in a transaction.
	MaxTransactionWrites = 100
	// MaxItemBytes bounds the data of an item. The service allows 400 KB including names and numbers.
	MaxItemBytes = 384 << 10
	// MaxTransactionBytes bounds the data of all items of a transaction. The service allows 4 MB in all.
	MaxTransactionBytes = 3 << 20
)

// Table is the platform's transactional table service. It is safe for concurrent use. Reads are consistent.
type Table interface {
	// Transact applies all writes or none. Each key may occur only once. It returns ErrCondition, ErrOutcomeUnknown,
	// ErrUnavailable or ErrInvalid.
	Transact(ctx context.Context, writes ...Write) error
	// Get returns ErrNotFound for a missing item.
	Get(ctx context.Context, key Key) (Item, error)
	// Query returns up to limit items of a partition whose sort key is at least from, in ascending order. limit must be
	// at least 1.
	Query(ctx context.Context, partition, from string, limit int) ([]Item, error)
}

// Objects is the platform's object store. It is safe for concurrent use.
type Objects interface {
	PutObject(ctx context.Context, key string, body []byte) error
	// GetObject returns ErrNotFound for a missing object.
	GetObject(ctx context.Context, key string) ([]byte, error)
}
