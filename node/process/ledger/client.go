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
	// holder knows of no earlier call that may have run under the key.
	ErrUnavailable = errors.New("ledger: claim not granted, no attempt may be sent")
	// ErrUncertain means that the claim was not granted and that no attempt may be sent under this call id, and that an
	// earlier call with the key may have run.
	ErrUncertain = errors.New("ledger: claim not granted, and the key may have been used before")
	// ErrPending means that the outcome or release is not acknowledged yet and is tried further in the background.
	ErrPending = errors.New("ledger: not acknowledged yet")
	// ErrBacklog means that too many outcomes and releases wait already and that this one was not taken.
	ErrBacklog = errors.New("ledger: backlog is full")
	// ErrRejected means that the holder does not know the claim any more, or that another call owns the key.
	ErrRejected = errors.New("ledger: the key is not owned by the call")
)

// ClaimState is the result of a claim.
type ClaimState int

// Results of a claim.
const (
	// Granted lets this call, and no other, send attempts.
	Granted ClaimState = iota + 1
	// Replay comes with the recorded answer of an earlier call.
	Replay
	// ReplayWithoutAnswer means that the work of an earlier call ran, and that its answer was too large to keep.
	ReplayWithoutAnswer
	// InProgress means that another call owns the key and is before its deadline.
	InProgress
	// Unknown means that an earlier call owns the key and that its outcome was never recorded.
	Unknown
	// Mismatch means that the key was used with another request body.
	Mismatch
)

// String returns the state in lower case.
func (s ClaimState) String() string {
	names := [...]string{"invalid", "granted", "replay", "replay-without-answer", "in-progress", "unknown", "mismatch"}
	if s < 0 || int(s) >= len(names) {
		s = 0
	}
	return names[s]
}

// Claim asks for the right to run keyed work.
type Claim struct {
	Key  Key
	Body Hash
	// CallID is unique to the call. After Claim returned an error or after Release, it must not claim again.
	CallID string
	// Timeout is the time after which the claim reads as unknown if no outcome was recorded.
	Timeout time.Duration
}

// ClaimResult is what the ledger knows of the key.
type ClaimResult struct {
	State ClaimState
	// Answer is set for Replay.
	Answer *peerpb.RecordedAnswer
}

// Ledger is what an entry node uses. Client implements it.
type Ledger interface {
	// Claim returns an error, usually ErrUnavailable or ErrUncertain, when no attempt may be sent.
	Claim(ctx context.Context, c Claim) (ClaimResult, error)
	// Complete records the outcome of granted work. It waits for the acknowledgement until ctx is done, and goes on in
	// the background after that; then it returns ErrPending.
	Complete(ctx context.Context, key Key, callID string, answer *peerpb.RecordedAnswer) error
	// Release frees the key of granted work, like Complete. It must only be called when no attempt can have run.
	Release(ctx context.Context, key Key, callID string) error
}

