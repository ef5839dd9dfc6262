package node

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/looplab/fsm"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"

	"github.com/radishstand/radishstand/node/connection/peer"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/process/measure"
	"github.com/radishstand/radishstand/node/process/registry"
)

// States of the node process.
const (
	StateStarting = "starting"
	StateServing  = "serving"
	StateStopping = "stopping"
	StateStopped  = "stopped"
)

const (
	eventServe = "serve"
	eventStop  = "stop"
	eventEnd   = "end"
)

func newStateMachine() *fsm.FSM {
	return fsm.NewFSM(StateStarting, fsm.Events{
		{Name: eventServe, Src: []string{StateStarting}, Dst: StateServing},
		{Name: eventStop, Src: []string{StateStarting, StateServing}, Dst: StateStopping},
		{Name: eventEnd, Src: []string{StateStopping}, Dst: StateStopped},
	}, nil)
}

// serverCheckInterval is the interval at which overdue announcements of the backend server are detected.
const serverCheckInterval = 250 * time.Millisecond

// Store groups the platform's table service and object store.
type Store struct {
	Table   platform.Table
	Objects platform.Objects
}

// Node is a node process: its sockets, its request path and its part in the fleet.
type Node struct {
	config Config
	// id is the peer address. A replacement host reuses it and supersedes its predecessor by a higher incarnation.
	id           string
	log          *log.Logger
	stateMachine *fsm.FSM
	core         *core
	pool         *peer.Pool
	fleet        *fleet
	recent       *recentCalls
	// metrics is a registry per node and not per process, since the demo runs several nodes in one process.
	metrics metrics.Registry

	certificates  *certificates
	authenticator *authenticator
	listeners     *listeners
	servers       *servers
	stop          context.CancelFunc
	loops         sync.WaitGroup
	fatal         chan error
}

// New creates a node and opens its sockets. Config.Provision must have been called on the configuration.
func New(config Config, store Store, logger *log.Logger) (*Node, error) {
	l, err := listen(&config)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	n := &Node{
		config: config, id: config.Advertise, log: logger, stateMachine: newStateMachine(), listeners: l,
		fatal: make(chan error, 4), metrics: metrics.NewRegistry(),
	}
	n.recent = newRecentCalls(newCallMetrics(n.metrics))
	n.certificates, n.authenticator =
		newCertificates(&n.config, n.reloadFailed), newAuthenticator(config.Operators, n.reloadFailed)
	l.enableTLS(n.certificates, n.authenticator.clientAuth())
	_, client := peerCredentials(n.certificates.peers)
	n.assemble(store, client)
	return n, nil
}

// reloadFailed counts and logs a failed reload of certificate, token or CA files.
func (n *Node) reloadFailed(err error) {
	n.countEvent(counterReloadFailures)
	n.log.Warn("reload of replaced files failed", "component", "tls", "error", err)
}

func (n *Node) assemble(store Store, client credentials.TransportCredentials) {
	n.pool = peer.NewPool(client)
	n.fleet = newFleet(n, store)
	n.core = newCore(coreConfig{
		nodeID: n.id, place: n.config.Place, pool: n.pool, ledger: n.fleet.ledgerClient, observer: n.recent,
		log: n.log, maxInProgress: int64(n.config.MaxInProgress), onServerChange: n.serverChanged, track: n.fleet.track,
		roundTrip: n.fleet.roundTrips.additionalTo,
	})
	n.fleet.assemble(n.core)
	n.registerGauges()
	n.servers = n.newServers(n.operators(), n.fleet.service(n.core.serve))
}

// Config returns the configuration, with the actual addresses of the sockets.
func (n *Node) Config() Config { return n.config }

// Run serves until ctx ends or a fatal error occurs, then drains and stops. It returns nil after a planned stop.
func (n *Node) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.stop = cancel
	n.servers.serve(n.listeners, func(err error) { n.fatal <- err })
	n.loops.Go(func() { n.watchServer(running) })
	n.loops.Go(func() { n.watchSettings(running) })
	n.fleet.start(running, &n.loops)
	_ = n.stateMachine.Event(ctx, eventServe)
	n.log.Info("serving", "component", "node", "node", n.id, "place", n.config.Place)
	var err error
	select {
	case <-ctx.Done():
	case err = <-n.fatal:
		n.log.Error("listener failed", "component", "node", "error", err)
	}
	n.shutdown()
	return err
}

// shutdown announces to peers that the node is leaving, waits for the calls in progress and stops the background loops.
func (n *Node) shutdown() {
	_ = n.stateMachine.Event(context.Background(), eventStop)
	n.log.Info("draining", "component", "node")
	n.core.registry.Stop()
	drainTimeout := n.drainTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	select {
	case <-time.After(n.config.StopGrace):
	case <-ctx.Done():
	}
	n.servers.stop(ctx)
	n.fleet.leave(ctx)
	n.stop()
	n.loops.Wait()
	n.pool.Close()
	_ = n.stateMachine.Event(context.Background(), eventEnd)
	n.log.Info("stopped", "component", "node")
}

func (n *Node) drainTimeout() time.Duration {
	service := ""
	if server := n.core.registry.Current(); server != nil {
		service = server.Announced.Service
	}
	return time.Duration(n.core.values(service).Drain.MaxMs) * time.Millisecond
}

// serverChanged logs a change of the local backend server and publishes it to the fleet.
func (n *Node) serverChanged(server *registry.Server) {
	if server == nil {
		n.log.Info("backend server removed", "component", "registry")
	} else {
		n.log.Info("backend server changed", "component", "registry", "server", server.ID, "service", server.Announced.Service,
			"state", server.State())
	}
	n.fleet.serverChanged(server)
}

// watchServer periodically checks the backend server for overdue announcements and closes idle peer streams.
func (n *Node) watchServer(ctx context.Context) {
	ticker := time.NewTicker(serverCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.checkServer(ctx)
			n.pool.CloseIdleStreams(now)
		}
	}
}

func (n *Node) checkServer(ctx context.Context) {
	server := n.core.registry.Overdue()
	if server == nil {
		return
	}
	report, err := server.Meter.Probe(ctx, n.core.values(server.Announced.Service).Measure.HealthPath)
	if eris.Is(err, measure.ErrBudget) {
		return
	}
	n.core.registry.RecordCheck(server, err == nil && report.Healthy)
}

// watchSettings applies each new version of the settings to the node.
func (n *Node) watchSettings(ctx context.Context) {
	changed, cancel := n.core.settings.Subscribe()
	defer cancel()
	n.core.applySettings()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			n.core.applySettings()
			n.fleet.settingsChanged()
			version := n.core.settings.Current().Version
			n.fleet.members.SetSettingsVersion(version)
			n.log.Info("settings in force", "component", "settings", "version", version)
		}
	}
}
