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

// serveKeyed serves a non-idempotent call that has an idempotency key.
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
	answer, loop, err := h.runAttempts(ctx, c)
	if err != nil {
		if _, ok := errors.AsType[*attempt.NotRun](err); ok {
			_ = h.Ledger.Release(cancelledContext, c.ledgerKey(), c.claimID)
		}
		h.refuse(w, c, loop, refusalOf(err))
		return
	}
	// The answer is sent without waiting until it is recorded. A repeated request that arrives before that is answered with
	// the conflict that the call is in progress.
	_ = h.Ledger.Complete(cancelledContext, c.ledgerKey(), c.claimID, recordable(answer))
	h.answer(w, c, loop, answer)
}

// cancelledContext makes the ledger record in the background instead of waiting.
var cancelledContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

func (c *call) ledgerKey() ledger.Key { return ledger.KeyOf(c.service, c.key) }

// claim claims the idempotency key of the call. It returns a result in state Granted or Replay, or a refusal. If the key is
// in progress, it retries for up to half of the time that remains until the deadline.
func (h *Handler) claim(ctx context.Context, c *call) (ledger.ClaimResult, *refusal) {
	if h.Ledger == nil {
		return ledger.ClaimResult{}, ledgerRefusal(ledger.ErrUncertain)
	}
	claim := ledger.Claim{
		Key: c.ledgerKey(), Body: ledger.HashOf([]byte(c.method), []byte(c.target.Raw), c.body),
		CallID: c.claimID, Timeout: c.deadline.Sub(h.Now()),
	}
	waitLeft := c.deadline.Sub(h.Now()) / 2
	for interval := initialClaimInterval; ; interval *= 2 {
		result, err := h.Ledger.Claim(ctx, claim)
		if err != nil {
			return result, ledgerRefusal(err)
		}
		if result.State != ledger.InProgress || waitLeft < interval || wait.For(ctx, interval) != nil {
			return result, refusalOfClaim(result.State)
		}
		waitLeft -= interval
	}
}

// initialClaimInterval is the delay before a claim is retried for the first time because its key was in progress. The delay
// doubles with each retry. Retrying gives a caller who repeats a request early the first answer instead of a conflict.
const initialClaimInterval = 30 * time.Millisecond

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

// ledgerRefusal returns the refusal of a call whose claim failed with err. Its outcome is not-run only if the ledger has no
// earlier call with the key. Otherwise a caller who repeats a booking could conclude that the booking was not made.
func ledgerRefusal(err error) *refusal {
	r := notRun(http.StatusServiceUnavailable, "the idempotency key could not be recorded, so the work was not started")
	r.retryAfter = defaultRetryAfter
	if !errors.Is(err, ledger.ErrUnavailable) {
		r.outcome = contract.OutcomeUnknown
		r.reason = "this request did not run, but whether an earlier one with this idempotency key ran cannot be told now"
	}
	return r
}

// beforeKeyLookup adapts the refusal of a call whose idempotency key was not looked up. If another node, or this node with
// other settings, might have accepted the call, an earlier request with the key may have run, so the outcome is unknown.
// All other refusals are the same at every node.
func (r *refusal) beforeKeyLookup(request *http.Request) *refusal {
	dependsOnNode := r.status == http.StatusServiceUnavailable || r.status == http.StatusNotFound ||
		r.status == http.StatusRequestEntityTooLarge
	safe := request.Method == http.MethodGet || request.Method == http.MethodHead || request.Method == http.MethodOptions
	if !dependsOnNode || safe || request.Header.Get(contract.HeaderIdempotencyKey) == "" {
		return r
	}
	r.outcome = contract.OutcomeUnknown
	r.reason = "this request did not run (" + r.reason + "), but whether an earlier one with this idempotency key ran was not looked up"
	return r
}

// replay sends the recorded answer of an earlier request with the same key.
func (h *Handler) replay(w http.ResponseWriter, c *call, recorded *peerpb.RecordedAnswer) {
	w.Header().Set(contract.HeaderReplayed, "true")
	header := make(http.Header, len(recorded.GetHead().GetHeaders()))
	for _, line := range recorded.GetHead().GetHeaders() {
		header[line.Name] = line.Strings()
	}
	h.answer(w, c, nil, &attempt.Answer{
		Status: int(recorded.GetHead().GetStatus()), Header: header,
		ContentLength: recorded.GetHead().GetContentLength(), Body: recorded.Body,
	})
}

// recordable returns the form of an answer that the ledger stores, or nil for a streamed answer, of which only the beginning
// is available. The ledger holder drops an answer that is larger than the settings allow.
func recordable(a *attempt.Answer) *peerpb.RecordedAnswer {
	if a.Rest != nil {
		return nil
	}
	r := &peerpb.RecordedAnswer{
		Head: &peerpb.AnswerHead{Status: int32(a.Status), ContentLength: a.ContentLength},
		Body: a.Body,
	}
	for name, values := range forwardHeader(a.Header) {
		r.Head.Headers = append(r.Head.Headers, peerpb.NewHeader(name, values))
	}
	return r
}
