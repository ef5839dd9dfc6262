package membership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/platformtest"
)

// stateRecorder records which members any of the nodes has set to a state.
type stateRecorder struct {
	mu   sync.Mutex
	seen map[State]map[string]bool
}

func recordStates(nodes []*testNode) *stateRecorder {
	recorder := &stateRecorder{seen: map[State]map[string]bool{Suspect: {}, Dead: {}}}
	for _, n := range nodes {
		n.Subscribe(func(c Change) {
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			if c.After != nil && recorder.seen[c.After.State] != nil {
				recorder.seen[c.After.State][c.After.Address] = true
			}
		})
	}
	return recorder
}

func (r *stateRecorder) addressesIn(s State) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for address := range r.seen[s] {
		out = append(out, address)
	}
	return out
}

func (c *cluster) waitJoined(nodes []*testNode) {
	c.t.Helper()
	c.eventually(time.Minute, "all nodes join", func() bool { return agree(nodes) })
	time.Sleep(10 * time.Second)
}

func without(nodes []*testNode, drop ...*testNode) []*testNode {
	var out []*testNode
	for _, n := range nodes {
		keep := true
		for _, d := range drop {
			keep = keep && n != d
		}
		if keep {
			out = append(out, n)
		}
	}
	return out
}

func storeDown(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} }

// Guards against a resumed process that takes its own late timers for failures of the others, and against a suspicion or
// death that the resumed process cannot refute.
func TestResumedNodeRefutesAndSuspectsNoOne(t *testing.T) {
	for name, pause := range map[string]time.Duration{
		"shorter than the suspicion": 4 * time.Second, "after it was declared dead": 40 * time.Second, "longer than records are kept": 20 * time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				c.timing.Retention = 10 * time.Minute
				nodes := c.launch(5, "a", "b")
				c.waitJoined(nodes)
				paused := nodes[2]
				recorder := recordStates(nodes)
				paused.clock.gate.close()
				time.Sleep(pause)
				paused.clock.gate.open()
				t.Log("all agree after", c.eventually(time.Minute, "refutation", func() bool { return agree(nodes) }))
				time.Sleep(time.Minute)
				require.True(t, agree(nodes))
				require.Subset(t, []string{paused.cfg.Address}, recorder.addressesIn(Suspect))
				require.Subset(t, []string{paused.cfg.Address}, recorder.addressesIn(Dead))
			})
		})
	}
}

// Guards against a late record of a predecessor at the same address that supersedes the record of its replacement.
func TestReplacementSupersedesOldRecordsOfItsAddress(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(5, "a")
		c.waitJoined(nodes)
		old := nodes[1]
		for slots := range 30 {
			old.SetSelf(Server{ID: old.cfg.Address, Service: "quotes", Slots: slots}, true)
		}
		time.Sleep(2 * time.Second)
		oldRecord := old.Self()
		c.kill(old)
		nodes[1] = c.start(old.cfg.Address, "a")
		c.eventually(30*time.Second, "replacement is known", func() bool { return agree(nodes) })
		for _, state := range []State{Alive, Dead, Left} {
			_, err := nodes[0].HandleSync(t.Context(), &peerpb.SyncRequest{Records: []*peerpb.MemberRecord{oldRecord.withState(state).message()}})
			require.NoError(t, err)
		}
		time.Sleep(5 * time.Second)
		require.True(t, agree(nodes))
		require.False(t, nodes[0].records.get(old.cfg.Address).Draining)
	})
}

// Guards against a process that keeps running under an address that another process has registered.
func TestProcessStopsWhenItsAddressIsTaken(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(4, "a")
		c.waitJoined(nodes)
		old := nodes[1]
		old.clock.gate.close()
		nodes[1] = c.start(old.cfg.Address, "a")
		c.eventually(30*time.Second, "replacement is known", func() bool { return agree(nodes) })
		old.clock.gate.open()
		c.eventually(30*time.Second, "old process ends", func() bool { return len(old.done) == 1 })
		require.ErrorIs(t, <-old.done, ErrSuperseded)
		time.Sleep(5 * time.Second)
		require.True(t, agree(nodes))
	})
}

