package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/internal/wait"
	"github.com/radishstand/radishstand/node/process/ledger"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// serveKeyed serves non-idempotent work with an idempotency key.
func (h *Handler) serveKeyed(ctx context.Context, w http.ResponseWriter, c *call) {
	result, refused := h.claim(ctx, c)
	if refused != nil {
		h.refuse(w, c, nil, refused)
		return
	}
	if result.State == ledger.Replay {
		h.replay(w, c, result.Answer)
		return
	}
	answer, run, err := h.attempts(ctx, c)
	if err != nil {
		if _, ok := errors.AsType[*attempt.NotRun](err); ok {
			_ = h.Ledger.Release(ended, c.ledgerKey(), c.claimID)
		}
		h.refuse(w, c, run, refusalOf(err))
		return
	}
	// The answer is not held back until it is recorded. A repeat that comes first is told that the call is in progress.
	_ = h.Ledger.Complete(ended, c.ledgerKey(), c.claimID, recorded(answer))
	h.answer(w, c, run, answer)
}

// ended is a context that has ended. With it, the ledger records in the background.
var ended = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

func (c *call) ledgerKey() ledger.Key { return ledger.KeyOf(c.service, c.key) }

// claim returns a result in state Granted or Replay, or a refusal.
func (h *Handler) claim(ctx context.Context, c *call) (ledger.ClaimResult, *refusal) {
	if h.Ledger == nil {
		return ledger.ClaimResult{}, ledgerRefusal(ledger.ErrUncertain)
	}
	claim := ledger.Claim{
		Key: c.ledgerKey(), Body: ledger.HashOf([]byte(c.method), []byte(c.target), c.body),
		CallID: c.claimID, Timeout: c.deadline.Sub(h.Now()),
	}
	patience := c.deadline.Sub(h.Now()) / 2
	for interval := firstRepeat; ; interval *= 2 {
		result, err := h.Ledger.Claim(ctx, claim)
		if err != nil {
			return result, ledgerRefusal(err)
		}
		if result.State != ledger.InProgress || patience < interval || wait.For(ctx, interval) != nil {
			return result, refusalOfClaim(result.State)
		}
		patience -= interval
	}
}

// firstRepeat is the first wait before a claim that found the key in progress is repeated; it doubles. A caller who
// repeats a request early gets the answer of the first one instead of a conflict.
const firstRepeat = 30 * time.Millisecond

func refusalOfClaim(state ledger.ClaimState) *refusal {
	switch state {
	case ledger.Granted, ledger.Replay:
		return nil
	case ledger.InProgress:
		return &refusal{
			status: http.StatusConflict, outcome: contract.OutcomeUnknown, retryAfter: defaultRetryAfter,
			reason: "a request with this idempotency key is in progress",
		}
	case ledger.Mismatch:
		return notRun(http.StatusUnprocessableEntity, "this idempotency key was used for another request")
	case ledger.ReplayWithoutAnswer:
		return &refusal{
			status: http.StatusConflict, outcome: contract.OutcomeRun,
			reason: "an earlier request with this idempotency key ran; its answer is not available",
		}
	}
	return &refusal{
		status: http.StatusConflict, outcome: contract.OutcomeUnknown,
		reason: "an earlier request with this idempotency key may have run; it is not repeated",
	}
}

// ledgerRefusal answers a call whose claim was not granted. It says not-run only when the ledger knows of no earlier call
// with the key: a caller who repeats a booking would otherwise take the booking for not made.
func ledgerRefusal(err error) *refusal {
	r := notRun(http.StatusServiceUnavailable, "the idempotency key could not be recorded, so the work was not started")
	r.retryAfter = defaultRetryAfter
	if !errors.Is(err, ledger.ErrUnavailable) {
		r.outcome = contract.OutcomeUnknown
		r.reason = "this request did not run, but whether an earlier one with this idempotency key ran cannot be told now"
	}
	return r
}

// beforeClaim returns the refusal of a call that came before its key was looked up. Where another node, or this one with
// other settings, would have taken the call, an earlier request with the key may have run. Other refusals are the same at
// every node.
func (r *refusal) beforeClaim(request *http.Request) *refusal {
	depends := r.status == http.StatusServiceUnavailable || r.status == http.StatusNotFound || r.status == http.StatusRequestEntityTooLarge
	repeatable := request.Method == http.MethodGet || request.Method == http.MethodHead || request.Method == http.MethodOptions
	if !depends || repeatable || request.Header.Get(contract.HeaderIdempotencyKey) == "" {
		return r
	}
	r.outcome = contract.OutcomeUnknown
	r.reason = "this request did not run (" + r.reason + "), but whether an earlier one with this idempotency key ran was not looked up"
	return r
}

// replay gives the recorded answer again.
func (h *Handler) replay(w http.ResponseWriter, c *call, recorded *peerpb.RecordedAnswer) {
	w.Header().Set(contract.HeaderReplayed, "true")
	header := make(http.Header, len(recorded.GetHead().GetHeaders()))
	for _, line := range recorded.GetHead().GetHeaders() {
		header[line.Name] = line.Values
	}
	h.answer(w, c, nil, &attempt.Answer{
		Status: int(recorded.GetHead().GetStatus()), Header: header,
		ContentLength: recorded.GetHead().GetContentLength(), Body: recorded.Body,
	})
}

// recorded returns what the ledger keeps of an answer; nil for a streamed one, of which only the beginning is at hand.
// The holder drops an answer that is larger than the settings allow.
func recorded(a *attempt.Answer) *peerpb.RecordedAnswer {
	if a.Rest != nil {
		return nil
	}
	r := &peerpb.RecordedAnswer{
		Head: &peerpb.AnswerHead{Status: int32(a.Status), ContentLength: a.ContentLength},
		Body: a.Body,
	}
	for name, values := range forwardHeader(a.Header) {
		r.Head.Headers = append(r.Head.Headers, &peerpb.Header{Name: name, Values: values})
	}
	return r
}
