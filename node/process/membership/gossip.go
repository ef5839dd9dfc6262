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
	// pushRingPeers and pushPartners are the numbers of peers in the own place that a change is pushed to. The ring
	// neighbours keep the push graph connected, the random partners keep its diameter small.
	pushRingPeers = 2
	pushPartners  = 2
	// crossPlacePushes is the average number of nodes of a place that push a change to each other place.
	crossPlacePushes = 4
	// maxPushBytes limits the records of one push, so that it fits into one packet.
	maxPushBytes = 1200
	// pushBytesPerSecond and pushBurst limit the pushes of this node. Received pushes cost about the same again; together
	// with pings and anti-entropy a node stays under 3 KB/s. Under sustained churn, changes are delayed and batched. The
	// burst lets the loss of a rack be pushed without delay.
	pushBytesPerSecond = 512
	pushBurst          = 24 << 10
	// pushFraming is the estimated overhead of gRPC, TLS and TCP for a push and its reply, in bytes.
	pushFraming = 300
	// pushReserve is the number of tokens, in bytes, that must be available before a push starts. It is about the cost of
	// a full push to all targets.
	pushReserve = 4 * (maxPushBytes + pushFraming)
	// maxOutboxRecords limits the changes queued for a push; anti-entropy transfers those that are dropped.
	maxOutboxRecords = 256
	// bulkTransferRecords is the number of records from which a received message is treated as a transfer of existing
	// state, whose records are not pushed on.
	bulkTransferRecords = 32
)

// outbox is the queue of the keys of changed records that are to be pushed, the newest last.
type outbox struct {
	order   []string
	entries map[string]outboxEntry
	limiter *rate.Limiter
	// urgent counts the entries that change more than the settings version. Entries with only a settings version wait
	// until versionsDue in a large fleet.
	urgent      int
	versionsDue time.Time
}

// outboxEntry describes a queued record: versionOnly if only its settings version changed, own if it is this node's record.
type outboxEntry struct{ versionOnly, own bool }

func newOutbox() outbox {
	return outbox{entries: map[string]outboxEntry{}, limiter: rate.NewLimiter(pushBytesPerSecond, pushBurst)}
}

// add queues a key. If the queue is full, the oldest entry is dropped.
func (o *outbox) add(key string, versionOnly, own bool) {
	e, queued := o.entries[key]
	if !queued {
		if len(o.order) >= maxOutboxRecords {
			o.removeEntry(o.order[0])
			o.order = slices.Delete(o.order, 0, 1)
		}
		o.order = append(o.order, key)
		e.versionOnly = true
	}
	if e.versionOnly && !versionOnly {
		o.urgent++
	}
	o.entries[key] = outboxEntry{versionOnly: e.versionOnly && versionOnly, own: e.own || own}
}

func (o *outbox) removeEntry(key string) {
	if !o.entries[key].versionOnly {
		o.urgent--
	}
	delete(o.entries, key)
}

// due reports whether there is something to push now and the rate limit allows it.
func (o *outbox) due(now time.Time, members int64) bool {
	if len(o.order) == 0 || o.limiter.TokensAt(now) < pushReserve {
		return false
	}
	return o.urgent > 0 || members <= promptFleetSize || !now.Before(o.versionsDue)
}

// takeBatch removes records from the outbox up to the size of a push, the newest first: after a burst, most of the oldest
// changes have already spread through anti-entropy and must not delay a new change.
func (o *outbox) takeBatch(t *recordTable) (records []*peerpb.MemberRecord, size int, own bool) {
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
		o.removeEntry(key)
	}
	return records, size, own
}

// flush pushes queued changes to a few peers, within the rate limit.
func (m *Membership) flush(ctx context.Context, now time.Time) {
	m.mu.Lock()
	if !m.outbox.due(now, m.records.count.Load()) {
		m.mu.Unlock()
		return
	}
	m.outbox.versionsDue = now.Add(versionPushInterval)
	records, size, own := m.outbox.takeBatch(m.records)
	targets := m.pushTargets(now, own)
	m.outbox.limiter.AllowN(now, min((size+pushFraming)*len(targets), int(m.outbox.limiter.TokensAt(now))))
	m.mu.Unlock()
	for _, address := range targets {
		m.tasks.Go(func() { m.push(ctx, address, records) })
	}
}