// Guards against a fleet that cannot start without the store, or that removes members because the store is unavailable.
func TestStoreOutageAllowsJoinsAndRemovesNoMembers(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.peers = []string{"10.a.0.0:7000", "10.b.0.0:7000"}
		c.timing = Timing{RefreshInterval: 5 * time.Minute, RegistrationTTL: 20 * time.Minute, Retention: 15 * time.Minute}
		c.store.SetFault(storeDown)
		nodes := c.launch(3, "a", "b")
		t.Log("started without store after", c.eventually(time.Minute, "start without store", func() bool { return agree(nodes) }))
		require.False(t, nodes[0].Dump().Registered)
		c.store.SetFault(nil)
		c.eventually(3*time.Minute, "all register", func() bool {
			for _, n := range nodes {
				if !n.Dump().Registered {
					return false
				}
			}
			return agree(nodes)
		})
		recorder := recordStates(nodes)
		c.store.SetFault(storeDown)
		time.Sleep(time.Hour) // longer than the time to live of a row
		require.Empty(t, recorder.addressesIn(Suspect))
		newcomer := c.start("10.b.9.9:7000", "b")
		nodes = append(nodes, newcomer)
		c.eventually(time.Minute, "join in the middle of an outage", func() bool { return agree(nodes) })
		c.kill(newcomer)
		nodes[len(nodes)-1] = c.start("10.b.9.9:7000", "b")
		c.eventually(time.Minute, "replacement during an outage", func() bool { return agree(nodes) })
		require.Equal(t, uint64(2), nodes[len(nodes)-1].Self().Incarnation)
		c.store.SetFault(nil)
		c.eventually(3*time.Minute, "register after the outage", func() bool { return nodes[len(nodes)-1].Dump().Registered })
		require.True(t, agree(nodes))
	})
}

// Guards against an incarnation that is used twice or lost when the reply to the write is lost.
func TestRegistrationSurvivesLostAnswers(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{
		"the write took effect":                 {LoseAnswer: true},
		"the write takes effect 1 s later":      {LateEffect: time.Second},
		"the write takes effect a minute later": {LateEffect: time.Minute},
		"the write had no effect":               {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := c.launch(3, "a")
				c.waitJoined(nodes)
				for want := uint64(2); want < 6; want++ {
					c.kill(nodes[1])
					writes := 0
					c.store.SetFault(func(op platformtest.Operation) platformtest.Fault {
						if op.Name != "Transact" {
							return platformtest.Fault{}
						}
						if writes++; writes <= 2 {
							return fault
						}
						return platformtest.Fault{}
					})
					nodes[1] = c.start(nodes[1].cfg.Address, "a")
					c.eventually(time.Minute, "register", func() bool { return nodes[1].Dump().Registered })
					time.Sleep(2 * time.Minute)
					require.True(t, agree(nodes))
					item, err := c.store.Get(t.Context(), rowKey(nodes[1].cfg.Address))
					require.NoError(t, err)
					require.Equal(t, int64(want), item.Numbers[numberIncarnation])
					require.Equal(t, want, nodes[1].Self().Incarnation)
				}
			})
		})
	}
}

// Guards against a node that never registers because another program has written its row.
func TestInvalidRegistrationIsReplaced(t *testing.T) {
	for name, data := range map[string]string{
		"not JSON":        "\xff",
		"another type":    `{"registration": 7}`,
		"deeply nested":   `{"place": ` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"nothing":         "",
		"unknown members": `{"port": 99999}`,
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := c.launch(3, "a")
				c.waitJoined(nodes)
				address := nodes[1].cfg.Address
				c.kill(nodes[1])
				item, err := c.store.Get(t.Context(), rowKey(address))
				require.NoError(t, err)
				item.Data = []byte(data)
				require.NoError(t, c.store.Transact(t.Context(), platform.Write{Kind: platform.Put, Item: item}))
				nodes[1] = c.start(address, "a")
				c.eventually(time.Minute, "register", func() bool { return nodes[1].Dump().Registered })
				require.Greater(t, nodes[1].Self().Incarnation, uint64(item.Numbers[numberIncarnation]))
			})
		})
	}
}

