package membership

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/peerpb"
)

const (
	// maxSyncBytes limits the records of one reply or follow-up push. A joining node receives 13,000 records, about 1 MB,
	// in about 35 rounds.
	maxSyncBytes = 32 << 10
	// crossPlaceRounds is the number of anti-entropy rounds of which one is with another place.
	crossPlaceRounds = 4
	// maxJoinedDifference is the number of differing buckets up to which an exchange counts as matching for a joining
	// node: in a large fleet some change is in progress most of the time.
	maxJoinedDifference = 2
	// requiredJoinedRounds is the number of matching exchanges in a row after which the node has joined. One is not
	// enough, since nodes that start together differ little at first.
	requiredJoinedRounds = 4
	// maxJoinRounds is the number of rounds after which a joining node stops using JoinSyncInterval in any case.
	maxJoinRounds = 200
)

// HandleSync merges a peer's records, returns the records that supersede them, and compares bucket hashes if there are any.
func (m *Membership) HandleSync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	m.traffic.received(req)
	m.mergeRecords(req.GetRecords(), req.GetSettingsVersion(), req.GetFrom())
	reply := &peerpb.SyncReply{SettingsVersion: m.settingsVersion()}
	reply.Records = m.corrections(req.GetRecords())
	if n := len(req.GetBucketHashes()); n > 0 && n <= bucketCount && bucketCount%n == 0 {
		m.compareBuckets(req.GetBucketHashes(), reply)
	}
	m.traffic.sent(reply)
	return reply, nil
}

// mergeRecords merges records from a peer and reports the peer's settings version to OnPeerVersion.
func (m *Membership) mergeRecords(records []*peerpb.MemberRecord, version int64, from string) {
	for _, msg := range records {
		if r := fromMessage(msg, &m.records.names); r != nil {
			m.apply(r, len(records) < bulkTransferRecords)
		}
	}
	// The version is not stored in the peer's record: otherwise this node would not pass on the peer's later publication.
	if version > 0 && m.cfg.OnPeerVersion != nil {
		m.cfg.OnPeerVersion(from, version)
	}
}

// corrections returns the known records that supersede the received ones, up to about maxSyncBytes.
func (m *Membership) corrections(records []*peerpb.MemberRecord) []*peerpb.MemberRecord {
	var out []*peerpb.MemberRecord
	size := 0
	for _, msg := range records {
		r := fromMessage(msg, &m.records.names)
		if r == nil || r.State == versionOnly {
			continue
		}
		if known := m.records.get(r.Address); known != nil && known.supersedes(r) && size < maxSyncBytes {
			answer := known.message()
			size += proto.Size(answer)
			out = append(out, answer)
		}
	}
	return out
}

