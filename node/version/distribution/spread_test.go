package distribution

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/platformtest"
)

// holders returns the number of other nodes that hold a version, and how many of them are in other places.
func (f *fleet) holders(n *fakeNode, version int64) (others, elsewhere int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.nodes {
		if other != n && other.distributor.State().Held >= version {
			others++
			if other.place != n.place {
				elsewhere++
			}
		}
	}
	return others, elsewhere
}

// await waits until a node meets a condition, and returns the node.
func (f *fleet) await(met func(n *fakeNode) bool) *fakeNode {
	for {
		for _, id := range f.all {
			if n := f.nodes[id]; met(n) {
				return n
			}
		}
		time.Sleep(20 * time.Microsecond)
	}
}

func hasInForce(version int64) func(*fakeNode) bool {
	return func(n *fakeNode) bool { return n.distributor.State().Version >= version }
}

// Guards against a version that a node reads from the store and puts in force before enough reachable nodes hold it, and
// against one that never comes into force because no other node is reachable.
func TestVersionFromStoreSpreadsFirst(t *testing.T) {
	cutOff := func(from, to string) bool { return from == "hue-0" || to == "hue-0" }
	cases := []struct {
		name              string
		hue, hanoi        int
		blocked           func(from, to string) bool
		others, elsewhere int           // minimum number of holders, and of those in other places
		unspread          bool          // whether the version comes into force with too few holders
		slowest           time.Duration // from the commit until the version is in force
	}{
		{"the only node of a fleet does not wait", 1, 0, nil, 0, 0, false, time.Second},
		{"one of two nodes needs the other", 2, 0, nil, 1, 0, false, time.Second},
		{"one of three nodes needs both others", 3, 0, nil, 2, 0, false, time.Second},
		{"the other place counts", 3, 2, nil, 2, 1, false, time.Second},
		{"one node in each place needs the other", 1, 1, nil, 1, 1, false, time.Second},
		{"the other place does not answer", 3, 2, func(from, to string) bool { return from[:3] != to[:3] }, 2, 0, true, 2 * time.Second},
		{"no peer answers", 4, 3, cutOff, 0, 0, true, 3 * time.Second},
		{"the only other node does not answer", 2, 0, cutOff, 0, 0, true, 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stop()
				for range c.hue {
					f.add("hue")
				}
				for range c.hanoi {
					f.add("hanoi")
				}
				time.Sleep(3 * time.Second)
				if c.blocked != nil {
					f.mu.Lock()
					f.blocked = c.blocked
					f.mu.Unlock()
				}
				f.commit("a", 0, "defaults.call.timeoutMs", 7)
				start := time.Now()
				// The other reader of the place must not be first: a version from a peer requires only that peer as a holder.
				reader := f.nodes["hue-0"]
				require.True(t, reader.distributor.readStore(f.ctx))
				require.Equal(t, fromStore, reader.distributor.held.Load().from)
				f.await(func(n *fakeNode) bool { return n == reader && hasInForce(1)(n) })
				others, elsewhere := f.holders(reader, 1)
				require.Less(t, time.Since(start), c.slowest)
				require.GreaterOrEqual(t, others, c.others)
				require.GreaterOrEqual(t, elsewhere, c.elsewhere)
				require.Equal(t, c.unspread, reader.distributor.State().Unspread > 0, "unspread versions are counted in the dump")
			})
		})
	}
}

// Guards against a replacement node that starts with a lower version than its host had in force: the table is down, and one
// node at a time is replaced at a random point of the distribution.
func TestReplacedNodeNeverReverts(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stop()
				random := rand.New(rand.NewPCG(seed, 7))
				f.random = rand.New(rand.NewPCG(seed, 8))
				for range 4 {
					f.add("hue")
					f.add("hanoi")
				}
				f.commit("a", 0, "defaults.call.timeoutMs", 7)
				time.Sleep(3 * time.Second)
				require.Equal(t, 8, f.inForce(1))
				f.commit("b", 1, "defaults.call.timeoutMs", 8)
				f.await(func(n *fakeNode) bool { return n.distributor.State().Held >= 2 })
				time.Sleep(time.Duration(random.IntN(10_000)) * time.Microsecond)
				f.store.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} })
				for range 4 {
					// Replaces a node that holds the version, if any, or at random one that already has it in force.
					old := f.nodes[f.all[random.IntN(len(f.all))]]
					if holding := f.matching(func(s State) bool { return s.Held >= 2 }); len(holding) > 0 {
						old = holding[random.IntN(len(holding))]
					}
					if inForce := f.matching(func(s State) bool { return s.Version >= 2 }); len(inForce) > 0 && random.IntN(2) > 0 {
						old = inForce[random.IntN(len(inForce))]
					}
					had := old.distributor.State().Version
					fresh := f.replace(old)
					f.await(func(n *fakeNode) bool { return n == fresh && hasInForce(0)(n) })
					require.GreaterOrEqual(t, fresh.distributor.State().Version, had, "%s of %v", fresh.id, f.all)
					time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
				}
			})
		})
	}
}

