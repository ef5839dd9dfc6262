package membership

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/platformtest"
)

// verdicts records which members any of the nodes saw in a state.
type verdicts struct {
	mu   sync.Mutex
	seen map[State]map[string]bool
}

func watch(nodes []*testNode) *verdicts {
	v := &verdicts{seen: map[State]map[string]bool{Suspect: {}, Dead: {}}}
	for _, n := range nodes {
		n.Subscribe(func(c Change) {
			v.mu.Lock()
			defer v.mu.Unlock()
			if c.After != nil && v.seen[c.After.State] != nil {
				v.seen[c.After.State][c.After.Address] = true
			}
		})
	}
	return v
}

func (v *verdicts) of(s State) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for address := range v.seen[s] {
		out = append(out, address)
	}
	return out
}

func (c *cluster) joined(nodes []*testNode) {
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

// Guards against a woken process that takes its own late timers for the death of the others, and against a verdict that
// cannot be taken back.
func TestAPausedNodeThatWakesRefutesAndAccusesNobody(t *testing.T) {
	for name, pause := range map[string]time.Duration{
		"shorter than the suspicion": 4 * time.Second, "after it was declared dead": 40 * time.Second, "longer than records are kept": 20 * time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				c.timing.Retention = 10 * time.Minute
				nodes := c.launch(5, "a", "b")
				c.joined(nodes)
				paused := nodes[2]
				v := watch(nodes)
				paused.clock.gate.close()
				time.Sleep(pause)
				paused.clock.gate.open()
				t.Log("all agree after", c.eventually(time.Minute, "refutation", func() bool { return agree(nodes) }))
				time.Sleep(time.Minute)
				require.True(t, agree(nodes))
				require.Subset(t, []string{paused.cfg.Address}, v.of(Suspect))
				require.Subset(t, []string{paused.cfg.Address}, v.of(Dead))
			})
		})
	}
}

// Guards against news of a predecessor at the same address that outranks its replacement.
func TestAReplacementOutranksOldNewsOfItsAddress(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(5, "a")
		c.joined(nodes)
		old := nodes[1]
		for slots := range 30 {
			old.SetSelf(Server{ID: old.cfg.Address, Service: "quotes", Slots: slots}, true)
		}
		time.Sleep(2 * time.Second)
		news := old.Self()
		c.kill(old)
		nodes[1] = c.start(old.cfg.Address, "a")
		c.eventually(30*time.Second, "replacement is known", func() bool { return agree(nodes) })
		for _, state := range []State{Alive, Dead, Left} {
			_, err := nodes[0].HandleSync(t.Context(), &peerpb.SyncRequest{Records: []*peerpb.MemberRecord{news.withState(state).message()}})
			require.NoError(t, err)
		}
		time.Sleep(5 * time.Second)
		require.True(t, agree(nodes))
		require.False(t, nodes[0].table.get(old.cfg.Address).Draining)
	})
}

