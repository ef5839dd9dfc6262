package balance

import "time"

const maxEjectionDoublings = 6

// eject takes a server out of the choice after too many errors in a row, unless the largest share of servers is out
// already: many failing servers have a common cause, and emptying the service would not help.
func (s *service) eject(r *record, now time.Duration) {
	if r.errorsInARow < s.ejection.ConsecutiveErrors || r.ejectedUntil > now {
		return
	}
	out := 1
	for _, other := range s.records {
		if other.ejectedUntil > now {
			out++
		}
	}
	if out > int(s.ejection.MaxShare*float64(len(s.records))) {
		return
	}
	base := time.Duration(s.ejection.BaseMs) * time.Millisecond
	r.ejectedUntil = now + base<<min(r.ejections, maxEjectionDoublings)
	r.ejections++
	r.errorsInARow = s.ejection.ConsecutiveErrors - 1 // one more error after the return ejects again
}
