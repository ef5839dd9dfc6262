package membership

import (
	"math/rand/v2"
	"time"
)

// detector is the failure detector for the monitored ring neighbours. It does no I/O: the caller passes in the time and the
// results of pings, and carries out the returned actions. Its cost depends only on the number of monitored peers.
type detector struct {
	timing      Timing
	random      *rand.Rand
	peers       map[string]*peerState
	last        time.Time
	lastRoundID uint64
	// unreportedPause is the length of a pause that tick has not reported yet; zero if there is none.
	unreportedPause time.Duration
}

// phase is the step of the current ping round of a peer.
type phase uint8

const (
	idle phase = iota
	pinging
	awaitingRelays
)

// peerState is the state of the detector for one monitored peer.
type peerState struct {
	member  *Member
	phase   phase
	roundID uint64
	due     time.Time
	// failing is set when the last direct ping failed; failedAt is the time of the first of the consecutive failures.
	failing  bool
	failedAt time.Time
	// answeredAt is the time of the last answered direct ping.
	answeredAt time.Time
	// relays is the number of relays requested to ping the peer in the current round; pendingRelays of them have not
	// replied yet, and unreachableReports of them could not reach the peer.
	relays, pendingRelays, unreachableReports int
	reachedByRelay                            bool
	// deadline is when a suspect may be declared dead; zero if the peer is not suspected.
	deadline time.Time
	// confirmedFailures counts the confirmed failures in a row since the start of the suspicion.
	confirmedFailures int
}

type actionKind uint8

const (
	actPing actionKind = iota + 1
	actIndirectPing
	actSuspect
	actDead
	// actSendRecord sends the known record to the member itself, which corrects it if it is wrong.
	actSendRecord
	// actResync starts exchanges with several peers after a pause of this process.
	actResync
)

type action struct {
	kind    actionKind
	roundID uint64
	member  *Member
	// longPause is set on actResync when the pause exceeded half of the retention of records.
	longPause bool
}

func newDetector(timing Timing, random *rand.Rand, now time.Time) *detector {
	return &detector{timing: timing, random: random, peers: map[string]*peerState{}, last: now}
}

// advance records the time of an input. A gap of PauseThreshold or more means that this process was paused: pending results
// and deadlines are then out of date and are dropped.
func (d *detector) advance(now time.Time) (resumed bool) {
	gap := now.Sub(d.last)
	d.last = now
	if gap < d.timing.PauseThreshold {
		return false
	}
	d.lastRoundID++
	d.unreportedPause = gap
	for _, p := range d.peers {
		*p = peerState{member: p.member, due: now.Add(d.jitter(d.timing.PingInterval))}
	}
	return true
}

// jitter returns a random duration of at most limit.
func (d *detector) jitter(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit) + 1))
}

// tick returns the due pings and the suspects to declare dead. monitored are the current ring neighbours.
func (d *detector) tick(now time.Time, monitored []*Member) []action {
	var out []action
	d.advance(now)
	if d.unreportedPause > 0 {
		out = append(out, action{kind: actResync, longPause: d.unreportedPause > d.timing.Retention/2})
		d.unreportedPause = 0
	}
	d.updateMonitored(now, monitored)
	for _, m := range monitored {
		p := d.peers[m.Address]
		if m.State == Suspect && p.deadline.IsZero() {
			p.suspectUntil(now.Add(d.timing.SuspicionTimeout))
		}
		if p.phase == idle && !p.deadline.IsZero() && !now.Before(p.deadline) && p.confirmedFailures > 0 {
			out = append(out, action{kind: actDead, member: m})
			p.due = now.Add(d.timing.PingInterval)
			continue
		}
		if p.phase == idle && !now.Before(p.due) {
			d.lastRoundID++
			p.phase, p.roundID = pinging, d.lastRoundID
			out = append(out, action{kind: actPing, roundID: p.roundID, member: m})
		}
	}
	return out
}

// updateMonitored makes the peers match the monitored members.
func (d *detector) updateMonitored(now time.Time, monitored []*Member) {
	current := make(map[string]bool, len(monitored))
	for _, m := range monitored {
		current[m.Address] = true
		p, ok := d.peers[m.Address]
		if !ok {
			p = &peerState{due: now.Add(d.jitter(d.timing.PingInterval))}
			d.peers[m.Address] = p
		}
		if p.member != nil && m.supersedes(p.member) && m.State == Alive {
			p.deadline, p.confirmedFailures = time.Time{}, 0
		}
		p.member = m
	}
	for address := range d.peers {
		if !current[address] {
			delete(d.peers, address)
		}
	}
}

func (p *peerState) suspectUntil(t time.Time) { p.deadline, p.confirmedFailures = t, 0 }

