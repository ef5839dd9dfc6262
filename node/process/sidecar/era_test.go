package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/process/localserver"
	"github.com/radishstand/radishstand/node/version/routing"
)

// eraStore is a store in virtual time whose polls see no change. It counts the calls and records misuse.
type eraStore struct {
	mu      sync.Mutex
	state   OperatorState
	fleet   Fleet
	observe func(uint64)
	// hangs makes polls in progress last until they are ended.
	hangs                bool
	reads, polls, fleets int
	// outdated holds the revisions of polls that were of an older era than a response before.
	outdated    []Revision
	seen        uint64
	loseNextPut bool
}

func (s *eraStore) ObserveEra(observe func(uint64)) { s.observe = observe }

// respond passes on the era and returns the state.
func (s *eraStore) respond() OperatorState {
	s.mu.Lock()
	state := s.state
	s.seen = state.Revision.Era
	s.mu.Unlock()
	s.observe(state.Revision.Era)
	return state
}

func (s *eraStore) Routing(context.Context) (OperatorState, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	return s.respond(), nil
}

func (s *eraStore) AwaitRouting(ctx context.Context, after OperatorState, wait time.Duration) (OperatorState, error) {
	s.mu.Lock()
	s.polls++
	if after.Revision.Era < s.seen {
		s.outdated = append(s.outdated, after.Revision)
	}
	hangs := s.hangs
	s.mu.Unlock()
	if hangs {
		wait = time.Hour
	}
	sleep(ctx, wait)
	if ctx.Err() != nil {
		return OperatorState{}, ctx.Err()
	}
	state := s.respond()
	state.Document, state.Evacuated = nil, after.Evacuated
	return state, nil
}

func (s *eraStore) Fleet(context.Context) (Fleet, error) {
	s.mu.Lock()
	s.fleets++
	s.mu.Unlock()
	s.respond()
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := Fleet{Members: map[string]Member{}, Knees: map[ServerKind]int{}}
	for address, m := range s.fleet.Members {
		copied.Members[address] = m
	}
	for kind, knee := range s.fleet.Knees {
		copied.Knees[kind] = knee
	}
	return copied, nil
}

func (s *eraStore) AddMember(ctx context.Context, m Member) (*Member, error) {
	return nil, s.PutMember(ctx, m)
}

func (s *eraStore) PutMember(_ context.Context, m Member) error {
	s.mu.Lock()
	lost := s.loseNextPut
	s.loseNextPut = false
	s.fleet.Members[m.Address] = m
	s.mu.Unlock()
	if lost {
		return errors.New("response lost")
	}
	s.respond()
	return nil
}

func (s *eraStore) RemoveMember(_ context.Context, address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fleet.Members, address)
	return nil
}

func (s *eraStore) PutKnee(_ context.Context, kind ServerKind, knee int) error {
	s.mu.Lock()
	s.fleet.Knees[kind] = knee
	s.mu.Unlock()
	s.respond()
	return nil
}

