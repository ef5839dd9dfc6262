package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/process/budget"
	"github.com/radishstand/radishstand/node/process/localserver"
	"github.com/radishstand/radishstand/node/version/evacuation"
	"github.com/radishstand/radishstand/node/version/routing"
)

// Config is the configuration of a node.
type Config struct {
	// Name is the name of the host.
	Name  string
	Place string
	// Service is the service of the backend server at this host.
	Service string
	// ServerAddress is the address at which the backend server listens.
	ServerAddress string
	// AnnounceInterval is the interval at which the backend server announces itself.
	AnnounceInterval time.Duration
	Listen           Listen
	Limits           budget.Limits
	// MemoryBytes is the memory that the process may use; 0 when it is not limited.
	MemoryBytes int64
	// RevokeWithin is the longest time for which a revoked key may still work at any node, also while the store is unavailable; 0 if
	// there is no bound and nodes continue to accept keys without the store.
	RevokeWithin time.Duration
	// ApplyWithin is the time within which a routing version that the store has acknowledged must be in force at all nodes that reach the
	// store; 0 if there is no bound.
	ApplyWithin time.Duration
	// CPUShare is the share of a core that the process has; 0 if unknown.
	CPUShare float64
	// LinkBitsPerSecond is the speed of the host's link; 0 if unknown.
	LinkBitsPerSecond float64
	// StopGrace is the longest time between the signal to stop and the end of the process.
	StopGrace time.Duration
}

// Listen holds the addresses that a node listens on.
type Listen struct {
	// Callers receives the requests of callers and of the backend server.
	Callers string
	// Peers accepts the links of other nodes.
	Peers string
	// Ready serves the readiness check.
	Ready string
	// Announcements receives the backend server's announcements.
	Announcements string
	// Metrics serves counters, latencies and the dump of the process's state; when empty, none are served.
	Metrics string
}

// ErrHistoryGone is returned when the store does not have a revision, no longer holds the changes after it, or has changed its era
// during a read, so that the whole state must be read again.
var ErrHistoryGone = errors.New("history is no longer available")

// Revision identifies a state of the store: its era, and the row version in that era. Apart from its order it is opaque.
type Revision = evacuation.Revision

// OperatorState is what operators have written to the store.
type OperatorState struct {
	// Document is that of the newest routing version; nil if there is none, or if an earlier read has returned it.
	Document []byte
	// Evacuated holds the places whose servers get no calls.
	Evacuated []string
	Revision  Revision
}

// revision returns the revision of a state, which is zero for none.
func (s *OperatorState) revision() Revision {
	if s == nil {
		return Revision{}
	}
	return s.Revision
}

// Store is the platform's store, which holds the operators' routing and evacuations, and the addresses of the nodes.
type Store interface {
	// ObserveEra sets the function that is called with the era of each response, before the call returns. It is called
	// concurrently.
	ObserveEra(observe func(era uint64))
	// Routing reads the operators' state.
	Routing(ctx context.Context) (OperatorState, error)
	// AwaitRouting waits for a change after a state and returns the state with the change. Its document is nil when the routing
	// did not change. If the era has changed, only the revision of the result is valid. It returns ErrHistoryGone when the
	// store does not hold the changes after the revision.
	AwaitRouting(ctx context.Context, after OperatorState, wait time.Duration) (OperatorState, error)
	// Fleet returns the member entries of all nodes and the stored knees.
	Fleet(ctx context.Context) (Fleet, error)
	// AddMember writes the entry of a node if there is none for its address, and otherwise returns the entry that is there.
	AddMember(ctx context.Context, m Member) (existing *Member, err error)
	// PutMember writes the entry of a node.
	PutMember(ctx context.Context, m Member) error
	// RemoveMember deletes the entry of the node with an address.
	RemoveMember(ctx context.Context, address string) error
	// PutKnee writes the knee of the servers of a kind.
	PutKnee(ctx context.Context, kind ServerKind, knee int) error
}

// Member is the entry of a node in the store.
type Member struct {
	// Address is the address at which the node accepts links.
	Address string
	Name    string
	Place   string
	// Server is the backend server that has announced itself to the node last; empty if none has. It tells a later process of the
	// node what the server is that a health check finds.
	Server ServerIdentity
}

// ServerIdentity is a backend server and its service.
type ServerIdentity struct {
	ID      string
	Service string
}

// ServerKind identifies backend servers of the same service with the same number of slots.
type ServerKind struct {
	Service string
	Slots   int
}

// Fleet is the content of the store about the nodes.
type Fleet struct {
	// Members holds the entries of the nodes by address.
	Members map[string]Member
	// Knees holds, for each kind of server for which it was found, the number of calls in progress above which throughput
	// falls. It is stored so that the knees survive a restart of all nodes.
	Knees map[ServerKind]int
	// InvalidRows is the number of rows that name neither. Other programs may write to the table.
	InvalidRows int
}

// Adapter translates between the node and the names and formats of a deployment.
type Adapter interface {
	// Names returns the header names of callers and backend servers.
	Names() protocol.Names
	// ParseRouting parses the document of a routing version.
	ParseRouting(document []byte) (*routing.Version, error)
	// Announcements returns the HTTP handler that decodes the backend server's announcements and passes them on.
	Announcements(to AnnouncementHandler) http.Handler
	// Store returns the platform's store.
	Store() Store
}

// PeerDialer is implemented by adapters of deployments, and of tests, that do not connect nodes by plain TCP.
type PeerDialer interface {
	// DialPeer opens the connection to the node at an address.
	DialPeer(ctx context.Context, address string) (net.Conn, error)
}

// AnnouncementHandler handles the backend server's announcements.
type AnnouncementHandler interface {
	// Announce applies an announcement of the state of a server.
	Announce(a localserver.Announcement) error
	// Leave applies the announcement that a server ends.
	Leave(l localserver.Leave) error
}
