package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/platform"
)

const (
	rowPartition      = "member"
	numberIncarnation = "incarnation"
	// seedPageRows is the number of rows per read of seed peers, maxSeedPages the number of such reads in a row while no
	// peer answers, and requiredSeedPeers the number of peers that have to answer.
	seedPageRows      = 16
	maxSeedPages      = 4
	requiredSeedPeers = 3
	// registerAttempts limits the read-write cycles of one registration.
	registerAttempts = 5
)

// row is the encoded data of a registration, which the table service does not interpret.
type row struct {
	// Registration identifies the process that wrote the row. It shows whether a write whose reply was lost took effect.
	Registration string `json:"registration"`
	Address      string `json:"address"`
	Place        string `json:"place"`
	Left         bool   `json:"left,omitempty"`
}

// registrar holds the id of this process's registration and the channel that triggers a check of the registration.
type registrar struct {
	id      string
	trigger chan struct{}
}

// rowKey orders the rows by the hash of the address, so that new nodes read different rows of the single partition.
func rowKey(address string) platform.Key {
	return platform.Key{Partition: rowPartition, Sort: fmt.Sprintf("%016x/%s", xxhash.Sum64String(address), address)}
}

// triggerRegistration makes keepRegistered check the registration without waiting for the next refresh.
func (m *Membership) triggerRegistration() {
	select {
	case m.registrar.trigger <- struct{}{}:
	default:
	}
}

// keepRegistered obtains the incarnation, contacts seed peers and refreshes the registration until the context ends. It
// returns an error only if another process has registered the address.
func (m *Membership) keepRegistered(ctx context.Context) error {
	retryDelay := m.timing.StoreRetryDelay
	for {
		err := m.register(ctx)
		if errors.Is(err, ErrSuperseded) {
			return err
		}
		answered := !m.noOtherMembers() || m.findSeedPeers(ctx)
		if err != nil {
			m.log.Warn("registration failed", "error", err)
			if answered {
				m.setProvisionalIncarnation()
			}
		}
		delay := retryDelay
		if err == nil && !m.noOtherMembers() {
			retryDelay = m.timing.StoreRetryDelay
			delay = m.timing.RefreshInterval
		} else {
			retryDelay = min(2*retryDelay, m.timing.MaxStoreRetryDelay)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-m.registrar.trigger:
		case <-m.clock.After(m.jittered(delay)):
		}
	}
}

// jittered returns a random duration between d/2 and d, so that nodes that started at the same time do not write at the same
// time.
func (m *Membership) jittered(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)))
}

// noOtherMembers reports whether no other live member is known.
func (m *Membership) noOtherMembers() bool {
	for _, place := range m.records.places() {
		for _, r := range m.records.ring(place) {
			if r.Address != m.cfg.Address {
				return false
			}
		}
	}
	return true
}

// register writes a row that names this process, with an incarnation above that of every predecessor, or refreshes the
// row. If the reply to a write is lost, the next attempt reads back the id of the registration; if the write takes effect
// only later, its condition fails or it writes the same row again.
func (m *Membership) register(ctx context.Context) error {
	if m.cfg.Table == nil {
		return platform.ErrUnavailable
	}
	var err error
	for range registerAttempts {
		var item platform.Item
		var found row
		if item, found, err = m.readRow(ctx); err != nil {
			return err
		}
		want, done, decideErr := m.decideIncarnation(uint64(item.Numbers[numberIncarnation]), found)
		if decideErr != nil {
			return decideErr
		}
		if done && time.Unix(item.ExpiresUnix, 0).Sub(m.clock.Now()) > m.timing.RegistrationTTL-m.timing.RefreshInterval/2 {
			m.setIncarnation(want, true)
			return nil
		}
		err = m.writeRow(ctx, item, want, false)
		if err == nil {
			m.setIncarnation(want, true)
			return nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return err
		}
	}
	return err
}

// decideIncarnation returns the incarnation that the row should have and whether the row has it already. The error is
// ErrSuperseded if another process has registered the address.
func (m *Membership) decideIncarnation(stored uint64, found row) (want uint64, done bool, err error) {
	o := &m.self
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case found.Registration == m.registrar.id && stored >= o.incarnation && stored > o.highestReported:
		return stored, true, nil
	case found.Registration != "" && found.Registration != m.registrar.id && o.registered:
		return 0, false, ErrSuperseded
	case o.registered && o.highestReported <= o.incarnation && stored < o.incarnation:
		// The row has expired or was deleted, and no higher incarnation is known.
		return o.incarnation, false, nil
	}
	return max(stored+1, o.highestReported+1, o.incarnation), false, nil
}

func (m *Membership) readRow(ctx context.Context) (platform.Item, row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.StoreTimeout)
	defer cancel()
	item, err := m.cfg.Table.Get(ctx, rowKey(m.cfg.Address))
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Item{}, row{}, nil
	}
	if err != nil {
		return platform.Item{}, row{}, fmt.Errorf("read registration: %w", err)
	}
	var r row
	if err := json.Unmarshal(item.Data, &r); err != nil { // not written by a node, so it is replaced
		m.log.Warn("invalid registration", "address", m.cfg.Address, "error", err)
		return item, row{}, nil
	}
	return item, r, nil
}

