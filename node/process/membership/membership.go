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

// monitoredPeers is how many ring neighbours a node pings. Three keep a member monitored when two of its neighbours fail
// together with it.
const monitoredPeers = 3

// Server is the local backend server as the fleet sees it.
type Server struct {
	ID      string
	Service string
	Slots   int
}

// Change notifies a subscriber of a change of one record or, if Place is set, about the reachability of a place.
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
	table     *table
	self      owner
	registrar registrar
	traffic   traffic

	// mu guards the state machines below. It is never held during I/O or while subscribers run.
	mu       sync.Mutex
	random   *rand.Rand
	detector *detector
	outbox   outbox
	partners partners
	prober   prober
	schedule schedule

	judgeMu     sync.Mutex
	unreachable atomic.Pointer[map[string]bool]
	subMu       sync.Mutex
	subscribers map[int]func(Change)
	nextSub     int
	tasks       sync.WaitGroup
}

// New returns a Membership that is idle until Run. The random source is used under a lock and must not be shared.
func New(cfg Config, transport Transport, clock Clock, random *rand.Rand) *Membership {
	m := &Membership{
		cfg: cfg, timing: cfg.Timing.withDefaults(), transport: transport, clock: clock, log: cfg.Log,
		table: newTable(), random: random, subscribers: map[int]func(Change){},
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

// SetSelf publishes the local backend server, or none if the id is empty, and whether it drains.
func (m *Membership) SetSelf(server Server, draining bool) {
	m.withSelf(func(o *owner) {
		if o.server != server || o.draining != draining {
			o.server, o.draining = server, draining
			m.raise(o)
		}
	})
}

// SetSettingsVersion records the settings version that this node has in force. Peers learn it within seconds in a small
// fleet; the delay grows with the fleet, see versionSpread.
func (m *Membership) SetSettingsVersion(version int64) {
	m.self.mu.Lock()
	defer m.self.mu.Unlock()
	m.self.version = max(m.self.version, version)
}

// Self returns the record of this node, or nil while it has no incarnation.
func (m *Membership) Self() *Member { return m.table.get(m.cfg.Address) }

// Member returns the record of a member, or nil when there is none.
func (m *Membership) Member(address string) *Member { return m.table.get(address) }

// Members iterates over all records of members, dead and left ones included.
func (m *Membership) Members() iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		for r := range m.table.all() {
			if !isLink(r.Address) && !yield(r) {
				return
			}
		}
	}
}

// ByService returns the live members with a server of the service, suspects and draining ones included. The slice is
// shared and must not be changed.
func (m *Membership) ByService(service string) []*Member { return m.table.service(service) }

// Generation changes whenever a record changes, so that derived values can be cached.
func (m *Membership) Generation() uint64 { return m.table.generation.Load() }

// PlaceReachable reports whether the place can be reached from this node's place.
func (m *Membership) PlaceReachable(place string) bool { return !(*m.unreachable.Load())[place] }

// Rendezvous returns the live member that comes first for the key. A nil filter takes every place.
func (m *Membership) Rendezvous(key string, places func(string) bool) (*Member, bool) {
	first := m.RendezvousN(key, 1, places)
	if len(first) == 0 {
		return nil, false
	}
	return first[0], true
}

// RendezvousN returns up to n live members in the order of the key. Its cost grows with the number of members; callers
// on a request path should cache the result by Generation.
func (m *Membership) RendezvousN(key string, n int, places func(string) bool) []*Member {
	var top []*Member
	for _, place := range m.table.places() {
		if places == nil || places(place) {
			top = topByKey(top, m.table.ring(place), key, n)
		}
	}
	return top
}

// RankedMembers returns a function that gives up to n members in the order of a key, dead ones included and this node and
// those that left excluded. It reads the members once.
func (m *Membership) RankedMembers() func(key string, n int) []*Member {
	var members []*Member
	for r := range m.Members() {
		if r.State != Left && r.Address != m.cfg.Address {
			members = append(members, r)
		}
	}
	return func(key string, n int) []*Member { return topByKey(nil, members, key, n) }
}

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