// compareBuckets adds the records of differing buckets to the reply, starting at a random bucket, so that repeated replies
// of limited size cover all buckets. Only buckets that are sent in full are requested from the peer. If the comparison is
// coarse and the table holds more than maxInlineRecords records, the differing buckets are listed without their records.
func (m *Membership) compareBuckets(theirs []uint64, reply *peerpb.SyncReply) {
	n := len(theirs)
	ours := m.records.hashes(n)
	if n < bucketCount && m.records.count.Load() > maxInlineRecords {
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
		for _, r := range m.records.bucketMembers(b, n) {
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

// exchange compares bucket hashes with a peer, with coarse and if necessary with fine buckets, and transfers differing
// records in both directions. It reports whether the peer answered.
func (m *Membership) exchange(ctx context.Context, address string) bool {
	n := coarseBuckets
	reply, err := m.compareBucketsWith(ctx, address, n)
	if err == nil && len(reply.GetWantBuckets()) > 0 && len(reply.GetRecords()) == 0 {
		n = bucketCount
		reply, err = m.compareBucketsWith(ctx, address, n)
	}
	if err != nil {
		return false
	}
	m.recordDifference(len(reply.GetWantBuckets()))
	if missing := m.missingRecords(reply, n); len(missing) > 0 {
		m.push(ctx, address, missing)
	}
	return true
}

// compareBucketsWith sends n bucket hashes to a peer and merges the records of the reply.
func (m *Membership) compareBucketsWith(ctx context.Context, address string, n int) (*peerpb.SyncReply, error) {
	req := &peerpb.SyncRequest{BucketHashes: m.records.hashes(n)}
	if m.Self() == nil {
		// Requests the record that the peer holds for this address, which has the highest incarnation known to the peer.
		// Incarnation 0 is superseded by every other one and is never stored.
		req.Records = []*peerpb.MemberRecord{{Address: m.cfg.Address, State: peerpb.MemberState_MEMBER_STATE_ALIVE}}
	}
	reply, err := m.sendSync(ctx, address, req)
	if err == nil {
		m.mergeRecords(reply.GetRecords(), reply.GetSettingsVersion(), address)
	}
	return reply, err
}

// recordDifference records the number of differing buckets of an exchange, which decides whether this node has joined.
func (m *Membership) recordDifference(buckets int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.schedule
	if buckets > maxJoinedDifference {
		s.matchingRounds = 0
	} else {
		s.matchingRounds++
	}
	if s.matchingRounds >= requiredJoinedRounds || s.rounds > maxJoinRounds {
		s.joined = true
	}
}

// missingRecords returns the records of the requested buckets that the peer did not send or sent in an older version. Dead
// and left records that the peer did not send are omitted.
func (m *Membership) missingRecords(reply *peerpb.SyncReply, n int) []*peerpb.MemberRecord {
	theirs := make(map[string]*Member, len(reply.GetRecords()))
	for _, msg := range reply.GetRecords() {
		if r := fromMessage(msg, &m.records.names); r != nil {
			theirs[r.Address] = r
		}
	}
	var out []*peerpb.MemberRecord
	size := 0
	for _, b := range reply.GetWantBuckets() {
		if int(b) >= n {
			continue
		}
		for _, r := range m.records.bucketMembers(int(b), n) {
			peerRecord := theirs[r.Address]
			if peerRecord == nil && !r.State.Live() || peerRecord != nil && !r.supersedes(peerRecord) {
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

// antiEntropy starts an exchange with a random ring neighbour or partner or, once in crossPlaceRounds, with the partner in
// another place.
func (m *Membership) antiEntropy(ctx context.Context) {
	m.mu.Lock()
	m.refreshPartners(m.clock.Now())
	candidates := append(addresses(m.records.successors(m.cfg.Place, m.cfg.Address, pushRingPeers)), m.partners.local...)
	if remote := m.partners.remote; remote != "" && (len(candidates) == 0 || m.schedule.rounds%crossPlaceRounds == 0) {
		candidates = []string{remote}
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

// reconnect starts an exchange with one random dead member or configured peer that is not a member, so that the parts of a
// fleet rejoin after a partition.
func (m *Membership) reconnect(ctx context.Context) {
	var candidates []string
	for _, key := range append(m.records.tombstoneKeys(), m.cfg.Peers...) {
		r := m.records.get(key)
		if isLink(key) || key == m.cfg.Address || r != nil && r.State != Dead {
			continue
		}
		candidates = append(candidates, key)
	}
	if len(candidates) == 0 {
		return
	}
	slices.Sort(candidates)
	m.mu.Lock()
	target := candidates[m.random.IntN(len(candidates))]
	m.mu.Unlock()
	m.tasks.Go(func() {
		if m.exchange(ctx, target) {
			if r := m.records.get(target); r != nil {
				m.push(ctx, target, []*peerpb.MemberRecord{r.message()})
			}
		}
	})
}

// resyncPeers is the number of ring neighbours with which records are exchanged after a pause.
const resyncPeers = 3

// resync exchanges records with several peers after a pause of this process. After a pause longer than half of the
// retention, the peers may have removed the tombstones that would correct the records held here, so these records are
// dropped and fetched again.
func (m *Membership) resync(ctx context.Context, longPause bool) {
	peers := addresses(m.records.successors(m.cfg.Place, m.cfg.Address, resyncPeers))
	m.mu.Lock()
	peers = append(peers, m.partners.local...)
	if m.partners.remote != "" {
		peers = append(peers, m.partners.remote)
	}
	if longPause {
		m.schedule.joined, m.schedule.matchingRounds, m.schedule.rounds = false, 0, 0
	}
	m.mu.Unlock()
	if longPause {
		for r := range m.records.all() {
			if r.Address != m.cfg.Address {
				m.records.remove(r.Address)
			}
		}
	}
	for _, address := range peers {
		m.tasks.Go(func() { m.exchange(ctx, address) })
	}
}

// sendSync sends a request with the fields common to all requests filled in, counts it and applies SyncTimeout.
func (m *Membership) sendSync(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
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
