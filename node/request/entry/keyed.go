package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// ClaimState is what the ledger says of a key.
type ClaimState int

// States of a claim.
const (
	// ClaimGranted allows this call, and no other, to make attempts.
	ClaimGranted ClaimState = iota + 1
	// ClaimReplay means that the work ran and its answer is recorded.
	ClaimReplay
	// ClaimInProgress means that another call with the key is being worked on.
	ClaimInProgress
	// ClaimUnknown means that the work may have run.
	ClaimUnknown
	// ClaimMismatch means that the key belongs to another request.
	ClaimMismatch
)

// ErrLedger is wrapped by the errors of Ledger.Claim. No attempt may be sent after it.
var ErrLedger = errors.New("entry: the ledger is not available")

// Ledger records keyed work, so that it runs at most once.
type Ledger interface {
	// Claim returns the state of the key and, with ClaimReplay, the recorded answer. Its body is nil when it was too large
	// to record.
	Claim(ctx context.Context, key, bodyHash []byte, callID string, timeout time.Duration) (ClaimState, *attempt.Answer, error)
	// Complete records the answer in the background.
	Complete(key []byte, callID string, a *attempt.Answer, retention time.Duration)
	// Release gives the claim up in the background. Only for a call of which no attempt ran.
	Release(key []byte, callID string)
}

// serveKeyed serves non-idempotent work with an idempotency key.
func (h *Handler) serveKeyed(ctx context.Context, w http.ResponseWriter, c *call) {
	if refused := h.claim(ctx, w, c); refused != nil {
		if refused != answered {
			h.refuse(w, c, nil, refused)
		}
		return
	}
	answer, run, err := h.attempts(ctx, c)
	if err != nil {
		if _, ok := errors.AsType[*attempt.NotRun](err); ok {
			h.Ledger.Release(c.ledgerKey(), c.id)
		}
		h.refuse(w, c, run, refusalOf(err))
		return
	}
	retention := time.Duration(c.values.Ledger.RetentionS) * time.Second
	h.Ledger.Complete(c.ledgerKey(), c.id, recorded(answer, c.values.Ledger.MaxAnswerBytes), retention)
	h.answer(w, c, run, answer)
}

// answered is returned by claim when it gave the recorded answer to the caller.
var answered = &refusal{}

// claim returns nil when this call may make attempts.
func (h *Handler) claim(ctx context.Context, w http.ResponseWriter, c *call) *refusal {
	if h.Ledger == nil {
		return ledgerRefusal()
	}
	state, answer, err := h.Ledger.Claim(ctx, c.ledgerKey(), c.bodyHash(), c.id, c.deadline.Sub(h.Now()))
	if err != nil {
		return ledgerRefusal()
	}
	switch state {
	case ClaimGranted:
		return nil
	case ClaimReplay:
		h.replay(w, c, answer)
		return answered
	case ClaimInProgress:
		return &refusal{
			status: http.StatusConflict, outcome: contract.OutcomeUnknown, retryAfter: defaultRetryAfter,
			reason: "a request with this idempotency key is in progress",
		}
	case ClaimMismatch:
		return notRun(http.StatusUnprocessableEntity, "this idempotency key was used for another request")
	}
	return &refusal{
		status: http.StatusConflict, outcome: contract.OutcomeUnknown,
		reason: "an earlier request with this idempotency key may have run; it is not repeated",
	}
}

func ledgerRefusal() *refusal {
	r := notRun(http.StatusServiceUnavailable, "the idempotency key could not be recorded, so the work was not started")
	r.retryAfter = defaultRetryAfter
	return r
}

// replay gives the recorded answer. An answer without a recorded body is told as a fact of its own.
func (h *Handler) replay(w http.ResponseWriter, c *call, a *attempt.Answer) {
	w.Header().Set(contract.HeaderReplayed, "true")
	if a.Body == nil && a.ContentLength > 0 {
		h.refuse(w, c, nil, &refusal{
			status: http.StatusConflict, outcome: contract.OutcomeRun,
			reason: "the work ran; its answer was too large to be recorded",
		})
		return
	}
	h.answer(w, c, nil, a)
}

// recorded returns what the ledger keeps of an answer.
func recorded(a *attempt.Answer, limit int) *attempt.Answer {
	kept := &attempt.Answer{Status: a.Status, Header: forwardHeader(a.Header), ContentLength: a.ContentLength}
	if a.Rest == nil && len(a.Body) <= limit {
		kept.Body = append([]byte{}, a.Body...)
		return kept
	}
	kept.ContentLength = max(kept.ContentLength, 1)
	return kept
}
