package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/radishstand/radishstand/node/connection/platform"
)

// RangeCount is the number of ranges of the key space. It is recorded in the table, and a node built with another number
// refuses to hold ranges. With one write per range and Limits.WriteInterval, it limits the fleet to 320 segment writes/s.
const RangeCount = 16

// Key identifies keyed work: 128 bits of the SHA-256 of service and idempotency key.
type Key [16]byte

// Hash identifies the content of a request: 128 bits of the SHA-256 of its parts.
type Hash [16]byte

// KeyOf returns the key for an idempotency key of a caller of the service.
func KeyOf(service, idempotencyKey string) Key {
	return Key(digest([]byte(service), []byte(idempotencyKey)))
}

// HashOf returns the hash of a request's parts, such as method, target and body.
func HashOf(parts ...[]byte) Hash { return Hash(digest(parts...)) }

// digest hashes each part with its length, so that different splits of the same bytes give different digests.
func digest(parts ...[]byte) [16]byte {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		_, _ = h.Write(p)
	}
	return [16]byte(h.Sum(nil))
}

// Range returns the range of the key, from 0 to RangeCount-1.
func (k Key) Range() int { return int(binary.BigEndian.Uint64(k[:8]) % RangeCount) }

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

const (
	layoutPartition = "ledger"
	layoutSort      = "layout"
	rangeRowSort    = "range"
	segmentPrefix   = "segment/"

	numberRanges = "ranges"
	numberEpoch  = "epoch"
	// numberOwnership holds the random id of the holder's ownership, by which a holder recognizes its own writes.
	numberOwnership = "tenure"
	// numberFree is 1 when the holder released the range on an orderly shutdown. The data of the range row is the holder's
	// member name.
	numberFree = "free"
)

func partitionOf(index int) string { return fmt.Sprintf("ledger/%03d", index) }

func rangeKey(index int) platform.Key {
	return platform.Key{Partition: partitionOf(index), Sort: rangeRowSort}
}

func segmentSort(epoch, sequence int64) string {
	return fmt.Sprintf("%s%016x/%016x", segmentPrefix, epoch, sequence)
}
