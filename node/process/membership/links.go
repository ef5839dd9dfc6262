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
	// linkFailures and linkSuccesses are the pings in a row, each failure with another target, that change a prober's
	// observation.
	linkFailures  = 4
	linkSuccesses = 2
	// roleEvery is the period in which a node checks which places it probes.
	roleEvery = 5 * time.Second
	// targetEvery is the time for which a prober keeps a target that answers, to spare connections.
	targetEvery = time.Minute
)

// prober holds the places that this node probes. It decides without I/O, like the detector.
type prober struct {
	places   map[string]*linkProbe
	rolesDue time.Time
	sequence uint64
}

type linkProbe struct {
	target    string
	targetDue time.Time
	due       time.Time
	busy      bool
	failures  int
	successes int
	down      bool
	// published is the own incarnation under which the observation in force was published.
	published uint64
}

func newProber() prober { return prober{places: map[string]*linkProbe{}} }

// probePlaces pings the places that this node is a prober of.
func (m *Membership) probePlaces(ctx context.Context, now time.Time) {
	m.mu.Lock()
	judge := !now.Before(m.prober.rolesDue)
	if judge {
		m.prober.rolesDue = now.Add(roleEvery)
		m.takeRoles()
	}
	type due struct{ place, target string }
	var pings []due
	for _, place := range slices.Sorted(maps.Keys(m.prober.places)) {
		p := m.prober.places[place]
		if p.busy || now.Before(p.due) {
			continue
		}
		m.chooseTarget(p, place, now)
		if p.target != "" {
			p.busy = true
			pings = append(pings, due{place, p.target})
		}
	}
	m.mu.Unlock()
	if judge {
		m.judgePlaces()
	}
	for _, d := range pings {
		m.tasks.Go(func() {
			_, err := m.sendPing(ctx, d.target, "", 2*m.timing.PingTimeout)
			if ctx.Err() == nil {
				m.probed(d.place, err == nil)
			}
		})
	}
}

// takeRoles finds the places that this node probes; the caller holds the lock.
func (m *Membership) takeRoles() {
	here := func(place string) bool { return place == m.cfg.Place }
	current := map[string]bool{}
	for _, place := range m.table.places() {
		if place == m.cfg.Place {
			continue
		}
		for _, r := range m.RendezvousN(m.cfg.Place+linkSeparator+place, proberCount, here) {
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
			if p.down {
				m.tasks.Go(func() { m.observe(place, false) })
			}
			delete(m.prober.places, place)
		}
	}
}

func (m *Membership) chooseTarget(p *linkProbe, place string, now time.Time) {
	ring := m.table.ring(place)
	if len(ring) == 0 {
		p.target = ""
		return
	}
	if p.failures > 0 || p.target == "" || !now.Before(p.targetDue) {
		avoid := []string{p.target}
		if len(ring) == 1 {
			avoid = nil
		}
		p.target, p.targetDue = sample(m.random, ring, 1, avoid)[0].Address, now.Add(targetEvery)
	}
}

// probed takes the result of a prober's ping.
func (m *Membership) probed(place string, answered bool) {
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
	p.busy, p.due = false, now.Add(m.timing.LinkEvery)
	if answered {
		p.failures, p.successes = 0, p.successes+1
		if !p.down {
			p.due = p.due.Add(m.timing.LinkEvery)
		}
	} else {
		p.failures, p.successes = p.failures+1, 0
	}
	fell := p.failures >= linkFailures && (!p.down || p.published != incarnation)
	rose := p.successes >= linkSuccesses && p.down
	if fell {
		p.down, p.published = true, incarnation
	} else if rose {
		p.down = false
	}
	m.mu.Unlock()
	if fell || rose {
		m.log.Info("place observed", "place", place, "reachable", rose)
		m.observe(place, fell)
	}
}

// observe publishes or withdraws the observation that the place cannot be reached.
func (m *Membership) observe(place string, down bool) {
	m.self.mu.Lock()
	incarnation := m.self.incarnation
	m.self.mu.Unlock()
	m.mu.Lock()
	m.prober.sequence++
	sequence := m.prober.sequence
	m.mu.Unlock()
	key := linkKey(place, m.cfg.Address)
	state := Left
	if down {
		state = Alive
	}
	m.apply(&Member{
		Address: key, Place: m.table.names.get(m.cfg.Place), Incarnation: incarnation, Sequence: sequence,
		State: state, hash: xxhash.Sum64String(key),
	}, true)
}

// validLink reports whether the observing node is a live member under the incarnation of the observation.
func (m *Membership) validLink(r *Member) bool {
	_, prober := parseLink(r.Address)
	p := m.table.get(prober)
	return p != nil && p.State.Live() && p.Incarnation == r.Incarnation
}

// dropLinksOf removes the observations of a node that is gone or has a new incarnation.
func (m *Membership) dropLinksOf(address string) {
	for _, r := range m.table.links() {
		if _, prober := parseLink(r.Address); prober == address && !m.validLink(r) {
			m.table.remove(r.Address)
		}
	}
}

// judgePlaces derives the verdicts for the own place from the probers' observations: a place is unreachable when most of
// the probers say so.
func (m *Membership) judgePlaces() {
	m.judgeMu.Lock()
	defer m.judgeMu.Unlock()
	before := *m.unreachable.Load()
	links := m.table.links()
	if len(links) == 0 && len(before) == 0 {
		return
	}
	counts := map[string]int{}
	for _, r := range links {
		if place, _ := parseLink(r.Address); r.Place == m.cfg.Place && m.validLink(r) {
			counts[place]++
		}
	}
	majority := min(proberCount, len(m.table.ring(m.cfg.Place)))/2 + 1
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
	for _, place := range slices.Sorted(maps.Keys(mergeKeys(before, after))) {
		if before[place] != after[place] {
			m.log.Warn("reachability of a place changed", "place", place, "reachable", !after[place])
			m.notify(Change{Place: place, Reachable: !after[place]})
		}
	}
}

func mergeKeys(a, b map[string]bool) map[string]bool {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}
