// Package backend sends calls to the backend server beside the node. Unlike net/http, it reports exactly whether any byte
// of a failed request may have reached the server.
package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/internal/httpstatus"
	"github.com/radishstand/radishstand/node/request/attempt"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than typical keep-alive timeouts of servers, so that a request is rarely sent on a connection
	// that the server is about to close.
	idleTimeout = 3 * time.Second
	// maxHeaderBytes limits the status line and headers of a server's answer.
	maxHeaderBytes = 64 << 10
)

// ErrUnframed reports that an answer had neither a length nor chunks, so that its end cannot be distinguished from a broken
// connection.
var ErrUnframed = errors.New("backend: answer has neither Content-Length nor chunked encoding")

// ErrForeignAnswer reports that an answer carries the id of another attempt, such as a late second copy of an earlier answer on
// the same connection, or that it may be such a copy since neither of two failures on the connection carries an id.
var ErrForeignAnswer = errors.New("backend: answer to another attempt")

// ErrStatus reports an answer whose status does not end a request. net/http takes any three digits, 000 too, and returns 101 as final.
var ErrStatus = errors.New("backend: status is not between 200 and 599")

// ErrHeaderName reports an answer with a header name that is no token. net/http takes blanks in names.
var ErrHeaderName = errors.New("backend: invalid header name")

// Client sends calls to one backend server. It is safe for concurrent use.
type Client struct {
	address   string
	transport *http.Transport
}

// New returns a client for the server at address that opens at most connections connections.
func New(address string, connections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		address: address,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: c}, nil
			},
			MaxConnsPerHost:        connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// singleUseBody is a request body that net/http cannot send again: the request has no GetBody, and net/http does not
// recognise the type. Otherwise net/http would replay a request with an Idempotency-Key header after its connection broke.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// Send sends the attempt and returns the answer with its body unread in Rest. Its error is an *attempt.NotRun when no
// byte was written, and an *attempt.Broken otherwise.
func (c *Client) Send(ctx context.Context, r *attempt.Request) (*attempt.Answer, error) {
	tracker := &connTracker{}
	request, err := c.request(httptrace.WithClientTrace(ctx, tracker.trace()), r)
	if err != nil {
		return nil, &attempt.NotRun{Reason: attempt.ReasonServerRefused}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		if !tracker.closeAndCheckWritten() {
			return nil, &attempt.NotRun{Reason: notSentReason(ctx)}
		}
		return nil, &attempt.Broken{Kind: attempt.KindFromContext(ctx), Cause: err}
	}
	if !httpstatus.IsFinal(response.StatusCode) {
		return nil, reject(response, tracker, attempt.KindBroken, ErrStatus)
	}
	if !validNames(response.Header) {
		return nil, reject(response, tracker, attempt.KindBroken, ErrHeaderName)
	}
	if unframed(request.Method, response) {
		return nil, reject(response, tracker, attempt.KindTruncated, ErrUnframed)
	}
	id := response.Header.Get(contract.HeaderContext)
	anonymousFailure := id == "" && response.StatusCode >= http.StatusBadRequest
	if id != "" && id != r.AttemptID || anonymousFailure && tracker.recordAnonymousFailure() {
		return nil, reject(response, tracker, attempt.KindBroken, ErrForeignAnswer)
	}
	response.Header.Del(contract.HeaderContext)
	rest := response.Body
	if anonymousFailure {
		rest = &lastBody{ReadCloser: rest, closeConn: tracker.close}
	}
	return &attempt.Answer{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		Rest:          rest,
	}, nil
}

// reject closes the connection of an invalid answer and returns the error for it.
func reject(response *http.Response, tracker *connTracker, kind attempt.Kind, cause error) *attempt.Broken {
	tracker.close()
	_ = response.Body.Close()
	return &attempt.Broken{Kind: kind, Cause: cause}
}

// lastBody is the body of the last answer on its connection, which is closed with it.
type lastBody struct {
	io.ReadCloser
	closeConn func()
}

// Close implements io.Closer.
func (b *lastBody) Close() error {
	err := b.ReadCloser.Close()
	b.closeConn()
	return err
}

// notSentReason returns the reason why a request of which no byte was written has failed.
func notSentReason(ctx context.Context) attempt.Reason {
	if ctx.Err() != nil {
		return attempt.ReasonDeadline
	}
	return attempt.ReasonUnreachable
}

// errTarget reports a target that net/http cannot send as it is.
var errTarget = errors.New("backend: target cannot be sent unchanged")

// targetURL returns a URL that net/http sends as the given target. It encodes some characters of a parsed path again, and takes an
// opaque one that begins with two slashes for an authority.
func (c *Client) targetURL(target string) (*url.URL, error) {
	parsed, err := url.ParseRequestURI(target)
	switch {
	case err != nil:
		return nil, err
	case parsed.RequestURI() == target:
		parsed.Scheme, parsed.Host = "http", c.address
		return parsed, nil
	case strings.HasPrefix(target, "//"):
		return nil, errTarget
	}
	return &url.URL{Scheme: "http", Host: c.address, Opaque: target}, nil
}

func (c *Client) request(ctx context.Context, r *attempt.Request) (*http.Request, error) {
	target, err := c.targetURL(r.Target)
	if err != nil {
		return nil, err
	}
	request := &http.Request{
		Method: r.Method, URL: target, Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: singleUseBody{bytes.NewReader(r.Body)}, ContentLength: int64(len(r.Body)),
	}
	if r.Idempotent && len(r.Body) == 0 {
		request.Body = http.NoBody
	}
	return request.WithContext(ctx), nil
}

// validNames reports whether all names of a header are tokens.
func validNames(header http.Header) bool {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}

// unframed reports whether the end of the answer is marked only by the close of the connection.
func unframed(method string, r *http.Response) bool {
	if method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified {
		return false
	}
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// connTracker tracks whether the transport has written bytes of one request to any of the connections that it uses.
type connTracker struct {
	mu   sync.Mutex
	conn *countingConn
	// writtenBefore is the byte count of conn before the request.
	writtenBefore int64
	// wroteEarlier is set when bytes were or may have been written to a connection before conn, or when the connection does
	// not count its bytes.
	wroteEarlier bool
}

// trace returns the hooks that record the connections that the transport uses for the request.
func (t *connTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.mu.Lock()
		defer t.mu.Unlock()
		// The transport uses a second connection after the first one failed.
		t.wroteEarlier = t.wroteEarlier || t.wroteToConn()
		t.conn, _ = info.Conn.(*countingConn)
		t.wroteEarlier = t.wroteEarlier || t.conn == nil
		if t.conn != nil {
			t.writtenBefore = t.conn.bytesWritten()
		}
	}}
}

// wroteToConn reports whether bytes were written to conn since the transport chose it. The caller holds mu.
func (t *connTracker) wroteToConn() bool {
	return t.conn != nil && t.conn.bytesWritten() != t.writtenBefore
}

// recordAnonymousFailure records that a failure without an id was received, and reports whether it is not the first one on its
// connection, so that it may be a second copy.
func (t *connTracker) recordAnonymousFailure() (again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.anonymousFailure.Swap(true)
}

func (t *connTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// closeAndCheckWritten closes the connection and reports whether any byte of the request was written. Without the close, the
// transport's writer could still send the request after this method has returned.
func (t *connTracker) closeAndCheckWritten() bool {
	t.close()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wroteEarlier || t.wroteToConn()
}
