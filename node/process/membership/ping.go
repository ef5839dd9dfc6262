package membership

import (
	"context"
	"slices"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
)

const (
	// nearHelpers and farHelpers are asked to ping a peer that did not answer. The one in another place
	// distinguishes a fault of the own place's network from the loss of the peer.
	nearHelpers = 2
	farHelpers  = 1
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

// ping carries out a direct ping for the detector.
func (m *Membership) ping(ctx context.Context, a action) {
	reply, err := m.sendPing(ctx, a.member.Address, "", m.timing.PingTimeout)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	actions := m.detector.pinged(m.clock.Now(), a.member, a.id, err == nil, reply.GetIncarnation())
	m.mu.Unlock()
	m.perform(ctx, actions)
}

// ask sends the request to ping a failing peer to several helpers.
func (m *Membership) ask(ctx context.Context, a action) {
	m.mu.Lock()
	helpers := m.helpers(a.member.Address)
	actions := m.detector.asked(m.clock.Now(), a.member, a.id, len(helpers))
	m.mu.Unlock()
	m.perform(ctx, actions)
	for _, helper := range helpers {
		m.tasks.Go(func() {
			reply, err := m.sendPing(ctx, helper, a.member.Address, 2*m.timing.PingTimeout)
			if ctx.Err() != nil {
				return
			}
			m.mu.Lock()
			actions := m.detector.helped(m.clock.Now(), a.member, a.id, err == nil, reply.GetAlive())
			m.mu.Unlock()
			m.perform(ctx, actions)
		})
	}
}

// helpers returns the peers to ask about a failing one; the caller holds the lock.
func (m *Membership) helpers(target string) []string {
	m.refreshPartners(m.clock.Now())
	near := append(addresses(m.table.successors(m.cfg.Place, m.cfg.Address, monitoredPeers)), m.partners.near...)
	near = append(near, addresses(sample(m.random, m.table.ring(m.cfg.Place), nearHelpers, []string{m.cfg.Address, target}))...)
	slices.Sort(near)
	near = slices.DeleteFunc(slices.Compact(near), func(address string) bool {
		p, monitored := m.detector.probes[address]
		return address == target || monitored && p.failing
	})
	m.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	helpers := near[:min(nearHelpers, len(near))]
	if far := m.partners.far; far != "" && far != target {
		helpers = append(helpers, far)
	}
	for _, place := range m.table.places() {
		// With too few peers in the own place, members of other places take their part.
		if len(helpers) > nearHelpers {
			break
		}
		if place != m.cfg.Place && m.PlaceReachable(place) {
			helpers = append(helpers, addresses(sample(m.random, m.table.ring(place), nearHelpers+farHelpers-len(helpers), helpers))...)
		}
	}
	return helpers
}
