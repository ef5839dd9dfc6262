package admission

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
)

// The property tests run with a fixed seed.
func init() { _ = flag.Set("rapid.seed", "1") }

// testAdmission is an Admission with a manual clock and its own settings.
type testAdmission struct {
	*Admission
	clock  time.Time
	values settings.Admission
}

func newTestAdmission(slots int, sibling func(time.Duration) (string, bool)) *testAdmission {
	b := &testAdmission{clock: time.Unix(1000, 0), values: settings.Default().Admission}
	b.Admission = New(Config{
		Slots: slots, Now: func() time.Time { return b.clock }, Values: func() settings.Admission { return b.values }, Sibling: sibling,
	})
	return b
}

// outcome is the state of a submitted call.
type outcome struct {
	waiter *Waiter
	ticket *Ticket
	reason Reason
	order  int
}

// submitCall submits a call; started counts the calls that were admitted.
func (b *testAdmission) submitCall(call Call, started *int) *outcome {
	o := &outcome{}
	o.waiter = b.Submit(call, func(t *Ticket, err error) {
		o.ticket = t
		if err != nil {
			o.reason = err.(*Refused).Reason
			return
		}
		*started++
		o.order = *started
	})
	return o
}

// warmUp runs calls of 10 ms until the estimate of the service time is about 10 ms.
func (b *testAdmission) warmUp(t *testing.T) {
	n := 0
	for range 50 {
		o := b.submitCall(Call{Class: contract.ClassNormal}, &n)
		b.clock = b.clock.Add(10 * time.Millisecond)
		o.ticket.Done(OK)
	}
	require.InDelta(t, 10, b.Load(b.clock).ServiceTime.Seconds()*1000, 2)
}

// Guards against a queue that violates the order of classes, its maximum length or the number of slots: it must agree with a
// naive implementation that sorts all waiters at each step.
func TestQueueAgreesWithANaiveQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestAdmission(rapid.IntRange(1, 3).Draw(t, "slots"), nil)
		b.values.QueueLength, b.values.DeferrableShare = rapid.IntRange(0, 5).Draw(t, "queue"), 0
		var waiting, running []*outcome
		started := 0
		rank := func(o *outcome) int { return o.waiter.call.Class.Rank() }
		checkState := func() { // the naive queue assigns free slots to the highest class, oldest first
			slices.SortStableFunc(waiting, func(x, y *outcome) int { return rank(x) - rank(y) })
			for len(running) < b.slots && len(waiting) > 0 {
				require.NotNil(t, waiting[0].ticket, "the first waiter of the highest class must run")
				running, waiting = append(running, waiting[0]), waiting[1:]
			}
			for _, o := range waiting {
				require.Nil(t, o.ticket)
				require.Empty(t, o.reason)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			b.clock = b.clock.Add(time.Millisecond)
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step <= 1:
				o := b.submitCall(Call{Class: rapid.SampledFrom(contract.Classes).Draw(t, "class")}, &started)
				if len(running) >= b.slots && len(waiting) >= b.values.QueueLength {
					last := o // newest call of the lowest class
					for _, w := range waiting {
						if last == o && rank(w) > rank(o) || last != o && rank(w) >= rank(last) {
							last = w
						}
					}
					require.NotEmpty(t, last.reason)
					if last == o {
						break
					}
					waiting = slices.DeleteFunc(waiting, func(w *outcome) bool { return w == last })
				}
				waiting = append(waiting, o)
			case step == 2 && len(running) > 0:
				i := rapid.IntRange(0, len(running)-1).Draw(t, "done")
				running[i].ticket.Done(rapid.SampledFrom([]Result{OK, Error, Cancelled}).Draw(t, "result"))
				running = slices.Delete(running, i, i+1)
			case step == 3 && len(waiting) > 0:
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "cancelled")
				b.Cancel(waiting[i].waiter, context.Canceled)
				require.Equal(t, ReasonCancelled, waiting[i].reason)
				waiting = slices.Delete(waiting, i, i+1)
			}
			checkState()
			load := b.Load(b.clock)
			require.Equal(t, []int{len(running), len(waiting)}, []int{load.InProgress, load.Queued})
		}
	})
}

// Guards against ignoring the order of classes in the settings.
func TestOrderOfClassesFollowsTheSettings(t *testing.T) {
	b, n := newTestAdmission(1, nil), 0
	b.values.Order, b.values.DeferrableShare = []string{"deferrable", "check"}, 0
	b.submitCall(Call{Class: contract.ClassNormal}, &n)
	normal, check, deferrable := b.submitCall(Call{}, &n), b.submitCall(Call{Class: contract.ClassCheck}, &n), b.submitCall(Call{Class: contract.ClassDeferrable}, &n)
	for _, o := range []*outcome{deferrable, check} {
		b.Resize(b.slots + 1)
		require.NotNil(t, o.ticket)
	}
	require.Nil(t, normal.ticket)
}

