//go:build linux

// Package faulttest tests the whole system under failures: radishnode processes in three places on loopback, which connect
// to each other through TCP forwarders, with a fake platform and fake backend servers in the test process.
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

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/client"
	"github.com/radishstand/radishstand/node/backendtest"
	"github.com/radishstand/radishstand/node/platformtest"
)

const (
	// fleetSize gives two places three nodes each, the fewest that can tell a dead node from a lost link, and the last
	// place two.
	fleetSize = 8
	// waitTimeout ends a wait that never succeeds. It is not a performance requirement.
	waitTimeout = 40 * time.Second
	pollEvery   = 100 * time.Millisecond
	// readTimeout bounds one read from an operators' listener, since its node may be paused.
	readTimeout = time.Second
)

var places = []string{"danang", "hoian", "hue"}

const baseSettings = `{"defaults": {"call": {"timeoutMs": 1000}, "drain": {"maxMs": 5000}}, "places": {
  "danang": {"services": {"quotes": {}, "crews": {"call": {"class": "critical"}}}},
  "hoian": {"services": {"quotes": {}, "crews": {"call": {"class": "critical"}}}},
  "hue": {"services": {"quotes": {}, "crews": {"call": {"class": "critical"}}}}}}`

var program string

// TestMain builds radishnode, with the race detector if the tests run with it.
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
	claimPorts()
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// node is a host that runs one node process at a time. Its addresses stay the same when the process is replaced.
type node struct {
	fleet                                                                *fleet
	place, advertiseAddr, callerAddr, peerAddr, serverAddr, operatorAddr string
	operatorClient                                                       *client.Client
	backend                                                              *backendtest.Server
	log                                                                  *os.File
	process                                                              atomic.Pointer[exec.Cmd]
	exited                                                               chan error
	paused                                                               bool
	// ending is set once the process was told to end.
	ending atomic.Bool
	// disturbed is odd while the process is down, paused or stopping.
	disturbed atomic.Int64
	// lastVersion is the last settings version that a process at this address reported. restarted is set from the start of
	// a process until it reports a version, and storeFaultsAtStart is the fleet's storeFaults at the start of the process.
	lastVersion, storeFaultsAtStart atomic.Int64
	restarted                       atomic.Bool
}

// fleet is the whole system and the calls of its callers.
type fleet struct {
	t       *testing.T
	dir     string
	store   *platformtest.Server
	network *network
	nodes   []*node
	// accepted is the highest settings version that was reported to an operator as accepted; storeFaults is odd while the
	// store has a fault.
	accepted, storeFaults atomic.Int64
	monitors, processes   sync.WaitGroup
	ended                 chan struct{}

	mu sync.Mutex
	// exits describes the processes that ended without having been told to.
	exits []string
	calls []*call
	keys  map[string][]*call
}

// newFleet starts nodes in the three places in turn: the first three serve crews, the next three quotes, the rest crews.
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
	for _, to := range []*string{&n.advertiseAddr, &n.callerAddr, &n.peerAddr, &n.serverAddr, &n.operatorAddr} {
		*to = freeAddress()
	}
	n.operatorClient = client.New(n.operatorAddr, "secret")
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
	listener, err := net.Listen("tcp", n.advertiseAddr)
	require.NoError(n.fleet.t, err)
	cmd := exec.Command(program, "--tls.insecure", "--place", n.place, "--advertise", n.advertiseAddr,
		"--listen.callers", n.callerAddr, "--listen.peers", n.peerAddr, "--listen.server", n.serverAddr,
		"--listen.operators", n.operatorAddr, "--operators.token", "secret",
		"--platform.tableEndpoint", n.fleet.store.URL(), "--platform.objectsEndpoint", n.fleet.store.URL(),
		"--platform.accessKey", "test", "--platform.secretKey", "test", "--memoryLimitMB", "200")
	for _, other := range n.fleet.nodes {
		cmd.Args = append(cmd.Args, "--peers", other.advertiseAddr)
	}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.storeFaultsAtStart.Store(n.fleet.storeFaults.Load())
	n.restarted.Store(true)
	require.NoError(n.fleet.t, cmd.Start())
	n.process.Store(cmd)
	n.ending.Store(false)
	exited := make(chan error, 1)
	n.exited = exited
	n.fleet.processes.Go(func() {
		err := cmd.Wait()
		if !n.ending.Load() {
			n.fleet.recordExit(n, err)
		}
		_ = listener.Close()
		exited <- err
	})
	go n.fleet.network.serve(listener, n.place, n.peerAddr)
	n.fleet.await(n.String()+" registers its server", func() bool { return n.backend.Announce(n.serverAddr, false) == nil })
	n.disturbed.Add(1)
}

