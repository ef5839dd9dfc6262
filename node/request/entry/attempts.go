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

// run is the attempts of one call. It belongs to the goroutine of the call, or to the one that has taken it over; only try
// runs beside it.
type run struct {
	handler *Handler
	call    *call
	retries *retry.Call
	// reserved is what was taken from the pool of the parent attempt.
	reserved int
	tried    []string
	results  chan result
	pending  []*attemptInProgress
	records  []AttemptRecord
	// failed is a server error; it is given to the caller when no better answer comes.
	failed *attempt.Answer
}

type attemptInProgress struct {
	server  balance.Server
	request *attempt.Request
	passed  int
	hedge   bool
	started time.Time
	cancel  context.CancelFunc
}

type result struct {
	attempt *attemptInProgress
	answer  *attempt.Answer
	err     error
	took    time.Duration
	end     string
}

// attempts makes attempts until there is an answer or a final error, which is *attempt.NotRun or *attempt.Broken.
func (h *Handler) attempts(ctx context.Context, c *call) (*attempt.Answer, *run, error) {
	r := h.newRun(c)
	answer, err := r.make(ctx)
	return answer, r, err
}

func (h *Handler) newRun(c *call) *run {
	h.Track(c.service)
	r := &run{handler: h, call: c}
	allowance := -1
	if c.depth > 0 || c.parent != "" {
		r.reserved = h.Pools.Reserve(c.parent, c.values.Retry.MaxPerCall)
		allowance = r.reserved
	}
	r.retries = h.Retrier.Begin(c.service, c.idempotent, c.deadline, allowance)
	r.results = make(chan result, c.values.Retry.MaxPerCall+1)
	return r
}

// make makes the first attempt in the goroutine of the call: a goroutine for each attempt would grow its stack anew and cost
// two more hand-overs. If the attempt takes so long that a hedge is worth a look, another goroutine takes the run over.
func (r *run) make(ctx context.Context) (*attempt.Answer, error) {
	server, err := r.pick()
	if err != nil {
		return r.finish(nil, err)
	}
	ctxFirst, first, err := r.prepare(ctx, server, false)
	if err != nil {
		return r.finish(nil, err)
	}
	delay, hedges := r.hedgeDelay()
	if !hedges {
		r.try(ctxFirst, first)
		return r.finish(r.await(ctx, &hedgeTimer{}))
	}
	taken := make(chan outcome, 1)
	timer := time.AfterFunc(delay, func() {
		r.hedge(ctx)
		// finish cancels the first attempt if it lost, which ends try below.
		answer, err := r.finish(r.await(ctx, newHedgeTimer(delay/2, delay)))
		taken <- outcome{answer, err}
	})
	r.try(ctxFirst, first)
	if timer.Stop() {
		return r.finish(r.await(ctx, newHedgeTimer(r.handler.Now().Sub(first.started), delay)))
	}
	o := <-taken
	return o.answer, o.err
}

// outcome is how a run ended.
type outcome struct {
	answer *attempt.Answer
	err    error
}

// await takes the ends of attempts, and makes further attempts, until there is an answer or a final error.
func (r *run) await(ctx context.Context, hedge *hedgeTimer) (*attempt.Answer, error) {
	defer hedge.stop()
	// unknown is the first failure that leaves the outcome open; it outlives later proofs of not-run.
	var unknown error
	for {
		res := r.next(ctx, hedge)
		if answer := r.take(res); answer != nil {
			return answer, nil
		}
		if _, broken := errors.AsType[*attempt.Broken](res.err); broken && unknown == nil {
			unknown = res.err
		}
		if err := r.again(ctx, res.err); err != nil && len(r.pending) == 0 {
			return r.giveUp(res.err, unknown)
		}
	}
}

// next waits for the end of an attempt and hedges meanwhile.
func (r *run) next(ctx context.Context, hedge *hedgeTimer) result {
	select { // usually the first attempt has ended already, and no timer is needed
	case res := <-r.results:
		return res
	default:
	}
	for {
		select {
		case res := <-r.results:
			return res
		case <-hedge.fired():
			r.hedge(ctx)
			hedge.again()
		}
	}
}

