//go:build linux

// Package faulttest proves the whole system under failure: real radishnode processes in three places on loopback, whose
// traffic passes through forwarders, around a stand-in of the platform and fake backend servers in the test process.
package faulttest

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/client"
	"github.com/radishstand/radishstand/node/backendtest"
	"github.com/radishstand/radishstand/node/platformtest"
)

const (
	// fleetSize gives two places three nodes, the least that can tell a dead node from a lost link, and the last one two.
	fleetSize = 8
	// hangLimit ends a wait that never succeeds. It says nothing about speed.
	hangLimit = 40 * time.Second
	pollEvery = 100 * time.Millisecond
	// readTimeout bounds one read of an operators' listener, whose node may be paused.
	readTimeout = time.Second
)

var places = []string{"danang", "hoian", "hue"}

const baseSettings = `{"defaults": {"call": {"timeoutMs": 1000}, "drain": {"maxMs": 5000}}, "places": {
  "danang": {"services": {"quotes": {}, "crews": {"call": {"class": "critical"}}}},
  "hoian": {"services": {"quotes": {}, "crews": {"call": {"class": "critical"}}}},
  "hue": {"services": {"quotes": {}, "crews": {"call": {"class": "critical"}}}}}}`

var program string

// TestMain builds radishnode, with the race detector if the tests have it.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "faulttest")
	program = filepath.Join(dir, "radishnode")
	build := exec.Command("go", "build", "-o", program)
	if info, _ := debug.ReadBuildInfo(); slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"}) {
		build.Args = append(build.Args, "-race")
	}
	build.Args = append(build.Args, "github.com/radishstand/radishstand/node/cmd/radishnode")
	if output, failed := build.CombinedOutput(); err != nil || failed != nil {
		panic(fmt.Sprintf("build radishnode: %v, %v\n%s", err, failed, output))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// node is a host with its slot for a node process. Its addresses stay when the process is replaced.
type node struct {
	fleet                                                *fleet
	place, advertise, callers, peers, server, operatorAt string
	operators                                            *client.Client
	backend                                              *backendtest.Server
	log                                                  *os.File
	process                                              atomic.Pointer[exec.Cmd]
	exited                                               chan error
	paused                                               bool
	// disturbed is odd while the process is away, paused or stopping.
	disturbed atomic.Int64
	// shown is the highest settings version that a process at this address showed; fresh is set until a new process shows
	// one, and startFaults is the fleet's storeFaults at its start.
	shown, startFaults atomic.Int64
	fresh              atomic.Bool
}

// fleet is the whole system with what its callers got.
type fleet struct {
	t       *testing.T
	dir     string
	store   *platformtest.Server
	network *network
	nodes   []*node
	// accepted is the highest version of the settings that an operator was told of; storeFaults is odd while the store is disturbed.
	accepted, storeFaults atomic.Int64
	monitors              sync.WaitGroup
	ended                 chan struct{}

	mu    sync.Mutex
	calls []*call
	keys  map[string][]*call
}

// lastPort is below the range of ephemeral ports, so that a replaced process finds its ports free.
var lastPort = 20000 + os.Getpid()%10000

func freeAddress() string {
	for {
		lastPort = 20000 + (lastPort+1)%10000
		address := fmt.Sprintf("127.0.0.1:%d", lastPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// newFleet starts nodes at the three places in turn, three with crews, three with quotes and again crews.
func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, dir: t.ArtifactDir(), store: platformtest.NewServer(platformtest.NewMemory()), keys: map[string][]*call{},
		ended: make(chan struct{}),
	}
	f.network = newNetwork(f.placeOf)
	require.NoError(t, f.store.Start("127.0.0.1:0"))
	t.Cleanup(f.close)
	for i := range fleetSize {
		f.nodes = append(f.nodes, f.newNode(i))
	}
	for _, n := range f.nodes {
		n.start()
		f.monitors.Go(n.monitor)
	}
	tree, err := settings.Parse([]byte(baseSettings))
	require.NoError(t, err)
	f.await("settings are accepted", func() bool {
		return f.submit(f.nodes[0], "base", 0, settings.EditsBetween(&settings.Tree{}, tree)) == nil
	})
	f.awaitAgreement()
	return f
}

func (f *fleet) newNode(i int) *node {
	n := &node{fleet: f, place: places[i%len(places)]}
	for _, to := range []*string{&n.advertise, &n.callers, &n.peers, &n.server, &n.operatorAt} {
		*to = freeAddress()
	}
	n.operators = client.New(n.operatorAt, "secret")
	n.disturbed.Store(1)
	var err error
	n.log, err = os.Create(filepath.Join(f.dir, fmt.Sprintf("node-%d-%s.log", i, n.place)))
	require.NoError(f.t, err)
	n.backend, err = backendtest.Start([]string{"crews", "quotes"}[i/len(places)%2], 8)
	require.NoError(f.t, err)
	n.backend.Set(backendtest.Behaviour{ServiceTime: 10 * time.Millisecond, AnswerBytes: answerBytes[n.backend.Service]})
	return n
}

func (n *node) start() {
	listener, err := net.Listen("tcp", n.advertise)
	require.NoError(n.fleet.t, err)
	cmd := exec.Command(program, "--tls.insecure", "--place", n.place, "--advertise", n.advertise, "--listen.callers", n.callers,
		"--listen.peers", n.peers, "--listen.server", n.server, "--listen.operators", n.operatorAt, "--operators.token", "secret",
		"--platform.tableEndpoint", n.fleet.store.URL(), "--platform.objectsEndpoint", n.fleet.store.URL(),
		"--platform.accessKey", "test", "--platform.secretKey", "test", "--memoryLimitMB", "200")
	for _, other := range n.fleet.nodes {
		cmd.Args = append(cmd.Args, "--peers", other.advertise)
	}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.startFaults.Store(n.fleet.storeFaults.Load())
	n.fresh.Store(true)
	require.NoError(n.fleet.t, cmd.Start())
	n.process.Store(cmd)
	n.exited = make(chan error, 1)
	go func(exited chan error) {
		err := cmd.Wait()
		_ = listener.Close()
		exited <- err
	}(n.exited)
	go n.fleet.network.serve(listener, n.place, n.peers)
	n.fleet.await(n.String()+" takes its server", func() bool { return n.backend.Announce(n.server, false) == nil })
	n.disturbed.Add(1)
}

func (n *node) String() string { return n.advertise + " at " + n.place }

// signal disturbs the process; the end of a pause is the only signal after which it is as before.
func (n *node) signal(s syscall.Signal) {
	if s != syscall.SIGCONT {
		n.disturbed.Add(1)
	}
	_ = n.process.Load().Process.Signal(s)
	n.paused = s == syscall.SIGSTOP
	if s == syscall.SIGCONT {
		n.disturbed.Add(1)
	}
}

// restore brings the node back from SIGSTOP, SIGKILL or SIGTERM.
func (n *node) restore() {
	if n.paused {
		n.signal(syscall.SIGCONT)
		return
	}
	n.awaitEnd()
	n.start()
}

// awaitEnd waits for the end of the process. One that was not killed must have ended well.
func (n *node) awaitEnd() {
	var err error
	select {
	case err = <-n.exited:
	case <-time.After(hangLimit):
		err = fmt.Errorf("it hangs")
	}
	if killed := n.process.Load().ProcessState; killed == nil || killed.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
		require.NoError(n.fleet.t, err, "end of %s", n)
	}
}

func (n *node) running() bool { return n.disturbed.Load()%2 == 0 }

// read reads a path of the operators' API; it leaves to alone when the node doesn't answer.
func (n *node) read(path string, query url.Values, to any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return n.operators.Get(ctx, path, query, to) == nil
}

func (n *node) status() (s operator.Status) {
	n.read(operator.PathStatus, nil, &s)
	return s
}

// view is what a node shows of settings and members.
func (n *node) view() string {
	var members []operator.Member
	n.read(operator.PathMembers, nil, &members)
	s := n.status()
	lines := []string{fmt.Sprintf("version %d, unreachable %v", s.SettingsVersion, s.Unreachable)}
	for _, m := range members {
		lines = append(lines, fmt.Sprintf("%s %s, incarnation %d with %q", m.Address, m.State, m.Incarnation, m.Service))
	}
	slices.Sort(lines[1:])
	return strings.Join(lines, "\n")
}

// placeOf finds the node whose process opened a connection.
func (f *fleet) placeOf(c net.Conn) string {
	socket := otherEnd(c)
	for _, n := range f.nodes {
		if cmd := n.process.Load(); cmd != nil && holds(cmd.Process.Pid, socket) {
			return n.place
		}
	}
	return ""
}

func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	require.Eventually(f.t, holds, hangLimit, pollEvery/2, what)
}

// submit sends a change of the settings until its outcome is known.
func (f *fleet) submit(n *node, id string, base int64, edits []settings.Edit) error {
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	change := operator.Change{ID: id, Author: "test", BaseVersion: base, Edits: edits}
	accepted, err := n.operators.Submit(ctx, operator.PathChanges, change)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted.Store(max(f.accepted.Load(), accepted.Version))
	return err
}

// disturbStore installs a fault of the store; nil ends it.
func (f *fleet) disturbStore(fault func(platformtest.Operation) platformtest.Fault) {
	if (fault != nil) != (f.storeFaults.Load()%2 == 1) {
		f.storeFaults.Add(1)
	}
	f.store.Memory().SetFault(fault)
}

func (f *fleet) close() {
	close(f.ended)
	f.monitors.Wait()
	for _, n := range f.nodes {
		if cmd := n.process.Load(); cmd != nil {
			_ = cmd.Process.Kill()
		}
		n.backend.Close()
		log, _ := os.ReadFile(n.log.Name())
		require.NotRegexp(f.t, "DATA RACE|panic: |fatal error: |handler panicked", string(log), n)
		_ = n.log.Close()
	}
	f.network.set(nil)
	f.store.Stop()
}
