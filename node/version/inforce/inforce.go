// Package inforce counts the nodes that have a settings version in force. The request is passed down a tree of nodes in each
// place and the replies are summed on the way back, so that the number of messages per node stays small.
package inforce

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
)

const (
	// fanOut is the number of parts into which a node divides the members to count. A place of 1,625 nodes has three levels.
	fanOut = 16
	// maxTries is the number of nodes of a part to which the request is sent in turn until one answers.
	maxTries = 2
	// answerTimeout limits a count, in addition to the time that nodes wait for the version.
	answerTimeout = 500 * time.Millisecond
	// levelMargin is the time by which a level's deadline precedes that of the level above, so that its sum arrives in time.
	levelMargin = 100 * time.Millisecond
)

// Count is the number of live nodes and the number of those that have the version or a later one in force. A node that does
// not answer counts as not having it in force.
type Count struct{ Nodes, InForce int }

func (c *Count) add(o Count) { c.Nodes, c.InForce = c.Nodes+o.Nodes, c.InForce+o.InForce }

// Peers lists the nodes of the fleet and sends requests to them. It is safe for concurrent use.
type Peers interface {
	// OwnMembers returns the addresses of the live nodes of the own place, including this one, in lexical order.
	OwnMembers() []string
	// OtherMembers returns the addresses of the live nodes of each other place in lexical order.
	OtherMembers() map[string][]string
	// Count sends a count request to a peer.
	Count(ctx context.Context, peer string, r *peerpb.CountInForceRequest) (*peerpb.CountInForceReply, error)
}

// Counter counts nodes on behalf of the operator and of other counters. Its methods are safe for concurrent use.
type Counter struct {
	// ID is the address of this node.
	ID, Place string
	Peers     Peers
	// AwaitInForce waits until a version is in force at this node or the context ends, and reports whether it is.
	AwaitInForce func(ctx context.Context, version int64) bool

	// route selects the nodes that sum up the parts. It stays the same while counts are complete, because another route
	// requires new connections between most nodes of the fleet.
	route atomic.Uint32
}

// CountPlaces returns the count of each place. Each node waits at most the given time for the version to be in force.
func (c *Counter) CountPlaces(ctx context.Context, version int64, wait time.Duration) map[string]Count {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	request := &peerpb.CountInForceRequest{Version: version, WaitUs: wait.Microseconds(), Way: c.route.Load()}
	counts, complete := map[string]Count{}, true
	var mu sync.Mutex
	var calls sync.WaitGroup
	record := func(place string, count Count) {
		mu.Lock()
		defer mu.Unlock()
		counts[place] = count
		complete = complete && count.InForce == count.Nodes
	}
	calls.Go(func() { record(c.Place, c.count(ctx, request, c.Peers.OwnMembers())) })
	for place, members := range c.Peers.OtherMembers() {
		calls.Go(func() { record(place, c.countRemote(ctx, request, members)) })
	}
	calls.Wait()
	if !complete {
		c.route.CompareAndSwap(request.Way, request.Way+1) // one of the summing nodes may hang
	}
	return counts
}

// Handle counts the nodes of the own place whose addresses are in the range of a request.
func (c *Counter) Handle(ctx context.Context, r *peerpb.CountInForceRequest) *peerpb.CountInForceReply {
	ctx, cancel := withLevelDeadline(ctx)
	defer cancel()
	members := c.Peers.OwnMembers()
	if r.Until != "" {
		end, _ := slices.BinarySearch(members, r.Until)
		members = members[:end]
	}
	start, _ := slices.BinarySearch(members, r.From)
	count := c.count(ctx, r, members[start:])
	return &peerpb.CountInForceReply{Nodes: int32(count.Nodes), InForce: int32(count.InForce)}
}

// withLevelDeadline returns a context whose deadline leaves time to answer the caller.
func withLevelDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-levelMargin))
	}
	return context.WithTimeout(ctx, answerTimeout)
}

// count divides the members into parts and sums their counts. Each part is counted by one of its nodes; this node counts the
// part that it belongs to.
func (c *Counter) count(ctx context.Context, r *peerpb.CountInForceRequest, members []string) Count {
	if len(members) == 1 && members[0] == c.ID {
		return c.countSelf(ctx, r)
	}
	var sum Count
	var mu sync.Mutex
	var calls sync.WaitGroup
	for part := range slices.Chunk(members, max(1, (len(members)+fanOut-1)/fanOut)) {
		calls.Go(func() {
			var count Count
			if slices.Contains(part, c.ID) {
				count = c.count(ctx, r, part)
			} else {
				count = c.countRemote(ctx, requestForPart(r, part), part)
			}
			mu.Lock()
			defer mu.Unlock()
			sum.add(count)
		})
	}
	calls.Wait()
	return sum
}

// requestForPart returns the request for a part. Its exclusive upper bound is just above the last address of the part.
func requestForPart(r *peerpb.CountInForceRequest, part []string) *peerpb.CountInForceRequest {
	return &peerpb.CountInForceRequest{
		Version: r.Version, WaitUs: r.WaitUs, Way: r.Way, From: part[0], Until: part[len(part)-1] + "\x00",
	}
}

// countSelf counts this node, after waiting for the version.
func (c *Counter) countSelf(ctx context.Context, r *peerpb.CountInForceRequest) Count {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.WaitUs)*time.Microsecond)
	defer cancel()
	if c.AwaitInForce(ctx, r.Version) {
		return Count{Nodes: 1, InForce: 1}
	}
	return Count{Nodes: 1}
}

// countRemote requests the count of a part from one of its nodes, and from another one if the first request fails early.
func (c *Counter) countRemote(ctx context.Context, r *peerpb.CountInForceRequest, part []string) Count {
	first := int(r.Way % uint32(len(part)))
	for i := range min(maxTries, len(part)) {
		reply, err := c.Peers.Count(ctx, part[(first+i)%len(part)], r)
		if err == nil {
			return Count{Nodes: int(reply.Nodes), InForce: int(reply.InForce)}
		}
	}
	return Count{Nodes: len(part)}
}
