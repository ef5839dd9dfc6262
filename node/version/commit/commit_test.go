package commit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/platformtest"
)

func newEditor(m *platformtest.Memory) *Editor { return NewEditor(NewStore(m, m), time.Now) }

func change(id string, base int64, path string, value any) Change {
	data, _ := json.Marshal(value)
	return Change{ID: id, Author: "lan", BaseVersion: base, Edits: []settings.Edit{settings.Set(path, data)}}
}

// failing returns a fault function that applies a fault to the operations of one name.
func failing(name string, f platformtest.Fault) func(platformtest.Operation) platformtest.Fault {
	return func(op platformtest.Operation) platformtest.Fault {
		if op.Name == name {
			return f
		}
		return platformtest.Fault{}
	}
}

// Guards against an edit that is lost or silently overwritten when operators submit changes concurrently.
func TestConcurrentOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platformtest.NewMemory()
		m.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Delay: time.Millisecond} })
		const operators = 10
		results, errs := make([]Result, operators), make([]error, operators)
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() {
				path := fmt.Sprintf("places.hue.services.s%d.call.timeoutMs", i/2) // two operators for each key
				results[i], errs[i] = newEditor(m).Commit(t.Context(), change(fmt.Sprint("c", i), 0, path, 100+i))
			})
		}
		wg.Wait()
		for i := 0; i < operators; i += 2 {
			a, b := errs[i], errs[i+1]
			require.True(t, (a == nil) != (b == nil), "one of two edits of a key wins: %v, %v", a, b)
			var conflict *settings.ConflictError
			require.ErrorAs(t, errors.Join(a, b), &conflict)
			require.NotEmpty(t, conflict.Conflicts[0].Yours)
			require.NotEmpty(t, conflict.Conflicts[0].Theirs)
		}
		head, err := newEditor(m).HeadVersion(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, operators/2, head)
	})
}

// Guards against a change that is reported as failed or applied twice because the answer to a write is lost.
func TestLostAnswersAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platformtest.NewMemory()
		m.SetFault(failing("Transact", platformtest.Fault{LoseAnswer: true}))
		e := newEditor(m)
		for i := range int64(5) {
			c := change(fmt.Sprint("c", i), i, "defaults.call.timeoutMs", 100+i)
			first, err := e.Commit(t.Context(), c)
			require.NoError(t, err)
			again, err := e.Commit(t.Context(), c)
			require.NoError(t, err)
			require.Equal(t, i+1, first.Version)
			require.Equal(t, first.Version, again.Version)
		}
		_, err := e.Commit(t.Context(), change("c0", 5, "defaults.call.timeoutMs", 9))
		require.ErrorIs(t, err, ErrChangeIDReused)
	})
}

// Guards against reporting a write as not applied that takes effect after the read-back.
func TestWriteTakesEffectAfterReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platformtest.NewMemory()
		m.SetFault(failing("Transact", platformtest.Fault{LateEffect: time.Minute}))
		e := newEditor(m)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		c := change("c", 0, "defaults.call.timeoutMs", 100)
		_, err := e.Commit(ctx, c)
		require.ErrorIs(t, err, ErrOutcomeUnknown)

		m.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} })
		_, err = e.Commit(t.Context(), change("d", 0, "defaults.call.class", "check"))
		require.ErrorIs(t, err, ErrUnavailable)

		m.SetFault(nil)
		time.Sleep(2 * time.Minute)
		result, err := e.Commit(t.Context(), c)
		require.NoError(t, err)
		require.Equal(t, Result{Version: 1, Repeated: true}, result)
	})
}

