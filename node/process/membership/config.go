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
	// ErrSuperseded means that another process has registered this node's address. The node must stop.
	ErrSuperseded = errors.New("membership: another process has registered this address")
	// ErrLeaveNotRecorded means that the table service has not recorded the leave; peers were notified.
	ErrLeaveNotRecorded = errors.New("membership: the leave is not recorded in the table")
)

// Transport sends requests to peers by address. An error means that no reply was received.
type Transport interface {
	Ping(ctx context.Context, address string, req *peerpb.PingRequest) (*peerpb.PingReply, error)
	Sync(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error)
}

// Clock is the source of time. After must be monotonic.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock implements Clock with the system time.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Config configures a Membership.
type Config struct {
	// Address is where peers reach this node; it is the node's identity.
	Address string
	// Place is the place of this node.
	Place string
	// Peers are the addresses contacted when the table service is unavailable or names no peer that answers, and at
	// ReconnectInterval while they are not members.
	Peers []string
	// Table is the table service, which assigns incarnations and lists seed peers. If it is nil, peers come from Peers
	// only, and the node's incarnation from what those peers hold.
	Table platform.Table
	// OnPeerVersion, if set, is called with the settings version that a peer has in force. It must not block.
	OnPeerVersion func(address string, version int64)
	// Log is optional.
	Log *log.Logger
	// Timing overrides the default intervals and timeouts; zero fields keep the defaults.
	Timing Timing
}

// Timing holds the intervals and timeouts of the package.
type Timing struct {
	// Tick is the period of the main loop and the delay with which changes are batched.
	Tick time.Duration
	// PingInterval is the period of pings to one monitored peer.
	PingInterval time.Duration
	// RetryInterval is the period of pings to a failing peer.
	RetryInterval time.Duration
	// PingTimeout is the timeout of a direct ping. Pings through a relay and to other places have twice this timeout.
	PingTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute before it may be declared dead.
	SuspicionTimeout time.Duration
	// UnconfirmedTimeout is the duration after which a failure counts although no other member is left to confirm it.
	// It is longer than most restarts of a host's network.
	UnconfirmedTimeout time.Duration
	// PauseThreshold is the gap between inputs of the detector (ticks and ping results) from which this process is
	// considered to have been paused.
	PauseThreshold time.Duration
	// SyncInterval is the period of anti-entropy.
	SyncInterval time.Duration
	// JoinSyncInterval is the period of anti-entropy until a new node holds the records of the fleet.
	JoinSyncInterval time.Duration
	// SyncTimeout bounds an exchange of records.
	SyncTimeout time.Duration
	// PartnerLifetime is the mean time after which a random partner is replaced. A new partner costs a connection with a
	// TLS handshake, about 5 KB.
	PartnerLifetime time.Duration
	// ReconnectInterval is the period of exchanges with a dead member or a configured peer that is not a member, which
	// rejoin the halves of the fleet after a partition.
	ReconnectInterval time.Duration
	// Retention is how long dead and left records are kept. It must exceed the longest partition or pause after which
	// outdated records may arrive.
	Retention time.Duration
	// LinkProbeInterval is the period of a prober's pings to another place; it doubles while the place answers.
	LinkProbeInterval time.Duration
	// RefreshInterval is the period of rewriting the registration. 13,000 nodes make 0.6 writes/s at 6 h.
	RefreshInterval time.Duration
	// RegistrationTTL is the time to live of a row in the table service. It must exceed Retention, since the
	// incarnations of an expired row are assigned again.
	RegistrationTTL time.Duration
	// StoreTimeout bounds one operation on the table service.
	StoreTimeout time.Duration
	// StoreRetryDelay is the first delay after a failed registration; it doubles up to MaxStoreRetryDelay.
	StoreRetryDelay, MaxStoreRetryDelay time.Duration
}

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.Tick, 100*time.Millisecond)
	set(&t.PingInterval, 3*time.Second)
	set(&t.RetryInterval, time.Second)
	set(&t.PingTimeout, 500*time.Millisecond)
	set(&t.SuspicionTimeout, 5*time.Second)
	set(&t.UnconfirmedTimeout, 30*time.Second)
	set(&t.PauseThreshold, 2*time.Second)
	set(&t.SyncInterval, 10*time.Second)
	set(&t.JoinSyncInterval, 250*time.Millisecond)
	set(&t.SyncTimeout, 2*time.Second)
	set(&t.PartnerLifetime, 2*time.Minute)
	set(&t.ReconnectInterval, 30*time.Second)
	set(&t.Retention, 6*time.Hour)
	set(&t.LinkProbeInterval, time.Second)
	set(&t.RefreshInterval, 6*time.Hour)
	set(&t.RegistrationTTL, 7*24*time.Hour)
	set(&t.StoreTimeout, 2*time.Second)
	set(&t.StoreRetryDelay, time.Second)
	set(&t.MaxStoreRetryDelay, time.Minute)
	return t
}
