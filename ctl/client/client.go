// Package client calls the operators' HTTP API of a node.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/ctl/cli"
)

const (
	// requestTimeout bounds one request. The node's own submission of a change ends earlier.
	requestTimeout = 15 * time.Second
	maxAnswerBytes = 64 << 20
	// resolvePause is the time between submissions of a change whose outcome is unknown.
	resolvePause = 500 * time.Millisecond
	inForcePause = 50 * time.Millisecond
)

// ErrUnknownOutcome means that a change may or may not have been accepted.
var ErrUnknownOutcome = errors.New("the outcome of the change is unknown")

// APIError is an answer of the node that says no.
type APIError struct {
	Status int
	Body   operator.Error
}

// Error implements error.
func (e *APIError) Error() string {
	text := e.Body.Message
	switch {
	case len(e.Body.Problems) > 0:
		// The message repeats the list in one line.
		text = "settings refused"
	case len(e.Body.Conflicts) > 0:
		text = "settings changed since the base version"
	}
	if e.Body.Code != "" {
		text = e.Body.Code + ": " + text
	}
	for _, p := range e.Body.Problems {
		text += "\n  " + p
	}
	for _, c := range e.Body.Conflicts {
		text += "\n  " + c.String()
	}
	return text
}

// Client calls one node. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
	// fault is what is wrong with the options; every request returns it.
	fault error
}

// New returns a Client for a node's operators' listener, host:port or URL.
func New(node, token string) *Client { return FromEnv(&cli.Env{Node: node, Token: token}) }

// FromEnv returns the Client that the options of the command line ask for.
func FromEnv(env *cli.Env) *Client {
	c := &Client{http: &http.Client{Timeout: requestTimeout, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // a node never redirects, and the token belongs to it alone
	}}}
	var config *tls.Config
	if c.base, c.fault = env.Endpoint(env.Node); c.fault == nil {
		c.token, c.fault = env.BearerToken()
	}
	if c.fault == nil {
		config, c.fault = env.TLS()
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = config
	c.http.Transport = transport
	return c
}

