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

// record is the whole state of a key at one time, as stored in a segment. Times are milliseconds of Unix time by the
// clock of the holder that wrote it.
type record struct {
	State entryState
	Key   []byte
	Body  []byte
	Call  string
	// Deadline of a claim, or the time after which a released key no longer remembers the call that released it.
	Deadline int64
	// Expires never falls from one record of a key to the next, so the platform cannot expire the last record first.
	Expires int64
	// Answer is an encoded peerpb.RecordedAnswer; empty when the answer was too large.
	Answer []byte
}

// recordOverhead is an upper estimate of the encoded bytes of a record apart from its strings and slices.
const recordOverhead = 40

func (r *record) size() int {
	return recordOverhead + len(r.Key) + len(r.Body) + len(r.Call) + len(r.Answer)
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

// entry is the state of a key in the holder's memory. Answers stay in the table.
type entry struct {
	call     string
	body     Hash
	deadline int64
	expires  int64
	// segment holds the last durable record of the key; nil when none was written.
	segment *segment
	// batch holds the last record of the key while it is not durable.
	batch *batch
	// size of the record in segment.
	size    int32
	waiters int32
	state   entryState
	// granted is set when the claim may have been reported as granted.
	granted bool
	answer  bool
}

// segment is a row of the table.
type segment struct {
	sort  string
	bytes int
	// live and liveBytes count the records that still decide.
	live      int
	liveBytes int
}

// point makes s the segment that decides e.
func (e *entry) point(s *segment, size int) {
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
