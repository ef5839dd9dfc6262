package membership

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/peerpb"
)

const (
	// maxSyncBytes bounds the records of one answer or follow-up. A joining node takes 13,000 records, about 1 MB, in
	// some 35 rounds.
	maxSyncBytes = 32 << 10
	// crossRounds is the number of anti-entropy rounds of which one goes to another place.
	crossRounds = 4
	// joinedDifference is the number of differing buckets at which a joining node counts as having joined: in a large
	// fleet a change is under way at most times.
	joinedDifference = 2
	// joinedRounds is the number of such rounds in a row; nodes that start together find little difference at first.
	joinedRounds = 4
	// maxJoinRounds ends the quick rounds of a joining node in any case.
	maxJoinRounds = 200
)

// HandleSync merges a peer's records, returns the records that correct them, and compares bucket hashes if there are any.
func (m *Membership) HandleSync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	m.traffic.received(req)
	m.receive(req.GetRecords(), req.GetSettingsVersion(), req.GetFrom())
	reply := &peerpb.SyncReply{SettingsVersion: m.settingsVersion()}
	reply.Records = m.corrections(req.GetRecords())
	if n := len(req.GetBucketHashes()); n > 0 && n <= bucketCount && bucketCount%n == 0 {
		m.compare(req.GetBucketHashes(), reply)
	}
	m.traffic.sent(reply)
	return reply, nil
}

// receive merges records from a peer and notes the peer's settings version.
func (m *Membership) receive(records []*peerpb.MemberRecord, version int64, from string) {
	for _, msg := range records {
		if r := fromMessage(msg, &m.table.names); r != nil {
			m.apply(r, len(records) < bulkRecords)
		}
	}
	// The version is not put into the peer's record: a node that knew it already would not pass on the peer's publication.
	if version > 0 && m.cfg.OnPeerVersion != nil {
		m.cfg.OnPeerVersion(from, version)
	}
}

// corrections returns the known records that outrank those received.
func (m *Membership) corrections(records []*peerpb.MemberRecord) []*peerpb.MemberRecord {
	var out []*peerpb.MemberRecord
	size := 0
	for _, msg := range records {
		r := fromMessage(msg, &m.table.names)
		if r == nil || r.State == versionOnly {
			continue
		}
		if known := m.table.get(r.Address); known != nil && known.outranks(r) && size < maxSyncBytes {
			answer := known.message()
			size += proto.Size(answer)
			out = append(out, answer)
		}
	}
	return out
}

// compare adds the records of differing buckets to the reply, from a random bucket on, so that repeated bounded answers
// cover all of them. Only buckets sent in full are asked for. Buckets too coarse for the table are only named.
func (m *Membership) compare(theirs []uint64, reply *peerpb.SyncReply) {
	n := len(theirs)
	ours := m.table.hashes(n)
	if n < bucketCount && m.table.count.Load() > smallFleet {
		for b := range n {
			if ours[b] != theirs[b] {
				reply.WantBuckets = append(reply.WantBuckets, uint32(b))
			}
		}
		return
	}
	m.mu.Lock()
	start := m.random.IntN(n)
	m.mu.Unlock()
	size := 0
	for i := range n {
		b := (start + i) % n
		if ours[b] == theirs[b] {
			continue
		}
		var records []*peerpb.MemberRecord
		bytes := 0
		for _, r := range m.table.bucketMembers(b, n) {
			msg := r.message()
			records = append(records, msg)
			bytes += proto.Size(msg) + 3
		}
		if size > 0 && size+bytes > maxSyncBytes {
			return
		}
		size += bytes
		reply.Records = append(reply.Records, records...)
		reply.WantBuckets = append(reply.WantBuckets, uint32(b))
	}
}

// exchange compares buckets with a peer, coarsely and then finely, and transfers what differs in both directions. It
// reports whether the peer answered.
func (m *Membership) exchange(ctx context.Context, address string) bool {
	n := coarseBuckets
	reply, err := m.compareWith(ctx, address, n)
	if err == nil && len(reply.GetWantBuckets()) > 0 && len(reply.GetRecords()) == 0 {
		n = bucketCount
		reply, err = m.compareWith(ctx, address, n)
	}
	if err != nil {
		return false
	}
	m.noteDifference(len(reply.GetWantBuckets()))
	if missing := m.lacking(reply, n); len(missing) > 0 {
		m.push(ctx, address, missing)
	}
	return true
}

// compareWith sends n bucket hashes and merges the records of the answer.
func (m *Membership) compareWith(ctx context.Context, address string, n int) (*peerpb.SyncReply, error) {
	req := &peerpb.SyncRequest{BucketHashes: m.table.hashes(n)}
	if m.Self() == nil {
		// Asks for the highest incarnation of this address that the peer knows; nobody keeps incarnation 0.
		req.Records = []*peerpb.MemberRecord{{Address: m.cfg.Address, State: peerpb.MemberState_MEMBER_STATE_ALIVE}}
	}
	reply, err := m.send(ctx, address, req)
	if err == nil {
		m.receive(reply.GetRecords(), reply.GetSettingsVersion(), address)
	}
	return reply, err
}