// Guards against checks that wait behind other calls, and against starvation of the lowest class, during overload.
func TestOverloadKeepsChecksFastAndServesTheLowestClass(t *testing.T) {
	b := newTestAdmission(1, nil)
	b.values.MaxQueueMs = 60_000
	started, submitted, checkWait := map[contract.Class]int{}, map[contract.Class]int{}, time.Duration(0)
	var ticket *Ticket
	for i := range 10_000 { // one slot, 10 ms per call, twice the calls that it can serve
		class := contract.Classes[1+i%3]
		if i%20 == 0 {
			class = contract.ClassCheck
		}
		submitted[class]++
		at := b.clock
		b.Submit(Call{Class: class}, func(t *Ticket, err error) {
			if err != nil {
				return
			}
			started[class]++
			ticket = t
			if class == contract.ClassCheck {
				checkWait = max(checkWait, b.clock.Sub(at))
			}
		})
		b.clock = b.clock.Add(5 * time.Millisecond)
		if i%2 == 1 {
			ticket.Done(OK)
		}
	}
	require.Equal(t, submitted[contract.ClassCheck], started[contract.ClassCheck])
	require.LessOrEqual(t, checkWait, 30*time.Millisecond)
	require.GreaterOrEqual(t, started[contract.ClassDeferrable], 5000*4/100, "the reserved share is 5 %% of the admissions")
}

// Guards against starting calls that cannot complete by their deadline.
func TestCallsThatCannotMeetTheirDeadlineAreRefused(t *testing.T) {
	cases := map[string]struct {
		left, later time.Duration
		reason      Reason
	}{
		"a call past its deadline is refused":                       {-time.Millisecond, 0, ReasonDeadline},
		"a call with too little time for a wait is refused":         {12 * time.Millisecond, 0, ReasonDeadline},
		"a waiter whose time runs out is dropped before it starts":  {30 * time.Millisecond, 28 * time.Millisecond, ReasonDeadline},
		"a waiter with time left starts when the slot becomes free": {100 * time.Millisecond, 20 * time.Millisecond, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, n := newTestAdmission(1, nil), 0
			b.warmUp(t)
			first := b.submitCall(Call{Class: contract.ClassNormal}, &n)
			second := b.submitCall(Call{Class: contract.ClassNormal, Deadline: b.clock.Add(c.left)}, &n)
			b.clock = b.clock.Add(c.later)
			b.Sweep()
			if c.reason != "" {
				require.Equal(t, c.reason, second.reason)
			}
			first.ticket.Done(OK)
			require.Equal(t, c.reason == "", second.ticket != nil)
		})
	}
}

// Guards against refusing every call forever: it happens if an idle server with an estimate that is too high admits no call
// that corrects it.
func TestIdleServerAlwaysAdmitsACall(t *testing.T) {
	b, n := newTestAdmission(1, nil), 0
	first := b.submitCall(Call{Class: contract.ClassNormal}, &n)
	b.clock = b.clock.Add(time.Minute)
	first.ticket.Done(OK)
	require.NotNil(t, b.submitCall(Call{Class: contract.ClassNormal, Deadline: b.clock.Add(time.Millisecond)}, &n).ticket)
}

// Guards against fast failures that lower the estimated service time, and against a stall that does not raise it.
func TestServiceTimeRisesWithErrorsAndStalls(t *testing.T) {
	b, n := newTestAdmission(1, nil), 0
	b.warmUp(t)
	for range 10 {
		b.submitCall(Call{Class: contract.ClassNormal}, &n).ticket.Done(Error)
	}
	require.Greater(t, b.Load(b.clock).ServiceTime, 20*time.Millisecond)
	b = newTestAdmission(1, nil)
	b.warmUp(t)
	b.submitCall(Call{Class: contract.ClassNormal}, &n)
	b.clock = b.clock.Add(200 * time.Millisecond)
	require.Greater(t, b.Load(b.clock).ServiceTime, 50*time.Millisecond)
}

// Guards against redirecting calls that must not be redirected, and against waiters that remain queued at a stalled server.
func TestWaitersAreRedirectedToAFasterSibling(t *testing.T) {
	faster := false
	b, n := newTestAdmission(1, func(time.Duration) (string, bool) { return "s2", faster }), 0
	b.warmUp(t)
	b.submitCall(Call{Class: contract.ClassNormal}, &n)
	redirectable, notRedirectable := b.submitCall(Call{Class: contract.ClassNormal}, &n), b.submitCall(Call{Class: contract.ClassNormal, NoRedirect: true}, &n)
	faster = true
	b.clock = b.clock.Add(minSweepInterval)
	b.Sweep()
	require.Equal(t, ReasonSiblingFree, redirectable.reason)
	require.Empty(t, notRedirectable.reason)
}

