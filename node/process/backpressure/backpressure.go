// Package backpressure refuses calls whose nested calls would probably be refused, before they start. Such a call would hold a slot and end
// in an error of its server. The node of the server decides for each route, from the calls of the route that have ended there. The
// package sends nothing, and gets its clock from the caller.
package backpressure

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reactionTime is the time constant with which the admitted share follows the share of calls that fail.
	reactionTime = 300 * time.Millisecond
	// maxCallWeight is the upper bound of the weight of one call, which rises with the time since the last one.
	maxCallWeight = 0.25
	// toleratedFailures is the share of failing calls at which the admitted share stays the same. At 0 it would never rise and find free
	// capacity while calls fail.
	toleratedFailures = 0.1
	// calmTime is the time without a failure after which the admitted share grows also without calls that end, and doublingTime the time in
	// which it then doubles.
	calmTime     = 1200 * time.Millisecond
	doublingTime = 500 * time.Millisecond
	// minAdmitted is the share of calls that is always admitted, so that the end of the shortage is detected.
	minAdmitted = 0.1
	// nestingWeight is the weight of one call in the moving average of the share of calls that make nested calls.
	nestingWeight = 0.03
	// usageTime is the time constant of the usage of a team, which is the decaying number of the calls that it sends.
	usageTime = 3 * time.Second
	// minTeamUsage is the usage below which the state of a team is removed.
	minTeamUsage = 0.01
	// reportedAdmitted is the admitted share below which the calls of a route are reported as refused.
	reportedAdmitted = 0.9
	// maxRetryAfter is the Retry-After time when all calls are refused.
	maxRetryAfter = 500 * time.Millisecond
)

// Call holds the properties of a call that decide whether it is refused.
type Call struct {
	// ID decides, with the shares, whether the call is refused. Servers with the same shares admit the same calls, so that a redirected
	// call that one of them admitted is not refused by the next.
	ID    string
	Route string
	Team  string
	// Spared is set for calls that are never refused: nested ones and those of the highest rank.
	Spared bool
}

// Controller decides which calls start at one server. It is safe for concurrent use.
type Controller struct {
	now     func() time.Time
	changed func(route string, s Share)

	mu      sync.Mutex
	routes  map[string]*route
	refused int64
}

// New returns a Controller that admits all calls. The function changed is called without holding locks when calls of a route start to be
// refused, and when all are admitted again. It may be nil.
func New(now func() time.Time, changed func(route string, s Share)) *Controller {
	if changed == nil {
		changed = func(string, Share) {}
	}
	return &Controller{now: now, changed: changed, routes: map[string]*route{}}
}

// route is the state of the calls of a route.
type route struct {
	// admitted is the share of the calls that may start.
	admitted float64
	// nesting is the share of ended calls that made nested calls.
	nesting  float64
	endedAt  time.Time
	failedAt time.Time
	grownAt  time.Time
	// teams holds the usage of each team.
	teams     map[string]float64
	decayedAt time.Time
	// reported is set from the report that calls of the route are refused to the report that all are admitted.
	reported bool
}

func (c *Controller) route(name string, now time.Time) *route {
	r := c.routes[name]
	if r == nil {
		r = &route{admitted: 1, nesting: 1, endedAt: now, grownAt: now, decayedAt: now, teams: map[string]float64{}}
		c.routes[name] = r
	}
	return r
}

// Admit reports whether a call may start. A refused call should be sent again after the returned time.
func (c *Controller) Admit(call Call) (retryAfter time.Duration, ok bool) {
	if call.Spared {
		return 0, true
	}
	now := c.now()
	defer c.report(call.Route)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.route(call.Route, now)
	r.decayUsage(now)
	r.teams[call.Team]++
	r.grow(now)
	refuse := r.refusedShare(call.Team)
	if draw(call.ID) >= refuse {
		return 0, true
	}
	c.refused++
	return time.Duration(refuse * float64(maxRetryAfter)), false
}

// Ended records a call that has started and ended: whether it made nested calls, and whether it failed because one of them was refused.
func (c *Controller) Ended(routeName string, nested, failed bool) {
	now := c.now()
	defer c.report(routeName)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.route(routeName, now)
	r.nesting += nestingWeight * (indicator(nested) - r.nesting)
	r.grow(now)
	weight := min(1-math.Exp(-now.Sub(r.endedAt).Seconds()/reactionTime.Seconds()), maxCallWeight)
	r.endedAt = now
	if failed {
		r.failedAt = now
		r.admitted *= 1 - weight*(1-toleratedFailures)
	} else {
		r.admitted *= 1 + weight*toleratedFailures
	}
	r.limit()
}

// report calls changed if calls of a route start to be refused, or are all admitted again.
func (c *Controller) report(name string) {
	c.mu.Lock()
	r := c.routes[name]
	begins, ends := !r.reported && r.admitted < reportedAdmitted, r.reported && r.admitted >= 1
	if begins || ends {
		r.reported = begins
	}
	share := r.share()
	c.mu.Unlock()
	if begins || ends {
		c.changed(name, share)
	}
}

// limit keeps the admitted share within its bounds. It is at least the share of calls without nested calls, since those do not fail here.
func (r *route) limit() { r.admitted = min(max(r.admitted, minAdmitted, 1-r.nesting), 1) }

// grow raises the admitted share if no call has failed for calmTime.
func (r *route) grow(now time.Time) {
	since := r.failedAt.Add(calmTime)
	if r.grownAt.After(since) {
		since = r.grownAt
	}
	r.grownAt = now
	if r.admitted < 1 && now.After(since) {
		r.admitted *= math.Exp2(now.Sub(since).Seconds() / doublingTime.Seconds())
		r.limit()
	}
}

// decayUsage decays the usage of the teams by the time since the last call.
func (r *route) decayUsage(now time.Time) {
	factor := math.Exp(-now.Sub(r.decayedAt).Seconds() / usageTime.Seconds())
	r.decayedAt = now
	for team, usage := range r.teams {
		if usage *= factor; usage < minTeamUsage {
			delete(r.teams, team)
			continue
		}
		r.teams[team] = usage
	}
}

// refusedShare returns the share of a team's calls that is refused. The admitted calls are divided among the teams equally: each gets
// up to the same number, the level, and what some teams do not need is divided among the others.
func (r *route) refusedShare(team string) float64 {
	if r.admitted >= 1 {
		return 0
	}
	usages := make([]float64, 0, len(r.teams))
	total := 0.0
	for _, usage := range r.teams {
		usages = append(usages, usage)
		total += usage
	}
	slices.Sort(usages)
	left, level := total*r.admitted, 0.0
	for i, usage := range usages {
		level = left / float64(len(usages)-i)
		if usage > level {
			break
		}
		left -= usage
	}
	return max(1-level/r.teams[team], 0)
}

// Share is the state of a route.
type Share struct {
	// Admitted is the share of the route's calls that may start, and Nesting that of calls which make nested calls.
	Admitted, Nesting float64
}

func (r *route) share() Share { return Share{Admitted: r.admitted, Nesting: r.nesting} }

// Shares returns the state of the routes with calls that are refused.
func (c *Controller) Shares() map[string]Share {
	c.mu.Lock()
	defer c.mu.Unlock()
	shares := map[string]Share{}
	for name, r := range c.routes {
		if r.grow(c.now()); r.admitted < 1 {
			shares[name] = r.share()
		}
	}
	return shares
}

// Refused returns the number of refused calls.
func (c *Controller) Refused() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// draw maps the ID of a call to a number in [0, 1), evenly distributed.
func draw(id string) float64 {
	const bits = 53 // precision of a float64
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
