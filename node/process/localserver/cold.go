package localserver

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/process/dispatch"
)

const (
	// lateCheckTimeout is the timeout of a health check that shows whether the server is cold. Calls wait for slownessTimeout only.
	lateCheckTimeout = 250 * time.Millisecond
	// checkGrace is the last part of slownessTimeout. It has a timer of its own, which starts only when the process runs: a process
	// that was throttled can then read an answer that has arrived before the health check fails.
	checkGrace = 2 * time.Millisecond
	// maxColdMs bounds the time for which a server may state that it stays cold.
	maxColdMs = int64(24 * time.Hour / time.Millisecond)
)

// coldLimit returns the limit for the service of the current server.
func (s *Server) coldLimit() dispatch.ColdLimit {
	s.mu.Lock()
	service := s.current.Service
	s.mu.Unlock()
	return s.config.ColdLimit(service)
}

// limitsCold reports whether cold servers of the current server's service are limited.
func (s *Server) limitsCold() bool { return s.config.ColdLimit != nil && s.coldLimit().PerSecond > 0 }

// isColdLimit reports whether a rate limit that another node passes on is the limit for cold servers, which this node applies by itself.
func (s *Server) isColdLimit(perSecond float32) bool {
	return s.config.ColdLimit != nil && perSecond == float32(s.coldLimit().PerSecond)
}

// coldChanged records the time for which the server is expected to stay cold, and reports the change. At the end of that time the queue
// is checked again. If the service no longer has a limit, the warm-up that the server has announced is kept.
func (s *Server) coldChanged(c dispatch.ColdChange) {
	if c.PerSecond > 0 {
		s.mu.Lock()
		s.warmUpEnd = s.config.Now().Add(c.Left)
		s.mu.Unlock()
	}
	if c.Cold {
		time.AfterFunc(c.Left, func() { s.dispatcher.Sweep() })
	}
	s.config.ColdChanged(c)
}

// observeAnnouncedCold applies the remaining cold time in an announcement of the current server.
func (s *Server) observeAnnouncedCold(left time.Duration) {
	if s.limitsCold() {
		s.dispatcher.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceAnnouncement, Stated: true, Left: left})
	}
}

// observeAnsweredCold applies the remaining cold time in an answer of the current server.
func (s *Server) observeAnsweredCold(a serverAnswer) {
	if !s.limitsCold() {
		return
	}
	report := dispatch.ColdReport{Source: dispatch.SourceAnswer, SentAt: a.sentAt}
	if a.request == healthCheck {
		report.Source = dispatch.SourceHealthCheck
	}
	report.Left, report.Stated = s.parseCold(a.response.Header)
	s.dispatcher.ObserveCold(report)
}

// parseCold returns the remaining cold time in the headers of an answer. The longest of several counts; a value that is not a number
// is ignored.
func (s *Server) parseCold(header http.Header) (left time.Duration, stated bool) {
	if s.config.Names.ColdMs == "" {
		return 0, false
	}
	for _, value := range header.Values(s.config.Names.ColdMs) {
		if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms >= 0 {
			left, stated = max(left, time.Duration(min(ms, maxColdMs))*time.Millisecond), true
		}
	}
	return left, stated
}

// observeFailure applies the failure of a request. The server may have restarted when it refused or broke the connection; a timeout or
// a cancellation at this node does not show that.
func (s *Server) observeFailure(client *exchange.Client, err error) {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || !s.limitsCold() {
		return
	}
	s.mu.Lock()
	id, current := s.current.ID, s.client == client
	s.mu.Unlock()
	if !current {
		return
	}
	s.dispatcher.ServerLost()
	var notSent *exchange.NotSentError
	if errors.As(err, &notSent) {
		s.markUnreachable(id)
	}
}

// checkCold sends a health check that shows whether the server is cold. Calls wait for slownessTimeout; an answer that comes later still
// counts. The dispatcher bounds the number of these health checks.
func (s *Server) checkCold() {
	s.mu.Lock()
	client, path := s.client, s.config.HealthPath(s.current.Service)
	s.mu.Unlock()
	if client == nil || path == "" {
		s.dispatcher.ProbeFailed()
		return
	}
	var once sync.Once
	fail := func() { once.Do(s.dispatcher.ProbeFailed) }
	timer := time.AfterFunc(slownessTimeout-checkGrace, func() { time.AfterFunc(checkGrace, fail) })
	go func() {
		defer timer.Stop()
		slowness, ok := s.requestSlowness(client, path, lateCheckTimeout)
		once.Do(func() { s.endCheck(slowness, ok) })
	}()
}

// invalidateAfterEvacuation records that the server may have turned cold while its place was evacuated.
func (s *Server) invalidateAfterEvacuation() { s.dispatcher.InvalidateWarm(dispatch.SourceEvacuation) }

// ColdLimit returns the number of requests per second to which the server is limited because it is treated as cold, or 0.
func (s *Server) ColdLimit() float64 { return s.dispatcher.ColdLimit() }

// ColdRefusals returns the number of calls that were refused while the server was treated as cold.
func (s *Server) ColdRefusals() int64 { return s.dispatcher.ColdRefusals() }
