package choice_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/choice"
)

// The model is service depot of the design page's deployment Moves with 2 hosts on fast links.
const (
	modelServers     = 8
	modelFastServers = 2
	modelSlots       = 9
	modelEntries     = 16
	fastLink         = 200e6 / 8 // bytes per second
	slowLink         = 10e6 / 8
	largeBytes       = 90_000
	smallBytes       = 500
	downloadWork     = 150 * time.Millisecond
	lookupWork       = 49 * time.Millisecond
	downloadRate     = 64.0 // per second
	lookupRate       = 215.0
	modelTime        = 60 * time.Second
)

// model is a service in virtual time. Its servers run up to modelSlots calls at a time and send the answers on the links of their hosts,
// small ones first and large ones in turn.
type model struct {
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	servers   []*modelServer
	transfers bool
	pick      func([]choice.Candidate, choice.Call) int
	times     map[bool][]time.Duration // by whether it is a download
}

type modelServer struct {
	*model
	speed   float64
	running int
	queue   []*modelCall
	sending []*modelCall
	views   [modelEntries]modelView
}

// modelView is what an entry node knows about a server.
type modelView struct {
	inProgress, queued, sent, egress, sentBytes int
	at                                          time.Duration
}

type modelCall struct {
	download  bool
	entry     int
	startedAt time.Duration
	left      int // bytes of the answer that are not sent
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.events, event{m.now + d, do}) }

// arrivals simulates calls of a kind that arrive at random.
func (m *model) arrivals(download bool, perSecond float64) {
	m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		m.send(&modelCall{download: download, entry: m.random.IntN(modelEntries), startedAt: m.now})
		m.arrivals(download, perSecond)
	})
}

// send chooses a server as the entry node of a call does.
func (m *model) send(c *modelCall) {
	work, bytes := lookupWork, smallBytes
	if c.download {
		work, bytes = downloadWork, largeBytes
	}
	call := choice.Call{ObjectiveLeft: 5 * work, RouteTime: work, RouteBytes: bytes}
	if m.transfers {
		call.Transfer = choice.Transfer{AnswerBytes: bytes, LargeBytes: largeBytes}
	}
	candidates := make([]choice.Candidate, 0, len(m.servers))
	for _, s := range m.servers {
		v := s.views[c.entry]
		candidates = append(candidates, choice.Candidate{
			SamePlace: true, Limit: modelSlots, InProgress: v.inProgress, Queued: v.queued, SentSinceReport: v.sent, Slowness: 100,
			ServiceTime: 75 * time.Millisecond, ReportAge: m.now - v.at,
			LinkBytesPerSecond: s.speed, EgressBytes: v.egress, BytesSinceReport: v.sentBytes,
		})
	}
	s := m.servers[m.pick(candidates, call)]
	s.views[c.entry].sent++
	s.views[c.entry].sentBytes += bytes
	c.left = bytes
	s.queue = append(s.queue, c)
	s.startCalls()
}

func (s *modelServer) startCalls() {
	for s.running < modelSlots && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		work := lookupWork
		if c.download {
			work = downloadWork
		}
		s.after(time.Duration(float64(work)*(0.5+s.random.Float64())), func() {
			s.running--
			s.startCalls()
			s.sending = append(s.sending, c)
			if len(s.sending) == 1 {
				s.sendPiece()
			}
		})
	}
}

// sendPiece sends the next piece: that of a small answer if there is one, otherwise of the large answer whose turn it is.
func (s *modelServer) sendPiece() {
	next := max(slices.IndexFunc(s.sending, func(c *modelCall) bool { return !c.download }), 0)
	c := s.sending[next]
	length := min(c.left, 16<<10)
	s.after(time.Duration(float64(length)/s.speed*float64(time.Second)), func() {
		c.left -= length
		i := slices.Index(s.sending, c)
		s.sending = slices.Delete(s.sending, i, i+1)
		if c.left > 0 {
			s.sending = append(s.sending, c)
		} else {
			s.finish(c)
		}
		if len(s.sending) > 0 {
			s.sendPiece()
		}
	})
}

// finish delivers an answer with the load report.
func (s *modelServer) finish(c *modelCall) {
	egress := 0
	for _, other := range s.sending {
		egress += other.left
	}
	s.views[c.entry] = modelView{inProgress: s.running, queued: len(s.queue), egress: egress, at: s.now}
	s.times[c.download] = append(s.times[c.download], s.now-c.startedAt)
}

