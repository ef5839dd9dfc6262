package dispatch

import "time"

// serviceTimeTTL is the time after the last end of a call for which the service time is reported. A server that was slow and gets no
// calls because of it is tried again then.
const serviceTimeTTL = 2 * time.Second

// RecordUnanswered makes the dispatcher count the time of calls that end without an answer towards the reported service time while
// enabled returns true. A server that answers nothing in time would otherwise be reported as fast as before. It must be called before
// the first call is submitted.
func (d *Dispatcher) RecordUnanswered(enabled func() bool) { d.unansweredEnabled = enabled }

func (d *Dispatcher) recordsUnanswered() bool {
	return d.unansweredEnabled != nil && d.unansweredEnabled()
}

// recordUnanswered records the time of a call without an answer. It is a lower bound of the service time, so only one above the
// average counts: calls that fail quickly say nothing.
func (d *Dispatcher) recordUnanswered(elapsed time.Duration) {
	if d.recordsUnanswered() && elapsed > d.overallTime.value() {
		d.overallTime.add(elapsed)
	}
}

// reportedServiceTime returns the average service time, or 0 if no call has ended for serviceTimeTTL.
func (d *Dispatcher) reportedServiceTime(now time.Time) time.Duration {
	if d.recordsUnanswered() && now.Sub(d.endedAt) > serviceTimeTTL {
		return 0
	}
	return d.overallTime.value()
}