// writeRow replaces the row that was read, provided that its incarnation is unchanged.
func (m *Membership) writeRow(ctx context.Context, read platform.Item, incarnation uint64, left bool) error {
	ctx, cancel := context.WithTimeout(ctx, m.timing.StoreTimeout)
	defer cancel()
	data, err := json.Marshal(row{Registration: m.registrar.id, Address: m.cfg.Address, Place: m.cfg.Place, Left: left})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	condition := platform.Condition{Absent: true}
	if read.Numbers != nil {
		condition = platform.Condition{Equal: map[string]int64{numberIncarnation: read.Numbers[numberIncarnation]}}
	}
	return m.cfg.Table.Transact(ctx, platform.Write{Kind: platform.Put, Condition: condition, Item: platform.Item{
		Key: rowKey(m.cfg.Address), Data: data, Numbers: map[string]int64{numberIncarnation: int64(incarnation)},
		ExpiresUnix: m.clock.Now().Add(m.timing.RegistrationTTL).Unix(),
	}})
}

// setProvisionalIncarnation lets a node join while the table service is unavailable, with an incarnation one above the
// highest that the peers hold for its address. The node must have reached a peer; the registration later confirms or
// raises the incarnation.
func (m *Membership) setProvisionalIncarnation() {
	m.self.mu.Lock()
	needed, incarnation := m.self.incarnation == 0, m.self.highestReported+1
	m.self.mu.Unlock()
	if needed {
		m.setIncarnation(incarnation, false)
	}
}

// findSeedPeers exchanges records with a few members listed by the table service, or with the configured peers if none of
// those answers. It reports whether any peer answered.
func (m *Membership) findSeedPeers(ctx context.Context) bool {
	if m.cfg.Table != nil {
		from := rowKey(m.cfg.Address).Sort
		for range maxSeedPages {
			addresses, next, err := m.readSeedPage(ctx, from)
			if err != nil {
				m.log.Warn("failed to read seed peers", "error", err)
				break
			}
			if m.exchangeWithSeedPeers(ctx, addresses) {
				return true
			}
			from = next
		}
	}
	return m.exchangeWithSeedPeers(ctx, m.cfg.Peers)
}

// readSeedPage returns the addresses in the rows that follow the sort key from, wrapping around at the end, and the sort key
// at which the next page starts.
func (m *Membership) readSeedPage(ctx context.Context, from string) (found []string, next string, err error) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.StoreTimeout)
	defer cancel()
	items, err := m.cfg.Table.Query(ctx, rowPartition, from, seedPageRows)
	if err == nil && len(items) < seedPageRows && from != "" {
		var start []platform.Item
		start, err = m.cfg.Table.Query(ctx, rowPartition, "", seedPageRows-len(items))
		items = append(items, start...)
	}
	if err != nil {
		return nil, "", fmt.Errorf("read seed peers: %w", err)
	}
	for _, item := range items {
		var r row
		if json.Unmarshal(item.Data, &r) == nil && !r.Left && r.Address != m.cfg.Address {
			found = append(found, r.Address)
		}
		next = item.Key.Sort + "\x00"
	}
	return found, next, nil
}

// exchangeWithSeedPeers exchanges records with the addresses until requiredSeedPeers of them have answered. It reports
// whether any answered.
func (m *Membership) exchangeWithSeedPeers(ctx context.Context, addresses []string) bool {
	answers := 0
	for _, address := range addresses {
		if address != m.cfg.Address && m.exchange(ctx, address) {
			if answers++; answers == requiredSeedPeers {
				break
			}
		}
	}
	return answers > 0
}

// Leave announces to the peers that this node leaves and records it in the table service. It returns ErrLeaveNotRecorded if
// the table service could not be read or written, which does no harm. Run continues until its context ends.
func (m *Membership) Leave(ctx context.Context) error {
	var incarnation uint64
	m.updateSelf(func(o *ownRecord) {
		o.left = true
		incarnation = o.incarnation
		m.publishSelf(o)
	})
	own := m.Self()
	if own == nil {
		return nil
	}
	m.mu.Lock()
	targets := m.pushTargets(m.clock.Now(), true)
	m.mu.Unlock()
	var pushes sync.WaitGroup
	for _, address := range targets {
		pushes.Go(func() { m.push(ctx, address, []*peerpb.MemberRecord{own.message()}) })
	}
	pushes.Wait()
	if m.cfg.Table == nil {
		return nil
	}
	item, found, err := m.readRow(ctx)
	if err == nil && found.Registration == m.registrar.id {
		err = m.writeRow(ctx, item, incarnation, true)
	}
	if err != nil {
		return errors.Join(ErrLeaveNotRecorded, err)
	}
	return nil
}

func newRegistrar() registrar {
	return registrar{id: uuid.NewString(), trigger: make(chan struct{}, 1)}
}
