package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// defaultSlotTime is the slot time that is assumed for a call while no time of a call is known.
	defaultSlotTime = 50 * time.Millisecond
	// maxIdleTeams is the number of teams above which those at the current virtual time or before it are removed.
	maxIdleTeams = 256
)

// fairShares holds the slot time that teams have used, for start-time fair queueing with equal weights. A team's virtual time advances
// by the slot time of its calls. A team without waiting calls gains no credit: it continues at the current virtual time, which is that
// of the waiting team that has used least.
type fairShares struct {
	current time.Duration
	used    map[string]time.Duration
}

// virtualTime returns the virtual time of a team.
func (f *fairShares) virtualTime(team string) time.Duration { return max(f.used[team], f.current) }

// start charges a call that starts with an expected slot time, while others wait.
func (f *fairShares) start(j *Job, expected time.Duration, waiting []*Job) {
	start := f.virtualTime(j.Team)
	least := start
	for _, w := range waiting {
		least = min(least, f.virtualTime(w.Team))
	}
	f.current = least
	if f.used == nil {
		f.used = map[string]time.Duration{}
	}
	if len(f.used) > maxIdleTeams {
		maps.DeleteFunc(f.used, func(_ string, used time.Duration) bool { return used <= f.current })
	}
	f.used[j.Team] = start + expected
	j.charged = expected
}

// finish replaces the expected slot time of a call by the actual one.
func (f *fairShares) finish(j *Job, elapsed time.Duration) {
	if used, known := f.used[j.Team]; known && j.charged > 0 {
		f.used[j.Team] = used + elapsed - j.charged
	}
}

// UseFairShares makes the dispatcher divide the slots among teams while enabled returns true. It must be called before the first call is
// submitted.
func (d *Dispatcher) UseFairShares(enabled func() bool) { d.fairEnabled = enabled }

// fair reports whether the slots are divided among teams.
func (d *Dispatcher) fair() bool { return d.fairEnabled != nil && d.fairEnabled() }

// slotTime returns the expected slot time of a call.
func (d *Dispatcher) slotTime(j *Job) time.Duration {
	return cmp.Or(d.routeTime(j.Route).value(), d.overallTime.value(), defaultSlotTime)
}

// fairEntry is a call with the criteria by which it is ordered.
type fairEntry struct {
	job  *Job
	late bool
	rank int
	// start is the virtual time at which the team gets the slot for this call.
	start time.Duration
}

// compareClass orders calls by the criteria before the shares of teams.
func (e fairEntry) compareClass(other fairEntry) int {
	switch {
	case e.late != other.late:
		return firstIf(!e.late)
	case e.rank != other.rank:
		return cmp.Compare(e.rank, other.rank)
	case e.job.Nested != other.job.Nested:
		return firstIf(e.job.Nested)
	}
	return 0
}

// fairOrder returns calls in the order of their start: calls that can still meet their objective first, then by rank, nested calls
// before others, by the virtual time of their team, and by objective. A nested call has the rank of its parent. Its own objective does
// not make it late: its parent holds a slot and fails with it.
func (d *Dispatcher) fairOrder(jobs []*Job, now time.Time) []*Job {
	entries := make([]fairEntry, len(jobs))
	for i, j := range jobs {
		entries[i] = fairEntry{job: j, rank: j.Rank, late: j.missesObjective(now, d.routeTime(j.Route).value())}
		if j.Nested {
			entries[i].rank, entries[i].late = j.ParentRank, false
		}
	}
	slices.SortStableFunc(entries, func(a, b fairEntry) int {
		return cmp.Or(a.compareClass(b), a.job.Objective.Compare(b.job.Objective))
	})
	ahead := map[string]time.Duration{} // slot time of the calls of a team that precede
	for i := range entries {
		j := entries[i].job
		entries[i].start = d.shares.virtualTime(j.Team) + ahead[j.Team]
		ahead[j.Team] += d.slotTime(j)
	}
	slices.SortStableFunc(entries, func(a, b fairEntry) int { return cmp.Or(a.compareClass(b), cmp.Compare(a.start, b.start)) })
	ordered := make([]*Job, len(entries))
	for i, e := range entries {
		ordered[i] = e.job
	}
	return ordered
}

// aheadByShares returns the calls that start before a call, which may wait or be new.
func (d *Dispatcher) aheadByShares(j *Job, now time.Time) []*Job {
	jobs := slices.Clone(d.waiting)
	if !slices.Contains(jobs, j) {
		jobs = append(jobs, j)
	}
	ordered := d.fairOrder(jobs, now)
	return ordered[:slices.Index(ordered, j)]
}
