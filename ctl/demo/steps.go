package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/load"
	"github.com/radishstand/radishstand/node/backendtest"
)

const (
	callTimeout = 2 * time.Second
	slowFactor  = 50
	repeatShare = 0.1
	// leaveWithin is the time after which a draining server must receive no new work, and inForceWithin the time within
	// which an accepted version must be in force everywhere.
	leaveWithin   = 3 * time.Second
	inForceWithin = 3 * time.Second
	// announceSettle lets an announcement that is under way arrive before the one that drains.
	announceSettle = 50 * time.Millisecond
)

// Lengths of the steps.
const (
	steadyTime = 3 * time.Second
	drainTime  = leaveWithin + time.Second
	slowTime   = 3 * time.Second
	stopTime   = 4 * time.Second
	outageTime = 2 * time.Second
	backTime   = 2 * time.Second
	afterEdit  = time.Second
)

// run is one demo in progress.
type run struct {
	deployment deployment
	fleet      *fleet
	calls      *calls
	versions   *versions
	say        func(format string, args ...any)

	drained *drained
	edit    edited
}

// drained is what happened at the server that was drained.
type drained struct {
	member *member
	// runsAtLimit is the number of calls that had run when leaveWithin had passed.
	runsAtLimit int
}

// edited is what became of the edit of a setting.
type edited struct {
	version int64
	took    time.Duration
	behind  []string
	err     error
}

// step is one part of the demo.
type step struct {
	name, what string
	do         func(ctx context.Context) error
}

func (r *run) steps() []step {
	return []step{
		{"steady", "load alone", wait(steadyTime)},
		{"drain", "one server of " + r.deployment.drains + " drains", r.drain},
		{"slow", fmt.Sprintf("one server of %s is %d times slower", r.deployment.slows, slowFactor), r.slow},
		{"stop", "one server of " + r.deployment.stops + " stops abruptly", r.stop},
		{"store-down", "the store is away", r.storeDown},
		{"store-back", "the store is back", r.storeBack},
		{"edit", "a setting is edited", r.editSetting},
	}
}

// wait returns a step that only lets time pass.
func wait(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d):
			return nil
		}
	}
}

// play runs all steps under load and waits for the answers of the last calls.
func (r *run) play(ctx context.Context, rate float64) error {
	watching, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go r.versions.watch(watching, r.fleet)
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	plan := load.Plan{
		Targets: r.fleet.targets(), Rate: rate, Mix: r.deployment.mix, Timeout: callTimeout,
		TokenHeader: backendtest.HeaderToken, RepeatShare: repeatShare, Seed: 1,
	}
	if err := plan.Validate(); err != nil {
		return err
	}
	done := make(chan struct{})
	for i, s := range r.steps() {
		r.calls.begin(s.name)
		r.say("%s: %s", s.name, s.what)
		if i == 0 {
			go func() {
				defer close(done)
				load.New(plan).Run(loading, r.calls.add)
			}()
		}
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("step %s: %w", s.name, err)
		}
	}
	stopLoad()
	<-done
	return nil
}

// drain lets a server leave as the contract says: it announces that it drains and finishes its calls. It does not renew
// the announcement, so that its node measures it, which puts the measuring budget to the test.
func (r *run) drain(ctx context.Context) error {
	m := r.fleet.of(r.deployment.drains, 0)
	r.drained = &drained{member: m}
	m.server.StopRenewing()
	time.Sleep(announceSettle)
	if err := m.server.Announce(m.config.ListenServer, true); err != nil {
		return err
	}
	if err := wait(leaveWithin)(ctx); err != nil {
		return err
	}
	r.drained.runsAtLimit = total(m.server)
	return wait(drainTime - leaveWithin)(ctx)
}

func total(s *backendtest.Server) int {
	n := 0
	for _, runs := range s.AllRuns() {
		n += runs
	}
	return n
}

// slow makes a server slow for the length of the step.
func (r *run) slow(ctx context.Context) error {
	server := r.fleet.of(r.deployment.slows, 1).server
	took := r.tookOf(r.deployment.slows)
	server.Set(backendtest.Behaviour{ServiceTime: slowFactor * took})
	defer server.Set(backendtest.Behaviour{ServiceTime: took})
	return wait(slowTime)(ctx)
}

func (r *run) tookOf(name string) time.Duration {
	for _, s := range r.deployment.services {
		if s.name == name {
			return s.took
		}
	}
	return 0
}

// stop closes a server with its calls in progress.
func (r *run) stop(ctx context.Context) error {
	r.fleet.of(r.deployment.stops, 0).server.Close()
	return wait(stopTime)(ctx)
}

func (r *run) storeDown(ctx context.Context) error {
	r.fleet.platform.Stop()
	return wait(outageTime)(ctx)
}

func (r *run) storeBack(ctx context.Context) error {
	if err := r.fleet.platform.Start(r.fleet.platform.Addr()); err != nil {
		return err
	}
	return wait(backTime)(ctx)
}

// editSetting changes one setting and waits until every node has it in force.
func (r *run) editSetting(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	m := r.fleet.members[len(r.fleet.members)-1]
	path := fmt.Sprintf("places.%s.services.%s.retry.hedgeMinMs", r.deployment.places[0], r.deployment.slows)
	accepted, err := m.operators.Submit(ctx, operator.PathChanges, operator.Change{
		ID: "demo-edit", Author: "demo", BaseVersion: m.version(ctx), Edits: []settings.Edit{settings.Set(path, []byte("10"))},
	})
	if err != nil {
		r.edit.err = err
		return nil
	}
	r.edit.version = accepted.Version
	started := time.Now()
	for {
		r.edit.behind, r.edit.took = r.versions.behind(r.fleet, accepted.Version), time.Since(started)
		if len(r.edit.behind) == 0 || r.edit.took > inForceWithin {
			return wait(afterEdit)(ctx)
		}
		if err := wait(pollEvery)(ctx); err != nil {
			return err
		}
	}
}
