package localserver

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/connection/protocol"
)

// Guards against limits that are read wrongly or that a value which is no number replaces.
func TestStatementInAnAnswer(t *testing.T) {
	cases := map[string]struct {
		limits  []string
		leaving string
		want    Statement
	}{
		"nothing is stated":                     {},
		"a decimal number":                      {limits: []string{"25.8"}, want: Statement{Limited: true, PerSecond: 25.8}},
		"zero":                                  {limits: []string{"0"}, want: Statement{Limited: true}},
		"a huge number":                         {limits: []string{"900000000000"}, want: Statement{Limited: true, PerSecond: 9e11}},
		"a number out of range":                 {limits: []string{"1" + strings.Repeat("0", 400)}, want: Statement{Unreadable: "1" + strings.Repeat("0", 400)}},
		"a negative number":                     {limits: []string{"-1"}, want: Statement{Unreadable: "-1"}},
		"no number":                             {limits: []string{"NaN"}, want: Statement{Unreadable: "NaN"}},
		"infinity":                              {limits: []string{"inf"}, want: Statement{Unreadable: "inf"}},
		"an empty value":                        {limits: []string{""}, want: Statement{Unreadable: "empty"}},
		"two numbers: the lower one counts":     {limits: []string{"9", "7"}, want: Statement{Limited: true, PerSecond: 7}},
		"leaving":                               {leaving: "1", want: Statement{Leaving: true}},
		"another value of the header for leave": {leaving: "0"},
	}
	s := New(Config{Names: protocol.Names{RateLimit: "Limit", Leaving: "Leaving"}})
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			for _, limit := range c.limits {
				header.Add("Limit", limit)
			}
			if c.leaving != "" {
				header.Set("Leaving", c.leaving)
			}
			assert.Equal(t, c.want, s.parseStatement(header))
		})
	}
}

// Guards against a server that gets calls after it has said in an answer that it leaves, and against one that gets none after it
// has started again.
func TestServerThatLeavesIsUsedOnlyAfterALaterStart(t *testing.T) {
	const address = "127.0.0.1:9"
	announced := func(startedAtMs, sequence int64) Announcement {
		return Announcement{ID: "i-1", Service: "quotes", Address: address, Slots: 4, Sequence: sequence, StartedAtMs: startedAtMs}
	}
	found := Announcement{ID: "i-1", Service: "quotes", Address: address, Slots: 4, Sequence: -1}
	cases := map[string]struct {
		// first makes the server the current one; next follows some time after its answer.
		first, next func(*Server) error
		after       time.Duration
		// replaced is set when next comes before the answer.
		replaced bool
		ready    bool
	}{
		"it announces that it is ready": {
			first: func(s *Server) error { return s.Announce(announced(100, 1)) },
			next:  func(s *Server) error { return s.Announce(announced(100, 2)) },
		},
		"a health check finds it": {
			first: func(s *Server) error { return s.Announce(announced(100, 1)) },
			next:  func(s *Server) error { return s.HandleProbeResult(found) },
		},
		"it starts again under its id": {
			first: func(s *Server) error { return s.Announce(announced(100, 1)) },
			next:  func(s *Server) error { return s.Announce(announced(200, 1)) }, ready: true,
		},
		"the answer is that of an earlier start": {
			first:    func(s *Server) error { return s.Announce(announced(100, 1)) },
			replaced: true, next: func(s *Server) error { return s.Announce(announced(200, 1)) }, ready: true,
		},
		"its start was not known and an announcement is late": {
			first: func(s *Server) error { return s.HandleProbeResult(found) },
			next:  func(s *Server) error { return s.Announce(announced(100, 9)) }, after: 5 * time.Second,
		},
		"its start was not known and it starts again": {
			first: func(s *Server) error { return s.HandleProbeResult(found) },
			next:  func(s *Server) error { return s.Announce(announced(200, 1)) }, after: 11 * time.Second, ready: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{
					Address: func() string { return address }, HasService: func(string) bool { return true }, Now: time.Now,
					Changed: func(Status) {}, Names: protocol.Names{RateLimit: "Limit", Leaving: "Leaving"},
				})
				require.NoError(t, c.first(s))
				answer := serverAnswer{header: http.Header{"Leaving": {"1"}}, client: s.clientOf("i-1"), request: "r-1", sentAt: time.Now()}
				if !c.replaced {
					s.observe(answer)
					require.False(t, s.Status().Ready)
				}
				time.Sleep(c.after)
				require.NoError(t, c.next(s))
				if c.replaced {
					s.observe(answer)
				}
				assert.Equal(t, c.ready, s.Status().Ready)
			})
		})
	}
}
