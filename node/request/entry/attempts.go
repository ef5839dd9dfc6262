package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/request/attempt"
	"github.com/radishstand/radishstand/node/request/retry"
)

// attemptLoop makes the attempts of one call. Only one goroutine uses it at a time: the goroutine of the call, or the one
// that took over from it. Only try runs concurrently.
type attemptLoop struct {
	handler *Handler
	call    *call
	retries *retry.Call
	// reserved is the number of extra attempts reserved from the pool of the parent attempt.
	reserved int
	tried    []string
	results  chan result
	pending  []*attemptInProgress
	records  []AttemptRecord
	// serverError is an answer with a server error. The caller gets it if no other attempt returns a better answer.
	serverError *attempt.Answer
}

type attemptInProgress struct {
	server  balance.Server
	request *attempt.Request
	// delegated is the number of extra attempts that the calls below this attempt may make.
	delegated int
	hedge     bool
	started   time.Time
	cancel    context.CancelFunc
}

type result struct {
	attempt    *attemptInProgress
	answer     *attempt.Answer
	err        error
	elapsed    time.Duration
	finalState string
}

// runAttempts makes attempts until there is an answer or a final error, which is *attempt.NotRun or *attempt.Broken.
func (h *Handler) runAttempts(ctx context.Context, c *call) (*attempt.Answer, *attemptLoop, error) {
	l := h.newAttemptLoop(c)
	answer, err := l.execute(ctx)
	return answer, l, err
}

func (h *Handler) newAttemptLoop(c *call) *attemptLoop {
	h.Track(c.service)
	l := &attemptLoop{handler: h, call: c}
	allowance := -1
	if c.depth > 0 || c.parent != "" {
		l.reserved = h.Pools.Reserve(c.parent, c.values.Retry.MaxPerCall)
		allowance = l.reserved
	}
	l.retries = h.Retrier.Begin(c.service, c.idempotent, c.deadline, allowance)
	l.results = make(chan result, c.values.Retry.MaxPerCall+1)
	return l
}

// execute makes the first attempt in the goroutine of the call, because a goroutine per attempt would have to grow its own
// stack and would add two switches between goroutines. If the hedge delay passes first, another goroutine takes over the
// loop.
func (l *attemptLoop) execute(ctx context.Context) (*attempt.Answer, error) {
	server, err := l.pick()
	if err != nil {
		return l.finish(nil, err)
	}
	ctxFirst, first, err := l.prepare(ctx, server, false)
	if err != nil {
		return l.finish(nil, err)
	}
	delay, hedged := l.hedgeDelay()
	if !hedged {
		l.try(ctxFirst, first)
		return l.finish(l.awaitAnswer(ctx, &hedgeTimer{}))
	}
	done := make(chan loopResult, 1)
	timer := time.AfterFunc(delay, func() {
		l.hedge(ctx)
		// If the hedge wins, finish cancels the first attempt, which makes the call of try below return.
		answer, err := l.finish(l.awaitAnswer(ctx, newHedgeTimer(delay/2, delay)))
		done <- loopResult{answer, err}
	})
	l.try(ctxFirst, first)
	if timer.Stop() {
		return l.finish(l.awaitAnswer(ctx, newHedgeTimer(l.handler.Now().Sub(first.started), delay)))
	}
	res := <-done
	return res.answer, res.err
}

// loopResult is the result of an attempt loop.
type loopResult struct {
	answer *attempt.Answer
	err    error
}

// awaitAnswer handles the results of attempts and starts further ones until there is an answer or a final error.
func (l *attemptLoop) awaitAnswer(ctx context.Context, hedge *hedgeTimer) (*attempt.Answer, error) {
	defer hedge.stop()
	// unknown is the first failure that leaves the outcome of the call unknown. It is kept even if a later attempt provably
	// did not run.
	var unknown error
	for {
		res := l.nextResult(ctx, hedge)
		if answer := l.recordResult(res); answer != nil {
			return answer, nil
		}
		if _, broken := errors.AsType[*attempt.Broken](res.err); broken && unknown == nil {
			unknown = res.err
		}
		if err := l.startRetry(ctx, res.err); err != nil && len(l.pending) == 0 {
			return l.fallback(res.err, unknown)
		}
	}
}

