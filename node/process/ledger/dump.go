package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maxDumpedClaims is the maximum number of claims of a range in a dump.
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
	// FailingMs is the time since the write in progress first failed; 0 if it has not failed.
	FailingMs int64 `json:"failingMs"`
	// Claims lists the claims without outcome, the earliest deadline first; at most 100.
	Claims []ClaimDump `json:"claims"`
}

// ClaimDump is a claim without outcome.
type ClaimDump struct {
	Key    string `json:"key"`
	CallID string `json:"callId"`
	// DeadlineMs is the time left until the deadline; negative for a claim that is reported as unknown.
	DeadlineMs int64 `json:"deadlineMs"`
	Durable    bool  `json:"durable"`
}

// Dump returns the state of the server.
func (s *Server) Dump() Dump {
	d := Dump{Entries: s.entries.Load(), MaxEntries: s.limits.MaxEntries, Counters: map[string]int64{}}
	for i := range s.slots {
		s.slots[i].mu.Lock()
		o := s.slots[i].ownership
		s.slots[i].mu.Unlock()
		if o != nil {
			d.Ranges = append(d.Ranges, o.dump())
		}
	}
	s.metrics.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok {
			d.Counters[name] = c.Count()
		}
	})
	return d
}

func (o *rangeOwnership) dump() RangeDump {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := RangeDump{Range: o.index, Epoch: o.epoch, Rows: len(o.segments), PendingBytes: o.pendingBytes}
	if !o.failingSince.IsZero() {
		d.FailingMs = time.Since(o.failingSince).Milliseconds()
	}
	for _, s := range o.segments {
		d.RowBytes += s.bytes
	}
	now := o.server.nowMs()
	for key, e := range o.entries {
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
