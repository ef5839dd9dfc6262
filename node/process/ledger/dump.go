package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maxDumpedClaims bounds the claims in a dump.
const maxDumpedClaims = 100

// Dump is the state of a server for operators.
type Dump struct {
	Entries    int64            `json:"entries"`
	MaxEntries int              `json:"maxEntries"`
	Ranges     []RangeDump      `json:"ranges"`
	Counters   map[string]int64 `json:"counters"`
}

// RangeDump is the state of a range that the server holds.
type RangeDump struct {
	Range        int   `json:"range"`
	Epoch        int64 `json:"epoch"`
	Claimed      int   `json:"claimed"`
	Completed    int   `json:"completed"`
	Released     int   `json:"released"`
	Rows         int   `json:"rows"`
	RowBytes     int   `json:"rowBytes"`
	PendingBytes int   `json:"pendingBytes"`
	// FailingMs is how long the store has not taken the current write.
	FailingMs int64 `json:"failingMs"`
	// Claims without outcome, the earliest deadline first; at most 100.
	Claims []ClaimDump `json:"claims"`
}

// ClaimDump is a claim without outcome.
type ClaimDump struct {
	Key    string `json:"key"`
	CallID string `json:"callId"`
	// DeadlineMs is the time to the deadline; negative for a claim that reads as unknown.
	DeadlineMs int64 `json:"deadlineMs"`
	Durable    bool  `json:"durable"`
}

// Dump returns the state of the server.
func (s *Server) Dump() Dump {
	d := Dump{Entries: s.entries.Load(), MaxEntries: s.limits.MaxEntries, Counters: map[string]int64{}}
	for i := range s.slots {
		s.slots[i].mu.Lock()
		t := s.slots[i].tenure
		s.slots[i].mu.Unlock()
		if t != nil {
			d.Ranges = append(d.Ranges, t.dump())
		}
	}
	s.metrics.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok {
			d.Counters[name] = c.Count()
		}
	})
	return d
}

func (t *tenure) dump() RangeDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := RangeDump{Range: t.index, Epoch: t.epoch, Rows: len(t.segments), PendingBytes: t.pendingBytes}
	if !t.failingSince.IsZero() {
		d.FailingMs = time.Since(t.failingSince).Milliseconds()
	}
	for _, s := range t.segments {
		d.RowBytes += s.bytes
	}
	now := t.server.nowMs()
	for key, e := range t.entries {
		switch e.state {
		case completed:
			d.Completed++
		case released:
			d.Released++
		default:
			d.Claimed++
			d.Claims = append(d.Claims, ClaimDump{
				Key: key.String(), CallID: e.call, DeadlineMs: e.deadline - now, Durable: e.batch == nil,
			})
		}
	}
	slices.SortFunc(d.Claims, func(a, b ClaimDump) int { return cmp.Compare(a.DeadlineMs, b.DeadlineMs) })
	d.Claims = d.Claims[:min(len(d.Claims), maxDumpedClaims)]
	return d
}