// nextResult waits for the result of an attempt and starts hedges in the meantime.
func (l *attemptLoop) nextResult(ctx context.Context, hedge *hedgeTimer) result {
	select { // the first attempt has usually ended by now, so no timer is needed
	case res := <-l.results:
		return res
	default:
	}
	for {
		select {
		case res := <-l.results:
			return res
		case <-hedge.channel():
			l.hedge(ctx)
			hedge.reset()
		}
	}
}

// pick chooses a server that was not tried yet, or any server if all were tried.
func (l *attemptLoop) pick() (balance.Server, error) {
	if loads := l.handler.OwnLoad(l.call.service); loads != nil {
		l.handler.Balancer.Observe(l.handler.NodeID, loads)
	}
	server, err := l.handler.Balancer.Pick(l.call.service, l.tried)
	if err != nil && len(l.tried) > 0 {
		server, err = l.handler.Balancer.Pick(l.call.service, nil)
	}
	if err != nil {
		return server, &attempt.NotRun{Reason: attempt.ReasonNoServer}
	}
	return server, nil
}

// fallback returns the result of a call that got no successful answer: a server error if one was answered, else the error
// that leaves the outcome unknown, else the last error.
func (l *attemptLoop) fallback(last, unknown error) (*attempt.Answer, error) {
	if l.serverError != nil {
		return l.serverError, nil
	}
	if unknown != nil {
		return nil, unknown
	}
	return nil, last
}

// launch starts an attempt at a server in a new goroutine.
func (l *attemptLoop) launch(ctx context.Context, server balance.Server, hedge bool) error {
	ctx, a, err := l.prepare(ctx, server, hedge)
	if err == nil {
		go l.try(ctx, a)
	}
	return err
}

// prepare registers an attempt at a server. try makes the attempt with the returned context.
func (l *attemptLoop) prepare(
	ctx context.Context, server balance.Server, hedge bool,
) (context.Context, *attemptInProgress, error) {
	h := l.handler
	now := h.Now()
	remaining := l.call.deadline.Sub(now)
	if remaining <= 0 {
		return nil, nil, &attempt.NotRun{Reason: attempt.ReasonDeadline}
	}
	l.tried = append(l.tried, server.ID)
	noRedirect := !l.retries.MayRedirect()
	a := &attemptInProgress{server: server, delegated: l.retries.DelegateAllowance(), hedge: hedge, started: now}
	a.request = l.call.request(server.ID, remaining, a.delegated)
	a.request.NoRedirect, a.request.From = noRedirect, h.NodeID
	ctx, a.cancel = context.WithCancel(ctx)
	l.pending = append(l.pending, a)
	h.Balancer.Started(server)
	return ctx, a, nil
}

// try makes one attempt and sends its result to l.results.
func (l *attemptLoop) try(ctx context.Context, a *attemptInProgress) {
	h := l.handler
	state := attempt.NewStateMachine()
	_ = state.Fire(attempt.EventSend)
	answer, err := l.send(ctx, a)
	elapsed := h.Now().Sub(a.started)
	kind := resultKind(answer, err)
	_ = state.Fire(eventFor(kind))
	h.Balancer.Finished(a.server, balance.Result{Kind: kind, Latency: elapsed})
	h.Balancer.Observe(a.server.NodeID, loadsOf(answer, err))
	l.results <- result{attempt: a, answer: answer, err: err, elapsed: elapsed, finalState: state.Release()}
}

func (l *attemptLoop) send(ctx context.Context, a *attemptInProgress) (*attempt.Answer, error) {
	if a.server.NodeID == l.handler.NodeID {
		return l.handler.Local.Do(ctx, a.request)
	}
	answer, err := l.handler.Remote.Do(ctx, a.server, a.request)
	if err != nil {
		return nil, err
	}
	return bufferRest(ctx, answer, l.call.values.Call.HoldBytes)
}