// Guards against reading the change id before the head: a write that takes effect between the two reads would be considered
// impossible, and a later failure would be reported as not applied.
func TestWriteTakesEffectBetweenReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platformtest.NewMemory()
		transactions := 0
		m.SetFault(func(op platformtest.Operation) platformtest.Fault {
			f := platformtest.Fault{Delay: 10 * time.Millisecond}
			if op.Name == "Transact" {
				transactions++
				f.LateEffect = 22 * time.Millisecond // after the first subsequent read, which ends 15 to 20 ms later
				f.Down = transactions > 1
			}
			return f
		})
		result, err := newEditor(m).Commit(t.Context(), change("c", 0, "defaults.call.timeoutMs", 100))
		require.NoError(t, err)
		require.Equal(t, Result{Version: 1, Repeated: true}, result)
	})
}

// Guards against a result that contradicts the history: under random faults and races, an accepted change must be in the
// history once, and a change reported as not applied must never appear, however late writes take effect.
func TestResultsAgreeWithHistoryUnderFaults(t *testing.T) {
	const seeds, operators, changes = 300, 4, 5
	unknown, rejected := 0, 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			m := platformtest.NewMemory()
			random := rand.New(rand.NewPCG(seed, 0))
			var outageEnd time.Time
			m.SetFault(func(op platformtest.Operation) platformtest.Fault {
				f := platformtest.Fault{Delay: time.Duration(random.IntN(20)) * time.Millisecond}
				if random.IntN(100) == 0 {
					outageEnd = time.Now().Add(time.Duration(random.IntN(2000)) * time.Millisecond)
				}
				switch n := random.IntN(10); {
				case time.Now().Before(outageEnd):
					f.Down = true
				case n < 3 && op.Name == "Transact":
					f.LoseAnswer = true
				case n < 6 && op.Name == "Transact":
					f.LateEffect = time.Duration(random.IntN(3000)+1) * time.Millisecond
				}
				return f
			})
			errs := make([]error, operators*changes)
			versions := make([]int64, operators*changes)
			var wg sync.WaitGroup
			for o := range operators {
				wg.Go(func() {
					e, base := newEditor(m), int64(0)
					for i := o * changes; i < (o+1)*changes; i++ {
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						path := fmt.Sprintf("places.hue.services.s%d.call.timeoutMs", i%7)
						result, err := e.Commit(ctx, change(fmt.Sprint("c", i), base, path, i+1))
						cancel()
						versions[i], errs[i] = result.Version, err
						base = max(base, result.Version)
					}
				})
			}
			wg.Wait()
			time.Sleep(time.Minute)
			m.SetFault(nil)
			history, err := newEditor(m).Versions(t.Context(), 0, operators*changes)
			require.NoError(t, err)
			applied := map[string]int64{}
			for i, v := range history {
				require.EqualValues(t, i+1, v.Version)
				require.NotContains(t, applied, v.ChangeID, "a change is applied once")
				applied[v.ChangeID] = v.Version
			}
			for i, err := range errs {
				switch {
				case err == nil:
					require.Equal(t, applied[fmt.Sprint("c", i)], versions[i], "seed %d", seed)
				case errors.Is(err, ErrOutcomeUnknown):
					unknown++
				default:
					rejected++
					require.NotContains(t, applied, fmt.Sprint("c", i), "seed %d: reported as not applied: %v", seed, err)
				}
			}
		})
	}
	t.Logf("%d submissions: %d unknown, %d rejected", seeds*operators*changes, unknown, rejected)
	require.NotZero(t, unknown)
	require.NotZero(t, rejected)
}

