// Package budget limits a node's retries by service with token buckets. The budgets of all nodes together stay within the
// limits of the fleet without communication between the nodes.
package budget

import "sync"

const (
	// directShare is the share of the fleet's limits that nodes spend on their own retries. The rest is left for the calls
	// that retried runs make at other services, which count as retries there.
	directShare = 0.35
	// minBurst is the lower bound of the burst of a node, so that a node of a large fleet can still retry occasionally.
	minBurst = 1.0
)

// Limits holds the retry limits of the whole fleet, which apply to each service.
type Limits struct {
	// Ratio is the number of retries allowed for each call.
	Ratio float64
	// Extra is the number of retries beyond the ratio that the fleet may spend at once.
	Extra float64
}

// Budget holds the retry budgets of one node. It is safe for concurrent use.
type Budget struct {
	limits Limits
	nodes  func() int

	mu     sync.Mutex
	tokens map[string]float64
}

// New returns a Budget; nodes returns the number of nodes in the fleet.
func New(limits Limits, nodes func() int) *Budget {
	return &Budget{limits: limits, nodes: nodes, tokens: map[string]float64{}}
}

// burst returns the number of retries that a node may spend at once.
func (b *Budget) burst() float64 {
	return max(b.limits.Extra*directShare/float64(max(b.nodes(), 1)), minBurst)
}

// Earn adds the tokens for a call to a service. A new service starts with a full burst.
func (b *Budget) Earn(service string) {
	burst := b.burst()
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[service]
	if !known {
		tokens = burst
	}
	b.tokens[service] = min(tokens+b.limits.Ratio*directShare, burst)
}

// Spend takes the token for a retry at a service, and reports whether one was available.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// Return returns the token of a retry that did not reach a server.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service]++
}
