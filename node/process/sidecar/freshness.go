package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/version/freshness"
)

// freshnessLease decides whether the routing version of a node is current enough to accept keys. It implements front.Freshness. Unless
// the node is configured to fail closed, it holds no proofs and sends no requests.
type freshnessLease struct {
	node  *Node
	lease freshness.Lease
	// running is set while the loop runs that asks for proofs.
	running atomic.Bool
	// reading is set while a read of the store is in progress.
	reading atomic.Bool

	mu sync.Mutex
	// document is the latest document from the store whose version is known, and version its number.
	document []byte
	version  uint64
}

// within returns the longest time for which a revoked key may still work, or 0 if there is no bound.
func (f *freshnessLease) within() time.Duration { return f.node.config.Load().RevokeWithin }

// NewerKnown reports whether another node has reported a newer version than the given one.
func (f *freshnessLease) NewerKnown(version uint64) bool {
	return f.node.peers.NewestVersion() > version
}

// Leased reports whether the node may accept keys of a version.
func (f *freshnessLease) Leased(version uint64) bool {
	within := f.within()
	return within == 0 || f.lease.ValidFor(version, boottime.Now(), within)
}

// age returns the age of the newest proof for the current version; math.MaxInt64 if there is none.
func (f *freshnessLease) age() time.Duration {
	at, ok := f.lease.NewestFor(f.node.routing.Number())
	if !ok {
		return math.MaxInt64
	}
	return boottime.Now() - at
}

// setEra records the era of a response of the store. It must be called before the read of that response.
func (f *freshnessLease) setEra(era uint64) { f.lease.SetEra(era, boottime.Now()) }

// read records a successful read of the operators' configuration that began at a time of the boot clock. The document is nil if a poll
// of the feed has returned none; setEra must have been called with the era. A document that is rejected counts as if it had not been
// written: the version before it stays in force.
func (f *freshnessLease) read(document []byte, era uint64, began time.Duration, direct bool) {
	if f.within() == 0 {
		return
	}
	version := f.versionOf(document)
	if direct && document != nil && version == 0 {
		version = f.latestVersion()
	}
	if f.isOutdated(max(version, f.latestVersion())) {
		return
	}
	f.lease.Read(version, era, began, direct)
}

// isOutdated reports whether a newer version than the store's is known that this node does not have: the store has lost it.
func (f *freshnessLease) isOutdated(stored uint64) bool {
	newest := f.node.peers.NewestVersion()
	return stored < newest && f.node.routing.Number() < newest
}

// versionOf returns the number of the version in a document, or 0 if it holds none. Most reads bring the same document again, which is
// not parsed again.
func (f *freshnessLease) versionOf(document []byte) uint64 {
	if document == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if bytes.Equal(document, f.document) {
		return f.version
	}
	v, err := f.node.adapter.ParseRouting(document)
	if err != nil {
		return 0
	}
	f.document, f.version = document, v.Number
	return f.version
}

// latestVersion returns the number of the version that was read from the store last.
func (f *freshnessLease) latestVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// addProof handles a proof that another node has passed on.
func (f *freshnessLease) addProof(version uint64, at time.Duration) {
	if f.within() > 0 {
		f.lease.Add(freshness.Proof{Version: version, At: at})
		f.count("proofs")
	}
}

// proofAge returns the encoded age of the newest proof for a version; 0 if there is none to pass on.
func (f *freshnessLease) proofAge(version uint64) uint32 {
	if f.within() == 0 {
		return 0
	}
	at, ok := f.lease.NewestFor(version)
	if !ok {
		return 0
	}
	return freshness.EncodeAge(at, boottime.Now())
}

// start runs the loop that asks for proofs if the node is configured to fail closed and it does not run yet.
func (f *freshnessLease) start(ctx context.Context) {
	if f.within() > 0 && f.running.CompareAndSwap(false, true) {
		f.registerMetrics(f.node.metrics)
		go f.run(ctx)
	}
}

// run asks for proofs until ctx ends or the node is no longer configured to fail closed.
func (f *freshnessLease) run(ctx context.Context) {
	var schedule freshness.Schedule
	held := false
	for ctx.Err() == nil {
		within := f.within()
		if within == 0 {
			break
		}
		step := schedule.Next(boottime.Now(), f.age(), within, f.node.peers.InSubset(frequentPollers))
		if step.Read {
			f.tryRead(ctx)
		}
		if step.Ask {
			f.count("asked")
			f.node.peers.AskForProof(step.First, step.Others)
		}
		held = f.logChange(held)
		sleep(ctx, step.Wait)
	}
	f.running.Store(false)
	if ctx.Err() != nil {
		return
	}
	f.start(ctx) // the configuration may have changed in between
}

// logChange logs that the lease was gained or lost, and returns whether it is held.
func (f *freshnessLease) logChange(held bool) bool {
	now := f.Leased(f.node.routing.Number())
	switch {
	case now && !held:
		f.node.log.Info("freshness lease held", "version", f.node.routing.Number(), "proof", f.String())
	case held && !now:
		f.node.log.Warn("freshness lease lost", "version", f.node.routing.Number(), "proof", f.String())
	}
	return now
}

// tryRead reads the configuration from the store in the background, unless such a read is in progress.
func (f *freshnessLease) tryRead(ctx context.Context) {
	if f.reading.CompareAndSwap(false, true) {
		go f.readStore(ctx)
	}
}

// readStore reads the configuration from the store, applies it and records the proof.
func (f *freshnessLease) readStore(ctx context.Context) {
	defer f.reading.Store(false)
	f.count("reads")
	began := boottime.Now()
	state, err := f.node.store.Routing(ctx)
	if err != nil {
		f.node.logStoreFailure(ctx, "freshness", err)
		return
	}
	f.node.logStoreRecovery("freshness")
	if state.Revision.Era < f.node.eras.get() {
		return // a late response from before the store came back from an older copy
	}
	if state.Document != nil {
		f.node.applyRouting(state.Document, "store")
	}
	f.read(state.Document, state.Revision.Era, began, true)
}

// registerMetrics registers the gauge of the lease, unless it is there already.
func (f *freshnessLease) registerMetrics(registry metrics.Registry) {
	_ = registry.Register("freshness.proof_age_ms", metrics.NewFunctionalGauge(func() int64 {
		if age := f.age(); age != math.MaxInt64 {
			return age.Milliseconds()
		}
		return -1
	}))
}

func (f *freshnessLease) count(what string) { counters{f.node.metrics}.Count("freshness." + what) }

// String describes the newest proof for logs and for the dump of the process's state.
func (f *freshnessLease) String() string {
	age := f.age()
	switch {
	case f.within() == 0:
		return "not needed"
	case age == math.MaxInt64:
		return "none"
	}
	return fmt.Sprintf("%s old", age.Round(time.Millisecond))
}
