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
}

func newCallSet() callSet { return callSet{calls: map[string]callSetEntry{}} }

func (c *callSet) add(call *linkpb.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[call.Id] = callSetEntry{count: c.calls[call.Id].count + 1, parent: parentOf(call)}
}

func (c *callSet) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.calls[id]
	if entry.count--; entry.count <= 0 {
		delete(c.calls, id)
		return
	}
	c.calls[id] = entry
}

func (c *callSet) get(id string) (Parent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.calls[id]
	return entry.parent, ok
}

// Parent returns the call in progress at the server that has an ID. The calls that the server makes for it arrive at this node.
func (s *Server) Parent(id string) (Parent, bool) { return s.inProgress.get(id) }
