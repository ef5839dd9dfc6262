package platformtest_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/connection/platform/awsclient"
	"github.com/radishstand/radishstand/node/platformtest"
)

type store interface {
	platform.Table
	platform.Objects
}

func newClient(t testing.TB, server *platformtest.Server) *awsclient.Client {
	require.NoError(t, server.Start("127.0.0.1:0"))
	t.Cleanup(server.Stop)
	config := awsclient.DefaultConfig()
	config.TableEndpoint, config.ObjectsEndpoint = server.URL(), server.URL()
	config.AccessKey, config.SecretKey = "key", "secret"
	c, err := awsclient.New(config)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// forBothStores runs a test against the store in memory and against a client over sockets. Tests that use only the store in
// memory rely on the two behaving alike.
func forBothStores(t *testing.T, test func(*testing.T, store, *platformtest.Memory)) {
	t.Run("in memory", func(t *testing.T) {
		memory := platformtest.NewMemory()
		test(t, memory, memory)
	})
	t.Run("over sockets", func(t *testing.T) {
		memory := platformtest.NewMemory()
		test(t, newClient(t, platformtest.NewServer(memory)), memory)
	})
}

func item(sort string, version int64, data string) platform.Item {
	return platform.Item{
		Key: platform.Key{Partition: "p", Sort: sort}, Numbers: map[string]int64{"version": version}, Data: []byte(data),
	}
}

// Guards against a transaction that is partially applied or applied although a condition fails, in memory and over sockets.
func TestTransactionsRespectTheirConditions(t *testing.T) {
	one := map[string]int64{"version": 1}
	for _, c := range []struct {
		name   string
		writes []platform.Write
		want   error
		left   []string
	}{
		{"a put without condition replaces", []platform.Write{{Item: item("a", 2, "new")}}, nil, []string{"a=2"}},
		{"a put that requires absence fails on an existing item",
			[]platform.Write{{Item: item("a", 2, ""), Condition: platform.Condition{Absent: true}}}, platform.ErrCondition, []string{"a=1"}},
		{"a put that requires absence creates an item under an empty sort key",
			[]platform.Write{{Item: item("", 7, ""), Condition: platform.Condition{Absent: true}}}, nil, []string{"=7", "a=1"}},
		{"equal numbers let the write pass",
			[]platform.Write{{Item: item("a", 2, ""), Condition: platform.Condition{Equal: one}}}, nil, []string{"a=2"}},
		{"all of several numbers must be equal",
			[]platform.Write{{Item: item("a", 2, ""), Condition: platform.Condition{Equal: map[string]int64{"version": 1, "epoch": 0}}}},
			platform.ErrCondition, []string{"a=1"}},
		{"a condition on a missing item fails",
			[]platform.Write{{Item: item("b", 2, ""), Condition: platform.Condition{Equal: one}}}, platform.ErrCondition, []string{"a=1"}},
		{"one failed check stops all writes", []platform.Write{{Item: item("b", 1, "")},
			{Kind: platform.Check, Item: item("a", 0, ""), Condition: platform.Condition{Equal: map[string]int64{"version": 9}}}},
			platform.ErrCondition, []string{"a=1"}},
		{"a check writes nothing", []platform.Write{{Item: item("b", 1, "")},
			{Kind: platform.Check, Item: item("a", 5, ""), Condition: platform.Condition{Equal: one}}}, nil, []string{"a=1", "b=1"}},
		{"a check without condition holds", []platform.Write{{Kind: platform.Check, Item: item("zz", 5, "")}}, nil, []string{"a=1"}},
		{"a conditional delete removes the item",
			[]platform.Write{{Kind: platform.Delete, Item: item("a", 0, ""), Condition: platform.Condition{Equal: one}}}, nil, nil},
		{"a key may not occur twice", []platform.Write{{Item: item("b", 1, "")}, {Item: item("b", 2, "")}}, platform.ErrInvalid, []string{"a=1"}},
		{"a transaction may not be empty", nil, platform.ErrInvalid, []string{"a=1"}},
		{"a key that is not UTF-8 is rejected, since the service would change it",
			[]platform.Write{{Item: item("\xff", 1, "")}}, platform.ErrInvalid, []string{"a=1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			forBothStores(t, func(t *testing.T, s store, _ *platformtest.Memory) {
				ctx := context.Background()
				require.NoError(t, s.Transact(ctx, platform.Write{Item: item("a", 1, "old")}))
				require.ErrorIs(t, s.Transact(ctx, c.writes...), c.want)
				items, err := s.Query(ctx, "p", "", 10)
				require.NoError(t, err)
				var left []string
				for _, i := range items {
					left = append(left, fmt.Sprintf("%s=%d", i.Key.Sort, i.Numbers["version"]))
				}
				require.Equal(t, c.left, left)
			})
		})
	}
}

