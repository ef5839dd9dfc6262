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

// Result is the result of one call.
type Result struct {
	Work *Work
	// Token identifies the call; a repeated call has the token of the first one.
	Token string
	// Intended is the scheduled send time. Latency is measured from it.
	Intended time.Time
	Latency  time.Duration
	// Status and Outcome are zero if no answer arrived.
	Status  int
	Outcome contract.Outcome
	// Answer is the body of an answer with outcome run.
	Answer []byte
	// Reason is the reason in an answer that the node generated itself.
	Reason string
	// Wrong is set if the answer does not carry the call's token.
	Wrong bool
	// Replayed is set if the node replayed a recorded answer.
	Replayed bool
	// Repeat is set if a call with the same key was sent before.
	Repeat bool
	// Err is set if no complete answer with an outcome arrived.
	Err error
	// Skipped is set if the call was not sent because too many were in progress.
	Skipped bool
}

// Generator sends the calls of a plan.
type Generator struct {
	plan        Plan
	client      *http.Client
	random      *mathrand.Rand
	totalWeight int
	tokenPrefix string
	sent        int
	inProgress  atomic.Int64
	calls       sync.WaitGroup
}

const (
	idlePerTarget = 256
	idleTimeout   = 10 * time.Second
	// maxAnswerBytes bounds the size of an answer that the generator reads.
	maxAnswerBytes = 64 << 20
)

// New returns a Generator for a plan that passed Validate.
func New(plan Plan) *Generator {
	g := &Generator{
		plan: plan, random: mathrand.New(mathrand.NewPCG(plan.Seed, plan.Seed)), tokenPrefix: rand.Text(),
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: plan.Timeout + answerGrace}).DialContext,
				TLSClientConfig:     plan.TLS,
				MaxIdleConnsPerHost: idlePerTarget, IdleConnTimeout: idleTimeout, DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, w := range plan.Mix {
		g.totalWeight += w.Weight
	}
	return g
}

// Run sends calls until the plan's duration or ctx ends and waits for their answers. It calls onResult with every Result,
// from several goroutines at once.
func (g *Generator) Run(ctx context.Context, onResult func(Result)) {
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
		g.start(next, onResult)
		next = next.Add(g.nextGap())
	}
	g.calls.Wait()
}

// nextGap returns a random time to the next call, exponentially distributed.
func (g *Generator) nextGap() time.Duration {
	return time.Duration(-math.Log(1-g.random.Float64()) / g.plan.Rate * float64(time.Second))
}

// start sends the next call, and its repeat if it has one, in a goroutine of its own.
func (g *Generator) start(intended time.Time, onResult func(Result)) {
	work := g.choose()
	target := g.plan.Targets[g.sent%len(g.plan.Targets)]
	repeatTarget := g.plan.Targets[g.random.IntN(len(g.plan.Targets))]
	repeat := work.Keyed && g.random.Float64() < g.plan.RepeatShare
	g.sent++
	token := g.tokenPrefix + "-" + strconv.Itoa(g.sent)
	if g.inProgress.Load() >= int64(g.plan.MaxInProgress) {
		onResult(Result{Work: work, Token: token, Intended: intended, Skipped: true})
		return
	}
	g.inProgress.Add(1)
	g.calls.Go(func() {
		defer g.inProgress.Add(-1)
		onResult(g.call(target, work, token, intended))
		if repeat {
			r := g.call(repeatTarget, work, token, time.Now())
			r.Repeat = true
			onResult(r)
		}
	})
}

// choose picks a kind of call at random by weight.
func (g *Generator) choose() *Work {
	n := g.random.IntN(g.totalWeight)
	for i := range g.plan.Mix {
		if n -= g.plan.Mix[i].Weight; n < 0 {
			return &g.plan.Mix[i]
		}
	}
	return &g.plan.Mix[0]
}

// call sends one call and waits for its answer. It does not use the context of Run, so that calls in progress are completed
// when Run ends.
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
	var nodeAnswer contract.Body
	if r.Outcome != contract.OutcomeRun && json.Unmarshal(body, &nodeAnswer) == nil {
		r.Reason = nodeAnswer.Reason
	}
	if r.Outcome == "" {
		r.Err = errNoOutcome
	}
	return r
}

var errNoOutcome = errors.New("the answer has no " + contract.HeaderOutcome + " header")

// singleUseBody hides the type of the reader from http.NewRequest, which would otherwise let the transport resend the body
// on another connection. A call must be sent only once, so that the server's count of runs shows faults of the fleet alone.
type singleUseBody struct{ io.Reader }

// request builds the request of one call.
func (g *Generator) request(ctx context.Context, target string, work *Work, token string) (*http.Request, error) {
	var content io.Reader
	// The transport resends calls that have an Idempotency-Key and no body, so every non-idempotent call gets a body.
	size := max(1, work.BodyBytes)
	if !work.Idempotent() {
		content = singleUseBody{bytes.NewReader(bytes.Repeat([]byte{'x'}, size))}
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