// bufferRest reads the rest of an answer from another node if the answer is not longer than limit. If the connection broke
// after the head was sent to the caller, the call could neither be retried nor reported as failed.
func bufferRest(ctx context.Context, a *attempt.Answer, limit int) (*attempt.Answer, error) {
	if a.Rest == nil || a.ContentLength < 0 || a.ContentLength > int64(limit) {
		return a, nil
	}
	defer a.Close()
	rest, err := io.ReadAll(io.LimitReader(a.Rest, a.ContentLength+1))
	if err == nil && int64(len(a.Body)+len(rest)) != a.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, &attempt.Broken{Kind: attempt.KindFromContext(ctx), Cause: err, Loads: a.Loads, RetriesUsed: a.RetriesUsed}
	}
	whole := *a
	whole.Body, whole.Rest = append(slices.Clip(a.Body), rest...), nil
	return &whole, nil
}

// recordResult records the result of an attempt. It returns the attempt's answer if that is the final answer of the call.
func (l *attemptLoop) recordResult(res result) *attempt.Answer {
	l.settle(res)
	if res.answer == nil {
		return nil
	}
	if l.shouldTryAnotherServer(res.answer) {
		l.serverError = res.answer
		return nil
	}
	l.handler.Retrier.Observe(l.call.service, res.elapsed)
	return res.answer
}

// shouldTryAnotherServer reports whether the answer is a server error to an idempotent call, which another server may
// answer successfully. Otherwise a server that fails fast would answer more than its share of the calls.
func (l *attemptLoop) shouldTryAnotherServer(a *attempt.Answer) bool {
	return l.call.idempotent && a.Status >= http.StatusInternalServerError && a.Rest == nil
}

// settle removes the attempt from the pending ones, settles its retry allowance and appends its record.
func (l *attemptLoop) settle(res result) {
	for i, a := range l.pending {
		if a == res.attempt {
			l.pending = append(l.pending[:i], l.pending[i+1:]...)
			break
		}
	}
	used, reported := retriesUsed(res)
	if reported {
		l.retries.SettleAllowance(res.attempt.delegated, used)
	} else {
		l.retries.ForfeitAllowance(res.attempt.delegated)
	}
	l.records = append(l.records, AttemptRecord{
		Server: res.attempt.server.ID, After: res.attempt.started.Sub(l.call.started), Took: res.elapsed, End: res.finalState,
		Hedge: res.attempt.hedge,
	})
}

// startRetry starts another attempt after one that failed with err, if the retry budgets allow it.
func (l *attemptLoop) startRetry(ctx context.Context, err error) error {
	failure, hint := retry.Unknown, ""
	if notRun, ok := errors.AsType[*attempt.NotRun](err); ok {
		failure = retry.NotRun
		if notRun.Reason == attempt.ReasonSiblingFree {
			failure, hint = retry.Redirected, notRun.Hint
		}
	}
	if reason := l.handler.Retrier.Retry(l.retries, failure); reason != "" {
		return errNoMoreAttempts
	}
	server, known := l.handler.Balancer.Lookup(hint)
	if !known {
		if server, err = l.pick(); err != nil {
			return err
		}
	}
	return l.launch(ctx, server, false)
}

// errNoMoreAttempts means that the retry budgets allow no further attempt.
var errNoMoreAttempts = errors.New("entry: retry budget allows no further attempt")

// hedge starts a second attempt beside the one in progress if another server is expected to answer much sooner.
func (l *attemptLoop) hedge(ctx context.Context) {
	if len(l.pending) != 1 {
		return
	}
	server, err := l.handler.Balancer.Hedge(l.pending[0].server, l.tried)
	if err != nil || l.handler.Retrier.Hedge(l.retries) != "" {
		return
	}
	// launch fails only after the deadline. The attempt in progress then ends by itself.
	_ = l.launch(ctx, server, true)
}