// Guards against a rollback that lowers the version or reverts what others have changed since.
func TestRollbackIsANewVersion(t *testing.T) {
	m := platformtest.NewMemory()
	e := newEditor(m)
	ctx := t.Context()
	for i, c := range []Change{
		change("a", 0, "places.hue.services.q", map[string]any{}),
		change("b", 1, "defaults.call.timeoutMs", 5),
		{ID: "c", Author: "lan", BaseVersion: 2, Edits: []settings.Edit{settings.Unset("places.hue")}},
		change("d", 3, "defaults.call.class", "check"),
	} {
		result, err := e.Commit(ctx, c)
		require.NoError(t, err)
		require.EqualValues(t, i+1, result.Version)
	}
	r := Rollback{ID: "r", Author: "lan", BaseVersion: 3, ToVersion: 1}
	result, err := e.Rollback(ctx, r)
	require.NoError(t, err)
	require.EqualValues(t, 5, result.Version)
	require.Equal(t, `{"defaults":{"call":{"class":"check"}},"places":{"hue":{"values":{},"services":{"q":{}}}}}`, string(result.Tree.Encode()))
	again, err := e.Rollback(ctx, r)
	require.NoError(t, err)
	require.Equal(t, Result{Version: 5, Repeated: true}, again)
	_, err = e.Rollback(ctx, Rollback{ID: "s", Author: "lan", BaseVersion: 5, ToVersion: 9})
	require.ErrorIs(t, err, ErrBadChange)
	_, err = e.Commit(ctx, change("t", 9, "defaults.call.timeoutMs", 5))
	require.ErrorIs(t, err, ErrNoVersion)
}

// Guards against an accepted version that cannot be loaded because a snapshot is missing, damaged or unreachable.
func TestLoadWithoutSnapshot(t *testing.T) {
	const versions = 2*SnapshotEvery + 3
	cases := []struct {
		name   string
		damage func(m *platformtest.Memory)
	}{
		{"all snapshots are available", func(*platformtest.Memory) {}},
		{"the last snapshot is damaged", func(m *platformtest.Memory) {
			_ = m.PutObject(context.Background(), objectKey(2*SnapshotEvery), []byte(`{"version":1000,"sha256":"","tree":{}}`))
		}},
		{"the object store is down", func(m *platformtest.Memory) { m.SetFault(failing("GetObject", platformtest.Fault{Down: true})) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := platformtest.NewMemory()
			e := newEditor(m)
			for i := range int64(versions) {
				if i == SnapshotEvery-1 {
					m.SetFault(failing("PutObject", platformtest.Fault{Down: true})) // the first attempt to write a snapshot fails
				}
				_, err := e.Commit(t.Context(), change(fmt.Sprint("c", i), i, "defaults.call.timeoutMs", i+1))
				require.NoError(t, err)
				e.Close()
				m.SetFault(nil)
			}
			item, err := m.Get(t.Context(), snapshotKey)
			require.NoError(t, err)
			require.EqualValues(t, 2*SnapshotEvery, item.Numbers[numberVersion])
			_, err = m.GetObject(t.Context(), objectKey(SnapshotEvery))
			require.NoError(t, err, "a snapshot that failed is written after the next change")
			c.damage(m)
			for _, version := range []int64{versions, SnapshotEvery + 1, 1} {
				tree, err := NewStore(m, m).Load(t.Context(), version)
				require.NoError(t, err)
				require.EqualValues(t, version, tree.Resolve("", "").Call.TimeoutMs)
			}
			_, err = NewStore(m, m).Load(t.Context(), versions+1)
			require.ErrorIs(t, err, ErrNoVersion)
		})
	}
}

// Guards against a tree too large for one message between nodes, and a change too large for a row of the table.
func TestSizesAreBounded(t *testing.T) {
	e := newEditor(platformtest.NewMemory())
	path := "/" + strings.Repeat("x", 250)
	services := func(count int) map[string]any {
		out := map[string]any{}
		for i := range count {
			out[fmt.Sprint("s", i)] = map[string]any{"measure": map[string]any{"healthPath": path}}
		}
		return out
	}
	_, err := e.Commit(t.Context(), change("big", 0, "places.p.services", services(1000)))
	require.ErrorIs(t, err, ErrBadChange)
	size := 0
	for i := range int64(100) {
		result, err := e.Commit(t.Context(), change(fmt.Sprint("c", i), i, fmt.Sprintf("places.p%d.services", i), services(800)))
		if err != nil {
			require.ErrorIs(t, err, ErrBadChange)
			require.Greater(t, size, MaxTreeBytes-MaxChangeBytes)
			return
		}
		size = len(result.Tree.Encode())
		require.LessOrEqual(t, size, MaxTreeBytes)
	}
	t.Fatal("no change was rejected")
}
