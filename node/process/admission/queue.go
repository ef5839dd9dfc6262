package admission

import (
	"math"
	"slices"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
)

// fastShare is the share of the mean service time that fast calls take: about one call in ten of a log-normal
// distribution with sigma 0.5 is faster. A call with less time left is taken to be hopeless.
const fastShare = 0.5

// sweepEvery bounds the work of looking through the queue, which every arrival and every waiter asks for.
const sweepEvery = time.Millisecond

// referGain is the share of the expected completion time here within which a sibling must be expected to complete.
const referGain = 0.5

// Waiter is a call that has asked for a slot.
type Waiter struct {
	call     Call
	rank     int
	decide   func(*Ticket, error)
	expires  time.Duration // end of the longest wait
	deadline time.Duration // zero for none
	queued   bool
}

// queues holds the waiters of each class in order of arrival.
type queues struct {
	classes [4][]*Waiter
	length  int
	credit  float64 // admissions that the lowest waiting class has earned
}

func (q *queues) push(w *Waiter) {
	w.queued = true
	q.classes[w.rank] = append(q.classes[w.rank], w)
	q.length++
}

// remove takes a waiter out and reports whether it was in.
func (q *queues) remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	w.queued = false
	class := q.classes[w.rank]
	i := slices.Index(class, w)
	q.classes[w.rank] = slices.Delete(class, i, i+1)
	q.length--
	return true
}

// lowest returns the last waiter of the lowest class, or nil.
func (q *queues) lowest() *Waiter {
	for rank := len(q.classes) - 1; rank >= 0; rank-- {
		if n := len(q.classes[rank]); n > 0 {
			return q.classes[rank][n-1]
		}
	}
	return nil
}

// next returns the waiter whose turn it is: the first of the highest class, or the first of the lowest one when its
// reserved share of admissions is due.
func (q *queues) next(share float64) *Waiter {
	var first, last *Waiter
	for _, class := range q.classes {
		if len(class) == 0 {
			continue
		}
		if first == nil {
			first = class[0]
		}
		last = class[0]
	}
	if first == last {
		return first
	}
	q.credit += share
	if q.credit < 1 {
		return first
	}
	q.credit--
	return last
}

// room reports whether a waiter of a class finds a place in a queue of the given length, of which some places are kept for
// each class.
func (q *queues) room(rank, length, places int) bool {
	if len(q.classes[rank]) < places {
		return true
	}
	taken := 0
	for _, class := range q.classes {
		taken += max(len(class), places)
	}
	return taken < length
}

// ahead returns the number of waiters of the same or a higher class.
func (q *queues) ahead(rank int) int {
	n := 0
	for r := 0; r <= rank; r++ {
		n += len(q.classes[r])
	}
	return n
}

// rank returns the position of a class in the order of the settings.
func rank(class contract.Class, order []string) int {
	if !class.Valid() {
		class = contract.ClassNormal
	}
	if i := slices.Index(order, string(class)); i >= 0 {
		return min(i, len(contract.Classes)-1)
	}
	return len(contract.Classes) - 1
}

// submit decides on a new call at once or queues it.
func (a *Admission) submit(w *Waiter, now time.Duration, v settings.Admission) {
	w.rank = rank(w.call.Class, v.Order)
	w.expires = now + time.Duration(v.MaxQueueMs)*time.Millisecond
	if !w.call.Deadline.IsZero() {
		w.deadline = max(w.call.Deadline.Sub(a.origin), 1)
		w.expires = min(w.expires, w.deadline)
	}
	switch {
	case a.stopped:
		a.refuse(w, &Refused{Reason: ReasonStopping})
		return
	case a.draining:
		a.refuse(w, &Refused{Reason: ReasonDraining})
		return
	}
	a.sweep(now, v)
	a.dispatch(now, v)
	if a.inProgress < a.slots {
		a.admitNew(w, now)
		return
	}
	serviceTime := a.estimate.serviceTime(now, a.inProgress)
	wait := a.expectedWait(a.queues.ahead(w.rank), serviceTime)
	if refused := a.unfit(w, now, wait, serviceTime, v); refused != nil {
		a.refuse(w, refused)
		return
	}
	places := reserved(v)
	if !a.queues.room(w.rank, v.QueueLength, places) && !a.pushOut(w.rank, places, wait) {
		a.refuse(w, &Refused{Reason: ReasonQueueFull, RetryAfter: wait})
		return
	}
	a.queues.push(w)
}

