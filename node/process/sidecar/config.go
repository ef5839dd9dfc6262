package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/process/budget"
	"github.com/radishstand/radishstand/node/process/localserver"
	"github.com/radishstand/radishstand/node/version/routing"
)

// Config is the configuration of a node.
type Config struct {
	// Name of the host.
	Name  string
	Place string
	// Service of the backend server at this host.
	Service string
	// ServerAddress is where the backend server listens.
	ServerAddress string
	Listen        Listen
	Limits        budget.Limits
	// StopGrace is the time between the signal to stop and the end of the process.
	StopGrace time.Duration
}

// Listen holds the addresses that a node listens on.
type Listen struct {
	// Callers is for the requests of callers and of the backend server.
	Callers string
	// Peers is for the links of other nodes.
	Peers string
	// Ready is for the readiness check.
	Ready string
	// Announcements is for the backend server's announcements.
	Announcements string
	// Metrics is for counters, latencies and the dump of the process's state; empty for none.
	Metrics string
}

// ErrHistoryGone means that the changes after a revision are no longer known; the whole has to be read.
var ErrHistoryGone = errors.New("history is no longer available")

// Store is the platform's store, which keeps what operators have set and the addresses of the nodes.
type Store interface {
	// Routing returns the document of the newest routing version, nil when there is none, and the store's revision.
	Routing(ctx context.Context) (document []byte, revision uint64, err error)
	// AwaitRouting waits for a change after a revision. The document is nil when there was none. It returns ErrHistoryGone.
	AwaitRouting(ctx context.Context, after uint64, wait time.Duration) (document []byte, revision uint64, err error)
	// Fleet returns the nodes' entries and the knees.
	Fleet(ctx context.Context) (Fleet, error)
	PutMember(ctx context.Context, m Member) error
	RemoveMember(ctx context.Context, address string) error
	PutKnee(ctx context.Context, kind ServerKind, knee int) error
}

// Member is the entry of a node in the store.
type Member struct {
	// Address of the node's links.
	Address string
	Name    string
	Place   string
}

// ServerKind is a kind of backend server.
type ServerKind struct {
	Service string
	Slots   int
}

// Fleet is what the store knows of the nodes.
type Fleet struct {
	// Members by address.
	Members map[string]Member
	// Knees holds the number of calls in progress above which servers of a kind get less done, where it was found. Nodes know
	// it from here when all have started anew.
	Knees map[ServerKind]int
}

// Adapter speaks the names and formats of a deployment.
type Adapter interface {
	// Names returns the header names of callers and backend servers.
	Names() protocol.Names
	// ParseRouting reads the document of a routing version.
	ParseRouting(document []byte) (*routing.Version, error)
	// Announcements returns the handler of the backend server's announcements.
	Announcements(to AnnouncementHandler) http.Handler
	Store() Store
}

// AnnouncementHandler takes what the backend server says of itself.
type AnnouncementHandler interface {
	Announce(a localserver.Announcement) error
	Leave(id string) error
}
