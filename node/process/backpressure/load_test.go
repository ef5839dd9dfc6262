package backpressure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/internal/virtualtime"
	"github.com/radishstand/radishstand/node/process/backpressure"
	"github.com/radishstand/radishstand/node/process/dispatch"
)

// The load is that of the deployment "board" of the design page.
const (
	fronts, ledgers   = 56, 16
	browsePerSecond   = 444.0
	payPerSecond      = 118.0
	browseWork        = 200 * time.Millisecond
	lookupWork        = 49 * time.Millisecond
	payWork           = 140 * time.Millisecond
	nestingShare      = 0.7
	lookups           = 2
	lookupTimeout     = 300 * time.Millisecond
	payTimeout        = 800 * time.Millisecond
	browseRank        = 3
	sweepInterval     = 20 * time.Millisecond
	normalLedgerSlots = 12
)

// board simulates browse calls at front, which make lookups at ledger, beside payments at ledger.
type board struct {
	*virtualtime.Clock
	random      *rand.Rand
	controllers []*backpressure.Controller // nil without back pressure
	ledgers     []*dispatch.Dispatcher
	calls       int
	outcomes
}

// outcomes counts the calls of a period.
type outcomes struct {
	offered, refused, answered, failed int
	paid, unpaid                       int
}

func newBoard(backPressure bool, seed uint64) *board {
	b := &board{Clock: virtualtime.New(), random: rand.New(rand.NewPCG(seed, 2))}
	for range fronts {
		if backPressure {
			b.controllers = append(b.controllers, backpressure.New(b.Now, nil))
		}
	}
	for range ledgers {
		d := dispatch.New(b.Now, nil)
		d.UseFairShares(func() bool { return true })
		b.ledgers = append(b.ledgers, d)
		var sweep func()
		sweep = func() { d.Sweep(); b.After(sweepInterval, sweep) }
		sweep()
	}
	b.setLedgerSlots(normalLedgerSlots)
	b.repeat(browsePerSecond, b.browse)
	b.repeat(payPerSecond, b.pay)
	return b
}

func (b *board) setLedgerSlots(slots int) {
	for _, d := range b.ledgers {
		d.Open(slots)
	}
}

func (b *board) repeat(perSecond float64, run func()) {
	b.After(time.Duration(b.random.ExpFloat64()/perSecond*float64(time.Second)), func() { run(); b.repeat(perSecond, run) })
}

// play returns the outcomes of a period.
func (b *board) play(period time.Duration) outcomes {
	b.outcomes = outcomes{}
	b.RunFor(period)
	return b.outcomes
}

func (b *board) browse() {
	b.offered++
	b.calls++
	controller := &backpressure.Controller{}
	if b.controllers != nil {
		controller = b.controllers[b.random.IntN(fronts)]
		call := backpressure.Call{ID: fmt.Sprint(b.calls), Route: "browse", Team: fmt.Sprint(b.random.IntN(78))}
		if _, admitted := controller.Admit(call); !admitted {
			b.refused++
			return
		}
	}
	nests := b.random.Float64() < nestingShare
	end := func(failed bool) {
		if failed {
			b.failed++
		} else {
			b.answered++
		}
		if b.controllers != nil {
			controller.Ended("browse", nests, failed)
		}
	}
	if !nests {
		b.After(browseWork, func() { end(false) })
		return
	}
	b.After(browseWork/2, func() { b.lookup(lookups, end) })
}

// lookup makes the given number of nested calls in sequence.
func (b *board) lookup(count int, end func(failed bool)) {
	if count == 0 {
		b.After(browseWork/2, func() { end(false) })
		return
	}
	j := &dispatch.Job{Route: "lookup", Nested: true, ParentRank: browseRank, Rank: browseRank}
	b.atLedger(j, lookupWork, b.Now().Add(lookupTimeout), func(ok bool) {
		if !ok {
			b.After(5*time.Millisecond, func() { end(true) })
			return
		}
		b.lookup(count-1, end)
	})
}

func (b *board) pay() {
	j := &dispatch.Job{Route: "pay"}
	b.atLedger(j, payWork, b.Now().Add(payTimeout), func(ok bool) {
		if ok {
			b.paid++
		} else {
			b.unpaid++
		}
	})
}

// atLedger runs a call at a server of ledger.
func (b *board) atLedger(j *dispatch.Job, work time.Duration, deadline time.Time, done func(ok bool)) {
	d := b.ledgers[b.random.IntN(ledgers)]
	if other := b.ledgers[b.random.IntN(ledgers)]; occupied(other) < occupied(d) {
		d = other
	}
	j.NoRedirect, j.Objective, j.Deadline = true, deadline, deadline
	d.Submit(j, func(err error) {
		if err != nil {
			done(false)
			return
		}
		b.After(work, func() {
			d.Done(j, true)
			done(true)
		})
	})
}

func occupied(d *dispatch.Dispatcher) int {
	load := d.Load()
	return load.InProgress + load.Queued
}

// Guards against browse calls that hold a slot and end in a server's error while nested calls are refused, against refusals that
// outlast the shortage, and against payments that suffer from either.
func TestBrowseIsRefusedBeforeItStartsWhileItsLookupsAreRefused(t *testing.T) {
	const normalPeriod, shortPeriod, recovery, seed = 10 * time.Second, 20 * time.Second, 2 * time.Second, 3
	// Of the 32 slots, payments take 16.5 on average, which leaves half of the 30.5 that lookups need.
	const shortSlots = 2
	without := newBoard(false, seed)
	without.play(normalPeriod)
	without.setLedgerSlots(shortSlots)
	naive := without.play(shortPeriod)

	b := newBoard(true, seed)
	normal := b.play(normalPeriod)
	b.setLedgerSlots(shortSlots)
	onset := b.play(recovery)
	short := b.play(shortPeriod)
	b.setLedgerSlots(normalLedgerSlots)
	b.play(recovery)
	after := b.play(normalPeriod)
	t.Logf("normal %+v\nonset %+v\nshort %+v\nwithout %+v\nafter %+v", normal, onset, short, naive, after)

	assert.Zero(t, normal.refused)
	share := func(part, whole int) float64 { return float64(part) / float64(whole) }
	assert.Greater(t, share(naive.failed, naive.offered), 0.3, "the shortage must be one that fails calls")
	assert.Less(t, share(short.failed, short.offered), share(naive.failed, naive.offered)/2)
	assert.LessOrEqual(t, share(short.refused, short.offered), share(naive.failed, naive.offered), "no more are refused than would have failed")
	assert.Greater(t, share(onset.refused, onset.offered), 0.1)
	assert.Less(t, share(after.refused, after.offered), 0.02)
	for _, o := range []outcomes{onset, short, after} {
		assert.GreaterOrEqual(t, share(o.paid, o.paid+o.unpaid), 0.95)
	}
}
