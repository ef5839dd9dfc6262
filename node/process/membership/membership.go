package membership

import (
	"cmp"
	"context"
	"io"
	"iter"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
)

// monitoredPeers is the number of ring neighbours that a node pings. With three, a member stays monitored when two of its
// neighbours fail together with it.
const monitoredPeers = 3

// Server describes the local backend server to the fleet.
type Server struct {
	ID      string
	Service string
	Slots   int
}

// Change describes a change of one record or, if Place is set, of the reachability of a place.
type Change struct {
	// Before is nil for a new member, After for a removed one.
	Before, After *Member
	Place         string
	Reachable     bool
}

// Membership is a node's view of the fleet. It is safe for concurrent use.
type Membership struct {
	cfg       Config
	timing    Timing
	transport Transport
	clock     Clock
	log       *log.Logger
	records   *recordTable
	self      ownRecord
	registrar registrar
	traffic   traffic

	// mu guards the fields down to schedule. It is never held during I/O or while subscribers run.
	mu       sync.Mutex
	random   *rand.Rand
	detector *detector
	outbox   outbox
	partners partners
	prober   prober
	schedule schedule

	reachabilityMu   sync.Mutex
	unreachable      atomic.Pointer[map[string]bool]
	subscriberMu     sync.Mutex
	subscribers      map[int]func(Change)
	nextSubscriberID int
	tasks            sync.WaitGroup
}

// New returns a Membership that is idle until Run. The random source is used under a lock and must not be shared.
func New(cfg Config, transport Transport, clock Clock, random *rand.Rand) *Membership {
	m := &Membership{
		cfg: cfg, timing: cfg.Timing.withDefaults(), transport: transport, clock: clock, log: cfg.Log,
		records: newRecordTable(), random: random, subscribers: map[int]func(Change){},
	}
	if m.log == nil {
		m.log = log.New(io.Discard)
	}
	now := clock.Now()
	m.detector = newDetector(m.timing, random, now)
	m.outbox = newOutbox()
	m.prober = newProber()
	m.registrar = newRegistrar()
	m.unreachable.Store(&map[string]bool{})
	return m
}

// SetSelf publishes the local backend server, or none if its id is empty, and whether it is draining.
func (m *Membership) SetSelf(server Server, draining bool) {
	m.updateSelf(func(o *ownRecord) {
		if o.server != server || o.draining != draining {
			o.server, o.draining = server, draining
			m.publishSelf(o)
		}
	})
}

// SetSettingsVersion records the settings version that this node has in force. Peers receive it within seconds in a small
// fleet; the delay grows with the size of the fleet, see versionPublishWindow.
func (m *Membership) SetSettingsVersion(version int64) {
	m.self.mu.Lock()
	defer m.self.mu.Unlock()
	m.self.version = max(m.self.version, version)
}

// Self returns the record of this node, or nil while it has no incarnation.
func (m *Membership) Self() *Member { return m.records.get(m.cfg.Address) }

// Member returns the record of a member, or nil when there is none.
func (m *Membership) Member(address string) *Member { return m.records.get(address) }

// Members iterates over all records of members, dead and left ones included.
func (m *Membership) Members() iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		for r := range m.records.all() {
			if !isLink(r.Address) && !yield(r) {
				return
			}
		}
	}
}

// ByService returns the live members with a server of the service, suspects and draining ones included. The slice is
// shared and must not be changed.
func (m *Membership) ByService(service string) []*Member { return m.records.service(service) }

// Generation changes whenever a record changes, so that derived values can be cached.
func (m *Membership) Generation() uint64 { return m.records.generation.Load() }

// PlaceReachable reports whether the place can be reached from this node's place.
func (m *Membership) PlaceReachable(place string) bool { return !(*m.unreachable.Load())[place] }

// Rendezvous returns the live member with the highest rendezvous hash for the key, among the places that the filter
// accepts. A nil filter accepts every place.
func (m *Membership) Rendezvous(key string, places func(string) bool) (*Member, bool) {
	first := m.RendezvousN(key, 1, places)
	if len(first) == 0 {
		return nil, false
	}
	return first[0], true
}

// RendezvousN returns up to n live members in the rendezvous order of the key, the highest hash first. Its cost grows with
// the number of members; callers on a request path should cache the result by Generation.
func (m *Membership) RendezvousN(key string, n int, places func(string) bool) []*Member {
	var top []*Member
	for _, place := range m.records.places() {
		if places == nil || places(place) {
			top = topByKey(top, m.records.ring(place), key, n)
		}
	}
	return top
}

// RankedMembers returns a function that returns up to n members in the rendezvous order of a key, including dead members
// and excluding this node and members that left. The members are read once, when RankedMembers is called.
func (m *Membership) RankedMembers() func(key string, n int) []*Member {
	var members []*Member
	for r := range m.Members() {
		if r.State != Left && r.Address != m.cfg.Address {
			members = append(members, r)
		}
	}
	return func(key string, n int) []*Member { return topByKey(nil, members, key, n) }
}

// topByKey merges members into top, which is ordered by rendezvous hash for the key and holds at most n members.
func topByKey(top, members []*Member, key string, n int) []*Member {
	hash := xxhash.Sum64String(key)
	order := func(a, b *Member) int {
		if c := cmp.Compare(mix(b.hash^hash), mix(a.hash^hash)); c != 0 {
			return c
		}
		return cmp.Compare(a.Address, b.Address)
	}
	for _, r := range members {
		if len(top) == n && order(r, top[n-1]) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(top, r, order)
		top = slices.Insert(top, i, r)
		top = top[:min(n, len(top))]
	}
	return top
}

