package handout

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// fleet is a set of handouts that reach each other through fakes.
type fleet struct {
	t     *testing.T
	store *platformtest.Memory
	// noTable is a place whose nodes do not reach the table; it is set before nodes are added.
	noTable string
	cancel  context.CancelFunc
	ctx     context.Context
	runs    sync.WaitGroup

	mu       sync.Mutex
	nodes    map[string]*fakeNode
	places   map[string][]string // node ids in the order of the ring
	all      []string
	blocked  func(from, to string) bool // messages that time out
	muted    bool                       // announcements are lost
	random   *rand.Rand
	messages int64
	bytes    int64
}

// fakeNode is a node of a fleet and its view of the peers.
type fakeNode struct {
	fleet  *fleet
	id     string
	place  string
	index  int
	holder *current.Holder
	out    *Handout
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

// add adds a node and starts it; the first two nodes of a place are its readers.
func (f *fleet) add(place string) *fakeNode {
	f.mu.Lock()
	n := &fakeNode{fleet: f, place: place, index: len(f.places[place]), holder: current.New(place)}
	n.id = fmt.Sprintf("%s-%d", place, n.index)
	n.out = New(Config{
		Holder: n.holder, Peers: n, Store: nodeStore{n, commit.NewStore(f.store, f.store)},
		IsReader: func() bool { return n.index < 2 }, Random: f.float,
	})
	f.nodes[n.id] = n
	f.places[place] = append(f.places[place], n.id)
	f.all = append(f.all, n.id)
	f.mu.Unlock()
	f.runs.Go(func() { n.out.Run(f.ctx) })
	return n
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

// inForce counts the nodes that have a version.
func (f *fleet) inForce(version int64) int {
	count := 0
	for _, n := range f.nodes {
		if n.out.State().Version >= version {
			count++
		}
	}
	return count
}

func (f *fleet) announcements() (sum int64) {
	for _, n := range f.nodes {
		sum += n.out.State().Announcements
	}
	return sum
}

// traffic returns the messages and bytes of payload sent so far.
func (f *fleet) traffic() (messages, bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.messages, f.bytes
}

// send passes a message of a size, after the latency between two nodes.
func (f *fleet) send(ctx context.Context, from, to string, message proto.Message) (*fakeNode, error) {
	f.mu.Lock()
	n, blocked, latency := f.nodes[to], f.blocked(from, to), time.Duration(500+f.random.IntN(1000))*time.Microsecond
	f.messages++
	f.bytes += int64(proto.Size(message))
	f.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(latency)
	return n, ctx.Err()
}

func (n *fakeNode) Next(count int) []string {
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
	var out []string
	picked := map[string]bool{n.id: true}
	for len(out) < min(count, len(from)-1) {
		if id := from[n.fleet.random.IntN(len(from))]; !picked[id] {
			picked[id] = true
			out = append(out, id)
		}
	}
	return out
}

func (n *fakeNode) Announce(ctx context.Context, peer string, version int64) error {
	to, err := n.fleet.send(ctx, n.id, peer, &peerpb.SyncRequest{From: n.id, Place: n.place, SettingsVersion: version})
	n.fleet.mu.Lock()
	muted := n.fleet.muted
	n.fleet.mu.Unlock()
	if err == nil && !muted {
		to.out.Mention(n.id, version)
	}
	return err
}

func (n *fakeNode) Fetch(ctx context.Context, peer string, request *peerpb.FetchSettingsRequest) (*peerpb.FetchSettingsReply, error) {
	to, err := n.fleet.send(ctx, n.id, peer, request)
	if err != nil {
		return nil, err
	}
	reply := to.out.Serve(request)
	_, err = n.fleet.send(ctx, peer, n.id, reply)
	return reply, err
}

// nodeStore is the store as one node reaches it.
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
