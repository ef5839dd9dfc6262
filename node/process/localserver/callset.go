package localserver

import (
	"sync"

	"github.com/radishstand/radishstand/api/linkpb"
)

// Parent is a call in progress at the server for which the server may make nested calls.
type Parent struct {
	// Team is the team of the caller; empty if there is none.
	Team string
	// Rank is the rank of the call, or of the outermost call if the call itself is nested.
	Rank uint32
}

func parentOf(call *linkpb.Call) Parent {
	if call.Nested {
		return Parent{Team: call.Team, Rank: call.ParentRank}
	}
	return Parent{Team: call.Team, Rank: call.Rank}
}

// callSet holds the calls in progress at the server by ID. Several attempts of a call may be in progress. It is safe for concurrent
// use.
type callSet struct {
	mu    sync.Mutex
	calls map[string]callSetEntry
}

type callSetEntry struct {
	count  int
	parent Parent
	nested nestedCalls
}

// nestedCalls is the outcome of the nested calls of a call.
type nestedCalls struct {
	// made is set when a nested call has ended, and refused when one was refused for lack of capacity.
	made, refused bool
}

func newCallSet() callSet { return callSet{calls: map[string]callSetEntry{}} }

func (c *callSet) add(call *linkpb.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.calls[call.Id]
	c.calls[call.Id] = callSetEntry{count: entry.count + 1, parent: parentOf(call), nested: entry.nested}
}

// recordNested records the end of a nested call of a call in progress.
func (c *callSet) recordNested(id string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry, ok := c.calls[id]; ok {
		entry.nested = nestedCalls{made: true, refused: entry.nested.refused || refused}
		c.calls[id] = entry
	}
}

// remove removes a call that has ended, and returns the outcome of its nested calls.
func (c *callSet) remove(id string) nestedCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.calls[id]
	if entry.count--; entry.count <= 0 {
		delete(c.calls, id)
		return entry.nested
	}
	c.calls[id] = entry
	return entry.nested
}

func (c *callSet) get(id string) (Parent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.calls[id]
	return entry.parent, ok
}

// Parent returns the call with an ID, and false if none is in progress at the server. The calls that the server makes for it arrive at
// this node.
func (s *Server) Parent(id string) (Parent, bool) { return s.inProgress.get(id) }
