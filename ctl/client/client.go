// Package client is a client of the operators' HTTP API of a node.
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
	// requestTimeout is the timeout of one request. It exceeds the time after which a node ends the submission of a change.
	requestTimeout = 15 * time.Second
	maxAnswerBytes = 64 << 20
	// resubmitInterval is the time between submissions of a change whose outcome is unknown.
	resubmitInterval    = 500 * time.Millisecond
	inForcePollInterval = 50 * time.Millisecond
)

// ErrUnknownOutcome means that a change may or may not have been accepted.
var ErrUnknownOutcome = errors.New("the outcome of the change is unknown")

// APIError is an answer with which the node refuses a request.
type APIError struct {
	Status int
	Body   operator.Error
}

// Error implements error.
func (e *APIError) Error() string {
	text := e.Body.Message
	switch {
	case len(e.Body.Problems) > 0:
		// The message already contains the problems in one line.
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
	// optionsErr is the error in the options, if any. Every request returns it.
	optionsErr error
}

// New returns a Client for a node. The argument node is the address of its operators' listener, host:port or URL.
func New(node, token string) *Client { return FromEnv(&cli.Env{Node: node, Token: token}) }

// FromEnv returns a Client that is configured by the options of the command line.
func FromEnv(env *cli.Env) *Client {
	c := &Client{http: &http.Client{Timeout: requestTimeout, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // a node never redirects, and the token must not be sent to others
	}}}
	var config *tls.Config
	if c.base, c.optionsErr = env.Endpoint(env.Node); c.optionsErr == nil {
		c.token, c.optionsErr = env.BearerToken()
	}
	if c.optionsErr == nil {
		config, c.optionsErr = env.TLS()
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = config
	c.http.Transport = transport
	return c
}

// Get requests a path and decodes the answer into the value that target points to.
func (c *Client) Get(ctx context.Context, path string, query url.Values, target any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(ctx, http.MethodGet, path, nil, target)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, target any) error {
	if c.optionsErr != nil {
		return c.optionsErr
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
		return transportError(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &cli.Error{Code: cli.ExitUnavailable, Err: fmt.Errorf("read the answer: %w", err)}
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, target); err != nil {
		return fmt.Errorf("decode the answer of %s: %w", path, err)
	}
	return nil
}

// transportError converts the error of a request that got no answer into an error with the appropriate exit code.
func transportError(err error) error {
	_, untrusted := errors.AsType[*tls.CertificateVerificationError](err)
	switch {
	case untrusted:
		return cli.Fail(cli.ExitFailed, "the node's certificate is not trusted (--ca-file names the CA): %w", err)
	case isTLSAlert(err):
		return cli.Fail(cli.ExitFailed, "the node refuses the TLS connection: %w", err)
	case errors.Is(err, http.ErrSchemeMismatch):
		return cli.Fail(cli.ExitInvalid,
			"the node speaks http (write http:// before its address to allow an unencrypted connection): %w", err)
	}
	return &cli.Error{Code: cli.ExitUnavailable, Err: err}
}

// httpsExpected is the answer of net/http to a plain HTTP request on a TLS listener.
const httpsExpected = "Client sent an HTTP request to an HTTPS server"

// responseError converts an answer that refuses a request into an error with the appropriate exit code.
func responseError(status int, answer []byte) error {
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

// ErrorCode returns the code of an APIError, or "" for other errors.
func ErrorCode(err error) string {
	if refused, ok := errors.AsType[*APIError](err); ok {
		return refused.Body.Code
	}
	return ""
}

// Settings returns the settings in force, or those of an earlier version if version is above 0.
func (c *Client) Settings(ctx context.Context, version int64) (operator.Settings, error) {
	var s operator.Settings
	query := url.Values{}
	if version > 0 {
		query.Set("version", strconv.FormatInt(version, 10))
	}
	err := c.Get(ctx, operator.PathSettings, query, &s)
	return s, err
}

// Tree returns the settings in force, or those of an earlier version if version is above 0. A fleet without settings has
// the empty tree as version 0. A node that has not yet received the settings of its fleet cannot be distinguished from
// that. A change based on version 0 then conflicts with every existing setting that it touches, so nothing is overwritten.
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

// Submit sends a change (operator.Change or operator.Rollback) to a path of the API. While the outcome is unknown, it sends
// the change again under the same id until ctx ends. If the outcome is still unknown then, the error has the exit code
// ExitUnavailable.
func (c *Client) Submit(ctx context.Context, path string, change any) (operator.Accepted, error) {
	var accepted operator.Accepted
	body, err := json.Marshal(change)
	if err != nil {
		return accepted, err
	}
	uncertain := false
	for {
		err := c.do(ctx, http.MethodPost, path, body, &accepted)
		if uncertain && isTrustError(err) {
			return accepted, &cli.Error{Code: cli.ExitUnavailable, Err: fmt.Errorf("%w: %w", ErrUnknownOutcome, err)}
		}
		uncertain = uncertain || mayBeAccepted(err)
		if !uncertain || cli.ExitCode(err) != cli.ExitUnavailable {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			return accepted, &cli.Error{Code: cli.ExitUnavailable, Err: fmt.Errorf("%w: %w", ErrUnknownOutcome, err)}
		case <-time.After(resubmitInterval):
		}
	}
}

// isTrustError reports whether the node or the operator failed to authenticate the other. Such an error does not show
// whether the change was accepted.
func isTrustError(err error) bool {
	if ErrorCode(err) == operator.CodeUnauthorized {
		return true
	}
	_, untrusted := errors.AsType[*tls.CertificateVerificationError](err)
	return untrusted || isTLSAlert(err)
}

// isTLSAlert reports whether the node ended the TLS connection with an alert.
func isTLSAlert(err error) bool {
	operation, ok := errors.AsType[*net.OpError](err)
	return ok && operation.Op == "remote error" // set by crypto/tls for alerts of the peer
}

// mayBeAccepted reports whether a submission may have been accepted in spite of the error.
func mayBeAccepted(err error) bool {
	if cli.ExitCode(err) != cli.ExitUnavailable {
		return false
	}
	if code := ErrorCode(err); code != "" {
		return code == operator.CodeUnknown
	}
	// If the connection could not be opened, the change was not sent.
	dial, ok := errors.AsType[*net.OpError](err)
	return !ok || dial.Op != "dial"
}

// AwaitInForce polls until the version is in force at every node of every place, or until ctx ends. It returns the last
// state that it received and whether the version is in force everywhere.
func (c *Client) AwaitInForce(ctx context.Context, version int64) (operator.InForce, bool, error) {
	query := url.Values{"version": {strconv.FormatInt(version, 10)}}
	var last operator.InForce
	var lastErr error
	for {
		var now operator.InForce
		query.Set("waitMs", strconv.FormatInt(waitAtNodes(ctx).Milliseconds(), 10))
		if err := c.Get(ctx, operator.PathInForce, query, &now); err == nil {
			last, lastErr = now, nil
			if InForceEverywhere(now) {
				return now, true, nil
			}
		} else if ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return last, false, lastErr
		case <-time.After(inForcePollInterval):
		}
	}
}

// inForceReplyMargin is the part of the time of AwaitInForce that is reserved for the answer after the wait at the nodes.
const inForceReplyMargin = 700 * time.Millisecond

// waitAtNodes returns the time for which the nodes wait for the version, so that their answer arrives before ctx ends.
func waitAtNodes(ctx context.Context) time.Duration {
	wait := operator.MaxInForceWaitMs * time.Millisecond
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-inForceReplyMargin)
	}
	return max(0, wait)
}

// InForceEverywhere reports whether the version is in force at every node.
func InForceEverywhere(f operator.InForce) bool {
	nodes, inForce, _, _ := CountInForce(f)
	return nodes > 0 && nodes == inForce
}

// CountInForce returns the sums over all places that have nodes. The version is in force at a place if it is in force at
// all nodes of the place.
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
