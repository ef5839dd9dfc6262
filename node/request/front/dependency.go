package front

import (
	"net/http"
	"sync"
	"time"
)

const (
	// dependencyMemoryShare is the share of the Retry-After time of a refusal for which further calls of the route and team are refused
	// without being sent. Since the Retry-After time grows with the refused share of the calls, few calls are refused here that the
	// server's node would have admitted.
	dependencyMemoryShare = 0.2
	// maxDependencyMemory bounds that time.
	maxDependencyMemory = 100 * time.Millisecond
	// maxRememberedDependencies bounds the number of entries.
	maxRememberedDependencies = 1024
)

// causeDependency is the cause of a call that is refused because the nested calls of its route would be refused.
const causeDependency = "nested calls refused"

// dependencyKey identifies the calls that a refusal is remembered for.
type dependencyKey struct{ route, team string }

// dependencyRefusal is a refusal by a server's node.
type dependencyRefusal struct {
	until      time.Time
	retryAfter time.Duration
}

// dependencies remembers refusals for a short time. It is safe for concurrent use.
type dependencies struct {
	mu       sync.Mutex
	refusals map[dependencyKey]dependencyRefusal
}

// remember records a refusal.
func (d *dependencies) remember(key dependencyKey, retryAfter time.Duration, now time.Time) {
	until := now.Add(min(time.Duration(dependencyMemoryShare*float64(retryAfter)), maxDependencyMemory))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusals == nil || len(d.refusals) >= maxRememberedDependencies {
		d.refusals = map[dependencyKey]dependencyRefusal{}
	}
	d.refusals[key] = dependencyRefusal{until: until, retryAfter: retryAfter}
}

// refused returns the Retry-After time of a refusal that is remembered.
func (d *dependencies) refused(key dependencyKey, now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, known := d.refusals[key]
	return r.retryAfter, known && now.Before(r.until)
}

func (c *call) dependencyKey() dependencyKey {
	return dependencyKey{route: c.route.Name, team: c.message.Team}
}

// rememberedRefusal returns the refusal of a call if a server's node has just refused another one of its route and team, and nil
// otherwise.
func (c *call) rememberedRefusal() *result {
	after, refused := c.rememberedDependency(time.Now())
	if !refused {
		return nil
	}
	c.room.expect(after)
	c.handler.config.Counters.Count("refused.dependency_remembered")
	return c.refusal(causeDependency)
}

// rememberedDependency returns the Retry-After time of a refusal that is remembered for the call. Nested calls and
// calls of rank 0 are exempt, as they are at the servers' nodes.
func (c *call) rememberedDependency(now time.Time) (time.Duration, bool) {
	if c.message.Nested || c.message.Rank == 0 {
		return 0, false
	}
	return c.handler.dependencies.refused(c.dependencyKey(), now)
}

// refusedForDependency returns the result of a call that a server's node has refused because its nested calls would be refused. Other
// servers of the service would refuse it too.
func (c *call) refusedForDependency(after time.Duration) *result {
	c.handler.dependencies.remember(c.dependencyKey(), after, time.Now())
	c.handler.config.Counters.Count("refused.dependency")
	return c.refusal(causeDependency)
}

// reportNested reports how a nested call ended to the part of the node that admits calls to the local backend server. Only a call that
// was passed to no backend server counts as refused: a server that itself refuses calls does so at any load, so admitting fewer calls
// would not help.
func (c *call) reportNested(r *result) {
	if !c.message.Nested || c.handler.config.NestedEnded == nil {
		return
	}
	if parent, ok := c.handler.config.Names.ParentID(c.message.Id); ok {
		c.handler.config.NestedEnded(parent, r.status == http.StatusServiceUnavailable && c.attempts == 0)
	}
}