// admitNew starts a new call while a slot is free, or refuses it if it is hopeless.
func (a *Admission) admitNew(w *Waiter, now time.Duration) {
	if a.hopeless(w, now, 0, a.estimate.serviceTime(now, a.inProgress)) {
		a.refuse(w, &Refused{Reason: ReasonDeadline})
		return
	}
	a.start(w, now)
}

// reserved returns the number of places in the queue that are kept for each class. Without them, higher classes would
// push out every waiter of the lowest class, and its reserved share of admissions would be worth nothing.
func reserved(v settings.Admission) int {
	return min(int(math.Ceil(v.DeferrableShare*float64(v.QueueLength))), v.QueueLength/len(queues{}.classes))
}

// pushOut makes room by refusing the last waiter of a class lower than rank that has more than its reserved places.
func (a *Admission) pushOut(rank, places int, wait time.Duration) bool {
	for lower := len(a.queues.classes) - 1; lower > rank; lower-- {
		class := a.queues.classes[lower]
		if len(class) <= places {
			continue
		}
		last := class[len(class)-1]
		a.queues.remove(last)
		a.refuse(last, &Refused{Reason: ReasonPushedOut, RetryAfter: wait})
		return true
	}
	return false
}

// expectedWait returns the time until a slot becomes free for a call with the given number of waiters ahead.
func (a *Admission) expectedWait(ahead int, serviceTime time.Duration) time.Duration {
	over := max(a.inProgress-a.slots, 0)
	return time.Duration(float64(ahead+over+1) * float64(serviceTime) / float64(a.slots))
}

// hopeless reports whether a call that waits that long cannot finish by its deadline. A call at an idle server is never
// hopeless: without it, an estimate that was too long would not be corrected.
func (a *Admission) hopeless(w *Waiter, now, wait, serviceTime time.Duration) bool {
	if w.deadline == 0 {
		return false
	}
	left := w.deadline - now
	if left <= 0 {
		return true
	}
	return a.inProgress > 0 && left < wait+time.Duration(fastShare*float64(serviceTime))
}

// unfit returns the refusal of a call that should not wait here, or nil.
func (a *Admission) unfit(w *Waiter, now, wait, serviceTime time.Duration, v settings.Admission) *Refused {
	if a.hopeless(w, now, wait, serviceTime) {
		return &Refused{Reason: ReasonDeadline, RetryAfter: wait}
	}
	if w.expires <= now {
		return &Refused{Reason: ReasonWaitedTooLong, RetryAfter: wait}
	}
	if margin := time.Duration(v.ReferMarginMs) * time.Millisecond; margin > 0 && wait > margin && !w.call.NoRedirect && a.config.Sibling != nil {
		if id, ok := a.config.Sibling(time.Duration(referGain * float64(wait+serviceTime))); ok {
			return &Refused{Reason: ReasonSiblingFree, RetryAfter: wait, Sibling: id}
		}
	}
	return nil
}

// sweep refuses the waiters that should not wait any longer.
func (a *Admission) sweep(now time.Duration, v settings.Admission) {
	if a.queues.length == 0 || now-a.sweptAt < sweepEvery {
		return
	}
	a.sweptAt = now
	serviceTime := a.estimate.serviceTime(now, a.inProgress)
	ahead := 0
	for rank, class := range a.queues.classes {
		kept := class[:0]
		for _, w := range class {
			if refused := a.unfit(w, now, a.expectedWait(ahead, serviceTime), serviceTime, v); refused != nil {
				w.queued = false
				a.refuse(w, refused)
				continue
			}
			kept = append(kept, w)
			ahead++
		}
		clear(class[len(kept):])
		a.queues.classes[rank] = kept
	}
	a.queues.length = ahead
}

// dispatch starts waiters while slots are free.
func (a *Admission) dispatch(now time.Duration, v settings.Admission) {
	for a.inProgress < a.slots {
		w := a.queues.next(v.DeferrableShare)
		if w == nil {
			return
		}
		a.queues.remove(w)
		a.admitNew(w, now)
	}
}

// start gives a slot to a call.
func (a *Admission) start(w *Waiter, now time.Duration) {
	a.estimate.advance(now, a.inProgress)
	a.inProgress++
	a.decided = append(a.decided, decision{waiter: w, ticket: &Ticket{admission: a, started: now}})
}

// refuse ends a wait without a slot.
func (a *Admission) refuse(w *Waiter, r *Refused) {
	a.decided = append(a.decided, decision{waiter: w, err: r})
}
