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
	// drainWithin is the time after which a draining server must receive no new work. inForceWithin is the time within
	// which an accepted version must be in force everywhere.
	drainWithin   = 3 * time.Second
	inForceWithin = 3 * time.Second
	// announceSettle is the wait for an announcement in transit, so that it arrives before the one that drains.
	announceSettle = 50 * time.Millisecond
)

// Durations of the steps.
const (
	steadyTime    = 3 * time.Second
	drainTime     = drainWithin + time.Second
	slowTime      = 3 * time.Second
	stopTime      = 4 * time.Second
	outageTime    = 2 * time.Second
	recoveryTime  = 2 * time.Second
	afterEditTime = time.Second
)

// run is one demo in progress.
type run struct {
	deployment deployment
	fleet      *fleet
	calls      *calls
	versions   *versions
	logf       func(format string, args ...any)

	drained *drainResult
	edit    editResult
}

// drainResult describes the server that was drained.
type drainResult struct {
	member *member
	// runsAtLimit is the number of calls that had run at the server when drainWithin had passed.
	runsAtLimit int
}

// editResult is the outcome of the edit of a setting. lagging lists the nodes without the new version.
type editResult struct {
	version int64
	elapsed time.Duration
	lagging []string
	err     error
}

// step is one phase of the demo, in which at most one fault or change is applied under load.
type step struct {
	name, description string
	do                func(ctx context.Context) error
}

func (r *run) steps() []step {
	return []step{
		{"steady", "load without faults", wait(steadyTime)},
		{"drain", "one server of " + r.deployment.drainService + " drains", r.drain},
		{"slow", fmt.Sprintf("one server of %s is %d times slower", r.deployment.slowService, slowFactor), r.slow},
		{"stop", "one server of " + r.deployment.stopService + " stops abruptly", r.stop},
		{"store-down", "the store is unavailable", r.storeDown},
		{"store-back", "the store is available again", r.storeBack},
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

// runSteps runs all steps under load and waits for the answers of the last calls.
func (r *run) runSteps(ctx context.Context, rate float64) error {
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
		r.calls.beginStep(s.name)
		r.logf("%s: %s", s.name, s.description)
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

// drain drains a server as the contract describes: the server announces that it drains and finishes its calls. It does not
// renew the announcement, so that its node has to measure it and the measuring budget is tested.
func (r *run) drain(ctx context.Context) error {
	m := r.fleet.memberWith(r.deployment.drainService, 0)
	r.drained = &drainResult{member: m}
	m.server.StopRenewing()
	time.Sleep(announceSettle)
	if err := m.server.Announce(m.config.ListenServer, true); err != nil {
		return err
	}
	if err := wait(drainWithin)(ctx); err != nil {
		return err
	}
	r.drained.runsAtLimit = total(m.server)
	return wait(drainTime - drainWithin)(ctx)
}

// total returns the number of runs of all requests at a server.
func total(s *backendtest.Server) int {
	n := 0
	for _, runs := range s.AllRuns() {
		n += runs
	}
	return n
}

// slow makes a server slowFactor times slower for the duration of the step.
func (r *run) slow(ctx context.Context) error {
	server := r.fleet.memberWith(r.deployment.slowService, 1).server
	normal := r.serviceTimeOf(r.deployment.slowService)
	server.Set(backendtest.Behaviour{ServiceTime: slowFactor * normal})
	defer server.Set(backendtest.Behaviour{ServiceTime: normal})
	return wait(slowTime)(ctx)
}

func (r *run) serviceTimeOf(name string) time.Duration {
	for _, s := range r.deployment.services {
		if s.name == name {
			return s.serviceTime
		}
	}
	return 0
}

// stop closes a server abruptly, with calls in progress.
func (r *run) stop(ctx context.Context) error {
	r.fleet.memberWith(r.deployment.stopService, 0).server.Close()
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
	return wait(recoveryTime)(ctx)
}

// editSetting changes one setting and waits until it is in force at every node, for at most inForceWithin.
func (r *run) editSetting(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	m := r.fleet.members[len(r.fleet.members)-1]
	path := fmt.Sprintf("places.%s.services.%s.retry.hedgeMinMs", r.deployment.places[0], r.deployment.slowService)
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
		r.edit.lagging, r.edit.elapsed = r.versions.lagging(r.fleet, accepted.Version), time.Since(started)
		if len(r.edit.lagging) == 0 || r.edit.elapsed > inForceWithin {
			return wait(afterEditTime)(ctx)
		}
		if err := wait(pollEvery)(ctx); err != nil {
			return err
		}
	}
}