// VersionCounts returns for each place how many live members are known to be at the version or above it.
func (m *Membership) VersionCounts(version int64) map[string]VersionCount {
	counts := map[string]VersionCount{}
	for _, place := range m.table.places() {
		ring := m.table.ring(place)
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

// Subscribe calls f after each change until the returned function is called. Calls may come from several goroutines and,
// for one member, out of order; f must not block, and reads the table for the latest state.
func (m *Membership) Subscribe(f func(Change)) (cancel func()) {
	m.subMu.Lock()
	defer m.subMu.Unlock()
	id := m.nextSub
	m.nextSub++
	m.subscribers[id] = f
	return func() {
		m.subMu.Lock()
		defer m.subMu.Unlock()
		delete(m.subscribers, id)
	}
}

func (m *Membership) notify(c Change) {
	m.subMu.Lock()
	fs := make([]func(Change), 0, len(m.subscribers))
	for _, f := range m.subscribers {
		fs = append(fs, f)
	}
	m.subMu.Unlock()
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

// tick does all periodic work that needs no waiting and starts the rest.
func (m *Membership) tick(ctx context.Context) {
	now := m.clock.Now()
	monitored := m.table.successors(m.cfg.Place, m.cfg.Address, monitoredPeers)
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
	sync, revive, sweep time.Time
	rounds              int
	// joined is set once several exchanges in a row, counted in equal, found little difference.
	joined bool
	equal  int
}

func (m *Membership) runSchedule(ctx context.Context, now time.Time) {
	m.mu.Lock()
	s := &m.schedule
	sync, revive, sweep := !now.Before(s.sync), !now.Before(s.revive), !now.Before(s.sweep)
	if sync {
		every := m.timing.SyncEvery
		if !s.joined {
			every = m.timing.JoinEvery
		}
		s.sync = now.Add(every*3/4 + time.Duration(m.random.Int64N(int64(every/2))))
		s.rounds++
	}
	if revive {
		s.revive = now.Add(m.timing.ReviveEvery*3/4 + time.Duration(m.random.Int64N(int64(m.timing.ReviveEvery/2))))
	}
	if sweep {
		s.sweep = now.Add(m.timing.Retention / 60)
	}
	m.mu.Unlock()
	if sync {
		m.antiEntropy(ctx)
	}
	if revive {
		m.revive(ctx)
	}
	if sweep {
		m.table.sweep(now.Add(-m.timing.Retention))
	}
}

// perform carries out the detector's decisions.
func (m *Membership) perform(ctx context.Context, actions []action) {
	for _, a := range actions {
		switch a.kind {
		case actPing:
			m.tasks.Go(func() { m.ping(ctx, a) })
		case actAsk:
			m.ask(ctx, a)
		case actSuspect:
			m.log.Info("peer suspected", "peer", a.member.Address)
			m.apply(a.member.withState(Suspect), true)
			m.tell(ctx, a.member.Address)
		case actDead:
			m.log.Info("peer declared dead", "peer", a.member.Address)
			m.apply(a.member.withState(Dead), true)
		case actTell:
			m.tell(ctx, a.member.Address)
		case actWake:
			m.log.Warn("this process was paused")
			m.wake(ctx, a.long)
		}
	}
}

// apply merges one record into the table and, if push is set, passes the change on.
func (m *Membership) apply(r *Member, push bool) {
	if r.Address == m.cfg.Address {
		m.heardOfSelf(r)
		return
	}
	if r.Incarnation == 0 || isLink(r.Address) && !m.validLink(r) {
		return
	}
	before, after, what := m.table.merge(r, m.clock.Now())
	if what == stale {
		return
	}
	if push {
		m.mu.Lock()
		m.outbox.add(after.Address, what == raised, false)
		m.mu.Unlock()
	}
	if isLink(r.Address) {
		m.judgePlaces()
		return
	}
	if before != nil && (before.Incarnation != after.Incarnation || !after.State.Live()) {
		m.dropLinksOf(after.Address)
	}
	m.notify(Change{Before: before, After: after})
}