// handlePingResult handles the result of a direct ping.
func (d *detector) handlePingResult(now time.Time, m *Member, roundID uint64, answered bool, incarnation uint64) []action {
	resumed := d.advance(now)
	p := d.peerInPhase(m.Address, roundID, pinging)
	if p == nil || resumed {
		return nil
	}
	if answered {
		p.answeredAt = now
		return d.markAlive(now, p, incarnation)
	}
	if !p.failing {
		p.failing, p.failedAt = true, now
		d.pingOthersNow(now)
	}
	p.phase, p.relays, p.pendingRelays, p.unreachableReports, p.reachedByRelay = awaitingRelays, 0, 0, 0, false
	return []action{{kind: actIndirectPing, roundID: roundID, member: p.member}}
}

// recordRelays records how many relays were requested to ping the member.
func (d *detector) recordRelays(now time.Time, m *Member, roundID uint64, relays int) []action {
	p := d.peerInPhase(m.Address, roundID, awaitingRelays)
	if p == nil {
		return nil
	}
	p.relays, p.pendingRelays = relays, relays
	if relays == 0 {
		return d.finishRound(now, p)
	}
	return nil
}

// handleRelayReply handles the reply of one relay. A relay that did not reply is no evidence about the member.
func (d *detector) handleRelayReply(now time.Time, m *Member, roundID uint64, answered, alive bool) []action {
	resumed := d.advance(now)
	p := d.peerInPhase(m.Address, roundID, awaitingRelays)
	if p == nil || resumed {
		return nil
	}
	p.pendingRelays--
	if answered {
		if alive {
			p.reachedByRelay = true
		} else {
			p.unreachableReports++
		}
	}
	if p.pendingRelays > 0 {
		return nil
	}
	return d.finishRound(now, p)
}

// peerInPhase returns the state of the peer if the round is its current one and in the wanted phase, or nil.
func (d *detector) peerInPhase(address string, roundID uint64, want phase) *peerState {
	p, ok := d.peers[address]
	if !ok || p.roundID != roundID || p.phase != want {
		return nil
	}
	return p
}

// finishRound ends a round whose direct ping failed.
func (d *detector) finishRound(now time.Time, p *peerState) []action {
	if p.reachedByRelay {
		p.failing = false
		return d.markAlive(now, p, p.member.Incarnation)
	}
	p.phase = idle
	p.due = now.Add(d.timing.RetryInterval)
	if d.awaitingOtherPings(p) {
		p.due = now.Add(d.timing.RetryInterval / 2)
		return nil
	}
	if p.unreachableReports < d.requiredReports(p) && !d.countsUnconfirmed(now, p) {
		return nil
	}
	if p.member.State == Suspect {
		p.confirmedFailures++
		return nil
	}
	p.suspectUntil(now.Add(d.timing.SuspicionTimeout))
	return []action{{kind: actSuspect, member: p.member}}
}

// pingOthersNow makes the pings of the other peers due at once, so that a failure is compared with fresh results. Otherwise
// a node cut off together with its relay suspects the first peer before it detects that the others fail too.
func (d *detector) pingOthersNow(now time.Time) {
	for _, p := range d.peers {
		if p.phase == idle && !p.failing {
			p.due = now
		}
	}
}

// awaitingOtherPings reports whether another peer, not known to fail, has not answered a ping since the failure of this
// one. A ping fails at once if the peer refuses connections, while the pings of the other peers wait for the next tick.
func (d *detector) awaitingOtherPings(except *peerState) bool {
	for _, p := range d.peers {
		if p != except && !p.failing && p.answeredAt.Before(except.failedAt) {
			return true
		}
	}
	return false
}

// requiredReports returns the number of relays that must confirm a failure. When most monitored peers fail at once, the
// cause is probably this node's own network, and a single relay may share the fault; its report is enough only if there is
// no other relay.
func (d *detector) requiredReports(p *peerState) int {
	if d.isolated() && p.relays > 1 {
		return 2
	}
	return 1
}

// countsUnconfirmed reports whether a failure counts without a confirmation: it has lasted for UnconfirmedTimeout, and no
// relay is available. In a small fleet the last node would otherwise wait forever for the ledger ranges of the others. If
// this node is the one that is cut off, the others refute once they are reachable again.
func (d *detector) countsUnconfirmed(now time.Time, p *peerState) bool {
	return p.relays == 0 && now.Sub(p.failedAt) >= d.timing.UnconfirmedTimeout
}

// isolated reports whether more than half of the monitored peers fail.
func (d *detector) isolated() bool {
	failing := 0
	for _, p := range d.peers {
		if p.failing {
			failing++
		}
	}
	return 2*failing > len(d.peers)
}

// markAlive ends a round in which the peer answered, directly or to a relay.
func (d *detector) markAlive(now time.Time, p *peerState, incarnation uint64) []action {
	p.phase, p.failing, p.confirmedFailures = idle, false, 0
	p.due = now.Add(d.timing.PingInterval*3/4 + d.jitter(d.timing.PingInterval/2))
	if !p.deadline.IsZero() {
		p.deadline = now.Add(d.timing.SuspicionTimeout)
	}
	if p.member.State == Suspect || incarnation != p.member.Incarnation {
		return []action{{kind: actSendRecord, member: p.member}}
	}
	return nil
}
