// Package measure requests the health and load of the backend server beside the node. All such requests share one budget,
// whatever their purpose, so that the cost of measuring a server has a hard limit.
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
	"github.com/radishstand/radishstand/node/internal/httpstatus"
)

const (
	// requestBytes is charged to the budget for the request and the head of the answer.
	requestBytes = 300
	// maxAnswerBytes limits the bytes read of an answer body. They are charged to the budget in advance.
	maxAnswerBytes = 512
	// maxHeaderBytes limits the status line and headers of an answer.
	maxHeaderBytes = 64 << 10
	requestTimeout = time.Second
)

// ErrBudget means that the budget does not allow a request now.
var ErrBudget = errors.New("measure: request budget exhausted")

// errStatus reports an answer whose status does not end a request, such as 000.
var errStatus = errors.New("measure: status is not between 200 and 599")

// Report is the health and load that a server reports. It is only a hint, because a report may be late or wrong.
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
	sent   int64
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
		Timeout: requestTimeout,
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: requestTimeout}).DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return m
}

// burst returns the burst of a request budget. For a positive budget it is at least 1, because a burst of 0 would never
// allow a request.
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

// Probe requests a path of the server. It returns ErrBudget without sending a request if the budget is exhausted, and
// another error if the server does not answer.
func (m *Meter) Probe(ctx context.Context, path string) (Report, error) {
	if !m.chargeBudget() {
		return Report{}, ErrBudget
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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
	if !httpstatus.IsFinal(response.StatusCode) {
		return Report{}, errStatus
	}
	report := Report{Healthy: response.StatusCode < http.StatusInternalServerError, At: m.now()}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil {
		// An answer that is not a report still shows that the server is reachable.
		_ = json.Unmarshal(body, &report)
	}
	m.mu.Lock()
	m.last = report
	m.mu.Unlock()
	return report, nil
}

// chargeBudget charges one request to the budget and reports whether the budget allows it.
func (m *Meter) chargeBudget() bool {
	now := m.now()
	ok := m.bytes.AllowN(now, requestBytes+maxAnswerBytes) && m.requests.AllowN(now, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.sent++
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
	return Dump{Last: m.last, Asked: m.sent, Denied: m.denied}
}
