package distribution

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/platformtest"
	"github.com/radishstand/radishstand/node/version/commit"
	"github.com/radishstand/radishstand/node/version/current"
)

// fleet is a set of distributors that exchange messages through fakes.
type fleet struct {
	t     *testing.T
	store *platformtest.Memory
	// noTable is a place whose nodes cannot reach the table. It must be set before nodes are added.
	noTable string
	cancel  context.CancelFunc
	ctx     context.Context
	runs    sync.WaitGroup

	mu       sync.Mutex
	nodes    map[string]*fakeNode
	places   map[string][]string // node ids by place, in ring order
	all      []string
	blocked  func(from, to string) bool          // whether messages time out
	muted    bool                                // whether announcements are lost
	slow     func(from, to string) time.Duration // additional latency
	random   *rand.Rand
	messages int64
	bytes    int64
}

// fakeNode is a node of a fleet. It implements Peers for its distributor.
type fakeNode struct {
	fleet       *fleet
	id          string
	place       string
	index       int
	holder      *current.Holder
	distributor *Distributor
	stop        func()
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, store: platformtest.NewMemory(), nodes: map[string]*fakeNode{}, places: map[string][]string{},
		blocked: func(string, string) bool { return false }, random: rand.New(rand.NewPCG(1, 2)),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

func (f *fleet) stop() {
	f.cancel()
	f.runs.Wait()
}

// add adds and starts a node. The first two nodes of a place are its readers.
func (f *fleet) add(place string) *fakeNode {
	f.mu.Lock()
	id := fmt.Sprintf("%s-%d", place, len(f.places[place]))
	f.places[place] = append(f.places[place], id)
	f.all = append(f.all, id)
	f.mu.Unlock()
	return f.start(place, len(f.places[place])-1, id)
}

// start starts a node, which replaces an earlier one with the same id, if any.
func (f *fleet) start(place string, index int, id string) *fakeNode {
	n := &fakeNode{fleet: f, place: place, index: index, id: id, holder: current.New(place)}
	n.distributor = New(Config{
		Holder: n.holder, Peers: n, Store: nodeStore{n, commit.NewStore(f.store, f.store)},
		IsReader: func() bool { return n.index < 2 }, Random: f.float,
	})
	f.mu.Lock()
	f.nodes[n.id] = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.ctx)
	n.stop = cancel
	f.runs.Go(func() { n.distributor.Run(ctx) })
	return n
}

// replace stops a node and starts a new one with the same id. Messages in transit to the old node are lost, and those
// from it still arrive.
func (f *fleet) replace(n *fakeNode) *fakeNode {
	f.mu.Lock()
	delete(f.nodes, n.id)
	f.mu.Unlock()
	n.stop()
	return f.start(n.place, n.index, n.id)
}

func (f *fleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *fleet) commit(id string, base int64, path string, value any) commit.Version {
	data, _ := json.Marshal(value)
	editor := commit.NewEditor(commit.NewStore(f.store, f.store), time.Now)
	result, err := editor.Commit(f.ctx, commit.Change{ID: id, Author: "lan", BaseVersion: base, Edits: []settings.Edit{settings.Set(path, data)}})
	require.NoError(f.t, err)
	return *result.Accepted
}

// inForce returns the number of nodes that have a version or a later one in force.
func (f *fleet) inForce(version int64) int {
	count := 0
	for _, n := range f.nodes {
		if n.distributor.State().Version >= version {
			count++
		}
	}
	return count
}

func (f *fleet) announcements() (sum int64) {
	for _, n := range f.nodes {
		sum += n.distributor.State().Announcements
	}
	return sum
}

// traffic returns the number of messages and payload bytes sent so far.
func (f *fleet) traffic() (messages, bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.messages, f.bytes
}

var errReplaced = errors.New("the node was replaced")

// send delivers a message to a node after the latency between the two nodes, and returns the receiver.
func (f *fleet) send(ctx context.Context, from, to string, message proto.Message) (*fakeNode, error) {
	f.mu.Lock()
	n, blocked, latency := f.nodes[to], f.blocked(from, to), time.Duration(500+f.random.IntN(1000))*time.Microsecond
	if f.slow != nil {
		latency += f.slow(from, to)
	}
	f.messages++
	f.bytes += int64(proto.Size(message))
	f.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(latency)
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.nodes[to]; now == nil || now != n {
		return nil, errReplaced
	}
	return n, ctx.Err()
}

func (n *fakeNode) Successors(count int) []string {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	ring := n.fleet.places[n.place]
	var out []string
	for i := 1; i <= count && i < len(ring); i++ {
		out = append(out, ring[(n.index+i)%len(ring)])
	}
	return out
}

func (n *fakeNode) Sample(count int, scope Scope) []string {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	from := n.fleet.all
	if scope == OwnPlace && len(n.fleet.places[n.place]) > 1 {
		from = n.fleet.places[n.place]
	}
	if scope == OtherPlaces {
		from = slices.DeleteFunc(slices.Clone(from), func(id string) bool { return strings.HasPrefix(id, n.place+"-") })
	}
	var out []string
	start := n.fleet.random.IntN(max(1, len(from)))
	for i := 0; i < len(from) && len(out) < count; i++ {
		step := i * max(1, len(from)/count)
		if id := from[(start+step+step/len(from))%len(from)]; id != n.id && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

func (n *fakeNode) CountLive(except string) int {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(n.fleet.all), func(id string) bool { return id == except }))
}

func (n *fakeNode) Announce(ctx context.Context, peer string, version int64) error {
	to, err := n.fleet.send(ctx, n.id, peer, &peerpb.SyncRequest{From: n.id, Place: n.place, SettingsVersion: version})
	n.fleet.mu.Lock()
	muted := n.fleet.muted
	n.fleet.mu.Unlock()
	if err == nil && !muted {
		to.distributor.RecordPeerVersion(n.id, version)
	}
	return err
}

func (n *fakeNode) Fetch(ctx context.Context, peer string, request *peerpb.FetchSettingsRequest) (*peerpb.FetchSettingsReply, error) {
	if request.HoldVersion > 0 || request.Joining {
		request.From = n.id
	}
	to, err := n.fleet.send(ctx, n.id, peer, request)
	if err != nil {
		return nil, err
	}
	reply := to.distributor.HandleFetch(ctx, request)
	if _, err = n.fleet.send(ctx, peer, n.id, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// nodeStore is the store as seen from one node. It is unavailable in the place noTable.
type nodeStore struct {
	node *fakeNode
	Store
}

func (s nodeStore) HeadVersion(ctx context.Context) (int64, error) {
	if s.node.place == s.node.fleet.noTable {
		return 0, platform.ErrUnavailable
	}
	return s.Store.HeadVersion(ctx)
}