// Guards against new calls at a draining or stopping server, and against a drain or stop that interrupts calls in progress.
func TestDrainAndStopRefuseNewCalls(t *testing.T) {
	b, n := newTestAdmission(1, nil), 0
	running, waiting := b.submitCall(Call{Class: contract.ClassNormal}, &n), b.submitCall(Call{Class: contract.ClassNormal}, &n)
	b.Drain()
	require.Equal(t, ReasonDraining, b.submitCall(Call{Class: contract.ClassCheck}, &n).reason)
	running.ticket.Done(OK)
	require.NotNil(t, waiting.ticket, "a call that was accepted must be served")
	b.Resume()
	late := b.submitCall(Call{Class: contract.ClassNormal}, &n)
	b.Stop()
	require.Equal(t, ReasonStopping, late.reason)
	require.Equal(t, ReasonStopping, b.submitCall(Call{Class: contract.ClassNormal}, &n).reason)
	waiting.ticket.Done(OK)
	waiting.ticket.Done(OK)
	require.Zero(t, b.Load(b.clock).InProgress)
}

// Guards against an increase of the slots that does not start waiting calls.
func TestResizeStartsWaiters(t *testing.T) {
	b, n := newTestAdmission(1, nil), 0
	b.submitCall(Call{Class: contract.ClassNormal}, &n)
	waiting := b.submitCall(Call{Class: contract.ClassNormal}, &n)
	b.Resize(2)
	require.NotNil(t, waiting.ticket)
}

// Guards against expired and cancelled waiters that still occupy a slot or a position in the queue.
func TestExpiredAndCancelledWaitersAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Slots: 1})
		ticket, err := a.Admit(t.Context(), Call{Class: contract.ClassNormal})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		reasons := make(chan Reason, 30)
		for i := range 30 {
			go func() {
				call, c := Call{Class: contract.ClassNormal}, t.Context()
				switch i % 3 {
				case 0:
					call.Deadline = time.Now().Add(50 * time.Millisecond)
				case 1:
					c = ctx
				}
				_, err := a.Admit(c, call)
				reasons <- err.(*Refused).Reason
			}()
		}
		synctest.Wait()
		require.Equal(t, 30, a.Load(time.Now()).Queued)
		time.Sleep(60 * time.Millisecond)
		cancel()
		synctest.Wait()
		require.Equal(t, 10, a.Load(time.Now()).Queued)
		time.Sleep(time.Second)
		synctest.Wait()
		count := map[Reason]int{}
		for range 30 {
			count[<-reasons]++
		}
		require.Equal(t, map[Reason]int{ReasonDeadline: 10, ReasonCancelled: 10, ReasonWaitedTooLong: 10}, count)
		ticket.Done(OK)
		load := a.Load(time.Now())
		require.Zero(t, load.InProgress+load.Queued)
	})
}

// Guards against a slot that is never released: it can happen when a call is cancelled while it is admitted.
func TestCancelRacesWithAdmission(t *testing.T) {
	a := New(Config{Slots: 1})
	for range 500 {
		first, err := a.Admit(t.Context(), Call{Class: contract.ClassNormal})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if ticket, err := a.Admit(ctx, Call{Class: contract.ClassNormal}); err == nil {
				ticket.Done(OK)
			}
		}()
		go cancel()
		first.Done(OK)
		<-done
	}
	load := a.Load(time.Now())
	require.Zero(t, load.InProgress+load.Queued)
}

func BenchmarkAdmitDone(b *testing.B) {
	for _, queued := range []int{0, 20} {
		b.Run(fmt.Sprint(queued, " queued"), func(b *testing.B) {
			a := New(Config{Slots: 17})
			for range 16 {
				_, _ = a.Admit(b.Context(), Call{Class: contract.ClassNormal})
			}
			last, _ := a.Admit(b.Context(), Call{Class: contract.ClassNormal})
			tickets := []*Ticket{last}
			submit := func() {
				a.Submit(Call{Class: contract.ClassNormal}, func(t *Ticket, err error) {
					if err == nil {
						tickets = append(tickets, t)
					}
				})
			}
			for range queued {
				submit()
			}
			b.ReportAllocs()
			for b.Loop() {
				submit()
				ticket := tickets[0]
				tickets = tickets[1:]
				ticket.Done(OK)
				if len(tickets) == 0 {
					submit()
				}
			}
		})
	}
}