// with runs a function while no call changes the store.
func (s *eraStore) with(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// has reports whether the store has the entry and the knee of the node.
func (s *eraStore) has() (entry, knee bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Members[eraAddress].Server.ID == "i-1", s.fleet.Knees[eraKind] == 12
}

// goBack makes the store come back without the rows of nodes, in the next era and with a state.
func (s *eraStore) goBack(document string, row uint64, evacuated ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = OperatorState{Document: []byte(document), Evacuated: evacuated, Revision: Revision{Era: s.state.Revision.Era + 1, Row: row}}
	s.fleet = Fleet{Members: map[string]Member{}, Knees: map[ServerKind]int{}}
}

// calls returns the number of calls so far.
func (s *eraStore) calls() (reads, polls, fleets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.polls, s.fleets
}

// eraAdapter is an adapter whose routing documents are version numbers.
type eraAdapter struct{ store *eraStore }

func (a eraAdapter) Names() protocol.Names                          { return protocol.Names{} }
func (a eraAdapter) Announcements(AnnouncementHandler) http.Handler { return http.NotFoundHandler() }
func (a eraAdapter) Store() Store                                   { return a.store }
func (a eraAdapter) ParseRouting(document []byte) (*routing.Version, error) {
	number, err := strconv.ParseUint(string(document), 10, 64)
	if err != nil {
		return nil, err
	}
	return routing.New(routing.Definition{Number: number, Services: []routing.Service{{Name: "quotes"}}})
}

const eraAddress = "10.0.0.1:1"

var eraKind = ServerKind{Service: "quotes", Slots: 16}

// runWithStore runs the loops of a node without links against a store at version 5 and row 10, until the test function returns.
func runWithStore(t *testing.T, test func(*Node, *eraStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &eraStore{
			state: OperatorState{Document: []byte("5"), Revision: Revision{Row: 10}},
			fleet: Fleet{Members: map[string]Member{}, Knees: map[ServerKind]int{eraKind: 12}},
		}
		c := Config{Service: "quotes", Place: "north", ServerAddress: "10.0.0.1:9", Listen: Listen{Peers: eraAddress}}
		n := New(ctx, c, eraAdapter{store}, discardLog{})
		store.ObserveEra(n.storeResponded)
		assert.NoError(t, n.server.Announce(localserver.Announcement{
			ID: "i-1", Service: "quotes", Address: c.ServerAddress, Slots: eraKind.Slots, Sequence: 1, StartedAtMs: 1,
		}))
		var loops sync.WaitGroup
		loops.Go(func() { n.watchRouting(ctx) })
		loops.Go(func() { n.maintainMembership(ctx) })
		time.Sleep(time.Minute)
		test(n, store)
		cancel()
		loops.Wait()
		assert.Empty(t, store.outdated, "polls with a position of an older era")
	})
}

// Guards against a node that continues a feed position which exists again in the new era and so misses the changes below it, against
// rows of the node that stay lost, and against an older configuration that replaces the current one.
func TestEverythingIsReadAndWrittenAgainAfterAChangeOfTheEra(t *testing.T) {
	runWithStore(t, func(n *Node, store *eraStore) {
		store.goBack("4", 10, "south") // the position of the node exists again
		time.Sleep(frequentPollTimeout + 2*time.Second)
		assert.Equal(t, []string{"south"}, n.evacuations.holder.InForce())
		assert.EqualValues(t, 5, n.routing.Number(), "an older configuration is not adopted")
		entry, knee := store.has()
		assert.True(t, entry, "entry with the identity of the server")
		assert.True(t, knee)
		assert.EqualValues(t, 1, n.eras.get())
	})
}

// Guards against a loop of calls, and against calls because of the era while it does not change.
func TestCallsAfterAChangeOfTheEraAreBounded(t *testing.T) {
	runWithStore(t, func(_ *Node, store *eraStore) {
		reads, polls, fleets := store.calls()
		assert.Equal(t, 1, reads)
		assert.Equal(t, 2, fleets, "at the start, and a second time")
		store.goBack("5", 9, "south")
		time.Sleep(5 * time.Second)
		readsAfter, pollsAfter, fleetsAfter := store.calls()
		assert.LessOrEqual(t, readsAfter-reads, 2, "one at once, and one when operators have written again")
		assert.LessOrEqual(t, pollsAfter-polls, 9)
		assert.Equal(t, 1, fleetsAfter-fleets)
		time.Sleep(10 * time.Second)
		readsLater, _, _ := store.calls()
		assert.Equal(t, readsAfter, readsLater)
	})
}

// Guards against a write that counts as done although it is lost: its response was lost, or the store has gone back since.
func TestWriteIsRepeatedWhenItsResponseIsLost(t *testing.T) {
	runWithStore(t, func(_ *Node, store *eraStore) {
		store.with(func() { store.loseNextPut = true })
		store.goBack("5", 9)
		time.Sleep(1500 * time.Millisecond)
		store.goBack("5", 9)
		time.Sleep(frequentPollTimeout + 2*time.Second)
		entry, _ := store.has()
		assert.True(t, entry)
	})
}

