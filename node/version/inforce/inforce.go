// Package inforce counts the nodes that have a settings version in force. The count travels down a tree in each place and
// is summed on the way back, so that no node sends or gets more than a few messages.
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
	// fanOut is the number of parts into which a node divides what it has to count. A place of 1,625 nodes has three levels.
	fanOut = 16
	// tries is the number of nodes of a part that are asked one after the other until one answers.
	tries = 2
	// answerTime is how long a count takes at most after the wait is over.
	answerTime = 500 * time.Millisecond
	// levelTime is the part of answerTime after which a level gives up on the level below, so that its own sum is in time.
	levelTime = 100 * time.Millisecond
)

// Count is the number of live nodes and of those among them that have the version or a later one in force. A node that
// does not answer counts as not having it.
type Count struct{ Nodes, InForce int }

func (c *Count) add(o Count) { c.Nodes, c.InForce = c.Nodes+o.Nodes, c.InForce+o.InForce }

// Peers reaches the other nodes of the fleet. It is safe for concurrent use.
type Peers interface {
	// OwnMembers returns the addresses of the live nodes of the own place, this one included, in the order of their text.
	OwnMembers() []string
	// OtherMembers returns the addresses of the live nodes of each other place, in the order of their text.
	OtherMembers() map[string][]string
	// Count asks a peer.
	Count(ctx context.Context, peer string, r *peerpb.CountInForceRequest) (*peerpb.CountInForceReply, error)
}

// Counter counts for the operator and for other counters. Its methods are safe for concurrent use.
type Counter struct {
	// ID is the address of this node.
	ID, Place string
	Peers     Peers
	// AwaitInForce waits until a version is in force at this node or the context ends, and reports whether it is.
	AwaitInForce func(ctx context.Context, version int64) bool

	// way chooses the nodes that sum up parts. It stays the same while counts are complete: another way needs new
	// connections between most nodes of the fleet.
	way atomic.Uint32
}

// CountPlaces counts in all places, after nodes have waited for the version for at most the given time.
func (c *Counter) CountPlaces(ctx context.Context, version int64, wait time.Duration) map[string]Count {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	request := &peerpb.CountInForceRequest{Version: version, WaitUs: wait.Microseconds(), Way: c.way.Load()}
	counts, complete := map[string]Count{}, true
	var mu sync.Mutex
	var calls sync.WaitGroup
	note := func(place string, count Count) {
		mu.Lock()
		defer mu.Unlock()
		counts[place] = count
		complete = complete && count.InForce == count.Nodes
	}
	calls.Go(func() { note(c.Place, c.count(ctx, request, c.Peers.OwnMembers())) })
	for place, members := range c.Peers.OtherMembers() {
		calls.Go(func() { note(place, c.ask(ctx, request, members)) })
	}
	calls.Wait()
	if !complete {
		c.way.CompareAndSwap(request.Way, request.Way+1) // a node that sums up may hang
	}
	return counts
}

// Handle counts the nodes of the own place within the bounds of a request.
func (c *Counter) Handle(ctx context.Context, r *peerpb.CountInForceRequest) *peerpb.CountInForceReply {
	ctx, cancel := earlier(ctx)
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

// earlier returns a context that leaves the time to answer the caller.
func earlier(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-levelTime))
	}
	return context.WithTimeout(ctx, answerTime)
}

// count divides the members into parts, each of which is counted by one of its nodes: the part of this node by itself.
func (c *Counter) count(ctx context.Context, r *peerpb.CountInForceRequest, members []string) Count {
	if len(members) == 1 && members[0] == c.ID {
		return c.own(ctx, r)
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
				count = c.ask(ctx, bounded(r, part), part)
			}
			mu.Lock()
			defer mu.Unlock()
			sum.add(count)
		})
	}
	calls.Wait()
	return sum
}

// bounded returns the request for a part. Its upper bound is just above the last address of the part.
func bounded(r *peerpb.CountInForceRequest, part []string) *peerpb.CountInForceRequest {
	return &peerpb.CountInForceRequest{
		Version: r.Version, WaitUs: r.WaitUs, Way: r.Way, From: part[0], Until: part[len(part)-1] + "\x00",
	}
}

// own counts this node.
func (c *Counter) own(ctx context.Context, r *peerpb.CountInForceRequest) Count {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.WaitUs)*time.Microsecond)
	defer cancel()
	if c.AwaitInForce(ctx, r.Version) {
		return Count{Nodes: 1, InForce: 1}
	}
	return Count{Nodes: 1}
}

// ask asks a node of a part, and another one where that one refuses at once.
func (c *Counter) ask(ctx context.Context, r *peerpb.CountInForceRequest, part []string) Count {
	first := int(r.Way % uint32(len(part)))
	for i := range min(tries, len(part)) {
		reply, err := c.Peers.Count(ctx, part[(first+i)%len(part)], r)
		if err == nil {
			return Count{Nodes: int(reply.Nodes), InForce: int(reply.InForce)}
		}
	}
	return Count{Nodes: len(part)}
}