// hedgeDelay returns the time after which a hedge is considered, and false for a call that is not hedged.
func (l *attemptLoop) hedgeDelay() (time.Duration, bool) {
	if !l.call.idempotent {
		return 0, false
	}
	return l.handler.Retrier.HedgeDelay(l.call.service)
}

// hedgeTimer fires when the hedge delay of a call has passed, and then at intervals of half the delay. The zero value never
// fires.
type hedgeTimer struct {
	initial  time.Duration
	interval time.Duration
	timer    *time.Timer
}

// newHedgeTimer returns a timer for a call that has been in progress for elapsed. It first fires when delay has passed since
// the start of the call.
func newHedgeTimer(elapsed, delay time.Duration) *hedgeTimer {
	return &hedgeTimer{initial: delay - elapsed, interval: max(delay/2, 1)}
}

// channel returns the channel on which the timer fires. The first call starts the timer.
func (t *hedgeTimer) channel() <-chan time.Time {
	if t.interval == 0 {
		return nil
	}
	if t.timer == nil {
		t.timer = time.NewTimer(t.initial)
	}
	return t.timer.C
}

func (t *hedgeTimer) reset() { t.timer.Reset(t.interval) }

func (t *hedgeTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// finish cancels the attempts that are still in progress and settles the retry allowance with the parent attempt. It returns
// its arguments unchanged.
func (l *attemptLoop) finish(answer *attempt.Answer, err error) (*attempt.Answer, error) {
	for _, a := range l.pending {
		a.cancel()
		l.retries.ForfeitAllowance(a.delegated)
	}
	if n := len(l.pending); n > 0 {
		go drainResults(l.results, n)
	}
	if l.call.parent != "" {
		l.handler.Pools.Settle(l.call.parent, l.reserved, l.retries.Used)
	}
	return answer, err
}

// drainResults receives the results of n cancelled attempts and closes their answers.
func drainResults(results <-chan result, n int) {
	for range n {
		if res := <-results; res.answer != nil {
			res.answer.Close()
		}
	}
}

// retriesUsed returns the number of extra attempts made below an attempt, if the node that made the attempt reported it.
func retriesUsed(res result) (used int, reported bool) {
	if res.answer != nil {
		return res.answer.RetriesUsed, true
	}
	if notRun, ok := errors.AsType[*attempt.NotRun](res.err); ok {
		return notRun.RetriesUsed, true
	}
	return 0, false
}

// resultKind classifies the result of an attempt for the balancer.
func resultKind(a *attempt.Answer, err error) balance.Kind {
	if err == nil {
		if a.Status >= http.StatusInternalServerError {
			return balance.Error
		}
		return balance.OK
	}
	if notRun, ok := errors.AsType[*attempt.NotRun](err); ok {
		if notRun.Reason == attempt.ReasonUnreachable {
			return balance.Error
		}
		return balance.Refused
	}
	if broken, ok := errors.AsType[*attempt.Broken](err); ok {
		switch broken.Kind {
		case attempt.KindCancelled:
			return balance.Cancelled
		case attempt.KindDeadline:
			return balance.Timeout
		}
	}
	return balance.Error
}

// eventFor returns the event of the attempt state machine for a result.
func eventFor(kind balance.Kind) string {
	switch kind {
	case balance.OK:
		return attempt.EventAnswer
	case balance.Refused:
		return attempt.EventRefuse
	}
	return attempt.EventBreak
}

// loadsOf returns the load reports that came with an answer or an error.
func loadsOf(a *attempt.Answer, err error) []balance.Load {
	if a != nil {
		return a.Loads
	}
	if notRun, ok := errors.AsType[*attempt.NotRun](err); ok {
		return notRun.Loads
	}
	if broken, ok := errors.AsType[*attempt.Broken](err); ok {
		return broken.Loads
	}
	return nil
}
