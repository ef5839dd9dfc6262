package membership

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of buckets in the finest comparison of anti-entropy. At 13,000 records a bucket holds
	// about 51 records, which are about 4 KB on the wire, and all hashes are 2 KB.
	bucketCount = 256
	// coarseBuckets is the number of bucket hashes compared first. A node with at most maxInlineRecords records replies
	// with the records of differing buckets at once; a larger one only names those buckets, so that the peer repeats the
	// comparison with bucketCount hashes, which is rarely needed.
	coarseBuckets    = 16
	maxInlineRecords = 256
	shardCount       = 16
)

// interner deduplicates the strings of places and services, which have few distinct values.
type interner struct {
	mu    sync.RWMutex
	names map[string]string
}

func (in *interner) get(s string) string {
	in.mu.RLock()
	v, ok := in.names[s]
	in.mu.RUnlock()
	if ok {
		return v
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if v, ok = in.names[s]; ok {
		return v
	}
	in.names[s] = s
	return s
}

type bucket struct {
	hash    uint64
	members []*Member
}

func (b *bucket) find(key string, hash uint64) int {
	for i, m := range b.members {
		if m.hash == hash && m.Address == key {
			return i
		}
	}
	return -1
}

type shard struct {
	mu      sync.RWMutex
	buckets [bucketCount / shardCount]bucket
	// tombstones maps the keys of dead and left records to the time when this node first saw them in such a state.
	tombstones map[string]time.Time
}

// recordTable holds all records. Lock order: a shard's lock is acquired before the index's lock.
type recordTable struct {
	names      interner
	shards     [shardCount]shard
	count      atomic.Int64
	generation atomic.Uint64
	index      index
}

// index holds the live members by place and by service, in ring order, and the link observations in force.
type index struct {
	mu       sync.RWMutex
	places   memberLists
	services memberLists
	links    map[string]*Member
}

// memberList is a copy-on-write slice. It is modified in place until a reader obtains the slice; the next change after
// that copies it. A joining node merges 13,000 records with few reads in between; a copy for each record allocated 190 MB
// of garbage.
type memberList struct {
	members []*Member
	shared  atomic.Bool
}

type memberLists map[string]*memberList

// get returns the list of the name and marks it as shared. The slice must not be modified.
func (ls memberLists) get(name string) []*Member {
	l := ls[name]
	if l == nil {
		return nil
	}
	if !l.shared.Load() {
		l.shared.Store(true)
	}
	return l.members
}

// writable returns the list of the name, copied first if a reader may hold its slice, and the position of the record in
// it.
func (ls memberLists) writable(name string, m *Member) (l *memberList, i int, found bool) {
	l = ls[name]
	if l == nil {
		l = &memberList{}
		ls[name] = l
	}
	if l.shared.Load() {
		l.members = slices.Clone(l.members)
		l.shared.Store(false)
	}
	i, found = slices.BinarySearchFunc(l.members, m, ringOrder)
	return l, i, found
}

func newRecordTable() *recordTable {
	t := &recordTable{names: interner{names: map[string]string{}}}
	for i := range t.shards {
		t.shards[i].tombstones = map[string]time.Time{}
	}
	t.index = index{places: memberLists{}, services: memberLists{}, links: map[string]*Member{}}
	return t
}

func bucketOf(hash uint64) int { return int(hash >> 56) }

func (t *recordTable) locate(hash uint64) (*shard, *bucket) {
	b := bucketOf(hash)
	s := &t.shards[b%shardCount]
	return s, &s.buckets[b/shardCount]
}

func (t *recordTable) get(key string) *Member {
	hash := xxhash.Sum64String(key)
	s, b := t.locate(hash)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if i := b.find(key, hash); i >= 0 {
		return b.members[i]
	}
	return nil
}

// mergeResult describes the effect of a merge.
type mergeResult uint8

const (
	// mergeIgnored means that the received record changed nothing.
	mergeIgnored mergeResult = iota
	// mergeVersionOnly means that only the settings version increased.
	mergeVersionOnly
	// mergeReplaced means that the record was added or replaced.
	mergeReplaced
)

// merge stores the record if it supersedes the known one, and returns the records known before and after. Dead and left
// records of unknown members are ignored: a node that removed a record must not receive it again from a node that did not,
// and a node that still holds the member as alive is corrected by the nodes that keep its tombstone.
func (t *recordTable) merge(in *Member, now time.Time) (before, after *Member, result mergeResult) {
	s, b := t.locate(in.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := b.find(in.Address, in.hash)
	if i < 0 {
		if !in.State.Live() {
			return nil, nil, mergeIgnored
		}
		b.members = append(b.members, in)
		b.hash ^= in.digest()
		t.count.Add(1)
		t.reindex(nil, in)
		return nil, in, mergeReplaced
	}
	before = b.members[i]
	if in.State == versionOnly || !in.supersedes(before) {
		if in.Incarnation != before.Incarnation || in.SettingsVersion <= before.SettingsVersion {
			return before, before, mergeIgnored
		}
		// The version is not part of the hash, so that a new version does not make every bucket differ.
		after = before.withVersion(in.SettingsVersion)
		b.members[i] = after
		t.reindex(before, after)
		return before, after, mergeVersionOnly
	}
	if in.Incarnation == before.Incarnation && in.SettingsVersion < before.SettingsVersion {
		in = in.withVersion(before.SettingsVersion)
	}
	b.members[i] = in
	b.hash ^= before.digest() ^ in.digest()
	s.updateTombstone(in, now)
	t.reindex(before, in)
	return before, in, mergeReplaced
}

func (s *shard) updateTombstone(m *Member, now time.Time) {
	if m.State.Live() {
		delete(s.tombstones, m.Address)
	} else if _, ok := s.tombstones[m.Address]; !ok {
		s.tombstones[m.Address] = now
	}
}

// remove deletes a record without leaving a tombstone.
func (t *recordTable) remove(key string) {
	hash := xxhash.Sum64String(key)
	s, b := t.locate(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := b.find(key, hash); i >= 0 {
		t.removeAt(s, b, i)
	}
}

func (t *recordTable) removeAt(s *shard, b *bucket, i int) {
	m := b.members[i]
	b.hash ^= m.digest()
	b.members = slices.Delete(b.members, i, i+1)
	delete(s.tombstones, m.Address)
	t.count.Add(-1)
	t.reindex(m, nil)
}

// sweep removes the records whose tombstone is older than the given time.
func (t *recordTable) sweep(before time.Time) {
	for n := range t.shards {
		s := &t.shards[n]
		s.mu.Lock()
		for key, at := range s.tombstones {
			if at.Before(before) {
				hash := xxhash.Sum64String(key)
				_, b := t.locate(hash)
				if i := b.find(key, hash); i >= 0 {
					t.removeAt(s, b, i)
				}
			}
		}
		s.mu.Unlock()
	}
}

// tombstoneKeys returns the keys of the dead and left records.
func (t *recordTable) tombstoneKeys() []string {
	var keys []string
	for n := range t.shards {
		s := &t.shards[n]
		s.mu.RLock()
		keys = slices.AppendSeq(keys, maps.Keys(s.tombstones))
		s.mu.RUnlock()
	}
	return keys
}

// all iterates over the records of every state, link observations included. No lock is held while the loop body runs.
func (t *recordTable) all() iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		for b := range bucketCount {
			for _, m := range t.bucketMembers(b, bucketCount) {
				if !yield(m) {
					return
				}
			}
		}
	}
}

// hashes returns the hashes of n buckets, n being a power of two up to bucketCount.
func (t *recordTable) hashes(n int) []uint64 {
	out := make([]uint64, n)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for j := range s.buckets {
			out[(j*shardCount+i)*n/bucketCount] ^= s.buckets[j].hash
		}
		s.mu.RUnlock()
	}
	return out
}