// Guards against counting the sender of a version as a holder: it was replaced while its message was in transit.
func TestSourceReplacedBeforeItsVersionArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		for range 3 {
			f.add("hue")
		}
		f.commit("a", 0, "defaults.call.timeoutMs", 7)
		time.Sleep(3 * time.Second)
		set := func(blocked func(from, to string) bool, slow func(from, to string) time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.blocked, f.slow = blocked, slow
		}
		toSecond := func(from, to string) bool { return from == "hue-0" && to == "hue-1" }
		set(func(from, to string) bool { return from != "hue-1" && !toSecond(from, to) }, func(from, to string) time.Duration {
			if toSecond(from, to) {
				return 50 * time.Millisecond
			}
			return 0
		})
		v := f.commit("b", 1, "defaults.call.timeoutMs", 8)
		f.store.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} })
		source, second := f.nodes["hue-0"], f.nodes["hue-1"]
		source.distributor.Accept(v)
		second.distributor.RecordPeerVersion("hue-0", 2)
		time.Sleep(10 * time.Millisecond) // the answer to the second node is in transit
		set(func(string, string) bool { return false }, nil)
		fresh := f.replace(source)
		f.await(func(n *fakeNode) bool { return n == fresh && hasInForce(0)(n) })
		require.EqualValues(t, 1, fresh.distributor.State().Version, "the version reached nobody yet")
		f.await(func(n *fakeNode) bool { return n == second && hasInForce(2)(n) })
		others, _ := f.holders(second, 2)
		require.Positive(t, others)
	})
}

// matching returns the nodes whose state meets a condition.
func (f *fleet) matching(met func(State) bool) (nodes []*fakeNode) {
	for _, id := range f.all {
		if n := f.nodes[id]; met(n.distributor.State()) {
			nodes = append(nodes, n)
		}
	}
	return slices.Clip(nodes)
}

// Guards against a node that joins with a lower version than its peers hold while the table is down: it must query all nodes
// of a small fleet, and wait for an unresponsive one until that would have been detected as dead.
func TestJoinQueriesAllPeers(t *testing.T) {
	for _, silent := range []int{0, 1} {
		t.Run(fmt.Sprint(silent, " silent peers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stop()
				for range joinPeers {
					f.add("hue")
				}
				f.commit("a", 0, "defaults.call.timeoutMs", 7)
				time.Sleep(3 * time.Second)
				f.mu.Lock()
				f.blocked = func(from, to string) bool { return true }
				f.mu.Unlock()
				time.Sleep(5 * time.Second) // messages in transit time out
				v := f.commit("b", 1, "defaults.call.timeoutMs", 8)
				f.store.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} })
				f.nodes["hue-7"].distributor.Accept(v)
				f.mu.Lock()
				f.blocked = func(from, to string) bool {
					return from != "hue-16" && to != "hue-16" || silent == 1 && (from == "hue-3" || to == "hue-3")
				}
				f.mu.Unlock()
				start := time.Now()
				fresh := f.add("hue")
				f.await(func(n *fakeNode) bool { return n == fresh && hasInForce(0)(n) })
				require.EqualValues(t, 2, fresh.distributor.State().Version, "one of 16 peers had it")
				require.Equal(t, silent == 0, time.Since(start) < joinMajorityDelay)
				require.Less(t, time.Since(start), 2*joinMajorityDelay)
			})
		})
	}
}
