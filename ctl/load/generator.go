package load

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"math"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishstand/radishstand/api/contract"
)

// Result is the end of one call.
type Result struct {
	Work *Work
	// Token marks the call; a repeated call has the token of the first one.
	Token string
	// Intended is the time at which the call was to be sent; Latency counts from it.
	Intended time.Time
	Latency  time.Duration
	// Status and Outcome are zero when no answer came.
	Status  int
	Outcome contract.Outcome
	// Answer is the body of an answer with outcome run.
	Answer []byte
	// Reason is what a node says in an answer of its own.
	Reason string
	// Wrong says that the answer does not carry the call's token.
	Wrong bool
	// Replayed says that the node gave a recorded answer again.
	Replayed bool
	// Repeat says that the call was sent before with the same key.
	Repeat bool
	// Err is set when no complete answer came.
	Err error
	// Skipped says that the call was not sent since too many were in progress.
	Skipped bool
}

// Generator sends the calls of a plan.
type Generator struct {
	plan       Plan
	client     *http.Client
	random     *mathrand.Rand
	weight     int
	prefix     string
	sent       int
	inProgress atomic.Int64
	calls      sync.WaitGroup
}

const (
	idlePerTarget = 256
	idleTime      = 10 * time.Second
	// maxAnswerBytes bounds the answers that the generator keeps.
	maxAnswerBytes = 64 << 20
)

// New returns a Generator for a valid plan.
func New(plan Plan) *Generator {
	g := &Generator{
		plan: plan, random: mathrand.New(mathrand.NewPCG(plan.Seed, plan.Seed)), prefix: rand.Text(),
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: plan.Timeout + answerGrace}).DialContext,
				TLSClientConfig:     plan.TLS,
				MaxIdleConnsPerHost: idlePerTarget, IdleConnTimeout: idleTime, DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, w := range plan.Mix {
		g.weight += w.Weight
	}
	return g
}

// Run sends calls until the plan's duration or ctx ends, waits for their answers, and hands every Result to ended, which
// is called by many goroutines.
func (g *Generator) Run(ctx context.Context, ended func(Result)) {
	defer g.client.CloseIdleConnections()
	next := time.Now()
	stop := next.Add(g.plan.Duration)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for g.plan.Duration == 0 || next.Before(stop) {
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			g.calls.Wait()
			return
		case <-timer.C:
		}
		g.start(next, ended)
		next = next.Add(g.gap())
	}
	g.calls.Wait()
}

// gap returns the time to the next call.
func (g *Generator) gap() time.Duration {
	return time.Duration(-math.Log(1-g.random.Float64()) / g.plan.Rate * float64(time.Second))
}

// start begins a call without waiting for it.
func (g *Generator) start(intended time.Time, ended func(Result)) {
	work := g.choose()
	target := g.plan.Targets[g.sent%len(g.plan.Targets)]
	again := g.plan.Targets[g.random.IntN(len(g.plan.Targets))]
	repeat := work.Keyed && g.random.Float64() < g.plan.RepeatShare
	g.sent++
	token := g.prefix + "-" + strconv.Itoa(g.sent)
	if g.inProgress.Load() >= int64(g.plan.MaxInProgress) {
		ended(Result{Work: work, Token: token, Intended: intended, Skipped: true})
		return
	}
	g.inProgress.Add(1)
	g.calls.Go(func() {
		defer g.inProgress.Add(-1)
		ended(g.call(target, work, token, intended))
		if repeat {
			r := g.call(again, work, token, time.Now())
			r.Repeat = true
			ended(r)
		}
	})
}

// choose draws a kind of call by weight.
func (g *Generator) choose() *Work {
	n := g.random.IntN(g.weight)
	for i := range g.plan.Mix {
		if n -= g.plan.Mix[i].Weight; n < 0 {
			return &g.plan.Mix[i]
		}
	}
	return &g.plan.Mix[0]
}

// call sends one call and waits for its answer. Its context is not that of Run: a call that was sent is awaited.
func (g *Generator) call(target string, work *Work, token string, intended time.Time) Result {
	r := Result{Work: work, Token: token, Intended: intended}
	ctx, cancel := context.WithTimeout(context.Background(), g.plan.Timeout+answerGrace)
	defer cancel()
	request, err := g.request(ctx, target, work, token)
	if err != nil {
		r.Err = err
		return r
	}
	response, err := g.client.Do(request)
	if err != nil {
		r.Err, r.Latency = err, time.Since(intended)
		return r
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	r.Latency = time.Since(intended)
	if err != nil {
		r.Err = err
		return r
	}
	r.Status = response.StatusCode
	r.Outcome = contract.Outcome(response.Header.Get(contract.HeaderOutcome))
	r.Replayed = response.Header.Get(contract.HeaderReplayed) != ""
	if r.Outcome == contract.OutcomeRun {
		r.Answer = body
		r.Wrong = g.plan.TokenHeader != "" && r.Status < http.StatusBadRequest && response.Header.Get(g.plan.TokenHeader) != token
	}
	var own contract.Body
	if r.Outcome != contract.OutcomeRun && json.Unmarshal(body, &own) == nil {
		r.Reason = own.Reason
	}
	if r.Outcome == "" {
		r.Err = errNoOutcome
	}
	return r
}

var errNoOutcome = errors.New("the answer carries no " + contract.HeaderOutcome + " header")

// body hides the type of the reader from http.NewRequest, which would otherwise let the transport send the body again
// on another connection. A call must be sent once so that the server's count of runs judges the fleet alone.
type body struct{ io.Reader }

func (g *Generator) request(ctx context.Context, target string, work *Work, token string) (*http.Request, error) {
	var content io.Reader
	// A call without a body would be sent again by the transport if it carries an Idempotency-Key.
	size := max(1, work.BodyBytes)
	if !work.Idempotent() {
		content = body{bytes.NewReader(bytes.Repeat([]byte{'x'}, size))}
	}
	request, err := http.NewRequestWithContext(ctx, work.Method, target+work.Path, content)
	if err != nil {
		return nil, err
	}
	if content != nil {
		request.ContentLength = int64(size)
	}
	request.Header.Set(contract.HeaderService, work.Service)
	request.Header.Set(contract.HeaderTimeout, strconv.FormatInt(g.plan.Timeout.Milliseconds(), 10))
	if g.plan.TokenHeader != "" {
		request.Header.Set(g.plan.TokenHeader, token)
	}
	if work.Keyed {
		request.Header.Set(contract.HeaderIdempotencyKey, token)
	}
	return request, nil
}
