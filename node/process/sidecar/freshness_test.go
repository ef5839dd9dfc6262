package sidecar

import (
	"context"
	"errors"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/process/peers"
	"github.com/radishstand/radishstand/node/version/routing"
)

// numberAdapter parses documents that hold only the number of their version.
type numberAdapter struct{ Adapter }

// ParseRouting parses the number.
func (numberAdapter) ParseRouting(document []byte) (*routing.Version, error) {
	number, err := strconv.ParseUint(string(document), 10, 64)
	if err != nil {
		return nil, errors.New("rejected")
	}
	return routing.New(routing.Definition{Number: number})
}

// newLease returns the lease of a node that fails closed and has version 2.
func newLease(t *testing.T) *freshnessLease {
	t.Helper()
	n := &Node{adapter: numberAdapter{}, routing: &routing.Holder{}}
	n.config.Store(&Config{RevokeWithin: 5 * time.Second})
	n.peers = peers.New(t.Context(), peers.Config{Hello: &linkpb.Hello{Address: "a"}, LocalVersion: n.routing.Number})
	n.freshness = &freshnessLease{node: n}
	v, err := n.adapter.ParseRouting([]byte("2"))
	assert.NoError(t, err)
	n.routing.Offer(v)
	return n.freshness
}

// proven returns the time of the newest proof for version 2, or -1.
func (f *freshnessLease) proven() time.Duration {
	if at, ok := f.lease.NewestFor(2); ok {
		return at
	}
	return -1
}

// Guards against reads that prove versions which the store does not hold, and against a rejected document that ends all leases.
func TestReadsProveTheVersionThatTheStoreHolds(t *testing.T) {
	const second = time.Second
	f := newLease(t)
	f.read([]byte("x"), 0, 10*second, true)
	f.read(nil, 0, 10*second, true)
	f.read(nil, 0, 10*second, false)
	assert.EqualValues(t, -1, f.proven(), "the store has shown no version")
	f.read([]byte("2"), 0, 20*second, true)
	assert.Equal(t, 20*second, f.proven())
	f.read([]byte("x"), 0, 21*second, true)
	assert.Equal(t, 21*second, f.proven())
	f.read(nil, 0, 23*second, false)
	assert.Greater(t, f.proven(), 21*second)
	f.read([]byte("3"), 0, 30*second, true)
	assert.Less(t, f.proven(), 30*second, "version 2 is not the newest one")
}

// Guards against a store that has lost a version and proves the one before it to a node that has only heard of the lost one.
func TestStoreThatHasLostAVersionProvesNothing(t *testing.T) {
	f := newLease(t)
	f.node.peers.ObserveVersion("b", 3)
	f.read([]byte("2"), 0, 20*time.Second, true)
	assert.EqualValues(t, -1, f.proven())
	v, _ := f.node.adapter.ParseRouting([]byte("3"))
	f.node.routing.Offer(v)
	f.read([]byte("2"), 0, 21*time.Second, true)
	assert.Equal(t, 21*time.Second, f.proven(), "the node has the lost version")

	f = newLease(t)
	f.setEra(4)
	f.read([]byte("2"), 4, 0, true)
	assert.EqualValues(t, -1, f.proven(), "the era is new")
	f.read([]byte("2"), 4, math.MaxInt64, true)
	assert.EqualValues(t, math.MaxInt64, f.proven())
}

// Guards against proofs at a node that does not fail closed.
func TestNoProofsAreHeldUnlessTheNodeFailsClosed(t *testing.T) {
	f := newLease(t)
	f.node.config.Store(&Config{})
	f.read([]byte("2"), 0, 20*time.Second, true)
	f.addProof(2, 20*time.Second)
	assert.EqualValues(t, -1, f.proven())
	assert.Zero(t, f.proofAge(2))
	assert.True(t, f.Leased(2))
}

// Guards against a loop that starts itself again without end after the node has ended.
func TestLoopForProofsEndsWithTheNode(t *testing.T) {
	f := newLease(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f.running.Store(true)
	f.run(ctx)
	for range 1000 {
		assert.False(t, f.running.Load())
		time.Sleep(10 * time.Microsecond)
	}
}
