package membership

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A fleet of quickFleet nodes publishes a new settings version within quickSpread, which the burst of pushes allows.
	// A larger one takes spreadPerMember for each member, and passes versions on with other changes or every
	// versionDelay: pushed one by one, two publications a second cost a node 1.2 KB/s, mostly framing.
	quickFleet      = 64
	quickSpread     = time.Second
	spreadPerMember = time.Second
	versionDelay    = 10 * time.Second
)

// versionSpread is the time over which a fleet publishes a new settings version.
func versionSpread(members int64) time.Duration {
	if members <= quickFleet {
		return quickSpread
	}
	return time.Duration(members) * spreadPerMember
}

// owner is this node's own record. Only the owner raises its sequence.
type owner struct {
	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	// registered is set once the table has confirmed the incarnation; until then it is provisional.
	registered bool
	left       bool
	// highest is the highest incarnation of this address that others know.
	highest  uint64
	server   Server
	draining bool
	// version is in force here; published is the version sent to others.
	version, published int64
	publishAt          time.Time
	// changes are sent to subscribers once the lock is released.
	changes []Change
}

// withSelf runs f under the owner's lock and then notifies subscribers of what it changed.
func (m *Membership) withSelf(f func(o *owner)) {
	m.self.mu.Lock()
	f(&m.self)
	changes := m.self.changes
	m.self.changes = nil
	m.self.mu.Unlock()
	for _, c := range changes {
		m.notify(c)
	}
}

// record returns the own record; the caller holds the lock.
func (o *owner) record(address, place string) *Member {
	r := &Member{
		Address: address, Place: place, Incarnation: o.incarnation, Sequence: o.sequence, State: Alive,
		ServerID: o.server.ID, Service: o.server.Service, Slots: int32(o.server.Slots), Draining: o.draining,
		SettingsVersion: o.version, hash: xxhash.Sum64String(address),
	}
	if o.left {
		r.State = Left
	}
	return r
}

// raise raises the sequence and passes the own record on. Without an incarnation it does nothing. The caller is inside
// withSelf.
func (m *Membership) raise(o *owner) {
	if o.incarnation == 0 {
		return
	}
	o.sequence++
	o.published = o.version
	r := o.record(m.cfg.Address, m.table.names.get(m.cfg.Place))
	before, after, what := m.table.merge(r, m.clock.Now())
	if what != changed {
		return
	}
	m.mu.Lock()
	m.outbox.add(r.Address, false, true)
	m.mu.Unlock()
	o.changes = append(o.changes, Change{Before: before, After: after})
}

// publishVersion sends others a settings version that is in force, at a random time within the spread of the fleet.
func (m *Membership) publishVersion(now time.Time) {
	m.self.mu.Lock()
	defer m.self.mu.Unlock()
	o := &m.self
	if o.version <= o.published || o.incarnation == 0 {
		return
	}
	if o.publishAt.IsZero() {
		m.mu.Lock()
		o.publishAt = now.Add(time.Duration(m.random.Int64N(int64(versionSpread(m.table.count.Load())))))
		m.mu.Unlock()
	}
	if now.Before(o.publishAt) {
		return
	}
	o.publishAt, o.published = time.Time{}, o.version
	news := &Member{Address: m.cfg.Address, Incarnation: o.incarnation, SettingsVersion: o.version,
		State: versionOnly, hash: xxhash.Sum64String(m.cfg.Address)}
	m.table.merge(news, now)
	m.mu.Lock()
	m.outbox.add(m.cfg.Address, true, true)
	m.mu.Unlock()
}

// heardOfSelf refutes news about this node that outrank what it said itself. A higher incarnation is a predecessor's if
// this node's own one is provisional; otherwise the table decides who owns the address.
func (m *Membership) heardOfSelf(r *Member) {
	if r.State == versionOnly {
		return
	}
	m.withSelf(func(o *owner) {
		if r.Incarnation > o.incarnation {
			m.heardHigher(o, r.Incarnation)
			return
		}
		if o.left || o.incarnation == 0 || r.Incarnation < o.incarnation {
			return
		}
		if own := o.record(r.Address, r.Place); r.outranks(own) {
			m.log.Info("refuted", "state", r.State, "sequence", r.Sequence)
			o.sequence = r.Sequence
			m.raise(o)
		}
	})
}

func (m *Membership) heardHigher(o *owner, incarnation uint64) {
	o.highest = max(o.highest, incarnation)
	switch {
	case o.registered:
		m.wakeRegistration()
	case o.incarnation > 0:
		m.log.Info("provisional incarnation raised above a predecessor's", "incarnation", o.highest+1)
		o.incarnation, o.sequence = o.highest+1, 0
		m.raise(o)
	}
}

// adopt takes an incarnation and announces it.
func (m *Membership) adopt(incarnation uint64, registered bool) {
	m.withSelf(func(o *owner) {
		o.registered = registered
		if incarnation == o.incarnation {
			return
		}
		o.incarnation, o.sequence = incarnation, 0
		m.log.Info("incarnation taken", "incarnation", incarnation, "registered", registered)
		m.raise(o)
	})
}
