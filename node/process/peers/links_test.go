package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
)

// Guards against a choice that does not see the links of the hosts, or counts the answers of calls that a report already includes.
func TestCandidateHasTheLinkOfItsHost(t *testing.T) {
	s := &Server{}
	now := time.Now()
	s.setState(&linkpb.State{Service: "depot", ServerId: "a", Ready: true, LinkKbps: 10_000, Load: &linkpb.Load{EgressBytes: 7}}, now)
	s.ExpectAnswer(90_000)
	c, ok := s.candidate("depot", "north", now)
	require.True(t, ok)
	assert.Equal(t, 1.25e6, c.LinkBytesPerSecond)
	assert.Equal(t, []int{7, 90_000}, []int{c.EgressBytes, c.BytesSinceReport})
	assert.True(t, c.Local)
	s.setLoad(&linkpb.Load{EgressBytes: 50_000}, now)
	c, _ = s.candidate("depot", "north", now)
	assert.Equal(t, []int{50_000, 0}, []int{c.EgressBytes, c.BytesSinceReport})
}
