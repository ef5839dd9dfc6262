package sidecar

import (
	"context"
	"time"
)

const (
	// shortMembersInterval is the mean time after which the nodes' addresses are read again when they may have changed: this
	// node has just started, or another node has not been linked for unlinkedTimeout.
	shortMembersInterval = 15 * time.Second
	unlinkedTimeout      = 5 * time.Second
	// membersInterval is the mean time between two reads otherwise. Nodes that join introduce themselves; the periodic read
	// finds those whose introduction was lost.
	membersInterval = 2 * time.Minute
)

// membersSchedule decides when the nodes' addresses are read again. The read after a node was lost shows whether its entry was
// removed. An entry that stays is that of a crashed node, which introduces itself when it is back, so that reading it again soon
// shows nothing new: the interval doubles with each read while a node is missing.
type membersSchedule struct {
	// missing reports whether a known node is not linked.
	missing func() bool
	// interval is the mean time until the next check.
	interval time.Duration
}

func newMembersSchedule(missing func() bool) *membersSchedule {
	return &membersSchedule{missing: missing, interval: shortMembersInterval}
}

// wait waits until the addresses are to be read again, or until ctx ends.
func (s *membersSchedule) wait(ctx context.Context) {
	due := time.Now().Add(jitter(membersInterval))
	for ctx.Err() == nil && time.Now().Before(due) {
		sleep(ctx, jitter(s.interval))
		if s.missing() {
			s.interval = min(2*s.interval, membersInterval)
			return
		}
		s.interval = shortMembersInterval
	}
}