// bucketMembers returns the records of bucket b out of n.
func (t *recordTable) bucketMembers(b, n int) []*Member {
	var out []*Member
	width := bucketCount / n
	for fine := b * width; fine < (b+1)*width; fine++ {
		s := &t.shards[fine%shardCount]
		s.mu.RLock()
		out = append(out, s.buckets[fine/shardCount].members...)
		s.mu.RUnlock()
	}
	return out
}

// reindex updates the index after a record was added, replaced or removed; before is nil for an added record and after for
// a removed one. The caller holds the lock of the shard.
func (t *recordTable) reindex(before, after *Member) {
	t.generation.Add(1)
	ix := &t.index
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if m := cmp.Or(after, before); isLink(m.Address) {
		delete(ix.links, m.Address)
		if after != nil && after.State.Live() {
			ix.links[m.Address] = after
		}
		return
	}
	liveBefore, liveAfter := liveOrNil(before), liveOrNil(after)
	replaceMember(ix.places, liveBefore, liveAfter, func(m *Member) string { return m.Place })
	replaceMember(ix.services, liveBefore, liveAfter, func(m *Member) string { return m.Service })
}

// liveOrNil returns m if it is live, or nil.
func liveOrNil(m *Member) *Member {
	if m == nil || !m.State.Live() {
		return nil
	}
	return m
}

