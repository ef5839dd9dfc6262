package membership

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/platform"
)

// Errors of Run and Leave.
var (
	// ErrSuperseded means that another process has taken over this node's address. The node must stop.
	ErrSuperseded = errors.New("membership: another process has registered this address")
	// ErrNotRegistered means that the table has not confirmed the leave; peers were notified.
	ErrNotRegistered = errors.New("membership: the leave is not recorded in the table")
)

// Transport sends requests to peers by address. Errors mean that no answer came.
type Transport interface {
	Ping(ctx context.Context, address string, req *peerpb.PingRequest) (*peerpb.PingReply, error)
	Sync(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error)
}

// Clock is the source of time. After must be monotonic.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the clock of the process.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Config of a Membership.
type Config struct {
	// Address at which peers reach this node; it is the node's identity.
	Address string
	// Place of this node.
	Place string
	// Peers are addresses to try when the table is unavailable.
	Peers []string
	// Table gives incarnations and first peers. Without it, they come from Peers only.
	Table platform.Table
	// OnPeerVersion is called with the settings version that a peer has in force, if set. It must not block.
	OnPeerVersion func(address string, version int64)
	// Log is optional.
	Log *log.Logger
	// Timing overrides defaults; zero fields keep them.
	Timing Timing
}

// Timing holds the periods of the package.
type Timing struct {
	// Tick is the period of the main loop and the delay with which changes are batched.
	Tick time.Duration
	// PingEvery is the period of pings to one monitored peer.
	PingEvery time.Duration
	// RetryEvery is the period of pings to a peer that fails.
	RetryEvery time.Duration
	// PingTimeout bounds a direct ping; a ping through a helper gets twice as long.
	PingTimeout time.Duration
	// Suspicion is the time that a suspect has to refute.
	Suspicion time.Duration
	// Unconfirmed is the time after which a failure counts that no other member is left to confirm. It is longer than
	// most restarts of a host's network.
	Unconfirmed time.Duration
	// Pause is the gap between ticks from which this process counts as having been paused.
	Pause time.Duration
	// SyncEvery is the period of anti-entropy.
	SyncEvery time.Duration
	// JoinEvery is the period of anti-entropy until a new node holds the records of the fleet.
	JoinEvery time.Duration
	// SyncTimeout bounds an exchange of records.
	SyncTimeout time.Duration
	// PartnerEvery is the time after which a random partner is replaced by another one. A new partner costs a
	// connection with its TLS handshake, some 5 KB.
	PartnerEvery time.Duration
	// ReviveEvery is the period of exchanges with a dead member or a configured peer that is not a member, which
	// join the halves of a healed partition.
	ReviveEvery time.Duration
	// Retention is how long dead and left records are kept. It must exceed the longest partition or pause after which
	// old news may arrive.
	Retention time.Duration
	// LinkEvery is the period of a prober's pings to another place; it is twice as long while the place answers.
	LinkEvery time.Duration
	// RefreshEvery is the period of rewriting the registration. 13,000 nodes make 0.6 writes/s at 6 h.
	RefreshEvery time.Duration
	// RegistrationTTL is the life of a row in the table. It must exceed Retention, since an expired row gives its
	// incarnations again.
	RegistrationTTL time.Duration
	// StoreTimeout bounds one operation on the table.
	StoreTimeout time.Duration
	// StoreRetry is the first wait after a failed registration; it doubles up to StoreRetryMax.
	StoreRetry, StoreRetryMax time.Duration
}

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.Tick, 100*time.Millisecond)
	set(&t.PingEvery, 3*time.Second)
	set(&t.RetryEvery, time.Second)
	set(&t.PingTimeout, 500*time.Millisecond)
	set(&t.Suspicion, 5*time.Second)
	set(&t.Unconfirmed, 30*time.Second)
	set(&t.Pause, 2*time.Second)
	set(&t.SyncEvery, 10*time.Second)
	set(&t.JoinEvery, 250*time.Millisecond)
	set(&t.SyncTimeout, 2*time.Second)
	set(&t.PartnerEvery, 2*time.Minute)
	set(&t.ReviveEvery, 30*time.Second)
	set(&t.Retention, 6*time.Hour)
	set(&t.LinkEvery, time.Second)
	set(&t.RefreshEvery, 6*time.Hour)
	set(&t.RegistrationTTL, 7*24*time.Hour)
	set(&t.StoreTimeout, 2*time.Second)
	set(&t.StoreRetry, time.Second)
	set(&t.StoreRetryMax, time.Minute)
	return t
}
