package link_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

// exchange returns an exchange with a set, and the channel of the sets that it receives. It answers sets of a lower revision.
func exchange(set *linkpb.Evacuations) (link.EvacuationExchange, chan uint64) {
	received := make(chan uint64, 10)
	return link.EvacuationExchange{
		Current: func() *linkpb.Evacuations { return set },
		Received: func(_ string, e *linkpb.Evacuations) bool {
			received <- e.Revision
			return e.Revision < set.GetRevision()
		},
	}, received
}

// Guards against a node that does not receive an evacuation, whichever node opens the link, against frames from a node that has no
// set, and against two nodes that reply to each other without end.
func TestBothEndsOfANewLinkSendTheirEvacuations(t *testing.T) {
	older, newer := &linkpb.Evacuations{Revision: 1, Places: []string{"north"}}, &linkpb.Evacuations{Revision: 2}
	cases := map[string]struct {
		opener, acceptor           *linkpb.Evacuations
		openerGets, acceptorGets   []uint64
		openerBroadcast, broadcast bool
	}{
		"neither has a set":               {},
		"the opener has one":              {opener: older, acceptorGets: []uint64{1}},
		"the acceptor has one":            {acceptor: older, openerGets: []uint64{1}},
		"the opener's is newer":           {opener: newer, acceptor: older, openerGets: []uint64{1}, acceptorGets: []uint64{2, 2}},
		"the acceptor's is newer":         {opener: older, acceptor: newer, openerGets: []uint64{2, 2}, acceptorGets: []uint64{1}},
		"the acceptor's changes, set":     {acceptor: older, broadcast: true, openerGets: []uint64{1, 1}},
		"the acceptor's changes, no set":  {broadcast: true},
		"the opener's changes, set":       {opener: older, openerBroadcast: true, acceptorGets: []uint64{1, 1}},
		"the opener's changes and no set": {openerBroadcast: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &handler{hello: make(chan *linkpb.Hello, 10), cancelled: make(chan struct{})}
			server, listener, received := link.NewServer(h, membudget.New(testMemory)), listen(t), newEvents()
			acceptor, acceptorGot := exchange(c.acceptor)
			opener, openerGot := exchange(c.opener)
			server.ExchangeEvacuations(acceptor)
			go func() { _ = server.Serve(listener) }()
			events := received.link()
			events.Evacuations = opener
			l := dial(t, listener.Addr().String(), events)
			<-received.states
			if c.broadcast {
				server.BroadcastEvacuations()
			}
			if c.openerBroadcast {
				l.session.SendEvacuations()
			}
			for _, want := range c.openerGets {
				assert.Equal(t, want, <-openerGot)
			}
			for _, want := range c.acceptorGets {
				assert.Equal(t, want, <-acceptorGot)
			}
			time.Sleep(10 * time.Millisecond)
			assert.Empty(t, openerGot)
			assert.Empty(t, acceptorGot)
		})
	}
}