// Guards against items that lose a field on the wire, and against pages that lose, repeat or reorder rows.
func TestItemsAndPagesAreReturnedUnchanged(t *testing.T) {
	forBothStores(t, func(t *testing.T, s store, _ *platformtest.Memory) {
		ctx := context.Background()
		full := platform.Item{
			Key:     platform.Key{Partition: "Sông Hàn", Sort: "ключ \" #/\x00"},
			Numbers: map[string]int64{"min": -1 << 63, "max": 1<<63 - 1}, Data: []byte{0, 255, 10}, ExpiresUnix: 1 << 40,
		}
		require.NoError(t, s.Transact(ctx, platform.Write{Item: full}))
		got, err := s.Get(ctx, full.Key)
		require.NoError(t, err)
		require.Equal(t, full, got)
		_, err = s.Get(ctx, platform.Key{Partition: "p"})
		require.ErrorIs(t, err, platform.ErrNotFound)

		const rows = 250
		for i := range rows {
			require.NoError(t, s.Transact(ctx, platform.Write{Item: item(fmt.Sprintf("%03d", i), int64(i), "")}))
		}
		for _, limit := range []int{1, 99, 100, 101, 240, 1000} {
			items, err := s.Query(ctx, "p", "010", limit)
			require.NoError(t, err)
			require.Len(t, items, min(limit, rows-10))
			for i, it := range items {
				require.Equal(t, int64(i+10), it.Numbers["version"])
			}
		}
		_, err = s.Query(ctx, "p", "", 0)
		require.ErrorIs(t, err, platform.ErrInvalid)
	})
}

// Guards against objects that are modified or truncated in transit, and against object keys that are not escaped.
func TestObjectsAreReturnedUnchanged(t *testing.T) {
	forBothStores(t, func(t *testing.T, s store, _ *platformtest.Memory) {
		ctx := context.Background()
		body := []byte(strings.Repeat("0123456789\x00\xff", 100000))
		require.NoError(t, s.PutObject(ctx, "settings/snapshot 1+ü", body))
		got, err := s.GetObject(ctx, "settings/snapshot 1+ü")
		require.NoError(t, err)
		require.True(t, slices.Equal(body, got))
		_, err = s.GetObject(ctx, "settings/none")
		require.ErrorIs(t, err, platform.ErrNotFound)
		_, err = s.GetObject(ctx, "")
		require.ErrorIs(t, err, platform.ErrInvalid)
	})
}

// Guards against an error that is more definite than the known outcome of an operation, which would break at-most-once.
func TestFaultsReturnTheirErrors(t *testing.T) {
	const late = 50 * time.Millisecond
	for _, c := range []struct {
		name           string
		fault          platformtest.Fault
		write, read    error
		effect, always bool
	}{
		{"down", platformtest.Fault{Down: true}, platform.ErrUnavailable, platform.ErrUnavailable, false, true},
		{"lost request", platformtest.Fault{LoseRequest: true}, platform.ErrOutcomeUnknown, nil, false, true},
		{"lost answer", platformtest.Fault{LoseAnswer: true}, platform.ErrOutcomeUnknown, nil, true, true},
		{"late effect", platformtest.Fault{LateEffect: late}, platform.ErrOutcomeUnknown, nil, true, true},
		{"slow but in time", platformtest.Fault{Delay: late}, nil, nil, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			forBothStores(t, func(t *testing.T, s store, memory *platformtest.Memory) {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				before := item("a", 1, "")
				require.NoError(t, s.Transact(ctx, platform.Write{Item: before}))
				require.NoError(t, s.PutObject(ctx, "o", []byte("1")))
				memory.SetFault(func(platformtest.Operation) platformtest.Fault { return c.fault })
				require.ErrorIs(t, s.Transact(ctx, platform.Write{Item: item("a", 2, "")}), c.write)
				require.ErrorIs(t, s.PutObject(ctx, "o", []byte("2")), c.write)
				_, err := s.Get(ctx, before.Key)
				require.ErrorIs(t, err, c.read)
				_, err = s.Query(ctx, "p", "", 1)
				require.ErrorIs(t, err, c.read)
				_, err = s.GetObject(ctx, "o")
				require.ErrorIs(t, err, c.read)
				memory.SetFault(nil)
				time.Sleep(2 * c.fault.LateEffect)
				wantVersion, wantBody := int64(1), "1"
				if c.effect {
					wantVersion, wantBody = 2, "2"
				}
				got, err := s.Get(ctx, before.Key)
				require.NoError(t, err)
				require.Equal(t, wantVersion, got.Numbers["version"])
				body, err := s.GetObject(ctx, "o")
				require.NoError(t, err)
				require.Equal(t, wantBody, string(body))
			})
		})
	}
}

