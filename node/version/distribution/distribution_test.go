package distribution

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/platformtest"
	"github.com/radishstand/radishstand/node/version/commit"
	"github.com/radishstand/radishstand/node/version/current"
)

// Guards against a version that is not in force within 3 s or whose distribution costs a node more in a larger place, also
// while 5 % of the nodes hang undetected. Logs the figures.
func TestVersionReachesFleet(t *testing.T) {
	const changes, changeGap = 4, 2 * time.Second
	for _, hanging := range []int{0, 5} {
		for _, size := range []int{100, 400, 1600} {
			t.Run(fmt.Sprintf("%d nodes of which %d%% hang", size, hanging), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t)
					defer f.stop()
					for range size {
						f.add("hue")
					}
					time.Sleep(3 * time.Second)
					require.Equal(t, size, f.inForce(0))
					hangs := map[string]bool{}
					for _, i := range rand.New(rand.NewPCG(4, 4)).Perm(size - 2)[:size*hanging/100] {
						hangs[f.all[i+2]] = true // not the readers
					}
					f.mu.Lock()
					f.blocked = func(from, to string) bool { return hangs[from] || hangs[to] }
					f.mu.Unlock()
					messages, bytes := f.traffic()
					time.Sleep(changes * changeGap)
					idleMessages, idleBytes := f.traffic()
					idleMessages, idleBytes = idleMessages-messages, idleBytes-bytes
					messages, bytes = f.traffic()
					var times []int64
					announced := -f.announcements()
					for i := range int64(changes) {
						f.commit(fmt.Sprint("c", i), i, "places.hue.services.quotes.call.timeoutMs", 100+i)
						start := time.Now()
						for f.inForce(i+1) < size-len(hangs) && time.Since(start) < 10*time.Second {
							time.Sleep(5 * time.Millisecond)
						}
						times = append(times, time.Since(start).Milliseconds())
						time.Sleep(changeGap - time.Since(start))
					}
					announced += f.announcements()
					slices.Sort(times)
					messagesNow, bytesNow := f.traffic()
					all := float64(size * changes)
					t.Logf("nodes %d, hanging %d: in force after %v ms; per node and change: %.1f announcements, %.1f messages, "+
						"%.0f bytes of payload; idle: %.1f messages/s, %.0f bytes/s of payload per node",
						size, len(hangs), times, float64(announced)/all, float64(messagesNow-messages-idleMessages)/all,
						float64(bytesNow-bytes-idleBytes)/all, float64(idleMessages)/all/changeGap.Seconds(),
						float64(idleBytes)/all/changeGap.Seconds())
					require.Less(t, times[changes-1], int64(3000))
					require.LessOrEqual(t, announced, int64((ringPeers+randomPeers)*changes*size))
				})
			})
		}
	}
}

// Guards against a place that loses the store or all links to other places and then reverts to an old version, stops or
// never catches up.
func TestPlaceWithoutStoreAndLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.noTable = "hanoi"
		for range 20 {
			f.add("hue")
			f.add("hanoi")
		}
		f.commit("a", 0, "places.hue.services.quotes", map[string]any{})
		time.Sleep(5 * time.Second)
		require.Equal(t, 40, f.inForce(1), "readers check with peers in other places")

		f.mu.Lock()
		f.blocked = func(from, to string) bool { return f.nodes[from].place != f.nodes[to].place }
		f.mu.Unlock()
		time.Sleep(5 * time.Second) // fetches in progress end
		f.commit("b", 1, "defaults.call.timeoutMs", 7)
		for range 20 {
			time.Sleep(time.Second)
			for _, n := range f.nodes {
				require.GreaterOrEqual(t, n.distributor.State().Version, int64(1))
			}
		}
		require.Equal(t, 20, f.inForce(2), "only the place with the store has the version")

		f.mu.Lock()
		f.blocked = func(string, string) bool { return false }
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		require.Equal(t, 40, f.inForce(2))
	})
}

// Guards against a node that stays at an old version because announcements are lost.
func TestChecksRecoverLostAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		for range 30 {
			f.add("hue")
		}
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.muted = true
		f.mu.Unlock()
		f.commit("a", 0, "places.hue.services.quotes", map[string]any{})
		time.Sleep(20 * time.Second)
		require.Equal(t, 30, f.inForce(1))
	})
}

// Guards against a new node that starts to serve without a version or with a lower one than the table or several peers hold.
func TestBootstrap(t *testing.T) {
	cases := []struct {
		name      string
		tableDown bool
		peers     []int64 // versions of the peers
		want      int64   // -1 while unready
	}{
		{"no change was accepted yet", false, nil, 0},
		{"the table is up and there are no peers", false, nil, 3},
		{"the table is up and the peers lag", false, []int64{1, 2, 2}, 3},
		{"the table is down and there are no peers", true, nil, -1},
		{"the table is down and one peer answers", true, []int64{3}, -1},
		{"the table is down and two peers answer", true, []int64{1, 3}, 3},
		{"the table is down and the peers hold no version either", true, []int64{-1, -1, -1}, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stop()
				trees := []*settings.Tree{{}}
				for i := range max(c.want, slices.Max(append(c.peers, 0))) {
					v := f.commit(fmt.Sprint("c", i), i, "defaults.call.timeoutMs", 10+i)
					tree, err := trees[i].Apply(v.Edits)
					require.NoError(t, err)
					trees = append(trees, tree)
				}
				if c.tableDown {
					f.store.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} })
				}
				for i, version := range c.peers {
					n := &fakeNode{fleet: f, id: fmt.Sprint("p", i), holder: current.New("hue")}
					n.distributor = New(Config{Holder: n.holder, Peers: n})
					if version >= 0 {
						n.distributor.adoptTree(version, trees[version])
					}
					f.nodes[n.id] = n
					f.all = append(f.all, n.id)
				}
				fresh := f.add("hue")
				first, start := int64(-1), time.Now()
				for first < 0 && time.Since(start) < 4*time.Second {
					time.Sleep(100 * time.Microsecond)
					first = fresh.distributor.State().Version
				}
				require.Equal(t, c.want, first, "the first version that the node serves with")
				f.store.SetFault(nil)
				time.Sleep(4 * time.Second)
				require.GreaterOrEqual(t, fresh.distributor.State().Version, max(c.want, 0), "the table is back")
			})
		})
	}
}

