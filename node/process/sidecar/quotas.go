package sidecar

import (
	"sync/atomic"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/process/quota"
	"github.com/radishstand/radishstand/node/version/routing"
)

// quotas enforces the quotas of teams: it passes the links, the members and the current routing version to the owner and the borrower.
type quotas struct {
	owner    *quota.Owner
	borrower *quota.Borrower
	// running is set while the current version has teams with a quota.
	running atomic.Bool
	// membersReadAt is the boot time in nanoseconds at which the members were read last; 0 if never.
	membersReadAt atomic.Int64
	// restarted is set when the store had an entry of an earlier process of this node.
	restarted atomic.Bool
}

// init must be called before the node is used.
func (q *quotas) init(n *Node) {
	q.owner = quota.NewOwner(boottime.Now, n.quotaOf)
	q.borrower = quota.NewBorrower(quota.Config{
		Self: n.config.Load().Listen.Peers, Owner: q.owner, Now: boottime.Now,
		// A link with a large body in transit takes frames late.
		Send:  func(address string, r *linkpb.QuotaRequest) { go n.peers.SendQuotaRequest(address, r) },
		Count: counters{n.metrics}.Count, Log: n.log,
	})
}

// quotaOf returns the quota of a team in the current routing version.
func (n *Node) quotaOf(team string) (routing.Quota, bool) {
	v := n.routing.Current()
	if v == nil {
		return routing.Quota{}, false
	}
	t := v.TeamNamed(team)
	if t == nil {
		return routing.Quota{}, false
	}
	return t.Quota, true
}

// HandleQuota replies to a request about quotas of the node at an address.
func (n *Node) HandleQuota(address string, r *linkpb.QuotaRequest) *linkpb.QuotaReply {
	return n.quotas.owner.Handle(address, r)
}

// membersRead records that the members have been read from the store.
func (q *quotas) membersRead() { q.membersReadAt.Store(int64(boottime.Now())) }

// start runs the loop that borrows quota, if the routing version has teams with a quota and it does not run yet.
func (q *quotas) start(n *Node) {
	if hasQuotas(n.routing.Current()) && q.running.CompareAndSwap(false, true) {
		n.log.Info("quotas in force")
		go q.run(n)
	}
}

// run passes the state of the node to the borrower until no team has a quota, or the node ends.
func (q *quotas) run(n *Node) {
	q.borrower.Resume()
	ticker := time.NewTicker(quota.TickInterval)
	defer ticker.Stop()
	for {
		v := n.routing.Current()
		q.borrower.Tick(n.quotaView(), v.Teams)
		if q.owner.Sweep(); !hasQuotas(v) {
			break
		}
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
	}
	n.log.Info("quotas no longer in force")
	q.running.Store(false)
	q.start(n) // a version with quotas may have come meanwhile
}

// hasQuotas reports whether a version has teams with a quota.
func hasQuotas(v *routing.Version) bool {
	for team := range v.Teams {
		if team.Quota.Limited() {
			return true
		}
	}
	return false
}

// cpuMillis returns this node's share of a core in thousandths. A node that stops reports 0, so that it is the last choice as an owner
// of quotas before its links end.
func (n *Node) cpuMillis() int {
	if n.stopping.Load() {
		return 0
	}
	return int(max(n.config.Load().CPUShare*1000, 0))
}

// quotaView returns what this node knows of the others.
func (n *Node) quotaView() quota.View {
	known, _ := n.peers.Linked()
	v := quota.View{Known: known, MembersReadAt: time.Duration(n.quotas.membersReadAt.Load()), CPUMillis: n.cpuMillis(),
		Restarted: n.quotas.restarted.Load()}
	for _, linked := range n.peers.LinkedNodes() {
		v.Linked = append(v.Linked, quota.Node{Address: linked.Address, CPUMillis: linked.CPUMillis})
	}
	return v
}
