// Package backend sends calls to the backend server beside the node. It answers one question exactly that net/http
// leaves open: whether any byte of a failed request may have reached the server.
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
	"sync"
	"time"

	"github.com/radishstand/radishstand/node/request/attempt"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than the usual keep-alive time-outs of servers, so that a request rarely meets a connection
	// that the server is about to close.
	idleTimeout = 3 * time.Second
	// maxHeaderBytes limits the head of a server's answer.
	maxHeaderBytes = 64 << 10
)

// ErrUnframed means that an answer had neither a length nor chunks, so that its end cannot be distinguished
// from a broken connection.
var ErrUnframed = errors.New("backend: answer has neither Content-Length nor chunked encoding")

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

// onceBody is a body that the transport cannot send a second time: it has no GetBody, and http.Request does not
// recognise its type. net/http would otherwise replay a request with an Idempotency-Key header on a broken connection.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// Send sends the attempt and returns the answer with its body unread in Rest. Its errors are *attempt.NotRun when no
// byte was written, else *attempt.Broken.
func (c *Client) Send(ctx context.Context, r *attempt.Request) (*attempt.Answer, error) {
	used := &usedConn{}
	request, err := c.request(httptrace.WithClientTrace(ctx, used.trace()), r)
	if err != nil {
		return nil, &attempt.NotRun{Reason: attempt.ReasonServerRefused}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		if !used.wrote() {
			return nil, &attempt.NotRun{Reason: notSentReason(ctx)}
		}
		return nil, &attempt.Broken{Kind: attempt.FromContext(ctx), Cause: err}
	}
	if unframed(request.Method, response) {
		used.close()
		_ = response.Body.Close()
		return nil, &attempt.Broken{Kind: attempt.KindTruncated, Cause: ErrUnframed}
	}
	return &attempt.Answer{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		Rest:          response.Body,
	}, nil
}

func notSentReason(ctx context.Context) attempt.Reason {
	if ctx.Err() != nil {
		return attempt.ReasonDeadline
	}
	return attempt.ReasonUnreachable
}

func (c *Client) request(ctx context.Context, r *attempt.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", c.address
	request := &http.Request{
		Method: r.Method, URL: target, Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: onceBody{bytes.NewReader(r.Body)}, ContentLength: int64(len(r.Body)),
	}
	if r.Idempotent && len(r.Body) == 0 {
		request.Body = http.NoBody
	}
	return request.WithContext(ctx), nil
}

// unframed reports whether the end of the answer is marked only by the end of the connection.
func unframed(method string, r *http.Response) bool {
	if method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified {
		return false
	}
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// usedConn follows the connections that the transport uses for one request.
type usedConn struct {
	mu     sync.Mutex
	conn   *countingConn
	before int64
	dirty  bool
}

func (u *usedConn) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		u.mu.Lock()
		defer u.mu.Unlock()
		// The transport takes a second connection when the first one failed.
		u.dirty = u.dirty || u.changed()
		u.conn, _ = info.Conn.(*countingConn)
		u.dirty = u.dirty || u.conn == nil
		if u.conn != nil {
			u.before = u.conn.count()
		}
	}}
}

func (u *usedConn) changed() bool {
	return u.conn != nil && u.conn.count() != u.before
}

func (u *usedConn) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil {
		_ = u.conn.Close()
	}
}

// wrote closes the connection and reports whether any byte of the request was written. Without the close, the
// transport's writer could still send the request after the answer was given.
func (u *usedConn) wrote() bool {
	u.close()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dirty || u.changed()
}
