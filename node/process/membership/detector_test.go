package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a dead peer that is never suspected: while its host is up, connections are refused at once, so that its
// pings fail before the other peers are pinged again.
func TestPeerRefusingConnectionsIsDeclaredDead(t *testing.T) {
	timing := Timing{}.withDefaults()
	start := time.Unix(0, 0)
	d := newDetector(timing, rand.New(rand.NewPCG(1, 1)), start)
	gone := &Member{Address: "gone", Incarnation: 1, State: Alive}
	live := &Member{Address: "live", Incarnation: 1, State: Alive}
	suspected, dead := false, false
	for now := start; now.Sub(start) < time.Minute && !dead; now = now.Add(timing.Tick) {
		actions := d.tick(now, []*Member{gone, live})
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			switch a.kind {
			case actPing:
				actions = append(actions, d.handlePingResult(now, a.member, a.roundID, a.member.Address == "live", 1)...)
			case actIndirectPing:
				actions = append(actions, d.recordRelays(now, a.member, a.roundID, 1)...)
				actions = append(actions, d.handleRelayReply(now, a.member, a.roundID, true, false)...)
			case actSuspect:
				suspected = true
				gone = &Member{Address: "gone", Incarnation: 1, State: Suspect}
			case actDead:
				dead = true
			}
		}
	}
	require.True(t, suspected)
	require.True(t, dead)
}
