package front

import (
	"net/http"
	"sync"
	"time"
)

const (
	// dependencyMemoryShare is the share of the Retry-After time of a refusal for which further calls of the route and team are refused
	// without being sent. It grows with the refused share, so that few calls are refused that would have been admitted.
	dependencyMemoryShare = 0.2
	// maxDependencyMemory bounds that time.
	maxDependencyMemory = 100 * time.Millisecond
	// maxRememberedDependencies bounds the number of entries.
	maxRememberedDependencies = 1024
)

// causeDependency is the cause of a call that is refused since the nested calls of its route would be refused.
const causeDependency = "nested calls refused"

// dependencyKey identifies the calls that a refusal is remembered for.
type dependencyKey struct{ route, team string }

// dependencyRefusal is a refusal of a server's node.
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

// rememberedDependency returns the Retry-After time of a refusal that is remembered for the call. The calls that no node refuses are
// spared.
func (c *call) rememberedDependency(now time.Time) (time.Duration, bool) {
	if c.message.Nested || c.message.Rank == 0 {
		return 0, false
	}
	return c.handler.dependencies.refused(c.dependencyKey(), now)
}

// refusedForDependency returns the result of a call that a server's node has refused since its nested calls would be refused. Other
// servers of the service would refuse it too.
func (c *call) refusedForDependency(after time.Duration) *result {
	c.handler.dependencies.remember(c.dependencyKey(), after, time.Now())
	c.handler.config.Counters.Count("refused.dependency")
	return c.refusal(causeDependency)
}

// reportNested tells the server's part of the node how a call ended that the server made for another one. Only a call that no server
// was given counts as refused: servers that refuse by themselves do so at any load, and fewer calls would not help.
func (c *call) reportNested(r *result) {
	if !c.message.Nested || c.handler.config.NestedEnded == nil {
		return
	}
	if parent, ok := c.handler.config.Names.ParentID(c.message.Id); ok {
		c.handler.config.NestedEnded(parent, r.status == http.StatusServiceUnavailable && c.attempts == 0)
	}
}
