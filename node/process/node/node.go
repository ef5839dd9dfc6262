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

// States of a node's process.
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

func newLife() *fsm.FSM {
	return fsm.NewFSM(StateStarting, fsm.Events{
		{Name: eventServe, Src: []string{StateStarting}, Dst: StateServing},
		{Name: eventStop, Src: []string{StateStarting, StateServing}, Dst: StateStopping},
		{Name: eventEnd, Src: []string{StateStopping}, Dst: StateStopped},
	}, nil)
}

// checkEvery is how often the backend server is looked at for silence.
const checkEvery = 250 * time.Millisecond

// Store is the platform's table service and object store.
type Store struct {
	Table   platform.Table
	Objects platform.Objects
}

// Node is one running node.
type Node struct {
	config Config
	// id is the peer address: a replaced host takes it over and outranks its predecessor by its incarnation.
	id     string
	log    *log.Logger
	life   *fsm.FSM
	core   *core
	pool   *peer.Pool
	fleet  *fleet
	recent *recentCalls
	// metrics belong to the node and not to the process, since the demo runs several nodes in one.
	metrics metrics.Registry

	keys      *keys
	access    *access
	listeners *listeners
	servers   *servers
	stop      context.CancelFunc
	loops     sync.WaitGroup
	failed    chan error
}

// New opens the sockets of a node. The configuration must have been provisioned.
func New(config Config, store Store, logger *log.Logger) (*Node, error) {
	l, err := listen(&config)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	n := &Node{
		config: config, id: config.Advertise, log: logger, life: newLife(), listeners: l,
		failed: make(chan error, 4), metrics: metrics.NewRegistry(),
	}
	n.recent = newRecentCalls(newCallMetrics(n.metrics))
	n.keys, n.access = newKeys(&n.config, n.reloadFailed), newAccess(config.Operators, n.reloadFailed)
	l.protect(n.keys, n.access.clientAuth())
	_, client := peerCredentials(n.keys.peers)
	n.assemble(store, client)
	return n, nil
}

// reloadFailed reports replaced files that cannot be used.
func (n *Node) reloadFailed(err error) {
	n.countEvent(counterReloadFailures)
	n.log.Warn("replaced files are not used", "component", "tls", "error", err)
}

func (n *Node) assemble(store Store, client credentials.TransportCredentials) {
	n.pool = peer.NewPool(client)
	n.fleet = newFleet(n, store)
	n.core = newCore(coreConfig{
		nodeID: n.id, place: n.config.Place, pool: n.pool, ledger: n.fleet.ledger, observer: n.recent,
		log: n.log, limit: int64(n.config.MaxInProgress), changed: n.serverChanged, track: n.fleet.track, distance: n.fleet.distances.to,
	})
	n.fleet.assemble(n.core)
	n.registerGauges()
	n.servers = n.newServers(n.operators(), n.fleet.service(n.core.serve))
}

// Config returns the configuration with the addresses that the sockets got.
func (n *Node) Config() Config { return n.config }

// Run serves until ctx ends, then drains and stops. The error is nil after a planned stop.
func (n *Node) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.stop = cancel
	n.servers.serve(n.listeners, func(err error) { n.failed <- err })
	n.loops.Go(func() { n.watchServer(running) })
	n.loops.Go(func() { n.watchSettings(running) })
	n.fleet.start(running, &n.loops)
	_ = n.life.Event(ctx, eventServe)
	n.log.Info("serving", "component", "node", "node", n.id, "place", n.config.Place)
	var err error
	select {
	case <-ctx.Done():
	case err = <-n.failed:
		n.log.Error("listener failed", "component", "node", "error", err)
	}
	n.shutdown()
	return err
}

// shutdown announces to peers that the node is leaving, finishes the calls in progress and ends the process's loops.
func (n *Node) shutdown() {
	_ = n.life.Event(context.Background(), eventStop)
	n.log.Info("draining", "component", "node")
	n.core.registry.Stop()
	drainTime := n.drainTime()
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
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
	_ = n.life.Event(context.Background(), eventEnd)
	n.log.Info("stopped", "component", "node")
}

func (n *Node) drainTime() time.Duration {
	service := ""
	if server := n.core.registry.Current(); server != nil {
		service = server.Announced.Service
	}
	return time.Duration(n.core.values(service).Drain.MaxMs) * time.Millisecond
}

// serverChanged publishes the local server to the fleet.
func (n *Node) serverChanged(server *registry.Server) {
	if server == nil {
		n.log.Info("backend server gone", "component", "registry")
	} else {
		n.log.Info("backend server", "component", "registry", "server", server.ID, "service", server.Announced.Service,
			"state", server.State())
	}
	n.fleet.serverChanged(server)
}

// watchServer checks a backend server that has fallen silent.
func (n *Node) watchServer(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
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

// watchSettings puts each new version into force.
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
