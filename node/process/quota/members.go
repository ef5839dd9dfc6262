package quota

import "time"

// memberCount is a number of members and the last time at which it was observed.
type memberCount struct {
	n  int
	at time.Duration
}

// largestCount is the largest number of members in the last membersWindow.
type largestCount struct {
	// counts is sorted by rising at and falling n. An observation removes the earlier ones that are not larger.
	counts []memberCount
}

// observe records a number and returns the largest one.
func (l *largestCount) observe(n int, now time.Duration) int {
	for len(l.counts) > 0 && l.counts[len(l.counts)-1].n <= n {
		l.counts = l.counts[:len(l.counts)-1]
	}
	l.counts = append(l.counts, memberCount{n: n, at: now})
	for len(l.counts) > 1 && now-l.counts[0].at > membersWindow {
		l.counts = l.counts[1:]
	}
	return l.counts[0].n
}
