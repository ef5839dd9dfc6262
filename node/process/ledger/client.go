package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/internal/wait"
	"github.com/rcrowley/go-metrics"
)

// Errors of a Client.
var (
	// ErrUnavailable means that the claim was not granted, that no attempt may be sent under this call id, and that the
	// holder has no record of an earlier call that may have run under the key.
	ErrUnavailable = errors.New("ledger: claim not granted, no attempt may be sent")
	// ErrUncertain means that the claim was not granted, that no attempt may be sent under this call id, and that an
	// earlier call with the key may have run.
	ErrUncertain = errors.New("ledger: claim not granted, and the key may have been used before")
	// ErrPending means that the outcome or release is not acknowledged yet. Unless the delivery has timed out or the client
	// is closed, it is retried in the background.
	ErrPending = errors.New("ledger: outcome or release not acknowledged yet")
	// ErrBacklog means that the outcome or release was rejected, since the backlog is full or the client is closed.
	ErrBacklog = errors.New("ledger: backlog of outcomes and releases is full or closed")
	// ErrRejected means that the holder has no entry of the claim any more, or that another call owns the key.
	ErrRejected = errors.New("ledger: the key is not owned by the call")
)

// ClaimState is the result of a claim.
type ClaimState int

// Results of a claim.
const (
	// Granted lets this call, and no other, send attempts.
	Granted ClaimState = iota + 1
	// Replay means that an earlier call completed. The result carries its recorded answer.
	Replay
	// ReplayWithoutAnswer means that an earlier call completed, but that its answer is not available, for example because
	// it was too large to record.
	ReplayWithoutAnswer
	// InProgress means that another call owns the key and that its deadline has not passed.
	InProgress
	// Unknown means that an earlier call owns the key and that its deadline passed without a recorded outcome.
	Unknown
	// Mismatch means that the key was used with another request body.
	Mismatch
)

// String returns the name of the state in lower case.
func (s ClaimState) String() string {
	names := [...]string{"invalid", "granted", "replay", "replay-without-answer", "in-progress", "unknown", "mismatch"}
	if s < 0 || int(s) >= len(names) {
		s = 0
	}
	return names[s]
}

// Claim is a request for the right to run keyed work.
type Claim struct {
	Key  Key
	Body Hash
	// CallID is unique to the call. It must not be used again after Claim returned an error or after Release.
	CallID string
	// Timeout is the time after which the claim is reported as unknown if no outcome is recorded.
	Timeout time.Duration
}

// ClaimResult is the result of a claim.
type ClaimResult struct {
	State ClaimState
	// Answer is set for Replay.
	Answer *peerpb.RecordedAnswer
}

// Ledger grants keyed work to one call and records its outcome. Entry nodes use it; Client implements it.
type Ledger interface {
	// Claim returns an error, usually ErrUnavailable or ErrUncertain, when no attempt may be sent.
	Claim(ctx context.Context, c Claim) (ClaimResult, error)
	// Complete records the outcome of granted work and waits for the acknowledgement. When ctx is done first, it returns
	// ErrPending and the delivery continues in the background.
	Complete(ctx context.Context, key Key, callID string, answer *peerpb.RecordedAnswer) error
	// Release frees the key of granted work. It waits like Complete, and must only be called when no attempt can have run.
	Release(ctx context.Context, key Key, callID string) error
}

// Peers calls the ledger handlers of other members. After an error, the request may or may not have taken effect.
type Peers interface {
	Claim(ctx context.Context, member string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	Complete(ctx context.Context, member string, r *peerpb.CompleteRequest) (*peerpb.LedgerReply, error)
	Release(ctx context.Context, member string, r *peerpb.ReleaseRequest) (*peerpb.LedgerReply, error)
}

// ClientConfig configures a Client. Local, Peers and Locate are required.
type ClientConfig struct {
	Local  *Server
	Peers  Peers
	Locate Locate
	// Metrics receives counters named ledger.client.*; nil keeps them private to the client.
	Metrics metrics.Registry
	// MaxClaimDuration bounds the duration of Claim, also when its context allows more. Default 3 s.
	MaxClaimDuration time.Duration
	// MaxBacklog and MaxBacklogBytes bound the outcomes and releases that wait for an acknowledgement. Releases of
	// abandoned claims use at most half of MaxBacklog. Defaults 512 and 4 MiB.
	MaxBacklog      int
	MaxBacklogBytes int
}

// Client is the entry side of the ledger. It is safe for concurrent use.
type Client struct {
	local            *Server
	peers            Peers
	locate           Locate
	metrics          metrics.Registry
	maxClaimDuration time.Duration
	backlog          *backlog
}

var _ Ledger = (*Client)(nil)

const (
	minRetryBackoff = 10 * time.Millisecond
	maxRetryBackoff = 200 * time.Millisecond
)

// NewClient returns a client with the defaults of ClientConfig for zero fields.
func NewClient(c ClientConfig) *Client {
	setDefault(&c.MaxClaimDuration, 3*time.Second)
	setDefault(&c.MaxBacklog, 512)
	setDefault(&c.MaxBacklogBytes, 4<<20)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Client{
		local: c.Local, peers: c.Peers, locate: c.Locate, metrics: c.Metrics, maxClaimDuration: c.MaxClaimDuration,
		backlog: newBacklog(c.MaxBacklog, c.MaxBacklogBytes),
	}
}

// Claim implements Ledger. It retries while the holder changes or its connection breaks. If it fails after it sent the
// claim, it releases the claim in the background, since the claim may have taken effect or may still do so.
func (c *Client) Claim(ctx context.Context, claim Claim) (ClaimResult, error) {
	if _, err := parseKey(claim.Key[:], claim.CallID); err != nil {
		return ClaimResult{}, err
	}
	if c.backlog.has(claim.Key, claim.CallID) {
		// No holder has been asked whether an earlier call ran, so ErrUnavailable would be wrong.
		return ClaimResult{}, ErrUncertain
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(c.maxClaimDuration, claim.Timeout))
	defer cancel()
	sent, refused, hint := false, false, ""
	for backoff := minRetryBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxRetryBackoff) {
		send := sendToHolder(c, &peerpb.ClaimRequest{
			Key: claim.Key[:], BodyHash: claim.Body[:], CallId: claim.CallID,
			TimeoutUs: (claim.Timeout - time.Since(start)).Microseconds(),
		}, (*Server).HandleClaim, Peers.Claim)
		reply, err := send(ctx, hint)
		if !errors.Is(err, errNoHolder) {
			sent = true
		}
		if err == nil && reply.GetState() != peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER {
			if result, ok := claimResult(reply); ok {
				return result, nil
			}
			refused = reply.GetState() == peerpb.ClaimState_CLAIM_STATE_REFUSED
			break
		}
		hint = nextHint(hint, reply.GetHolderNodeId())
		_ = wait.Backoff(ctx, backoff)
	}
	c.count("claims-given-up")
	if sent {
		c.releaseAbandoned(claim)
	}
	if refused {
		return ClaimResult{}, ErrUnavailable
	}
	return ClaimResult{}, ErrUncertain
}

