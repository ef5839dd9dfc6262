package membership

import "time"

// Dump is the state of a Membership as shown to operators.
type Dump struct {
	Address     string          `json:"address"`
	Place       string          `json:"place"`
	Incarnation uint64          `json:"incarnation"`
	Sequence    uint64          `json:"sequence"`
	Registered  bool            `json:"registered"`
	Joined      bool            `json:"joined"`
	Isolated    bool            `json:"isolated"`
	Unreachable []string        `json:"unreachable,omitempty"`
	Monitored   []MonitoredPeer `json:"monitored,omitempty"`
	Partners    []string        `json:"partners,omitempty"`
	Probes      []string        `json:"probes,omitempty"`
	Waiting     int             `json:"waiting"`
	Traffic     Traffic         `json:"traffic"`
	Members     []MemberDump    `json:"members"`
}

// MonitoredPeer is a peer that this node pings.
type MonitoredPeer struct {
	Address      string    `json:"address"`
	Failing      bool      `json:"failing"`
	SuspectUntil time.Time `json:"suspectUntil,omitzero"`
}

// Traffic counts messages and their encoded bytes since the start.
type Traffic struct {
	SentMessages     int64 `json:"sentMessages"`
	SentBytes        int64 `json:"sentBytes"`
	ReceivedMessages int64 `json:"receivedMessages"`
	ReceivedBytes    int64 `json:"receivedBytes"`
}

// MemberDump is a record of the local table, which may be a link observation.
type MemberDump struct {
	Address         string `json:"address"`
	Place           string `json:"place"`
	State           string `json:"state"`
	Incarnation     uint64 `json:"incarnation"`
	Sequence        uint64 `json:"sequence"`
	ServerID        string `json:"serverId,omitempty"`
	Service         string `json:"service,omitempty"`
	Slots           int32  `json:"slots,omitempty"`
	Draining        bool   `json:"draining,omitempty"`
	SettingsVersion int64  `json:"settingsVersion"`
}

// Dump returns the state shown to operators.
func (m *Membership) Dump() Dump {
	d := Dump{Address: m.cfg.Address, Place: m.cfg.Place, Traffic: m.Traffic()}
	m.self.mu.Lock()
	d.Incarnation, d.Sequence, d.Registered = m.self.incarnation, m.self.sequence, m.self.registered
	m.self.mu.Unlock()
	m.mu.Lock()
	d.Joined, d.Isolated, d.Waiting = m.schedule.joined, m.detector.isolated(), len(m.outbox.order)
	for _, r := range m.records.successors(m.cfg.Place, m.cfg.Address, monitoredPeers) {
		if p := m.detector.peers[r.Address]; p != nil {
			d.Monitored = append(d.Monitored, MonitoredPeer{Address: r.Address, Failing: p.failing, SuspectUntil: p.deadline})
		}
	}
	d.Partners = append(d.Partners, m.partners.local...)
	if m.partners.remote != "" {
		d.Partners = append(d.Partners, m.partners.remote)
	}
	for place := range m.prober.places {
		d.Probes = append(d.Probes, place)
	}
	m.mu.Unlock()
	for place := range *m.unreachable.Load() {
		d.Unreachable = append(d.Unreachable, place)
	}
	for r := range m.records.all() {
		d.Members = append(d.Members, MemberDump{
			Address: r.Address, Place: r.Place, State: r.State.String(), Incarnation: r.Incarnation, Sequence: r.Sequence,
			ServerID: r.ServerID, Service: r.Service, Slots: r.Slots, Draining: r.Draining, SettingsVersion: r.SettingsVersion,
		})
	}
	return d
}

// Traffic returns the messages sent and received so far.
func (m *Membership) Traffic() Traffic {
	t := &m.traffic
	return Traffic{
		SentMessages: t.sentMessages.Load(), SentBytes: t.sentBytes.Load(),
		ReceivedMessages: t.receivedMessages.Load(), ReceivedBytes: t.receivedBytes.Load(),
	}
}
