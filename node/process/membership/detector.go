package membership

import (
	"math/rand/v2"
	"time"
)

// detector decides about the liveness of the monitored ring neighbours. It does no I/O: the caller feeds it time and the
// results of pings, and carries out the actions that it returns. Its work depends on the number of monitored peers only.
type detector struct {
	timing Timing
	random *rand.Rand
	probes map[string]*probe
	last   time.Time
	epoch  uint64
	// paused is the length of a pause that tick has not reported yet.
	paused time.Duration
}

type phase uint8

const (
	idle phase = iota
	pinging
	asking
)

// probe is what the detector knows of one monitored peer.
type probe struct {
	member *Member
	phase  phase
	id     uint64
	due    time.Time
	// failing is set while the last direct ping failed; failedAt is when the first of these failures was seen.
	failing  bool
	failedAt time.Time
	// answeredAt is when the last direct ping was answered.
	answeredAt time.Time
	// helpers were asked in the current round, waiting of them have not answered yet, denied could not reach the peer.
	helpers, waiting, denied int
	vouched                  bool
	// deadline is when the suspicion becomes death; zero while there is none.
	deadline time.Time
	// deniedRounds counts confirmed failures in a row since the suspicion.
	deniedRounds int
}

type actionKind uint8

const (
	actPing actionKind = iota + 1
	actAsk
	actSuspect
	actDead
	// actTell sends the known record to the member itself, which corrects it if it is wrong.
	actTell
	// actWake asks for an exchange with several peers, after a pause of this process.
	actWake
)

type action struct {
	kind   actionKind
	id     uint64
	member *Member
	// long is set on actWake when the pause was long against the retention of records.
	long bool
}

func newDetector(timing Timing, random *rand.Rand, now time.Time) *detector {
	return &detector{timing: timing, random: random, probes: map[string]*probe{}, last: now}
}

// advance notes the time of an input. A gap much longer than the tick means that this process was paused: every pending
// result and deadline is then older than it looks and is dropped.
func (d *detector) advance(now time.Time) (woke bool) {
	gap := now.Sub(d.last)
	d.last = now
	if gap < d.timing.Pause {
		return false
	}
	d.epoch++
	d.paused = gap
	for _, p := range d.probes {
		*p = probe{member: p.member, due: now.Add(d.jitter(d.timing.PingEvery))}
	}
	return true
}

func (d *detector) jitter(span time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(span) + 1))
}

// tick starts due pings and ends suspicions. monitored are the current ring neighbours.
func (d *detector) tick(now time.Time, monitored []*Member) []action {
	var out []action
	d.advance(now)
	if d.paused > 0 {
		out = append(out, action{kind: actWake, long: d.paused > d.timing.Retention/2})
		d.paused = 0
	}
	d.follow(now, monitored)
	for _, m := range monitored {
		p := d.probes[m.Address]
		if m.State == Suspect && p.deadline.IsZero() {
			p.suspectUntil(now.Add(d.timing.Suspicion))
		}
		if p.phase == idle && !p.deadline.IsZero() && !now.Before(p.deadline) && p.deniedRounds > 0 {
			out = append(out, action{kind: actDead, member: m})
			p.due = now.Add(d.timing.PingEvery)
			continue
		}
		if p.phase == idle && !now.Before(p.due) {
			d.epoch++
			p.phase, p.id = pinging, d.epoch
			out = append(out, action{kind: actPing, id: p.id, member: m})
		}
	}
	return out
}

// follow makes the probes match the monitored members.
func (d *detector) follow(now time.Time, monitored []*Member) {
	current := make(map[string]bool, len(monitored))
	for _, m := range monitored {
		current[m.Address] = true
		p, ok := d.probes[m.Address]
		if !ok {
			p = &probe{due: now.Add(d.jitter(d.timing.PingEvery))}
			d.probes[m.Address] = p
		}
		if p.member != nil && m.outranks(p.member) && m.State == Alive {
			p.deadline, p.deniedRounds = time.Time{}, 0
		}
		p.member = m
	}
	for address := range d.probes {
		if !current[address] {
			delete(d.probes, address)
		}
	}
}

func (p *probe) suspectUntil(t time.Time) { p.deadline, p.deniedRounds = t, 0 }

