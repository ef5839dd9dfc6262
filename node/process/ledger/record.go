package ledger

import (
	"bytes"
	"encoding/gob"
	"fmt"
)

// entryState is the state of a key.
type entryState uint8

const (
	claimed entryState = iota + 1
	completed
	released
)

// record is the complete state of a key as stored in a segment. Times are in Unix milliseconds by the clock of the holder
// that wrote the record. The field names are part of the stored format.
type record struct {
	State entryState
	Key   []byte
	Body  []byte
	Call  string
	// Deadline is the deadline of a claim, or the time until which a released key refuses the call that released it.
	Deadline int64
	// Expires never decreases from one record of a key to the next, so that the platform cannot expire the last record
	// first.
	Expires int64
	// Answer is an encoded peerpb.RecordedAnswer; empty when the answer was too large.
	Answer []byte
}

// recordOverheadBytes is an upper estimate of the encoded size in bytes of a record without its strings and slices.
const recordOverheadBytes = 40

func (r *record) size() int {
	return recordOverheadBytes + len(r.Key) + len(r.Body) + len(r.Call) + len(r.Answer)
}

func encodeSegment(records []record) ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(records); err != nil {
		return nil, fmt.Errorf("ledger: encode segment: %w", err)
	}
	return buf.Bytes(), nil
}

func decodeSegment(data []byte) ([]record, error) {
	var records []record
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&records); err != nil {
		return nil, fmt.Errorf("ledger: decode segment: %w", err)
	}
	for i := range records {
		if len(records[i].Key) != len(Key{}) || len(records[i].Body) > len(Hash{}) {
			return nil, fmt.Errorf("ledger: record %d has a key of %d bytes and a hash of %d bytes",
				i, len(records[i].Key), len(records[i].Body))
		}
	}
	return records, nil
}

// entry is the state of a key in the holder's memory. Answers are stored only in the table.
type entry struct {
	call     string
	body     Hash
	deadline int64
	expires  int64
	// segment holds the last durable record of the key; nil when there is none.
	segment *segment
	// batch holds the last record of the key while it is not durable.
	batch *batch
	// size is the size in bytes of the record in segment.
	size    int32
	waiters int32
	state   entryState
	// granted is set when the claim may have been reported as granted.
	granted bool
	// answer is set when an answer is recorded.
	answer bool
}

// segment is a row of the table.
type segment struct {
	sort  string
	bytes int
	// live and liveBytes are the number and size of the records that are the last ones of their keys.
	live      int
	liveBytes int
}

// setSegment makes s the segment of e's last durable record, and updates the live counts of both segments.
func (e *entry) setSegment(s *segment, size int) {
	if e.segment != nil {
		e.segment.live--
		e.segment.liveBytes -= int(e.size)
	}
	e.segment, e.size = s, int32(size)
	if s != nil {
		s.live++
		s.liveBytes += size
	}
}
