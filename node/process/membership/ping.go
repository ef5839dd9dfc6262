package membership

import (
	"context"
	"slices"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
)

const (
	// localRelayCount and remoteRelayCount are the numbers of relays in the own place and in another place that are
	// requested to ping a peer that did not answer. The one in another place distinguishes a fault of the own place's
	// network from the loss of the peer.
	localRelayCount  = 2
	remoteRelayCount = 1
)

// HandlePing answers a ping, or pings the target on behalf of the sender.
func (m *Membership) HandlePing(ctx context.Context, req *peerpb.PingRequest) (*peerpb.PingReply, error) {
	m.traffic.received(req)
	reply := &peerpb.PingReply{Alive: true}
	if target := req.GetTarget(); target != "" && target != m.cfg.Address {
		answer, err := m.sendPing(ctx, target, "", m.timing.PingTimeout)
		reply.Alive = err == nil
		reply.Incarnation = answer.GetIncarnation()
	} else {
		m.self.mu.Lock()
		reply.Incarnation = m.self.incarnation
		m.self.mu.Unlock()
	}
	m.traffic.sent(reply)
	return reply, nil
}

// sendPing pings the peer at the address. If target is set, that peer pings the target and replies with the result.
func (m *Membership) sendPing(ctx context.Context, address, target string, timeout time.Duration) (*peerpb.PingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := &peerpb.PingRequest{From: m.cfg.Address, Target: target}
	m.traffic.sent(req)
	reply, err := m.transport.Ping(ctx, address, req)
	if err == nil {
		m.traffic.received(reply)
	}
	return reply, err
}

// ping sends a direct ping and passes the result to the detector.
func (m *Membership) ping(ctx context.Context, a action) {
	reply, err := m.sendPing(ctx, a.member.Address, "", m.timing.PingTimeout)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	actions := m.detector.handlePingResult(m.clock.Now(), a.member, a.roundID, err == nil, reply.GetIncarnation())
	m.mu.Unlock()
	m.perform(ctx, actions)
}

// pingIndirectly requests several relays to ping a failing peer and passes their replies to the detector.
func (m *Membership) pingIndirectly(ctx context.Context, a action) {
	m.mu.Lock()
	relays := m.chooseRelays(a.member.Address)
	actions := m.detector.recordRelays(m.clock.Now(), a.member, a.roundID, len(relays))
	m.mu.Unlock()
	m.perform(ctx, actions)
	for _, relay := range relays {
		m.tasks.Go(func() {
			reply, err := m.sendPing(ctx, relay, a.member.Address, 2*m.timing.PingTimeout)
			if ctx.Err() != nil {
				return
			}
			m.mu.Lock()
			actions := m.detector.handleRelayReply(m.clock.Now(), a.member, a.roundID, err == nil, reply.GetAlive())
			m.mu.Unlock()
			m.perform(ctx, actions)
		})
	}
}

// chooseRelays returns the peers that are to ping the target indirectly; the caller holds m.mu.
func (m *Membership) chooseRelays(target string) []string {
	m.refreshPartners(m.clock.Now())
	local := append(addresses(m.records.successors(m.cfg.Place, m.cfg.Address, monitoredPeers)), m.partners.local...)
	local = append(local, addresses(
		sample(m.random, m.records.ring(m.cfg.Place), localRelayCount, []string{m.cfg.Address, target}))...)
	slices.Sort(local)
	local = slices.DeleteFunc(slices.Compact(local), func(address string) bool {
		p, monitored := m.detector.peers[address]
		return address == target || monitored && p.failing
	})
	m.random.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	relays := local[:min(localRelayCount, len(local))]
	if remote := m.partners.remote; remote != "" && remote != target {
		relays = append(relays, remote)
	}
	for _, place := range m.records.places() {
		// If the own place has too few relays, members of other places fill up the number.
		if len(relays) > localRelayCount {
			break
		}
		if place != m.cfg.Place && m.PlaceReachable(place) {
			relays = append(relays, addresses(
				sample(m.random, m.records.ring(place), localRelayCount+remoteRelayCount-len(relays), relays))...)
		}
	}
	return relays
}