func (n *node) String() string { return n.advertiseAddr + " at " + n.place }

// signal sends a signal to the process. Every signal but SIGCONT leaves it disturbed; SIGCONT ends the disturbance.
func (n *node) signal(s syscall.Signal) {
	if s != syscall.SIGCONT {
		n.disturbed.Add(1)
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.ending.Store(true)
	}
	_ = n.process.Load().Process.Signal(s)
	n.paused = s == syscall.SIGSTOP
	if s == syscall.SIGCONT {
		n.disturbed.Add(1)
	}
}

// restore resumes the process after SIGSTOP, or starts a new one after SIGKILL or SIGTERM.
func (n *node) restore() {
	if n.paused {
		n.signal(syscall.SIGCONT)
		return
	}
	n.awaitExit()
	n.start()
}

// awaitExit waits for the exit of the process, which must be clean unless the process was killed.
func (n *node) awaitExit() {
	var err error
	select {
	case err = <-n.exited:
	case <-time.After(waitTimeout):
		err = fmt.Errorf("the process did not exit in time")
	}
	if killed := n.process.Load().ProcessState; killed == nil || killed.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
		require.NoError(n.fleet.t, err, "end of %s", n)
	}
}

func (n *node) running() bool { return n.disturbed.Load()%2 == 0 }

// get reads a path of the operators' API into to, which stays unchanged when the node does not answer.
func (n *node) get(path string, query url.Values, to any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return n.operatorClient.Get(ctx, path, query, to) == nil
}

func (n *node) status() (s operator.Status) {
	n.get(operator.PathStatus, nil, &s)
	return s
}

// view returns the settings version, unreachable places and members that a node reports, as text.
func (n *node) view() string {
	var members []operator.Member
	n.get(operator.PathMembers, nil, &members)
	s := n.status()
	lines := []string{fmt.Sprintf("version %d, unreachable %v", s.SettingsVersion, s.Unreachable)}
	for _, m := range members {
		lines = append(lines, fmt.Sprintf("%s %s, incarnation %d with %q", m.Address, m.State, m.Incarnation, m.Service))
	}
	slices.Sort(lines[1:])
	return strings.Join(lines, "\n")
}

// placeOf returns the place of the node whose process opened a connection, or "" when no such process is left.
func (f *fleet) placeOf(c net.Conn) string {
	socket := peerSocket(c)
	for _, n := range f.nodes {
		if cmd := n.process.Load(); cmd != nil && hasSocket(cmd.Process.Pid, socket) {
			return n.place
		}
	}
	return ""
}

func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, waitTimeout, pollEvery/2, what)
}

// submit sends a change of the settings and returns when its outcome is known or waitTimeout has passed.
func (f *fleet) submit(n *node, id string, base int64, edits []settings.Edit) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	change := operator.Change{ID: id, Author: "test", BaseVersion: base, Edits: edits}
	accepted, err := n.operatorClient.Submit(ctx, operator.PathChanges, change)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted.Store(max(f.accepted.Load(), accepted.Version))
	return err
}

// setStoreFault sets the fault of the store; nil removes it.
func (f *fleet) setStoreFault(fault func(platformtest.Operation) platformtest.Fault) {
	if (fault != nil) != (f.storeFaults.Load()%2 == 1) {
		f.storeFaults.Add(1)
	}
	f.store.Memory().SetFault(fault)
}

func (f *fleet) close() {
	close(f.ended)
	f.monitors.Wait()
	for _, n := range f.nodes {
		if n.process.Load() != nil {
			n.signal(syscall.SIGKILL)
		}
	}
	f.processes.Wait()
	assert.Empty(f.t, f.exits, "processes that ended by themselves")
	for _, n := range f.nodes {
		n.backend.Close()
		log, _ := os.ReadFile(n.log.Name())
		if f.t.Failed() {
			f.t.Logf("end of the log of %s:\n%s", n, lastLines(log))
		}
		require.NotRegexp(f.t, "DATA RACE|panic: |fatal error: |handler panicked", string(log), n)
		_ = n.log.Close()
	}
	f.network.set(nil)
	f.store.Stop()
}

// recordExit records that a process has ended without having been told to, with the end of its log.
func (f *fleet) recordExit(n *node, err error) {
	log, _ := os.ReadFile(n.log.Name())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exits = append(f.exits, fmt.Sprintf("%s at %s: %v\n%s", n, time.Now().Format(time.RFC3339Nano), err, lastLines(log)))
}

// maxLogLines is the number of lines of a process's log that are printed after a failure.
const maxLogLines = 40

// lastLines returns the last lines of a log.
func lastLines(log []byte) string {
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	return strings.Join(lines[max(0, len(lines)-maxLogLines):], "\n")
}
