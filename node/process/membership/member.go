package membership

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/radishstand/radishstand/api/peerpb"
)

// State is the liveness state of a member as seen by this node. It is a plain value and not a looplab/fsm machine: a
// machine holds maps and locks of several hundred bytes per record, and the merge order below already decides every
// transition.
type State uint8

// versionOnly marks an update that carries nothing but a settings version.
const versionOnly State = 0

// States in merge order: at equal incarnation and sequence the later one wins.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "left"}

// String returns the lower-case name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// Live reports whether the state is Alive or Suspect.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Member is one record. Records are immutable: a change replaces the pointer in the table, so readers may keep and share
// them without locks. The field order keeps the struct in the 112-byte size class.
type Member struct {
	// Address is the peer address and the identity of the member.
	Address string
	// ServerID is the id of the member's backend server; empty until one is announced.
	ServerID string
	Place    string
	Service  string
	// Incarnation and Sequence order the records of one address.
	Incarnation uint64
	Sequence    uint64
	// SettingsVersion is the highest settings version that the member is known to have in force.
	SettingsVersion int64
	hash            uint64
	Slots           int32
	State           State
	Draining        bool
}

// supersedes reports whether m replaces o: it compares incarnation, sequence and state, in that order.
func (m *Member) supersedes(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Sequence != o.Sequence {
		return m.Sequence > o.Sequence
	}
	return m.State > o.State
}

// digest returns the record's contribution to its bucket hash. It is 0 for dead and left records, so that a node that has
// removed such a record computes the same bucket hash as a node that still keeps it.
func (m *Member) digest() uint64 {
	if !m.State.Live() {
		return 0
	}
	var buf [25]byte
	binary.LittleEndian.PutUint64(buf[0:], m.hash)
	binary.LittleEndian.PutUint64(buf[8:], m.Incarnation)
	binary.LittleEndian.PutUint64(buf[16:], m.Sequence)
	buf[24] = byte(m.State)
	return xxhash.Sum64(buf[:])
}

func (m *Member) withState(s State) *Member {
	c := *m
	c.State = s
	return &c
}

func (m *Member) withVersion(v int64) *Member {
	c := *m
	c.SettingsVersion = v
	return &c
}

// message returns the wire form of the record. The node id is set only for link observations; for a member it would
// repeat the address.
func (m *Member) message() *peerpb.MemberRecord {
	r := &peerpb.MemberRecord{
		Place: m.Place, Incarnation: m.Incarnation, Sequence: m.Sequence,
		State: peerpb.MemberState(m.State), SettingsVersion: m.SettingsVersion,
	}
	if isLink(m.Address) {
		r.NodeId = m.Address
	} else {
		r.Address = m.Address
	}
	if m.Service != "" || m.ServerID != "" {
		r.Server = &peerpb.ServerRecord{ServerId: m.ServerID, Service: m.Service, Slots: m.Slots, Draining: m.Draining}
		if m.ServerID == m.Address {
			r.Server.ServerId = ""
		}
	}
	return r
}

// fromMessage decodes a record. It returns nil for a record without an address and a node id, or with an undefined state.
func fromMessage(r *peerpb.MemberRecord, names *interner) *Member {
	key := r.GetAddress()
	if key == "" {
		key = r.GetNodeId()
	}
	state := State(r.GetState())
	if key == "" || state > Left {
		return nil
	}
	m := &Member{
		Address: key, Place: names.get(r.GetPlace()), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(),
		SettingsVersion: r.GetSettingsVersion(), State: state, hash: xxhash.Sum64String(key),
	}
	if s := r.GetServer(); s != nil {
		m.ServerID, m.Service, m.Slots, m.Draining = s.GetServerId(), names.get(s.GetService()), s.GetSlots(), s.GetDraining()
		if m.ServerID == "" {
			m.ServerID = key
		}
	}
	return m
}

// A link observation is a record whose key names the observing node and the place that it cannot reach. It is pushed and
// merged like a member record. Alive means that the observation is in force, Left that it is withdrawn.
const (
	linkPrefix    = "link|"
	linkSeparator = "|"
)

func isLink(key string) bool { return strings.HasPrefix(key, linkPrefix) }

func linkKey(place, prober string) string { return linkPrefix + place + linkSeparator + prober }

func parseLink(key string) (place, prober string) {
	rest := strings.TrimPrefix(key, linkPrefix)
	i := strings.LastIndex(rest, linkSeparator)
	if i < 0 {
		return "", ""
	}
	return rest[:i], rest[i+1:]
}