// nextHint returns the member to try next, or "" for the one that locate returns. It never follows two hints in a row, so
// that members with different views of the membership cannot redirect a request in a loop.
func nextHint(previous, hint string) string {
	if previous != "" {
		return ""
	}
	return hint
}

// claimResult converts a reply to a result. It returns false if the claim was refused or the holder is unavailable.
func claimResult(r *peerpb.ClaimReply) (ClaimResult, bool) {
	switch r.GetState() {
	case peerpb.ClaimState_CLAIM_STATE_GRANTED:
		return ClaimResult{State: Granted}, true
	case peerpb.ClaimState_CLAIM_STATE_REPLAY:
		if r.GetAnswer() == nil {
			return ClaimResult{State: ReplayWithoutAnswer}, true
		}
		return ClaimResult{State: Replay, Answer: r.GetAnswer()}, true
	case peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS:
		return ClaimResult{State: InProgress}, true
	case peerpb.ClaimState_CLAIM_STATE_UNKNOWN:
		return ClaimResult{State: Unknown}, true
	case peerpb.ClaimState_CLAIM_STATE_MISMATCH:
		return ClaimResult{State: Mismatch}, true
	default:
		return ClaimResult{}, false
	}
}

// errNoHolder means that no member is known to hold the range. Nothing was sent.
var errNoHolder = errors.New("ledger: no member is known to hold the range")

// target returns the member to send a request to, which is the hint if there is one. It sets self for this node.
func (c *Client) target(key []byte, hint string) (member string, self bool, err error) {
	member, self, ok := c.locate(Key(key).Range())
	if hint != "" && hint != member {
		return hint, false, nil
	}
	if !ok {
		return "", false, errNoHolder
	}
	return member, self, nil
}

// sendToHolder returns a function that sends a request to the holder of its key. It calls the local server if this node is
// the holder, and sends the request to the hinted member if there is a hint.
func sendToHolder[Request interface{ GetKey() []byte }, Reply any](
	c *Client, r Request,
	local func(*Server, context.Context, Request) (Reply, error),
	remote func(Peers, context.Context, string, Request) (Reply, error),
) func(ctx context.Context, hint string) (Reply, error) {
	return func(ctx context.Context, hint string) (reply Reply, err error) {
		member, self, err := c.target(r.GetKey(), hint)
		switch {
		case err != nil:
			return reply, err
		case self:
			return local(c.local, ctx, r)
		}
		return remote(c.peers, ctx, member, r)
	}
}

// Complete implements Ledger.
func (c *Client) Complete(ctx context.Context, key Key, callID string, answer *peerpb.RecordedAnswer) error {
	r := &peerpb.CompleteRequest{Key: key[:], CallId: callID, Answer: answer}
	return c.startAndWait(ctx, &task{
		key: key, call: callID, size: len(answer.GetBody()), timeout: completeTimeout,
		send: sendToHolder(c, r, (*Server).HandleComplete, Peers.Complete),
	})
}

// Release implements Ledger.
func (c *Client) Release(ctx context.Context, key Key, callID string) error {
	return c.startAndWait(ctx, c.releaseTask(key, callID, releaseTimeout))
}

func (c *Client) releaseAbandoned(claim Claim) {
	t := c.releaseTask(claim.Key, claim.CallID, abandonedReleaseTimeout)
	t.lowPriority = true
	if c.start(t) != nil {
		c.count("releases-dropped")
	}
}

func (c *Client) releaseTask(key Key, callID string, timeout time.Duration) *task {
	r := &peerpb.ReleaseRequest{Key: key[:], CallId: callID}
	return &task{
		key: key, call: callID, timeout: timeout,
		send: sendToHolder(c, r, (*Server).HandleRelease, Peers.Release),
	}
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter("ledger.client."+name, c.metrics).Inc(1)
}
