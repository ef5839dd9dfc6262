package choice

import (
	"math"
	"sync"
	"time"
)

const (
	// startGain is the time that a call must gain by leaving before the share rises. Of the estimates, only a loss lowers
	// it. The distance between the two keeps the share from following the noise of the estimates.
	startGain = 10 * time.Millisecond
	// riseTime and fallTime are the times in which a share changes by 1 at a pressure of 1. Both exceed the usual age of load reports,
	// so that a change shows in the reports before the next one is decided.
	riseTime = 1500 * time.Millisecond
	fallTime = 4 * time.Second
	// maxStep is the largest change of a share by one call, also after a long time without calls.
	maxStep = 0.2
	// redirectedStep is the increase of the share by a call that the servers of the caller's place have redirected. They know
	// their queues more exactly than load reports do.
	redirectedStep = 0.04
	// maxLeaving is the largest share of calls that leave while a server in the place is usable. The remaining calls show in its load
	// reports when it has room again.
	maxLeaving = 0.95
	// minLeaving is the share below which no call leaves.
	minLeaving = 0.01
	// reportedShare is the share from which calls of a service are reported to leave, until it has been below minLeaving for reportDelay.
	reportedShare = 0.05
	reportDelay   = 5 * time.Second
	// reportInterval is the minimum time between two checks of which places are to be reported.
	reportInterval = 100 * time.Millisecond
	// refusedFactor lowers the share of a place whose server has just refused a call.
	refusedFactor = 0.7
	// idleTime is the time constant with which the share of a class decays while none of its calls arrive.
	idleTime = 30 * time.Second
	// maxRefusals is the number of refusals by servers in other places after which a call waits in its own place. The load
	// reports of the remaining servers are then probably outdated too.
	maxRefusals = 3
	// minRedirect is the expected wait above which a server redirects a call that other servers may start earlier.
	minRedirect = 10 * time.Millisecond
)

// LeaverConfig configures a Leaver.
type LeaverConfig struct {
	// Now returns the current time.
	Now func() time.Time
	// Random returns a random number in [0, 1).
	Random func() float64
	// Changed is called when calls of a service start or stop leaving for a place, with the share of the calls that leave for it. It may be
	// nil and must not call the Leaver.
	Changed func(service, place string, leaving bool, share float64)
}

// Leaver decides which calls of an entry node leave its place, which is also called their home. Calls with the same service, route and
// rank form a class. For each other place, a share of the class leaves for it. It is safe for concurrent use.
type Leaver struct {
	config LeaverConfig

	mu       sync.Mutex
	services map[string]*leavingService
}

// NewLeaver returns a Leaver whose shares are all 0.
func NewLeaver(c LeaverConfig) *Leaver {
	return &Leaver{config: c, services: map[string]*leavingService{}}
}

// Decision is the server for an attempt.
type Decision struct {
	// Index is the index of the chosen candidate; -1 without candidates.
	Index int
	// Redirect is the expected wait above which the server should redirect the call.
	Redirect time.Duration
	// Stay is set when the server should keep the call, since no other server would start it earlier.
	Stay bool
}

// Pick returns the candidate for an attempt of a call, and updates the shares of its class.
func (l *Leaver) Pick(candidates []Candidate, call Call) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	service := l.service(call.Service)
	return l.decide(service, candidates, call, l.config.Random, func() { l.reportChanges(call.Service, service) })
}

// medianDraw is the random number that Preview uses: a call leaves if more than half of its class does.
const medianDraw = 0.5

// Preview returns what Pick would return if its random numbers were medianDraw, and the share of the call's class that leaves for each
// other place. It changes nothing.
func (l *Leaver) Preview(candidates []Candidate, call Call) (Decision, map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	service := newLeavingService()
	if known := l.services[call.Service]; known != nil {
		service = known.clone()
	}
	d := l.decide(service, candidates, call, func() float64 { return medianDraw }, func() {})
	return d, service.class(classKey{call.Route, call.Rank}).shares
}

// decide returns the decision about a call and updates the state of its service. It calls changed after an update of the shares.
func (l *Leaver) decide(service *leavingService, candidates []Candidate, call Call, random func() float64, changed func()) Decision {
	now := l.config.Now()
	service.demand.add(call.Rank, now)
	view := newFleetView(candidates, call)
	home := view.home
	if home == nil {
		if view.refusedHome >= 0 {
			service.class(classKey{call.Route, call.Rank}).raise(view, redirectedStep)
			changed()
		}
		return l.pickAway(view, random)
	}
	expected := home.expected(service.demand.ahead(call.Rank))
	class := service.class(classKey{call.Route, call.Rank})
	class.update(view, call, expected, now)
	changed()
	if place := class.draw(view, call, expected, random()); place != nil {
		return Decision{Index: place.draw(random), Redirect: minRedirect}
	}
	return l.stay(view, call)
}

// stay returns the best server of the caller's place. If it is the only one there, it should redirect the call only when the expected wait
// exceeds the additional time that leaving for the cheapest other place takes.
func (l *Leaver) stay(view *fleetView, call Call) Decision {
	d := Decision{Index: view.home.best, Redirect: minRedirect}
	if len(view.home.usable) > 1 {
		return d
	}
	away := view.cheapest(call)
	if away == nil {
		d.Stay = true
		return d
	}
	d.Redirect = max(away.cost(call)-view.home.idle, 0) + minRedirect
	return d
}

// pickAway returns a server of another place for a call that no server of its own place takes now. If no other place has room or
// maxRefusals servers there refused the call, it waits at a server of its own place that refused it before, if there is one.
func (l *Leaver) pickAway(view *fleetView, random func() float64) Decision {
	place := view.drawRoom(random())
	if place != nil && (view.refusedHome < 0 || view.refusals < maxRefusals) {
		return Decision{Index: place.draw(random), Redirect: minRedirect}
	}
	if view.refusedHome >= 0 {
		return Decision{Index: view.refusedHome, Stay: true}
	}
	return Decision{Index: view.any(random), Redirect: minRedirect}
}

// Shares returns the share of a service's recent calls that left for each other place.
func (l *Leaver) Shares(service string) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[service]; s != nil {
		return s.shares(l.config.Now())
	}
	return nil
}

func (l *Leaver) service(name string) *leavingService {
	s := l.services[name]
	if s == nil {
		s = newLeavingService()
		l.services[name] = s
	}
	return s
}

// reportChanges reports the places for which calls of a service start or stop leaving.
func (l *Leaver) reportChanges(name string, s *leavingService) {
	now := l.config.Now()
	if now.Sub(s.checkedAt) < reportInterval {
		return
	}
	s.checkedAt = now
	shares := s.shares(now)
	for place, share := range shares {
		_, leaving := s.leaving[place]
		if share >= reportedShare || leaving && share >= minLeaving {
			s.leaving[place] = now
		}
		if share >= reportedShare && !leaving {
			l.report(name, place, true, share)
		}
	}
	for place, last := range s.leaving {
		if now.Sub(last) >= reportDelay {
			delete(s.leaving, place)
			l.report(name, place, false, shares[place])
		}
	}
}

func (l *Leaver) report(service, place string, leaving bool, share float64) {
	if l.config.Changed != nil {
		l.config.Changed(service, place, leaving, share)
	}
}

// decayed returns a value after exponential decay for a time with the given time constant.
func decayed(value float64, elapsed, constant time.Duration) float64 {
	return value * math.Exp(-float64(max(elapsed, 0))/float64(constant))
}