// push sends records to one peer and merges the corrections in its reply. It reports whether the peer replied; failures
// are handled by the detector and anti-entropy.
func (m *Membership) push(ctx context.Context, address string, records []*peerpb.MemberRecord) bool {
	reply, err := m.sendSync(ctx, address, &peerpb.SyncRequest{Records: records})
	if err != nil {
		return false
	}
	m.mergeRecords(reply.GetRecords(), reply.GetSettingsVersion(), address)
	return true
}

// sendRecord sends the known record of a member to the member itself.
func (m *Membership) sendRecord(ctx context.Context, address string) {
	r := m.records.get(address)
	if r == nil {
		return
	}
	m.tasks.Go(func() { m.push(ctx, address, []*peerpb.MemberRecord{r.message()}) })
}

// partners are the random peers of this node, in its own place and in one other place. They are replaced rarely, since
// each costs a connection.
type partners struct {
	local  []string
	remote string
	due    time.Time
}

// pushTargets returns the peers for a push; the caller holds m.mu. Changes of this node's record are also pushed to the
// peers that monitor it and always to the partner in another place.
func (m *Membership) pushTargets(now time.Time, own bool) []string {
	m.refreshPartners(now)
	targets := addresses(m.records.successors(m.cfg.Place, m.cfg.Address, pushRingPeers))
	targets = append(targets, m.partners.local...)
	if own {
		targets = append(targets, addresses(m.records.predecessors(m.cfg.Place, m.cfg.Address, monitoredPeers))...)
	}
	if remote := m.partners.remote; remote != "" {
		share := float64(crossPlacePushes*(len(m.records.places())-1)) / float64(max(1, len(m.records.ring(m.cfg.Place))))
		if own || m.random.Float64() < share {
			targets = append(targets, remote)
		}
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// refreshPartners replaces partners that are not live or whose lifetime has expired; the caller holds m.mu.
func (m *Membership) refreshPartners(now time.Time) {
	p := &m.partners
	notLive := func(address string) bool {
		r := m.records.get(address)
		return r == nil || !r.State.Live()
	}
	expired := !now.Before(p.due)
	if expired {
		p.due = now.Add(m.timing.PartnerLifetime*3/4 + time.Duration(m.random.Int64N(int64(m.timing.PartnerLifetime/2))))
	}
	if expired || len(p.local) < pushPartners || slices.ContainsFunc(p.local, notLive) {
		exclude := append(addresses(m.records.successors(m.cfg.Place, m.cfg.Address, pushRingPeers)), m.cfg.Address)
		p.local = addresses(sample(m.random, m.records.ring(m.cfg.Place), pushPartners, exclude))
	}
	if expired || p.remote == "" || notLive(p.remote) || !m.PlaceReachable(m.records.get(p.remote).Place) {
		p.remote = ""
		others := slices.DeleteFunc(m.records.places(), func(s string) bool { return s == m.cfg.Place })
		if reachable := slices.DeleteFunc(slices.Clone(others), func(s string) bool {
			return !m.PlaceReachable(s)
		}); len(reachable) > 0 {
			others = reachable
		}
		if len(others) > 0 {
			ring := m.records.ring(others[m.random.IntN(len(others))])
			if remote := sample(m.random, ring, 1, nil); len(remote) > 0 {
				p.remote = remote[0].Address
			}
		}
	}
}

// sample returns up to n random members whose addresses are not excluded.
func sample(random *rand.Rand, from []*Member, n int, exclude []string) []*Member {
	var out []*Member
	if len(from) == 0 {
		return nil
	}
	// In a large place repeated random draws take constant time; in a small place all members are tried in random order.
	if len(from) <= 4*(n+len(exclude)) {
		for _, i := range random.Perm(len(from)) {
			if len(out) < n && !slices.Contains(exclude, from[i].Address) {
				out = append(out, from[i])
			}
		}
		return out
	}
	for len(out) < n {
		r := from[random.IntN(len(from))]
		if !slices.Contains(exclude, r.Address) && !slices.Contains(out, r) {
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

// traffic counts messages and their encoded bytes, without the overhead of the transport.
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