func startClient(t *testing.T) (*awsclient.Client, *platformtest.Server) {
	server := platformtest.NewServer(platformtest.NewMemory())
	return newClient(t, server), server
}

// Guards against a write of unknown outcome that is reported as failed, and a failed write that is reported as unknown.
func TestSocketFaultsReturnTheirErrors(t *testing.T) {
	write := platform.Write{Item: item("a", 1, "")}
	t.Run("a timeout after sending a write is unknown and the write may still take effect", func(t *testing.T) {
		c, server := startClient(t)
		server.Memory().SetFault(func(platformtest.Operation) platformtest.Fault {
			return platformtest.Fault{Delay: 200 * time.Millisecond}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, c.Transact(ctx, write), platform.ErrOutcomeUnknown)
		require.Eventually(t, func() bool { _, writes := server.Memory().Counts(); return writes == 1 }, time.Second, 10*time.Millisecond)
		_, err := c.Get(ctx, write.Item.Key)
		require.ErrorIs(t, err, platform.ErrUnavailable)
	})
	t.Run("a refused connection is unavailable until the server restarts", func(t *testing.T) {
		c, server := startClient(t)
		ctx := context.Background()
		require.NoError(t, c.Transact(ctx, write))
		server.Stop()
		require.Eventually(t, func() bool { return isUnavailable(c.Transact(ctx, write)) }, time.Second, time.Millisecond)
		require.ErrorIs(t, c.PutObject(ctx, "o", nil), platform.ErrUnavailable)
		require.NoError(t, server.Start(server.Addr()))
		require.NoError(t, c.Transact(ctx, write))
	})
	t.Run("a deadline that has passed sends nothing", func(t *testing.T) {
		c, server := startClient(t)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		require.ErrorIs(t, c.Transact(ctx, write), platform.ErrUnavailable)
		_, writes := server.Memory().Counts()
		require.Zero(t, writes)
	})
	t.Run("a resent transaction whose first copy took effect succeeds once", func(t *testing.T) {
		c, server := startClient(t)
		server.Memory().SetFault(once(platformtest.Fault{LoseAnswer: true}))
		require.NoError(t, c.Transact(context.Background(), platform.Write{Item: write.Item, Condition: platform.Condition{Absent: true}}))
		_, writes := server.Memory().Counts()
		require.EqualValues(t, 1, writes)
	})
	t.Run("a failed condition of the resent copy leaves the outcome unknown, since the first may come late", func(t *testing.T) {
		c, server := startClient(t)
		ctx := context.Background()
		require.NoError(t, c.Transact(ctx, write))
		server.Memory().SetFault(once(platformtest.Fault{LateEffect: 100 * time.Millisecond}))
		next := platform.Write{Item: item("a", 3, ""), Condition: platform.Condition{Equal: map[string]int64{"version": 2}}}
		require.ErrorIs(t, c.Transact(ctx, next), platform.ErrOutcomeUnknown)
		require.NoError(t, c.Transact(ctx, platform.Write{Item: item("a", 2, "")}))
		require.Eventually(t, func() bool {
			got, err := c.Get(ctx, write.Item.Key)
			return err == nil && got.Numbers["version"] == 3
		}, time.Second, 10*time.Millisecond, "the first copy takes effect after the second was rejected")
	})
}

func isUnavailable(err error) bool {
	return err != nil && strings.HasPrefix(err.Error(), platform.ErrUnavailable.Error())
}

func once(fault platformtest.Fault) func(platformtest.Operation) platformtest.Fault {
	return func(platformtest.Operation) platformtest.Fault {
		now := fault
		fault = platformtest.Fault{}
		return now
	}
}

// Guards against errors in conditions, atomicity and order of both stores: compares random transactions with a map.
func TestRandomTransactionsMatchReferenceMap(t *testing.T) {
	forBothStores(t, func(t *testing.T, s store, _ *platformtest.Memory) {
		run := 0
		rapid.Check(t, func(rt *rapid.T) {
			run++
			partition := fmt.Sprintf("run%d", run)
			reference := map[string]platform.Item{}
			for range rapid.IntRange(1, 12).Draw(rt, "steps") {
				writes := rapid.SliceOfNDistinct(drawWrite(partition), 1, 4,
					func(w platform.Write) string { return w.Item.Key.Sort }).Draw(rt, "writes")
				err := s.Transact(context.Background(), writes...)
				if referenceTransact(reference, writes) {
					require.NoError(rt, err)
				} else {
					require.ErrorIs(rt, err, platform.ErrCondition)
				}
			}
			from := rapid.StringMatching(`[a-e]?`).Draw(rt, "from")
			limit := rapid.IntRange(1, 6).Draw(rt, "limit")
			got, err := s.Query(context.Background(), partition, from, limit)
			require.NoError(rt, err)
			want := slices.DeleteFunc(slices.Sorted(maps.Keys(reference)), func(k string) bool { return k < from })
			want = want[:min(limit, len(want))]
			require.Len(rt, got, len(want))
			for i, k := range want {
				require.Equal(rt, reference[k], got[i])
			}
		})
	})
}

func drawWrite(partition string) *rapid.Generator[platform.Write] {
	numbers := rapid.MapOfN(rapid.SampledFrom([]string{"epoch", "version"}), rapid.Int64Range(0, 2), 1, 2)
	return rapid.Custom(func(t *rapid.T) platform.Write {
		w := platform.Write{Kind: rapid.SampledFrom([]platform.WriteKind{platform.Put, platform.Put, platform.Delete, platform.Check}).Draw(t, "kind")}
		w.Item.Key = platform.Key{Partition: partition, Sort: rapid.StringMatching(`[a-d]?`).Draw(t, "sort")}
		if w.Kind == platform.Put {
			w.Item.Numbers = numbers.Draw(t, "numbers")
			w.Item.Data = rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "data")
		}
		switch rapid.IntRange(0, 3).Draw(t, "condition") {
		case 0:
			w.Condition.Absent = true
		case 1:
			w.Condition.Equal = numbers.Draw(t, "equal")
		}
		return w
	})
}

