package localserver

import "sync"

// callSet holds the IDs of the calls in progress at the server. It is safe for concurrent use.
type callSet struct {
	mu    sync.Mutex
	count map[string]int
}

func newCallSet() callSet { return callSet{count: map[string]int{}} }

func (c *callSet) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[id]++
}

func (c *callSet) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count[id]--; c.count[id] <= 0 {
		delete(c.count, id)
	}
}

func (c *callSet) contains(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[id] > 0
}

// Serves reports whether a call is in progress at the server. The calls that the server makes for it arrive at this node.
func (s *Server) Serves(id string) bool { return s.inProgress.contains(id) }
