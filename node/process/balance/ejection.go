package balance

import "time"

// maxEjectionDoublings limits the doublings of the ejection time.
const maxEjectionDoublings = 6

// eject ejects a server after too many consecutive errors, unless the maximum share of servers is already ejected: many
// failing servers have a common cause, and ejecting all of them would not help.
func (s *service) eject(r *record, now time.Duration) {
	if r.consecutiveErrors < s.ejection.ConsecutiveErrors || r.ejectedUntil > now {
		return
	}
	ejected := 1
	for _, other := range s.records {
		if other.ejectedUntil > now {
			ejected++
		}
	}
	if ejected > int(s.ejection.MaxShare*float64(len(s.records))) {
		return
	}
	base := time.Duration(s.ejection.BaseMs) * time.Millisecond
	r.ejectedUntil = now + base<<min(r.ejections, maxEjectionDoublings)
	r.ejections++
	r.consecutiveErrors = s.ejection.ConsecutiveErrors - 1 // one more error after the ejection ejects the server again
}
