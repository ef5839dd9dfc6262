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
	// bucketCount is the finest division of the records for anti-entropy. At 13,000 records a bucket holds about 51,
	// some 4 KB on the wire, and all hashes take 2 KB.
	bucketCount = 256
	// coarseBuckets is the number of hashes that are compared first. A node with at most smallFleet records answers with
	// the records at once, a larger one asks for the finer comparison, which is then rarely needed.
	coarseBuckets = 16
	smallFleet    = 256
	shardCount    = 16
)

// interner shares the strings of places and services, of which there are few.
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
	// buried holds when dead and left records were first seen as such.
	buried map[string]time.Time
}

// table holds all records. A shard's lock is taken before the index's lock.
type table struct {
	names      interner
	shards     [shardCount]shard
	count      atomic.Int64
	generation atomic.Uint64
	index      index
}

// index holds the live members by place and by service, in ring order.
type index struct {
	mu       sync.RWMutex
	places   lists
	services lists
	links    map[string]*Member
}

// list is changed in place until a reader has taken the slice, and copied by the next change after that. A node that
// joins takes 13,000 records with few reads between them; a copy for each made 190 MB of garbage.
type list struct {
	members []*Member
	shared  atomic.Bool
}

type lists map[string]*list

// get returns the slice, which must not be changed.
func (ls lists) get(name string) []*Member {
	l := ls[name]
	if l == nil {
		return nil
	}
	if !l.shared.Load() {
		l.shared.Store(true)
	}
	return l.members
}

// own returns the list and the position of the record, after copying a slice that a reader may hold.
func (ls lists) own(name string, m *Member) (l *list, i int, found bool) {
	l = ls[name]
	if l == nil {
		l = &list{}
		ls[name] = l
	}
	if l.shared.Load() {
		l.members = slices.Clone(l.members)
		l.shared.Store(false)
	}
	i, found = slices.BinarySearchFunc(l.members, m, ringOrder)
	return l, i, found
}

func newTable() *table {
	t := &table{names: interner{names: map[string]string{}}}
	for i := range t.shards {
		t.shards[i].buried = map[string]time.Time{}
	}
	t.index = index{places: lists{}, services: lists{}, links: map[string]*Member{}}
	return t
}

func bucketOf(hash uint64) int { return int(hash >> 56) }

func (t *table) locate(hash uint64) (*shard, *bucket) {
	b := bucketOf(hash)
	s := &t.shards[b%shardCount]
	return s, &s.buckets[b/shardCount]
}

func (t *table) get(key string) *Member {
	hash := xxhash.Sum64String(key)
	s, b := t.locate(hash)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if i := b.find(key, hash); i >= 0 {
		return b.members[i]
	}
	return nil
}

// outcome is what a merge did.
type outcome uint8

const (
	// stale news changed nothing.
	stale outcome = iota
	// raised means that only the settings version rose.
	raised
	// changed means that the record was replaced.
	changed
)

