// Package measure asks the backend server beside the node for its health and load. All such requests, for whatever
// reason, draw from one budget, so that the cost of measuring a server has a hard cap.
package measure

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/radishstand/radishstand/api/settings"
)

const (
	// requestBytes is counted for the request and the head of the answer.
	requestBytes = 300
	// maxAnswerBytes is the most that is read of an answer, and what is counted for it in advance.
	maxAnswerBytes = 512
	timeout        = time.Second
)

// ErrBudget means that the budget does not allow a request now.
var ErrBudget = errors.New("measure: budget used up")

// Report is a server's own report. Servers report late or wrongly, so it is a hint.
type Report struct {
	Healthy    bool      `json:"healthy"`
	Draining   bool      `json:"draining"`
	InProgress int       `json:"inProgress"`
	At         time.Time `json:"at"`
}

// Meter measures one backend server. It is safe for concurrent use.
type Meter struct {
	address  string
	requests *rate.Limiter
	bytes    *rate.Limiter
	client   *http.Client
	now      func() time.Time

	mu     sync.Mutex
	last   Report
	count  int64
	denied int64
}

// New returns a Meter for the server at address.
func New(address string, v settings.Measure, now func() time.Time) *Meter {
	m := &Meter{
		address:  address,
		requests: rate.NewLimiter(rate.Limit(v.PerSecond), burst(v.PerSecond)),
		bytes:    rate.NewLimiter(rate.Limit(v.BytesPerSecond), max(v.BytesPerSecond, requestBytes+maxAnswerBytes)),
		now:      now,
	}
	m.client = &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: timeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return m
}

// burst lets a budget below one request a second save up for one.
func burst(perSecond float64) int {
	if perSecond <= 0 {
		return 0
	}
	return max(1, int(perSecond))
}

// Configure changes the budget.
func (m *Meter) Configure(v settings.Measure) {
	now := m.now()
	m.requests.SetLimitAt(now, rate.Limit(v.PerSecond))
	m.requests.SetBurstAt(now, burst(v.PerSecond))
	m.bytes.SetLimitAt(now, rate.Limit(v.BytesPerSecond))
	m.bytes.SetBurstAt(now, max(v.BytesPerSecond, requestBytes+maxAnswerBytes))
}

// Probe requests a path of the server. It returns ErrBudget without asking when the budget is used up, and an error when
// the server does not answer.
func (m *Meter) Probe(ctx context.Context, path string) (Report, error) {
	if !m.take() {
		return Report{}, ErrBudget
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address+path, nil)
	if err != nil {
		return Report{}, err
	}
	response, err := m.client.Do(request)
	if err != nil {
		return Report{}, err
	}
	defer response.Body.Close()
	report := Report{Healthy: response.StatusCode < http.StatusInternalServerError, At: m.now()}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil {
		// An answer that is no report still shows that the server answers.
		_ = json.Unmarshal(body, &report)
	}
	m.mu.Lock()
	m.last = report
	m.mu.Unlock()
	return report, nil
}

func (m *Meter) take() bool {
	now := m.now()
	ok := m.bytes.AllowN(now, requestBytes+maxAnswerBytes) && m.requests.AllowN(now, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.count++
	} else {
		m.denied++
	}
	return ok
}

// Dump is the state of a Meter.
type Dump struct {
	Last   Report `json:"last"`
	Asked  int64  `json:"asked"`
	Denied int64  `json:"denied"`
}

// Dump returns the last report and the number of requests sent and denied.
func (m *Meter) Dump() Dump {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Dump{Last: m.last, Asked: m.count, Denied: m.denied}
}