// Get reads a path into a value.
func (c *Client) Get(ctx context.Context, path string, query url.Values, to any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(ctx, http.MethodGet, path, nil, to)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, to any) error {
	if c.fault != nil {
		return c.fault
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &cli.Error{Code: cli.ExitInvalid, Err: fmt.Errorf("node address: %w", err)}
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unanswered(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &cli.Error{Code: cli.ExitUnavailable, Err: fmt.Errorf("read the answer: %w", err)}
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, to); err != nil {
		return fmt.Errorf("answer of %s is not as expected: %w", path, err)
	}
	return nil
}

// unanswered turns the error of a request without an answer into one with the exit code that fits.
func unanswered(err error) error {
	_, untrusted := errors.AsType[*tls.CertificateVerificationError](err)
	switch {
	case untrusted:
		return cli.Fail(cli.ExitFailed, "the node's certificate is not trusted (--ca-file names the CA): %w", err)
	case alerted(err):
		return cli.Fail(cli.ExitFailed, "the node refuses the TLS connection: %w", err)
	case errors.Is(err, http.ErrSchemeMismatch):
		return cli.Fail(cli.ExitInvalid, "the node speaks http (write http:// before its address if it may be read on the way): %w", err)
	}
	return &cli.Error{Code: cli.ExitUnavailable, Err: err}
}

// httpsExpected is what net/http answers to plain HTTP on a listener with TLS.
const httpsExpected = "Client sent an HTTP request to an HTTPS server"

// refusal turns a refusing answer into an error with the exit code that fits.
func refusal(status int, answer []byte) error {
	if strings.Contains(string(answer), httpsExpected) {
		return cli.Fail(cli.ExitInvalid, "the node speaks https: write https:// before its address")
	}
	refused := &APIError{Status: status}
	if json.Unmarshal(answer, &refused.Body) != nil || refused.Body.Code == "" {
		refused.Body.Message = fmt.Sprintf("node answered %d: %s", status, strings.TrimSpace(string(answer)))
	}
	code := cli.ExitFailed
	switch refused.Body.Code {
	case operator.CodeInvalid:
		code = cli.ExitInvalid
	case operator.CodeConflict:
		code = cli.ExitConflict
	case operator.CodeUnknown, operator.CodeUnavailable:
		code = cli.ExitUnavailable
	}
	return &cli.Error{Code: code, Err: refused}
}

// ErrorCode returns the error code of a refusal, or "".
func ErrorCode(err error) string {
	if refused, ok := errors.AsType[*APIError](err); ok {
		return refused.Body.Code
	}
	return ""
}

// Settings reads the settings in force, or an earlier version if version is above 0.
func (c *Client) Settings(ctx context.Context, version int64) (operator.Settings, error) {
	var s operator.Settings
	query := url.Values{}
	if version > 0 {
		query.Set("version", strconv.FormatInt(version, 10))
	}
	err := c.Get(ctx, operator.PathSettings, query, &s)
	return s, err
}

// Tree reads the settings in force, or an earlier version. A fleet that has no settings yet has the empty tree as
// version 0. A node that has not learnt the settings of its fleet looks the same; a change based on version 0 then
// conflicts with every setting that it touches, so nothing is overwritten.
func (c *Client) Tree(ctx context.Context, version int64) (int64, *settings.Tree, error) {
	s, err := c.Settings(ctx, version)
	if refused, ok := errors.AsType[*APIError](err); ok && version == 0 && refused.Status == http.StatusServiceUnavailable {
		return 0, &settings.Tree{}, nil
	}
	if err != nil {
		return 0, nil, err
	}
	tree, err := settings.ParseStored(s.Tree)
	return s.Version, tree, err
}

// Submit sends a change (operator.Change or operator.Rollback) to a path of the API. An unknown outcome is resolved by
// sending it again under the same id until ctx ends; the error then has the code ExitUnavailable.
func (c *Client) Submit(ctx context.Context, path string, change any) (operator.Accepted, error) {
	var accepted operator.Accepted
	body, err := json.Marshal(change)
	if err != nil {
		return accepted, err
	}
	doubt := false
	for {
		err := c.do(ctx, http.MethodPost, path, body, &accepted)
		if doubt && unproven(err) {
			return accepted, &cli.Error{Code: cli.ExitUnavailable, Err: fmt.Errorf("%w: %w", ErrUnknownOutcome, err)}
		}
		doubt = doubt || undecided(err)
		if !doubt || cli.ExitCode(err) != cli.ExitUnavailable {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			return accepted, &cli.Error{Code: cli.ExitUnavailable, Err: fmt.Errorf("%w: %w", ErrUnknownOutcome, err)}
		case <-time.After(resolvePause):
		}
	}
}

// unproven reports whether node and operator do not trust each other, so that the error says nothing about the change.
func unproven(err error) bool {
	if ErrorCode(err) == operator.CodeUnauthorized {
		return true
	}
	_, untrusted := errors.AsType[*tls.CertificateVerificationError](err)
	return untrusted || alerted(err)
}

// alerted reports whether the node ended the TLS handshake.
func alerted(err error) bool {
	operation, ok := errors.AsType[*net.OpError](err)
	return ok && operation.Op == "remote error" // set by crypto/tls for alerts of the other side
}

// undecided reports whether a submission may have been accepted in spite of the error.
func undecided(err error) bool {
	if cli.ExitCode(err) != cli.ExitUnavailable {
		return false
	}
	if code := ErrorCode(err); code != "" {
		return code == operator.CodeUnknown
	}
	// A connection that was never opened carried nothing.
	dial, ok := errors.AsType[*net.OpError](err)
	return !ok || dial.Op != "dial"
}

// AwaitInForce polls until the version is in force at every node of every place, or until ctx ends. It returns the last
// state that was read.
func (c *Client) AwaitInForce(ctx context.Context, version int64) (operator.InForce, bool, error) {
	query := url.Values{"version": {strconv.FormatInt(version, 10)}}
	var last operator.InForce
	var failure error
	for {
		var now operator.InForce
		query.Set("waitMs", strconv.FormatInt(waitFor(ctx).Milliseconds(), 10))
		if err := c.Get(ctx, operator.PathInForce, query, &now); err == nil {
			last, failure = now, nil
			if InForceEverywhere(now) {
				return now, true, nil
			}
		} else if ctx.Err() == nil {
			failure = err
		}
		select {
		case <-ctx.Done():
			return last, false, failure
		case <-time.After(inForcePause):
		}
	}
}

// countTime is what is left of the time of AwaitInForce for an answer after the wait at the nodes.
const countTime = 700 * time.Millisecond

// waitFor returns how long the nodes are to wait for the version, so that their answer comes before ctx ends.
func waitFor(ctx context.Context) time.Duration {
	wait := operator.MaxInForceWaitMs * time.Millisecond
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-countTime)
	}
	return max(0, wait)
}

// InForceEverywhere reports whether the version is in force at every node.
func InForceEverywhere(f operator.InForce) bool {
	nodes, inForce, _, _ := CountInForce(f)
	return nodes > 0 && nodes == inForce
}

// CountInForce sums over the places. A place counts as in force when all its nodes do.
func CountInForce(f operator.InForce) (nodes, inForce, places, placesInForce int) {
	for _, p := range f.Places {
		nodes += p.Nodes
		inForce += p.InForce
		if p.Nodes == 0 {
			continue
		}
		places++
		if p.Nodes == p.InForce {
			placesInForce++
		}
	}
	return nodes, inForce, places, placesInForce
}