// Guards against a process that keeps speaking for an address which another one has registered.
func TestAProcessThatLostItsAddressStops(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(4, "a")
		c.joined(nodes)
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

// Guards against a fleet that needs the store to start, or that evicts members because the store is away.
func TestAStoreOutageStopsNoJoinAndEvictsNobody(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.peers = []string{"10.a.0.0:7000", "10.b.0.0:7000"}
		c.timing = Timing{RefreshEvery: 5 * time.Minute, RegistrationTTL: 20 * time.Minute, Retention: 15 * time.Minute}
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
		v := watch(nodes)
		c.store.SetFault(storeDown)
		time.Sleep(time.Hour) // longer than the life of a row
		require.Empty(t, v.of(Suspect))
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

// Guards against an incarnation that is used twice or lost when the answer of the write is.
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
				c.joined(nodes)
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

// Guards against a provisional incarnation that collides with one in the table, in either order.
func TestAProvisionalIncarnationIsReconciled(t *testing.T) {
	for name, stored := range map[string]int64{"the table is behind": 1, "the table is equal": 4, "the table is ahead": 9} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := c.launch(3, "a")
				c.joined(nodes)
				address := "10.a.0.77:7000"
				ghost := &peerpb.MemberRecord{Address: address, Place: "a", Incarnation: 3, Sequence: 5, State: peerpb.MemberState_MEMBER_STATE_ALIVE}
				_, err := nodes[0].HandleSync(t.Context(), &peerpb.SyncRequest{Records: []*peerpb.MemberRecord{ghost}})
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

// Guards against one verdict a member when a link fails, and against a verdict that outlives the fault.
func TestAPartitionBetweenPlacesIsOneVerdictThatHeals(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(6, "a", "b", "c")
		c.joined(nodes)
		v := watch(nodes)
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
		c.setCut(between)
		t.Log("verdict after", c.eventually(30*time.Second, "verdict", reachable(false)))
		time.Sleep(10 * time.Minute)
		require.True(t, reachable(false)())
		nodes[0].SetSelf(Server{}, true) // place a is "10.a", whose news still reach b through c
		c.setCut(nil)
		t.Log("healed after", c.eventually(30*time.Second, "heal", reachable(true)))
		c.eventually(time.Minute, "news of before", func() bool { return agree(nodes) })
		require.Empty(t, v.of(Suspect))
	})
}

// Guards against a burst of deaths when a place is lost, and against its old nodes staying members once it is rebuilt.
func TestALostPlaceIsOneVerdictUntilItIsRebuilt(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(8, "a", "b")
		c.joined(nodes)
		var lost, rest []*testNode
		for _, n := range nodes {
			if n.cfg.Place == "a" {
				lost = append(lost, n)
			} else {
				rest = append(rest, n)
			}
		}
		v := watch(rest)
		for _, n := range lost {
			c.kill(n)
		}
		t.Log("verdict after", c.eventually(30*time.Second, "verdict", func() bool {
			for _, n := range rest {
				if n.PlaceReachable("a") {
					return false
				}
			}
			return true
		}))
		time.Sleep(5 * time.Minute)
		require.Empty(t, v.of(Suspect))
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

// Guards against deaths of live members on a network that loses messages.
func TestALossyNetworkKillsNobody(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(10, "a", "b")
		c.joined(nodes)
		v := watch(nodes)
		c.setLoss(0.1)
		time.Sleep(30 * time.Minute)
		t.Log("suspected:", len(v.of(Suspect)))
		require.Empty(t, v.of(Dead))
		require.True(t, nodes[0].PlaceReachable("b") && nodes[1].PlaceReachable("a"))
		c.setLoss(0)
		c.eventually(time.Minute, "agreement", func() bool { return agree(nodes) })
	})
}

// Guards against isolated nodes that declare everybody else dead, also when a helper shares their fault.
func TestIsolatedNodesAccuseNobody(t *testing.T) {
	for name, count := range map[string]int{"one node": 1, "two nodes of a rack": 2} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := c.launch(8, "a", "b")
				c.joined(nodes)
				apart := map[*testNode]bool{}
				var accused []string
				for i := range count {
					apart[nodes[2*i+4]] = true // even nodes are of place a
					accused = append(accused, nodes[2*i+4].cfg.Address)
				}
				rest := slices.DeleteFunc(slices.Clone(nodes), func(n *testNode) bool { return apart[n] })
				v := watch(nodes)
				c.setCut(func(x, y *testNode) bool { return apart[x] != apart[y] })
				for _, address := range accused {
					c.eventually(time.Minute, "others see it dead", func() bool { return sees(rest, address, Dead) })
				}
				time.Sleep(10 * time.Minute)
				require.True(t, nodes[4].Dump().Isolated)
				require.ElementsMatch(t, accused, v.of(Suspect))
				c.setCut(nil)
				t.Log("back after", c.eventually(5*time.Minute, "return", func() bool { return agree(nodes) }))
			})
		})
	}
}

