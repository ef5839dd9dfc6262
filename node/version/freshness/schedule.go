package freshness

import (
	"math/rand/v2"
	"time"
)

const (
	// maxAskAge is the age of a proof from which on the node asks for another one.
	maxAskAge = time.Second
	// askInterval is the time in which a question is answered on a working link.
	askInterval = 250 * time.Millisecond
	// singleAsks is the number of nodes that are asked one after the other. Then askAtOnce nodes are asked at a time, so
	// that one with a proof is found before the lease ends although most have none.
	singleAsks = 4
	askAtOnce  = 4
	// maxReadInterval is the time between two reads of the store.
	maxReadInterval = time.Second
)

// Step is what a node does now for its lease, and the time until it decides again.
type Step struct {
	// Ask is the number of nodes to ask, from position First in the order of sources.
	First, Ask int
	// Read is set if the node reads the store.
	Read bool
	Wait time.Duration
}

// Schedule decides when a node asks other nodes and reads the store. It is not safe for concurrent use.
type Schedule struct {
	// asked is the number of nodes that were asked since the last proof that is young enough.
	asked int
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
		s.asked, s.due = 0, false
		return Step{Wait: askAge - age}
	}
	step := Step{Wait: askInterval, Read: s.reads(now, age, within, poller)}
	if poller && age < askAge+2*askInterval { // its own read is on its way
		return step
	}
	step.First, step.Ask = s.asked, 1
	if s.asked >= singleAsks {
		step.Ask = askAtOnce
	}
	s.asked += step.Ask
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
	case !s.due: // the proofs of nodes that have lost the same source end together
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
