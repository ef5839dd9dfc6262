package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/process/membership"
)

// Guards against needless calls to other places: their additional round trip must be counted, also before it has been
// measured and after a network route has become longer.
func TestRoundTripIsTheShortestRecentOne(t *testing.T) {
	now := time.Unix(0, 0)
	r := newRoundTrips("hue", func() time.Time { return now })
	require.Zero(t, r.additionalTo("hue"))
	require.Equal(t, defaultRoundTrip, r.additionalTo("hoian"))
	for _, roundTrip := range []time.Duration{9 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond} {
		r.observe("hoian", roundTrip)
	}
	r.observe("hue", time.Millisecond)
	require.Equal(t, 2*time.Millisecond, r.additionalTo("hoian"))
	for range 2 {
		now = now.Add(roundTripWindow)
		r.observe("hoian", 7*time.Millisecond)
	}
	require.Equal(t, 6*time.Millisecond, r.additionalTo("hoian"))
}

// Guards against a slow start for servers that are new only to this node, and against a missing slow start for new servers.
func TestSlowStartAppliesOnlyToServersNewToTheFleet(t *testing.T) {
	f := &fleet{firstSeen: map[string]time.Time{}, started: time.Now()}
	member := func(server string) *membership.Member { return &membership.Member{ServerID: server} }
	f.recordFirstSeen(nil, member("known before the node joined"))
	require.Empty(t, f.firstSeen)
	f.started = time.Now().Add(-2 * initialDiscoveryPeriod)
	f.recordFirstSeen(member(""), member("new"))
	require.Contains(t, f.firstSeen, "new")
	at := f.firstSeen["new"]
	f.recordFirstSeen(member("new"), member("new"))
	require.Equal(t, at, f.firstSeen["new"])
	f.recordFirstSeen(member("new"), nil)
	require.Empty(t, f.firstSeen)
}