// mix is the finalizer of SplitMix64, which spreads the combination of two hashes over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// VersionCount counts the live members of a place by settings version.
type VersionCount struct {
	// AtLeast is the number of members known to have the version or a later one in force.
	AtLeast int
	Members int
}

// VersionCounts returns, for each place, the number of live members known to have the version or a later one in force.
func (m *Membership) VersionCounts(version int64) map[string]VersionCount {
	counts := map[string]VersionCount{}
	for _, place := range m.records.places() {
		ring := m.records.ring(place)
		c := VersionCount{Members: len(ring)}
		for _, r := range ring {
			if r.SettingsVersion >= version {
				c.AtLeast++
			}
		}
		counts[place] = c
	}
	return counts
}

// Subscribe registers f to be called after each change until the returned function is called. Calls may come from several
// goroutines and, for one member, out of order; f must not block and should read the latest state from the Membership.
func (m *Membership) Subscribe(f func(Change)) (cancel func()) {
	m.subscriberMu.Lock()
	defer m.subscriberMu.Unlock()
	id := m.nextSubscriberID
	m.nextSubscriberID++
	m.subscribers[id] = f
	return func() {
		m.subscriberMu.Lock()
		defer m.subscriberMu.Unlock()
		delete(m.subscribers, id)
	}
}

func (m *Membership) notify(c Change) {
	m.subscriberMu.Lock()
	fs := make([]func(Change), 0, len(m.subscribers))
	for _, f := range m.subscribers {
		fs = append(fs, f)
	}
	m.subscriberMu.Unlock()
	for _, f := range fs {
		f(c)
	}
}

// Run keeps the view up to date until the context ends or another process takes over the address.
func (m *Membership) Run(ctx context.Context) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer m.tasks.Wait()
	defer stop(nil)
	m.tasks.Go(func() {
		if err := m.keepRegistered(ctx); err != nil {
			stop(err)
		}
	})
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-m.clock.After(m.timing.Tick):
			m.tick(ctx)
		}
	}
}

// tick does the periodic work that does not block and starts the rest in goroutines.
func (m *Membership) tick(ctx context.Context) {
	now := m.clock.Now()
	monitored := m.records.successors(m.cfg.Place, m.cfg.Address, monitoredPeers)
	m.mu.Lock()
	actions := m.detector.tick(now, monitored)
	m.mu.Unlock()
	m.perform(ctx, actions)
	m.publishVersion(now)
	m.flush(ctx, now)
	m.runSchedule(ctx, now)
	m.probePlaces(ctx, now)
}

// schedule holds when periodic work is due next.
type schedule struct {
	sync, reconnect, sweep time.Time
	rounds                 int
	// joined is set once requiredJoinedRounds exchanges in a row, counted in matchingRounds, found little difference, and
	// at the latest after maxJoinRounds.
	joined         bool
	matchingRounds int
}

func (m *Membership) runSchedule(ctx context.Context, now time.Time) {
	m.mu.Lock()
	s := &m.schedule
	sync, reconnect, sweep := !now.Before(s.sync), !now.Before(s.reconnect), !now.Before(s.sweep)
	if sync {
		interval := m.timing.SyncInterval
		if !s.joined {
			interval = m.timing.JoinSyncInterval
		}
		s.sync = now.Add(interval*3/4 + time.Duration(m.random.Int64N(int64(interval/2))))
		s.rounds++
	}
	if reconnect {
		s.reconnect = now.Add(m.timing.ReconnectInterval*3/4 + time.Duration(m.random.Int64N(int64(m.timing.ReconnectInterval/2))))
	}
	if sweep {
		s.sweep = now.Add(m.timing.Retention / 60)
	}
	m.mu.Unlock()
	if sync {
		m.antiEntropy(ctx)
	}
	if reconnect {
		m.reconnect(ctx)
	}
	if sweep {
		m.records.sweep(now.Add(-m.timing.Retention))
	}
}

// perform carries out the actions returned by the detector.
func (m *Membership) perform(ctx context.Context, actions []action) {
	for _, a := range actions {
		switch a.kind {
		case actPing:
			m.tasks.Go(func() { m.ping(ctx, a) })
		case actIndirectPing:
			m.pingIndirectly(ctx, a)
		case actSuspect:
			m.log.Info("peer suspected", "peer", a.member.Address)
			m.apply(a.member.withState(Suspect), true)
			m.sendRecord(ctx, a.member.Address)
		case actDead:
			m.log.Info("peer declared dead", "peer", a.member.Address)
			m.apply(a.member.withState(Dead), true)
		case actSendRecord:
			m.sendRecord(ctx, a.member.Address)
		case actResync:
			m.log.Warn("this process was paused")
			m.resync(ctx, a.longPause)
		}
	}
}

// apply merges one record into the local table and, if push is set, queues the change for the peers.
func (m *Membership) apply(r *Member, push bool) {
	if r.Address == m.cfg.Address {
		m.handleReportOnSelf(r)
		return
	}
	if r.Incarnation == 0 || isLink(r.Address) && !m.validLink(r) {
		return
	}
	before, after, result := m.records.merge(r, m.clock.Now())
	if result == mergeIgnored {
		return
	}
	if push {
		m.mu.Lock()
		m.outbox.add(after.Address, result == mergeVersionOnly, false)
		m.mu.Unlock()
	}
	if isLink(r.Address) {
		m.updateReachability()
		return
	}
	if before != nil && (before.Incarnation != after.Incarnation || !after.State.Live()) {
		m.removeStaleLinks(after.Address)
	}
	m.notify(Change{Before: before, After: after})
}