// Guards against a provisional incarnation that collides with the stored one, which may be lower, equal or higher.
func TestProvisionalIncarnationIsReconciled(t *testing.T) {
	for name, stored := range map[string]int64{"the table is behind": 1, "the table is equal": 4, "the table is ahead": 9} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := c.launch(3, "a")
				c.waitJoined(nodes)
				address := "10.a.0.77:7000"
				oldRecord := &peerpb.MemberRecord{Address: address, Place: "a", Incarnation: 3, Sequence: 5, State: peerpb.MemberState_MEMBER_STATE_ALIVE}
				_, err := nodes[0].HandleSync(t.Context(), &peerpb.SyncRequest{Records: []*peerpb.MemberRecord{oldRecord}})
				require.NoError(t, err)
				require.NoError(t, c.store.Transact(t.Context(), platform.Write{Item: platform.Item{
					Key: rowKey(address), Numbers: map[string]int64{numberIncarnation: stored}, Data: []byte(`{"registration":"other"}`)}}))
				c.store.SetFault(storeDown)
				c.peers = []string{"10.a.0.0:7000"}
				nodes = append(nodes, c.start(address, "a"))
				c.eventually(time.Minute, "provisional join", func() bool { return agree(nodes) })
				require.Equal(t, uint64(4), nodes[3].Self().Incarnation)
				c.store.SetFault(nil)
				c.eventually(3*time.Minute, "register", func() bool { return nodes[3].Dump().Registered })
				time.Sleep(5 * time.Second)
				require.True(t, agree(nodes))
				require.Equal(t, uint64(max(4, stored+1)), nodes[3].Self().Incarnation)
			})
		})
	}
}

// Guards against suspecting each member of a place when the link between two places fails, and against a place that stays
// unreachable after the link has recovered.
func TestPartitionBetweenPlacesChangesOnlyReachability(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(6, "a", "b", "c")
		c.waitJoined(nodes)
		recorder := recordStates(nodes)
		between := func(x, y *testNode) bool {
			p, q := x.cfg.Place, y.cfg.Place
			return p == "a" && q == "b" || p == "b" && q == "a"
		}
		reachable := func(want bool) func() bool {
			return func() bool {
				for _, n := range nodes {
					for _, place := range []string{"a", "b", "c"} {
						affected := n.cfg.Place != "c" && place != "c" && n.cfg.Place != place
						if n.PlaceReachable(place) != (want || !affected) {
							return false
						}
					}
				}
				return true
			}
		}
		c.setPartition(between)
		t.Log("unreachable after", c.eventually(30*time.Second, "places unreachable", reachable(false)))
		time.Sleep(10 * time.Minute)
		require.True(t, reachable(false)())
		nodes[0].SetSelf(Server{}, true) // a change in place a, which reaches place b through place c
		c.setPartition(nil)
		t.Log("reachable after", c.eventually(30*time.Second, "places reachable", reachable(true)))
		c.eventually(time.Minute, "agreement on earlier changes", func() bool { return agree(nodes) })
		require.Empty(t, recorder.addressesIn(Suspect))
	})
}