// replaceMember replaces the record of an address in the lists, which are keyed by name. Either record may be nil. Records
// with an empty name are in no list.
func replaceMember(ls memberLists, liveBefore, liveAfter *Member, name func(*Member) string) {
	if liveBefore != nil && name(liveBefore) != "" && (liveAfter == nil || name(liveAfter) != name(liveBefore)) {
		l, i, found := ls.writable(name(liveBefore), liveBefore)
		if found {
			l.members = slices.Delete(l.members, i, i+1)
		}
		if len(l.members) == 0 {
			delete(ls, name(liveBefore))
		}
	}
	if liveAfter != nil && name(liveAfter) != "" {
		l, i, found := ls.writable(name(liveAfter), liveAfter)
		if found {
			l.members[i] = liveAfter
		} else {
			l.members = slices.Insert(l.members, i, liveAfter)
		}
	}
}

// ringOrder orders records by the hash of the address and then by the address.
func ringOrder(a, b *Member) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.Address, b.Address)
}

// ring returns the live members of a place in ring order. The slice must not be modified.
func (t *recordTable) ring(place string) []*Member {
	t.index.mu.RLock()
	defer t.index.mu.RUnlock()
	return t.index.places.get(place)
}

func (t *recordTable) service(name string) []*Member {
	t.index.mu.RLock()
	defer t.index.mu.RUnlock()
	return t.index.services.get(name)
}

// places returns the names of places with live members, in order.
func (t *recordTable) places() []string {
	t.index.mu.RLock()
	defer t.index.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.index.places))
}

func (t *recordTable) links() []*Member {
	t.index.mu.RLock()
	defer t.index.mu.RUnlock()
	return slices.Collect(maps.Values(t.index.links))
}

// successors returns up to n live members that follow the address on the ring of the place.
func (t *recordTable) successors(place, address string, n int) []*Member {
	ring := t.ring(place)
	self := &Member{Address: address, hash: xxhash.Sum64String(address)}
	start, found := slices.BinarySearchFunc(ring, self, ringOrder)
	others := len(ring)
	if found {
		start++
		others--
	}
	out := make([]*Member, 0, min(n, others))
	for i := range min(n, others) {
		out = append(out, ring[(start+i)%len(ring)])
	}
	return out
}

// predecessors returns up to n live members that precede the address on the ring of the place.
func (t *recordTable) predecessors(place, address string, n int) []*Member {
	ring := t.ring(place)
	self := &Member{Address: address, hash: xxhash.Sum64String(address)}
	start, found := slices.BinarySearchFunc(ring, self, ringOrder)
	others := len(ring)
	if found {
		others--
	}
	out := make([]*Member, 0, min(n, others))
	for i := range min(n, others) {
		out = append(out, ring[(start-1-i+2*len(ring))%len(ring)])
	}
	return out
}
