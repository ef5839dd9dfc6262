package platform

import (
	"fmt"
	"unicode/utf8"
)

// ValidateWrites returns ErrInvalid for a transaction that the table service rejects regardless of the stored items. Both
// implementations of Table call it first, so that the in-memory one accepts no more than the service.
func ValidateWrites(writes []Write) error {
	if len(writes) == 0 || len(writes) > MaxTransactionWrites {
		return fmt.Errorf("%w: %d writes in a transaction, allowed 1 to %d", ErrInvalid, len(writes), MaxTransactionWrites)
	}
	seen := make(map[Key]struct{}, len(writes))
	total := 0
	for _, w := range writes {
		if err := ValidateKey(w.Item.Key); err != nil {
			return err
		}
		if _, ok := seen[w.Item.Key]; ok {
			return fmt.Errorf("%w: key %q occurs twice in a transaction", ErrInvalid, w.Item.Key)
		}
		seen[w.Item.Key] = struct{}{}
		if size := len(w.Item.Data); size > MaxItemBytes {
			return fmt.Errorf("%w: item %q has %d bytes of data, allowed %d", ErrInvalid, w.Item.Key, size, MaxItemBytes)
		}
		total += len(w.Item.Data)
	}
	if total > MaxTransactionBytes {
		return fmt.Errorf("%w: transaction has %d bytes of data, allowed %d", ErrInvalid, total, MaxTransactionBytes)
	}
	return nil
}

// ValidateKey returns ErrInvalid for a key that the table service cannot store unchanged.
func ValidateKey(key Key) error {
	if key.Partition == "" {
		return fmt.Errorf("%w: key without partition", ErrInvalid)
	}
	if !utf8.ValidString(key.Partition) || !utf8.ValidString(key.Sort) {
		return fmt.Errorf("%w: key %q is not valid UTF-8", ErrInvalid, key)
	}
	return nil
}

// ValidateQuery returns ErrInvalid for a query that the table service rejects.
func ValidateQuery(partition, from string, limit int) error {
	if limit < 1 {
		return fmt.Errorf("%w: query limit %d, allowed from 1", ErrInvalid, limit)
	}
	return ValidateKey(Key{Partition: partition, Sort: from})
}

// maxObjectKeyBytes is the maximum length of a key in the object store.
const maxObjectKeyBytes = 1024

// ValidateObjectKey returns ErrInvalid for a key that the object store rejects.
func ValidateObjectKey(key string) error {
	if key == "" || len(key) > maxObjectKeyBytes || !utf8.ValidString(key) {
		return fmt.Errorf("%w: object key %q must be valid UTF-8 of 1 to %d bytes", ErrInvalid, key, maxObjectKeyBytes)
	}
	return nil
}
