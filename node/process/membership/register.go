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
	// firstPeerRows is the number of rows read to find first peers, firstPeerPages how often that is done in a row when
	// none answers, and firstPeers the number of answers that suffices.
	firstPeerRows  = 16
	firstPeerPages = 4
	firstPeers     = 3
	// registerAttempts bounds the reads and writes of one registration.
	registerAttempts = 5
)

// row is the opaque part of a registration.
type row struct {
	// Registration identifies the process that wrote the row, by which a write with a lost answer is recognized.
	Registration string `json:"registration"`
	Address      string `json:"address"`
	Place        string `json:"place"`
	Left         bool   `json:"left,omitempty"`
}

// registrar holds the node's row in the table. It is used by one goroutine at a time.
type registrar struct {
	id   string
	wake chan struct{}
}

// rowKey orders the rows by the hash of the address, so that new nodes read different rows from the one partition.
func rowKey(address string) platform.Key {
	return platform.Key{Partition: rowPartition, Sort: fmt.Sprintf("%016x/%s", xxhash.Sum64String(address), address)}
}

func (m *Membership) wakeRegistration() {
	select {
	case m.registrar.wake <- struct{}{}:
	default:
	}
}

// keepRegistered obtains the incarnation, finds first peers and refreshes the registration until the context ends. It
// fails only when another process owns the address.
func (m *Membership) keepRegistered(ctx context.Context) error {
	wait := m.timing.StoreRetry
	for {
		err := m.register(ctx)
		if errors.Is(err, ErrSuperseded) {
			return err
		}
		answered := !m.alone() || m.findPeers(ctx)
		if err != nil {
			m.log.Warn("registration failed", "error", err)
			if answered {
				m.takeProvisional()
			}
		}
		pause := wait
		if err == nil && !m.alone() {
			wait = m.timing.StoreRetry
			pause = m.timing.RefreshEvery
		} else {
			wait = min(2*wait, m.timing.StoreRetryMax)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-m.registrar.wake:
		case <-m.clock.After(m.spread(pause)):
		}
	}
}

// spread returns a random time between half and the whole of d, so that nodes that started together do not write together.
func (m *Membership) spread(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)))
}

// alone reports whether no other live member is known.
func (m *Membership) alone() bool {
	for _, place := range m.table.places() {
		for _, r := range m.table.ring(place) {
			if r.Address != m.cfg.Address {
				return false
			}
		}
	}
	return true
}

// register makes the table's row name this process, with an incarnation above that of every predecessor, or refreshes
// the row. A write whose answer is lost is resolved by reading back the id of the registration; should it take effect
// only later, its condition no longer holds or it writes what was written meanwhile.
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
		want, done, decided := m.decideIncarnation(uint64(item.Numbers[numberIncarnation]), found)
		if decided != nil {
			return decided
		}
		if done && time.Unix(item.ExpiresUnix, 0).Sub(m.clock.Now()) > m.timing.RegistrationTTL-m.timing.RefreshEvery/2 {
			m.adopt(want, true)
			return nil
		}
		err = m.writeRow(ctx, item, want, false)
		if err == nil {
			m.adopt(want, true)
			return nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return err
		}
	}
	return err
}

// decideIncarnation returns the incarnation that the row should have and whether it has it already.
func (m *Membership) decideIncarnation(stored uint64, found row) (want uint64, done bool, err error) {
	o := &m.self
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case found.Registration == m.registrar.id && stored >= o.incarnation && stored > o.highest:
		return stored, true, nil
	case found.Registration != "" && found.Registration != m.registrar.id && o.registered:
		return 0, false, ErrSuperseded
	case o.registered && o.highest <= o.incarnation && stored < o.incarnation:
		// The row has expired or was deleted; nobody has outranked this node.
		return o.incarnation, false, nil
	}
	return max(stored+1, o.highest+1, o.incarnation), false, nil
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
	if err := json.Unmarshal(item.Data, &r); err != nil {
		return platform.Item{}, row{}, fmt.Errorf("registration of %s is not JSON: %w", m.cfg.Address, err)
	}
	return item, r, nil
}

// writeRow replaces the row that was read.
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

// takeProvisional lets a node join while the table is unavailable, one above the highest incarnation that the peers know
// for its address. Only a node that reached a peer does so; the registration later confirms or raises the incarnation.
func (m *Membership) takeProvisional() {
	m.self.mu.Lock()
	needed, incarnation := m.self.incarnation == 0, m.self.highest+1
	m.self.mu.Unlock()
	if needed {
		m.adopt(incarnation, false)
	}
}

// findPeers exchanges records with a few members named by the table, or by the configuration if the table names none that
// answers. It reports whether any peer answered.
func (m *Membership) findPeers(ctx context.Context) bool {
	if m.cfg.Table != nil {
		from := rowKey(m.cfg.Address).Sort
		for range firstPeerPages {
			addresses, next, err := m.readPeers(ctx, from)
			if err != nil {
				m.log.Warn("first peers not read", "error", err)
				break
			}
			if m.contact(ctx, addresses) {
				return true
			}
			from = next
		}
	}
	return m.contact(ctx, m.cfg.Peers)
}

// readPeers returns the addresses of the rows that follow, going round at the end, and where to go on.
func (m *Membership) readPeers(ctx context.Context, from string) (found []string, next string, err error) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.StoreTimeout)
	defer cancel()
	items, err := m.cfg.Table.Query(ctx, rowPartition, from, firstPeerRows)
	if err == nil && len(items) < firstPeerRows && from != "" {
		var start []platform.Item
		start, err = m.cfg.Table.Query(ctx, rowPartition, "", firstPeerRows-len(items))
		items = append(items, start...)
	}
	if err != nil {
		return nil, "", fmt.Errorf("read first peers: %w", err)
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

// contact exchanges records with the addresses until enough have answered.
func (m *Membership) contact(ctx context.Context, addresses []string) bool {
	answers := 0
	for _, address := range addresses {
		if address != m.cfg.Address && m.exchange(ctx, address) {
			if answers++; answers == firstPeers {
				break
			}
		}
	}
	return answers > 0
}

// Leave announces that this node leaves: to its peers at once, and in the table. It returns ErrNotRegistered when the
// table could not be written, which does no harm. Run is stopped afterwards by its context.
func (m *Membership) Leave(ctx context.Context) error {
	var incarnation uint64
	m.withSelf(func(o *owner) {
		o.left = true
		incarnation = o.incarnation
		m.raise(o)
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
		return errors.Join(ErrNotRegistered, err)
	}
	return nil
}

func newRegistrar() registrar {
	return registrar{id: uuid.NewString(), wake: make(chan struct{}, 1)}
}
