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
	// holdTimeout bounds one request to hold a version.
	holdTimeout = 500 * time.Millisecond
	// spreadRetry is the time between rounds of requests.
	spreadRetry = 100 * time.Millisecond
	// spreadPatience is the time after which a single other node is enough.
	spreadPatience = time.Second
	// alonePatience is the time after which a version comes into force although no other node answers. The last node of a
	// fleet takes the others for alive for 30 s, and a node that is cut off does so for good. With the time between reads
	// of the head it stays below the 3 s that a version may take.
	alonePatience = 2 * time.Second
	// storeHolders is the number of other nodes that hold a version from the store before it is in force, where the place
	// has as many. One of them is in another place if one can be reached.
	storeHolders = 2
)

// spreadLoop puts held versions in force after they have spread.
func (h *Distributor) spreadLoop(ctx context.Context) {
	for {
		for now := h.held.Load(); now.version > h.inForce(); now = h.held.Load() {
			if !h.spread(ctx, now) {
				return
			}
			h.Holder.Offer(now.version, now.tree)
		}
		select {
		case <-h.wakeSpread:
		case <-ctx.Done():
			return
		}
	}
}

// spread waits until enough other nodes hold a version, and reports whether the context is still alive.
//
// Only answers to requests that were sent after this node held the version count. An older message does not: its sender
// may have been replaced since, and may not have found the version anywhere while this node did not hold it.
func (h *Distributor) spread(ctx context.Context, v *held) bool {
	if v.version == 0 {
		return ctx.Err() == nil // nothing was accepted yet, so that there is nothing to lose
	}
	start := time.Now()
	asking, cancel := context.WithDeadline(ctx, start.Add(alonePatience))
	defer cancel()
	s := spreading{version: v.version, holders: map[string]bool{}, enough: make(chan struct{})}
	for first := true; ctx.Err() == nil; first = false {
		targets := h.holdTargets(v, &s, first)
		if len(targets) == 0 && s.count() == 0 {
			break // no other node is known
		}
		h.askToHold(asking, &s, targets)
		if s.done() {
			break
		}
		if waited := time.Since(start); waited >= alonePatience || waited >= spreadPatience && s.count() > 0 {
			h.count(&h.counts.Unspread)
			break
		}
		_ = wait.For(asking, spreadRetry)
	}
	return ctx.Err() == nil
}

// spreading is the state of one spread.
type spreading struct {
	version int64

	mu sync.Mutex
	// holders are the other nodes that hold the version, and whether they are in another place.
	holders map[string]bool
	need    int
	// needElsewhere asks for a holder in another place.
	needElsewhere bool
	enough        chan struct{} // closed when the holders are enough
}

func (s *spreading) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holders)
}

func (s *spreading) done() bool {
	select {
	case <-s.enough:
		return true
	default:
		return false
	}
}

// add notes a holder.
func (s *spreading) add(t target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders[t.peer] = t.elsewhere
	elsewhere := !s.needElsewhere
	for _, e := range s.holders {
		elsewhere = elsewhere || e
	}
	if len(s.holders) >= s.need && elsewhere && !s.done() {
		close(s.enough)
	}
}

// target is a peer that is asked to hold a version.
type target struct {
	peer      string
	elsewhere bool
}

// holdTargets returns the peers to ask and sets what is needed. A version that came from a peer needs that peer only, and
// others where it does not answer. One from the store needs peers that can lose it only together.
func (h *Distributor) holdTargets(v *held, s *spreading, first bool) []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.need, s.needElsewhere = 1, false
	if v.from != fromStore && first {
		return []target{{peer: v.from}}
	}
	next := h.Peers.Successors(storeHolders)
	others := h.Peers.Sample(storeHolders, OtherPlaces)
	if v.from == fromStore && len(next) >= storeHolders {
		s.need, s.needElsewhere = storeHolders, len(others) > 0
	}
	var targets []target
	add := func(peers []string, elsewhere bool) {
		for _, peer := range peers {
			_, holds := s.holders[peer]
			if !holds && !slices.ContainsFunc(targets, func(t target) bool { return t.peer == peer }) {
				targets = append(targets, target{peer, elsewhere})
			}
		}
	}
	add(others, true)
	add(next, false)
	if !first || len(targets) == 0 {
		add(h.Peers.Sample(storeHolders, OwnPlace), false)
	}
	return targets
}

// askToHold asks peers until the holders are enough or each peer has answered or not in time.
func (h *Distributor) askToHold(ctx context.Context, s *spreading, targets []target) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, t := range targets {
		h.count(&h.counts.HoldRequests)
		calls.Add(1)
		h.asking.Go(func() {
			defer calls.Done()
			reply, err := h.Peers.Fetch(ctx, t.peer, &peerpb.FetchSettingsRequest{
				AfterVersion: math.MaxInt64, HoldVersion: s.version,
			})
			if err == nil && reply.HeadVersion >= s.version {
				s.add(t)
			}
		})
	}
	answered := make(chan struct{})
	h.asking.Go(func() {
		calls.Wait()
		close(answered)
	})
	select {
	case <-s.enough:
	case <-answered:
	}
}

// HandleFetch answers a peer like Serve, after it has pulled the version that the peer asks it to hold. Where that takes too
// long, the answer tells a lower version.
func (h *Distributor) HandleFetch(ctx context.Context, request *peerpb.FetchSettingsRequest) *peerpb.FetchSettingsReply {
	if request.HoldVersion > 0 {
		ctx, cancel := context.WithTimeout(ctx, holdTimeout)
		defer cancel()
		h.RecordPeerVersion(request.From, request.HoldVersion)
		h.await(ctx, func() bool { return h.version() >= request.HoldVersion }, func() <-chan struct{} { return h.risen })
	}
	return h.Serve(request)
}

// AwaitInForce waits until a version is in force at this node or the context ends, and reports whether it is.
func (h *Distributor) AwaitInForce(ctx context.Context, version int64) bool {
	changed, cancel := h.Holder.Subscribe()
	defer cancel()
	h.await(ctx, func() bool { return h.inForce() >= version }, func() <-chan struct{} { return changed })
	return h.inForce() >= version
}

// await waits for a condition, which is looked at again after each signal.
func (h *Distributor) await(ctx context.Context, met func() bool, signal func() <-chan struct{}) {
	for {
		h.mu.Lock()
		changed := signal()
		h.mu.Unlock()
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
