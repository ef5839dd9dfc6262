// Package balance chooses a backend server for each attempt. It keeps, for each server, the last load report, the
// node's own calls and their results, and picks the server with the shortest expected completion time. What it knows is
// stale; admission at the server's node corrects it.
package balance

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/settings"
)

// ErrNoServer means that a service has no server that may be chosen.
var ErrNoServer = errors.New("no server available")

// Server is a backend server as membership knows it.
type Server struct {
	ID          string
	Service     string
	Place       string
	NodeID      string
	Address     string
	Slots       int
	Incarnation uint64
	// FirstSeen starts the slow start; zero means that the server is warm.
	FirstSeen time.Time
	Draining  bool
}

// Load is a load report of one server. Reports of a server are ordered by incarnation, then sequence.
type Load struct {
	ServerID    string
	Incarnation uint64
	Sequence    uint64
	InProgress  int
	Queued      int
	Limit       int
	// ServiceTime is the smoothed time that a call spends in the server.
	ServiceTime time.Duration
	// Age is the time since the values were read.
	Age      time.Duration
	Draining bool
}

// Kind is how an attempt ended.
type Kind int

// Kinds of results.
const (
	// OK is a complete answer.
	OK Kind = iota
	// Error is a failed attempt: a broken connection, a truncated answer or a server error.
	Error
	// Refused is a refusal before the call ran.
	Refused
	// Cancelled is an attempt that the node itself gave up, such as the loser of a hedge. It says nothing of the server.
	Cancelled
	// Timeout is an attempt without an answer at its deadline.
	Timeout
)

// Result is the end of an attempt.
type Result struct {
	Kind    Kind
	Latency time.Duration
}

// Config holds what a Balancer depends on.
type Config struct {
	// Place of this node.
	Place string
	// Now is the clock; time.Now when nil.
	Now func() time.Time
	// Rand seeds the random source of each service; randomly seeded when nil. It is used under a lock.
	Rand *rand.Rand
	// RoundTrip returns the network round-trip time to a place; zero when nil.
	RoundTrip func(place string) time.Duration
}

// Balancer chooses servers. It is safe for concurrent use; each service has its own lock.
type Balancer struct {
	config Config
	origin time.Time

	mu       sync.RWMutex // guards services and config.Rand
	services map[string]*service
	records  sync.Map // server id -> *record
}

// New returns a Balancer without servers.
func New(c Config) *Balancer {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.RoundTrip == nil {
		c.RoundTrip = func(string) time.Duration { return 0 }
	}
	return &Balancer{config: c, origin: c.Now(), services: map[string]*service{}}
}

// now returns the time since the Balancer was made.
func (b *Balancer) now() time.Duration { return b.config.Now().Sub(b.origin) }

// lookup returns the state of a service, or nil.
func (b *Balancer) lookup(name string) *service {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.services[name]
}

// service returns the state of a service and creates it if needed.
func (b *Balancer) service(name string) *service {
	if s := b.lookup(name); s != nil {
		return s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	if s == nil {
		s = newService(b.config.Rand.Uint64(), b.config.Rand.Uint64())
		b.services[name] = s
	}
	return s
}

// SetServers replaces the servers of a service. What is known of a server is kept while its incarnation stays the same.
func (b *Balancer) SetServers(name string, servers []Server) {
	s := b.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := map[string]*record{}
	for _, r := range s.records {
		known[r.server.ID] = r
	}
	s.clear()
	for _, server := range servers {
		r := known[server.ID]
		if r == nil || r.server.Incarnation != server.Incarnation {
			r = &record{service: s, limit: max(server.Slots, 1)}
		}
		delete(known, server.ID)
		r.server = server
		r.distance = b.config.RoundTrip(server.Place)
		r.firstSeen = server.FirstSeen.Sub(b.origin)
		r.away = server.Place != b.config.Place
		s.add(r)
		b.records.Store(server.ID, r)
	}
	for id := range known {
		b.records.Delete(id)
	}
}

// Configure sets the values of a service that hold from now on.
func (b *Balancer) Configure(name string, v *settings.Values) {
	s := b.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balance, s.ejection = v.Balance, v.Ejection
}

// Pick returns the server with the shortest expected completion time among those that are not excluded, draining or
// ejected. Ejected servers are chosen when no other is left.
func (b *Balancer) Pick(name string, excluded []string) (Server, error) {
	s := b.lookup(name)
	if s == nil {
		return Server{}, ErrNoServer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.pick(b.now(), excluded)
	if r == nil {
		return Server{}, ErrNoServer
	}
	return r.server, nil
}

// Hedge returns the server for a second attempt beside one that is in progress at the given server. It is ErrNoServer
// unless a call there is now expected to take much longer than elsewhere: a slow call at a healthy server is likely to be
// slow anywhere, and repeating it only adds load.
func (b *Balancer) Hedge(current Server, tried []string) (Server, error) {
	s := b.lookup(current.Service)
	if s == nil {
		return Server{}, ErrNoServer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := b.now()
	best := s.best(now, tried, false)
	if best == nil {
		return Server{}, ErrNoServer
	}
	v, ok := b.records.Load(current.ID)
	if ok && s.score(v.(*record), now) < hedgeGain*s.score(best, now) {
		return Server{}, ErrNoServer
	}
	return best.server, nil
}

// Started counts an attempt that is being sent to a server.
func (b *Balancer) Started(server Server) {
	b.with(server.ID, func(r *record, now time.Duration) { r.start(now) })
}

// Finished counts the end of an attempt for which Started was called.
func (b *Balancer) Finished(server Server, result Result) {
	b.with(server.ID, func(r *record, now time.Duration) { r.service.finish(r, now, result) })
}

// Observe takes in load reports that came with a message of the node from; older reports than those known are dropped.
func (b *Balancer) Observe(from string, loads []Load) {
	for i := range loads {
		b.with(loads[i].ServerID, func(r *record, now time.Duration) { r.observe(now, &loads[i], r.server.NodeID == from) })
	}
}

// with calls f with the record of a server, if there is one, under the lock of its service.
func (b *Balancer) with(id string, f func(*record, time.Duration)) {
	v, ok := b.records.Load(id)
	if !ok {
		return
	}
	r := v.(*record)
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	f(r, b.now())
}

// Lookup returns a server by its id, for a referral.
func (b *Balancer) Lookup(id string) (server Server, ok bool) {
	b.with(id, func(r *record, _ time.Duration) { server, ok = r.server, true })
	return server, ok
}

// Sibling names the best server of a service, other than self, whose last report is recent and is expected to
// complete a call within the given time. Each answer counts as a call to that server, so that a queue is not referred to
// one slot.
func (b *Balancer) Sibling(name, self string, within time.Duration) (id string, ok bool) {
	s := b.lookup(name)
	if s == nil {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := b.now()
	r := s.sibling(now, self, within)
	if r == nil {
		return "", false
	}
	r.hint(now)
	return r.server.ID, true
}

// Freshest returns up to n of the most recent load reports of a service, freshest first, to be sent along with answers.
func (b *Balancer) Freshest(name string, n int) []Load {
	s := b.lookup(name)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshest(b.now(), n)
}