// Guards against declaring each node of a lost place dead, and against keeping its old nodes as members after the place is
// rebuilt with new ones.
func TestLostPlaceIsUnreachableUntilRebuilt(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(8, "a", "b")
		c.waitJoined(nodes)
		var lost, rest []*testNode
		for _, n := range nodes {
			if n.cfg.Place == "a" {
				lost = append(lost, n)
			} else {
				rest = append(rest, n)
			}
		}
		recorder := recordStates(rest)
		for _, n := range lost {
			c.kill(n)
		}
		t.Log("unreachable after", c.eventually(30*time.Second, "place unreachable", func() bool {
			for _, n := range rest {
				if n.PlaceReachable("a") {
					return false
				}
			}
			return true
		}))
		time.Sleep(5 * time.Minute)
		require.Empty(t, recorder.addressesIn(Suspect))
		for i := range 4 {
			rest = append(rest, c.start([]string{"10.a.7.0:7000", "10.a.7.1:7000", "10.a.7.2:7000", "10.a.7.3:7000"}[i], "a"))
		}
		t.Log("rebuilt after", c.eventually(3*time.Minute, "rebuilt place", func() bool {
			for _, n := range rest {
				if !n.PlaceReachable("a") {
					return false
				}
			}
			return agree(rest)
		}))
	})
}

// Guards against declaring live members dead on a network that loses messages.
func TestLossyNetworkCausesNoDeaths(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(10, "a", "b")
		c.waitJoined(nodes)
		recorder := recordStates(nodes)
		c.setLoss(0.1)
		time.Sleep(30 * time.Minute)
		t.Log("suspected:", len(recorder.addressesIn(Suspect)))
		require.Empty(t, recorder.addressesIn(Dead))
		require.True(t, nodes[0].PlaceReachable("b") && nodes[1].PlaceReachable("a"))
		c.setLoss(0)
		c.eventually(time.Minute, "agreement", func() bool { return agree(nodes) })
	})
}

// Guards against isolated nodes that suspect the rest of the fleet, also when one of their relays is cut off with them.
func TestIsolatedNodesSuspectNoOne(t *testing.T) {
	for name, count := range map[string]int{"one node": 1, "two nodes of a rack": 2} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := c.launch(8, "a", "b")
				c.waitJoined(nodes)
				isolated := map[*testNode]bool{}
				var isolatedAddresses []string
				for i := range count {
					isolated[nodes[2*i+4]] = true // nodes with an even index are in place a
					isolatedAddresses = append(isolatedAddresses, nodes[2*i+4].cfg.Address)
				}
				rest := slices.DeleteFunc(slices.Clone(nodes), func(n *testNode) bool { return isolated[n] })
				recorder := recordStates(nodes)
				c.setPartition(func(x, y *testNode) bool { return isolated[x] != isolated[y] })
				for _, address := range isolatedAddresses {
					c.eventually(time.Minute, "others see it dead", func() bool { return sees(rest, address, Dead) })
				}
				time.Sleep(10 * time.Minute)
				require.True(t, nodes[4].Dump().Isolated)
				require.ElementsMatch(t, isolatedAddresses, recorder.addressesIn(Suspect))
				c.setPartition(nil)
				t.Log("back after", c.eventually(5*time.Minute, "return", func() bool { return agree(nodes) }))
			})
		})
	}
}

// Guards against dead members that are kept as alive because no third member is left to confirm the failure, and against
// deaths declared without confirmation that are not refuted after a partition.
func TestLastNodeDeclaresOthersDead(t *testing.T) {
	for name, size := range map[string]int{"of two": 2, "of three": 3, "of four": 4} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := c.launch(size, "a")
				c.waitJoined(nodes)
				recorder := recordStates(nodes)
				c.setPartition(func(x, y *testNode) bool { return x != y })
				time.Sleep(20 * time.Second)
				require.Empty(t, recorder.addressesIn(Suspect), "suspected for a short unconfirmed failure")
				for _, n := range nodes {
					for _, other := range nodes {
						if other != n {
							c.eventually(2*time.Minute, "death", func() bool { return sees([]*testNode{n}, other.cfg.Address, Dead) })
						}
					}
				}
				c.setPartition(nil)
				t.Log("back after", c.eventually(5*time.Minute, "return", func() bool { return agree(nodes) }))
			})
		})
	}
}

