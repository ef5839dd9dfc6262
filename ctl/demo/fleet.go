package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/client"
	"github.com/radishstand/radishstand/node/backendtest"
	"github.com/radishstand/radishstand/node/connection/platform/awsclient"
	"github.com/radishstand/radishstand/node/platformtest"
	"github.com/radishstand/radishstand/node/process/node"
)

const (
	loopback   = "127.0.0.1:0"
	token      = "demo"
	stopGrace  = 300 * time.Millisecond
	renewEvery = 500 * time.Millisecond
	// stopTimeout is the setting drain.maxMs. When the whole fleet stops at once, the last nodes find no holder for the
	// outcomes that their ledger clients still have to record, and retry until this timeout.
	stopTimeout = 2 * time.Second
	// readyWithin bounds the start of the fleet, and stopWithin its stop.
	readyWithin = 10 * time.Second
	stopWithin  = 5 * time.Second
	pollEvery   = 50 * time.Millisecond
	// portAttempts is the number of attempts to start a node: another process may take a free port before the node listens.
	portAttempts = 5
)

// member is a node with its backend server.
type member struct {
	config    node.Config
	operators *client.Client
	server    *backendtest.Server
	started   time.Time
}

// fleet is a running deployment: the platform stand-in and all members.
type fleet struct {
	platform *platformtest.Server
	members  []*member
	log      *log.Logger
	cancel   context.CancelFunc
	running  sync.WaitGroup
	mu       sync.Mutex
	failures []error
}

// startFleet starts the platform, all nodes and all servers, commits the settings and waits until every node lists every
// server. The caller must stop the fleet even after an error.
func startFleet(ctx context.Context, d deployment, logger *log.Logger) (*fleet, error) {
	f := &fleet{platform: platformtest.NewServer(platformtest.NewMemory()), log: logger}
	var running context.Context
	running, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := f.platform.Start(loopback); err != nil {
		return f, err
	}
	for _, s := range d.services {
		for range s.servers {
			place := d.places[len(f.members)%len(d.places)]
			if err := f.startMember(running, place, s, d.slots); err != nil {
				return f, err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := f.commitSettings(ctx, d); err != nil {
		return f, err
	}
	return f, f.awaitReady(ctx, d)
}

// startMember starts a node and its backend server, and keeps the server announced to the node.
func (f *fleet) startMember(ctx context.Context, place string, s service, slots int) error {
	m := &member{}
	n, client, err := f.newNode(place, m)
	if err != nil {
		return err
	}
	f.running.Go(func() {
		defer client.Close()
		if err := n.Run(ctx); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.failures = append(f.failures, fmt.Errorf("node %s: %w", m.config.Advertise, err))
		}
	})
	if m.server, err = backendtest.Start(s.name, slots); err != nil {
		return err
	}
	f.members = append(f.members, m)
	m.started = time.Now()
	m.server.Set(backendtest.Behaviour{ServiceTime: s.serviceTime})
	return m.server.KeepAnnounced(m.config.ListenServer, renewEvery)
}

// newNode creates a node that listens on free ports, and its platform client.
func (f *fleet) newNode(place string, m *member) (*node.Node, *awsclient.Client, error) {
	platform := awsclient.DefaultConfig()
	platform.TableEndpoint, platform.ObjectsEndpoint = f.platform.URL(), f.platform.URL()
	platform.AccessKey, platform.SecretKey = token, token
	store, err := awsclient.New(platform)
	if err != nil {
		return nil, nil, err
	}
	for range portAttempts {
		var n *node.Node
		if m.config, err = configOf(place, platform); err != nil {
			break
		}
		if n, err = node.New(m.config, node.Store{Table: store, Objects: store}, f.log); err == nil {
			m.operators = client.New(m.config.ListenOperators, token)
			return n, store, nil
		}
	}
	store.Close()
	return nil, nil, err
}

// configOf returns the configuration of a node with free ports.
func configOf(place string, platform awsclient.Config) (node.Config, error) {
	c := node.Config{
		Place: place, Platform: platform, Operators: node.OperatorAccess{Token: token}, TLS: node.TLSConfig{Insecure: true}, StopGrace: stopGrace,
	}
	for _, to := range []*string{&c.ListenCallers, &c.ListenPeers, &c.ListenServer, &c.ListenOperators} {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return c, err
		}
		defer listener.Close()
		*to = listener.Addr().String()
	}
	return c, c.Provision()
}

// commitSettings submits the settings of the deployment as the first version.
func (f *fleet) commitSettings(ctx context.Context, d deployment) error {
	tree, err := settings.Parse(d.settings())
	if err != nil {
		return err
	}
	_, err = f.members[0].operators.Submit(ctx, operator.PathChanges, operator.Change{
		ID: "demo-base", Author: "demo", Edits: settings.EditsBetween(&settings.Tree{}, tree),
	})
	return err
}

// awaitReady waits until every node has settings in force and lists all servers.
func (f *fleet) awaitReady(ctx context.Context, d deployment) error {
	for _, m := range f.members {
		for !m.ready(ctx, d.nodeCount()) {
			select {
			case <-ctx.Done():
				return errors.New("timeout waiting for all nodes to have settings and list all servers")
			case <-time.After(pollEvery):
			}
		}
	}
	return nil
}

func (m *member) ready(ctx context.Context, servers int) bool {
	var list []operator.Server
	err := m.operators.Get(ctx, operator.PathServers, nil, &list)
	return err == nil && len(list) == servers && m.version(ctx) > 0
}

// version returns the settings version in force at the node, or 0 when it does not answer.
func (m *member) version(ctx context.Context) int64 {
	var s operator.Status
	if err := m.operators.Get(ctx, operator.PathStatus, nil, &s); err != nil {
		return 0
	}
	return s.SettingsVersion
}

// targets returns the addresses of the callers' listeners of all nodes.
func (f *fleet) targets() []string {
	var list []string
	for _, m := range f.members {
		list = append(list, m.config.ListenCallers)
	}
	return list
}

// memberWith returns the i-th member, counted from 0, that has a server of the service.
func (f *fleet) memberWith(service string, i int) *member {
	for _, m := range f.members {
		if m.server.Service != service {
			continue
		}
		if i == 0 {
			return m
		}
		i--
	}
	panic("demo: too few servers of " + service) // unreachable: deployments are constant
}

// stop stops all nodes, servers and the platform. It returns the errors of nodes that failed or did not stop in time.
func (f *fleet) stop() error {
	f.cancel()
	done := make(chan struct{})
	go func() {
		f.running.Wait()
		close(done)
	}()
	var timeoutErr error
	select {
	case <-done:
	case <-time.After(stopWithin):
		timeoutErr = fmt.Errorf("nodes did not stop within %s", stopWithin)
	}
	for _, m := range f.members {
		m.server.Close()
	}
	f.platform.Stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(append(f.failures, timeoutErr)...)
}