func change(version int64, timeout int) *peerpb.SettingsVersion {
	edit := settings.Set("defaults.call.timeoutMs", fmt.Append(nil, timeout))
	return encodeVersion(commit.Version{Version: version, ChangeID: "c", Edits: []settings.Edit{edit}})
}

func snapshot(version int64, text string) *peerpb.SettingsVersion {
	return &peerpb.SettingsVersion{Version: version, Change: []byte(text), Snapshot: true}
}

// Guards against a change log that does not match the held version after a snapshot or an old tree was offered, so that
// lagging peers receive nothing.
func TestServeAfterSnapshotAndOldTree(t *testing.T) {
	d := New(Config{Holder: current.New("hue")})
	d.adoptTree(5, &settings.Tree{})
	require.NoError(t, d.adopt("p", []*peerpb.SettingsVersion{snapshot(9, `{}`), change(10, 3)}))
	d.adoptTree(4, &settings.Tree{})
	for after, want := range map[int64][]int64{9: {10}, 5: {10}, 10: nil} {
		var got []int64
		for _, v := range d.Serve(&peerpb.FetchSettingsRequest{AfterVersion: after, MaxBytes: maxFetchBytes}).Versions {
			require.Equal(t, after == 5, v.Snapshot)
			got = append(got, v.Version)
		}
		require.Equal(t, want, got)
	}
}

// Guards against every node of a place loading the tree from the store when all of them start at once. Logs the figures.
func TestPlaceStartsAtOnce(t *testing.T) {
	for _, size := range []int{100, 400, 1600} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stop()
				const versions = 200
				for i := range int64(versions) {
					f.commit(fmt.Sprint("c", i), i, "defaults.call.timeoutMs", 10+i)
				}
				before, _ := f.store.Counts()
				start := time.Now()
				for range size {
					f.add("hue")
				}
				for f.inForce(versions) < size && time.Since(start) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(start)
				reads, _ := f.store.Counts()
				t.Logf("nodes %d: all ready after %v; %d rows read", size, took, reads-before)
				require.Less(t, took, 5*time.Second)
				require.LessOrEqual(t, reads-before, int64(size+4*versions))
			})
		})
	}
}

// Guards against a late, out-of-order or damaged version that changes the held one.
func TestAdoptIgnoresStaleVersionsAndGaps(t *testing.T) {
	cases := []struct {
		name    string
		offered []*peerpb.SettingsVersion
		want    int64
		fails   bool
	}{
		{"the next versions", []*peerpb.SettingsVersion{change(6, 1), change(7, 2)}, 7, false},
		{"an old change", []*peerpb.SettingsVersion{change(5, 1), change(4, 1)}, 5, false},
		{"an old snapshot", []*peerpb.SettingsVersion{snapshot(4, `{}`)}, 5, false},
		{"a change after a gap", []*peerpb.SettingsVersion{change(7, 1)}, 5, false},
		{"a newer snapshot and the change after it", []*peerpb.SettingsVersion{snapshot(9, `{}`), change(10, 3)}, 10, false},
		{"a damaged change after a good one", []*peerpb.SettingsVersion{change(6, 1), {Version: 7, Change: []byte("[")}}, 6, true},
		{"a damaged snapshot", []*peerpb.SettingsVersion{snapshot(9, `{"places": 1}`)}, 5, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New(Config{Holder: current.New("hue")})
			d.adoptTree(5, &settings.Tree{})
			require.Equal(t, c.fails, d.adopt("p", c.offered) != nil)
			require.Equal(t, c.want, d.State().Held)
		})
	}
}

// Guards against unbounded memory use or replies, and against a lagging peer that cannot be served.
func TestServeIsBounded(t *testing.T) {
	d := New(Config{Holder: current.New("hue")})
	require.EqualValues(t, -1, d.Serve(&peerpb.FetchSettingsRequest{AfterVersion: -1, MaxBytes: 1}).HeadVersion)
	d.adoptTree(0, &settings.Tree{})
	text := strings.Repeat("x", 200)
	for i := range int64(5000) {
		edit := settings.Set(fmt.Sprintf("places.hue.services.s%d.measure.healthPath", i%10), fmt.Appendf(nil, "%q", "/"+text))
		d.Accept(commit.Version{Version: i + 1, ChangeID: "c", Edits: []settings.Edit{edit}})
	}
	require.EqualValues(t, 5000, d.State().Held)
	require.LessOrEqual(t, d.State().LogBytes, maxLogBytes)
	limited := d.Serve(&peerpb.FetchSettingsRequest{AfterVersion: 4000, MaxBytes: 1000})
	require.Len(t, limited.Versions, 3, "as many as fit")
	whole := d.Serve(&peerpb.FetchSettingsRequest{AfterVersion: 10, MaxBytes: maxFetchBytes})
	require.Len(t, whole.Versions, 1)
	require.True(t, whole.Versions[0].Snapshot)
	require.Empty(t, d.Serve(&peerpb.FetchSettingsRequest{AfterVersion: 10, MaxBytes: 100}).Versions)
}