func referenceTransact(reference map[string]platform.Item, writes []platform.Write) bool {
	for _, w := range writes {
		item, exists := reference[w.Item.Key.Sort]
		if w.Condition.Absent && exists {
			return false
		}
		for name, want := range w.Condition.Equal {
			if got, has := item.Numbers[name]; !has || got != want {
				return false
			}
		}
	}
	for _, w := range writes {
		switch w.Kind {
		case platform.Put:
			reference[w.Item.Key.Sort] = w.Item
		case platform.Delete:
			delete(reference, w.Item.Key.Sort)
		}
	}
	return true
}

// Guards against a breaker that stays closed in an outage or open after it, with the guard and the client over sockets.
func TestGuardedClientRecoversFromOutage(t *testing.T) {
	server := platformtest.NewServer(platformtest.NewMemory())
	c := newClient(t, server)
	limits := platform.DefaultLimits()
	limits.ProbeMs = 50
	guard := platform.NewGuard(c, c, platform.Options{Limits: limits})
	ctx := context.Background()
	require.NoError(t, guard.Transact(ctx, platform.Write{Item: item("a", 1, "")}))
	server.Stop()
	require.Eventually(t, func() bool {
		_, err := guard.Get(ctx, platform.Key{Partition: "p", Sort: "a"})
		return isUnavailable(err) && guard.State().Table.Breaker != "closed"
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, "closed", guard.State().Objects.Breaker)
	require.NoError(t, server.Start(server.Addr()))
	require.Eventually(t, func() bool {
		got, err := guard.Get(ctx, platform.Key{Partition: "p", Sort: "a"})
		return err == nil && got.Numbers["version"] == 1
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, "closed", guard.State().Table.Breaker)
}
