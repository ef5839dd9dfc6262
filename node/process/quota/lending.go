package quota

import (
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
)

// ownerLink is what this node knows about a process that owns quotas. A restarted process at the same address gets a new ownerLink.
type ownerLink struct {
	address string
	linked  bool
	// clock is the owner's clock in its last reply, which was received at clockAt; 0 if there is none. The owner's clock is never less than
	// clock plus the time since clockAt.
	clock   uint64
	clockAt time.Duration
	// unansweredSince is the time of the first request since the latest reply; 0 if there is none.
	unansweredSince time.Duration
	requestedAt     time.Duration
	// renewedAt is the time of the last request that lent or renewed all shares of the owner's teams.
	renewedAt time.Duration
	// failed is set while the node is not chosen as an owner because it does not answer.
	failed bool
}

// clockNow returns a lower bound of the owner's clock; 0 if the clock is not known.
func (o *ownerLink) clockNow(now time.Duration) uint64 {
	if o.clock == 0 {
		return 0
	}
	return o.clock + uint64((now - o.clockAt).Milliseconds())
}

// silentFor returns the time for which the node has not answered.
func (o *ownerLink) silentFor(now time.Duration) time.Duration {
	if o.unansweredSince == 0 {
		return 0
	}
	return now - o.unansweredSince
}

// observeClock applies the clock of a reply. A clock far from the expected one belongs to a new process, to which shares are lent
// only after the loans to the previous process have ended.
func (b *Borrower) observeClock(o *ownerLink, clock uint64, now time.Duration) {
	expected := o.clockNow(now)
	difference := time.Duration(int64(clock)-int64(expected)) * time.Millisecond
	if expected != 0 && difference.Abs() > otherProcess {
		b.config.Log.Info("quota owner restarted", "peer", o.address)
		successor := &ownerLink{address: o.address, linked: o.linked}
		b.owners[o.address] = successor
		o = successor
	}
	if o.failed {
		b.config.Log.Info("quota owner answers again", "peer", o.address)
	}
	o.clock, o.clockAt, o.unansweredSince, o.failed = clock, now, 0, false
}

// updateOwners applies the current links and returns the addresses of the nodes among which owners are chosen.
func (b *Borrower) updateOwners(v View, now time.Duration) []string {
	// Replies were not read while this process did not run, for example on a suspended or busy host. That time does not count as silence.
	missed := max(now-b.lastTick-TickInterval, 0)
	for _, o := range b.owners {
		o.linked = o.address == b.config.Self
		if o.unansweredSince != 0 {
			o.unansweredSince = min(o.unansweredSince+missed, now)
		}
	}
	eligible := append(make([]Node, 0, len(v.Linked)+1), Node{Address: b.config.Self, CPUMillis: v.CPUMillis})
	for _, n := range v.Linked {
		o := b.owners[n.Address]
		if o != nil {
			o.linked = true
		}
		if o == nil || !b.updateFailed(o, now) {
			eligible = append(eligible, n)
		}
	}
	for _, o := range b.owners {
		if !o.linked {
			o.unansweredSince, o.failed = 0, false
		}
	}
	candidates := ownerCandidates(eligible)
	for _, address := range candidates {
		if b.owners[address] == nil {
			b.owners[address] = &ownerLink{address: address, linked: true}
		}
	}
	return candidates
}

// updateFailed sets failed for a node that has not answered for ownerTimeout, and returns it.
func (b *Borrower) updateFailed(o *ownerLink, now time.Duration) bool {
	if !o.failed && o.silentFor(now) >= ownerTimeout {
		o.failed = true
		b.config.Count("quota.owner_failed")
		b.config.Log.Info("quota owner does not answer", "peer", o.address, "silentMs", o.silentFor(now).Milliseconds())
	}
	return o.failed
}

// newRequest returns a request with the next sequence.
func (b *Borrower) newRequest() *linkpb.QuotaRequest {
	b.sequence++
	return &linkpb.QuotaRequest{Sequence: b.sequence}
}

// mayLend reports whether the share of a team may be lent to its owner.
func (b *Borrower) mayLend(t *teamState, now time.Duration) bool {
	o := b.owners[t.owner]
	return b.nodes > 0 && t.limited && o != nil && o.linked && o.clock != 0 && o.silentFor(now) < answerTimeout &&
		(t.lentTo == nil || t.lentTo == o || now >= t.lentUntil)
}