// Guards against dead members that stay alive for good because no third one is left to confirm it, and against verdicts of
// that kind that do not heal.
func TestTheLastNodeFindsTheOthersDead(t *testing.T) {
	for name, size := range map[string]int{"of two": 2, "of three": 3, "of four": 4} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := c.launch(size, "a")
				c.joined(nodes)
				v := watch(nodes)
				c.setCut(func(x, y *testNode) bool { return x != y })
				time.Sleep(20 * time.Second)
				require.Empty(t, v.of(Suspect), "a short failure that nobody confirms")
				for _, n := range nodes {
					for _, other := range nodes {
						if other != n {
							c.eventually(2*time.Minute, "death", func() bool { return sees([]*testNode{n}, other.cfg.Address, Dead) })
						}
					}
				}
				c.setCut(nil)
				t.Log("back after", c.eventually(5*time.Minute, "return", func() bool { return agree(nodes) }))
			})
		})
	}
}

// Guards against a rule for isolation that protects a dead node: the only neighbour of a place's survivor is most of what
// it monitors, and the members of another place must do as witnesses.
func TestTheOnlyNeighbourInAPlaceIsFoundDead(t *testing.T) {
	for name, others := range map[string]int{"two members of another place": 2, "one member of another place": 1} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := append(c.launch(2, "a"), c.launch(others, "b")...)
				c.joined(nodes)
				dead := nodes[0]
				c.kill(dead)
				rest := without(nodes, dead)
				c.eventually(time.Minute, "death", func() bool { return sees(rest, dead.cfg.Address, Dead) })
			})
		})
	}
}

// Guards against a burst of deaths that the limits on pushes spread too slowly.
func TestTheLossOfARackIsSeenByAll(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(40, "a", "b")
		c.joined(nodes)
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

// Guards against two fleets that never find each other again after a partition within a place.
func TestAPartitionWithinAPlaceHeals(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(12, "a")
		c.joined(nodes)
		side := map[*testNode]bool{}
		for _, n := range nodes[:6] {
			side[n] = true
		}
		c.setCut(func(x, y *testNode) bool { return side[x] != side[y] })
		c.eventually(3*time.Minute, "split", func() bool { return len(nodes[0].table.ring("a")) == 6 && len(nodes[11].table.ring("a")) == 6 })
		time.Sleep(10 * time.Minute)
		c.setCut(nil)
		t.Log("healed after", c.eventually(5*time.Minute, "heal", func() bool { return agree(nodes) }))
	})
}

// Guards against a leaving node that is taken for a failed one, and against records that are kept for ever or come back.
func TestLeftAndDeadRecordsAreRemovedForGood(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.timing.Retention = 10 * time.Minute
		nodes := c.launch(6, "a")
		c.joined(nodes)
		v := watch(nodes)
		left, dead := nodes[0], nodes[1]
		rest := without(nodes, left, dead)
		require.NoError(t, left.Leave(t.Context()))
		c.kill(left)
		t.Log("left after", c.eventually(5*time.Second, "leave", func() bool { return sees(rest, left.cfg.Address, Left) }))
		c.kill(dead)
		c.eventually(time.Minute, "death", func() bool { return sees(rest, dead.cfg.Address, Dead) })
		require.Equal(t, []string{dead.cfg.Address}, v.of(Suspect))
		time.Sleep(nodes[2].timing.Retention * 3 / 2)
		for _, n := range rest {
			require.Equal(t, int64(len(rest)), n.table.count.Load())
		}
	})
}

// Guards against a count that runs ahead of the members or never arrives.
func TestSettingsVersionsAreCountedByPlace(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(7, "a", "b")
		c.joined(nodes)
		for _, n := range nodes[:13] {
			n.SetSettingsVersion(8)
		}
		count := func() map[string]VersionCount { return nodes[0].VersionCounts(8) }
		t.Log("counted after", c.eventually(10*time.Second, "count", func() bool { return count()["a"].AtLeast == 7 && count()["b"].AtLeast == 6 }))
		require.Equal(t, VersionCount{AtLeast: 6, Members: 7}, count()["b"])
		require.Equal(t, 0, nodes[0].VersionCounts(9)["a"].AtLeast)
	})
}

// Guards against a leave that is reported as recorded although the store is down.
func TestLeaveWithoutStoreIsReported(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(2, "a")
		c.joined(nodes)
		c.store.SetFault(storeDown)
		require.ErrorIs(t, nodes[0].Leave(context.Background()), ErrNotRegistered)
	})
}
