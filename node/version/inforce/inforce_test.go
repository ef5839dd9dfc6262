package inforce

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/peerpb"
)

// fleet is a set of counters that exchange messages through fakes. The maps above mu must not change while a
// count runs.
type fleet struct {
	places       map[string][]string
	counters     map[string]*Counter
	inForce      map[string]time.Time // when the version comes into force; zero for never
	unresponsive map[string]bool      // nodes that do not answer
	stopped      map[string]bool      // nodes that refuse connections

	mu       sync.Mutex
	messages map[string]int // messages sent and received by each node
	bytes    map[string]int // payload bytes of these messages
}

// node implements Peers for the counter of one node.
type node struct {
	fleet     *fleet
	id, place string
}

func newFleet(places, size int) *fleet {
	f := &fleet{
		places: map[string][]string{}, counters: map[string]*Counter{}, inForce: map[string]time.Time{},
		unresponsive: map[string]bool{}, stopped: map[string]bool{}, messages: map[string]int{}, bytes: map[string]int{},
	}
	for p := range places {
		place := fmt.Sprint("place", p)
		for i := range size {
			n := &node{f, fmt.Sprintf("10.%d.%d.%d:7000", p, i/250, i%250), place}
			f.places[place] = append(f.places[place], n.id)
			f.counters[n.id] = &Counter{ID: n.id, Place: place, Peers: n, AwaitInForce: n.await}
			f.inForce[n.id] = time.Now()
		}
		slices.Sort(f.places[place])
	}
	return f
}

func (n *node) OwnMembers() []string { return n.fleet.places[n.place] }

func (n *node) OtherMembers() map[string][]string {
	places := map[string][]string{}
	for place, members := range n.fleet.places {
		if place != n.place {
			places[place] = members
		}
	}
	return places
}

func (n *node) await(ctx context.Context, _ int64) bool {
	at := n.fleet.inForce[n.id]
	if at.IsZero() {
		<-ctx.Done()
		return false
	}
	if left := time.Until(at); left > 0 {
		// A timer due immediately crashes Go 1.26.8 with the race detector in a synctest bubble (runtime.maybeRunChan).
		select {
		case <-time.After(left):
		case <-ctx.Done():
		}
	}
	return !time.Now().Before(at)
}

func (n *node) Count(ctx context.Context, peer string, r *peerpb.CountInForceRequest) (*peerpb.CountInForceReply, error) {
	f := n.fleet
	if f.stopped[peer] {
		return nil, errors.New("connection refused")
	}
	f.recordTraffic(n.id, peer, r)
	if f.unresponsive[peer] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	delay(ctx)
	reply := f.counters[peer].Handle(ctx, r)
	f.recordTraffic(peer, n.id, reply)
	delay(ctx)
	return reply, ctx.Err()
}

// delay waits for the latency of a message, but not beyond the deadline of the sender.
func delay(ctx context.Context) {
	select {
	case <-time.After(time.Millisecond):
	case <-ctx.Done():
	}
}

// recordTraffic counts a message for its sender and its receiver.
func (f *fleet) recordTraffic(from, to string, m proto.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range []string{from, to} {
		f.messages[id]++
		f.bytes[id] += proto.Size(m)
	}
}

// maxAndSum returns the largest value and the sum of all values.
func maxAndSum(counts map[string]int) (highest, sum int) {
	for _, n := range counts {
		highest, sum = max(highest, n), sum+n
	}
	return highest, sum
}

// Guards against a wrong or slow count, and against one that costs a node more messages in a larger fleet. Logs the figures.
func TestCountOfAFleet(t *testing.T) {
	for _, size := range [][2]int{{3, 5}, {1, 100}, {8, 50}, {8, 400}, {8, 1625}} {
		t.Run(fmt.Sprintf("%d places of %d nodes", size[0], size[1]), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size[0], size[1])
				f.inForce["10.0.0.3:7000"] = time.Time{}
				f.inForce["10.0.0.4:7000"] = time.Now().Add(300 * time.Millisecond)
				f.inForce["10.0.0.2:7000"] = time.Now().Add(700 * time.Millisecond)
				counter := f.counters["10.0.0.0:7000"]
				for i, wait := range []time.Duration{0, 500 * time.Millisecond} {
					missing := 3 - i
					start := time.Now()
					counts := counter.CountPlaces(t.Context(), 1, wait)
					took := time.Since(start)
					require.Len(t, counts, size[0])
					require.Equal(t, Count{size[1], size[1] - missing}, counts["place0"])
					for place, count := range counts {
						require.True(t, place == "place0" || count == Count{size[1], size[1]}, "%s: %v", place, count)
					}
					require.Less(t, took, wait+answerTimeout)
					messages, all := maxAndSum(f.messages)
					bytes, allBytes := maxAndSum(f.bytes)
					nodes := size[0] * size[1]
					t.Logf("%d nodes, wait %v: %v; messages sent and received a node %.1f, at most %d; bytes of payload %.0f, at most %d",
						nodes, wait, took, float64(all)/float64(nodes), messages, float64(allBytes)/float64(nodes), bytes)
					require.LessOrEqual(t, messages, 2*(fanOut*4+size[0]), "a node contacts the parts on its path and the other places")
					clear(f.messages)
					clear(f.bytes)
					for id := range f.inForce { // the second count starts from the same state
						if at := f.inForce[id]; at.After(start) {
							f.inForce[id] = at.Add(time.Since(start))
						}
					}
				}
			})
		})
	}
}

// Guards against a count that fails, is late or too high because nodes hang or have stopped.
func TestCountWithUnresponsiveNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 300)
		random := rand.New(rand.NewPCG(1, 2))
		for _, members := range f.places {
			for _, i := range random.Perm(299)[:15] {
				f.stopped[members[i+1]] = true
			}
		}
		start := time.Now()
		for _, count := range f.counters["10.0.0.0:7000"].CountPlaces(t.Context(), 1, 0) {
			require.Equal(t, 300, count.Nodes)
			require.LessOrEqual(t, count.InForce, 285)
			require.Positive(t, count.InForce)
		}
		require.Less(t, time.Since(start), answerTimeout)
		f.unresponsive, f.stopped = f.stopped, f.unresponsive
		best := map[string]int{}
		for range 20 {
			start := time.Now()
			for place, count := range f.counters["10.0.0.0:7000"].CountPlaces(t.Context(), 1, 0) {
				require.Equal(t, 300, count.Nodes)
				require.LessOrEqual(t, count.InForce, 285)
				best[place] = max(best[place], count.InForce)
			}
			require.LessOrEqual(t, time.Since(start), answerTimeout)
		}
		t.Log("best of 20 counts with 15 of 300 nodes hanging:", best)
		for _, inForce := range best {
			require.Greater(t, inForce, 200, "repeated counts use other routes")
		}
	})
}
