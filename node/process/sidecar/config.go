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
	// RevokeWithin is the time after which a key that operators took away must not work any more at any node, also without the
	// store; 0 if nodes without the store serve on.
	RevokeWithin time.Duration
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

// ErrHistoryGone is returned when the store no longer holds the changes after a revision, so that the whole document must be
// read again.
var ErrHistoryGone = errors.New("history is no longer available")

// Store is the platform's store, which holds the operators' routing and the addresses of the nodes.
type Store interface {
	// Routing returns the document of the newest routing version, nil when there is none, and the store's revision.
	Routing(ctx context.Context) (document []byte, revision uint64, err error)
	// AwaitRouting waits for a change after a revision. The document is nil when there was none. It returns ErrHistoryGone
	// when the store no longer holds the changes after the revision.
	AwaitRouting(ctx context.Context, after uint64, wait time.Duration) (document []byte, revision uint64, err error)
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
