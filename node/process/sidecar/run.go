package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"

	"github.com/radishstand/radishstand/api/explain"
	"github.com/radishstand/radishstand/node/connection/ingress"
	"github.com/radishstand/radishstand/node/version/routing"
)

const (
	headerTimeout        = 10 * time.Second
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 64 << 10
	maxAnnouncementBytes = 64 << 10

	// serveAfterStop is the time after the signal to stop during which the node still accepts calls for its backend server.
	// Callers leave only after two readiness checks; without this delay the server's capacity would be missing until then.
	serveAfterStop = time.Second
	// minStopTime is the minimum time between the signal to stop and the end: two readiness checks, a second apart, and a
	// request that was sent just after them.
	minStopTime = 2600 * time.Millisecond
	// quietPeriod is the time without an arrival after which a stopping node assumes that its callers have left.
	quietPeriod = 500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for ending the process.
	exitMargin       = 300 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// answerMargin is the part of the grace period, before exitMargin, that is reserved for the responses to requests which would not
	// end in time. Confirming that such a request has not started takes up to link.ConfirmationTimeout.
	answerMargin = 300 * time.Millisecond
	// deliveryMargin is the part of answerMargin that is reserved for delivering what has been written.
	deliveryMargin     = 100 * time.Millisecond
	resultPollInterval = 10 * time.Millisecond
)

// Run serves until ctx ends, or until stop is closed and all requests are done or the grace period is over.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer n.closeListeners() // also when only some of them are open
	defer cancel()
	if err := n.listen(ctx); err != nil {
		return err
	}
	n.setLocalState()
	n.store.ObserveEra(n.storeResponded)
	go n.watchRouting(ctx)
	go n.watchPollers(ctx)
	go n.maintainMembership(ctx)
	go n.linkUnregistered(ctx)
	go n.superviseServer(ctx)
	n.freshness.start(ctx)
	n.log.Info("started", "node", n.config.Load().Name, "place", n.config.Load().Place, "service", n.config.Load().Service)
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	n.drain(ctx)
	return nil
}

// closeListeners closes the listeners and their connections.
func (n *Node) closeListeners() {
	for _, closeListener := range n.closers {
		closeListener()
	}
}

// listen opens the listeners and starts serving on them, until closeListeners is called.
func (n *Node) listen(ctx context.Context) error {
	l := n.config.Load().Listen
	links, err := net.Listen("tcp4", l.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	n.closers = append(n.closers, func() { _ = links.Close() }, n.links.Close)
	go func() {
		if err := n.links.Serve(links); ctx.Err() == nil {
			n.log.Warn("peer listener failed", "error", err)
		}
	}()
	announcements := alice.New(limitBody).Then(n.adapter.Announcements(n.server))
	diagnostics := http.NewServeMux()
	diagnostics.HandleFunc("GET /metrics", n.writeMetrics)
	diagnostics.HandleFunc("GET /dump", n.writeDump)
	diagnostics.HandleFunc("GET "+explain.Path, n.explain)
	diagnostics.HandleFunc("POST "+explain.Path, n.explain)
	err = errors.Join(
		n.serveCallers(l.Callers),
		n.serveHTTP(l.Ready, http.HandlerFunc(n.ready)),
		n.serveHTTP(l.Announcements, announcements),
	)
	if err != nil {
		return err
	}
	// The metrics port is the same on all hosts and may be in use on one of them. Calls are then served without metrics.
	if err := n.serveHTTP(l.Metrics, diagnostics); err != nil {
		n.log.Warn("metrics listener failed", "error", err)
	}
	return nil
}

func limitBody(next http.Handler) http.Handler {
	return http.MaxBytesHandler(next, maxAnnouncementBytes)
}

// serveCallers serves the requests of callers within the limits that operators have set.
func (n *Node) serveCallers(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := ingress.NewServer(listener.(*net.TCPListener), n.front, ingressLimits(n.routing.Current()), n.log)
	n.callers.Store(server)
	n.closers = append(n.closers, server.Close)
	go server.Serve()
	return nil
}

// ingressLimits returns the limits of a routing version. The node's own limits apply where the operators have set none, and
// while there is no version.
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

// serveHTTP serves handler at an address; with an empty address it does nothing.
func (n *Node) serveHTTP(address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler: handler, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
	n.closers = append(n.closers, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.Warn("listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

// drain stops the node without failing a request: callers leave when the readiness check fails, other nodes stop sending,
// and requests and calls in progress are finished within the grace period.
func (n *Node) drain(ctx context.Context) {
	started := time.Now()
	n.stopping.Store(true)
	n.front.StartDrain()
	n.callers.Load().Drain()
	n.log.Info("stopping", "graceMs", n.config.Load().StopGrace.Milliseconds())
	removed := make(chan struct{})
	go func() {
		defer close(removed)
		if err := n.store.RemoveMember(ctx, n.config.Load().Listen.Peers); err != nil {
			n.log.Warn("failed to remove member entry", "error", err)
		}
	}()
	sleep(ctx, serveAfterStop)
	n.stoppedServing.Store(true)
	n.broadcastState()
	limit := n.config.Load().StopGrace - exitMargin
	for time.Since(started) < limit-answerMargin && !n.idle(started) {
		sleep(ctx, stopPollInterval)
	}
	shutdown, cancel := context.WithDeadline(ctx, started.Add(limit))
	defer cancel()
	ended, undelivered := n.finish(shutdown, started.Add(limit-deliveryMargin))
	requests, _ := n.callers.Load().InProgress()
	n.log.Info("stopped", "requests", requests, "calls", n.activeCalls.Load(), "endedRequests", ended,
		"undeliveredLinks", undelivered, "afterMs", time.Since(started).Milliseconds())
}

// finish ends the requests that are still in progress with a response of the node, waits for the last responses to callers and for the
// last results of calls, and delivers both until ctx ends. Results of calls that end after lastResults are lost. It returns the
// number of requests that it ended, and of links on which something may not have arrived.
func (n *Node) finish(ctx context.Context, lastResults time.Time) (ended, undelivered int) {
	ended = n.front.EndRequests()
	var callers sync.WaitGroup
	callers.Go(func() { n.callers.Load().Shutdown(ctx) })
	for n.activeCalls.Load() > 0 && time.Now().Before(lastResults) {
		sleep(ctx, resultPollInterval)
	}
	undelivered = n.links.Shutdown(ctx)
	callers.Wait()
	return ended, undelivered
}

// idle reports whether no requests or calls are in progress and callers are assumed to have left.
func (n *Node) idle(stopped time.Time) bool {
	requests, last := n.callers.Load().InProgress()
	return requests == 0 && n.activeCalls.Load() == 0 && time.Since(stopped) > minStopTime && time.Since(last) > quietPeriod
}

// writeMetrics serves counters and latencies as text.
func (n *Node) writeMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(n.metrics, w) }

// writeDump serves the state of the process as text.
func (n *Node) writeDump(w http.ResponseWriter, _ *http.Request) {
	known, linked := n.peers.Linked()
	requests, _ := n.callers.Load().InProgress()
	fmt.Fprintf(w, "version %d\nrouting poll %s\nstate %v\npeers %d linked %d\nrequests %d calls %d\nfreshness proof %s\n",
		n.routing.Number(), &n.poll, n.State(), known, linked, requests, n.activeCalls.Load(), n.freshness)
	n.dumpEvacuations(w)
	if n.quotas.running.Load() {
		fmt.Fprintf(w, "quotas %+v buckets %d\n", n.quotas.borrower.Status(), n.quotas.owner.Sweep())
	}
}
