package admission

import (
	"math"
	"slices"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
)

// minServiceTimeShare is the share of the mean service time that a call needs at least. With a log-normal distribution with
// sigma 0.5, about one call in ten is faster. A call with less time left is assumed to miss its deadline.
const minServiceTimeShare = 0.5

// minSweepInterval is the minimum time between two sweeps of the queue. It limits the cost, because every arrival and every
// waiter triggers a sweep.
const minSweepInterval = time.Millisecond

// maxRedirectRatio is the maximum ratio of the expected completion times at a sibling and at this server for a call to be
// redirected.
const maxRedirectRatio = 0.5

// Waiter is a call that has requested a slot.
type Waiter struct {
	call     Call
	rank     int
	notify   func(*Ticket, error)
	expires  time.Duration // time at which the call stops waiting
	deadline time.Duration // zero for none
	queued   bool
}

// queues holds the waiters of each class in order of arrival.
type queues struct {
	classes [4][]*Waiter
	length  int
	credit  float64 // accumulated share of admissions that is due to the lowest waiting class
}

func (q *queues) push(w *Waiter) {
	w.queued = true
	q.classes[w.rank] = append(q.classes[w.rank], w)
	q.length++
}

// remove removes a waiter and reports whether it was queued.
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

// lastOfLowestClass returns the last waiter of the lowest class that has any, or nil.
func (q *queues) lastOfLowestClass() *Waiter {
	for rank := len(q.classes) - 1; rank >= 0; rank-- {
		if n := len(q.classes[rank]); n > 0 {
			return q.classes[rank][n-1]
		}
	}
	return nil
}

// next returns the next waiter to start: the first of the highest waiting class, or the first of the lowest one when an
// admission from its reserved share is due.
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

// hasRoom reports whether a queue with the given maximum length has room for a waiter of a class, when reserved positions
// are kept free for each class.
func (q *queues) hasRoom(rank, length, reserved int) bool {
	if len(q.classes[rank]) < reserved {
		return true
	}
	taken := 0
	for _, class := range q.classes {
		taken += max(len(class), reserved)
	}
	return taken < length
}

// countAhead returns the number of waiters of the same or a higher class.
func (q *queues) countAhead(rank int) int {
	n := 0
	for r := 0; r <= rank; r++ {
		n += len(q.classes[r])
	}
	return n
}

// rank returns the position of a class in the order from the settings. Invalid classes rank as normal, and classes that are
// not in the order rank last.
func rank(class contract.Class, order []string) int {
	if !class.Valid() {
		class = contract.ClassNormal
	}
	if i := slices.Index(order, string(class)); i >= 0 {
		return min(i, len(contract.Classes)-1)
	}
	return len(contract.Classes) - 1
}

// submit starts, refuses or queues a new call.
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
		a.startOrRefuse(w, now)
		return
	}
	serviceTime := a.estimate.serviceTime(now, a.inProgress)
	wait := a.expectedWait(a.queues.countAhead(w.rank), serviceTime)
	if refused := a.refusalFor(w, now, wait, serviceTime, v); refused != nil {
		a.refuse(w, refused)
		return
	}
	reserved := reservedPerClass(v)
	if !a.queues.hasRoom(w.rank, v.QueueLength, reserved) && !a.evictLower(w.rank, reserved, wait) {
		a.refuse(w, &Refused{Reason: ReasonQueueFull, RetryAfter: wait})
		return
	}
	a.queues.push(w)
}

// startOrRefuse starts a call in a free slot, or refuses it if it cannot meet its deadline.
func (a *Admission) startOrRefuse(w *Waiter, now time.Duration) {
	if a.cannotMeetDeadline(w, now, 0, a.estimate.serviceTime(now, a.inProgress)) {
		a.refuse(w, &Refused{Reason: ReasonDeadline})
		return
	}
	a.start(w, now)
}

// reservedPerClass returns the number of positions in the queue that are reserved for each class. Without them, higher
// classes would evict every waiter of the lowest class, and its reserved share of admissions would have no effect.
func reservedPerClass(v settings.Admission) int {
	return min(int(math.Ceil(v.DeferrableShare*float64(v.QueueLength))), v.QueueLength/len(queues{}.classes))
}

// evictLower refuses the last waiter of the lowest class below rank that uses more than its reserved positions. It reports
// whether there was one.
func (a *Admission) evictLower(rank, reserved int, wait time.Duration) bool {
	for lower := len(a.queues.classes) - 1; lower > rank; lower-- {
		class := a.queues.classes[lower]
		if len(class) <= reserved {
			continue
		}
		last := class[len(class)-1]
		a.queues.remove(last)
		a.refuse(last, &Refused{Reason: ReasonPushedOut, RetryAfter: wait})
		return true
	}
	return false
}

// expectedWait returns the expected time until a slot becomes free for a call with the given number of waiters ahead.
func (a *Admission) expectedWait(ahead int, serviceTime time.Duration) time.Duration {
	over := max(a.inProgress-a.slots, 0)
	return time.Duration(float64(ahead+over+1) * float64(serviceTime) / float64(a.slots))
}

// cannotMeetDeadline reports whether a call with the given wait is not expected to complete by its deadline. At an idle
// server it returns true only after the deadline: if it refused calls there, an estimate that is too high would never be
// corrected.
func (a *Admission) cannotMeetDeadline(w *Waiter, now, wait, serviceTime time.Duration) bool {
	if w.deadline == 0 {
		return false
	}
	left := w.deadline - now
	if left <= 0 {
		return true
	}
	return a.inProgress > 0 && left < wait+time.Duration(minServiceTimeShare*float64(serviceTime))
}

// refusalFor returns the refusal of a call that should not wait at this server, or nil.
func (a *Admission) refusalFor(w *Waiter, now, wait, serviceTime time.Duration, v settings.Admission) *Refused {
	if a.cannotMeetDeadline(w, now, wait, serviceTime) {
		return &Refused{Reason: ReasonDeadline, RetryAfter: wait}
	}
	if w.expires <= now {
		return &Refused{Reason: ReasonWaitedTooLong, RetryAfter: wait}
	}
	if margin := time.Duration(v.ReferMarginMs) * time.Millisecond; margin > 0 && wait > margin && !w.call.NoRedirect && a.config.Sibling != nil {
		if id, ok := a.config.Sibling(time.Duration(maxRedirectRatio * float64(wait+serviceTime))); ok {
			return &Refused{Reason: ReasonSiblingFree, RetryAfter: wait, Sibling: id}
		}
	}
	return nil
}

// sweep refuses the waiters that should not wait any longer, at most once per minSweepInterval.
func (a *Admission) sweep(now time.Duration, v settings.Admission) {
	if a.queues.length == 0 || now-a.sweptAt < minSweepInterval {
		return
	}
	a.sweptAt = now
	serviceTime := a.estimate.serviceTime(now, a.inProgress)
	ahead := 0
	for rank, class := range a.queues.classes {
		kept := class[:0]
		for _, w := range class {
			if refused := a.refusalFor(w, now, a.expectedWait(ahead, serviceTime), serviceTime, v); refused != nil {
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
		a.startOrRefuse(w, now)
	}
}

// start assigns a slot to a call.
func (a *Admission) start(w *Waiter, now time.Duration) {
	a.estimate.advance(now, a.inProgress)
	a.inProgress++
	a.decided = append(a.decided, decision{waiter: w, ticket: &Ticket{admission: a, started: now}})
}

// refuse records the refusal of a call.
func (a *Admission) refuse(w *Waiter, r *Refused) {
	a.decided = append(a.decided, decision{waiter: w, err: r})
}
