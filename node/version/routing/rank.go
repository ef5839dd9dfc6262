package routing

// maxRank is the largest priority that a call's rank holds.
const maxRank = 1<<16 - 1

// RankOf returns the rank of the calls of a team on a route; 0 is the highest. The team is nil for calls without one. In a version
// with teams, the rank holds the priority of the team before that of the route. A call whose team has no priority has that of the
// route in both places.
func (v *Version) RankOf(r *Route, t *Team) uint32 {
	rank := clampRank(r.Rank)
	if !v.HasTeams() {
		return uint32(max(r.Rank, 0))
	}
	if t != nil && t.HasRank {
		return clampRank(t.Rank)*(maxRank+1) + rank
	}
	return rank*(maxRank+1) + rank
}

func clampRank(rank int) uint32 { return uint32(min(max(rank, 0), maxRank)) }
