package front

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/process/localserver"
	"github.com/radishstand/radishstand/node/version/routing"
)

// fixedFreshness is a Freshness with fixed results.
type fixedFreshness struct{ newer, leased bool }

// NewerKnown returns the fixed result.
func (k fixedFreshness) NewerKnown(uint64) bool { return k.newer }

// Leased returns the fixed result.
func (k fixedFreshness) Leased(uint64) bool { return k.leased }

func newTeamHandler(t *testing.T, known fixedFreshness) *Handler {
	t.Helper()
	split, err := routing.NewSplit(routing.Part{Service: "quotes", Weight: 1})
	require.NoError(t, err)
	v, err := routing.New(routing.Definition{
		Number: 1,
		Routes: []*routing.Route{
			{Name: "keyed", Host: "h", Prefix: "/", Idempotent: true, Rank: 2, Timeout: time.Second, Split: split},
			{Name: "public", Host: "h", Prefix: "/public/", Idempotent: true, Rank: 2, Timeout: time.Second, Split: split, Public: true},
		},
		Teams: []routing.TeamKeys{{Team: routing.Team{Name: "a", Rank: 1, HasRank: true}, Keys: []string{"k"}}},
	})
	require.NoError(t, err)
	holder := &routing.Holder{}
	holder.Offer(v)
	return New(Config{
		Names: protocol.Names{ID: "X-Id", DeadlineMs: "X-Deadline", TeamKey: "X-Key", Team: "X-Team", ParentID: func(id string) (string, bool) {
			parent, _, found := strings.Cut(id, ".")
			return parent, found
		}},
		Routing: holder, Freshness: known, Service: func() string { return "quotes" },
		Parent: func(id string) (localserver.Parent, bool) {
			return localserver.Parent{Team: "p", Rank: 7}, id == "parent"
		},
	})
}

func parse(t *testing.T, path, id string, lines ...string) *http.Request {
	t.Helper()
	head := "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n" + strings.Join(append(lines, "\r\n"), "\r\n")
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
	require.NoError(t, err)
	return r
}

// Guards against a final 401 for a key that a newer version may hold, against a revoked key that a node without a lease takes, and
// against pipelined requests without a key that are handled as repeatable.
func TestKeysAreDecidedOnlyByACurrentVersion(t *testing.T) {
	current, newer, unleased := fixedFreshness{leased: true}, fixedFreshness{leased: true, newer: true}, fixedFreshness{}
	cases := map[string]struct {
		known  fixedFreshness
		path   string
		lines  []string
		status int // 0 if the request is accepted
	}{
		"key":                        {current, "/", []string{"X-Key: k"}, 0},
		"unknown key":                {current, "/", []string{"X-Key: K"}, 401},
		"no key":                     {current, "/", nil, 401},
		"key, newer version":         {newer, "/", []string{"X-Key: k"}, 0},
		"unknown key, newer version": {newer, "/", []string{"X-Key: K"}, 503},
		"no key, newer version":      {newer, "/", nil, 503},
		"key without lease":          {unleased, "/", []string{"X-Key: k"}, 503},
		"unknown key without lease":  {unleased, "/", []string{"X-Key: K"}, 503},
		"public route without lease": {unleased, "/public/", []string{"X-Key: K"}, 0},
		"no key, invalid deadline":   {current, "/", []string{"X-Deadline: x"}, 401},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newTeamHandler(t, c.known)
			r := parse(t, c.path, "id", c.lines...)
			_, failed := h.acceptHead(r, time.Now())
			assert.Equal(t, c.status == 0, h.Repeatable(r))
			if c.status == 0 {
				assert.Nil(t, failed)
				return
			}
			require.NotNil(t, failed)
			assert.Equal(t, c.status, failed.status)
			header := failed.response(http.Header{}).Header
			assert.Equal(t, c.status == 503, header.Get("Retry-After") != "")
		})
	}
}

// Guards against nested calls without the team and rank of their parent, against outer calls that get them, and against keys in a
// call's frame.
func TestCallsCarryTheirTeamOrThatOfTheirParent(t *testing.T) {
	h := newTeamHandler(t, fixedFreshness{leased: true})
	message := func(path, id string, lines ...string) *call {
		a, failed := h.acceptHead(parse(t, path, id, lines...), time.Now())
		require.Nil(t, failed)
		return h.newCall(parse(t, path, id, lines...), a, nil, nil, arrival{at: time.Now()})
	}
	const teamA, pair12, pair22 = "a", 1<<16 | 2, 2<<16 | 2
	for _, id := range []string{"id", "parent.1"} { // a caller's choice of an id does not make its call nested
		keyed := message("/", id, "x-KEY: k", "x-team: forged").message
		assert.Equal(t, teamA, keyed.Team)
		assert.True(t, keyed.NameTeam)
		assert.False(t, keyed.Nested)
		assert.EqualValues(t, pair12, keyed.Rank)
		assert.Empty(t, keyed.Header)
	}
	nested := message("/public/", "parent.1", "X-Key: k", "X-Key: k", "X-Team: forged").message
	assert.True(t, nested.Nested)
	assert.Equal(t, "p", nested.Team)
	assert.False(t, nested.NameTeam)
	assert.EqualValues(t, pair22, nested.Rank)
	assert.EqualValues(t, 7, nested.ParentRank)
	assert.Empty(t, nested.Header)
	public := message("/public/", "id", "X-Key: k").message
	assert.Empty(t, public.Team)
	assert.False(t, public.Nested || public.NameTeam)
}
