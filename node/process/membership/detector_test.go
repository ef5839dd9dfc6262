package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a dead peer that is never suspected because its pings fail faster than the other peers are pinged, as
// those of a process whose host is up refuse connections at once.
func TestAPeerThatRefusesConnectionsIsFoundDead(t *testing.T) {
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
				actions = append(actions, d.pinged(now, a.member, a.id, a.member.Address == "live", 1)...)
			case actAsk:
				actions = append(actions, d.asked(now, a.member, a.id, 1)...)
				actions = append(actions, d.helped(now, a.member, a.id, true, false)...)
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
