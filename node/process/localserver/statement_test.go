package localserver

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/connection/protocol"
)

// parseLimit parses the limits of these tests.
func parseLimit(value string) (float64, bool) {
	limit, err := strconv.ParseFloat(value, 64)
	return limit, err == nil
}

var statementNames = protocol.Names{
	RateLimit: "Limit", ParseRateLimit: parseLimit, Leaving: "Leaving", LeavingValue: "1",
	Signature: "Signature", NotExecuted: "Notrun", RunningID: "Running",
}

// Guards against a limit that another value of the header replaces or hides.
func TestStatementInAnAnswer(t *testing.T) {
	cases := map[string]struct {
		limits  []string
		leaving string
		want    Statement
	}{
		"nothing is stated":                     {},
		"a limit":                               {limits: []string{"25.8"}, want: Statement{Limited: true, PerSecond: 25.8}},
		"a limit of zero":                       {limits: []string{"0"}, want: Statement{Limited: true}},
		"no number":                             {limits: []string{"?"}, want: Statement{Unreadable: "?"}},
		"an empty value":                        {limits: []string{""}, want: Statement{Unreadable: "empty"}},
		"two limits: the lower one counts":      {limits: []string{"9", "7"}, want: Statement{Limited: true, PerSecond: 7}},
		"a limit beside a value that is none":   {limits: []string{"?", "7"}, want: Statement{Limited: true, PerSecond: 7, Unreadable: "?"}},
		"leaving":                               {leaving: "1", want: Statement{Leaving: true}},
		"another value of the header for leave": {leaving: "0"},
	}
	s := New(Config{Names: statementNames})
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

// Guards against the statement of another server at the address, or of no server at all, that is taken for that of the current
// one: it would lift its limit, or take it out of use.
func TestOnlyTheServersOwnAnswersChangeWhatItHasStated(t *testing.T) {
	cases := map[string]struct {
		status int
		header http.Header
		// limit is the rate limit afterwards; before it is 5.
		limit float64
		ready bool
	}{
		"a signed answer without a limit":           {http.StatusOK, http.Header{"Signature": {"s"}}, 0, true},
		"a refusal without a limit":                 {http.StatusServiceUnavailable, http.Header{"Notrun": {"1"}}, 0, true},
		"an answer that nothing shows to be its":    {http.StatusBadGateway, http.Header{}, 5, true},
		"another limit in an answer without a sign": {http.StatusBadGateway, http.Header{"Limit": {"3"}}, 3, true},
		"a limit beside a value that is none":       {http.StatusOK, http.Header{"Signature": {"s"}, "Limit": {"?", "3"}}, 3, true},
		"a limit that is no number":                 {http.StatusOK, http.Header{"Signature": {"s"}, "Limit": {"?"}}, 5, true},
		"another server answers":                    {http.StatusMisdirectedRequest, http.Header{"Notrun": {"1"}, "Leaving": {"1"}}, 5, true},
		"another server names itself":               {http.StatusOK, http.Header{"Running": {"i-2"}, "Leaving": {"1"}}, 5, true},
		"it names itself and leaves":                {http.StatusServiceUnavailable, http.Header{"Running": {"i-1"}, "Leaving": {"1"}, "Limit": {"5"}}, 5, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{
					Address: func() string { return "127.0.0.1:9" }, HasService: func(string) bool { return true }, Now: time.Now,
					Changed: func(Status) {}, Names: statementNames,
				})
				require.NoError(t, s.Announce(Announcement{ID: "i-1", Service: "quotes", Address: "127.0.0.1:9", Slots: 4, StartedAtMs: 1}))
				observe := func(status int, header http.Header) {
					time.Sleep(time.Millisecond)
					response := &exchange.Response{Status: status, Header: header}
					s.observe(serverAnswer{response: response, client: s.clientOf("i-1"), request: "r", sentAt: time.Now()})
				}
				observe(http.StatusOK, http.Header{"Signature": {"s"}, "Limit": {"5"}})
				observe(c.status, c.header)
				assert.Equal(t, c.limit, float64(s.Load().RateLimit))
				assert.Equal(t, c.ready, s.Status().Ready)
			})
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
					Changed: func(Status) {}, Names: statementNames,
				})
				require.NoError(t, c.first(s))
				response := &exchange.Response{Status: http.StatusOK, Header: http.Header{"Leaving": {"1"}}}
				answer := serverAnswer{response: response, client: s.clientOf("i-1"), request: "r-1", sentAt: time.Now()}
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