func (m *Membership) noteDifference(buckets int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.schedule
	if buckets > joinedDifference {
		s.equal = 0
	} else {
		s.equal++
	}
	if s.equal >= joinedRounds || s.rounds > maxJoinRounds {
		s.joined = true
	}
}

// lacking returns the records of the wanted buckets that the peer did not send or sent in an older form.
func (m *Membership) lacking(reply *peerpb.SyncReply, n int) []*peerpb.MemberRecord {
	theirs := make(map[string]*Member, len(reply.GetRecords()))
	for _, msg := range reply.GetRecords() {
		if r := fromMessage(msg, &m.table.names); r != nil {
			theirs[r.Address] = r
		}
	}
	var out []*peerpb.MemberRecord
	size := 0
	for _, b := range reply.GetWantBuckets() {
		if int(b) >= n {
			continue
		}
		for _, r := range m.table.bucketMembers(int(b), n) {
			their := theirs[r.Address]
			if their == nil && !r.State.Live() || their != nil && !r.outranks(their) {
				continue
			}
			msg := r.message()
			if size += proto.Size(msg) + 3; size > maxSyncBytes {
				return out
			}
			out = append(out, msg)
		}
	}
	return out
}

// antiEntropy starts an exchange with a random partner or, now and then, with another place.
func (m *Membership) antiEntropy(ctx context.Context) {
	m.mu.Lock()
	m.refreshPartners(m.clock.Now())
	candidates := append(addresses(m.table.successors(m.cfg.Place, m.cfg.Address, pushRingPeers)), m.partners.near...)
	if far := m.partners.far; far != "" && (len(candidates) == 0 || m.schedule.rounds%crossRounds == 0) {
		candidates = []string{far}
	}
	var target string
	if len(candidates) > 0 {
		target = candidates[m.random.IntN(len(candidates))]
	}
	m.mu.Unlock()
	if target != "" {
		m.tasks.Go(func() { m.exchange(ctx, target) })
	}
}

// revive tries one dead member or one configured peer that is not a live member, so that the parts of a fleet find each
// other again after a partition.
func (m *Membership) revive(ctx context.Context) {
	var lost []string
	for _, key := range append(m.table.buriedKeys(), m.cfg.Peers...) {
		r := m.table.get(key)
		if isLink(key) || key == m.cfg.Address || r != nil && r.State != Dead {
			continue
		}
		lost = append(lost, key)
	}
	if len(lost) == 0 {
		return
	}
	slices.Sort(lost)
	m.mu.Lock()
	target := lost[m.random.IntN(len(lost))]
	m.mu.Unlock()
	m.tasks.Go(func() {
		if m.exchange(ctx, target) {
			if r := m.table.get(target); r != nil {
				m.push(ctx, target, []*peerpb.MemberRecord{r.message()})
			}
		}
	})
}

// wakePeers is the number of peers asked for news after a pause.
const wakePeers = 3

// wake catches up after a pause of this process. After a pause that is long against the retention, the records held here
// are old news that nobody else may be able to correct, so they are dropped and fetched anew.
func (m *Membership) wake(ctx context.Context, paused bool) {
	peers := addresses(m.table.successors(m.cfg.Place, m.cfg.Address, wakePeers))
	m.mu.Lock()
	peers = append(peers, m.partners.near...)
	if m.partners.far != "" {
		peers = append(peers, m.partners.far)
	}
	if paused {
		m.schedule.joined, m.schedule.equal, m.schedule.rounds = false, 0, 0
	}
	m.mu.Unlock()
	if paused {
		for r := range m.table.all() {
			if r.Address != m.cfg.Address {
				m.table.remove(r.Address)
			}
		}
	}
	for _, address := range peers {
		m.tasks.Go(func() { m.exchange(ctx, address) })
	}
}

// send fills in what every request carries, counts it and bounds its time.
func (m *Membership) send(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.SyncTimeout)
	defer cancel()
	req = &peerpb.SyncRequest{
		From: m.cfg.Address, Place: m.cfg.Place, Records: req.Records, BucketHashes: req.BucketHashes,
		SettingsVersion: m.settingsVersion(),
	}
	m.traffic.sent(req)
	reply, err := m.transport.Sync(ctx, address, req)
	if err == nil {
		m.traffic.received(reply)
	}
	return reply, err
}

func (m *Membership) settingsVersion() int64 {
	m.self.mu.Lock()
	defer m.self.mu.Unlock()
	return m.self.version
}