// pinged takes the result of a direct ping.
func (d *detector) pinged(now time.Time, m *Member, id uint64, answered bool, incarnation uint64) []action {
	woke := d.advance(now)
	p := d.current(m.Address, id, pinging)
	if p == nil || woke {
		return nil
	}
	if answered {
		p.answeredAt = now
		return d.alive(now, p, incarnation)
	}
	if !p.failing {
		p.failing, p.failedAt = true, now
		d.checkOthers(now)
	}
	p.phase, p.helpers, p.waiting, p.denied, p.vouched = asking, 0, 0, 0, false
	return []action{{kind: actAsk, id: id, member: p.member}}
}

// asked notes how many helpers were asked to ping the member.
func (d *detector) asked(now time.Time, m *Member, id uint64, helpers int) []action {
	p := d.current(m.Address, id, asking)
	if p == nil {
		return nil
	}
	p.helpers, p.waiting = helpers, helpers
	if helpers == 0 {
		return d.conclude(now, p)
	}
	return nil
}

// helped takes the answer of one helper. A helper that did not answer says nothing about the member.
func (d *detector) helped(now time.Time, m *Member, id uint64, answered, alive bool) []action {
	woke := d.advance(now)
	p := d.current(m.Address, id, asking)
	if p == nil || woke {
		return nil
	}
	p.waiting--
	if answered {
		if alive {
			p.vouched = true
		} else {
			p.denied++
		}
	}
	if p.waiting > 0 {
		return nil
	}
	return d.conclude(now, p)
}

func (d *detector) current(address string, id uint64, want phase) *probe {
	p, ok := d.probes[address]
	if !ok || p.id != id || p.phase != want {
		return nil
	}
	return p
}

// conclude ends a round whose direct ping failed.
func (d *detector) conclude(now time.Time, p *probe) []action {
	if p.vouched {
		p.failing = false
		return d.alive(now, p, p.member.Incarnation)
	}
	p.phase = idle
	p.due = now.Add(d.timing.RetryEvery)
	if d.checking(p) {
		p.due = now.Add(d.timing.RetryEvery / 2)
		return nil
	}
	if p.denied < d.needed(p) && !d.unconfirmed(now, p) {
		return nil
	}
	if p.member.State == Suspect {
		p.deniedRounds++
		return nil
	}
	p.suspectUntil(now.Add(d.timing.Suspicion))
	return []action{{kind: actSuspect, member: p.member}}
}

// checkOthers makes the pings of the other peers due at once, so that a failure is judged against fresh results. Without
// that, a node cut off together with its helper accused the first peer before it knew that the others failed too.
func (d *detector) checkOthers(now time.Time) {
	for _, p := range d.probes {
		if p.phase == idle && !p.failing {
			p.due = now
		}
	}
}

// checking reports whether another peer, not known to fail, has not been pinged since the failure of this one. The
// failure of a peer that refuses connections is known at once, while the other pings wait for the next tick.
func (d *detector) checking(but *probe) bool {
	for _, p := range d.probes {
		if p != but && !p.failing && p.answeredAt.Before(but.failedAt) {
			return true
		}
	}
	return false
}

// needed is the number of helpers that must confirm a failure. When most monitored peers fail at once, the cause is
// probably this node's own network, and one helper that happens to share the fault proves nothing, unless the fleet has
// no other.
func (d *detector) needed(p *probe) int {
	if d.isolated() && p.helpers > 1 {
		return 2
	}
	return 1
}

// unconfirmed reports whether a failure counts without a confirmation: it lasts, and no other member is left to ask. In a
// fleet of a few nodes the last one would otherwise wait forever for the ledger ranges of the others. If it is the one that
// is cut off, the others refute once they are reached again.
func (d *detector) unconfirmed(now time.Time, p *probe) bool {
	return p.helpers == 0 && now.Sub(p.failedAt) >= d.timing.Unconfirmed
}

// isolated reports whether most monitored peers fail.
func (d *detector) isolated() bool {
	failing := 0
	for _, p := range d.probes {
		if p.failing {
			failing++
		}
	}
	return 2*failing > len(d.probes)
}

func (d *detector) alive(now time.Time, p *probe, incarnation uint64) []action {
	p.phase, p.failing, p.deniedRounds = idle, false, 0
	p.due = now.Add(d.timing.PingEvery*3/4 + d.jitter(d.timing.PingEvery/2))
	if !p.deadline.IsZero() {
		p.deadline = now.Add(d.timing.Suspicion)
	}
	if p.member.State == Suspect || incarnation != p.member.Incarnation {
		return []action{{kind: actTell, member: p.member}}
	}
	return nil
}
