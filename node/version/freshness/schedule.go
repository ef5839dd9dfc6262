package freshness

import (
	"math/rand/v2"
	"time"
)

const (
	// maxAskAge is the age of a proof from which on the node asks for another one.
	maxAskAge = time.Second
	// askInterval is the time between requests for a proof. On a working link, a request is answered within it.
	askInterval = 250 * time.Millisecond
	// singleAsks is the number of further nodes that are asked one at a time, in addition to the best source. After them, askAtOnce nodes
	// are asked at a time, so that one with a proof is found before the lease ends even if most have none.
	singleAsks = 4
	askAtOnce  = 4
	// maxReadInterval is the time between two reads of the store.
	maxReadInterval = time.Second
)

// Step is what a node does now for its lease, and the time until it decides again.
type Step struct {
	// Ask is set if the node asks the best source of proofs: it may have a younger one by now. Others is the number of further nodes that
	// are asked too, from position First in their order.
	Ask           bool
	First, Others int
	// Read is set if the node reads the store.
	Read bool
	Wait time.Duration
}

// Schedule decides when a node asks other nodes and reads the store. It is not safe for concurrent use.
type Schedule struct {
	// asking is set from a request until the node has a proof that is new enough; others is the number of further nodes that were
	// asked in that time.
	asking bool
	others int
	// readAt is the time from which on the store may be read again.
	readAt time.Duration
	// due is set once the proof is old enough for a read.
	due bool
}

// Next returns the next step. The age is that of the newest proof for the current version; a node without one has a proof of
// unlimited age. A poller reads the store itself as soon as it needs a proof, so that there are young proofs to pass on; the other
// nodes read only when nobody passes one on.
func (s *Schedule) Next(now, age, within time.Duration, poller bool) Step {
	askAge := min(maxAskAge, within/4)
	if age < askAge {
		s.asking, s.others, s.due = false, 0, false
		return Step{Wait: askAge - age}
	}
	step := Step{Wait: askInterval, Read: s.reads(now, age, within, poller)}
	if poller && age < askAge+2*askInterval { // its own read is expected to bring a proof
		return step
	}
	step.Ask, step.First = true, s.others
	switch {
	case !s.asking: // the best source alone is usually enough
	case s.others < singleAsks:
		step.Others = 1
	default:
		step.Others = askAtOnce
	}
	s.asking = true
	s.others += step.Others
	return step
}

// reads reports whether the store is read now.
func (s *Schedule) reads(now, age, within time.Duration, poller bool) bool {
	interval := min(maxReadInterval, within/4)
	switch {
	case poller:
	case age < within/2:
		s.due = false
		return false
	case !s.due: // spreads the reads of nodes that have lost the same source, since their proofs expire together
		s.due = true
		s.readAt = max(s.readAt, now+rand.N(interval/2))
	}
	if now < s.readAt {
		return false
	}
	s.readAt = now + interval
	if !poller {
		s.readAt += rand.N(interval / 2)
	}
	return true
}
