package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/peerpb"
)

const (
	// pushRingPeers and pushPartners are the peers that a change is pushed to, in the own place. The ring neighbours
	// make the push graph connected, the random partners make it shallow.
	pushRingPeers = 2
	pushPartners  = 2
	// crossPushes is how many nodes of a place pass a change to each other place, on average.
	crossPushes = 4
	// maxPushBytes bounds the records of one push, so that it fits a packet.
	maxPushBytes = 1200
	// pushBytesPerSecond and pushBurst bound the pushes of this node. Received pushes cost as much again, so that a node
	// stays under 3 KB/s together with pings and anti-entropy. Under lasting churn, changes wait and share messages. The
	// burst lets the loss of a rack spread at once.
	pushBytesPerSecond = 512
	pushBurst          = 24 << 10
	// pushFraming is an estimate of what gRPC, TLS and TCP add to a push and its answer.
	pushFraming = 300
	// pushReserve must be in hand before a push starts; it is about the cost of a full push to all targets.
	pushReserve = 4 * (maxPushBytes + pushFraming)
	// maxOutbox bounds the changes that wait to be pushed; anti-entropy repairs what is dropped.
	maxOutbox = 256
	// bulkRecords is the size from which received records are a transfer of old state and not news to pass on.
	bulkRecords = 32
)

// outbox holds the keys of changed records until they are pushed, the newest last.
type outbox struct {
	order   []string
	entries map[string]entry
	limiter *rate.Limiter
	// urgent counts the entries that are more than settings versions, which wait until versionsDue in a large fleet.
	urgent      int
	versionsDue time.Time
}

type entry struct{ versionOnly, own bool }

func newOutbox() outbox {
	return outbox{entries: map[string]entry{}, limiter: rate.NewLimiter(pushBytesPerSecond, pushBurst)}
}

func (o *outbox) add(key string, versionOnly, own bool) {
	e, waiting := o.entries[key]
	if !waiting {
		if len(o.order) >= maxOutbox {
			o.forget(o.order[0])
			o.order = slices.Delete(o.order, 0, 1)
		}
		o.order = append(o.order, key)
		e.versionOnly = true
	}
	if e.versionOnly && !versionOnly {
		o.urgent++
	}
	o.entries[key] = entry{versionOnly: e.versionOnly && versionOnly, own: e.own || own}
}

func (o *outbox) forget(key string) {
	if !o.entries[key].versionOnly {
		o.urgent--
	}
	delete(o.entries, key)
}

// due reports whether anything should be pushed now, as far as the limit allows.
func (o *outbox) due(now time.Time, members int64) bool {
	if len(o.order) == 0 || o.limiter.TokensAt(now) < pushReserve {
		return false
	}
	return o.urgent > 0 || members <= quickFleet || !now.Before(o.versionsDue)
}

// batch takes records from the outbox up to the size of a push. The newest go first: after a burst, what has waited long
// is mostly known through anti-entropy, and must not delay a new change.
func (o *outbox) batch(t *table) (records []*peerpb.MemberRecord, size int, own bool) {
	for len(o.order) > 0 {
		key := o.order[len(o.order)-1]
		e := o.entries[key]
		if r := t.get(key); r != nil {
			msg := r.message()
			if e.versionOnly {
				msg = &peerpb.MemberRecord{Address: key, Incarnation: r.Incarnation, SettingsVersion: r.SettingsVersion}
			}
			bytes := proto.Size(msg)
			if size > 0 && size+bytes > maxPushBytes {
				return records, size, own
			}
			size += bytes
			own = own || e.own
			records = append(records, msg)
		}
		o.order = o.order[:len(o.order)-1]
		o.forget(key)
	}
	return records, size, own
}

// flush pushes waiting changes to a few peers, within the limit on bytes.
func (m *Membership) flush(ctx context.Context, now time.Time) {
	m.mu.Lock()
	if !m.outbox.due(now, m.table.count.Load()) {
		m.mu.Unlock()
		return
	}
	m.outbox.versionsDue = now.Add(versionDelay)
	records, size, own := m.outbox.batch(m.table)
	targets := m.pushTargets(now, own)
	m.outbox.limiter.AllowN(now, min((size+pushFraming)*len(targets), int(m.outbox.limiter.TokensAt(now))))
	m.mu.Unlock()
	for _, address := range targets {
		m.tasks.Go(func() { m.push(ctx, address, records) })
	}
}