// Guards against an entry that a copy of the store brings back after its node was stopped as planned.
func TestRestoredEntryOfAStoppingNodeIsRemoved(t *testing.T) {
	runWithStore(t, func(n *Node, store *eraStore) {
		n.stopping.Store(true)
		assert.NoError(t, store.RemoveMember(t.Context(), eraAddress))
		store.goBack("5", 9)
		store.with(func() { store.fleet.Members[eraAddress] = n.self() })
		time.Sleep(frequentPollTimeout + 2*time.Second)
		entry, _ := store.has()
		assert.False(t, entry)
	})
}

// Guards against a knee that counts as written although the store went back meanwhile.
func TestKneeIsWrittenAgainWhenTheEraChangedMeanwhile(t *testing.T) {
	runWithStore(t, func(n *Node, store *eraStore) {
		writes := 0
		n.storeKnee(eraKind, func() int {
			writes++
			if writes == 1 { // between here and the response
				store.with(func() { store.state.Revision.Era++ })
			}
			return 12
		})
		assert.Equal(t, 2, writes)
	})
}

// Guards against a node that does not notice a new era while its poll is lost, and against calls without end because of an era that
// the store does not confirm.
func TestEraOfAnotherNodeIsChecked(t *testing.T) {
	runWithStore(t, func(n *Node, store *eraStore) {
		store.with(func() { store.hangs = true })
		time.Sleep(2 * frequentPollTimeout)
		store.goBack("6", 10)
		time.Sleep(5 * time.Second)
		assert.Zero(t, n.eras.get(), "the poll is lost")
		n.peerReportedEra("10.0.0.2:1", 1)
		time.Sleep(2 * time.Second)
		assert.EqualValues(t, 1, n.eras.get())
		assert.EqualValues(t, 6, n.routing.Number())
		entry, _ := store.has()
		assert.True(t, entry)

		reads, _, _ := store.calls()
		for range 20 {
			n.peerReportedEra("10.0.0.2:1", 7)
			time.Sleep(time.Second)
		}
		readsAfter, _, _ := store.calls()
		assert.Equal(t, 1, readsAfter-reads)
		assert.EqualValues(t, 1, n.eras.get())
	})
}

// operatorsWriteWithin is the time after the store's return in which operators write again what it lost.
const operatorsWriteWithin = time.Second

// Guards against calls to the servers of a place whose row the store has lost, until operators have written it again.
func TestEvacuationLastsUntilOperatorsHadTimeToWriteItAgain(t *testing.T) {
	for _, again := range []bool{false, true} {
		t.Run(fmt.Sprintf("written again %t", again), func(t *testing.T) {
			runWithStore(t, func(n *Node, store *eraStore) {
				n.receiveEvacuations("10.0.0.2:1", &linkpb.Evacuations{Revision: 11, Places: []string{"north"}})
				assert.False(t, n.server.Status().Ready)
				store.goBack("5", 9)
				for n.eras.get() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(operatorsWriteWithin - 10*time.Millisecond)
				assert.False(t, n.server.Status().Ready)
				if again {
					store.with(func() { store.state.Evacuated, store.state.Revision.Row = []string{"north"}, 10 })
				}
				time.Sleep(time.Second)
				assert.Equal(t, !again, n.server.Status().Ready)
			})
		})
	}
}

// Guards against nodes that call the store at the same moment after a change of the era.
func TestNodesSpreadTheirCallsAfterAChangeOfTheEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e eras
		e.observe(1, time.Now())
		n := &Node{}
		n.eras.observe(1, time.Now())
		first, last := time.Hour, time.Duration(0)
		for i := range uint64(40) {
			changes := n.eras.count()
			time.AfterFunc(time.Second, func() { n.eras.observe(i+2, time.Now()) })
			start := time.Now()
			n.waitForMembers(t.Context(), newMembersSchedule(func() bool { return false }), changes, false)
			took := time.Since(start) - time.Second
			first, last = min(first, took), max(last, took)
		}
		assert.Less(t, first, rewriteSpread/4)
		assert.Greater(t, last, 3*rewriteSpread/4)
		assert.LessOrEqual(t, last, rewriteSpread)
	})
}
