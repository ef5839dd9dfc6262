package routing

// maxRank is the largest value of each of the two priorities in a call's rank.
const maxRank = 1<<16 - 1

// RankOf returns the rank of the calls of a team on a route; 0 is the highest. The team is nil for calls without one. In a version
// with teams, calls are ranked by the priority of the team and then by that of the route. If the team has no priority, that of the
// route is used for both.
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
