package membership

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A fleet of up to promptFleetSize nodes publishes a new settings version within minPublishWindow, which fits into the
	// burst of pushes. In a larger fleet the window is publishWindowPerMember times the number of members, and versions
	// are pushed together with other changes or every versionPushInterval: pushed one by one, two publications a second
	// cost a node 1.2 KB/s, mostly framing.
	promptFleetSize        = 64
	minPublishWindow       = time.Second
	publishWindowPerMember = time.Second
	versionPushInterval    = 10 * time.Second
)

// versionPublishWindow returns the period over which the members of a fleet publish a new settings version.
func versionPublishWindow(members int64) time.Duration {
	if members <= promptFleetSize {
		return minPublishWindow
	}
	return time.Duration(members) * publishWindowPerMember
}

// ownRecord is the state from which this node's own record is built. Only this node increments its sequence.
type ownRecord struct {
	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	// registered is set once the table service has confirmed the incarnation; until then it is provisional.
	registered bool
	left       bool
	// highestReported is the highest incarnation of this address that peers have reported.
	highestReported uint64
	server          Server
	draining        bool
	// version is the settings version in force here; publishedVersion is the version last sent to peers.
	version, publishedVersion int64
	publishVersionAt          time.Time
	// pendingChanges are sent to subscribers once the lock is released.
	pendingChanges []Change
}

// updateSelf runs f under the lock of the own record and then notifies subscribers of the changes.
func (m *Membership) updateSelf(f func(o *ownRecord)) {
	m.self.mu.Lock()
	f(&m.self)
	pendingChanges := m.self.pendingChanges
	m.self.pendingChanges = nil
	m.self.mu.Unlock()
	for _, c := range pendingChanges {
		m.notify(c)
	}
}

// record returns the own record as a Member; the caller holds o.mu.
func (o *ownRecord) record(address, place string) *Member {
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

// publishSelf increments the sequence and queues the own record for the peers. Without an incarnation it does nothing. It
// must be called from a function passed to updateSelf.
func (m *Membership) publishSelf(o *ownRecord) {
	if o.incarnation == 0 {
		return
	}
	o.sequence++
	o.publishedVersion = o.version
	r := o.record(m.cfg.Address, m.records.names.get(m.cfg.Place))
	before, after, result := m.records.merge(r, m.clock.Now())
	if result != mergeReplaced {
		return
	}
	m.mu.Lock()
	m.outbox.add(r.Address, false, true)
	m.mu.Unlock()
	o.pendingChanges = append(o.pendingChanges, Change{Before: before, After: after})
}

// publishVersion queues a new settings version in force for the peers, at a random time within the publish window of the
// fleet.
func (m *Membership) publishVersion(now time.Time) {
	m.self.mu.Lock()
	defer m.self.mu.Unlock()
	o := &m.self
	if o.version <= o.publishedVersion || o.incarnation == 0 {
		return
	}
	if o.publishVersionAt.IsZero() {
		m.mu.Lock()
		o.publishVersionAt = now.Add(time.Duration(m.random.Int64N(int64(versionPublishWindow(m.records.count.Load())))))
		m.mu.Unlock()
	}
	if now.Before(o.publishVersionAt) {
		return
	}
	o.publishVersionAt, o.publishedVersion = time.Time{}, o.version
	update := &Member{Address: m.cfg.Address, Incarnation: o.incarnation, SettingsVersion: o.version,
		State: versionOnly, hash: xxhash.Sum64String(m.cfg.Address)}
	m.records.merge(update, now)
	m.mu.Lock()
	m.outbox.add(m.cfg.Address, true, true)
	m.mu.Unlock()
}

// handleReportOnSelf refutes a received record of this node that supersedes its own. A higher incarnation belongs to a
// predecessor if this node's incarnation is provisional; otherwise the table service decides which process owns the
// address.
func (m *Membership) handleReportOnSelf(r *Member) {
	if r.State == versionOnly {
		return
	}
	m.updateSelf(func(o *ownRecord) {
		if r.Incarnation > o.incarnation {
			m.handleHigherIncarnation(o, r.Incarnation)
			return
		}
		if o.left || o.incarnation == 0 || r.Incarnation < o.incarnation {
			return
		}
		if own := o.record(r.Address, r.Place); r.supersedes(own) {
			m.log.Info("refuted", "state", r.State, "sequence", r.Sequence)
			o.sequence = r.Sequence
			m.publishSelf(o)
		}
	})
}

// handleHigherIncarnation handles a report of an incarnation of this address above its own. A registered node checks its
// registration; a node with a provisional incarnation moves above the reported one.
func (m *Membership) handleHigherIncarnation(o *ownRecord, incarnation uint64) {
	o.highestReported = max(o.highestReported, incarnation)
	switch {
	case o.registered:
		m.triggerRegistration()
	case o.incarnation > 0:
		m.log.Info("provisional incarnation raised above a predecessor's", "incarnation", o.highestReported+1)
		o.incarnation, o.sequence = o.highestReported+1, 0
		m.publishSelf(o)
	}
}

// setIncarnation sets the incarnation and publishes the own record if the incarnation changed.
func (m *Membership) setIncarnation(incarnation uint64, registered bool) {
	m.updateSelf(func(o *ownRecord) {
		o.registered = registered
		if incarnation == o.incarnation {
			return
		}
		o.incarnation, o.sequence = incarnation, 0
		m.log.Info("incarnation set", "incarnation", incarnation, "registered", registered)
		m.publishSelf(o)
	})
}
