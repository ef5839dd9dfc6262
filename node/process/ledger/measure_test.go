package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/platformtest"
	"google.golang.org/protobuf/proto"
)

// rowPerClaim is the baseline for comparison: every claim and every outcome is a separate conditional write of a row.
type rowPerClaim struct{ table platform.Table }

func (b rowPerClaim) put(ctx context.Context, key Key, call string, answer []byte, c platform.Condition) error {
	return b.table.Transact(ctx, platform.Write{
		Item:      platform.Item{Key: platform.Key{Partition: key.String(), Sort: "claim"}, Data: append([]byte(call), answer...)},
		Condition: c,
	})
}

func (b rowPerClaim) Claim(ctx context.Context, c Claim) (ClaimResult, error) {
	err := b.put(ctx, c.Key, c.CallID, nil, platform.Condition{Absent: true})
	return ClaimResult{State: Granted}, err
}

func (b rowPerClaim) Complete(ctx context.Context, key Key, call string, answer *peerpb.RecordedAnswer) error {
	data, _ := proto.Marshal(answer)
	return b.put(ctx, key, call, data, platform.Condition{})
}

func (b rowPerClaim) Release(context.Context, Key, string) error { return nil }

// slowStore returns a store that answers after 5 ms, and a counter of its transactions.
func slowStore() (*platformtest.Memory, *atomic.Int64) {
	store, transactions := platformtest.NewMemory(), &atomic.Int64{}
	store.SetFault(func(op platformtest.Operation) platformtest.Fault {
		if op.Name == "Transact" {
			transactions.Add(1)
		}
		return platformtest.Fault{Delay: 5 * time.Millisecond}
	})
	return store, transactions
}

// singleNodeLedger returns a ledger with one node, which holds all ranges, and a function that closes it.
func singleNodeLedger(table platform.Table) (Ledger, func()) {
	locate := func(int) (string, bool, bool) { return "a", true, true }
	s := NewServer(Config{Table: table, Locate: locate})
	s.Refresh()
	time.Sleep(100 * time.Millisecond)
	c := NewClient(ClientConfig{Local: s, Locate: locate, MaxBacklog: 5000})
	return c, func() { c.Close(bg); s.Close() }
}

// runClaims claims keys at random times with the given mean rate per second, and completes each granted claim 20 ms later.
// It returns the latencies of the claims in microseconds and the number of failures.
func runClaims(l Ledger, rate float64, claims int) (*hdrhistogram.Histogram, int64) {
	rng := rand.New(rand.NewPCG(1, 2))
	latencies := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var failed atomic.Int64
	var group sync.WaitGroup
	next := time.Now()
	for range claims {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		group.Go(func() {
			call := uuid.NewString()
			start := time.Now()
			r, err := l.Claim(bg, Claim{Key: KeyOf("pay", call), Body: testBody, CallID: call, Timeout: 10 * time.Second})
			mu.Lock()
			_ = latencies.RecordValue(time.Since(start).Microseconds())
			mu.Unlock()
			if err != nil || r.State != Granted {
				failed.Add(1)
				return
			}
			time.Sleep(20 * time.Millisecond)
			if l.Complete(bg, KeyOf("pay", call), call, answerOf(string(make([]byte, 200)))) != nil {
				failed.Add(1)
			}
		})
	}
	group.Wait()
	return latencies, failed.Load()
}

// Guards against a loss of the benefit of group commit: at 1,000 claims/s the ledger makes less than a fifth of the
// baseline's transactions. Prints the transactions and latencies in virtual time.
func TestWritesAndLatencyOfClaims(t *testing.T) {
	for _, rate := range []float64{1, 50, 250, 1000} {
		for _, kind := range []string{"row per claim", "ledger"} {
			synctest.Test(t, func(t *testing.T) {
				store, transactions := slowStore()
				var l Ledger = rowPerClaim{store}
				end := func() {}
				if kind == "ledger" {
					l, end = singleNodeLedger(store)
				}
				transactions.Store(0)
				_, before := store.Counts()
				claims, start := int(max(rate*5, 200)), time.Now()
				latencies, failed := runClaims(l, rate, claims)
				elapsed := time.Since(start).Seconds()
				_, items := store.Counts()
				perClaim := float64(transactions.Load()) / float64(claims)
				t.Logf("%5.0f claims/s, %-13s: %.2f transactions and %.2f item writes per claim, %4.0f transactions/s, p50 %.1f ms, p99 %.1f ms, %d failed",
					rate, kind, perClaim, float64(items-before)/float64(claims), float64(transactions.Load())/elapsed,
					float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000, failed)
				if failed > 0 || (kind == "ledger" && rate == 1000 && perClaim > 0.4) {
					t.Errorf("%d claims failed, %.2f transactions per claim", failed, perClaim)
				}
				end()
			})
		}
	}
}

// BenchmarkClaims runs in real time: 1,000 claims/s for 5 s with one holder. Run with -benchtime=1x.
func BenchmarkClaims(b *testing.B) {
	store, transactions := slowStore()
	l, end := singleNodeLedger(store)
	defer end()
	for b.Loop() {
		transactions.Store(0)
		latencies, failed := runClaims(l, 1000, 5000)
		b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
		b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
		b.ReportMetric(float64(transactions.Load())/5000, "transactions/claim")
		b.ReportMetric(float64(failed), "failed")
	}
}

// BenchmarkTakeOver measures the take-over of a range of completed entries with answers of 200 bytes, and reports the
// holder's memory per entry. The store answers after 5 ms.
func BenchmarkTakeOver(b *testing.B) {
	for _, entries := range []int{0, 1000, 10000, 65536} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			store, _ := slowStore()
			rows := fillStore(b, store, entries)
			s := NewServer(Config{Table: store})
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				o, err := s.takeOver(bg, 0)
				if err != nil || len(o.entries) != entries {
					b.Fatal(err, len(o.entries))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(o)
			}
			b.ReportMetric(float64(rows), "rows")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(max(entries, 1)), "B/entry")
		})
	}
}

// fillStore writes completed entries to range 0 and returns the number of rows.
func fillStore(b *testing.B, store *platformtest.Memory, entries int) int {
	answer, _ := proto.Marshal(answerOf(string(make([]byte, 200))))
	rows := 0
	for done := 0; done < entries; rows++ {
		var records []record
		for size := 0; size < segmentBytes && done < entries; done++ {
			call := uuid.NewString()
			key := KeyOf("pay", call)
			r := record{
				State: completed, Key: key[:], Body: testBody[:], Call: call, Answer: answer,
				Deadline: time.Now().UnixMilli(), Expires: time.Now().Add(time.Hour).UnixMilli(),
			}
			records, size = append(records, r), size+r.size()
		}
		data, err := encodeSegment(records)
		if err != nil {
			b.Fatal(err)
		}
		item := platform.Item{Key: platform.Key{Partition: partitionOf(0), Sort: segmentSort(0, int64(rows))}, Data: data}
		if err := store.Transact(bg, platform.Write{Item: item}); err != nil {
			b.Fatal(err)
		}
	}
	return rows
}