// quantiles are the median and the 99th percentile of times.
type quantiles struct{ median, p99 time.Duration }

// play simulates the model and returns the quantiles of the times of downloads and lookups.
func play(seed uint64, downloads float64, transfers, leaver bool) (download, lookup quantiles) {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), transfers: transfers, times: map[bool][]time.Duration{}, pick: choice.Pick}
	if leaver {
		l := choice.NewLeaver(choice.LeaverConfig{Now: func() time.Time { return time.Unix(0, int64(m.now)) }, Random: m.random.Float64})
		m.pick = func(candidates []choice.Candidate, call choice.Call) int { return l.Pick(candidates, call).Index }
	}
	for i := range modelServers {
		speed := slowLink
		if i < modelFastServers {
			speed = fastLink
		}
		m.servers = append(m.servers, &modelServer{model: m, speed: speed})
	}
	m.arrivals(true, downloads)
	m.arrivals(false, lookupRate)
	for m.now < modelTime {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	of := func(times []time.Duration) quantiles {
		slices.Sort(times)
		return quantiles{times[len(times)/2], times[len(times)*99/100]}
	}
	return of(m.times[true]), of(m.times[false])
}

// Guards against large answers that go to hosts with slow links while hosts with fast links are free or run small calls, and against
// small calls that pay for it: each quantile must not exceed that of the choice without transfer times.
func TestLargeAnswersComeFromHostsWithFastLinks(t *testing.T) {
	for run := range uint64(6) {
		seed, leaver := run/2, run%2 == 1
		for _, factor := range []float64{1, 1.5, 2} {
			download, lookup := play(seed, factor*downloadRate, true, leaver)
			oldDownload, oldLookup := play(seed, factor*downloadRate, false, leaver)
			t.Logf("seed %d, leaver %t, %g times the downloads: download %v instead of %v, lookup %v instead of %v",
				seed, leaver, factor, download, oldDownload, lookup, oldLookup)
			assert.Less(t, download.median, oldDownload.median)
			assert.Less(t, download.p99, oldDownload.p99)
			assert.LessOrEqual(t, lookup.median, oldLookup.median+lookupWork/10)
			assert.LessOrEqual(t, lookup.p99, oldLookup.p99+lookupWork/10)
		}
	}
}

// Guards against a choice that ignores one of the links, or lets link speeds decide where nothing is known.
func TestTransferTimeDecides(t *testing.T) {
	link := func(speed float64, egress int) choice.Candidate {
		return server(func(c *choice.Candidate) { c.LinkBytesPerSecond, c.EgressBytes = speed, egress })
	}
	large := choice.Transfer{AnswerBytes: largeBytes, LargeBytes: largeBytes}
	small := choice.Transfer{AnswerBytes: smallBytes, LargeBytes: largeBytes}
	slowEntry := large
	slowEntry.LinkBytesPerSecond = slowLink / 20
	busy := func(speed float64) choice.Candidate {
		return server(func(c *choice.Candidate) { c.LinkBytesPerSecond, c.InProgress = speed, 8 })
	}
	cases := map[string]struct {
		transfer   choice.Transfer
		candidates []choice.Candidate
		want       int
	}{
		"a large answer from the fast link":            {large, []choice.Candidate{link(slowLink, 0), link(fastLink, 0)}, 1},
		"a large answer from the link without a queue": {large, []choice.Candidate{link(slowLink, 200_000), link(slowLink, 0)}, 1},
		"an old report of a queue is ignored": {large, []choice.Candidate{
			server(func(c *choice.Candidate) {
				c.LinkBytesPerSecond, c.EgressBytes, c.ReportAge = fastLink, 200_000, time.Second
			}),
			link(slowLink, 0)}, 0},
		"a small call leaves the busy fast link free":   {small, []choice.Candidate{busy(fastLink), busy(slowLink)}, 1},
		"a queue counts more than the link":             {small, []choice.Candidate{link(fastLink, 0), server(queued(20))}, 0},
		"the slow link of the entry host decides alone": {slowEntry, []choice.Candidate{busy(fastLink), link(slowLink, 0)}, 1},
		"without transfers the links do not count":      {choice.Transfer{}, []choice.Candidate{busy(fastLink), link(slowLink, 9_000_000)}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			call := call
			call.Transfer = c.transfer
			for range 20 {
				assert.Equal(t, c.want, choice.Pick(c.candidates, call))
			}
		})
	}
}
