package membership

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// proberCount is the number of nodes of a place that probe another place.
	proberCount = 3
	// linkFailureThreshold and linkSuccessThreshold are the numbers of pings in a row that change a prober's observation.
	// After a failure the next ping goes to another target.
	linkFailureThreshold = 4
	linkSuccessThreshold = 2
	// roleCheckInterval is the period in which a node determines which places it probes.
	roleCheckInterval = 5 * time.Second
	// targetLifetime is how long a prober keeps a target that answers, to save connections.
	targetLifetime = time.Minute
)

// prober holds the state of the places that this node probes. Like the detector, it does no I/O.
type prober struct {
	places        map[string]*linkProbe
	nextRoleCheck time.Time
	sequence      uint64
}

// linkProbe is the state of the pings to one other place.
type linkProbe struct {
	target        string
	targetExpires time.Time
	due           time.Time
	inFlight      bool
	failures      int
	successes     int
	unreachable   bool
	// publishedIncarnation is this node's incarnation under which the observation in force was published.
	publishedIncarnation uint64
}

func newProber() prober { return prober{places: map[string]*linkProbe{}} }

// probePlaces starts the due pings to the places that this node probes.
func (m *Membership) probePlaces(ctx context.Context, now time.Time) {
	m.mu.Lock()
	checkRoles := !now.Before(m.prober.nextRoleCheck)
	if checkRoles {
		m.prober.nextRoleCheck = now.Add(roleCheckInterval)
		m.updateProbedPlaces()
	}
	type duePing struct{ place, target string }
	var pings []duePing
	for _, place := range slices.Sorted(maps.Keys(m.prober.places)) {
		p := m.prober.places[place]
		if p.inFlight || now.Before(p.due) {
			continue
		}
		m.chooseTarget(p, place, now)
		if p.target != "" {
			p.inFlight = true
			pings = append(pings, duePing{place, p.target})
		}
	}
	m.mu.Unlock()
	if checkRoles {
		m.updateReachability()
	}
	for _, d := range pings {
		m.tasks.Go(func() {
			_, err := m.sendPing(ctx, d.target, "", 2*m.timing.PingTimeout)
			if ctx.Err() == nil {
				m.handleProbeResult(d.place, err == nil)
			}
		})
	}
}

// updateProbedPlaces determines which places this node probes: the probers of a place are chosen by rendezvous hashing. The
// caller holds m.mu.
func (m *Membership) updateProbedPlaces() {
	isOwnPlace := func(place string) bool { return place == m.cfg.Place }
	current := map[string]bool{}
	for _, place := range m.records.places() {
		if place == m.cfg.Place {
			continue
		}
		for _, r := range m.RendezvousN(m.cfg.Place+linkSeparator+place, proberCount, isOwnPlace) {
			if r.Address == m.cfg.Address {
				current[place] = true
			}
		}
	}
	for place := range current {
		if m.prober.places[place] == nil {
			m.prober.places[place] = &linkProbe{}
		}
	}
	for place, p := range m.prober.places {
		if !current[place] {
			if p.unreachable {
				m.tasks.Go(func() { m.publishObservation(place, false) })
			}
			delete(m.prober.places, place)
		}
	}
}

// chooseTarget selects the member of the place to ping next. It keeps the current target until it fails or its lifetime
// expires; the caller holds m.mu.
func (m *Membership) chooseTarget(p *linkProbe, place string, now time.Time) {
	ring := m.records.ring(place)
	if len(ring) == 0 {
		p.target = ""
		return
	}
	if p.failures > 0 || p.target == "" || !now.Before(p.targetExpires) {
		exclude := []string{p.target}
		if len(ring) == 1 {
			exclude = nil
		}
		p.target, p.targetExpires = sample(m.random, ring, 1, exclude)[0].Address, now.Add(targetLifetime)
	}
}

// handleProbeResult handles the result of a ping to another place.
func (m *Membership) handleProbeResult(place string, answered bool) {
	now := m.clock.Now()
	m.self.mu.Lock()
	incarnation := m.self.incarnation
	m.self.mu.Unlock()
	m.mu.Lock()
	p := m.prober.places[place]
	if p == nil || incarnation == 0 {
		m.mu.Unlock()
		return
	}
	p.inFlight, p.due = false, now.Add(m.timing.LinkProbeInterval)
	if answered {
		p.failures, p.successes = 0, p.successes+1
		if !p.unreachable {
			p.due = p.due.Add(m.timing.LinkProbeInterval)
		}
	} else {
		p.failures, p.successes = p.failures+1, 0
	}
	becameUnreachable := p.failures >= linkFailureThreshold && (!p.unreachable || p.publishedIncarnation != incarnation)
	becameReachable := p.successes >= linkSuccessThreshold && p.unreachable
	if becameUnreachable {
		p.unreachable, p.publishedIncarnation = true, incarnation
	} else if becameReachable {
		p.unreachable = false
	}
	m.mu.Unlock()
	if becameUnreachable || becameReachable {
		m.log.Info("reachability of a place observed", "place", place, "reachable", becameReachable)
		m.publishObservation(place, becameUnreachable)
	}
}

// publishObservation publishes or withdraws the observation that the place cannot be reached.
func (m *Membership) publishObservation(place string, unreachable bool) {
	m.self.mu.Lock()
	incarnation := m.self.incarnation
	m.self.mu.Unlock()
	m.mu.Lock()
	m.prober.sequence++
	sequence := m.prober.sequence
	m.mu.Unlock()
	key := linkKey(place, m.cfg.Address)
	state := Left
	if unreachable {
		state = Alive
	}
	m.apply(&Member{
		Address: key, Place: m.records.names.get(m.cfg.Place), Incarnation: incarnation, Sequence: sequence,
		State: state, hash: xxhash.Sum64String(key),
	}, true)
}

// validLink reports whether the observing node is a live member under the incarnation of the observation.
func (m *Membership) validLink(r *Member) bool {
	_, prober := parseLink(r.Address)
	p := m.records.get(prober)
	return p != nil && p.State.Live() && p.Incarnation == r.Incarnation
}

// removeStaleLinks removes the observations of a node that is no longer live or has a new incarnation.
func (m *Membership) removeStaleLinks(address string) {
	for _, r := range m.records.links() {
		if _, prober := parseLink(r.Address); prober == address && !m.validLink(r) {
			m.records.remove(r.Address)
		}
	}
}

// updateReachability derives which places are unreachable from this node's place: those for which a majority of this
// place's probers has an observation in force.
func (m *Membership) updateReachability() {
	m.reachabilityMu.Lock()
	defer m.reachabilityMu.Unlock()
	before := *m.unreachable.Load()
	links := m.records.links()
	if len(links) == 0 && len(before) == 0 {
		return
	}
	counts := map[string]int{}
	for _, r := range links {
		if place, _ := parseLink(r.Address); r.Place == m.cfg.Place && m.validLink(r) {
			counts[place]++
		}
	}
	majority := min(proberCount, len(m.records.ring(m.cfg.Place)))/2 + 1
	after := map[string]bool{}
	for place, n := range counts {
		if n >= majority {
			after[place] = true
		}
	}
	if maps.Equal(before, after) {
		return
	}
	m.unreachable.Store(&after)
	for _, place := range slices.Sorted(maps.Keys(unionKeys(before, after))) {
		if before[place] != after[place] {
			m.log.Warn("reachability of a place changed", "place", place, "reachable", !after[place])
			m.notify(Change{Place: place, Reachable: !after[place]})
		}
	}
}

func unionKeys(a, b map[string]bool) map[string]bool {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}
