package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"

	"github.com/radishstand/radishstand/node/connection/ingress"
	"github.com/radishstand/radishstand/node/version/routing"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// maxAnnouncement bounds the body of an announcement.
	maxAnnouncement = 64 << 10

	// handOffAfter is the time after a signal to stop for which the node still takes calls for its backend server. Callers
	// are gone after two readiness checks; the server's capacity would otherwise be missed for as long.
	handOffAfter = time.Second
	// leastStop is the least time between the signal to stop and the end: two readiness checks, a second apart, and a
	// request that was sent just after them.
	leastStop = 2600 * time.Millisecond
	// quietTime is the time without an arrival after which a node that stops takes its callers to be gone.
	quietTime = 500 * time.Millisecond
	// stopMargin is the part of the grace that is left to end the process.
	stopMargin = 300 * time.Millisecond
	stopPoll   = 50 * time.Millisecond
)

// Run serves until stop is closed and all requests are done or the grace is over.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := n.listen(ctx); err != nil {
		return err
	}
	n.peers.SetLocal(n.State())
	go n.watchRouting(ctx)
	go n.keepMember(ctx)
	go n.findServer(ctx)
	n.log.Info("started", "node", n.config.Load().Name, "place", n.config.Load().Place, "service", n.config.Load().Service)
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	n.drain(ctx)
	return nil
}

// listen opens the listeners.
func (n *Node) listen(ctx context.Context) error {
	l := n.config.Load().Listen
	links, err := net.Listen("tcp4", l.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = links.Close() })
	go func() {
		if err := n.links.Serve(links); ctx.Err() == nil {
			n.log.Warn("listener for peers ended", "error", err)
		}
	}()
	announcements := alice.New(limitBody).Then(n.adapter.Announcements(n.server))
	operators := http.NewServeMux()
	operators.HandleFunc("GET /metrics", n.writeMetrics)
	operators.HandleFunc("GET /dump", n.writeDump)
	err = errors.Join(
		n.serveCallers(ctx, l.Callers),
		n.serveHTTP(ctx, l.Ready, http.HandlerFunc(n.ready)),
		n.serveHTTP(ctx, l.Announcements, announcements),
	)
	if err != nil {
		return err
	}
	// The port of the metrics is the same on all hosts and may be taken on one. Calls are served without metrics then.
	if err := n.serveHTTP(ctx, l.Metrics, operators); err != nil {
		n.log.Warn("no metrics", "error", err)
	}
	return nil
}

func limitBody(next http.Handler) http.Handler {
	return http.MaxBytesHandler(next, maxAnnouncement)
}

// serveCallers takes the requests of callers under the operators' limits.
func (n *Node) serveCallers(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := ingress.NewServer(listener.(*net.TCPListener), n.front, ingressLimits(n.routing.Current()), n.log)
	n.callers.Store(server)
	context.AfterFunc(ctx, server.Close)
	go server.Serve()
	return nil
}

// ingressLimits returns the limits of a routing version. What the operators have not set, and everything while there is no
// version, is bounded by the node's own limits.
func ingressLimits(v *routing.Version) ingress.Limits {
	limits := ingress.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if v == nil {
		return limits
	}
	if v.Limits.MaxHeaderBytes > 0 {
		limits.HeaderBytes = v.Limits.MaxHeaderBytes
	}
	if v.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = v.Limits.HeaderTimeout
	}
	if v.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = v.Limits.IdleTimeout
	}
	return limits
}

func (n *Node) serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.Warn("listener ended", "address", address, "error", err)
		}
	}()
	return nil
}

// drain ends the node without harming a request: callers leave when readiness is withdrawn, other nodes stop sending, and
// what is in progress is finished.
func (n *Node) drain(ctx context.Context) {
	started := time.Now()
	n.stopping.Store(true)
	n.front.StartDrain()
	n.log.Info("stopping", "graceMs", n.config.Load().StopGrace.Milliseconds())
	removed := make(chan struct{})
	go func() {
		defer close(removed)
		if err := n.store.RemoveMember(ctx, n.config.Load().Listen.Peers); err != nil {
			n.log.Warn("entry not removed", "error", err)
		}
	}()
	sleep(ctx, handOffAfter)
	n.handedOff.Store(true)
	n.tell()
	limit := n.config.Load().StopGrace - stopMargin
	for time.Since(started) < limit && !n.idle(started) {
		sleep(ctx, stopPoll)
	}
	requests, _ := n.front.InProgress()
	n.log.Info("stopped", "requests", requests, "calls", n.serving.Load(), "afterMs", time.Since(started).Milliseconds())
}

// idle reports whether nothing is in progress and callers have left.
func (n *Node) idle(stopped time.Time) bool {
	requests, last := n.front.InProgress()
	return requests == 0 && n.serving.Load() == 0 && time.Since(stopped) > leastStop && time.Since(last) > quietTime
}

// writeMetrics writes counters and latencies as text.
func (n *Node) writeMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(n.metrics, w) }

// writeDump writes the state of the process.
func (n *Node) writeDump(w http.ResponseWriter, _ *http.Request) {
	known, linked := n.peers.Linked()
	requests, _ := n.front.InProgress()
	fmt.Fprintf(w, "version %d\nstate %v\npeers %d linked %d\nrequests %d calls %d\n",
		n.routing.Number(), n.State(), known, linked, requests, n.serving.Load())
}
