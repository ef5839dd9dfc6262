package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// referenceTable implements the merge rule without buckets, hashes or indexes.
type referenceTable map[string]Member

func (n referenceTable) merge(r Member) {
	k, ok := n[r.Address]
	if !ok {
		if r.State == Alive || r.State == Suspect {
			n[r.Address] = r
		}
		return
	}
	version := max(k.SettingsVersion, r.SettingsVersion)
	better := r.Incarnation > k.Incarnation || r.Incarnation == k.Incarnation && (r.Sequence > k.Sequence || r.Sequence == k.Sequence && r.State > k.State)
	switch {
	case r.State != versionOnly && better && r.Incarnation > k.Incarnation:
		n[r.Address] = r
	case r.State != versionOnly && better:
		r.SettingsVersion = version
		n[r.Address] = r
	case r.Incarnation == k.Incarnation:
		k.SettingsVersion = version
		n[r.Address] = k
	}
}

func (n referenceTable) live(keep func(Member) bool) map[string]Member {
	out := map[string]Member{}
	for k, r := range n {
		if (r.State == Alive || r.State == Suspect) && keep(r) {
			out[k] = r
		}
	}
	return out
}

func byAddress(members []*Member) map[string]Member {
	out := map[string]Member{}
	for _, r := range members {
		out[r.Address] = *r
	}
	return out
}

// Guards against a merge whose result depends on the order or repetition of records, and against indexes or bucket hashes
// that become inconsistent with the records. Use -rapid.seed for other cases.
func TestMergeMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			address := fmt.Sprintf("10.0.0.%d:7", rapid.IntRange(0, 5).Draw(t, "address"))
			incarnation, sequence := uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), uint64(rapid.IntRange(0, 3).Draw(t, "sequence"))
			// The contents depend only on incarnation and sequence, since only the member itself changes them.
			variant := (incarnation*4 + sequence) % 3
			return Member{
				Address: address, Incarnation: incarnation, Sequence: sequence, State: State(rapid.IntRange(0, 4).Draw(t, "state")),
				Place: string(rune('a' + variant)), Service: []string{"", "quotes", "crews"}[variant], ServerID: address,
				SettingsVersion: int64(rapid.IntRange(0, 3).Draw(t, "version")), hash: xxhash.Sum64String(address),
			}
		}), 0, 60).Draw(t, "news")
		tab, want := newRecordTable(), referenceTable{}
		for _, r := range records {
			tab.merge(&r, time.Time{})
			want.merge(r)
		}
		got := map[string]Member{}
		wantHashes := make([]uint64, coarseBuckets)
		for r := range tab.all() {
			got[r.Address] = *r
			wantHashes[bucketOf(r.hash)*coarseBuckets/bucketCount] ^= r.digest()
		}
		require.Equal(t, map[string]Member(want), got)
		require.Equal(t, wantHashes, tab.hashes(coarseBuckets))
		for _, name := range []string{"a", "b", "c"} {
			require.Equal(t, want.live(func(r Member) bool { return r.Place == name }), byAddress(tab.ring(name)))
		}
		for _, name := range []string{"quotes", "crews"} {
			require.Equal(t, want.live(func(r Member) bool { return r.Service == name }), byAddress(tab.service(name)))
		}
		// The same live records in another order result in the same hashes.
		other, shuffled := newRecordTable(), newRecordTable()
		for _, r := range records {
			if r.State.Live() {
				other.merge(&r, time.Time{})
			}
		}
		for _, i := range rapid.Permutation(indexes(len(records))).Draw(t, "order") {
			if r := records[i]; r.State.Live() {
				shuffled.merge(&r, time.Time{})
			}
		}
		require.Equal(t, other.hashes(bucketCount), shuffled.hashes(bucketCount))
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against fields that are lost in encoding or decoding.
func TestRecordRoundTrip(t *testing.T) {
	for name, r := range map[string]Member{
		"a server named like its node": {Address: "10.0.0.1:7", ServerID: "10.0.0.1:7", Place: "a", Service: "quotes", Incarnation: 3, Sequence: 4, Slots: 9, State: Suspect, Draining: true, SettingsVersion: 6},
		"a server with a name":         {Address: "10.0.0.1:7", ServerID: "s1", Place: "a", Service: "quotes", Incarnation: 1, State: Alive},
		"no server":                    {Address: "10.0.0.1:7", Place: "a", Incarnation: 1, State: Dead},
		"a link observation":           {Address: linkKey("b|c", "10.0.0.1:7"), Place: "a", Incarnation: 1, State: Alive},
	} {
		t.Run(name, func(t *testing.T) {
			r.hash = xxhash.Sum64String(r.Address)
			require.Equal(t, r, *fromMessage(r.message(), &newRecordTable().names))
		})
	}
	place, prober := parseLink(linkKey("b|c", "10.0.0.1:7"))
	require.Equal(t, [2]string{"b|c", "10.0.0.1:7"}, [2]string{place, prober})
}

// Guards against rendezvous hashing that moves keys of other members than the lost one, or that is unbalanced.
func TestRendezvousMovesOnlyTheKeysOfALostMember(t *testing.T) {
	m := New(Config{Address: "x", Place: "a"}, nil, SystemClock{}, rand.New(rand.NewPCG(1, 1)))
	addRecords(m.records, 60, 3, 5)
	before := map[string]*Member{}
	owned := map[string]int{}
	for i := range 6000 {
		key := fmt.Sprint("key", i)
		r, ok := m.Rendezvous(key, nil)
		require.True(t, ok)
		before[key] = r
		owned[r.Address]++
	}
	for _, n := range owned {
		require.InDelta(t, 100, n, 50)
	}
	gone := before["key0"]
	m.apply(gone.withState(Dead), false)
	for key, r := range before {
		after, _ := m.Rendezvous(key, nil)
		require.Equal(t, r.Address == gone.Address, after.Address != r.Address)
	}
	require.Len(t, m.RendezvousN("key", 4, func(place string) bool { return place == "p1" }), 4)
	_, ok := m.Rendezvous("key", func(string) bool { return false })
	require.False(t, ok)
}

// addRecords adds records with realistic names.
func addRecords(t *recordTable, records, places, services int) {
	for i := range records {
		address := fmt.Sprintf("10.%d.%d.%d:7000", i%places, i/places/250, i/places%250)
		t.merge(&Member{
			Address: address, ServerID: address, Place: t.names.get(fmt.Sprint("p", i%places)),
			Service: t.names.get(fmt.Sprintf("service-%03d", i%services)), Incarnation: 1, Sequence: 3, Slots: 17, State: Alive,
			hash: xxhash.Sum64String(address),
		}, time.Time{})
	}
}
