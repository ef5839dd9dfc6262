// Package balance chooses a backend server for each attempt. It keeps, for each server, the last load report, the
// node's own attempts and their results, and picks the server with the shortest expected completion time. This state can be
// stale; admission at the server's node makes the final decision.
package balance

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/settings"
)

// ErrNoServer is returned when a service has no eligible server.
var ErrNoServer = errors.New("no server available")

// Server is a backend server as announced through membership.
type Server struct {
	ID          string
	Service     string
	Place       string
	NodeID      string
	Address     string
	Slots       int
	Incarnation uint64
	// FirstSeen is the time at which slow start begins; zero means that the server is warm.
	FirstSeen time.Time
	Draining  bool
}

// Load is a load report of one server. Reports of the same server are ordered by incarnation, then by sequence.
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

// Kind is the outcome of an attempt.
type Kind int

// Outcomes of attempts.
const (
	// OK is a complete answer.
	OK Kind = iota
	// Error is a failed attempt: a broken connection, a truncated answer or a server error.
	Error
	// Refused is a refusal before the call ran.
	Refused
	// Cancelled is an attempt that this node cancelled, such as the slower attempt of a hedged call. It does not count as a
	// success or a failure of the server.
	Cancelled
	// Timeout is an attempt without an answer at its deadline.
	Timeout
)

// Result is the outcome and the latency of an attempt.
type Result struct {
	Kind    Kind
	Latency time.Duration
}

// Config holds the dependencies of a Balancer.
type Config struct {
	// Place is the place of this node.
	Place string
	// Now returns the current time; time.Now when nil.
	Now func() time.Time
	// Rand seeds the random source of each service; randomly seeded when nil. It is used with the lock held.
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
	records  sync.Map // server ID -> *record
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

// now returns the time since the Balancer was created.
func (b *Balancer) now() time.Duration { return b.config.Now().Sub(b.origin) }

// lookup returns the state of a service, or nil.
func (b *Balancer) lookup(name string) *service {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.services[name]
}

// service returns the state of a service, which it creates if necessary.
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

// SetServers replaces the servers of a service. The state of a server is kept if its incarnation is unchanged.
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
		r.roundTrip = b.config.RoundTrip(server.Place)
		r.firstSeen = server.FirstSeen.Sub(b.origin)
		r.remote = server.Place != b.config.Place
		s.add(r)
		b.records.Store(server.ID, r)
	}
	for id := range known {
		b.records.Delete(id)
	}
}

// Configure sets the settings of a service, which take effect at once.
func (b *Balancer) Configure(name string, v *settings.Values) {
	s := b.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balance, s.ejection = v.Balance, v.Ejection
}

// Pick returns the server with the shortest expected completion time among those that are not excluded, draining or
// ejected. An ejected server is picked if there is no other.
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

// Hedge returns the server for a second attempt in parallel to one that is in progress at the current server. It returns
// ErrNoServer unless a call to the current server is now expected to take much longer than elsewhere: a slow call at a
// healthy server is likely to be slow at any server, and a second attempt only adds load.
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
	if ok && s.score(v.(*record), now) < minHedgeRatio*s.score(best, now) {
		return Server{}, ErrNoServer
	}
	return best.server, nil
}

// Started records the start of an attempt at a server.
func (b *Balancer) Started(server Server) {
	b.withRecord(server.ID, func(r *record, now time.Duration) { r.start(now) })
}

// Finished records the result of an attempt for which Started was called.
func (b *Balancer) Finished(server Server, result Result) {
	b.withRecord(server.ID, func(r *record, now time.Duration) { r.service.finish(r, now, result) })
}

// Observe applies load reports that arrived with a message from the node from. Reports that are older than the last one
// of the server are dropped.
func (b *Balancer) Observe(from string, loads []Load) {
	for i := range loads {
		b.withRecord(loads[i].ServerID, func(r *record, now time.Duration) { r.observe(now, &loads[i], r.server.NodeID == from) })
	}
}

// withRecord calls f with the record of a server, if there is one, with the lock of its service held.
func (b *Balancer) withRecord(id string, f func(*record, time.Duration)) {
	v, ok := b.records.Load(id)
	if !ok {
		return
	}
	r := v.(*record)
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	f(r, b.now())
}

// Lookup returns the server with the given id. It is used to follow redirections.
func (b *Balancer) Lookup(id string) (server Server, ok bool) {
	b.withRecord(id, func(r *record, _ time.Duration) { server, ok = r.server, true })
	return server, ok
}

// Sibling returns the id of the best server of a service, other than self, that has a recent report and is expected to
// complete a call within the given time. Each result is counted as a call to that server, so that a whole queue is not
// redirected to one free slot.
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
	r.recordStart(now)
	return r.server.ID, true
}

// Freshest returns up to n of the most recent load reports of a service, most recent first, to be piggybacked on answers.
func (b *Balancer) Freshest(name string, n int) []Load {
	s := b.lookup(name)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshest(b.now(), n)
}
