package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/process/membership"
)

// Guards against calls that leave the place for no gain: another place costs what the network adds, also before it was
// measured and after a route has become longer.
func TestDistanceIsTheShortestRecentRoundTrip(t *testing.T) {
	now := time.Unix(0, 0)
	d := newDistances("hue", func() time.Time { return now })
	require.Zero(t, d.to("hue"))
	require.Equal(t, unknownDistance, d.to("hoian"))
	for _, roundTrip := range []time.Duration{9 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond} {
		d.observe("hoian", roundTrip)
	}
	d.observe("hue", time.Millisecond)
	require.Equal(t, 2*time.Millisecond, d.to("hoian"))
	for range 2 {
		now = now.Add(distanceWindow)
		d.observe("hoian", 7*time.Millisecond)
	}
	require.Equal(t, 6*time.Millisecond, d.to("hoian"))
}

// Guards against a slow start for servers that only this node has not seen before, and against none for new servers.
func TestOnlyServersNewToTheFleetStartSlowly(t *testing.T) {
	f := &fleet{firstSeen: map[string]time.Time{}, started: time.Now()}
	member := func(server string) *membership.Member { return &membership.Member{ServerID: server} }
	f.noteFirstSeen(nil, member("known before the node joined"))
	require.Empty(t, f.firstSeen)
	f.started = time.Now().Add(-2 * joinTime)
	f.noteFirstSeen(member(""), member("new"))
	require.Contains(t, f.firstSeen, "new")
	at := f.firstSeen["new"]
	f.noteFirstSeen(member("new"), member("new"))
	require.Equal(t, at, f.firstSeen["new"])
	f.noteFirstSeen(member("new"), nil)
	require.Empty(t, f.firstSeen)
}