// merge takes the record if it outranks the known one. It returns the record known before and the one known now. News of
// the death of an unknown member is dropped: a node that removed the record must not get it back from one that did not,
// and whoever holds the member as alive is corrected by those who keep the record of its death.
func (t *table) merge(in *Member, now time.Time) (before, after *Member, what outcome) {
	s, b := t.locate(in.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := b.find(in.Address, in.hash)
	if i < 0 {
		if !in.State.Live() {
			return nil, nil, stale
		}
		b.members = append(b.members, in)
		b.hash ^= in.digest()
		t.count.Add(1)
		t.reindex(nil, in)
		return nil, in, changed
	}
	before = b.members[i]
	if in.State == versionOnly || !in.outranks(before) {
		if in.Incarnation != before.Incarnation || in.SettingsVersion <= before.SettingsVersion {
			return before, before, stale
		}
		// The version is not part of the hash, so that a new version does not make every bucket differ.
		after = before.withVersion(in.SettingsVersion)
		b.members[i] = after
		t.reindex(before, after)
		return before, after, raised
	}
	if in.Incarnation == before.Incarnation && in.SettingsVersion < before.SettingsVersion {
		in = in.withVersion(before.SettingsVersion)
	}
	b.members[i] = in
	b.hash ^= before.digest() ^ in.digest()
	s.bury(in, now)
	t.reindex(before, in)
	return before, in, changed
}

func (s *shard) bury(m *Member, now time.Time) {
	if m.State.Live() {
		delete(s.buried, m.Address)
	} else if _, ok := s.buried[m.Address]; !ok {
		s.buried[m.Address] = now
	}
}

// remove forgets a record altogether.
func (t *table) remove(key string) {
	hash := xxhash.Sum64String(key)
	s, b := t.locate(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := b.find(key, hash); i >= 0 {
		t.removeAt(s, b, i)
	}
}

func (t *table) removeAt(s *shard, b *bucket, i int) {
	m := b.members[i]
	b.hash ^= m.digest()
	b.members = slices.Delete(b.members, i, i+1)
	delete(s.buried, m.Address)
	t.count.Add(-1)
	t.reindex(m, nil)
}

// sweep removes records that have been dead or left since before the time.
func (t *table) sweep(before time.Time) {
	for n := range t.shards {
		s := &t.shards[n]
		s.mu.Lock()
		for key, at := range s.buried {
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

// buriedKeys returns the dead and left records.
func (t *table) buriedKeys() []string {
	var keys []string
	for n := range t.shards {
		s := &t.shards[n]
		s.mu.RLock()
		keys = slices.AppendSeq(keys, maps.Keys(s.buried))
		s.mu.RUnlock()
	}
	return keys
}

// all iterates over the records of every state, links included. No lock is held while the loop body runs.
func (t *table) all() iter.Seq[*Member] {
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
func (t *table) hashes(n int) []uint64 {
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
func (t *table) bucketMembers(b, n int) []*Member {
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

func (t *table) reindex(before, after *Member) {
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
	was, is := live(before), live(after)
	replace(ix.places, was, is, func(m *Member) string { return m.Place })
	replace(ix.services, was, is, func(m *Member) string { return m.Service })
}

func live(m *Member) *Member {
	if m == nil || !m.State.Live() {
		return nil
	}
	return m
}

// replace puts the new record of an address in the place of the old one. Either may be nil. Records without a name are in
// no list.
func replace(ls lists, was, is *Member, name func(*Member) string) {
	if was != nil && name(was) != "" && (is == nil || name(is) != name(was)) {
		l, i, found := ls.own(name(was), was)
		if found {
			l.members = slices.Delete(l.members, i, i+1)
		}
		if len(l.members) == 0 {
			delete(ls, name(was))
		}
	}
	if is != nil && name(is) != "" {
		l, i, found := ls.own(name(is), is)
		if found {
			l.members[i] = is
		} else {
			l.members = slices.Insert(l.members, i, is)
		}
	}
}

func ringOrder(a, b *Member) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.Address, b.Address)
}

// ring returns the live members of a place in ring order. The slice must not be changed.
func (t *table) ring(place string) []*Member {
	t.index.mu.RLock()
	defer t.index.mu.RUnlock()
	return t.index.places.get(place)
}

func (t *table) service(name string) []*Member {
	t.index.mu.RLock()
	defer t.index.mu.RUnlock()
	return t.index.services.get(name)
}

// places returns the names of places with live members, in order.
func (t *table) places() []string {
	t.index.mu.RLock()
	defer t.index.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.index.places))
}

func (t *table) links() []*Member {
	t.index.mu.RLock()
	defer t.index.mu.RUnlock()
	return slices.Collect(maps.Values(t.index.links))
}

// successors returns up to n live members that follow the address on the ring of the place.
func (t *table) successors(place, address string, n int) []*Member {
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
func (t *table) predecessors(place, address string, n int) []*Member {
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
