package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backend is a stand-in for a backend server, as on the page PROTOCOL.md. Each start is a boot.
type backend struct {
	fleet   *fleet
	name    string
	service string
	address string
	slots   int
	node    *node
	quiet   bool // its runs are not recorded one by one
	// lateFirstBeat makes it send its first heartbeat one interval after its start.
	lateFirstBeat bool

	mu       sync.Mutex
	server   *http.Server // nil while the backend is down
	id       string
	born     int64
	sequence int
	state    string // ready or draining
	leaving  bool   // it has said that it drains or leaves
	silent   bool   // it sends no heartbeats
	work     time.Duration
	// loseAnswer is called for each run; the connection is reset after the run when it returns true.
	loseAnswer func() bool
	// header is added to each answer of a run.
	header  map[string]string
	running int
	waiting int
	free    *sync.Cond
	// runs holds the arrivals of requests that this backend began to work on, by request id.
	runs map[string][]time.Time
	// ackedAt is when a drain or a leave was confirmed.
	ackedAt time.Time
	stopped chan struct{}
}

func (f *fleet) newBackend(n *node, name string, slots int) *backend {
	b := &backend{
		fleet: f, name: name, service: n.service, address: n.appAddress, slots: slots, node: n, work: 100 * time.Millisecond,
		runs: map[string][]time.Time{},
	}
	b.free = sync.NewCond(&b.mu)
	f.backends = append(f.backends, b)
	return b
}

// start starts a boot. The clock is the time of day of its machine.
func (b *backend) start(id string, clock time.Time) error {
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.id, b.born, b.sequence, b.state, b.leaving, b.silent = id, clock.UnixMilli(), 0, "ready", false, false
	b.running, b.waiting, b.ackedAt = 0, 0, time.Time{}
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle)}
	b.stopped = make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(listener) }(b.server)
	go b.heartbeats(b.stopped)
	b.fleet.record("backend %s: boot of %s, born %d", b.name, id, b.born)
	return nil
}

// stop ends the boot at once, as a crash or an exit.
func (b *backend) stop() {
	b.mu.Lock()
	server := b.server
	b.server = nil
	if server != nil {
		close(b.stopped)
	}
	running := b.running
	b.mu.Unlock()
	if server != nil {
		_ = server.Close()
		b.fleet.record("backend %s: ended with %d requests in progress", b.name, running)
	}
}

const heartbeatInterval = 1500 * time.Millisecond

func (b *backend) heartbeats(stopped chan struct{}) {
	if b.lateFirstBeat {
		time.Sleep(heartbeatInterval)
	}
	for {
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if !silent {
			b.beat()
		}
		select {
		case <-stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// message returns the path and body of a message to the control plane.
func (b *backend) message(verb string) (path string, body []byte, state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body, _ = json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.node.zone, "version": "v1", "slots": b.slots, "state": b.state,
		"coldRemainingS": 0, "sequence": b.sequence, "born": b.born,
	})
	if verb == "leave" {
		body, _ = json.Marshal(map[string]any{"born": b.born})
	}
	return "/instances/" + b.id + "/" + verb, body, b.state
}

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a message and reports whether it was confirmed.
func (b *backend) post(path string, body []byte) bool {
	response, err := control.Post("http://"+b.node.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

// beat sends a heartbeat.
func (b *backend) beat() {
	path, body, state := b.message("heartbeat")
	if b.post(path, body) && state == "draining" {
		b.confirm("draining")
	}
}

func (b *backend) confirm(what string) {
	b.mu.Lock()
	first := b.ackedAt.IsZero()
	if first {
		b.ackedAt = time.Now()
	}
	b.mu.Unlock()
	if first {
		b.fleet.record("backend %s: %s is confirmed", b.name, what)
	}
}

// setLoseAnswer sets which answers are lost.
func (b *backend) setLoseAnswer(lose func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loseAnswer = lose
}

// drain reports draining until it is confirmed, and goes on serving.
func (b *backend) drain() {
	b.mu.Lock()
	b.state, b.leaving = "draining", true
	b.mu.Unlock()
	b.fleet.record("backend %s: reports draining", b.name)
	b.beat()
}

// leave sends a leave, and no further heartbeats, and goes on serving.
func (b *backend) leave() bool {
	b.mu.Lock()
	b.leaving, b.silent = true, true
	b.mu.Unlock()
	path, body, _ := b.message("leave")
	ok := b.post(path, body)
	if ok {
		b.confirm("leave")
	}
	return ok
}

// acked returns when the drain or leave was confirmed.
func (b *backend) acked() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ackedAt
}

const healthPath = "/health"

func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	id, leaving := b.id, b.leaving
	load := fmt.Sprintf("%d,%d,%d,100", min(b.running, b.slots), b.waiting, b.slots)
	extra := b.header
	b.mu.Unlock()
	h := w.Header()
	h.Set("Radishstand-Server-Load", load)
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		h.Set("Radishstand-Instance-Id", id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	request := r.Header.Get("Radishstand-Attempt-Id")
	if request == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("Radishstand-Attempt-Id", request)
	if expected := r.Header.Get("Radishstand-Expected-Instance"); expected != "" && expected != id {
		h.Set("Radishstand-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	limit := 30 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("Radishstand-Deadline-Ms"), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if !b.begin(arrived.Add(limit)) {
		h.Set("Radishstand-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.end()
	b.mu.Lock()
	b.runs[request] = append(b.runs[request], arrived)
	work, lose := b.work, b.loseAnswer
	b.mu.Unlock()
	if !b.quiet {
		b.fleet.record("backend %s (%s): runs %s %s %s for %s", b.name, id, request, r.Method, r.RequestURI, r.Header.Get("Radishstand-Caller-Service"))
	}
	left := time.Until(arrived.Add(limit))
	select {
	case <-time.After(min(work, left)):
	case <-r.Context().Done():
		return
	}
	if lose != nil && lose() {
		b.fleet.record("backend %s: answer to %s is lost", b.name, request)
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	for name, value := range extra {
		h.Set(name, value)
	}
	h.Set("Radishstand-Response-Signature", "sig-"+request)
	if work > left {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	fmt.Fprintf(w, "%s %s %d bytes, run by %s of %s\n", r.Method, r.RequestURI, size, id, b.service)
}

// begin waits for a slot. It reports false when the queue is full or the deadline passes.
func (b *backend) begin(deadline time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running >= b.slots {
		if b.waiting >= 2*b.slots {
			return false
		}
		b.waiting++
		timer := time.AfterFunc(time.Until(deadline), b.free.Broadcast)
		for b.running >= b.slots && time.Now().Before(deadline) {
			b.free.Wait()
		}
		timer.Stop()
		b.waiting--
		if b.running >= b.slots {
			return false
		}
	}
	b.running++
	return true
}

func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.free.Broadcast()
}

// runsOf returns how often a request was run by all backends.
func (f *fleet) runsOf(request string) int {
	n := 0
	for _, b := range f.backends {
		b.mu.Lock()
		n += len(b.runs[request])
		b.mu.Unlock()
	}
	return n
}