// push sends records to one peer and merges its corrections. Errors are left to the detector and to anti-entropy.
func (m *Membership) push(ctx context.Context, address string, records []*peerpb.MemberRecord) bool {
	reply, err := m.send(ctx, address, &peerpb.SyncRequest{Records: records})
	if err != nil {
		return false
	}
	m.receive(reply.GetRecords(), reply.GetSettingsVersion(), address)
	return true
}

// tell sends the known record of a member to the member itself.
func (m *Membership) tell(ctx context.Context, address string) {
	r := m.table.get(address)
	if r == nil {
		return
	}
	m.tasks.Go(func() { m.push(ctx, address, []*peerpb.MemberRecord{r.message()}) })
}

// partners are the random peers of this node. They change slowly, since each costs a connection.
type partners struct {
	near []string
	far  string
	due  time.Time
}

// pushTargets returns the peers for a push; the caller holds the lock. Own changes go to more peers, among them those
// that monitor this node.
func (m *Membership) pushTargets(now time.Time, own bool) []string {
	m.refreshPartners(now)
	targets := addresses(m.table.successors(m.cfg.Place, m.cfg.Address, pushRingPeers))
	targets = append(targets, m.partners.near...)
	if own {
		targets = append(targets, addresses(m.table.predecessors(m.cfg.Place, m.cfg.Address, monitoredPeers))...)
	}
	if far := m.partners.far; far != "" {
		share := float64(crossPushes*(len(m.table.places())-1)) / float64(max(1, len(m.table.ring(m.cfg.Place))))
		if own || m.random.Float64() < share {
			targets = append(targets, far)
		}
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// refreshPartners replaces partners that are gone or have served their time; the caller holds the lock.
func (m *Membership) refreshPartners(now time.Time) {
	p := &m.partners
	gone := func(address string) bool {
		r := m.table.get(address)
		return r == nil || !r.State.Live()
	}
	stale := !now.Before(p.due)
	if stale {
		p.due = now.Add(m.timing.PartnerEvery*3/4 + time.Duration(m.random.Int64N(int64(m.timing.PartnerEvery/2))))
	}
	if stale || len(p.near) < pushPartners || slices.ContainsFunc(p.near, gone) {
		avoid := append(addresses(m.table.successors(m.cfg.Place, m.cfg.Address, pushRingPeers)), m.cfg.Address)
		p.near = addresses(sample(m.random, m.table.ring(m.cfg.Place), pushPartners, avoid))
	}
	if stale || p.far == "" || gone(p.far) || !m.PlaceReachable(m.table.get(p.far).Place) {
		p.far = ""
		others := slices.DeleteFunc(m.table.places(), func(s string) bool { return s == m.cfg.Place })
		if reachable := slices.DeleteFunc(slices.Clone(others), func(s string) bool { return !m.PlaceReachable(s) }); len(reachable) > 0 {
			others = reachable
		}
		if len(others) > 0 {
			ring := m.table.ring(others[m.random.IntN(len(others))])
			if far := sample(m.random, ring, 1, nil); len(far) > 0 {
				p.far = far[0].Address
			}
		}
	}
}

// sample returns up to n random members that are not to be avoided.
func sample(random *rand.Rand, from []*Member, n int, avoid []string) []*Member {
	var out []*Member
	if len(from) == 0 {
		return nil
	}
	// A random start and a few random draws keep this constant work; a small place is walked completely.
	if len(from) <= 4*(n+len(avoid)) {
		for _, i := range random.Perm(len(from)) {
			if len(out) < n && !slices.Contains(avoid, from[i].Address) {
				out = append(out, from[i])
			}
		}
		return out
	}
	for len(out) < n {
		r := from[random.IntN(len(from))]
		if !slices.Contains(avoid, r.Address) && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

func addresses(members []*Member) []string {
	out := make([]string, len(members))
	for i, r := range members {
		out[i] = r.Address
	}
	return out
}

// traffic counts messages and their encoded bytes, without the framing of the transport.
type traffic struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes atomic.Int64
}

func (t *traffic) sent(msg proto.Message) {
	t.sentMessages.Add(1)
	t.sentBytes.Add(int64(proto.Size(msg)))
}

func (t *traffic) received(msg proto.Message) {
	t.receivedMessages.Add(1)
	t.receivedBytes.Add(int64(proto.Size(msg)))
}