// pick chooses a server that was not tried yet or, when all were, any.
func (r *run) pick() (balance.Server, error) {
	if own := r.handler.OwnLoad(r.call.service); own != nil {
		r.handler.Balancer.Observe(r.handler.NodeID, own)
	}
	server, err := r.handler.Balancer.Pick(r.call.service, r.tried)
	if err != nil && len(r.tried) > 0 {
		server, err = r.handler.Balancer.Pick(r.call.service, nil)
	}
	if err != nil {
		return server, &attempt.NotRun{Reason: attempt.ReasonNoServer}
	}
	return server, nil
}

// giveUp ends the call without a good answer.
func (r *run) giveUp(last, unknown error) (*attempt.Answer, error) {
	if r.failed != nil {
		return r.failed, nil
	}
	if unknown != nil {
		return nil, unknown
	}
	return nil, last
}

// launch starts an attempt at a server in a goroutine of its own.
func (r *run) launch(ctx context.Context, server balance.Server, hedge bool) error {
	ctx, a, err := r.prepare(ctx, server, hedge)
	if err == nil {
		go r.try(ctx, a)
	}
	return err
}

// prepare books an attempt at a server, which try carries out in the returned context.
func (r *run) prepare(ctx context.Context, server balance.Server, hedge bool) (context.Context, *attemptInProgress, error) {
	h := r.handler
	now := h.Now()
	remaining := r.call.deadline.Sub(now)
	if remaining <= 0 {
		return nil, nil, &attempt.NotRun{Reason: attempt.ReasonDeadline}
	}
	r.tried = append(r.tried, server.ID)
	stay := !r.retries.MayRedirect()
	a := &attemptInProgress{server: server, passed: r.retries.DelegateAllowance(), hedge: hedge, started: now}
	a.request = r.call.request(server.ID, remaining, a.passed)
	a.request.NoRedirect, a.request.From = stay, h.NodeID
	ctx, a.cancel = context.WithCancel(ctx)
	r.pending = append(r.pending, a)
	h.Balancer.Started(server)
	return ctx, a, nil
}

// try carries out one attempt and reports its end.
func (r *run) try(ctx context.Context, a *attemptInProgress) {
	h := r.handler
	life := attempt.NewStateMachine()
	_ = life.Fire(attempt.EventSend)
	answer, err := r.do(ctx, a)
	took := h.Now().Sub(a.started)
	kind := resultKind(answer, err)
	_ = life.Fire(eventOf(kind))
	h.Balancer.Finished(a.server, balance.Result{Kind: kind, Latency: took})
	h.Balancer.Observe(a.server.NodeID, loadsOf(answer, err))
	r.results <- result{attempt: a, answer: answer, err: err, took: took, end: life.Release()}
}

func (r *run) do(ctx context.Context, a *attemptInProgress) (*attempt.Answer, error) {
	if a.server.NodeID == r.handler.NodeID {
		return r.handler.Local.Do(ctx, a.request)
	}
	answer, err := r.handler.Remote.Do(ctx, a.server, a.request)
	if err != nil {
		return nil, err
	}
	return holdRest(ctx, answer, r.call.values.Call.HoldBytes)
}

