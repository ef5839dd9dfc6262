package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as in its site file.
const (
	contact      = 3 * time.Second
	drainTime    = 2 * time.Second
	grace        = 6 * time.Second
	lossSlack    = 200 * time.Millisecond
	configApply  = 2 * time.Second
	memoryMb     = 284
	restartDelay = 500 * time.Millisecond
)

// fleet is a deployment under test.
type fleet struct {
	folder   string
	started  time.Time
	prefix   string // of the machines' addresses
	store    *store
	nodes    []*node
	backends []*backend

	mu   sync.Mutex
	file *os.File
}

// node is a machine with a process of the project's node.
type node struct {
	fleet   *fleet
	name    string
	zone    string
	service string
	ip      string
	// Addresses for requesters, the backend, other nodes and readiness checks.
	outbound, control, inbound, readiness, appAddress string
	settings                                          string
	platform                                          *endpoint // the store as this machine sees it

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

func newFleet(recordPath string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &fleet{
		folder: folder, started: time.Now(), store: s, file: file,
		prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}, nil
}

// record writes a line to the record of the case.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.file, "%8.3f %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// addNode adds a machine of a service. Its process is started by start.
func (f *fleet) addNode(service, zone string) (*node, error) {
	i := len(f.nodes) + 1
	n := &node{fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, i), zone: zone, service: service, ip: f.prefix + strconv.Itoa(i)}
	for _, a := range []*string{&n.outbound, &n.control, &n.inbound, &n.readiness, &n.appAddress} {
		l, err := net.Listen("tcp4", n.ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // so that no port is taken twice
		*a = l.Addr().String()
	}
	var err error
	if n.platform, err = f.store.newEndpoint(); err != nil {
		return nil, err
	}
	n.settings = filepath.Join(f.folder, n.name+".json")
	if err := n.writeSettings(service); err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, nil
}

// writeSettings writes the settings file, with the service of the backend.
func (n *node) writeSettings(service string) error {
	settings := map[string]any{
		"self": map[string]any{
			"nodeName": n.name, "role": "node", "machineClass": "sidecar", "serves": []string{"sidecar"}, "ip": n.ip, "zone": n.zone,
			"region": "vn-central", "bootstrap": true, "appAddr": n.appAddress, "service": service,
			"limits": map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": memoryMb, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		},
		"network": map[string]any{
			"listen":    map[string]any{"inbound": n.inbound, "outbound": n.outbound, "ready": n.readiness, "controlPlane": n.control},
			"portRange": []int{7620, 7635}, "seeds": []string{}, "zones": map[string]string{"danang-a": "vn-central", "danang-b": "vn-central"},
		},
		"platform": map[string]any{
			"discovery": "static", "entryMode": "static", "heartbeatS": 1.5,
			"platform": map[string]any{"address": n.platform.listener.Addr().String(), "form": "table", "writesPerS": 400, "readsPerS": 2000},
		},
		"terms": map[string]any{"bounds": map[string]any{
			"contactS": 3, "ackS": 4, "drainS": 2, "graceS": 6, "lossSlackS": 0.2, "configApplyS": 2, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetExtra": 64, "recoveryS": 15,
		}},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, encoded, 0o600)
}

// start starts the process of the node with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/radishnode")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RADISHSTAND_CONFIG=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	n.fleet.record("node %s: started", n.name)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.record("node %s: %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// residentBytes returns the resident memory of the process, or 0 if it does not run.
func (n *node) residentBytes() int64 {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// ready reports whether the readiness check of the node passes.
func (n *node) ready() bool {
	response, err := control.Get("http://" + n.readiness + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

// awaitReady waits until all nodes are ready, and then until each serves a request of each of the given hosts and paths.
func (f *fleet) awaitReady(paths ...string) error {
	deadline := time.Now().Add(40 * time.Second)
	for _, n := range f.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			select {
			case <-n.ended: // the platform starts a process again that has ended
				if err := n.start(); err != nil {
					return err
				}
			default:
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, path := range paths {
			for {
				if a := n.send(request{method: "GET", path: path, deadline: time.Second}); a.status == 200 {
					break
				}
				if time.Now().After(deadline) {
					return errors.New("the fleet does not serve")
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

// stop ends everything that the case started.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.mu.Lock()
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	for _, n := range f.nodes {
		if n.ended != nil {
			<-n.ended
		}
	}
	for _, b := range f.backends {
		b.stop()
	}
	for _, n := range f.nodes {
		_ = n.platform.server.Close()
	}
	_ = f.store.server.Close()
	_ = f.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println(f.folder)
	}
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeout, objective    float64
	attempts              int
}

// host is the host of all routes.
const host = "shop.example"

// configuration returns the operator's configuration.
func configuration(version int, services []string, routes []route) []byte {
	var listed []map[string]any
	for _, s := range services {
		listed = append(listed, map[string]any{"name": s, "healthPath": healthPath, "maxConnections": 260, "protocol": "h1", "tls": false})
	}
	var pathRoutes []map[string]any
	for i, r := range routes {
		pathRoutes = append(pathRoutes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "prefix": r.prefix, "kind": r.kind, "timeoutS": r.timeout, "targetLatencyS": r.objective,
			"priority": 1, "service": r.service, "maxAttempts": r.attempts,
		})
	}
	encoded, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": listed,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"virtualHosts": []any{map[string]any{"host": host, "pathRoutes": pathRoutes}},
	})
	return encoded
}
