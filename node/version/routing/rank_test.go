package routing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a route's priority that precedes that of the team, against an overflow of one into the other, and against ranks
// that change in deployments without teams.
func TestRankComparesTeamBeforeRoute(t *testing.T) {
	plain, err := New(Definition{Number: 1})
	require.NoError(t, err)
	teams, err := New(Definition{Number: 1, Teams: []TeamKeys{{Team: Team{Name: "a"}, Keys: []string{"k"}}}})
	require.NoError(t, err)
	route := func(rank int) *Route { return &Route{Rank: rank} }
	team := func(rank int) *Team { return &Team{Rank: rank, HasRank: true} }

	assert.EqualValues(t, 70000, plain.RankOf(route(70000), team(0)))
	ascending := []uint32{
		teams.RankOf(route(0), team(0)), teams.RankOf(route(math.MaxInt), team(0)), teams.RankOf(route(0), team(1)),
		teams.RankOf(route(1), nil), teams.RankOf(route(2), team(1)), teams.RankOf(route(2), &Team{Rank: 0}),
		teams.RankOf(route(0), team(math.MaxInt)),
	}
	assert.Zero(t, ascending[0])
	assert.IsNonDecreasing(t, ascending)
	assert.Equal(t, teams.RankOf(route(1), team(1)), teams.RankOf(route(1), nil))
}