// Guards against a dead node that the isolation rule keeps alive: when the only neighbour in a place fails, all monitored
// peers fail, and members of another place must confirm the failure.
func TestOnlyNeighbourInPlaceIsDeclaredDead(t *testing.T) {
	for name, others := range map[string]int{"two members of another place": 2, "one member of another place": 1} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := append(c.launch(2, "a"), c.launch(others, "b")...)
				c.waitJoined(nodes)
				dead := nodes[0]
				c.kill(dead)
				rest := without(nodes, dead)
				c.eventually(time.Minute, "death", func() bool { return sees(rest, dead.cfg.Address, Dead) })
			})
		})
	}
}

// Guards against push limits that delay the deaths of many members at once.
func TestRackLossIsSeenByAll(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(40, "a", "b")
		c.waitJoined(nodes)
		time.Sleep(2 * time.Minute)
		rest := nodes[20:]
		for _, n := range nodes[:20] {
			c.kill(n)
		}
		t.Log("seen by all after", c.eventually(time.Minute, "deaths", func() bool {
			for _, n := range nodes[:20] {
				if !sees(rest, n.cfg.Address, Dead) {
					return false
				}
			}
			return agree(rest)
		}))
	})
}

// Guards against two halves of a place that do not rejoin after a partition.
func TestPartitionWithinPlaceRecovers(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(12, "a")
		c.waitJoined(nodes)
		side := map[*testNode]bool{}
		for _, n := range nodes[:6] {
			side[n] = true
		}
		c.setPartition(func(x, y *testNode) bool { return side[x] != side[y] })
		c.eventually(3*time.Minute, "split", func() bool { return len(nodes[0].records.ring("a")) == 6 && len(nodes[11].records.ring("a")) == 6 })
		time.Sleep(10 * time.Minute)
		c.setPartition(nil)
		t.Log("rejoined after", c.eventually(5*time.Minute, "rejoin", func() bool { return agree(nodes) }))
	})
}

// Guards against a leaving node that is treated as failed, and against dead or left records that are kept or come back.
func TestLeftAndDeadRecordsAreRemoved(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.timing.Retention = 10 * time.Minute
		nodes := c.launch(6, "a")
		c.waitJoined(nodes)
		recorder := recordStates(nodes)
		left, dead := nodes[0], nodes[1]
		rest := without(nodes, left, dead)
		require.NoError(t, left.Leave(t.Context()))
		c.kill(left)
		t.Log("left after", c.eventually(5*time.Second, "leave", func() bool { return sees(rest, left.cfg.Address, Left) }))
		c.kill(dead)
		c.eventually(time.Minute, "death", func() bool { return sees(rest, dead.cfg.Address, Dead) })
		require.Equal(t, []string{dead.cfg.Address}, recorder.addressesIn(Suspect))
		time.Sleep(nodes[2].timing.Retention * 3 / 2)
		for _, n := range rest {
			require.Equal(t, int64(len(rest)), n.records.count.Load())
		}
	})
}

// Guards against version counts above the number of members that have the version, and against counts that stay behind.
func TestSettingsVersionsAreCountedByPlace(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(7, "a", "b")
		c.waitJoined(nodes)
		for _, n := range nodes[:13] {
			n.SetSettingsVersion(8)
		}
		count := func() map[string]VersionCount { return nodes[0].VersionCounts(8) }
		t.Log("counted after", c.eventually(10*time.Second, "count", func() bool { return count()["a"].AtLeast == 7 && count()["b"].AtLeast == 6 }))
		require.Equal(t, VersionCount{AtLeast: 6, Members: 7}, count()["b"])
		require.Equal(t, 0, nodes[0].VersionCounts(9)["a"].AtLeast)
	})
}

// Guards against a leave that returns no error although the store is unavailable.
func TestLeaveWithoutStoreIsReported(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(2, "a")
		c.waitJoined(nodes)
		c.store.SetFault(storeDown)
		require.ErrorIs(t, nodes[0].Leave(context.Background()), ErrLeaveNotRecorded)
	})
}
