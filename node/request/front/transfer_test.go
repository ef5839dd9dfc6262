package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/process/choice"
	"github.com/radishstand/radishstand/node/version/routing"
)

// Guards against transfer times that count although no route has downloads, and against the answers of one service or route that are
// taken for those of another.
func TestTransferTimesCountWhereTheRoutingHasDownloads(t *testing.T) {
	egress := link.NewEgress(link.EgressConfig{
		Chunks: func() bool { return true }, BitsPerSecond: func() float64 { return 80e6 },
	})
	h := New(Config{Egress: egress})
	add := func(route, service string, download bool, bytes int) {
		h.averages.add(route, routeAverage{time: time.Second, bytes: bytes + 100, answerBytes: bytes, service: service, download: download})
	}
	add("fetch", "depot", true, 90_000)
	add("lookup", "depot", false, 500)
	add("export", "hall", true, 500_000)
	release := egress.Hold(20_000)
	c := &call{handler: h, service: "depot", route: &routing.Route{Name: "lookup"}, hasDownloads: true}
	assert.Equal(t, choice.Transfer{AnswerBytes: 500, LargeBytes: 90_000, LinkBytesPerSecond: 10e6, EgressBytes: 20_000}, c.transfer(500))
	release()
	release()
	assert.Zero(t, egress.WaitingBytes())
	c.hasDownloads = false
	assert.Zero(t, c.transfer(500))
}

// Guards against an average answer that follows the latest one, or does not follow at all.
func TestAverageOfAnswersMoves(t *testing.T) {
	a := newRouteAverages()
	a.add("fetch", routeAverage{answerBytes: 1000, service: "depot", download: true})
	a.add("fetch", routeAverage{answerBytes: 2000, service: "depot", download: true})
	assert.Equal(t, 1050, a.get("fetch").answerBytes)
	assert.Equal(t, 1050, a.largestAnswer("depot"))
}