// addLoans lends the share of a team with its question if it may be lent. It also renews the shares of the owner's other teams unless they
// were renewed less than renewAfter ago.
func (b *Borrower) addLoans(t *teamState, r *linkpb.QuotaRequest, now time.Duration) {
	if !b.mayLend(t, now) {
		return
	}
	o := b.owners[t.owner]
	b.lend(t, o, r, now)
	if now-o.renewedAt < renewAfter {
		return
	}
	o.renewedAt = now
	for _, other := range b.teams {
		if other != t && other.owner == t.owner && b.mayLend(other, now) {
			r.Asks = append(r.Asks, &linkpb.QuotaAsk{Team: other.name})
			b.lend(other, o, r, now)
		}
	}
}

// lend records that a request lends the share of a team.
func (b *Borrower) lend(t *teamState, o *ownerLink, r *linkpb.QuotaRequest, now time.Duration) {
	r.OwnerClockMs, r.Nodes = o.clockNow(now), uint32(b.nodes)
	t.lentTo, t.lentUntil, t.release = o, now+loanTime+loanMargin, 0
}

// renew lends or renews the shares of each owner with a team whose share is not lent to it or whose loan ends soon. Then it probes.
func (b *Borrower) renew(now time.Duration) {
	due := map[*ownerLink]*linkpb.QuotaRequest{}
	for _, t := range b.teams {
		o := b.owners[t.owner]
		if o == nil || !b.mayLend(t, now) || !o.needsRenewal(t, now) {
			continue
		}
		if due[o] == nil {
			due[o] = b.newRequest()
		}
	}
	for o, r := range due {
		for _, t := range b.teams {
			if t.owner == o.address && b.mayLend(t, now) {
				r.Asks = append(r.Asks, &linkpb.QuotaAsk{Team: t.name})
				b.lend(t, o, r, now)
			}
		}
		o.renewedAt = now
		b.config.Count("quota.renewals")
		b.send(o.address, r, now)
	}
	b.probe(now)
}

// needsRenewal reports whether the loan of a team to this owner has to be renewed now.
func (o *ownerLink) needsRenewal(t *teamState, now time.Duration) bool {
	return t.lentTo != o || t.lentUntil-now <= loanTime+loanMargin-renewLatest
}

// probe sends empty requests to the linked owners whose clock is unknown and to those that do not answer.
func (b *Borrower) probe(now time.Duration) {
	for _, o := range b.owners {
		unknown := o.clock == 0 && (o.requestedAt == 0 || now-o.requestedAt >= answerTimeout)
		silent := o.silentFor(now) >= answerTimeout && now-o.requestedAt >= answerTimeout
		if o.linked && (unknown || silent) {
			b.config.Count("quota.probes")
			b.send(o.address, b.newRequest(), now)
		}
	}
}

// releaseMoved takes back the shares that are lent to a node that no longer owns the team, so that they can be lent to the new owner
// before the loan ends. Loans to a node that is not linked run to their end.
func (b *Borrower) releaseMoved(now time.Duration) {
	b.forgetReleases(now)
	moved := map[*ownerLink]*linkpb.QuotaRequest{}
	for _, t := range b.teams {
		from, to := t.lentTo, b.owners[t.owner]
		if from == nil || t.release != 0 || now >= t.lentUntil || !from.linked || b.owners[from.address] != from {
			continue
		}
		if to == nil || to == from || to.clock == 0 { // the share cannot be lent to the new owner yet
			continue
		}
		if moved[from] == nil {
			moved[from] = b.newRequest()
			moved[from].Release = true
		}
		moved[from].Asks = append(moved[from].Asks, &linkpb.QuotaAsk{Team: t.name})
		t.release = moved[from].Sequence
		b.releases[t.release] = append(b.releases[t.release], t)
	}
	for from, r := range moved {
		b.config.Log.Info("quota owner changes", "from", from.address, "teams", len(r.Asks))
		b.config.Count("quota.releases")
		b.send(from.address, r, now)
	}
}

// forgetReleases removes the releases that are not needed any more: the loans have ended, or the shares were lent or released again.
func (b *Borrower) forgetReleases(now time.Duration) {
	for sequence, teams := range b.releases {
		if now >= teams[0].lentUntil || teams[0].release != sequence {
			delete(b.releases, sequence)
		}
	}
}

// send sends a request to an owner. The owner in this process replies at once.
func (b *Borrower) send(address string, r *linkpb.QuotaRequest, now time.Duration) {
	if address == b.config.Self {
		b.handleReply(address, b.config.Owner.Handle(address, r), now)
		return
	}
	if o := b.owners[address]; o != nil {
		o.requestedAt = now
		if o.unansweredSince == 0 {
			o.unansweredSince = now
		}
	}
	b.config.Send(address, r)
}
