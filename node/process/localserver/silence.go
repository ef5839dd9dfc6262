package localserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/radishstand/radishstand/node/connection/exchange"
)

// silenceLimit is the time without any answer of the server, while calls are in progress, after which it is sent a health
// check.
const silenceLimit = 400 * time.Millisecond

// activity records when a server with calls in progress was last heard of. It is safe for concurrent use.
type activity struct {
	mu      sync.Mutex
	calls   int
	heardAt time.Time
}

// begin records that a call was started. The silence of a server without calls counts from the next call.
func (a *activity) begin(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.calls == 0 {
		a.heardAt = now
	}
	a.calls++
}

// end records the end of a call.
func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls--
}

// heard records an answer.
func (a *activity) heard(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heardAt = now
}

// silentFor reports whether calls are in progress and the server was not heard of for longer than d.
func (a *activity) silentFor(d time.Duration, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls > 0 && now.Sub(a.heardAt) > d
}

// CheckSilence sends a health check to a server that has answered nothing for silenceLimit, and stops sending calls to it if the
// check is not answered either. Calls in progress are not given up, since their answers may still come. The server is used
// again when it answers a health check.
func (s *Server) CheckSilence(ctx context.Context) {
	status := s.Status()
	if !status.Ready || !s.activity.silentFor(silenceLimit, s.config.Now()) {
		return
	}
	path := s.config.HealthPath(status.Service)
	if path == "" {
		return
	}
	err := s.requestHealth(ctx, path)
	if err == nil {
		s.activity.heard(s.config.Now())
		return
	}
	if ctx.Err() == nil && s.activity.silentFor(silenceLimit, s.config.Now()) {
		s.markUnreachable(status.ID)
	}
}

// requestHealth sends a health check on a new connection. An answer with any status shows that the server is alive.
func (s *Server) requestHealth(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	address := s.config.Address()
	client := exchange.New(address, s.config.Names.ID, s.config.Memory)
	defer client.Close()
	response, err := client.Do(ctx, &exchange.Request{Method: http.MethodGet, Target: path, Host: address})
	if err != nil {
		return err
	}
	response.Release()
	return nil
}
