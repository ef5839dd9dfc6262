// Package budget limits the attempts that a node sends beyond the first of each call, by service. The budgets of all nodes
// together stay within the share that the fleet may spend, without asking one another.
package budget

import "sync"

const (
	// ownShare is the share of the fleet's limits that nodes spend on repeats. The rest is for the calls that repeated runs
	// make at other services, which count as repeats there.
	ownShare = 0.35
	// minBurst lets a node of a large fleet repeat a call now and then.
	minBurst = 1.0
)

// Limits are the limits of the fleet.
type Limits struct {
	// Ratio is the number of repeats for each call.
	Ratio float64
	// Extra is the number of repeats beyond the ratio that the fleet may spend at once.
	Extra float64
}

// Budget holds the budget of one node. It is safe for concurrent use.
type Budget struct {
	limits Limits
	nodes  func() int

	mu       sync.Mutex
	services map[string]float64
}

// New returns a budget; nodes returns the size of the fleet.
func New(limits Limits, nodes func() int) *Budget {
	return &Budget{limits: limits, nodes: nodes, services: map[string]float64{}}
}

// burst returns the number of repeats that a node may spend at once.
func (b *Budget) burst() float64 {
	return max(b.limits.Extra*ownShare/float64(max(b.nodes(), 1)), minBurst)
}

// Earn counts a call to a service.
func (b *Budget) Earn(service string) {
	burst := b.burst()
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.services[service]
	if !known {
		tokens = burst
	}
	b.services[service] = min(tokens+b.limits.Ratio*ownShare, burst)
}

// Spend takes a repeat at a service and reports whether there was one.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services[service] < 1 {
		return false
	}
	b.services[service]--
	return true
}

// Return gives back a repeat that did not reach a server.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services[service]++
}