// Peers calls the ledger handlers of other members. An error means that the fate of the request is not known.
type Peers interface {
	Claim(ctx context.Context, member string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	Complete(ctx context.Context, member string, r *peerpb.CompleteRequest) (*peerpb.LedgerReply, error)
	Release(ctx context.Context, member string, r *peerpb.ReleaseRequest) (*peerpb.LedgerReply, error)
}

// ClientConfig of a Client. Local, Peers and Locate are required.
type ClientConfig struct {
	Local  *Server
	Peers  Peers
	Locate Locate
	// Metrics receives counters named ledger.client.*; nil keeps them private to the client.
	Metrics metrics.Registry
	// MaxClaim is the longest that a claim takes, whatever its context allows. Default 3 s.
	MaxClaim time.Duration
	// MaxBacklog and MaxBacklogBytes bound the outcomes and releases that wait for an acknowledgement; releases of given
	// up claims use at most half. Defaults 512 and 4 MiB.
	MaxBacklog      int
	MaxBacklogBytes int
}

// Client is the entry side of the ledger. It is safe for concurrent use.
type Client struct {
	local    *Server
	peers    Peers
	locate   Locate
	metrics  metrics.Registry
	maxClaim time.Duration
	backlog  *backlog
}

var _ Ledger = (*Client)(nil)

const (
	minRetry = 10 * time.Millisecond
	maxRetry = 200 * time.Millisecond
)

// NewClient returns a client.
func NewClient(c ClientConfig) *Client {
	setDefault(&c.MaxClaim, 3*time.Second)
	setDefault(&c.MaxBacklog, 512)
	setDefault(&c.MaxBacklogBytes, 4<<20)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Client{
		local: c.Local, peers: c.Peers, locate: c.Locate, metrics: c.Metrics, maxClaim: c.MaxClaim,
		backlog: newBacklog(c.MaxBacklog, c.MaxBacklogBytes),
	}
}

// Claim implements Ledger. It retries while the holder changes or its connection breaks. When it gives up after the claim
// was sent, it releases the claim in the background, since the claim may have taken effect or may still do so.
func (c *Client) Claim(ctx context.Context, claim Claim) (ClaimResult, error) {
	if _, err := parseKey(claim.Key[:], claim.CallID); err != nil {
		return ClaimResult{}, err
	}
	if c.backlog.has(claim.Key, claim.CallID) {
		// No holder was asked whether an earlier call ran.
		return ClaimResult{}, ErrUncertain
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(c.maxClaim, claim.Timeout))
	defer cancel()
	sent, refused, hint := false, false, ""
	for backoff := minRetry; ctx.Err() == nil; backoff = min(2*backoff, maxRetry) {
		send := toHolder(c, &peerpb.ClaimRequest{
			Key: claim.Key[:], BodyHash: claim.Body[:], CallId: claim.CallID,
			TimeoutUs: (claim.Timeout - time.Since(start)).Microseconds(),
		}, (*Server).HandleClaim, Peers.Claim)
		reply, err := send(ctx, hint)
		if !errors.Is(err, errNoHolder) {
			sent = true
		}
		if err == nil && reply.GetState() != peerpb.ClaimState_CLAIM_STATE_NOT_HOLDER {
			if result, ok := resultOf(reply); ok {
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
		c.releaseGivenUp(claim)
	}
	if refused {
		return ClaimResult{}, ErrUnavailable
	}
	return ClaimResult{}, ErrUncertain
}

// nextHint follows a hint of a member that does not hold the range, but not twice in a row, so that members with
// different views do not keep a request going between them.
func nextHint(followed, hint string) string {
	if followed != "" {
		return ""
	}
	return hint
}

func resultOf(r *peerpb.ClaimReply) (ClaimResult, bool) {
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

// errNoHolder means that no member is known that holds the range, so nothing was sent.
var errNoHolder = errors.New("ledger: no holder is known")

// target returns the member to ask, which is the hint if there is one; self means this node.
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

// toHolder returns a function that has a request handled by the holder of its key, which may be this node. The holder is the
// hint if there is one.
func toHolder[Request interface{ GetKey() []byte }, Reply any](
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
	return c.await(ctx, &task{
		key: key, call: callID, size: len(answer.GetBody()), limit: completeLimit,
		send: toHolder(c, r, (*Server).HandleComplete, Peers.Complete),
	})
}

// Release implements Ledger.
func (c *Client) Release(ctx context.Context, key Key, callID string) error {
	return c.await(ctx, c.releaseTask(key, callID, releaseLimit))
}

func (c *Client) releaseGivenUp(claim Claim) {
	t := c.releaseTask(claim.Key, claim.CallID, givenUpLimit)
	t.minor = true
	if c.start(t) != nil {
		c.count("releases-dropped")
	}
}

func (c *Client) releaseTask(key Key, callID string, limit time.Duration) *task {
	r := &peerpb.ReleaseRequest{Key: key[:], CallId: callID}
	return &task{
		key: key, call: callID, limit: limit,
		send: toHolder(c, r, (*Server).HandleRelease, Peers.Release),
	}
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter("ledger.client."+name, c.metrics).Inc(1)
}
