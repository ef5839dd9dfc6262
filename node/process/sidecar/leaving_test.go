package sidecar

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/process/peers"
	"github.com/radishstand/radishstand/node/version/routing"
)

// linesLog records the messages.
type linesLog struct{ lines []any }

func (l *linesLog) Info(message any, _ ...any) { l.lines = append(l.lines, message) }
func (l *linesLog) Warn(message any, _ ...any) { l.lines = append(l.lines, message) }

// Guards against a decision where the configuration has neither teams nor downloads, and against calls that leave unseen by operators.
func TestLeavingIsDecidedForTeamsWithoutDownloadsAndShown(t *testing.T) {
	log := &linesLog{}
	n := &Node{routing: &routing.Holder{}, metrics: metrics.NewRegistry(), log: log}
	split, err := routing.NewSplit(routing.Part{Service: "depot", Weight: 1})
	require.NoError(t, err)
	teams := []routing.TeamKeys{{Team: routing.Team{Name: "t"}, Keys: []string{"k"}}}
	definitions := []routing.Definition{
		{Number: 1},
		{Number: 2, Teams: teams},
		{Number: 3, Routes: []*routing.Route{{Name: "r", Prefix: "/", Split: split}}},
		{Number: 4, Routes: []*routing.Route{{Name: "r", Prefix: "/", Split: split, Download: true}}},
		{Number: 5, Teams: teams, Routes: []*routing.Route{{Name: "r", Prefix: "/", Split: split, Download: true}}},
	}
	assert.False(t, n.decidesLeaving())
	for _, d := range definitions {
		v, err := routing.New(d)
		require.NoError(t, err)
		n.routing.Offer(v)
		assert.Equal(t, d.Number == 2, n.decidesLeaving(), "version %d", d.Number)
	}
	n.peers = peers.New(t.Context(), peers.Config{Leaving: n.newLeaving()})
	n.leavingChanged("depot", "south", true, 0.1)
	n.leavingChanged("depot", "south", false, 0)
	assert.Equal(t, []any{"calls leave the place", "calls no longer leave the place"}, log.lines)
	n.countLeaving("depot", "south", 700)
	n.countLeaving("depot", "south", 300)
	assert.EqualValues(t, 1000, n.metrics.Get("leaving.bytes.depot.south").(metrics.Counter).Count())
	assert.EqualValues(t, 2, n.metrics.Get("leaving.calls.depot.south").(metrics.Counter).Count())
	assert.Zero(t, n.metrics.Get("leaving.share.depot.south").(metrics.GaugeFloat64).Value())
}
