package localserver

import (
	"cmp"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/process/departures"
	"github.com/radishstand/radishstand/node/process/dispatch"
)

const (
	// healthCheck is the source of the statement in the answer to a health check, and otherNode that of a statement which
	// another node has heard.
	healthCheck = "health check"
	otherNode   = "other node"
)

// Statement is what a server says about itself in the headers of an answer, besides its load.
type Statement struct {
	// Limited is set when the server names a rate limit.
	Limited bool
	// PerSecond is the named limit: the requests per second that the server accepts from all hosts together.
	PerSecond float64
	// Unreadable is a named limit that is not a number. Alone it changes nothing.
	Unreadable string
	// Leaving is set when the server is about to end.
	Leaving bool
}

// parseStatement reads the statement in the headers of an answer. Of several limits the lowest counts.
func (s *Server) parseStatement(header http.Header) Statement {
	names := s.config.Names
	statement := Statement{Leaving: names.Leaving != "" && header.Get(names.Leaving) == names.LeavingValue}
	for _, value := range header.Values(names.RateLimit) {
		limit, ok := names.ParseRateLimit(value)
		switch {
		case !ok:
			statement.Unreadable = cmp.Or(value, "empty")
		case !statement.Limited || limit < statement.PerSecond:
			statement.Limited, statement.PerSecond = true, limit
		}
	}
	return statement
}

// serverAnswer is an answer of the server with the request that it answers.
type serverAnswer struct {
	response *exchange.Response
	// client is that of the server which was asked. It is a new one after each start of a server.
	client *exchange.Client
	// request is the ID of the request, or healthCheck.
	request string
	sentAt  time.Time
}

// observe applies the statement in an answer. The result is set when the server leaves.
func (s *Server) observe(a serverAnswer) *linkpb.Leaving {
	statement := s.parseStatement(a.response.Header)
	changed, ok := s.accept(a, statement)
	if !ok {
		return nil
	}
	s.observeAnsweredCold(a)
	if statement.Limited || statement.Unreadable == "" {
		s.dispatcher.ObserveRate(dispatch.RateStatement{
			Limited: statement.Limited, PerSecond: statement.PerSecond, HealthCheck: a.request == healthCheck, SentAt: a.sentAt,
		})
	}
	if changed && s.config.Stated != nil {
		s.config.Stated(statement, a.request)
	}
	if !statement.Leaving {
		return nil
	}
	return s.recordLeaving(a.client)
}

// accept reports whether the statement in an answer is that of the current server and differs from the one before. It is not when
// another server gave the answer, or has taken the place of the one that gave it. An answer that nothing shows to be the server's
// own does not take anything back.
func (s *Server) accept(a serverAnswer, statement Statement) (changed, ok bool) {
	names, header := s.config.Names, a.response.Header
	s.mu.Lock()
	defer s.mu.Unlock()
	author := header.Get(names.RunningID)
	if s.client != a.client || a.response.Status == http.StatusMisdirectedRequest || author != "" && author != s.current.ID {
		return false, false
	}
	genuine := author != "" || header.Get(names.Signature) != "" || header.Get(names.NotExecuted) != ""
	if !genuine && !statement.Limited && !statement.Leaving {
		return false, false
	}
	changed = statement != s.stated
	s.stated = statement
	return changed, true
}

// recordLeaving records that the server of a client has said in an answer that it leaves. It gets no further calls, whatever it
// announces. The result is nil when the server is not the current one any more.
func (s *Server) recordLeaving(client *exchange.Client) (leaving *linkpb.Leaving) {
	_ = s.updateState(func() error {
		if s.client != client {
			return nil
		}
		s.departed.Add(departures.Server{ID: s.current.ID, StartedAtMs: s.current.StartedAtMs}, s.config.Now())
		err := s.fireEvent(eventDrained)
		leaving = s.status().Leaving()
		return err
	})
	return leaving
}

// adoptRate applies the rate limit that the sender of a call has heard from the server, unless it is that of an earlier start.
func (s *Server) adoptRate(call *linkpb.Call) {
	if call.RateLimit <= 0 || s.isColdLimit(call.RateLimit) {
		return
	}
	s.mu.Lock()
	started := s.current.StartedAtMs
	earlier := call.ServerStartedMs != 0 && int64(call.ServerStartedMs) < started
	current := s.current.ID == call.ServerId && !earlier
	s.mu.Unlock()
	if current && s.dispatcher.AdoptRate(float64(call.RateLimit)) && s.config.Stated != nil {
		s.config.Stated(Statement{Limited: true, PerSecond: float64(call.RateLimit)}, otherNode)
	}
}

// Requests returns the number of requests that were sent to servers at this host, with health checks.
func (s *Server) Requests() int64 { return s.requests.Load() }