// holdRest completes an answer of another node that is not longer than limit. Until then it may break on its way, and
// could neither be retried nor reported once its head has gone to the caller.
func holdRest(ctx context.Context, a *attempt.Answer, limit int) (*attempt.Answer, error) {
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

// take books the end of an attempt and returns its answer if it is the call's answer.
func (r *run) take(res result) *attempt.Answer {
	r.settle(res)
	if res.answer == nil {
		return nil
	}
	if r.mayBeBettered(res.answer) {
		r.failed = res.answer
		return nil
	}
	r.handler.Retrier.Observe(r.call.service, res.took)
	return res.answer
}

// mayBeBettered reports whether another server may answer an idempotent call better than with this server error. A
// server that fails fast would otherwise answer more calls than its share.
func (r *run) mayBeBettered(a *attempt.Answer) bool {
	return r.call.idempotent && a.Status >= http.StatusInternalServerError && a.Rest == nil
}

func (r *run) settle(res result) {
	for i, a := range r.pending {
		if a == res.attempt {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			break
		}
	}
	used, reported := retriesUsed(res)
	if reported {
		r.retries.SettleAllowance(res.attempt.passed, used)
	} else {
		r.retries.ForfeitAllowance(res.attempt.passed)
	}
	r.records = append(r.records, AttemptRecord{
		Server: res.attempt.server.ID, After: res.attempt.started.Sub(r.call.started), Took: res.took, End: res.end,
		Hedge: res.attempt.hedge,
	})
}

// again starts another attempt after a failed one, if the budgets allow it.
func (r *run) again(ctx context.Context, err error) error {
	failure, hint := retry.Unknown, ""
	if notRun, ok := errors.AsType[*attempt.NotRun](err); ok {
		failure = retry.NotRun
		if notRun.Reason == attempt.ReasonSiblingFree {
			failure, hint = retry.Redirected, notRun.Hint
		}
	}
	if reason := r.handler.Retrier.Retry(r.retries, failure); reason != "" {
		return errNoMoreAttempts
	}
	server, known := r.handler.Balancer.Lookup(hint)
	if !known {
		if server, err = r.pick(); err != nil {
			return err
		}
	}
	return r.launch(ctx, server, false)
}

// errNoMoreAttempts means that the budgets allow no further attempt.
var errNoMoreAttempts = errors.New("entry: no further attempt")

// hedge starts an attempt beside the one in progress if another server is much better by now.
func (r *run) hedge(ctx context.Context) {
	if len(r.pending) != 1 {
		return
	}
	server, err := r.handler.Balancer.Hedge(r.pending[0].server, r.tried)
	if err != nil || r.handler.Retrier.Hedge(r.retries) != "" {
		return
	}
	// Past its deadline the hedge is dropped; the attempt in progress ends by itself.
	_ = r.launch(ctx, server, true)
}

// hedgeDelay returns the time after which a hedge is worth a look, and false for a call that is not hedged.
func (r *run) hedgeDelay() (time.Duration, bool) {
	if !r.call.idempotent {
		return 0, false
	}
	return r.handler.Retrier.HedgeDelay(r.call.service)
}

// hedgeTimer fires when a call has taken so long that a hedge is worth a look, and then at half of that time again. The
// zero value never fires.
type hedgeTimer struct {
	after time.Duration
	every time.Duration
	timer *time.Timer
}

// newHedgeTimer returns a timer for a call that has run for some time, after which it fires first when delay has passed.
func newHedgeTimer(run, delay time.Duration) *hedgeTimer {
	return &hedgeTimer{after: delay - run, every: max(delay/2, 1)}
}

// fired starts the timer when it is first waited for.
func (t *hedgeTimer) fired() <-chan time.Time {
	if t.every == 0 {
		return nil
	}
	if t.timer == nil {
		t.timer = time.NewTimer(t.after)
	}
	return t.timer.C
}

func (t *hedgeTimer) again() { t.timer.Reset(t.every) }

func (t *hedgeTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// finish cancels the attempts that lost against another one and settles with the parent attempt. It passes its arguments
// through.
func (r *run) finish(answer *attempt.Answer, err error) (*attempt.Answer, error) {
	for _, a := range r.pending {
		a.cancel()
		r.retries.ForfeitAllowance(a.passed)
	}
	if lost := len(r.pending); lost > 0 {
		go closeLost(r.results, lost)
	}
	if r.call.parent != "" {
		r.handler.Pools.Settle(r.call.parent, r.reserved, r.retries.Used)
	}
	return answer, err
}

// closeLost closes the answers that nobody waits for any more.
func closeLost(results <-chan result, n int) {
	for range n {
		if res := <-results; res.answer != nil {
			res.answer.Close()
		}
	}
}

func retriesUsed(res result) (used int, reported bool) {
	if res.answer != nil {
		return res.answer.RetriesUsed, true
	}
	if notRun, ok := errors.AsType[*attempt.NotRun](res.err); ok {
		return notRun.RetriesUsed, true
	}
	return 0, false
}

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

func eventOf(kind balance.Kind) string {
	switch kind {
	case balance.OK:
		return attempt.EventAnswer
	case balance.Refused:
		return attempt.EventRefuse
	}
	return attempt.EventBreak
}

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
