package distribution

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/internal/wait"
)

const (
	// holdTimeout limits one request to hold a version.
	holdTimeout = 500 * time.Millisecond
	// holdRetryPeriod is the interval between rounds of requests.
	holdRetryPeriod = 100 * time.Millisecond
	// singleHolderDelay is the time after which one other node that holds the version suffices.
	singleHolderDelay = time.Second
	// noHolderDelay is the time after which a version comes into force even if no other node answers. The last running node
	// of a fleet considers the others alive for 30 s, and a partitioned node considers them alive forever. Together with
	// pollPeriod it stays below the 3 s within which a version must be in force.
	noHolderDelay = 2 * time.Second
	// minStoreHolders is the number of other nodes that must hold a version from the store before it comes into force, if
	// the place has that many. One of them must be in another place if one is reachable.
	minStoreHolders = 2
)

// spreadLoop puts held versions in force after they have spread to other nodes.
func (d *Distributor) spreadLoop(ctx context.Context) {
	for {
		for held := d.held.Load(); held.version > d.inForce(); held = d.held.Load() {
			if !d.spread(ctx, held) {
				return
			}
			d.Holder.Offer(held.version, held.tree)
		}
		select {
		case <-d.wakeSpread:
		case <-ctx.Done():
			return
		}
	}
}

// spread requests other nodes to hold a version and waits until enough of them do or a delay has expired. It reports whether
// the context is still active.
//
// Only answers to requests sent after this node held the version count. The sender of an earlier message may have been
// replaced since, and its replacement may not have found the version at any node while this node did not hold it yet.
func (d *Distributor) spread(ctx context.Context, v *heldVersion) bool {
	if v.version == 0 {
		return ctx.Err() == nil // no change was accepted yet, so there is nothing to lose
	}
	start := time.Now()
	holdCtx, cancel := context.WithDeadline(ctx, start.Add(noHolderDelay))
	defer cancel()
	s := spreadState{version: v.version, holders: map[string]bool{}, satisfied: make(chan struct{})}
	for first := true; ctx.Err() == nil; first = false {
		targets := d.holdTargets(v, &s, first)
		if len(targets) == 0 && s.holderCount() == 0 {
			break // there are no other nodes
		}
		d.requestHold(holdCtx, &s, targets)
		if s.isSatisfied() {
			break
		}
		if waited := time.Since(start); waited >= noHolderDelay || waited >= singleHolderDelay && s.holderCount() > 0 {
			d.increment(&d.counts.Unspread)
			break
		}
		_ = wait.For(holdCtx, holdRetryPeriod)
	}
	return ctx.Err() == nil
}

// spreadState tracks which nodes hold a version while it spreads.
type spreadState struct {
	version int64

	mu sync.Mutex
	// holders maps the other nodes that hold the version to whether they are in another place.
	holders  map[string]bool
	required int
	// requireOtherPlace requires a holder in another place.
	requireOtherPlace bool
	satisfied         chan struct{} // closed when the holders meet the requirements
}

func (s *spreadState) holderCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holders)
}

func (s *spreadState) isSatisfied() bool {
	select {
	case <-s.satisfied:
		return true
	default:
		return false
	}
}

// addHolder records a holder and closes satisfied once the requirements are met.
func (s *spreadState) addHolder(t target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders[t.peer] = t.otherPlace
	placeSatisfied := !s.requireOtherPlace
	for _, otherPlace := range s.holders {
		placeSatisfied = placeSatisfied || otherPlace
	}
	if len(s.holders) >= s.required && placeSatisfied && !s.isSatisfied() {
		close(s.satisfied)
	}
}

// target is a peer that is requested to hold a version.
type target struct {
	peer       string
	otherPlace bool
}

// holdTargets returns the peers for the next round of requests and sets the requirements. A version from a peer requires one
// holder: that peer or, if it does not answer, another one. A version from the store requires several holders, in different
// places if possible, so that no single failure loses it.
func (d *Distributor) holdTargets(v *heldVersion, s *spreadState, first bool) []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.required, s.requireOtherPlace = 1, false
	if v.from != fromStore && first {
		return []target{{peer: v.from}}
	}
	successors := d.Peers.Successors(minStoreHolders)
	others := d.Peers.Sample(minStoreHolders, OtherPlaces)
	if v.from == fromStore && len(successors) >= minStoreHolders {
		s.required, s.requireOtherPlace = minStoreHolders, len(others) > 0
	}
	var targets []target
	add := func(peers []string, otherPlace bool) {
		for _, peer := range peers {
			_, holds := s.holders[peer]
			if !holds && !slices.ContainsFunc(targets, func(t target) bool { return t.peer == peer }) {
				targets = append(targets, target{peer, otherPlace})
			}
		}
	}
	add(others, true)
	add(successors, false)
	if !first || len(targets) == 0 {
		add(d.Peers.Sample(minStoreHolders, OwnPlace), false)
	}
	return targets
}

// requestHold requests peers to hold a version. It returns when enough of them do, or when each has answered or timed out.
func (d *Distributor) requestHold(ctx context.Context, s *spreadState, targets []target) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, t := range targets {
		d.increment(&d.counts.HoldRequests)
		calls.Add(1)
		d.holdCalls.Go(func() {
			defer calls.Done()
			reply, err := d.Peers.Fetch(ctx, t.peer, &peerpb.FetchSettingsRequest{
				AfterVersion: math.MaxInt64, HoldVersion: s.version,
			})
			if err == nil && reply.HeadVersion >= s.version {
				s.addHolder(t)
			}
		})
	}
	answered := make(chan struct{})
	d.holdCalls.Go(func() {
		calls.Wait()
		close(answered)
	})
	select {
	case <-s.satisfied:
	case <-answered:
	}
}

// HandleFetch waits until this node holds the version requested by the peer, if any, and answers like Serve. After a timeout
// the answer contains a lower version.
func (d *Distributor) HandleFetch(ctx context.Context, request *peerpb.FetchSettingsRequest) *peerpb.FetchSettingsReply {
	if request.HoldVersion > 0 {
		ctx, cancel := context.WithTimeout(ctx, holdTimeout)
		defer cancel()
		d.RecordPeerVersion(request.From, request.HoldVersion)
		d.waitFor(ctx, func() bool { return d.version() >= request.HoldVersion }, func() <-chan struct{} { return d.heldChanged })
	}
	return d.Serve(request)
}

// AwaitInForce waits until a version is in force at this node or the context ends, and reports whether it is.
func (d *Distributor) AwaitInForce(ctx context.Context, version int64) bool {
	changed, cancel := d.Holder.Subscribe()
	defer cancel()
	d.waitFor(ctx, func() bool { return d.inForce() >= version }, func() <-chan struct{} { return changed })
	return d.inForce() >= version
}

// waitFor waits until a condition is met or the context ends. It checks the condition again after each signal.
func (d *Distributor) waitFor(ctx context.Context, met func() bool, signal func() <-chan struct{}) {
	for {
		d.mu.Lock()
		changed := signal()
		d.mu.Unlock()
		if met() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
